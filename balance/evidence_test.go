package balance

import (
	"testing"
	"time"
)

// counts serves n one-part queries of class 0 and returns how many attempts each server got.
func (h *bench) counts(n int) map[Replica]int {
	h.Helper()
	got := map[Replica]int{}
	for range n {
		_, ev := h.query(0, 1)
		s := one[Send](h, h.turn(ev...))
		got[s.Replica]++
		h.end(s, 0, OK, 50*ms)
	}
	return got
}

func withEvidence(e Evidence) []Member {
	list := threeServers()
	list[0].Evidence = e
	return list
}

// A shunned server gets nothing of that class while another holder is listed, but for one part for each trial that
// is granted; where all are shunned, parts go there all the same.
func TestShunnedServerGetsTrialsOnly(t *testing.T) {
	h := newBench(t, testSettings(), withEvidence(Evidence{Shun: 1})...)
	if n := h.counts(50)["a"]; n != 0 {
		t.Fatalf("%d parts at a shunned server", n)
	}
	h.turn(Members{Kind: ListDelta, List: []Member{{Replica: "a", Cell: 0, Evidence: Evidence{Shun: 1, Trial: 1}}}})
	// Told again for another reason, before it is used: still one.
	h.turn(Members{Kind: ListDelta, List: []Member{{Replica: "a", Cell: 0, Evidence: Evidence{Shun: 1, Share: 0.5}}}})
	if n := h.counts(50)["a"]; n != 1 {
		t.Fatalf("%d parts at a shunned server for one trial", n)
	}
	h.turn(Members{Kind: ListDelta, List: []Member{
		{Replica: "a", Cell: 0, Evidence: Evidence{Shun: 1}}, {Replica: "b", Cell: 1, State: Removed}, {Replica: "c", Cell: 2, Evidence: Evidence{Shun: 3}},
	}})
	if got := h.counts(20); got["a"]+got["c"] != 20 {
		t.Fatalf("%v", got)
	}
}

// What must not run twice waits for a holder that is busy rather than go to one that is shunned.
func TestShunnedServerIsNoWayAroundABusyOne(t *testing.T) {
	set := testSettings()
	set.Classes[0].Effect = Unsafe
	h := newBench(t, set, Member{Replica: "a", Cell: 0, Evidence: Evidence{Shun: 1}}, Member{Replica: "b", Cell: 1, Evidence: Evidence{Most: 1}})
	_, ev := h.query(0, 1)
	if s := one[Send](h, h.turn(ev...)); s.Replica != "b" {
		t.Fatalf("sent to %s", s.Replica)
	}
	_, ev = h.query(0, 1)
	acts := h.turn(ev...)
	h.none(acts, "second part at a server that takes one", len(all[Send](acts)))
}

// A server takes no more parts at once than it says.
func TestMostPartsAtOnce(t *testing.T) {
	h := newBench(t, testSettings(), withEvidence(Evidence{Most: 2})...)
	out := 0
	for range 30 {
		_, ev := h.query(0, 1)
		for _, s := range all[Send](h.turn(ev...)) {
			if s.Replica == "a" {
				out++
			}
		}
	}
	if out != 2 {
		t.Errorf("%d parts out at a server that takes 2", out)
	}
}

// A share of a half beside two whole ones: a fifth of the parts, about.
func TestShareThins(t *testing.T) {
	h := newBench(t, testSettings(), withEvidence(Evidence{Share: 0.25})...)
	got := h.counts(2000)
	if share := float64(got["a"]) / 2000; share < 0.08 || share > 0.2 {
		t.Errorf("%v", got)
	}
}

// Evidence that tells nothing changes nothing: the same choices with the same seed.
func TestNoEvidenceNoChange(t *testing.T) {
	trace := func(e Evidence) (got []Replica) {
		h := newBench(t, testSettings(), withEvidence(e)...)
		for range 200 {
			_, ev := h.query(0, 1)
			s := one[Send](h, h.turn(ev...))
			got = append(got, s.Replica)
			h.end(s, 0, OK, time.Duration(20+len(got)%7*10)*ms)
		}
		return got
	}
	plain, full := trace(Evidence{}), trace(Evidence{Share: 1})
	for i := range plain {
		if plain[i] != full[i] {
			t.Fatalf("choice %d: %s, not %s", i, full[i], plain[i])
		}
	}
}

// A part that names its holders goes to them only; one that is cold for it gets its share; when the last is taken away
// the query ends at once, and a holder given instead is asked.
func TestPartsNameTheirHolders(t *testing.T) {
	h := newBench(t, testSettings())
	holders := func(list ...Holder) (ID, []Event) {
		id, ev := h.query(0, 1)
		p := ev[1].(Part)
		p.Holders = list
		ev[1] = p
		return id, ev
	}
	got := map[Replica]int{}
	for range 1000 {
		_, ev := holders(Holder{Replica: "a", Share: 0.25}, Holder{Replica: "b"}, Holder{Replica: "unlisted"})
		s := one[Send](h, h.turn(ev...))
		got[s.Replica]++
		h.end(s, 0, OK, 50*ms)
	}
	if got["c"] != 0 || got["a"] < 50 || got["a"] > 350 || got["a"]+got["b"] != 1000 {
		t.Errorf("%v", got)
	}
	id, ev := holders(Holder{Replica: "a"})
	s := one[Send](h, h.turn(ev...))
	if acts := h.turn(Placed{ID: s.Part, Holders: []Holder{}}, Outcome{Part: s.Part, Replica: "a", Result: Ignored}); one[Refuse](h, acts).Query != id {
		t.Errorf("%v", acts)
	}
	_, ev = holders(Holder{Replica: "a"})
	s = one[Send](h, h.turn(ev...))
	if acts := h.turn(Placed{ID: s.Part, Holders: []Holder{{Replica: "c"}}}, Outcome{Part: s.Part, Replica: "a", Result: Ignored}); one[Send](h, acts).Replica != "c" {
		t.Errorf("%v", acts)
	}
}
