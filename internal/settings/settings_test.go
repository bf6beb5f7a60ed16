package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
)

// extra is the part of the settings object with the values of one class.
const extra = `"extra":{"class_floor":[1],"follow_up":[0],"incomplete_worth":[1],"need_by_class":[1]}`

func TestParse_StatesWhatAnAggregatorOnSocketsNeeds(t *testing.T) {
	d, err := Parse([]byte(`{"classes":[{"name":"search","effect":"safe"}],` + extra +
		`,"orgs":[{"name":"tenant"}],"zones":["z0","z1"],"rank":3,` +
		`"limits":{"conn_idle":2000,"connect_timeout":3000,"max_open":4,"max_retry_after":5000},"unknown":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	d.BalancerSettings = balance.Settings{} // tested in package simadapter
	want := Deployment{
		Classes:        []string{"search"},
		Tenants:        []string{"tenant"},
		Zones:          []string{"z0", "z1"},
		InstanceIndex:  3,
		ConnIdle:       2 * time.Millisecond,
		ConnectTimeout: 3 * time.Millisecond,
		MaxOpen:        4,
		StreamsPerConn: 1,
		MaxRetryAfter:  5 * time.Millisecond,
	}
	if !reflect.DeepEqual(d, want) {
		t.Errorf("got %+v, want %+v", d, want)
	}
}

// Clients of the simulator honor Retry-After only if the simulator forwards it; clients on sockets always do.
func TestParse_BalancerHasNoRetryAfterWhereItIsNotForwarded(t *testing.T) {
	for forwarded, want := range map[string]time.Duration{"true": time.Second, "false": 0} {
		d, err := Parse([]byte(`{"classes":[{"effect":"safe"}],` + extra +
			`,"limits":{"max_retry_after":1000000,"retry_after":` + forwarded + `}}`))
		balancer := d.BalancerSettings.MaxRetryAfter
		if err != nil || balancer != want || d.MaxRetryAfter != time.Second {
			t.Errorf("forwarded %s: balancer %v, sockets %v, error %v", forwarded, balancer, d.MaxRetryAfter, err)
		}
	}
}

func TestParse_NamesWhatIsInvalid(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                               "settings: unexpected end of JSON input",
		`{"classes":[{"effect":"safe"}]}`: "settings: extra does not state each class once",
		`{"classes":[{"effect":"odd"}],` + extra + `}`: `settings: class 0: effect "odd" is not known`,
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: error %v, want %s", text, err, want)
		}
	}
}

func TestSetLoadValue_KnowsBothNamesOfEachValue(t *testing.T) {
	for _, names := range [][3]string{{"pending", "busy_reqs", "cpu_share"}, {"queue", "inflight", "util"}} {
		var got balance.LoadReport
		for i, name := range names {
			SetLoadValue(&got, name, float64(i+1))
		}
		SetLoadValue(&got, "unknown", 9)
		if want := (balance.LoadReport{Queue: 1, InFlight: 2, Utilization: 3}); got != want {
			t.Errorf("%v: got %+v, want %+v", names, got, want)
		}
	}
}
