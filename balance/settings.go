package balance

// This file decides nothing: it defines the settings and validates them.

import (
	"errors"
	"fmt"
	"time"

	"rooktrestle/internal/control/fleet"
)

// Idempotency states whether a part may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated freely
	KeyedIdempotent                    // servers drop repeats within Class.DedupWindow, by an idempotency key
	NonIdempotent                      // must not run twice
)

// Class describes one class of queries.
type Class struct {
	Objective        time.Duration // latency within which an answer earns its full weight; positive
	ObjectiveStretch float64       // the objective grows by this multiple of the query's own work
	Deadline         time.Duration // how long a client waits over all its attempts; at least Objective
	Weight           float64       // value of a complete answer within the objective
	OverdueFraction  float64       // fraction of the weight that an answer after the objective earns
	Idempotency      Idempotency
	DedupWindow      time.Duration // KeyedIdempotent: how long servers drop repeats
	MinFraction      float64       // minimum fraction of the parts for any answer, 0 to 1
	CompleteFraction float64       // fraction of the parts for a complete answer, over 0 and at most 1
	PartialFraction  float64       // a partial answer earns this * fraction of parts / CompleteFraction
	FollowUpParts    int           // number of parts of a second step; 0: one step only
}

// Tenant is a customer with an agreed rate.
type Tenant struct {
	Quota float64 // queries per second over all balancers; 0: unlimited
}

// Settings configure a Balancer. New retains the slices, so the caller must not modify them afterwards.
type Settings struct {
	Seed      uint64        // seed of the random number generator
	Instances int           // number of balancers, this one included; at least 1
	Tick      time.Duration // shortest time between two turns; positive
	Zone      int           // this balancer's zone

	Classes         []Class // at least one; queries refer to them by index
	Tenants         []Tenant
	OverQuotaFactor float64 // factor on the weight of a query beyond its tenant's quota
	WeightByWork    bool    // the weight of a query counts in proportion to its work

	// Shard s is stored by the replicas of cells (s+j) mod Cells, 0 <= j < Reach. Each must be at least 1.
	Cells  int
	Reach  int
	Shards int

	CallWork     time.Duration // work of a call in addition to that of its parts
	MaxCallParts int           // maximum number of parts in one call
	WarmKeys     bool          // a key that a replica served recently costs it less work

	MaxAttempts        int // per part; at least 1
	CanHedge           bool
	CanCancel          bool
	CanProbe           bool
	ClientsMarkRetries bool          // clients flag their retries
	MaxRetryAfter      time.Duration // longest Retry-After that clients honor; 0: none is sent
	LoadReportsOnProbe bool          // load reports arrive with probes only
	ListOnRequest      bool          // the endpoint list must be requested
	PeerMessages       bool          // gossip messages between balancers are allowed
	ProbeTimeout       time.Duration // longest time until a probe is answered or times out

	Rules Rules
}

// Rules are the parameters of the platform's rules on endpoint lists, warm-up and retries.
type Rules struct {
	MaxListAge        time.Duration // ListOnRequest: age from which an endpoint list is stale
	WarmupPeriod      time.Duration // time from a replica's start until it is warm
	WarmupMinCapacity float64       // minimum fraction of its capacity that a replica has at its start
	OverloadMultiple  float64       // multiple of its capacity that overloads a replica while it warms up
	OverloadPeriod    time.Duration // how long a replica must be overloaded to fail
	RetryBudgetWindow time.Duration // window in which retries are counted; 0: no retry budget
	RetryBudgetBase   float64       // retries allowed within any window
	RetryBudgetRatio  float64       // further retries allowed per query and per part within the window
}

// GossipEnabled reports whether balancers exchange gossip messages. With few balancers, each observes enough
// by itself.
func (set *Settings) GossipEnabled() bool {
	return set.PeerMessages && set.Instances > fleet.MaxExtrapolated
}

// minObjective returns the shortest latency objective of all classes, of which there must be at least one.
func (set *Settings) minObjective() time.Duration {
	shortest := set.Classes[0].Objective
	for _, class := range set.Classes {
		shortest = min(shortest, class.Objective)
	}
	return shortest
}

// tenantRates returns the tenants' rates at this balancer, in queries per second; 0: unlimited.
func (set *Settings) tenantRates() []float64 {
	rates := make([]float64, len(set.Tenants))
	for i, tenant := range set.Tenants {
		rates[i] = tenant.Quota / float64(set.Instances)
	}
	return rates
}

// check returns an error that states which setting is invalid, or nil.
func (set *Settings) check() error {
	switch {
	case len(set.Classes) == 0:
		return errors.New("balance: no classes")
	case set.Cells < 1 || set.Reach < 1 || set.Shards < 1:
		return fmt.Errorf("balance: %d cells, reach %d, %d shards: each must be at least 1",
			set.Cells, set.Reach, set.Shards)
	case set.Instances < 1:
		return fmt.Errorf("balance: %d instances: must be at least 1", set.Instances)
	case set.MaxAttempts < 1:
		return fmt.Errorf("balance: %d attempts per part: must be at least 1", set.MaxAttempts)
	case set.Rules.RetryBudgetWindow < 0 || set.Rules.RetryBudgetBase < 0 || set.Rules.RetryBudgetRatio < 0:
		return fmt.Errorf("balance: retry budget with base %v, ratio %v, window %v: must not be negative",
			set.Rules.RetryBudgetBase, set.Rules.RetryBudgetRatio, set.Rules.RetryBudgetWindow)
	case set.Rules.MaxListAge < 0:
		return fmt.Errorf("balance: maximum age of the endpoint list %v: must not be negative",
			set.Rules.MaxListAge)
	case set.Tick <= 0:
		return fmt.Errorf("balance: tick %v: must be positive", set.Tick)
	}
	for i := range set.Classes {
		if err := set.Classes[i].check(); err != nil {
			return fmt.Errorf("balance: class %d: %w", i, err)
		}
	}
	return nil
}

func (c *Class) check() error {
	if c.Objective <= 0 || c.Deadline < c.Objective {
		return fmt.Errorf("objective %v, deadline %v: the objective must be positive and within the deadline",
			c.Objective, c.Deadline)
	}
	if c.CompleteFraction <= 0 || c.CompleteFraction > 1 || c.MinFraction < 0 || c.MinFraction > 1 {
		return fmt.Errorf("complete fraction %v, minimum fraction %v: must be within (0, 1] and [0, 1]",
			c.CompleteFraction, c.MinFraction)
	}
	return nil
}
