// Package settings reads the settings object that the platform hands to each aggregator, and the simulator to each
// simulated one. It states classes, tenants, zones, limits and the rules of the platform. The object's keys are the
// platform's words and stay; the fields here carry the terms of the code.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rooktrestle/balance"
)

// micros is a duration in the settings object, in microseconds.
type micros int64

func (m micros) duration() time.Duration { return time.Duration(m) * time.Microsecond }

// document is the settings object as the platform spells it. Other keys are ignored.
type document struct {
	Classes []struct {
		Name       string  `json:"name"`
		Aim        micros  `json:"aim"`
		AimStretch float64 `json:"aim_stretch"`
		Credit     float64 `json:"credit"`
		Deadline   micros  `json:"deadline"`
		Effect     string  `json:"effect"`
		LateWorth  float64 `json:"late_worth"`
		MemorySpan micros  `json:"memory_span"`
	} `json:"classes"`
	Callers struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"callers"`
	CountedBy string `json:"counted_by"`
	Extra     struct {
		Call            micros    `json:"call"`
		Cells           int       `json:"cells"`
		ClassFloor      []float64 `json:"class_floor"`
		FollowUp        []int     `json:"follow_up"`
		InARow          int       `json:"in_a_row"`
		IncompleteWorth []float64 `json:"incomplete_worth"`
		NeedByClass     []float64 `json:"need_by_class"`
		PerCall         int       `json:"per_call"`
		Slices          int       `json:"slices"`
		WarmKeys        bool      `json:"warm_keys"`
	} `json:"extra"`
	Limits struct {
		Cancel         bool   `json:"cancel"`
		ConnIdle       micros `json:"conn_idle"`
		ConnectTimeout micros `json:"connect_timeout"`
		MaxOpen        int    `json:"max_open"`
		StreamsPerConn int    `json:"streams_per_conn"`
		MaxRetryAfter  micros `json:"max_retry_after"`
		PeerMessages   bool   `json:"peer_messages"`
		Probing        bool   `json:"probing"`
		RetryAfter     bool   `json:"retry_after"`
		SecondCopies   bool   `json:"second_copies"`
		SendCap        int    `json:"send_cap"`
	} `json:"limits"`
	LoadInfo struct {
		How string `json:"how"`
	} `json:"load_info"`
	Instances int `json:"n_instances"`
	Rank      int `json:"rank"`
	Orgs      []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"orgs"`
	OverShareWorth float64 `json:"over_share_worth"`
	RegistryMode   string  `json:"registry_mode"`
	Rules          struct {
		BudgetFree   float64 `json:"budget_free"`
		BudgetWindow micros  `json:"budget_window"`
		Cold         micros  `json:"cold"`
		ColdFrom     float64 `json:"cold_from"`
		Fall         micros  `json:"fall"`
		FurtherRatio float64 `json:"further_ratio"`
		MustAskIn    micros  `json:"must_ask_in"`
		TipMultiple  float64 `json:"tip_multiple"`
	} `json:"rules"`
	Tick  micros   `json:"tick"`
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"`
}

var effects = map[string]balance.Idempotency{
	"safe": balance.Idempotent, "keyed": balance.KeyedIdempotent, "unsafe": balance.NonIdempotent,
}

// Deployment is all that the settings state: what the decisions need, and what a mixer on sockets needs beside it.
type Deployment struct {
	Decisions      balance.Settings
	Classes        []string // names, in the order of Decisions.Classes
	Tenants        []string
	Zones          []string
	ConnIdle       time.Duration // a connection left idle for so long is closed by the server
	ConnectTimeout time.Duration
	InstanceIndex  int           // this mixer's number among its peers, from 0
	MaxOpen        int           // queries and parts held; 0: not limited
	StreamsPerConn int           // calls at once on one connection
	MaxRetryAfter  time.Duration // the longest advice that clients follow, whether or not the simulator forwards it
}

// Parse reads the settings object. Unknown keys are ignored.
func Parse(text []byte) (Deployment, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		Zones: doc.Zones, ConnIdle: doc.Limits.ConnIdle.duration(), ConnectTimeout: doc.Limits.ConnectTimeout.duration(),
		InstanceIndex: doc.Rank, MaxOpen: doc.Limits.MaxOpen, StreamsPerConn: max(1, doc.Limits.StreamsPerConn),
		MaxRetryAfter: doc.Limits.MaxRetryAfter.duration(),
	}
	set := balance.Settings{
		Instances: doc.Instances, Tick: doc.Tick.duration(), Zone: doc.Zone, OverQuotaFactor: doc.OverShareWorth,
		WeightByWork: doc.CountedBy == "work",
		Cells:        doc.Extra.Cells, Reach: doc.Extra.InARow, Shards: doc.Extra.Slices,
		CallWork: doc.Extra.Call.duration(), MaxCallParts: doc.Extra.PerCall, WarmKeys: doc.Extra.WarmKeys,
		MaxAttempts: doc.Limits.SendCap, CanHedge: doc.Limits.SecondCopies,
		CanCancel: doc.Limits.Cancel, CanProbe: doc.Limits.Probing,
		ClientsMarkRetries: doc.Callers.MarksRetry,
		PeerMessages:       doc.Limits.PeerMessages, ProbeTimeout: doc.Limits.ConnectTimeout.duration(),
		LoadReportsOnProbe: doc.LoadInfo.How == "pull", ListOnRequest: doc.RegistryMode == "on_request",
		Rules: balance.Rules{
			WarmupPeriod: doc.Rules.Cold.duration(), WarmupMinCapacity: doc.Rules.ColdFrom,
			OverloadMultiple: doc.Rules.TipMultiple, OverloadPeriod: doc.Rules.Fall.duration(),
			RetryBudgetWindow: doc.Rules.BudgetWindow.duration(), RetryBudgetBase: doc.Rules.BudgetFree,
			RetryBudgetRatio: doc.Rules.FurtherRatio, MaxListAge: doc.Rules.MustAskIn.duration(),
		},
	}
	if doc.Limits.RetryAfter {
		set.MaxRetryAfter = doc.Limits.MaxRetryAfter.duration()
	}
	n := len(doc.Classes)
	x := doc.Extra
	if len(x.ClassFloor) != n || len(x.NeedByClass) != n || len(x.IncompleteWorth) != n || len(x.FollowUp) != n {
		return d, errors.New("settings: extra does not state each class once")
	}
	for i, c := range doc.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return d, fmt.Errorf("settings: class %d: effect %q is not known", i, c.Effect)
		}
		d.Classes = append(d.Classes, c.Name)
		set.Classes = append(set.Classes, balance.Class{
			Objective: c.Aim.duration(), ObjectiveStretch: c.AimStretch, Deadline: c.Deadline.duration(), Weight: c.Credit,
			OverdueFraction: c.LateWorth, Idempotency: effect, DedupWindow: c.MemorySpan.duration(),
			MinFraction: x.ClassFloor[i], CompleteFraction: x.NeedByClass[i], PartialFraction: x.IncompleteWorth[i],
			FollowUpParts: x.FollowUp[i],
		})
	}
	for _, o := range doc.Orgs {
		d.Tenants = append(d.Tenants, o.Name)
		set.Tenants = append(set.Tenants, balance.Tenant{Quota: o.Quota})
	}
	d.Decisions = set
	return d, nil
}

// SetLoadValue stores one value of a load report under its field. Leaf servers name the values as the settings do, or
// by the words of the protocol's page; unknown names are skipped.
func SetLoadValue(r *balance.LoadReport, name string, value float64) {
	switch name {
	case "pending", "queue":
		r.Queue = value
	case "busy_reqs", "inflight":
		r.InFlight = value
	case "cpu_share", "util":
		r.Utilization = value
	}
}
