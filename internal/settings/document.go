package settings

import (
	"time"

	"rooktrestle/balance"
)

// micros is a duration in the settings object, in microseconds.
type micros int64

func (m micros) duration() time.Duration { return time.Duration(m) * time.Microsecond }

// document is the settings object. Its tags are the platform's names; its fields use the terms of the code. Unknown
// keys are ignored.
type document struct {
	Classes []struct {
		Name             string  `json:"name"`
		Objective        micros  `json:"aim"`
		ObjectiveStretch float64 `json:"aim_stretch"`
		Weight           float64 `json:"credit"`
		Deadline         micros  `json:"deadline"`
		Idempotency      string  `json:"effect"` // a key of idempotencies
		OverdueFraction  float64 `json:"late_worth"`
		DedupWindow      micros  `json:"memory_span"`
	} `json:"classes"`
	Clients struct {
		MarkRetries bool `json:"marks_retry"`
	} `json:"callers"`
	WeightUnit string `json:"counted_by"`
	Extra      struct {
		CallWork          micros    `json:"call"`
		Cells             int       `json:"cells"`
		MinFractions      []float64 `json:"class_floor"` // by class, like the other lists
		FollowUpParts     []int     `json:"follow_up"`
		Reach             int       `json:"in_a_row"`
		PartialFractions  []float64 `json:"incomplete_worth"`
		CompleteFractions []float64 `json:"need_by_class"`
		MaxCallParts      int       `json:"per_call"`
		Shards            int       `json:"slices"`
		WarmKeys          bool      `json:"warm_keys"`
	} `json:"extra"`
	Limits struct {
		CanCancel      bool   `json:"cancel"`
		ConnIdle       micros `json:"conn_idle"`
		ConnectTimeout micros `json:"connect_timeout"`
		MaxOpen        int    `json:"max_open"`
		StreamsPerConn int    `json:"streams_per_conn"`
		MaxRetryAfter  micros `json:"max_retry_after"`
		PeerMessages   bool   `json:"peer_messages"`
		CanProbe       bool   `json:"probing"`
		RetryAfter     bool   `json:"retry_after"` // the simulator forwards Retry-After to its clients
		CanHedge       bool   `json:"second_copies"`
		MaxAttempts    int    `json:"send_cap"`
	} `json:"limits"`
	LoadReports struct {
		Delivery string `json:"how"`
	} `json:"load_info"`
	Instances     int `json:"n_instances"`
	InstanceIndex int `json:"rank"`
	Tenants       []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"orgs"`
	OverQuotaFactor float64 `json:"over_share_worth"`
	DiscoveryMode   string  `json:"registry_mode"`
	Rules           struct {
		RetryBudgetBase   float64 `json:"budget_free"`
		RetryBudgetWindow micros  `json:"budget_window"`
		WarmupPeriod      micros  `json:"cold"`
		WarmupMinCapacity float64 `json:"cold_from"`
		OverloadPeriod    micros  `json:"fall"`
		RetryBudgetRatio  float64 `json:"further_ratio"`
		MaxListAge        micros  `json:"must_ask_in"`
		OverloadMultiple  float64 `json:"tip_multiple"`
	} `json:"rules"`
	Tick  micros   `json:"tick"`
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"`
}

// The platform's names for values that the code distinguishes.
const (
	weightByWork      = "work"       // of document.WeightUnit
	reportsOnProbe    = "pull"       // of document.LoadReports.Delivery
	discoveryOnDemand = "on_request" // of document.DiscoveryMode
)

// idempotencies are the kinds of idempotency by the platform's names.
var idempotencies = map[string]balance.Idempotency{
	"safe":   balance.Idempotent,
	"keyed":  balance.KeyedIdempotent,
	"unsafe": balance.NonIdempotent,
}
