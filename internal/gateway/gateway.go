// Package gateway translates between the frontends of library protocols and the core: it converts searches and
// corrections to queries, and merges the parts of an answer into one outcome. It does no I/O.
package gateway

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/query"
)

// Service converts searches and corrections to queries. Its fields must be set before use and not be changed after
// that; its methods may be called from any goroutine.
type Service struct {
	Config *config.Partners
	Post   func(aggregator.Message) // to the loop
	Now    func() time.Time

	lastID atomic.Uint64 // number in the last query's ID
}

// Caller identifies a client.
type Caller struct {
	User string // empty: the client has not signed on
	// Disconnected, if set, reports whether the client has disconnected; see aggregator.Request.Disconnected.
	Disconnected func(now time.Time) bool
}

// Cancel cancels a search or correction: no further part is sent, and no outcome is reported. It may be called at any
// time, also after the outcome.
type Cancel func()

// Database finds a database by its name, ignoring case; nil: there is none. The caller must not modify it.
func (s *Service) Database(name string) *config.Database {
	for i := range s.Config.Databases {
		if strings.EqualFold(s.Config.Databases[i].Name, name) {
			return &s.Config.Databases[i]
		}
	}
	return nil
}

// Tenant returns the index of a user's tenant, or -1 for a user who may not sign on.
func (s *Service) Tenant(user string) int {
	return slices.IndexFunc(s.Config.Tenants, func(t config.Tenant) bool { return slices.Contains(t.Users, user) })
}

// Search searches databases of one class and requests up to maxRecords records from each shard. If the request is
// invalid, Search returns its outcome; otherwise the outcome is passed to done, once, on the loop, unless the search is
// canceled.
func (s *Service) Search(
	caller Caller, databases []string, search query.Node, maxRecords int, done func(Outcome),
) (Cancel, *Outcome) {
	first, shards, unknown := s.resolve(databases)
	if unknown != nil {
		return nil, unknown
	}
	work := query.Work{CQL: query.CQL(search), MaxRecords: maxRecords}
	return s.submit(caller, submission{
		database: first,
		class:    first.SearchClass,
		shards:   shards,
		work:     work,
		layout:   s.allShards(),
	}, done)
}

// resolve returns the first of the databases, whose tenant and class apply to the query, and the shards of all of them.
// If a database does not exist or has a different class than the first, it returns the outcome.
func (s *Service) resolve(names []string) (first *config.Database, shards []int, unknown *Outcome) {
	if len(names) == 0 {
		return nil, nil, &Outcome{Kind: UnknownDatabase}
	}
	for _, name := range names {
		database := s.Database(name)
		if database == nil || first != nil && database.SearchClass != first.SearchClass {
			return nil, nil, &Outcome{Kind: UnknownDatabase, Details: name}
		}
		if first == nil {
			first = database
		}
		for _, shard := range database.Shards {
			if !slices.Contains(shards, shard) {
				shards = append(shards, shard)
			}
		}
	}
	return first, shards, nil
}

// Correct creates, replaces or deletes a record. The correction is sent to one shard, and never runs twice. Its outcome
// is reported as by Search.
func (s *Service) Correct(
	caller Caller, database string, action query.Action, record query.Record, done func(Outcome),
) (Cancel, *Outcome) {
	target := s.Database(database)
	if target == nil {
		return nil, &Outcome{Kind: UnknownDatabase, Details: database}
	}
	if target.CorrectionClass == "" {
		return nil, &Outcome{Kind: ReadOnly, Details: database}
	}
	correction := submission{
		database: target,
		class:    target.CorrectionClass,
		work:     query.Work{Action: action, Record: record},
	}
	if s.Config.ShardMap.Enabled() {
		correction.layout = shardOfKey(shardmap.KeyOf(record.ID))
	} else {
		correction.shards = []int{ShardOf(target, record.ID)}
	}
	return s.submit(caller, correction, done)
}

// layout returns the parts of a query for the view of the shard map to which the query is pinned.
type layout func(*shardmap.View) []aggregator.PartSpec

// allShards returns a layout with one part for each shard, weighted by its fraction of the map's weight; nil if there
// is no shard map.
func (s *Service) allShards() layout {
	if !s.Config.ShardMap.Enabled() {
		return nil
	}
	return func(view *shardmap.View) []aggregator.PartSpec {
		shards := view.Shards()
		specs := make([]aggregator.PartSpec, len(shards))
		for i, shard := range shards {
			weight := shard.Weight
			if weight <= 0 {
				weight = 1
			}
			specs[i] = aggregator.PartSpec{Shard: int(shard.ID), Weight: weight / view.Map.Weight()}
		}
		return specs
	}
}

// shardOfKey returns a layout with one part, for the shard that contains a key.
func shardOfKey(key shardmap.Key) layout {
	return func(view *shardmap.View) []aggregator.PartSpec {
		return []aggregator.PartSpec{{Shard: int(view.Map.Lookup(key).ID), Weight: 1}}
	}
}

// ShardOf returns the shard of a record if the database's shards are fixed: the number before the first colon of the
// identifier if that is a shard of the database, else one chosen by a hash of the identifier.
func ShardOf(database *config.Database, id string) int {
	if number, _, found := strings.Cut(id, ":"); found {
		for _, shard := range database.Shards {
			if number == fmt.Sprint(shard) {
				return shard
			}
		}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // a hash's Write returns no error
	return database.Shards[int(hash.Sum32()%uint32(len(database.Shards)))]
}

// submission is a search or correction to be posted to the core.
type submission struct {
	database *config.Database // its tenant applies if the caller has not signed on
	class    string
	shards   []int // one part for each, if layout is nil
	layout   layout
	work     query.Work
}

// submit posts a query to the core.
func (s *Service) submit(caller Caller, sub submission, done func(Outcome)) (Cancel, *Outcome) {
	class := s.Config.ClassIndex(sub.class)
	request := &aggregator.Request{
		ID:       fmt.Sprintf("%s-%d", s.Config.Name, s.lastID.Add(1)),
		Class:    class,
		Tenant:   s.tenantOf(caller, sub.database),
		Arrived:  s.Now(),
		Timeout:  s.Config.Classes[class].Deadline.Duration,
		Payload:  query.Encode(sub.work),
		Layout:   sub.layout,
		Frontend: &pendingAnswer{done: done, sortByID: sub.layout != nil},

		Disconnected: caller.Disconnected,
	}
	for _, shard := range sub.shards {
		request.Parts = append(request.Parts, aggregator.PartSpec{Shard: shard, Weight: 1 / float64(len(sub.shards))})
	}
	s.Post(aggregator.RequestArrived{Request: request})
	return func() { s.Post(aggregator.ClientDisconnected{Request: request}) }, nil
}

// tenantOf returns the index of the tenant of a user who has signed on, else of the database's tenant.
func (s *Service) tenantOf(caller Caller, database *config.Database) int {
	if tenant := s.Tenant(caller.User); caller.User != "" && tenant >= 0 {
		return tenant
	}
	return s.Config.TenantIndex(database.Tenant)
}
