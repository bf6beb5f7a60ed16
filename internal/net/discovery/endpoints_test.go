package discovery

import (
	"testing"
	"time"

	"rooktrestle/balance"
)

func TestParse(t *testing.T) {
	version, change, err := Parse([]byte(`{"version":41,"full":true,"servers":[
		{"id":"s","addr":"a:1","zone":"east","cell":3,"state":"SERVING","weight":1.5,"started_ms":1700000000123},
		{"id":"d","zone":"b","state":"DRAINING"},
		{"id":"g","state":"DELETED"},
		{"id":"n","zone":"south","state":"NEW"}]}`), []string{"west", "east"})
	if err != nil || version != 41 || change.Kind != balance.ListFull || len(change.Servers) != 4 {
		t.Fatal(version, change, err)
	}
	s := change.Servers[0]
	if s.Zone != 1 || s.Cell != 3 || s.Weight != 1.5 {
		t.Errorf("%+v", s)
	}
	if !s.Started.Equal(time.UnixMilli(1700000000123)) {
		t.Errorf("started %v", s.Started)
	}
	wantStates := []balance.EndpointState{balance.InService, balance.Draining, balance.Removed, balance.Draining}
	for i, want := range wantStates {
		if change.Servers[i].State != want {
			t.Errorf("%d: %v, want %v", i, change.Servers[i].State, want)
		}
	}
	if !change.Servers[1].Started.IsZero() || change.Servers[1].Zone != 1 || change.Servers[3].Zone != 2 {
		t.Errorf("%+v", change.Servers)
	}
}

func TestParse_RejectsWhatIsNoList(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":                "",
		"an array":               "[]",
		"a server without an id": `{"servers":[{"addr":"x"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := Parse([]byte(text), nil); err == nil {
				t.Errorf("%q was accepted", text)
			}
		})
	}
}
