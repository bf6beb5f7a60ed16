package sim

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// Existing replay files must stay readable: renaming a field must not change its key.
func TestSettings_KeysOfReplayFiles(t *testing.T) {
	s := Defaults(1)
	s.Faults = []Fault{{Kind: Gray}}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]json.RawMessage
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	want := "Cold Cores Discovery Evidence For Keep Mixers Network Nodes Parts Planted Rate Reach Retries RetryAt " +
		"Seed Skew Troubles Words Work Zones"
	if got := strings.Join(slices.Sorted(maps.Keys(file)), " "); got != want {
		t.Errorf("the keys are %s, want %s", got, want)
	}
	for key, want := range map[string]string{
		"Cold":      `{"For":0,"From":0,"Tip":0,"TipFor":0}`,
		"Discovery": `{"Kind":"","PerSecond":0,"Wait":0}`,
		"Troubles":  `[{"kind":"gray","from":0,"for":0,"nodes":0,"first":0,"size":0}]`,
	} {
		if got := string(file[key]); got != want {
			t.Errorf("%s is %s, want %s", key, got, want)
		}
	}
}

// A replay file that a previous version wrote is read with all its values.
func TestSettings_ReadEarlierReplayFile(t *testing.T) {
	const file = `{"Seed":1,"Mixers":3,"Nodes":14,"Work":20000000,"For":8000000000,"Words":true,
		"Cold":{"For":6000000000,"Tip":3},
		"Discovery":{"Kind":"shared","Wait":500000000},
		"Troubles":[{"kind":"cut","from":4024000000,"for":1718000000,"nodes":3,"first":5}],
		"Planted":"drain ignored"}`
	var s Settings
	if err := json.Unmarshal([]byte(file), &s); err != nil {
		t.Fatal(err)
	}
	if s.Aggregators != 3 || s.Replicas != 14 || s.MeanServiceTime != 20*time.Millisecond {
		t.Errorf("%+v", s)
	}
	if s.Duration != 8*time.Second || !s.Gossip {
		t.Errorf("%+v", s)
	}
	if s.Warmup.Period != 6*time.Second || s.Warmup.OverloadMultiple != 3 {
		t.Errorf("%+v", s.Warmup)
	}
	if s.Discovery.Kind != SharedService || s.Discovery.MaxWait != 500*time.Millisecond {
		t.Errorf("%+v", s.Discovery)
	}
	want := Fault{
		Kind:     Isolate,
		From:     4024 * time.Millisecond,
		Duration: 1718 * time.Millisecond,
		Replicas: 3,
		First:    5,
	}
	if len(s.Faults) != 1 || s.Faults[0] != want {
		t.Errorf("%+v", s.Faults)
	}
	if s.InjectedBug != BugDrainIgnored {
		t.Errorf("%q", s.InjectedBug)
	}
}
