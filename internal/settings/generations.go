package settings

import (
	"slices"
	"time"

	"rooktrestle/balance"
)

// indexReuseDelay is how long the index of a dropped class stays unused. A request that looked up the class before the
// change has posted its query to the loop by then.
const indexReuseDelay = time.Minute

// Generations assigns each class and each tenant of successive settings an index that keeps its meaning for as long as
// one of its queries may be open. A class whose definition changes counts as a new class: open queries keep the
// previous definition. It is not safe for concurrent use.
type Generations struct {
	classes []classSlot // by index
	tenants []string    // names, by index; never removed
	current Deployment
}

// classSlot is the class to which an index refers.
type classSlot struct {
	name      string
	class     balance.Class
	droppedAt time.Time // zero: the class is in the current settings
}

// NewGenerations returns Generations whose indices are the order of the classes and tenants in the first settings.
func NewGenerations(first Deployment) *Generations {
	g := &Generations{tenants: slices.Clone(first.Tenants), current: first}
	for i, name := range first.Classes {
		g.classes = append(g.classes, classSlot{name: name, class: first.BalancerSettings.Classes[i]})
	}
	return g
}

// Change is the result of adopting new settings.
type Change struct {
	// Deployment contains the classes and tenants of all indices, including dropped ones.
	Deployment      Deployment
	ReplacedClasses []int          // indices that now refer to another class, or were unused before
	Classes         map[string]int // indices of the classes in the new settings
	Tenants         map[string]int // indices of the tenants in the new settings
}

// Adopt replaces the classes, the tenants and the limits on queries, attempts and Retry-After by those of new settings.
// inUse reports whether a query of a class, or an attempt of one, is still open.
func (g *Generations) Adopt(now time.Time, next Deployment, inUse func(class int) bool) Change {
	change := Change{Classes: map[string]int{}, Tenants: map[string]int{}}
	for i, name := range next.Classes {
		class := next.BalancerSettings.Classes[i]
		index := g.indexOf(name, class)
		if index < 0 {
			index = g.freeIndex(now, inUse)
			change.ReplacedClasses = append(change.ReplacedClasses, index)
		}
		g.classes[index] = classSlot{name: name, class: class}
		change.Classes[name] = index
	}
	g.markDropped(now, change.Classes)
	for _, name := range next.Tenants {
		change.Tenants[name] = g.tenantIndex(name)
	}
	change.Deployment = g.merge(next, change.Tenants)
	g.current = change.Deployment
	return change
}

// indexOf returns the index of a current or dropped class with this name and definition, or -1 if there is none.
func (g *Generations) indexOf(name string, class balance.Class) int {
	return slices.IndexFunc(g.classes, func(slot classSlot) bool { return slot.name == name && slot.class == class })
}

// freeIndex returns an index for a new class: that of a class dropped long ago, or an additional one.
func (g *Generations) freeIndex(now time.Time, inUse func(class int) bool) int {
	for i, slot := range g.classes {
		if !slot.droppedAt.IsZero() && now.Sub(slot.droppedAt) > indexReuseDelay && !inUse(i) {
			return i
		}
	}
	g.classes = append(g.classes, classSlot{})
	return len(g.classes) - 1
}

// markDropped marks the classes that the new settings do not contain as dropped.
func (g *Generations) markDropped(now time.Time, current map[string]int) {
	for i := range g.classes {
		slot := &g.classes[i]
		if index, ok := current[slot.name]; slot.droppedAt.IsZero() && (!ok || index != i) {
			slot.droppedAt = now
		}
	}
}

func (g *Generations) tenantIndex(name string) int {
	if i := slices.Index(g.tenants, name); i >= 0 {
		return i
	}
	g.tenants = append(g.tenants, name)
	return len(g.tenants) - 1
}

// merge returns the current settings with the classes and tenants of all indices and the other values that may change
// while a process runs. A tenant that the new settings do not contain no longer has a quota.
func (g *Generations) merge(next Deployment, tenants map[string]int) Deployment {
	merged := g.current
	merged.MaxOpen = next.MaxOpen
	merged.MaxRetryAfter = next.MaxRetryAfter
	merged.BalancerSettings.MaxAttempts = next.BalancerSettings.MaxAttempts
	merged.BalancerSettings.OverQuotaFactor = next.BalancerSettings.OverQuotaFactor
	merged.BalancerSettings.MaxRetryAfter = next.BalancerSettings.MaxRetryAfter
	merged.Classes = nil
	merged.BalancerSettings.Classes = nil
	for _, slot := range g.classes {
		merged.Classes = append(merged.Classes, slot.name)
		merged.BalancerSettings.Classes = append(merged.BalancerSettings.Classes, slot.class)
	}
	merged.Tenants = slices.Clone(g.tenants)
	merged.BalancerSettings.Tenants = make([]balance.Tenant, len(g.tenants))
	for i, name := range next.Tenants {
		merged.BalancerSettings.Tenants[tenants[name]] = next.BalancerSettings.Tenants[i]
	}
	return merged
}

// SameButForReload reports whether other settings differ only in values that Adopt replaces.
func (d Deployment) SameButForReload(other Deployment) bool {
	return restartOnlyOf(d) == restartOnlyOf(other) && slices.Equal(d.Zones, other.Zones)
}

// restartOnly contains the values that only a restart of the process applies.
type restartOnly struct {
	rules              balance.Rules
	tick               time.Duration
	connIdle           time.Duration
	connectTimeout     time.Duration
	instances          int
	instanceIndex      int
	zone               int
	cells              int
	reach              int
	shards             int
	maxCallParts       int
	streamsPerConn     int
	canHedge           bool
	canCancel          bool
	canProbe           bool
	peerMessages       bool
	clientsMarkRetries bool
	loadReportsOnProbe bool
	listOnRequest      bool
	weightByWork       bool
}

func restartOnlyOf(d Deployment) restartOnly {
	balancer := &d.BalancerSettings
	return restartOnly{
		rules:              balancer.Rules,
		tick:               balancer.Tick,
		connIdle:           d.ConnIdle,
		connectTimeout:     d.ConnectTimeout,
		instances:          balancer.Instances,
		instanceIndex:      d.InstanceIndex,
		zone:               balancer.Zone,
		cells:              balancer.Cells,
		reach:              balancer.Reach,
		shards:             balancer.Shards,
		maxCallParts:       balancer.MaxCallParts,
		streamsPerConn:     d.StreamsPerConn,
		canHedge:           balancer.CanHedge,
		canCancel:          balancer.CanCancel,
		canProbe:           balancer.CanProbe,
		peerMessages:       balancer.PeerMessages,
		clientsMarkRetries: balancer.ClientsMarkRetries,
		loadReportsOnProbe: balancer.LoadReportsOnProbe,
		listOnRequest:      balancer.ListOnRequest,
		weightByWork:       balancer.WeightByWork,
	}
}
