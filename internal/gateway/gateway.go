// Package partner stands between the fronts of library protocols and the core: it makes queries of searches
// and corrections, and one answer of their parts. It does no I/O.
package gateway

import (
	"encoding/json"
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

// Kind says why there is no whole answer.
type Kind int

const (
	Complete         Kind = iota
	Partial               // some of the databases' shards are not in
	Rejected              // asking again is harmless
	Failed                // given up without a promise
	TimedOut              // its time was over
	UnknownDatabase       // asked for what is not there
	ReadOnly              // the database takes no corrections
	ServerDiagnostic      // a server had something to say about the request itself
)

// Outcome is the one answer to a search or a correction.
type Outcome struct {
	Kind           Kind
	Count          int
	Records        []query.Record
	RetryAfter     time.Duration
	Diagnostic     *query.Diagnostic
	Details        string
	MissingShards  []int   // Partial: shards or blocks that are not in
	TotalParts     int     // parts of the query
	AnsweredWeight float64 // weight of what is in
}

// Coverage says in words how much of the whole an outcome holds.
func (o *Outcome) Coverage() string {
	var missing []string
	for _, m := range o.MissingShards[:min(len(o.MissingShards), 8)] {
		missing = append(missing, fmt.Sprint(m))
	}
	text := fmt.Sprintf("%d of %d blocks are in, %.1f%% of the weight", o.TotalParts-len(o.MissingShards), o.TotalParts, 100*o.AnsweredWeight)
	if len(missing) > 0 {
		text += "; not in: " + strings.Join(missing, ", ")
		if more := len(o.MissingShards) - len(missing); more > 0 {
			text += fmt.Sprintf(" and %d more", more)
		}
	}
	return text
}

// Service makes queries.
type Service struct {
	Config *config.Partners
	Post   func(aggregator.Message) // to the loop
	Now    func() time.Time
	name   atomic.Uint64
}

// Caller says who asks: a user's name if one signed on.
type Caller struct{ User string }

// Cancel gives a search or correction up: no part is sent from then on, and its Outcome never comes.
type Cancel func()

// Database finds a database by its name.
func (s *Service) Database(name string) *config.Database {
	for i := range s.Config.Databases {
		if strings.EqualFold(s.Config.Databases[i].Name, name) {
			return &s.Config.Databases[i]
		}
	}
	return nil
}

// Tenant finds the tenant of a user; -1 if nobody by that name may come in.
func (s *Service) Tenant(user string) int {
	return slices.IndexFunc(s.Config.Tenants, func(t config.Tenant) bool { return slices.Contains(t.Users, user) })
}

// Search looks for a query in databases and asks each shard for most records. An outcome that is known at once
// is returned; any other is told to done, once, on the loop.
func (s *Service) Search(who Caller, databases []string, n query.Node, most int, done func(Outcome)) (Cancel, *Outcome) {
	if len(databases) == 0 {
		return nil, &Outcome{Kind: UnknownDatabase}
	}
	var shards []int
	var first *config.Database
	for _, name := range databases {
		d := s.Database(name)
		if d == nil || first != nil && d.SearchClass != first.SearchClass {
			return nil, &Outcome{Kind: UnknownDatabase, Details: name}
		}
		if first == nil {
			first = d
		}
		for _, shard := range d.Shards {
			if !slices.Contains(shards, shard) {
				shards = append(shards, shard)
			}
		}
	}
	if first == nil {
		return nil, &Outcome{Kind: UnknownDatabase}
	}
	work := query.Work{CQL: query.CQL(n), MaxRecords: most}
	return s.ask(who, first, first.SearchClass, shards, work, s.everyBlock(), done)
}

// Correct changes a record. It goes to one shard and never runs twice.
func (s *Service) Correct(who Caller, database string, action query.Action, r query.Record, done func(Outcome)) (Cancel, *Outcome) {
	d := s.Database(database)
	if d == nil || d.CorrectionClass == "" {
		kind := UnknownDatabase
		if d != nil {
			kind = ReadOnly
		}
		return nil, &Outcome{Kind: kind, Details: database}
	}
	work := query.Work{Action: action, Record: r}
	if s.Config.ShardMap.Enabled() {
		key := shardmap.KeyOf(r.ID)
		return s.ask(who, d, d.CorrectionClass, nil, work, func(v *shardmap.View) []aggregator.PartSpec {
			return []aggregator.PartSpec{{Shard: int(v.Map.Lookup(key).ID), Weight: 1}}
		}, done)
	}
	return s.ask(who, d, d.CorrectionClass, []int{ShardOf(d, r.ID)}, work, nil, done)
}

// everyBlock makes a part of each block of a view, by its share of the weight; nil where there is no map.
func (s *Service) everyBlock() func(*shardmap.View) []aggregator.PartSpec {
	if !s.Config.ShardMap.Enabled() {
		return nil
	}
	return func(v *shardmap.View) []aggregator.PartSpec {
		list := v.Shards()
		specs := make([]aggregator.PartSpec, len(list))
		for i, b := range list {
			w := b.Weight
			if w <= 0 {
				w = 1
			}
			specs[i] = aggregator.PartSpec{Shard: int(b.ID), Weight: w / v.Map.Weight()}
		}
		return specs
	}
}

// ShardOf is the shard that holds a record: the number before the first colon of its identifier, if that is one
// of the database's, else one chosen by a hash of the identifier.
func ShardOf(d *config.Database, id string) int {
	if number, _, ok := strings.Cut(id, ":"); ok {
		for _, s := range d.Shards {
			if number == fmt.Sprint(s) {
				return s
			}
		}
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return d.Shards[int(h.Sum32()%uint32(len(d.Shards)))]
}

func (s *Service) ask(who Caller, d *config.Database, class string, shards []int, work query.Work, layout func(*shardmap.View) []aggregator.PartSpec, done func(Outcome)) (Cancel, *Outcome) {
	index := s.Config.ClassIndex(class)
	tenant := s.Config.TenantIndex(d.Tenant)
	if t := s.Tenant(who.User); who.User != "" && t >= 0 {
		tenant = t
	}
	r := &aggregator.Request{
		ID: fmt.Sprintf("%s-%d", s.Config.Name, s.name.Add(1)), Class: index, Tenant: tenant,
		Arrived: s.Now(), Timeout: s.Config.Classes[index].Deadline.Duration, Payload: query.Encode(work), Layout: layout,
	}
	for _, shard := range shards {
		r.Parts = append(r.Parts, aggregator.PartSpec{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	r.Frontend = &asked{done: done, byID: layout != nil}
	s.Post(aggregator.RequestArrived{Request: r})
	return func() { s.Post(aggregator.ClientDisconnected{Request: r}) }, nil
}

// asked waits for a query's final answer.
type asked struct {
	done func(Outcome)
	byID bool // records are in the order of their identifiers, whatever block they came from
}

// Answer merges the parts: shards in order, each with its records in its own order; or where blocks may change, all
// records in the order of their identifiers, so that a page is the same before and after.
func (a *asked) Answer(f aggregator.FinalAnswer) {
	switch {
	case f.Status == aggregator.StatusServed:
		a.done(merge(f, a.byID))
	case f.DeadlineExceeded:
		a.done(Outcome{Kind: TimedOut})
	case f.Status == aggregator.StatusRejected:
		a.done(Outcome{Kind: Rejected, RetryAfter: f.RetryAfter})
	default:
		a.done(Outcome{Kind: Failed})
	}
}

func merge(f aggregator.FinalAnswer, byID bool) (o Outcome) {
	if !f.Complete {
		o.Kind = Partial
	}
	o.MissingShards, o.TotalParts, o.AnsweredWeight = f.MissingShards, f.TotalParts, f.AnsweredWeight
	items := slices.Clone(f.Items)
	slices.SortStableFunc(items, func(a, b aggregator.Item) int { return a.Shard - b.Shard })
	for _, i := range items {
		var found query.PartResult
		if err := json.Unmarshal([]byte(i.Value), &found); err != nil {
			return Outcome{Kind: Failed, Details: "a part's value cannot be read"}
		}
		if found.Diagnostic != nil && o.Diagnostic == nil {
			o.Kind, o.Diagnostic = ServerDiagnostic, found.Diagnostic
		}
		o.Count += found.Count
		o.Records = append(o.Records, found.Records...)
	}
	if byID {
		ids := make(map[string]string, len(o.Records)) // by text, as finding one may mean to read it
		for _, r := range o.Records {
			if r.ID == "" {
				ids[r.XML] = r.Identifier()
			}
		}
		id := func(r query.Record) string {
			if r.ID != "" {
				return r.ID
			}
			return ids[r.XML]
		}
		slices.SortStableFunc(o.Records, func(a, b query.Record) int { return strings.Compare(id(a), id(b)) })
	}
	return o
}

// Page returns the records from start, counted from 1, of an outcome that fetched most records of each shard.
func (o *Outcome) Page(start, number int) []query.Record {
	if start < 1 || start > len(o.Records) {
		return nil
	}
	return o.Records[start-1 : min(len(o.Records), start-1+number)]
}
