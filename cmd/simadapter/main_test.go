package main

import (
	"strings"
	"testing"
)

const powerOn = `POWER_ON	seed=1	env={"classes":[{"aim":1000000,"credit":1,"deadline":2000000,"effect":"safe"}],` +
	`"extra":{"cells":1,"class_floor":[1],"follow_up":[0],"in_a_row":1,"incomplete_worth":[1],"need_by_class":[1],` +
	`"per_call":1,"slices":1},"limits":{"cancel":true,"send_cap":2},"n_instances":1,"tick":5000}`

const endpointList = "DEFINE_LIST\tlist=0\tmembers=1\n" +
	"SERVER\tserver=s:1\tphase=in_service\n" +
	"TARGET_INSTANCE\tgatherer=gatherer_0\n" +
	"MEMBERSHIP\tlist=0\tform=C\tseq_no=1\n"

func workItems(id string) string {
	return "WORK_ITEM\thandle=" + id + "\tgroup_no=" + id + "\tsegment_no=-1\tclass=0\theft=1\tgrace=2000000\n" +
		"WORK_ITEM\thandle=1" + id + "\tgroup_no=" + id + "\tsegment_no=0\tclass=0\theft=1\tgrace=2000000\n"
}

func TestServe_InstancesShareNothing(t *testing.T) {
	in := "FRAME\tsim_time=0\nFLUSH\n" +
		"FRAME\tsim_time=10\nTARGET_INSTANCE\tgatherer=gatherer_0\n" + powerOn + "\n" + endpointList +
		"TARGET_INSTANCE\tgatherer=gatherer_1\n" + powerOn + "\nMEMBERSHIP\tlist=0\tform=C\tseq_no=1\nFLUSH\n" +
		"FRAME\tsim_time=20\nTARGET_INSTANCE\tgatherer=gatherer_1\n" + workItems("5") + "FLUSH\n"
	var out strings.Builder
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	const sent = "SPEAKING\tgatherer=gatherer_1\nSUBMIT_TO\thandle=15\tserver=s:1\n"
	if strings.Count(got, "YIELD\n") != 3 || !strings.Contains(got, sent) || strings.Contains(got, "gatherer_0") {
		t.Errorf("replies:\n%s", got)
	}
}

func TestServe_KilledInstanceForgets(t *testing.T) {
	in := "FRAME\tsim_time=10\nTARGET_INSTANCE\tgatherer=gatherer_0\n" +
		powerOn + "\n" + endpointList + workItems("5") +
		"RETIRE\n" + powerOn + "\nMEMBERSHIP\tlist=0\tform=C\tseq_no=1\nFLUSH\n"
	var out strings.Builder
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "SUBMIT_TO") {
		t.Errorf("a restarted gatherer handled work of its previous run:\n%s", out.String())
	}
}

func TestServe_InvalidInputEndsWithAFault(t *testing.T) {
	for in, want := range map[string]string{
		"FRAME\tsim_time=1\nODD\nFLUSH\n": "line 2",
		"FRAME\tsim_time=1\nTARGET_INSTANCE\tgatherer=gatherer_9\nALARM\thandle=0\nFLUSH\n": "was not started",
		"FRAME\tsim_time=1\nTARGET_INSTANCE\tgatherer=g\n" +
			strings.Replace(powerOn, `"n_instances":1`, `"n_instances":0`, 1) + "\nFLUSH\n": "0 instances",
	} {
		var out strings.Builder
		err := serve(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", in, err, want)
		}
		if got := out.String(); !strings.HasPrefix(got, "BAIL_OUT\tnote_text=") || !strings.HasSuffix(got, "YIELD\n") {
			t.Errorf("reply %q", got)
		}
	}
}
