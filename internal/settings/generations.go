package settings

import (
	"slices"
	"time"

	"rooktrestle/balance"
)

// indexRestPeriod is how long the index of a class that was dropped stays unused: whoever has read the name before the
// change has posted its query by then.
const indexRestPeriod = time.Minute

// Generations gives each class and each tenant of successive settings an index that keeps its meaning for as long as a query
// of it may be open. A class whose definition changes is another class: queries that are open keep the old one. It is not
// safe for concurrent use.
type Generations struct {
	classes []classSlot // by index
	tenants []string    // names, by index; none is ever dropped
	current Deployment
}

// classSlot is the class that an index stands for.
type classSlot struct {
	name      string
	class     balance.Class
	droppedAt time.Time // zero: it is in the present settings
}

// NewGenerations returns the indices of the first settings: their own order.
func NewGenerations(first Deployment) *Generations {
	g := &Generations{tenants: slices.Clone(first.Tenants), current: first}
	for i, name := range first.Classes {
		g.classes = append(g.classes, classSlot{name: name, class: first.Decisions.Classes[i]})
	}
	return g
}

// Change is what follows from new settings.
type Change struct {
	// Deployment has the classes and tenants of all indices, those that were dropped included.
	Deployment Deployment
	Fresh      []int          // indices that stand for another class than before, or for none before
	Classes    map[string]int // indices of the classes that the new settings name
	Tenants    map[string]int // and of the tenants
}

// Adopt takes the classes, tenants and limits on attempts of new settings. inUse says whether a query of a class, or an
// attempt, is still open.
func (g *Generations) Adopt(now time.Time, next Deployment, inUse func(class int) bool) Change {
	change := Change{Classes: map[string]int{}, Tenants: map[string]int{}}
	for i, name := range next.Classes {
		class := next.Decisions.Classes[i]
		index := g.indexOf(name, class)
		if index < 0 {
			index = g.freeIndex(now, inUse)
			change.Fresh = append(change.Fresh, index)
		}
		g.classes[index] = classSlot{name: name, class: class}
		change.Classes[name] = index
	}
	g.dropOthers(now, change.Classes)
	for _, name := range next.Tenants {
		change.Tenants[name] = g.tenantIndex(name)
	}
	change.Deployment = g.merge(next, change.Tenants)
	g.current = change.Deployment
	return change
}

// indexOf is the index of a class, present or dropped, with this name and definition; -1: there is none.
func (g *Generations) indexOf(name string, class balance.Class) int {
	return slices.IndexFunc(g.classes, func(slot classSlot) bool { return slot.name == name && slot.class == class })
}

// freeIndex is an index for a new class: that of a class long dropped, or a further one.
func (g *Generations) freeIndex(now time.Time, inUse func(class int) bool) int {
	for i, slot := range g.classes {
		if !slot.droppedAt.IsZero() && now.Sub(slot.droppedAt) > indexRestPeriod && !inUse(i) {
			return i
		}
	}
	g.classes = append(g.classes, classSlot{})
	return len(g.classes) - 1
}

// dropOthers notes which classes the new settings do not name.
func (g *Generations) dropOthers(now time.Time, present map[string]int) {
	for i := range g.classes {
		slot := &g.classes[i]
		if index, ok := present[slot.name]; slot.droppedAt.IsZero() && (!ok || index != i) {
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

// merge returns the present settings with the classes and tenants of all indices, and what else may change while a process
// runs. Tenants that the new settings do not name have no limit of their own any more.
func (g *Generations) merge(next Deployment, tenants map[string]int) Deployment {
	merged := g.current
	merged.MaxOpen = next.MaxOpen
	merged.MaxRetryAfter = next.MaxRetryAfter
	merged.Decisions.MaxAttempts = next.Decisions.MaxAttempts
	merged.Decisions.OverQuotaFactor = next.Decisions.OverQuotaFactor
	merged.Decisions.MaxRetryAfter = next.Decisions.MaxRetryAfter
	merged.Classes = nil
	merged.Decisions.Classes = nil
	for _, slot := range g.classes {
		merged.Classes = append(merged.Classes, slot.name)
		merged.Decisions.Classes = append(merged.Decisions.Classes, slot.class)
	}
	merged.Tenants = slices.Clone(g.tenants)
	merged.Decisions.Tenants = make([]balance.Tenant, len(g.tenants))
	for i, name := range next.Tenants {
		merged.Decisions.Tenants[tenants[name]] = next.Decisions.Tenants[i]
	}
	return merged
}

// SameButForReload reports whether other settings differ only in what Adopt takes over.
func (d Deployment) SameButForReload(other Deployment) bool {
	return fixedPart(d) == fixedPart(other) && slices.Equal(d.Zones, other.Zones)
}

// fixed is what only a start applies.
type fixed struct {
	rules          balance.Rules
	tick           time.Duration
	idle           time.Duration
	connectTimeout time.Duration
	instances      int
	index          int
	zone           int
	cells          int
	reach          int
	shards         int
	maxCallParts   int
	streams        int
	hedge          bool
	cancel         bool
	probe          bool
	gossip         bool
	marked         bool
	onProbe        bool
	listOnRequest  bool
	byWork         bool
}

func fixedPart(d Deployment) fixed {
	decisions := &d.Decisions
	return fixed{
		rules:          decisions.Rules,
		tick:           decisions.Tick,
		idle:           d.ConnIdle,
		connectTimeout: d.ConnectTimeout,
		instances:      decisions.Instances,
		index:          d.InstanceIndex,
		zone:           decisions.Zone,
		cells:          decisions.Cells,
		reach:          decisions.Reach,
		shards:         decisions.Shards,
		maxCallParts:   decisions.MaxCallParts,
		streams:        d.StreamsPerConn,
		hedge:          decisions.CanHedge,
		cancel:         decisions.CanCancel,
		probe:          decisions.CanProbe,
		gossip:         decisions.PeerMessages,
		marked:         decisions.ClientsMarkRetries,
		onProbe:        decisions.LoadReportsOnProbe,
		listOnRequest:  decisions.ListOnRequest,
		byWork:         decisions.WeightByWork,
	}
}
