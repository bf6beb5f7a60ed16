package balance

// This file decides nothing: it holds the settings and their check.

import (
	"errors"
	"fmt"
	"time"

	"rooktrestle/internal/control/fleet"
)

// Idempotency says what a second run of a part does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated freely
	KeyedIdempotent                    // repeats are dropped for Class.DedupWindow, by an idempotency key
	NonIdempotent                      // must not run twice
)

// Class describes one class of queries.
type Class struct {
	Objective        time.Duration // answers within it earn the full weight; positive
	ObjectiveStretch float64       // the objective grows by this multiple of the query's own work
	Deadline         time.Duration // how long a client waits, over all its attempts; at least Objective
	Weight           float64       // what a complete answer in time is worth
	OverdueFraction  float64       // fraction of the weight left after the objective
	Idempotency      Idempotency
	DedupWindow      time.Duration // KeyedIdempotent: how long repeats are dropped
	MinFraction      float64       // least fraction of the parts for any answer, 0 to 1
	CompleteFraction float64       // fraction of the parts that makes an answer complete, above 0, to 1
	PartialFraction  float64       // a partial answer is worth this x its fraction of the parts / CompleteFraction
	FollowUpParts    int           // parts of a second step; 0: one step only
}

// Tenant is a customer with an agreed rate.
type Tenant struct {
	Quota float64 // queries a second over all balancers; 0: no limit
}

// Settings are what a Balancer is given at its start. It keeps the slices, so they must not change
// afterwards.
type Settings struct {
	Seed      uint64        // of its random numbers
	Instances int           // balancers of this kind, this one included; at least 1
	Tick      time.Duration // shortest time between two turns; positive
	Zone      int           // this balancer's zone

	Classes         []Class // at least one; queries name them by index
	Tenants         []Tenant
	OverQuotaFactor float64 // by which the weight of a query beyond its tenant's quota is multiplied
	WeightByWork    bool    // weight is counted in proportion to work

	// Shard s is held by the replicas of cells (s+j) mod Cells, 0 <= j < Reach. Each is at least 1.
	Cells  int
	Reach  int
	Shards int

	CallWork     time.Duration // work of a call beside that of its parts
	MaxCallParts int           // most parts that share one call
	WarmKeys     bool          // a replica does a key it met lately with less work

	MaxAttempts        int // of one part; at least 1
	CanHedge           bool
	CanCancel          bool
	CanProbe           bool
	ClientsMarkRetries bool          // clients flag their retries
	MaxRetryAfter      time.Duration // the longest Retry-After that clients follow; 0: they get none
	LoadReportsOnProbe bool          // load reports come with probes only
	ListOnRequest      bool          // the endpoint list must be asked for
	PeerMessages       bool          // gossip messages between balancers are allowed
	ProbeTimeout       time.Duration // the longest a probe takes to be answered or given up

	Rules Rules
}

// Rules are the figures that the platform states for its rules.
type Rules struct {
	MaxListAge        time.Duration // ListOnRequest: the age from which a list counts as stale
	WarmupPeriod      time.Duration // a started replica is warm after it
	WarmupMinCapacity float64       // least fraction of its capacity at the start
	OverloadMultiple  float64       // a replica that warms up falls over if it gets more than this multiple of its
	OverloadPeriod    time.Duration // capacity for this long
	RetryBudgetWindow time.Duration // retries are counted over it; 0: no budget
	RetryBudgetBase   float64       // retries allowed within any window
	RetryBudgetRatio  float64       // further retries allowed in it for each query and part
}

// GossipEnabled reports whether balancers exchange gossip messages: where they are few, each sees enough itself.
func (set *Settings) GossipEnabled() bool {
	return set.PeerMessages && set.Instances > fleet.MaxExtrapolated
}

// minObjective is the shortest latency objective of all classes. There must be one.
func (set *Settings) minObjective() time.Duration {
	shortest := set.Classes[0].Objective
	for _, class := range set.Classes {
		shortest = min(shortest, class.Objective)
	}
	return shortest
}

// tenantRates are the tenants' rates at this balancer, in queries a second; 0: no limit.
func (set *Settings) tenantRates() []float64 {
	rates := make([]float64, len(set.Tenants))
	for i, tenant := range set.Tenants {
		rates[i] = tenant.Quota / float64(set.Instances)
	}
	return rates
}

// check says what is wrong with settings.
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
		return fmt.Errorf("balance: %d attempts a part: must be at least 1", set.MaxAttempts)
	case set.Rules.RetryBudgetWindow < 0 || set.Rules.RetryBudgetBase < 0 || set.Rules.RetryBudgetRatio < 0:
		return fmt.Errorf("balance: budget of %v and %v within %v: must not be negative",
			set.Rules.RetryBudgetBase, set.Rules.RetryBudgetRatio, set.Rules.RetryBudgetWindow)
	case set.Rules.MaxListAge < 0:
		return fmt.Errorf("balance: endpoint list stale after %v: must not be negative",
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
		return fmt.Errorf("complete with %v of the parts, least %v: must be fractions", c.CompleteFraction, c.MinFraction)
	}
	return nil
}
