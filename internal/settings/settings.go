// Package settings parses the settings object that the platform passes to each aggregator, and the simulator to each
// simulated one. It contains classes, tenants, zones, limits and the rules of the platform. The keys of the object are
// the platform's; the fields here use the terms of the code.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rooktrestle/balance"
)

// Deployment contains all values of the settings object: those for the balancer, and those that only an aggregator on
// sockets needs.
type Deployment struct {
	BalancerSettings balance.Settings // all except the seed
	Classes          []string         // names, in the order of BalancerSettings.Classes
	Tenants          []string         // names, in the order of BalancerSettings.Tenants
	Zones            []string         // names, by the zone's number
	ConnIdle         time.Duration    // idle time after which servers close a connection
	ConnectTimeout   time.Duration
	InstanceIndex    int           // this aggregator's number among its peers, from 0
	MaxOpen          int           // maximum number of open queries and parts; 0: unlimited
	StreamsPerConn   int           // concurrent calls on one connection, at least 1
	MaxRetryAfter    time.Duration // longest Retry-After that clients honor, whether or not the simulator forwards it
}

// Parse parses the settings object. Unknown keys are ignored. If it returns an error, the Deployment is incomplete.
func Parse(text []byte) (Deployment, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		BalancerSettings: doc.balancerSettings(),
		Zones:            doc.Zones,
		ConnIdle:         doc.Limits.ConnIdle.duration(),
		ConnectTimeout:   doc.Limits.ConnectTimeout.duration(),
		InstanceIndex:    doc.InstanceIndex,
		MaxOpen:          doc.Limits.MaxOpen,
		StreamsPerConn:   max(1, doc.Limits.StreamsPerConn),
		MaxRetryAfter:    doc.Limits.MaxRetryAfter.duration(),
	}
	classes, err := doc.classes()
	if err != nil {
		return d, fmt.Errorf("settings: %w", err)
	}
	d.BalancerSettings.Classes = classes
	for _, class := range doc.Classes {
		d.Classes = append(d.Classes, class.Name)
	}
	for _, tenant := range doc.Tenants {
		d.Tenants = append(d.Tenants, tenant.Name)
		d.BalancerSettings.Tenants = append(d.BalancerSettings.Tenants, balance.Tenant{Quota: tenant.Quota})
	}
	return d, nil
}

// balancerSettings returns the settings of the balancer without its classes, tenants and seed.
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

// rules returns the rules of the platform that the balancer obeys.
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

// classes returns the query classes. Some of their values are in lists of "extra", by class.
func (doc *document) classes() (classes []balance.Class, err error) {
	if !doc.extraCoversEachClass() {
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

// extraCoversEachClass reports whether each list of "extra" has one value per class.
func (doc *document) extraCoversEachClass() bool {
	classes := len(doc.Classes)
	extra := &doc.Extra
	return len(extra.MinFractions) == classes && len(extra.CompleteFractions) == classes &&
		len(extra.PartialFractions) == classes && len(extra.FollowUpParts) == classes
}

// SetLoadValue stores one value of a load report in its field. Leaf servers use either the simulator's names of the
// values or those of the leaf protocol's specification; unknown names are ignored.
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
