package simadapter

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
)

// settingsJSON is a settings object that includes unknown keys.
const settingsJSON = `{"callers":{"marks_retry":true},` +
	`"classes":[{"aim":1000,"credit":2,"deadline":3000,"effect":"keyed","late_worth":0.3,` +
	`"memory_span":500,"unheard_of":1}],"counted_by":"work","extra":{"call":7,"cells":3,"class_floor":[0.5],` +
	`"follow_up":[2],"in_a_row":2,"incomplete_worth":[0.8],"need_by_class":[1],"per_call":4,"slices":6},` +
	`"limits":{"cancel":true,"send_cap":3},"load_info":{"how":"pull"},"n_instances":2,` +
	`"orgs":[{"quota_per_s":5,"share":0.5}],"rules":{"cold":9000,"must_ask_in":700,"tip_multiple":2.5},` +
	`"tick":10,"zone":1,"x":[]}`

// readFrame reads a frame that consists of the lines.
func readFrame(t *testing.T, lines ...string) (*Frame, error) {
	t.Helper()
	text := "FRAME\tsim_time=50\n" + strings.Join(lines, "\n") + "\nFLUSH\n"
	return NewReader(strings.NewReader(text)).Frame()
}

// everyEvent contains a line of each event that the balancer uses.
var everyEvent = []string{
	"TARGET_INSTANCE\tgatherer=gatherer_3",
	"POWER_ON\tseed=9\tenv=" + settingsJSON,
	"DEFINE_LIST\tlist=2\tmembers=1",
	"SERVER\tserver=10.0.0.1:80\tarea=1\tset_no=2\tphase=terminating\tsize=1.5\tlast_start=40",
	"MEMBERSHIP\tlist=2\tform=C\tseq_no=4",
	"MEMBERSHIP\tform=X",
	"WORK_ITEM\thandle=7\tgroup_no=1\tsegment_no=-1\tclass=0\theft=2\tgrace=900\tbilling=1\tresource=k\tis_retry=1",
	"WORK_ITEM\tsegment_no=5\thandle=8\tgroup_no=1\theft=0.5\thint=20\tclass=0\tgrace=900",
	"RESULT\thandle=8\toutcome=QueueFull\tserver=s\tshot=2\tlast=0\tlag=30\tmetrics=pending:2,cpu_share:0.5,new:1",
	"HEALTH\tlag=3\toutcome=Ok\tserver=s\tmetrics=busy_reqs:4",
	"ALARM\thandle=0",
	"VANISHED\thandle=7",
	"NEIGHBOUR_SAYS\twho=1\tmsg=6869",
	"RETIRE",
}

func TestReader_ReadsEveryEvent(t *testing.T) {
	f, err := readFrame(t, everyEvent...)
	if err != nil {
		t.Fatal(err)
	}
	us := time.Microsecond
	want := []Input{
		BalancerEvent{balance.EndpointList{
			Kind: balance.ListStale,
			Endpoints: []balance.Endpoint{{
				Replica: "10.0.0.1:80",
				Zone:    1,
				Cell:    2,
				State:   balance.Draining,
				Size:    1.5,
				Started: 40 * us,
			}},
		}},
		BalancerEvent{balance.EndpointList{Kind: balance.ListFailed}},
		BalancerEvent{balance.Query{
			ID: 7, Group: 1, Tenant: 1, Key: "k", RemainingTime: 900 * us, IsRetry: true, Parts: 2,
		}},
		BalancerEvent{balance.Part{ID: 8, Group: 1, Shard: 5, Weight: 0.5, WorkHint: 20 * us}},
		BalancerEvent{balance.AttemptEnded{
			Part:    8,
			Attempt: 2,
			Replica: "s",
			Result:  balance.QueueFull,
			Elapsed: 30 * us,
			Report:  &balance.LoadReport{Queue: 2, InFlight: -1, Utilization: 0.5},
		}},
		BalancerEvent{balance.ProbeEnded{
			Replica: "s",
			Elapsed: 3 * us,
			Report:  &balance.LoadReport{Queue: -1, InFlight: 4, Utilization: -1},
		}},
		BalancerEvent{balance.TimerFired{}},
		BalancerEvent{balance.ClientDisconnected{Query: 7}},
		BalancerEvent{balance.GossipReceived{Payload: []byte("hi")}},
		Stop{},
	}
	if f.Now != 50*us || len(f.Events) != len(want)+1 {
		t.Fatalf("now %v, %d events", f.Now, len(f.Events))
	}
	for i, input := range want {
		got := f.Events[i+1]
		if !reflect.DeepEqual(got.Input, input) || got.Instance != "gatherer_3" {
			t.Errorf("event %d: %+v, want %+v", i+1, got, input)
		}
	}
	checkSettings(t, f.Events[0].Input.(Start).Settings)
}

// checkSettings checks that the settings are those of settingsJSON.
func checkSettings(t *testing.T, got balance.Settings) {
	t.Helper()
	us := time.Microsecond
	want := balance.Settings{
		Seed:               9,
		Instances:          2,
		Tick:               10 * us,
		Zone:               1,
		Tenants:            []balance.Tenant{{Quota: 5}},
		WeightByWork:       true,
		Cells:              3,
		Reach:              2,
		Shards:             6,
		CallWork:           7 * us,
		MaxCallParts:       4,
		MaxAttempts:        3,
		CanCancel:          true,
		ClientsMarkRetries: true,
		LoadReportsOnProbe: true,
		Rules:              balance.Rules{MaxListAge: 700 * us, WarmupPeriod: 9000 * us, OverloadMultiple: 2.5},
	}
	classes := []balance.Class{{
		Objective:        1000 * us,
		Deadline:         3000 * us,
		Weight:           2,
		OverdueFraction:  0.3,
		Idempotency:      balance.KeyedIdempotent,
		DedupWindow:      500 * us,
		MinFraction:      0.5,
		CompleteFraction: 1,
		PartialFraction:  0.8,
		FollowUpParts:    2,
	}}
	if !reflect.DeepEqual(got.Classes, classes) {
		t.Errorf("classes %+v, want %+v", got.Classes, classes)
	}
	got.Classes = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v, want %+v", got, want)
	}
}

func TestReader_ListsAreReplacedInOrder(t *testing.T) {
	f, err := readFrame(t, "TARGET_INSTANCE\tgatherer=g",
		"DEFINE_LIST\tlist=0\tmembers=1",
		"SERVER\tserver=a\tphase=in_service",
		"MEMBERSHIP\tlist=0\tform=F",
		"DEFINE_LIST\tlist=0\tmembers=0",
		"MEMBERSHIP\tlist=0\tform=D",
	)
	if err != nil {
		t.Fatal(err)
	}
	first := endpointList(t, f.Events[0])
	second := endpointList(t, f.Events[1])
	if len(first.Endpoints) != 1 || len(second.Endpoints) != 0 {
		t.Errorf("%v, then %v", first, second)
	}
}

func TestReader_NamesTheLineOfInvalidInput(t *testing.T) {
	for line, want := range map[string]string{
		"NONSENSE\ta=1":               "unknown message",
		"ALARM":                       "no handle",
		"ALARM\thandle=x":             "not a number",
		"ALARM\thandle":               "not name=value",
		"ALARM\thandle=1\thandle=2":   "given twice",
		"MEMBERSHIP\tlist=5\tform=F":  "not defined",
		"MEMBERSHIP\tlist=99\tform=F": "not within",
		"MEMBERSHIP\tlist=0\tform=Q":  "not known",
		"RESULT\thandle=1\toutcome=Fine\tserver=s\tshot=0\tlag=1": "not known",
		"HEALTH\toutcome=Ok\tserver=s\tlag=-4":                    "not a time",
		"HEALTH\toutcome=Ok\tserver=s\tlag=4\tmetrics=a":          "name:number",
		"WORK_ITEM\thandle=1\tgroup_no=1\tsegment_no=2\theft=NaN": "not a number",
		"POWER_ON\tseed=1\tenv={":                                 "settings",
		`POWER_ON	seed=1	env={"classes":[{"effect":"odd"}]}`:      "each class once",
		"DEFINE_LIST\tlist=0\tmembers=1\nALARM\thandle=1":         "inside a list",
	} {
		_, err := readFrame(t, "TARGET_INSTANCE\tgatherer=g", line)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%q: error %v, want one with the line and %q", line, err, want)
		}
	}
	if _, err := readFrame(t, "ALARM\thandle=1"); err == nil || !strings.Contains(err.Error(), "before any") {
		t.Errorf("event without an instance: %v", err)
	}
	for _, text := range []string{"FRAME\tsim_time=1\n", "FRAME\tsim_time=1\nALARM"} {
		if _, err := NewReader(strings.NewReader(text)).Frame(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%q: error %v, want one that states the end of the input", text, err)
		}
	}
	if _, err := NewReader(strings.NewReader("YIELD\n")).Frame(); err == nil {
		t.Error("no error for a message outside a frame")
	}
}

// endpointList returns the endpoint list of an event.
func endpointList(t *testing.T, e Event) balance.EndpointList {
	t.Helper()
	event, ok := e.Input.(BalancerEvent)
	if !ok {
		t.Fatalf("%+v is not an event for the balancer", e)
	}
	return event.Event.(balance.EndpointList)
}
