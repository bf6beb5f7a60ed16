package simadapter

import (
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
)

const settingsJSON = `{"callers":{"marks_retry":true},` +
	`"classes":[{"aim":1000,"credit":2,"deadline":3000,"effect":"keyed","late_worth":0.3,` +
	`"memory_span":500,"unheard_of":1}],"counted_by":"work","extra":{"call":7,"cells":3,"class_floor":[0.5],` +
	`"follow_up":[2],"in_a_row":2,"incomplete_worth":[0.8],"need_by_class":[1],"per_call":4,"slices":6},` +
	`"limits":{"cancel":true,"send_cap":3},"load_info":{"how":"pull"},"n_instances":2,` +
	`"orgs":[{"quota_per_s":5,"share":0.5}],"rules":{"cold":9000,"must_ask_in":700,"tip_multiple":2.5},"tick":10,"zone":1,"x":[]}`

func read(t *testing.T, lines ...string) (*Frame, error) {
	t.Helper()
	text := strings.Join(append(append([]string{"FRAME\tsim_time=50"}, lines...), "FLUSH"), "\n") + "\n"
	return NewReader(strings.NewReader(text)).Frame()
}

func TestReadsEveryEvent(t *testing.T) {
	f, err := read(t,
		"TARGET_INSTANCE\tgatherer=gatherer_3",
		"POWER_ON\tseed=9\tenv="+settingsJSON,
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
	)
	if err != nil {
		t.Fatal(err)
	}
	us := time.Microsecond
	want := []any{
		balance.EndpointList{Kind: balance.ListStale, Endpoints: []balance.Endpoint{{Replica: "10.0.0.1:80", Zone: 1, Cell: 2,
			State: balance.Draining, Size: 1.5, Started: 40 * us}}},
		balance.EndpointList{Kind: balance.ListFailed},
		balance.Query{ID: 7, Group: 1, Tenant: 1, Key: "k", TimeLeft: 900 * us, IsRetry: true, Parts: 2},
		balance.Part{ID: 8, Group: 1, Shard: 5, Weight: 0.5, WorkHint: 20 * us},
		balance.AttemptEnded{Part: 8, Attempt: 2, Replica: "s", Result: balance.QueueFull, Elapsed: 30 * us,
			Report: &balance.LoadReport{Queue: 2, InFlight: -1, Utilization: 0.5}},
		balance.ProbeEnded{Replica: "s", Elapsed: 3 * us, Report: &balance.LoadReport{Queue: -1, InFlight: 4, Utilization: -1}},
		balance.TimerFired{},
		balance.ClientDisconnected{Query: 7},
		balance.GossipReceived{Payload: []byte("hi")},
		Stop{},
	}
	if f.Now != 50*us || len(f.Events) != len(want)+1 {
		t.Fatalf("now %v, %d events", f.Now, len(f.Events))
	}
	for i, w := range want {
		if got := f.Events[i+1]; !equal(got.What, w) || got.Instance != "gatherer_3" {
			t.Errorf("event %d: %+v, want %+v", i+1, got, w)
		}
	}
	set := f.Events[0].What.(Start).Settings
	c := set.Classes[0]
	if set.Seed != 9 || set.Cells != 3 || set.Reach != 2 || set.CallWork != 7*us || !set.WeightByWork || !set.LoadReportsOnProbe ||
		set.MaxAttempts != 3 || set.Zone != 1 || set.Rules.OverloadMultiple != 2.5 || set.Rules.MaxListAge != 700*us || set.Tenants[0].Quota != 5 || !set.ClientsMarkRetries {
		t.Errorf("settings %+v", set)
	}
	if c.Idempotency != balance.KeyedIdempotent || c.DedupWindow != 500*us || c.MinFraction != 0.5 || c.FollowUpParts != 2 || c.PartialFraction != 0.8 {
		t.Errorf("class %+v", c)
	}
}

func TestListsAreReplacedInOrder(t *testing.T) {
	f, err := read(t, "TARGET_INSTANCE\tgatherer=g",
		"DEFINE_LIST\tlist=0\tmembers=1", "SERVER\tserver=a\tphase=in_service", "MEMBERSHIP\tlist=0\tform=F",
		"DEFINE_LIST\tlist=0\tmembers=0", "MEMBERSHIP\tlist=0\tform=D")
	if err != nil {
		t.Fatal(err)
	}
	first, second := f.Events[0].What.(balance.EndpointList), f.Events[1].What.(balance.EndpointList)
	if len(first.Endpoints) != 1 || len(second.Endpoints) != 0 {
		t.Errorf("%v, then %v", first, second)
	}
}

func TestBadInputIsNamed(t *testing.T) {
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
		_, err := read(t, "TARGET_INSTANCE\tgatherer=g", line)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%q: error %v, want a line and %q", line, err, want)
		}
	}
	if _, err := read(t, "ALARM\thandle=1"); err == nil || !strings.Contains(err.Error(), "before any") {
		t.Errorf("event for nobody: %v", err)
	}
	for _, text := range []string{"FRAME\tsim_time=1\n", "FRAME\tsim_time=1\nALARM"} {
		if _, err := NewReader(strings.NewReader(text)).Frame(); err == nil || err == io.EOF {
			t.Errorf("%q: error %v, want one that says the input ends", text, err)
		}
	}
	if _, err := NewReader(strings.NewReader("YIELD\n")).Frame(); err == nil {
		t.Error("no error for a message outside a frame")
	}
}

func TestPrintsEveryAction(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	ms := time.Millisecond
	w.Actions("gatherer_3", []balance.Action{
		balance.Send{Part: 1, Replica: "s"}, balance.Send{Part: 1, Replica: "s", Timeout: 80 * ms},
		balance.Hedge{Part: 1, Replica: "t"}, balance.Cancel{Part: 1, Attempt: 2},
		balance.Answer{Query: 3, Complete: true}, balance.Answer{Query: 3}, balance.Reject{Query: 3},
		balance.Reject{Query: 3, RetryAfter: 5 * ms}, balance.Fail{Query: 3}, balance.Probe{Replica: "s"},
		balance.StartTimer{After: 10 * ms}, balance.WatchEndpoints{},
	})
	w.Actions("gatherer_4", nil)
	w.Fault("it\nbroke")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := strings.Join([]string{"SPEAKING\tgatherer=gatherer_3",
		"SUBMIT_TO\thandle=1\tserver=s", "SUBMIT_TO\thandle=1\tserver=s\tlimit=80000",
		"SUBMIT_TO\thandle=1\tserver=t", "STOP_ATTEMPT\thandle=1\tshot=2",
		"REPLY_NOW\thandle=3\tentire=1", "REPLY_NOW\thandle=3\tentire=0", "OVERLOAD_REPLY\thandle=3",
		"OVERLOAD_REPLY\thandle=3\twait=5000", "RESPOND_ERROR\thandle=3", "ASK_LOAD\tserver=s",
		"DEFER\tsleep_for=10000\thandle=0", "TRACK\tentire=1", "BAIL_OUT\tnote_text=it broke", "YIELD", ""}, "\n")
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func equal(a, b any) bool { return reflect.DeepEqual(a, b) }
