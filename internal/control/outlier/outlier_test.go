package outlier

import (
	"fmt"
	"testing"
	"time"

	"rooktrestle/internal/control/gossip"
)

const (
	ms   = time.Millisecond
	hour = time.Hour
)

var rules = Config{DecayTime: 1500 * ms, OverdueAfter: 190 * ms, MaxMessageAge: 380 * ms, Aggregators: 300}

func table(zone int) *Table {
	r := rules
	r.Zone = zone
	t := New(r)
	for i := range 20 {
		t.Add(fmt.Sprint("s", i), 0)
	}
	return t
}

// spread hands every mixer the words of all others.
func spread(now time.Duration, all []*Table) (words int) {
	for _, from := range all {
		if text := from.NextMessage(now); text != nil {
			words++
			for _, to := range all {
				if to != from {
					to.Receive(now, text)
				}
			}
		}
	}
	for _, t := range all {
		t.Update(now)
	}
	return words
}

// Mixers of which each loses one part at a server find it together, and those that lost none there know it as well.
// Once it answers the parts by which it is tried, all take it back by steps.
func TestServerThatHangsIsFoundTogetherAndComesBack(t *testing.T) {
	all := []*Table{table(0), table(0), table(0), table(0), table(0), table(0)}
	now := hour
	for _, m := range all[:4] {
		m.AccrueBudget(100)
		for range 6 {
			m.AttemptEnded(now, "s3", now-250*ms, Canceled)
		}
	}
	if words := spread(now, all); words != 4 {
		t.Fatalf("%d words", words)
	}
	for i, m := range all {
		if m.TrafficShare("s3") != steps[0].share || m.TrafficShare("s4") != 1 || m.EjectedCount() != 1 {
			t.Fatalf("mixer %d: share %v of the server, %v of another", i, m.TrafficShare("s3"), m.TrafficShare("s4"))
		}
	}
	shares := []float64{}
	for range 40 {
		now += 50 * ms
		all[5].AccrueBudget(100)
		all[5].AttemptEnded(now, "s3", now-50*ms, Answered)
		spread(now, all)
		if s := all[0].TrafficShare("s3"); len(shares) == 0 || shares[len(shares)-1] != s {
			shares = append(shares, s)
		}
	}
	if fmt.Sprint(shares) != "[0.01 0.3 1]" {
		t.Errorf("came back by %v", shares)
	}
	now += 50 * ms
	all[5].AttemptEnded(now, "s3", now-50*ms, Answered)
	if all[5].NextMessage(now) != nil {
		t.Error("an ordinary answer was told")
	}
}

// One that loses no more than the bound may be behind: it keeps a good share until its ends tell.
func TestServerThatIsBehindIsNotTakenForGone(t *testing.T) {
	m := table(0)
	for range lostLeast {
		m.AttemptEnded(hour, "s3", hour-300*ms, Canceled)
	}
	if m.Update(hour); m.TrafficShare("s3") != steps[2].share {
		t.Fatalf("share %v", m.TrafficShare("s3"))
	}
	for range 10 {
		m.AttemptEnded(hour, "s3", hour, Answered)
	}
	if m.Update(hour); m.TrafficShare("s3") != 1 {
		t.Errorf("share %v after ten answers", m.TrafficShare("s3"))
	}
}

// A server that fails every second part goes on with a share of them, not with next to none.
func TestServerThatFailsSomeIsWeighed(t *testing.T) {
	m := table(0)
	for i := range 100 {
		end := Failed
		if i%2 == 1 {
			end = Answered
		}
		m.AttemptEnded(hour+time.Duration(i)*10*ms, "s3", hour, end)
		m.Update(hour + time.Duration(i)*10*ms)
	}
	if s := m.TrafficShare("s3"); s <= steps[0].share || s >= 1 {
		t.Errorf("share %v", s)
	}
}

// What all servers lose alike makes none an outlier: in a burst all answers are late.
func TestWhatAllLoseMakesNoOutlier(t *testing.T) {
	m := table(0)
	for i := range 20 {
		for range 8 {
			m.AttemptEnded(hour, fmt.Sprint("s", i), hour-300*ms, Canceled)
		}
	}
	if m.Update(hour); m.EjectedCount() != 0 {
		t.Fatalf("%d outliers among equals", m.EjectedCount())
	}
	for range 40 {
		m.AttemptEnded(hour, "s3", hour-300*ms, Canceled)
	}
	if m.Update(hour); m.EjectedCount() != 1 {
		t.Errorf("%d outliers, one server lost six times as much", m.EjectedCount())
	}
	// Half of the servers gone with a zone: these are out, the others are not.
	m = table(0)
	for i := range 10 {
		for range 20 {
			m.AttemptEnded(hour, fmt.Sprint("s", i), hour, Failed)
		}
	}
	if m.Update(hour); m.EjectedCount() != 10 {
		t.Errorf("%d outliers, half of 20 are gone", m.EjectedCount())
	}
}

// What tells nothing of a server, and what nobody may tell, moves no share.
func TestWhatTellsNothing(t *testing.T) {
	m := table(0)
	for range 50 {
		m.AttemptEnded(hour, "s1", hour-100*ms, Canceled) // too soon: its query was over
		m.AttemptEnded(hour, "s2", hour, Rejected)        // full
		m.AttemptEnded(hour, "s4", hour, NotSent)
		m.AttemptEnded(hour, "gone", hour, Failed) // not listed
	}
	m.AttemptEnded(hour-200*ms, "s5", hour-250*ms, Answered) // it answers others since
	for range 50 {
		m.AttemptEnded(hour, "s5", hour-300*ms, Canceled)
	}
	lost := []remark{{gossip.ServerKey("s6"), 15, 0}, {gossip.ServerKey("s7"), 15, 0}, {gossip.ServerKey("stranger"), 15, 0}}
	for i, text := range [][]byte{
		writeWord(hour, 1, lost),            // another zone's way
		writeWord(hour-500*ms, 0, lost),     // old
		writeWord(hour+500*ms, 0, lost),     // from ahead
		append(writeWord(hour, 0, lost), 1), // too long
		append([]byte{wordKind + 1}, writeWord(hour, 0, lost)[1:]...),
		nil,
	} {
		if m.Receive(hour, text); m.ObservationsReceived != 0 {
			t.Errorf("word %d was taken", i)
		}
	}
	if changed := m.Update(hour); len(changed) != 0 {
		t.Errorf("changed: %v", changed)
	}
	m.Receive(hour, writeWord(hour, 0, lost))
	if m.Update(hour); m.ObservationsReceived != 2 || m.EjectedCount() != 2 {
		t.Errorf("%d remarks heard, %d outliers", m.ObservationsReceived, m.EjectedCount())
	}
}

// What is known of a server ends with it, with its process, and with time.
func TestWhatIsKnownEnds(t *testing.T) {
	lose := func() *Table {
		m := table(0)
		for range 30 {
			m.AttemptEnded(hour, "s3", hour, Failed)
		}
		if m.Update(hour); m.TrafficShare("s3") != steps[0].share {
			t.Fatal(m.TrafficShare("s3"))
		}
		return m
	}
	m := lose()
	if m.Add("s3", 0); m.TrafficShare("s3") == 1 {
		t.Error("listed again, and forgotten")
	}
	if m.Add("s3", hour); m.TrafficShare("s3") != 1 {
		t.Error("a new process has the share of the old")
	}
	m = lose()
	if m.Remove("s3"); m.TrafficShare("s3") != 1 || len(m.tell) != 0 {
		t.Error("dropped, and known")
	}
	m = lose()
	if m.Retain(func(id string) bool { return id == "s4" }); len(m.order) != 1 || len(m.servers) != 1 {
		t.Errorf("%d kept", len(m.order))
	}
	// Nobody tries it: it is let in a little, and left again by one loss.
	m = lose()
	if changed := m.Update(hour + 13*time.Second); len(changed) != 1 || m.TrafficShare("s3") != steps[1].share {
		t.Errorf("%v, share %v", changed, m.TrafficShare("s3"))
	}
	m.AttemptEnded(hour+14*time.Second, "s3", hour+13*time.Second, Failed)
	if m.Update(hour + 14*time.Second); m.TrafficShare("s3") != steps[0].share {
		t.Errorf("share %v", m.TrafficShare("s3"))
	}
}

// Words keep to what parts taken have earned, and to their length; what does not fit is told later.
func TestWordsKeepToTheirBudget(t *testing.T) {
	m := New(rules)
	for i := range 120 {
		m.Add(fmt.Sprint("s", i), 0)
		m.AttemptEnded(hour, fmt.Sprint("s", i), hour, Failed)
	}
	if m.NextMessage(hour) != nil {
		t.Fatal("a word that nothing earned")
	}
	told, sent := 0, 0
	for now := hour; told < 120; now += ms {
		m.AccrueBudget(1)
		if text := m.NextMessage(now); text != nil {
			_, _, remarks, ok := readWord(now, text)
			if !ok || len(text) > gossip.MaxMessageBytes {
				t.Fatalf("%d bytes, read %v", len(text), ok)
			}
			told, sent = told+len(remarks), sent+len(text)*(rules.Aggregators-1)
		}
		if most := tellShare * gossip.MaxMessageBytes * float64((now-hour)/ms+1); float64(sent) > most {
			t.Fatalf("%d bytes delivered, %v earned", sent, most)
		}
	}
	if told != 120 {
		t.Errorf("%d remarks", told)
	}
}

// Random steps against what must always hold: shares are steps or whole, only listed servers have any, and a word is
// read as it was written.
func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 3, 1, 3, 1, 3, 1, 3, 1, 3, 5, 0, 6, 0, 2, 3, 2, 3})
	f.Add([]byte{4, 9, 1, 1, 4, 200, 3, 1, 7, 1, 0, 1})
	f.Fuzz(func(t *testing.T, ops []byte) {
		m, other := table(0), table(0)
		listed := map[string]bool{}
		for i := range 20 {
			listed[fmt.Sprint("s", i)] = true
		}
		now := hour
		for i := 0; i+1 < len(ops) && i < 400; i += 2 {
			id := fmt.Sprint("s", ops[i+1]%24)
			switch ops[i] % 8 {
			case 0:
				now += time.Duration(ops[i+1]) * 40 * ms
			case 1:
				m.AttemptEnded(now, id, now-ms, Failed)
			case 2:
				m.AttemptEnded(now, id, now-ms, Answered)
			case 3:
				m.AttemptEnded(now, id, now-time.Second, Canceled)
			case 4:
				m.AccrueBudget(int(ops[i+1]))
				if text := m.NextMessage(now); text != nil {
					_, _, remarks, ok := readWord(now, text)
					want := other.ObservationsReceived // and those of them that the other lists: s0 to s19
					for _, r := range remarks {
						if other.servers[r.key] != nil {
							want++
						}
					}
					if other.Receive(now, text); !ok || len(remarks) == 0 || other.ObservationsReceived != want {
						t.Fatalf("%d remarks read, %d heard in all, want %d", len(remarks), other.ObservationsReceived, want)
					}
				}
			case 5:
				m.Remove(id)
				delete(listed, id)
			case 6:
				m.Add(id, now)
				listed[id] = true
			case 7:
				m.Receive(now, writeWord(now, 0, []remark{{gossip.ServerKey(id), int(ops[i+1] % 16), int(ops[i+1] / 16)}}))
			}
			m.Update(now)
			if len(m.order) != len(listed) || len(m.servers) != len(listed) || len(m.tell) > len(listed) {
				t.Fatalf("%d listed, %d and %d known, %d to tell", len(listed), len(m.order), len(m.servers), len(m.tell))
			}
			for i := range 24 {
				id, ok := fmt.Sprint("s", i), false
				share := m.TrafficShare(id)
				for _, s := range steps {
					ok = ok || share == s.share
				}
				if share != 1 && (!ok || !listed[id]) {
					t.Fatalf("%s has share %v, listed %v", id, share, listed[id])
				}
			}
		}
	})
}

// Nothing that comes from the network is taken for a word by chance, or breaks anything.
func FuzzWord(f *testing.F) {
	f.Add(writeWord(hour, 1, []remark{{7, 3, 2}}))
	f.Add([]byte("L noise"))
	f.Fuzz(func(t *testing.T, text []byte) {
		age, zone, remarks, ok := readWord(hour, text)
		if ok != IsMessage(text) {
			t.Fatal("read, and not a word")
		}
		if ok && string(writeWord(hour-age, zone, remarks)) != string(text) {
			t.Errorf("%x reads as %v %v %v", text, age, zone, remarks)
		}
	})
}
