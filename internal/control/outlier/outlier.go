// Package outlier implements outlier detection shared by all aggregators of a zone. Where there are many
// aggregators with little traffic each, every one of them sends a part to a given server only once in seconds, so
// each would have to lose parts of its own before it noticed that a server hangs or fails. The aggregators
// therefore tell each other, in gossip messages, at which servers attempts failed. A server at which far more of
// them fail than at the other servers is an outlier: it is ejected, keeps a small share of its traffic as health
// checks, and gets its traffic back in steps while these are answered.
//
// A server that fails half of its attempts or more gets that small share only, as long as the shard has another
// replica: every failure uses up one of the few attempts of a part. A server that fails fewer gets a larger share.
// Observations of other aggregators are hints: one that is lost, delayed, duplicated or forged changes a traffic
// share and breaks no invariant.
//
// A Table does no I/O, reads no clock and starts no goroutine. It is not safe for concurrent use.
package outlier

import (
	"math"
	"slices"
	"time"

	"rooktrestle/internal/control/gossip"
)

// Config holds the parameters of a Table. PlatformConfig derives them from the settings.
type Config struct {
	DecayTime     time.Duration // time constant of the failure counts: after it 1/e of a failure still counts
	OverdueAfter  time.Duration // a canceled attempt counts as failed if it was in flight for that long
	MaxMessageAge time.Duration // gossip messages older than that, or from further in the future, are ignored
	Zone          int           // of this aggregator; messages of other zones, whose path may be cut, are ignored
	Aggregators   int           // in the zone, this one included
}

// PlatformConfig returns the configuration for one of so many aggregators in a zone. latencyObjective is the
// shortest one of the settings' classes.
func PlatformConfig(latencyObjective time.Duration, zone, aggregators int) Config {
	return Config{
		DecayTime:     4 * latencyObjective,
		OverdueAfter:  latencyObjective / 2,
		MaxMessageAge: latencyObjective,
		Zone:          zone,
		Aggregators:   aggregators,
	}
}

const (
	minFailures      = 4   // decayed failures that make an outlier where the other servers have none
	baselineFactor   = 4   // and how many times the baseline are needed on top of them
	baselineQuantile = 0.4 // of the servers' failure counts: up to half of the servers may fail together with a zone
	quietDecayTimes  = 8   // decay times without a failure after which an outlier moves up to the first step
)

// A recoveryStep is the traffic fraction of an ejected server whose answer rate is below a limit.
type recoveryStep struct {
	belowAnswerRate float64
	fraction        float64
}

// recoverySteps are in ascending order; a server whose answer rate is not below the last limit is no outlier any
// more. The first fraction amounts to about one part per second of all aggregators together: a search has some fifty
// parts and needs each of them.
var recoverySteps = [...]recoveryStep{
	{belowAnswerRate: 0.1, fraction: 0.005},
	{belowAnswerRate: 0.25, fraction: 0.01},
	{belowAnswerRate: 0.85, fraction: 0.3},
}

// The answer rate of an ejected server is an exponentially weighted moving average of its outcomes. It starts in
// the middle, because a server with many failures may be slow as well as down: six failures or nine answers from
// there decide.
const (
	outcomeWeight     = 0.125
	initialAnswerRate = 0.5
)

// Outcome is how an attempt ended, as far as that says something about its server.
type Outcome int

// Outcomes of an attempt.
const (
	Answered Outcome = iota
	Failed           // an error, a connection reset, no connection, or no answer before the timeout
	Canceled         // by the aggregator; counts as failed if the attempt was overdue
	Rejected         // load was shed; counts as failed if the server is ejected, because a hanging server fills up
	NotSent          // says nothing about the server
)

type server struct {
	id          string
	started     time.Duration // when its process started
	failures    float64       // decayed count, as of decayedAt
	decayedAt   time.Duration
	lastFailure time.Duration
	lastAnswer  time.Duration // to this aggregator
	ejected     bool
	answerRate  float64     // of an ejected server
	fraction    float64     // of its traffic, as of the last Update; 1: all of it
	pending     observation // by this aggregator, for its next message; the key is always set
	queued      bool        // pending is in Table.pending
}

// Table holds what is known of each server since its Add; Remove and Retain delete servers.
type Table struct {
	config  Config
	servers map[uint32]*server // by gossip key
	order   []*server          // in the order of Add
	pending []*server          // with observations that are not sent yet, oldest first
	budget  gossip.Budget      // of messages to the other aggregators
	changed bool               // a failure, or an answer of an ejected server, came since the last Update
	// nextUpdate is when Update has something to do even if nothing changed: failure counts decay.
	nextUpdate time.Duration

	// ObservationsReceived counts the observations on servers of the table that other aggregators sent.
	ObservationsReceived uint64
}

// New returns a Table without servers.
func New(config Config) *Table {
	return &Table{
		config:  config,
		servers: map[uint32]*server{},
		budget:  gossip.NewBudget(config.Aggregators),
	}
}

// Add adds a server whose process started at started; 0 stands for an unknown time long ago. A server that is in
// the table stays as it is, unless started is later than before: then its process is a new one, and what was known
// is deleted.
func (t *Table) Add(id string, started time.Duration) {
	if s := t.find(id); s != nil && started <= s.started {
		return
	}
	key := gossip.ServerKey(id)
	t.delete(t.servers[key])
	s := &server{id: id, started: started, fraction: 1, pending: observation{key: key}}
	t.servers[key] = s
	t.order = append(t.order, s)
}

// find returns the server with that id, or nil.
func (t *Table) find(id string) *server {
	if s := t.servers[gossip.ServerKey(id)]; s != nil && s.id == id {
		return s
	}
	return nil
}

// Remove deletes a server, if it is in the table.
func (t *Table) Remove(id string) { t.delete(t.find(id)) }

// Retain deletes all servers for which listed returns false.
func (t *Table) Retain(listed func(id string) bool) {
	for _, s := range slices.Clone(t.order) {
		if !listed(s.id) {
			t.delete(s)
		}
	}
}

// delete deletes a server; nil is none.
func (t *Table) delete(s *server) {
	if s == nil {
		return
	}
	isSame := func(other *server) bool { return other == s }
	delete(t.servers, s.pending.key)
	t.order = slices.DeleteFunc(t.order, isSame)
	t.pending = slices.DeleteFunc(t.pending, isSame)
}

// AccrueBudget allows messages in proportion to the parts that this aggregator accepted since the last call.
func (t *Table) AccrueBudget(parts int) { t.budget.Earn(parts) }

// AttemptEnded records the outcome of an attempt that this aggregator sent at sent. Servers that are not in the
// table are ignored.
func (t *Table) AttemptEnded(now time.Duration, id string, sent time.Duration, outcome Outcome) {
	s := t.find(id)
	if s == nil {
		return
	}
	switch t.effectiveOutcome(s, now, sent, outcome) {
	case Failed:
		t.record(s, now, 1, 0)
		s.pending.failed++
	case Answered:
		s.lastAnswer = now
		if !s.ejected {
			return
		}
		t.record(s, now, 0, 1)
		s.pending.answered++
	default:
		return
	}
	if !s.queued {
		s.queued = true
		t.pending = append(t.pending, s)
	}
}

// effectiveOutcome turns the outcomes that stand for a failure into Failed.
func (t *Table) effectiveOutcome(s *server, now, sent time.Duration, outcome Outcome) Outcome {
	switch outcome {
	case Canceled:
		// A server that answered other attempts since then is up: only that part was slow.
		overdue := now-sent >= t.config.OverdueAfter
		if overdue && s.lastAnswer <= sent {
			return Failed
		}
	case Rejected:
		if s.ejected {
			return Failed
		}
	}
	return outcome
}

// Receive records the observations in another aggregator's message. A message that is malformed, too old or from
// another zone is ignored, and so are observations on servers that are not in the table: gossip adds no server.
func (t *Table) Receive(now time.Duration, datagram []byte) {
	m, ok := decodeMessage(now, datagram)
	if !ok || m.zone != t.config.Zone&0xff || m.age > t.config.MaxMessageAge || m.age < -t.config.MaxMessageAge {
		return
	}
	for _, o := range m.observations {
		if s := t.servers[o.key]; s != nil {
			t.ObservationsReceived++
			t.record(s, now, o.failed, o.answered)
		}
	}
}

// record adds outcomes at a server to its failure count and its answer rate.
func (t *Table) record(s *server, now time.Duration, failed, answered int) {
	t.changed = true
	t.decay(s, now)
	s.failures += float64(failed)
	for range failed {
		s.lastFailure = now
		s.answerRate -= outcomeWeight * s.answerRate
	}
	for range answered {
		s.answerRate += outcomeWeight * (1 - s.answerRate)
	}
}

// decay brings a server's failure count up to now.
func (t *Table) decay(s *server, now time.Duration) {
	s.failures *= math.Exp(-float64(now-s.decayedAt) / float64(t.config.DecayTime))
	s.decayedAt = now
}

// Update ejects and restores servers by what was recorded since the last call, and returns the ids of those whose
// TrafficFraction changed, in the order of Add. It is cheap where nothing was recorded.
func (t *Table) Update(now time.Duration) (changed []string) {
	if !t.changed && now < t.nextUpdate {
		return nil
	}
	t.changed = false
	t.nextUpdate = now + t.config.DecayTime
	threshold := t.ejectionThreshold(now)
	for _, s := range t.order {
		if !s.ejected && s.failures >= threshold {
			s.ejected = true
			s.answerRate = initialAnswerRate * math.Pow(1-outcomeWeight, s.failures-threshold)
		}
		if fraction := t.updateFraction(s, now); fraction != s.fraction {
			s.fraction = fraction
			changed = append(changed, s.id)
		}
	}
	return changed
}

// ejectionThreshold brings all failure counts up to now and returns the one from which on a server is an outlier.
func (t *Table) ejectionThreshold(now time.Duration) float64 {
	var failures []float64
	for _, s := range t.order {
		t.decay(s, now)
		failures = append(failures, s.failures)
	}
	return minFailures + baselineFactor*quantile(failures, baselineQuantile)
}

// updateFraction restores a server that recovered and returns the fraction of its traffic that it is to get.
func (t *Table) updateFraction(s *server, now time.Duration) float64 {
	if !s.ejected {
		return 1
	}
	// Nothing was sent to it, or the messages with its answers were lost: it gets a few more attempts.
	if s.answerRate < recoverySteps[0].belowAnswerRate && now-s.lastFailure > quietDecayTimes*t.config.DecayTime {
		s.answerRate = recoverySteps[0].belowAnswerRate
		s.lastFailure = now
	}
	for _, step := range recoverySteps {
		if s.answerRate < step.belowAnswerRate {
			return step.fraction
		}
	}
	// The count starts over: it takes as many failures again to eject the server.
	s.ejected = false
	s.failures = 0
	return 1
}

// TrafficFraction returns the fraction of its usual traffic that a server is to get, from 0 to 1: 1 unless it is
// ejected. Servers that are not in the table get all of it.
func (t *Table) TrafficFraction(id string) float64 {
	if s := t.find(id); s != nil {
		return s.fraction
	}
	return 1
}

// EjectedCount returns the number of servers that are ejected.
func (t *Table) EjectedCount() (count int) {
	for _, s := range t.order {
		if s.ejected {
			count++
		}
	}
	return count
}

// NextMessage returns a message with the oldest pending observations, to be sent to all other aggregators, and
// takes it from the budget. It returns nil if nothing is pending or the budget is too small.
func (t *Table) NextMessage(now time.Duration) []byte {
	count := min(len(t.pending), gossip.MaxObservations)
	if count == 0 || !t.budget.Spend(count) {
		return nil
	}
	var observations []observation
	for _, s := range t.pending[:count] {
		observations = append(observations, s.pending)
		s.pending = observation{key: s.pending.key}
		s.queued = false
	}
	t.pending = slices.Delete(t.pending, 0, count)
	return encodeMessage(now, t.config.Zone, observations)
}

// quantile returns the q-quantile of values, which it sorts; 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
