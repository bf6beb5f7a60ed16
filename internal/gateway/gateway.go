// Package gateway translates between the frontends of library protocols and the core: it turns searches and corrections
// into queries, and the parts of an answer into one outcome. It does no I/O.
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

// Service makes queries. Its fields are set before use and not changed; its methods may be called from any goroutine.
type Service struct {
	Config *config.Partners
	Post   func(aggregator.Message) // to the loop
	Now    func() time.Time

	lastID atomic.Uint64 // of the queries
}

// Caller identifies a client.
type Caller struct {
	User string // empty: the client has not signed on
	// Disconnected, if set, asks whether the client has gone away; see aggregator.Request.Disconnected.
	Disconnected func(now time.Time) bool
}

// Cancel cancels a search or correction: no further part is sent, and no outcome is reported. It may be called at any
// time, also after the outcome.
type Cancel func()

// Database finds a database by its name, in any case; nil: there is none. The database belongs to the configuration.
func (s *Service) Database(name string) *config.Database {
	for i := range s.Config.Databases {
		if strings.EqualFold(s.Config.Databases[i].Name, name) {
			return &s.Config.Databases[i]
		}
	}
	return nil
}

// Tenant is the index of the tenant of a user, or -1 for a user who may not sign on.
func (s *Service) Tenant(user string) int {
	return slices.IndexFunc(s.Config.Tenants, func(t config.Tenant) bool { return slices.Contains(t.Users, user) })
}

// Search searches databases of one class and requests up to maxRecords records of each shard. An outcome that is known
// at once is returned; any other is passed to done, once, on the loop, unless the search is cancelled.
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

// resolve finds the first of the databases, whose tenant and class count, and the shards of all. All must be of one
// class; if not, or if one is not there, it returns the outcome.
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

// Correct creates, replaces or deletes a record. The correction is sent to one shard, and never runs twice. Outcomes are
// reported as those of Search.
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

// layout makes the parts of a query from the view of the shard map that it is pinned to.
type layout func(*shardmap.View) []aggregator.PartSpec

// allShards makes a part of each shard of a view, by its fraction of the weight; nil where there is no shard map.
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

// shardOfKey makes one part, of the shard that holds a key.
func shardOfKey(key shardmap.Key) layout {
	return func(view *shardmap.View) []aggregator.PartSpec {
		return []aggregator.PartSpec{{Shard: int(view.Map.Lookup(key).ID), Weight: 1}}
	}
}

// ShardOf is the shard of a database that holds a record, where shards are fixed: the number before the first colon of
// its identifier, if that is a shard of the database; else one chosen by a hash of the identifier.
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

// submission is a search or correction on its way to the core.
type submission struct {
	database *config.Database // whose tenant counts, for a caller who has not signed on
	class    string
	shards   []int // each gets a part; or
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

// tenantOf is the index of the tenant of a user who has signed on, else that of the database.
func (s *Service) tenantOf(caller Caller, database *config.Database) int {
	if tenant := s.Tenant(caller.User); caller.User != "" && tenant >= 0 {
		return tenant
	}
	return s.Config.TenantIndex(database.Tenant)
}
