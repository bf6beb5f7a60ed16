package health

import (
	"errors"
	"fmt"
	"time"
)

// CheckConfig is one health check as the operator configured it.
type CheckConfig struct {
	Name           string
	Fall           int           // failed checks in a row that take a server down, at least 1
	Rise           int           // successful ones in a row that bring it back, at least 1
	Validity       time.Duration // how long a result counts. Administrative states stay until the check changes them.
	IgnoreFailures bool          // failed checks are ignored: only states that the server sends count
}

func (c CheckConfig) validate() error {
	if c.Name == "" || c.Fall < 1 || c.Rise < 1 || c.Validity <= 0 {
		return fmt.Errorf("check %q: it needs a name, fall and rise of at least 1, and a time of validity", c.Name)
	}
	return nil
}

// maxClasses is the largest number of classes. Each has a bit of a uint64; all 64 bits together are AllClasses.
const maxClasses = 63

// Rules are the parameters by which evidence is merged. Zero values are not defaults; see Defaults.
type Rules struct {
	Classes       int    // number of request classes, 1 to 63
	NonIdempotent uint64 // bit c: no part of class c may run twice, so none is risked as a half-open request

	// Ejection by outcomes.
	OutcomeHalfLife    time.Duration // half-life of outcomes in a class's failure rate
	MinOutcomes        float64       // decayed outcomes from which a failure rate counts
	EjectFailureRate   float64       // failure rate, as its lower confidence bound, that ejects
	EjectPeerRatio     float64       // and it has to be this many times the rate of the other servers
	MaxConnectFailures int           // connection failures in a row that make a server unreachable
	MaxEjectedFraction float64       // of a shard's replicas that may be ejected at once
	AnswerValidity     time.Duration // how long an answer shows that a server works

	// Half-open requests and recovery.
	HalfOpenDelay      time.Duration // from an ejection to the first half-open request; doubles if repeated
	HalfOpenInterval   time.Duration // from a successful half-open request to the next
	MaxHalfOpenDelay   time.Duration // the longest from a failed half-open request to the next
	HalfOpenTraffic    float64       // parts of the class elsewhere for each failed one, within MaxHalfOpenDelay
	NonIdempotentDelay time.Duration // to a half-open request of a non-idempotent class, if no other class can tell
	ReturnSuccesses    int           // successful half-open requests in a row that readmit a server
	RecoveryRamp       time.Duration // from a quarter of the traffic to all of it, after a return
	WeightRiseTime     time.Duration // for a traffic fraction to rise from 0 to 1; it falls three times as fast

	// Checks.
	PanicThreshold float64       // fraction of the checked servers; if more fail their checks, the checks may be wrong
	FlapHalfLife   time.Duration // half-life of the penalty for changes of the checks' result
	FlapSuppress   float64       // penalty from which a server stays down; each change adds 1
	FlapReuse      float64       // and down to which it may come back
}

// Defaults returns the default rules for a number of classes, of which some are non-idempotent (bit c: class c).
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

// nonIdempotent reports whether no part of a class may run twice.
func (r *Rules) nonIdempotent(class int) bool { return r.NonIdempotent>>class&1 == 1 }

// validate names the settings in its errors as the operators' files do.
func (r *Rules) validate() error {
	for _, rule := range []struct {
		valid  bool // false for NaN, too
		reason string
	}{
		{
			valid:  r.Classes >= 1 && r.Classes <= maxClasses,
			reason: "1 to 63 classes",
		},
		{
			valid:  r.OutcomeHalfLife > 0 && r.AnswerValidity > 0 && r.FlapHalfLife > 0,
			reason: "half-lives and fresh must be positive",
		},
		{
			valid:  r.MinOutcomes >= 1,
			reason: "volume must be at least 1",
		},
		{
			valid:  r.EjectFailureRate > 0 && r.EjectFailureRate < 1,
			reason: "share of failures must be over 0 and under 1",
		},
		{
			valid:  r.EjectPeerRatio >= 1,
			reason: "ratio must be at least 1",
		},
		{
			valid:  r.MaxConnectFailures >= 1 && r.ReturnSuccesses >= 1,
			reason: "unreached and return must be at least 1",
		},
		{
			valid:  r.MaxEjectedFraction >= 0 && r.MaxEjectedFraction < 1,
			reason: "eject_most must be 0 or more and under 1: a block keeps a holder",
		},
		{
			valid:  r.PanicThreshold > 0 && r.PanicThreshold <= 1,
			reason: "panic must be over 0 and at most 1",
		},
		{
			valid: r.HalfOpenDelay > 0 && r.HalfOpenInterval > 0 && r.NonIdempotentDelay > 0 &&
				r.MaxHalfOpenDelay >= r.HalfOpenInterval,
			reason: "times of trials must be positive, and the longest the longest",
		},
		{
			valid:  r.FlapReuse > 0 && r.FlapSuppress > r.FlapReuse,
			reason: "flap_most must be over flap_back, and that over 0",
		},
		{
			valid:  r.WeightRiseTime > 0 && r.RecoveryRamp > 0,
			reason: "weight_step and ramp must be positive",
		},
	} {
		if !rule.valid {
			return errors.New(rule.reason)
		}
	}
	return nil
}
