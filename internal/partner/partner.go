// Package partner stands between the fronts of library protocols and the core: it makes queries of searches
// and corrections, and one answer of their parts. It does no I/O.
package partner

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"rooktrestle/internal/config"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/query"
)

// Kind says why there is no whole answer.
type Kind int

const (
	Whole      Kind = iota
	Partial         // some of the databases' shards are not in
	Refused         // asking again is harmless
	Failed          // given up without a promise
	TimedOut        // its time was over
	NoDatabase      // asked for what is not there
	ReadOnly        // the database takes no corrections
	ServerSaid      // a server had something to say about the request itself
)

// Outcome is the one answer to a search or a correction.
type Outcome struct {
	Kind       Kind
	Count      int
	Records    []query.Record
	RetryAfter time.Duration
	Said       *query.Diagnostic
	Details    string
}

// Service makes queries.
type Service struct {
	Conf *config.Partners
	Put  func(any) // to the loop
	Now  func() time.Time
	name atomic.Uint64
}

// Caller says who asks: a user's name if one signed on.
type Caller struct{ User string }

// Cancel gives a search or correction up: no part is sent from then on, and its Outcome never comes.
type Cancel func()

// Database finds a database by its name.
func (s *Service) Database(name string) *config.Database {
	for i := range s.Conf.Databases {
		if strings.EqualFold(s.Conf.Databases[i].Name, name) {
			return &s.Conf.Databases[i]
		}
	}
	return nil
}

// Tenant finds the tenant of a user; -1 if nobody by that name may come in.
func (s *Service) Tenant(user string) int {
	return slices.IndexFunc(s.Conf.Tenants, func(t config.PartnerTenant) bool { return slices.Contains(t.Users, user) })
}

// Search looks for a query in databases and asks each shard for most records. An outcome that is known at once
// is returned; any other is told to done, once, on the loop.
func (s *Service) Search(who Caller, databases []string, n query.Node, most int, done func(Outcome)) (Cancel, *Outcome) {
	var shards []int
	var first *config.Database
	for _, name := range databases {
		d := s.Database(name)
		if d == nil || first != nil && d.Search != first.Search {
			return nil, &Outcome{Kind: NoDatabase, Details: name}
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
		return nil, &Outcome{Kind: NoDatabase}
	}
	work := query.Work{CQL: query.CQL(n), Most: most}
	return s.ask(who, first, first.Search, shards, work, done)
}

// Correct changes a record. It goes to one shard and never runs twice.
func (s *Service) Correct(who Caller, database string, action query.Action, r query.Record, done func(Outcome)) (Cancel, *Outcome) {
	d := s.Database(database)
	if d == nil || d.Correction == "" {
		kind := NoDatabase
		if d != nil {
			kind = ReadOnly
		}
		return nil, &Outcome{Kind: kind, Details: database}
	}
	return s.ask(who, d, d.Correction, []int{Place(d, r.ID)}, query.Work{Action: action, Record: r}, done)
}

// Place is the shard that holds a record: the number before the first colon of its identifier, if that is one
// of the database's, else one chosen by a hash of the identifier.
func Place(d *config.Database, id string) int {
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

func (s *Service) ask(who Caller, d *config.Database, class string, shards []int, work query.Work, done func(Outcome)) (Cancel, *Outcome) {
	index := s.Conf.Class(class)
	tenant := s.Conf.Tenant(d.Tenant)
	if t := s.Tenant(who.User); who.User != "" && t >= 0 {
		tenant = t
	}
	r := &mixer.Request{
		ID: fmt.Sprintf("%s-%d", s.Conf.Name, s.name.Add(1)), Class: index, Tenant: tenant,
		Arrived: s.Now(), Wait: s.Conf.Classes[index].Deadline.Duration, Text: query.Encode(work),
	}
	for _, shard := range shards {
		r.Parts = append(r.Parts, mixer.Spec{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	r.Front = &asked{done: done}
	s.Put(mixer.Arrive{Request: r})
	return func() { s.Put(mixer.Left{Request: r}) }, nil
}

// asked waits for a query's final answer.
type asked struct{ done func(Outcome) }

// Answer merges the parts: shards in order, each with its records in its own order.
func (a *asked) Answer(f mixer.Final) {
	switch {
	case f.Kind == mixer.Served:
		a.done(merge(f))
	case f.Overdue:
		a.done(Outcome{Kind: TimedOut})
	case f.Kind == mixer.Refused:
		a.done(Outcome{Kind: Refused, RetryAfter: f.RetryAfter})
	default:
		a.done(Outcome{Kind: Failed})
	}
}

func merge(f mixer.Final) (o Outcome) {
	if !f.Whole {
		o.Kind = Partial
	}
	items := slices.Clone(f.Items)
	slices.SortStableFunc(items, func(a, b mixer.Item) int { return a.Shard - b.Shard })
	for _, i := range items {
		var found query.Found
		if err := json.Unmarshal([]byte(i.Value), &found); err != nil {
			return Outcome{Kind: Failed, Details: "a part's value cannot be read"}
		}
		if found.Trouble != nil && o.Said == nil {
			o.Kind, o.Said = ServerSaid, found.Trouble
		}
		o.Count += found.Count
		o.Records = append(o.Records, found.Records...)
	}
	return o
}

// Cut returns the records from start, counted from 1, of an outcome that fetched most records of each shard.
func (o *Outcome) Cut(start, number int) []query.Record {
	if start < 1 || start > len(o.Records) {
		return nil
	}
	return o.Records[start-1 : min(len(o.Records), start-1+number)]
}
