package health

import (
	"errors"
	"fmt"
	"time"
)

// CheckConfig is the configuration of one health check.
type CheckConfig struct {
	Name string
	Fall int // consecutive failures after which a server is down, at least 1
	Rise int // consecutive successes after which it is up again, at least 1
	// Validity is how long a result counts; 0: until the next one. Administrative states and a weight of 0 never expire.
	Validity       time.Duration
	IgnoreFailures bool // only states that the server sends count, failed checks do not
}

func (c CheckConfig) validate() error {
	if c.Name == "" || c.Fall < 1 || c.Rise < 1 || c.Validity < 0 {
		return fmt.Errorf("check %q: fall %d, rise %d, validity %v: must have a name, fall and rise of at least 1,"+
			" and no negative validity", c.Name, c.Fall, c.Rise, c.Validity)
	}
	return nil
}

// maxClasses is the maximum number of classes. Each class has a bit of a uint64, and all 64 bits set is AllClasses.
const maxClasses = 63

// Rules are the parameters by which evidence is merged. Zero values are not defaults; see Defaults.
type Rules struct {
	Classes       int    // number of request classes, 1 to 63
	NonIdempotent uint64 // bit c: class c is non-idempotent; its parts are not risked as half-open requests

	// Ejection by outcomes.
	OutcomeHalfLife    time.Duration // half-life of outcomes in a class's failure rate
	MinOutcomes        float64       // decayed number of outcomes below which a failure rate is ignored
	EjectFailureRate   float64       // lower confidence bound of the failure rate from which a server is ejected
	EjectPeerRatio     float64       // minimum ratio of that bound to the failure rate of the other servers
	MaxConnectFailures int           // consecutive connection failures after which a server is unreachable
	MaxEjectedFraction float64       // maximum fraction of a shard's replicas ejected at the same time
	AnswerValidity     time.Duration // how long an answer counts as evidence that a server works

	// Half-open requests and recovery.
	HalfOpenDelay      time.Duration // from an ejection to the first half-open request; doubles with each repetition
	HalfOpenInterval   time.Duration // from a successful half-open request to the next
	MaxHalfOpenDelay   time.Duration // maximum delay from a failed half-open request to the next
	HalfOpenTraffic    float64       // parts of the class elsewhere after a failed one, unless MaxHalfOpenDelay elapses
	NonIdempotentDelay time.Duration // to a half-open request of a non-idempotent class, if only such are ejected
	ReturnSuccesses    int           // consecutive successful half-open requests after which a server is readmitted
	RecoveryRamp       time.Duration // time to rise from a quarter of the traffic to all of it, after a readmission
	WeightRiseTime     time.Duration // time for a traffic fraction to rise from 0 to 1; it falls three times as fast

	// Checks.
	PanicThreshold float64       // fraction of the checked servers; if more of them fail, the checks may be wrong
	FlapHalfLife   time.Duration // half-life of the penalty for changes of the checks' results
	FlapSuppress   float64       // penalty from which a server is held down; each change adds 1
	FlapReuse      float64       // penalty at which it is released again
}

// Defaults returns the default rules for a number of classes. Bit c of nonIdempotent marks class c as non-idempotent.
func Defaults(classes int, nonIdempotent uint64) Rules {
	return Rules{
		Classes:       classes,
		NonIdempotent: nonIdempotent,

		OutcomeHalfLife:    4 * time.Second,
		MinOutcomes:        4,
		EjectFailureRate:   0.3,
		EjectPeerRatio:     2.5,
		MaxConnectFailures: 3,
		MaxEjectedFraction: 0.5,
		AnswerValidity:     3 * time.Second,

		HalfOpenDelay:      500 * time.Millisecond,
		HalfOpenInterval:   200 * time.Millisecond,
		MaxHalfOpenDelay:   3 * time.Second,
		HalfOpenTraffic:    100,
		NonIdempotentDelay: 15 * time.Second,
		ReturnSuccesses:    5,
		RecoveryRamp:       2 * time.Second,
		WeightRiseTime:     5 * time.Second,

		PanicThreshold: 0.5,
		FlapHalfLife:   15 * time.Second,
		FlapSuppress:   5,
		FlapReuse:      1.5,
	}
}

// nonIdempotent reports whether a class is non-idempotent: none of its parts may be executed twice.
func (r *Rules) nonIdempotent(class int) bool { return r.NonIdempotent>>class&1 == 1 }

// validate checks the rules. Its errors name those that are settings by their keys in the operators' files.
func (r *Rules) validate() error {
	for _, rule := range []struct {
		valid  bool // false for NaN, too
		reason string
	}{
		{
			valid:  r.Classes >= 1 && r.Classes <= maxClasses,
			reason: fmt.Sprintf("%d classes: must be 1 to %d", r.Classes, maxClasses),
		},
		{
			valid: r.OutcomeHalfLife > 0 && r.AnswerValidity > 0 && r.FlapHalfLife > 0,
			reason: fmt.Sprintf("half_life %v, fresh %v, half-life of the flap penalty %v: must be positive",
				r.OutcomeHalfLife, r.AnswerValidity, r.FlapHalfLife),
		},
		{
			valid:  r.MinOutcomes >= 1,
			reason: fmt.Sprintf("eject_from %v: must be at least 1", r.MinOutcomes),
		},
		{
			valid:  r.EjectFailureRate > 0 && r.EjectFailureRate < 1,
			reason: fmt.Sprintf("eject_share %v: must be over 0 and under 1", r.EjectFailureRate),
		},
		{
			valid:  r.EjectPeerRatio >= 1,
			reason: fmt.Sprintf("ratio of failure rates %v: must be at least 1", r.EjectPeerRatio),
		},
		{
			valid: r.MaxConnectFailures >= 1 && r.ReturnSuccesses >= 1,
			reason: fmt.Sprintf("connection failures %d, return %d: must be at least 1",
				r.MaxConnectFailures, r.ReturnSuccesses),
		},
		{
			valid:  r.MaxEjectedFraction >= 0 && r.MaxEjectedFraction < 1,
			reason: fmt.Sprintf("eject_most %v: must be 0 to under 1: a block keeps a holder", r.MaxEjectedFraction),
		},
		{
			valid:  r.PanicThreshold > 0 && r.PanicThreshold <= 1,
			reason: fmt.Sprintf("panic %v: must be over 0 and at most 1", r.PanicThreshold),
		},
		{
			valid: r.HalfOpenDelay > 0 && r.HalfOpenInterval > 0 && r.NonIdempotentDelay > 0 &&
				r.MaxHalfOpenDelay >= r.HalfOpenInterval,
			reason: fmt.Sprintf("trial_first %v, half-open interval %v, non-idempotent delay %v, trial_most %v:"+
				" must be positive, and trial_most not under the interval",
				r.HalfOpenDelay, r.HalfOpenInterval, r.NonIdempotentDelay, r.MaxHalfOpenDelay),
		},
		{
			valid: r.FlapReuse > 0 && r.FlapSuppress > r.FlapReuse,
			reason: fmt.Sprintf("flap_most %v: must be over flap reuse %v, which must be over 0",
				r.FlapSuppress, r.FlapReuse),
		},
		{
			valid:  r.WeightRiseTime > 0 && r.RecoveryRamp > 0,
			reason: fmt.Sprintf("weight_step %v, ramp %v: must be positive", r.WeightRiseTime, r.RecoveryRamp),
		},
	} {
		if !rule.valid {
			return errors.New(rule.reason)
		}
	}
	return nil
}
