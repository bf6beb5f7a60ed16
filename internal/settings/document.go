package settings

import (
	"time"

	"rooktrestle/balance"
)

// micros is a duration in the settings object, in microseconds.
type micros int64

func (m micros) duration() time.Duration { return time.Duration(m) * time.Microsecond }

// document is the settings object as the platform spells it: the tags are the platform's words. Other keys are ignored.
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

// effects are the platform's words for what a repetition of a request does.
var effects = map[string]balance.Idempotency{
	"safe": balance.Idempotent, "keyed": balance.KeyedIdempotent, "unsafe": balance.NonIdempotent,
}
