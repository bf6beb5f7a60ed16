// Package settings reads the settings object that the platform hands to each aggregator, and the simulator to each
// simulated one. It states classes, tenants, zones, limits and the rules of the platform. The object's keys are the
// platform's; the fields here carry the terms of the code.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rooktrestle/balance"
)

// Deployment is all that the settings state: what the balancer needs, and what an aggregator on sockets needs
// beside it.
type Deployment struct {
	Decisions      balance.Settings // all but the seed
	Classes        []string         // names, in the order of Decisions.Classes
	Tenants        []string         // names, in the order of Decisions.Tenants
	Zones          []string         // names, by the zone's number
	ConnIdle       time.Duration    // servers close a connection that is idle for so long
	ConnectTimeout time.Duration
	InstanceIndex  int           // this aggregator's number among its peers, from 0
	MaxOpen        int           // queries and parts held; 0: not limited
	StreamsPerConn int           // calls at once on one connection, at least 1
	MaxRetryAfter  time.Duration // the longest Retry-After that clients follow, forwarded by the simulator or not
}

// Parse reads the settings object. Unknown keys are ignored. Where it returns an error, the Deployment is not complete.
func Parse(text []byte) (Deployment, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		Decisions:      doc.balancerSettings(),
		Zones:          doc.Zones,
		ConnIdle:       doc.Limits.ConnIdle.duration(),
		ConnectTimeout: doc.Limits.ConnectTimeout.duration(),
		InstanceIndex:  doc.InstanceIndex,
		MaxOpen:        doc.Limits.MaxOpen,
		StreamsPerConn: max(1, doc.Limits.StreamsPerConn),
		MaxRetryAfter:  doc.Limits.MaxRetryAfter.duration(),
	}
	classes, err := doc.classes()
	if err != nil {
		return d, fmt.Errorf("settings: %w", err)
	}
	d.Decisions.Classes = classes
	for _, class := range doc.Classes {
		d.Classes = append(d.Classes, class.Name)
	}
	for _, tenant := range doc.Tenants {
		d.Tenants = append(d.Tenants, tenant.Name)
		d.Decisions.Tenants = append(d.Decisions.Tenants, balance.Tenant{Quota: tenant.Quota})
	}
	return d, nil
}

// balancerSettings are the settings of the balancer but for its classes, tenants and seed.
func (doc *document) balancerSettings() balance.Settings {
	s := balance.Settings{
		Instances:          doc.Instances,
		Tick:               doc.Tick.duration(),
		Zone:               doc.Zone,
		OverQuotaFactor:    doc.OverQuotaFactor,
		WeightByWork:       doc.WeightUnit == weightByWork,
		Cells:              doc.Extra.Cells,
		Reach:              doc.Extra.Reach,
		Shards:             doc.Extra.Shards,
		CallWork:           doc.Extra.CallWork.duration(),
		MaxCallParts:       doc.Extra.MaxCallParts,
		WarmKeys:           doc.Extra.WarmKeys,
		MaxAttempts:        doc.Limits.MaxAttempts,
		CanHedge:           doc.Limits.CanHedge,
		CanCancel:          doc.Limits.CanCancel,
		CanProbe:           doc.Limits.CanProbe,
		ClientsMarkRetries: doc.Clients.MarkRetries,
		PeerMessages:       doc.Limits.PeerMessages,
		ProbeTimeout:       doc.Limits.ConnectTimeout.duration(),
		LoadReportsOnProbe: doc.LoadReports.Delivery == reportsOnProbe,
		ListOnRequest:      doc.DiscoveryMode == discoveryOnDemand,
		Rules:              doc.rules(),
	}
	if doc.Limits.RetryAfter {
		s.MaxRetryAfter = doc.Limits.MaxRetryAfter.duration()
	}
	return s
}

// rules are the rules of the platform that the balancer keeps to.
func (doc *document) rules() balance.Rules {
	return balance.Rules{
		WarmupPeriod:      doc.Rules.WarmupPeriod.duration(),
		WarmupMinCapacity: doc.Rules.WarmupMinCapacity,
		OverloadMultiple:  doc.Rules.OverloadMultiple,
		OverloadPeriod:    doc.Rules.OverloadPeriod.duration(),
		RetryBudgetWindow: doc.Rules.RetryBudgetWindow.duration(),
		RetryBudgetBase:   doc.Rules.RetryBudgetBase,
		RetryBudgetRatio:  doc.Rules.RetryBudgetRatio,
		MaxListAge:        doc.Rules.MaxListAge.duration(),
	}
}

// classes are the request classes, of which "extra" states some values in lists of their own.
func (doc *document) classes() (classes []balance.Class, err error) {
	if !doc.extraStatesEachClass() {
		return nil, errors.New("extra does not state each class once")
	}
	for i, class := range doc.Classes {
		idempotency, ok := idempotencies[class.Idempotency]
		if !ok {
			return nil, fmt.Errorf("class %d: effect %q is not known", i, class.Idempotency)
		}
		classes = append(classes, balance.Class{
			Objective:        class.Objective.duration(),
			ObjectiveStretch: class.ObjectiveStretch,
			Deadline:         class.Deadline.duration(),
			Weight:           class.Weight,
			OverdueFraction:  class.OverdueFraction,
			Idempotency:      idempotency,
			DedupWindow:      class.DedupWindow.duration(),
			MinFraction:      doc.Extra.MinFractions[i],
			CompleteFraction: doc.Extra.CompleteFractions[i],
			PartialFraction:  doc.Extra.PartialFractions[i],
			FollowUpParts:    doc.Extra.FollowUpParts[i],
		})
	}
	return classes, nil
}

// extraStatesEachClass reports whether each list of "extra" has one value for each class.
func (doc *document) extraStatesEachClass() bool {
	classes := len(doc.Classes)
	extra := &doc.Extra
	return len(extra.MinFractions) == classes && len(extra.CompleteFractions) == classes &&
		len(extra.PartialFractions) == classes && len(extra.FollowUpParts) == classes
}

// SetLoadValue stores one value of a load report in its field. Leaf servers name the values as the simulator does,
// or as the leaf protocol's specification does; unknown names are skipped.
func SetLoadValue(report *balance.LoadReport, name string, value float64) {
	switch name {
	case "pending", "queue":
		report.Queue = value
	case "busy_reqs", "inflight":
		report.InFlight = value
	case "cpu_share", "util":
		report.Utilization = value
	}
}
