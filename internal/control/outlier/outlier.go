// Package outlier implements outlier detection shared by all aggregators of a zone. Where there are many
// aggregators with little traffic each, every one of them sends a part to a given server only once in several
// seconds, so each would have to lose parts of its own before it detected that a server hangs or fails. The
// aggregators therefore report in gossip messages at which servers attempts failed. A server at which far more
// attempts fail than at the others is an outlier: it is ejected, receives only a small fraction of its traffic, which
// serves as health checks, and is restored in steps while these attempts are answered.
//
// A server that fails half of its attempts or more receives only that small fraction, as long as the shard has another
// replica: every failure uses up one of the few attempts of a part. A server that fails fewer receives a larger one.
// Observations of other aggregators are hints: one that is lost, delayed, duplicated or forged changes a traffic
// fraction and violates no invariant.
//
// A Table does no I/O, reads no clock and starts no goroutine. It is not safe for concurrent use.
package outlier

import (
	"math"
	"slices"
	"time"

	"rooktrestle/internal/control/gossip"
)

// Config contains the parameters of a Table. PlatformConfig derives them from the settings.
type Config struct {
	DecayTime     time.Duration // time constant of the exponential decay of failure counts
	OverdueAfter  time.Duration // a canceled attempt counts as failed if it was in flight for at least that long
	MaxMessageAge time.Duration // gossip messages older than that, or further in the future, are ignored
	Zone          int           // of this aggregator; messages of other zones, whose path may be cut, are ignored
	Aggregators   int           // in the zone, this one included
}

// PlatformConfig returns the configuration for one of so many aggregators in a zone. latencyObjective is the
// shortest objective of all classes in the settings.
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
	minFailures      = 4   // decayed failures that make a server an outlier if the baseline is 0
	baselineFactor   = 4   // failures needed in addition, as a multiple of the baseline
	baselineQuantile = 0.4 // quantile of failure counts that is the baseline: half of the servers may fail with a zone
	quietDecayTimes  = 8   // decay times without a failure after which a server at the lowest step moves up one
)

// recoveryStep is the traffic fraction of an ejected server whose answer rate is below a limit.
type recoveryStep struct {
	belowAnswerRate float64
	fraction        float64
}

// recoverySteps are in ascending order; a server whose answer rate is not below the last limit is no longer ejected.
// The first fraction amounts to about one part per second of all aggregators together: a search has about fifty parts
// and needs each of them.
var recoverySteps = [...]recoveryStep{
	{belowAnswerRate: 0.1, fraction: 0.005},
	{belowAnswerRate: 0.25, fraction: 0.01},
	{belowAnswerRate: 0.85, fraction: 0.3},
}

// The answer rate of an ejected server is an exponentially weighted moving average of its outcomes. It starts in the
// middle, because a server with many failures may be either slow or down. From there, six failures lower it below 0.25,
// and ten answers restore the server.
const (
	outcomeWeight     = 0.125
	initialAnswerRate = 0.5
)

// Outcome is how an attempt ended, as far as that is evidence about its server.
type Outcome int

// Outcomes of an attempt.
const (
	Answered Outcome = iota
	Failed           // an error, a connection reset, no connection, or no answer before the timeout
	Canceled         // by the aggregator; counts as failed if the attempt was overdue
	Rejected         // by load shedding; counts as failed if the server is ejected: the queue of a hanging one is full
	NotSent          // no evidence about the server
)

type server struct {
	id          string
	started     time.Duration // when its process started
	failures    float64       // decayed count, as of decayedAt
	decayedAt   time.Duration
	lastFailure time.Duration
	lastAnswer  time.Duration // that this aggregator received
	ejected     bool
	answerRate  float64     // moving average, of an ejected server
	fraction    float64     // TrafficFraction as of the last Update
	pending     observation // by this aggregator, for its next message; the key is always set
	queued      bool        // the server is in Table.pending
}

// Table stores the failures and the traffic fraction of each server since its Add; Remove and Retain delete servers.
type Table struct {
	config  Config
	servers map[uint32]*server // by gossip key
	order   []*server          // in the order of Add
	pending []*server          // with observations that were not sent yet, oldest first
	budget  gossip.Budget      // for messages to the other aggregators
	changed bool               // a failure, or an answer of an ejected server, was recorded since the last Update
	// nextUpdate is when Update must run even if nothing was recorded, because failure counts decay.
	nextUpdate time.Duration

	// ObservationsReceived counts the observations of servers in the table that other aggregators sent.
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

// Add adds a server whose process started at started; 0 stands for an unknown time long ago. A server that is already
// in the table is not changed, unless started is later than the previous one: then its process is a new one, and what
// was recorded of the old one is deleted.
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

// delete deletes a server; nil has no effect.
func (t *Table) delete(s *server) {
	if s == nil {
		return
	}
	isSame := func(other *server) bool { return other == s }
	delete(t.servers, s.pending.key)
	t.order = slices.DeleteFunc(t.order, isSame)
	t.pending = slices.DeleteFunc(t.pending, isSame)
}

// AccrueBudget adds to the budget of messages for the parts that this aggregator accepted since the last call.
func (t *Table) AccrueBudget(parts int) { t.budget.Accrue(parts) }

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

// effectiveOutcome returns Failed for canceled and rejected attempts that count as failed, else the unchanged outcome.
func (t *Table) effectiveOutcome(s *server, now, sent time.Duration, outcome Outcome) Outcome {
	switch outcome {
	case Canceled:
		// A server that answered other attempts after the sending is up: only that part was slow.
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
// another zone is ignored, and so are observations of servers that are not in the table: gossip adds no server.
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

// decay updates a server's failure count to now.
func (t *Table) decay(s *server, now time.Duration) {
	s.failures *= math.Exp(-float64(now-s.decayedAt) / float64(t.config.DecayTime))
	s.decayedAt = now
}

// Update ejects and restores servers according to what was recorded since the last call, and returns the ids of those
// whose TrafficFraction changed, in the order of Add. It is cheap if nothing was recorded.
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

// ejectionThreshold updates all failure counts to now and returns the lowest count that makes a server an outlier.
func (t *Table) ejectionThreshold(now time.Duration) float64 {
	var failures []float64
	for _, s := range t.order {
		t.decay(s, now)
		failures = append(failures, s.failures)
	}
	return minFailures + baselineFactor*quantile(failures, baselineQuantile)
}

// updateFraction restores a server that has recovered and returns its new traffic fraction.
func (t *Table) updateFraction(s *server, now time.Duration) float64 {
	if !s.ejected {
		return 1
	}
	// Nothing was sent to the server, or the messages with its answers were lost: it receives a few more attempts.
	if s.answerRate < recoverySteps[0].belowAnswerRate && now-s.lastFailure > quietDecayTimes*t.config.DecayTime {
		s.answerRate = recoverySteps[0].belowAnswerRate
		s.lastFailure = now
	}
	for _, step := range recoverySteps {
		if s.answerRate < step.belowAnswerRate {
			return step.fraction
		}
	}
	// The failure count is reset: it takes as many failures as before to eject the server again.
	s.ejected = false
	s.failures = 0
	return 1
}

// TrafficFraction returns the fraction of its usual traffic that a server should receive, from 0 to 1. It is 1 for
// servers that are not ejected or not in the table.
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

// NextMessage returns a message with the oldest pending observations, to be sent to all other aggregators, and deducts
// it from the budget. It returns nil if nothing is pending or the budget is too small.
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
