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

// Deployment is all that the settings state: what the balancer needs, and what an aggregator on sockets needs beside it.
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
	MaxRetryAfter  time.Duration // the longest Retry-After that clients follow, whether or not the simulator forwards it
}

// Parse reads the settings object. Unknown keys are ignored. Where it returns an error, the Deployment is not complete.
func Parse(text []byte) (Deployment, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		Decisions: doc.balancerSettings(),
		Zones:     doc.Zones, ConnIdle: doc.Limits.ConnIdle.duration(), ConnectTimeout: doc.Limits.ConnectTimeout.duration(),
		InstanceIndex: doc.Rank, MaxOpen: doc.Limits.MaxOpen, StreamsPerConn: max(1, doc.Limits.StreamsPerConn),
		MaxRetryAfter: doc.Limits.MaxRetryAfter.duration(),
	}
	classes, err := doc.classes()
	if err != nil {
		return d, fmt.Errorf("settings: %w", err)
	}
	d.Decisions.Classes = classes
	for _, c := range doc.Classes {
		d.Classes = append(d.Classes, c.Name)
	}
	for _, o := range doc.Orgs {
		d.Tenants = append(d.Tenants, o.Name)
		d.Decisions.Tenants = append(d.Decisions.Tenants, balance.Tenant{Quota: o.Quota})
	}
	return d, nil
}

// balancerSettings are the settings of the balancer but for its classes, tenants and seed.
func (doc *document) balancerSettings() balance.Settings {
	s := balance.Settings{
		Instances: doc.Instances, Tick: doc.Tick.duration(), Zone: doc.Zone, OverQuotaFactor: doc.OverShareWorth,
		WeightByWork: doc.CountedBy == "work",
		Cells:        doc.Extra.Cells, Reach: doc.Extra.InARow, Shards: doc.Extra.Slices,
		CallWork: doc.Extra.Call.duration(), MaxCallParts: doc.Extra.PerCall, WarmKeys: doc.Extra.WarmKeys,
		MaxAttempts: doc.Limits.SendCap, CanHedge: doc.Limits.SecondCopies,
		CanCancel: doc.Limits.Cancel, CanProbe: doc.Limits.Probing,
		ClientsMarkRetries: doc.Callers.MarksRetry,
		PeerMessages:       doc.Limits.PeerMessages, ProbeTimeout: doc.Limits.ConnectTimeout.duration(),
		LoadReportsOnProbe: doc.LoadInfo.How == "pull", ListOnRequest: doc.RegistryMode == "on_request",
		Rules: doc.rules(),
	}
	if doc.Limits.RetryAfter {
		s.MaxRetryAfter = doc.Limits.MaxRetryAfter.duration()
	}
	return s
}

// rules are the rules of the platform that the balancer keeps to.
func (doc *document) rules() balance.Rules {
	return balance.Rules{
		WarmupPeriod: doc.Rules.Cold.duration(), WarmupMinCapacity: doc.Rules.ColdFrom,
		OverloadMultiple: doc.Rules.TipMultiple, OverloadPeriod: doc.Rules.Fall.duration(),
		RetryBudgetWindow: doc.Rules.BudgetWindow.duration(), RetryBudgetBase: doc.Rules.BudgetFree,
		RetryBudgetRatio: doc.Rules.FurtherRatio, MaxListAge: doc.Rules.MustAskIn.duration(),
	}
}

// classes are the request classes, of which "extra" states some values in lists of their own.
func (doc *document) classes() (classes []balance.Class, err error) {
	n, extra := len(doc.Classes), &doc.Extra
	if len(extra.ClassFloor) != n || len(extra.NeedByClass) != n || len(extra.IncompleteWorth) != n || len(extra.FollowUp) != n {
		return nil, errors.New("extra does not state each class once")
	}
	for i, c := range doc.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return nil, fmt.Errorf("class %d: effect %q is not known", i, c.Effect)
		}
		classes = append(classes, balance.Class{
			Objective: c.Aim.duration(), ObjectiveStretch: c.AimStretch, Deadline: c.Deadline.duration(), Weight: c.Credit,
			OverdueFraction: c.LateWorth, Idempotency: effect, DedupWindow: c.MemorySpan.duration(),
			MinFraction: extra.ClassFloor[i], CompleteFraction: extra.NeedByClass[i], PartialFraction: extra.IncompleteWorth[i],
			FollowUpParts: extra.FollowUp[i],
		})
	}
	return classes, nil
}

// SetLoadValue stores one value of a load report in its field. Leaf servers name the values as the simulator does, or as
// the leaf protocol's specification does; unknown names are skipped.
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
