package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rooktrestle/balance"
)

// micros is a time on the wire.
type micros int64

func (m micros) time() time.Duration { return time.Duration(m) * time.Microsecond }

// env is the settings object as the wire spells it. Other keys are ignored.
type env struct {
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

var effects = map[string]balance.Effect{
	"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe,
}

// Deployment is all that the settings state: what the decisions need, and what a mixer on sockets needs beside it.
type Deployment struct {
	Decisions      balance.Settings
	Classes        []string // names, in the order of Decisions.Classes
	Tenants        []string
	Zones          []string
	ConnIdle       time.Duration // a connection left idle for so long is closed by the server
	ConnectTimeout time.Duration
	Rank           int           // this mixer's number among its peers, from 0
	MaxOpen        int           // queries and parts held; 0: not limited
	Streams        int           // calls at once on one connection
	MaxRetryAfter  time.Duration // the longest advice that clients follow, whether or not the simulator forwards it
}

// ParseSettings reads what the decisions need. Keys that it does not know are ignored.
func ParseSettings(text []byte) (balance.Settings, error) {
	d, err := ParseDeployment(text)
	return d.Decisions, err
}

// ParseDeployment reads the settings object whole.
func ParseDeployment(text []byte) (Deployment, error) {
	var e env
	if err := json.Unmarshal(text, &e); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		Zones: e.Zones, ConnIdle: e.Limits.ConnIdle.time(), ConnectTimeout: e.Limits.ConnectTimeout.time(),
		Rank: e.Rank, MaxOpen: e.Limits.MaxOpen, Streams: max(1, e.Limits.StreamsPerConn),
		MaxRetryAfter: e.Limits.MaxRetryAfter.time(),
	}
	set := balance.Settings{
		Instances: e.Instances, Tick: e.Tick.time(), Zone: e.Zone, OverShareWorth: e.OverShareWorth,
		ByWork: e.CountedBy == "work",
		Cells:  e.Extra.Cells, Reach: e.Extra.InARow, Shards: e.Extra.Slices,
		CallWork: e.Extra.Call.time(), CallParts: e.Extra.PerCall, WarmKeys: e.Extra.WarmKeys,
		MaxAttempts: e.Limits.SendCap, SecondCopies: e.Limits.SecondCopies,
		CanCancel: e.Limits.Cancel, CanProbe: e.Limits.Probing,
		MarksRetry: e.Callers.MarksRetry,
		Peers:      e.Limits.PeerMessages, ProbeWait: e.Limits.ConnectTimeout.time(),
		ReportsOnProbe: e.LoadInfo.How == "pull", OnRequest: e.RegistryMode == "on_request",
		Rules: balance.Rules{
			ColdFor: e.Rules.Cold.time(), ColdFrom: e.Rules.ColdFrom,
			TipMultiple: e.Rules.TipMultiple, TipFor: e.Rules.Fall.time(),
			BudgetWindow: e.Rules.BudgetWindow.time(), BudgetFree: e.Rules.BudgetFree,
			BudgetRatio: e.Rules.FurtherRatio, MustAskIn: e.Rules.MustAskIn.time(),
		},
	}
	if e.Limits.RetryAfter {
		set.MaxRetryAfter = e.Limits.MaxRetryAfter.time()
	}
	n := len(e.Classes)
	x := e.Extra
	if len(x.ClassFloor) != n || len(x.NeedByClass) != n || len(x.IncompleteWorth) != n || len(x.FollowUp) != n {
		return d, errors.New("settings: extra does not state each class once")
	}
	for i, c := range e.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return d, fmt.Errorf("settings: class %d: effect %q is not known", i, c.Effect)
		}
		d.Classes = append(d.Classes, c.Name)
		set.Classes = append(set.Classes, balance.Class{
			Aim: c.Aim.time(), AimStretch: c.AimStretch, Deadline: c.Deadline.time(), Worth: c.Credit,
			LateWorth: c.LateWorth, Effect: effect, Window: c.MemorySpan.time(),
			Floor: x.ClassFloor[i], Need: x.NeedByClass[i], Partial: x.IncompleteWorth[i],
			FollowUp: x.FollowUp[i],
		})
	}
	for _, o := range e.Orgs {
		d.Tenants = append(d.Tenants, o.Name)
		set.Tenants = append(set.Tenants, balance.Tenant{Quota: o.Quota})
	}
	d.Decisions = set
	return d, nil
}
