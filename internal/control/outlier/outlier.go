// Package outlier finds servers that lose parts by what all mixers of a zone lose there. Where mixers are many and
// their traffic is thin, each meets a server once in seconds: one that hangs or fails would be found by each of them
// with parts of its own. So each tells the others which servers lost its parts, and one that loses far more than the
// others do is an outlier: it keeps a small share of its parts, by which it is tried, and comes back by steps as they
// are answered.
//
// One that loses half of its parts and more is tried, and otherwise left while a shard has another holder: each loss
// takes one of a part's few attempts. One that loses less is weighed. All that is heard is a hint: a word lost, late, doubled or forged moves shares and no rule.
//
// A Table does no I/O, reads no clock and starts no goroutine. It is not safe for concurrent use.
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rooktrestle/internal/control/gossip"
)

// Config are what a Table goes by. Times come from the settings.
type Config struct {
	DecayTime     time.Duration // over which losses count: after it 1/e of one is left
	OverdueAfter  time.Duration // an attempt called off counts as lost if it was out for so long
	MaxMessageAge time.Duration // a word older than that, or from further ahead, tells nothing
	Zone          int           // this mixer's: words of other zones went other ways, which may be cut
	Aggregators   int
}

// PlatformConfig is the rules for a mixer of so many in a zone, by the settings' shortest aim.
func PlatformConfig(aim time.Duration, zone, mixers int) Config {
	return Config{DecayTime: 4 * aim, OverdueAfter: aim / 2, MaxMessageAge: aim, Zone: zone, Aggregators: mixers}
}

const (
	lostLeast = 4   // losses within a span that make an outlier where the others lose none
	lostTimes = 4   // and so many times what is usual beside them
	usual     = 0.4 // quantile of the servers' losses that is usual: half of them may be lost with a zone
	quiet     = 8   // spans without word of a loss after which an outlier is taken one step back
	tellShare = 0.4 // bytes delivered to all others, as a share of a full word for each part taken
)

// steps are the shares of its parts that an outlier gets while less than so many of the last ends there were answers.
// The first is about one part of all mixers' in a second: a search has some fifty parts and needs each. Above the last
// it is none.
var steps = [...]step{{0.1, 0.005}, {0.25, 0.01}, {0.85, 0.3}}

type step struct{ served, share float64 }

// endWeight is the weight of an end in the share of answers at an outlier. That begins as doubtful: what loses parts
// may as well be behind as gone, and from then on the ends tell, six losses or nine answers.
const (
	endWeight = 0.125
	doubtful  = 0.5
)

// Outcome is how an attempt ended, as far as it tells of its server.
type Outcome int

const (
	Answered Outcome = iota
	Failed           // an error, a reset, no connection, or no answer in time
	Canceled
	Rejected // tells of its load only, unless it is an outlier: what answers nothing is full
	NotSent  // never sent
)

type server struct {
	id      string
	started time.Duration // of its process
	lost    float64       // within the span, as of at
	at      time.Duration // when lost was last reckoned
	last    time.Duration // last loss
	served  time.Duration // last answer to this mixer
	out     bool          // an outlier
	ok      float64       // an outlier's share of answers among the last ends
	share   float64       // as last told; 1: all of its parts
	mine    remark        // for the next word; its key is the server's
	told    bool          // mine is among what is to be told
}

// Table holds what is known of each listed server; it is dropped with Drop or Keep.
type Table struct {
	rules                Config
	servers              map[uint32]*server
	order                []*server // as first listed
	tell                 []*server
	owed                 float64 // bytes that words may take
	dirty                bool    // something was lost, or answered at an outlier, since the last look
	look                 time.Duration
	ObservationsReceived uint64 // remarks taken
}

// New returns an empty Table.
func New(rules Config) *Table {
	return &Table{rules: rules, servers: map[uint32]*server{}}
}

// Add adds a server, whose process began at started; 0: long ago. One that is known stays as it is while its
// process is the same.
func (t *Table) Add(id string, started time.Duration) {
	if s := t.find(id); s != nil && started <= s.started {
		return
	}
	key := gossip.ServerKey(id)
	t.remove(t.servers[key])
	s := &server{id: id, started: started, share: 1, mine: remark{key: key}}
	t.servers[key] = s
	t.order = append(t.order, s)
}

// find returns what is known of a server; nil if it is not listed.
func (t *Table) find(id string) *server {
	if s := t.servers[gossip.ServerKey(id)]; s != nil && s.id == id {
		return s
	}
	return nil
}

// Remove forgets a server.
func (t *Table) Remove(id string) { t.remove(t.find(id)) }

// Retain forgets all servers for which listed does not hold.
func (t *Table) Retain(listed func(id string) bool) {
	for _, s := range slices.Clone(t.order) {
		if !listed(s.id) {
			t.remove(s)
		}
	}
}

func (t *Table) remove(s *server) {
	if s == nil {
		return
	}
	same := func(o *server) bool { return o == s }
	delete(t.servers, s.mine.key)
	t.order, t.tell = slices.DeleteFunc(t.order, same), slices.DeleteFunc(t.tell, same)
}

// AccrueBudget counts parts taken toward what may be told.
func (t *Table) AccrueBudget(parts int) {
	t.owed = min(t.owed+tellShare*gossip.MaxMessageBytes*float64(parts), gossip.MaxMessageBytes*float64(t.rules.Aggregators))
}

// AttemptEnded takes the end of an attempt of this mixer's that was sent at sent.
func (t *Table) AttemptEnded(now time.Duration, id string, sent time.Duration, end Outcome) {
	s := t.find(id)
	if s == nil {
		return
	}
	// Called off late by a server that answers others since: that part was slow, the server is there.
	if end == Canceled && now-sent >= t.rules.OverdueAfter && s.served <= sent || end == Rejected && s.out {
		end = Failed
	}
	switch end {
	case Failed:
		t.count(s, now, 1, 0)
		s.mine.lost++
	case Answered:
		s.served = now
		if !s.out {
			return
		}
		t.count(s, now, 0, 1)
		s.mine.served++
	default:
		return
	}
	if !s.told {
		s.told = true
		t.tell = append(t.tell, s)
	}
}

// Receive takes another mixer's word.
func (t *Table) Receive(now time.Duration, text []byte) {
	age, zone, remarks, ok := readWord(now, text)
	if !ok || zone != t.rules.Zone&0xff || age > t.rules.MaxMessageAge || age < -t.rules.MaxMessageAge {
		return
	}
	for _, r := range remarks {
		if s := t.servers[r.key]; s != nil { // a word brings no server in
			t.ObservationsReceived++
			t.count(s, now, r.lost, r.served)
		}
	}
}

func (t *Table) count(s *server, now time.Duration, lost, served int) {
	t.dirty = true
	t.fade(s, now)
	s.lost += float64(lost)
	for range lost {
		s.last, s.ok = now, s.ok-endWeight*s.ok
	}
	for range served {
		s.ok += endWeight * (1 - s.ok)
	}
}

func (t *Table) fade(s *server, now time.Duration) {
	s.lost *= math.Exp(-float64(now-s.at) / float64(t.rules.DecayTime))
	s.at = now
}

// Update looks at what came since the last look and returns the servers whose share is another by now.
func (t *Table) Update(now time.Duration) (changed []string) {
	if !t.dirty && now < t.look {
		return nil
	}
	t.dirty, t.look = false, now+t.rules.DecayTime
	var losses []float64
	for _, s := range t.order {
		t.fade(s, now)
		losses = append(losses, s.lost)
	}
	bound := lostLeast + lostTimes*quantile(losses, usual)
	for _, s := range t.order {
		if !s.out && s.lost >= bound {
			s.out, s.ok = true, doubtful*math.Pow(1-endWeight, s.lost-bound)
		}
		if s.out && s.ok < steps[0].served && now-s.last > quiet*t.rules.DecayTime {
			s.ok, s.last = steps[0].served, now // nobody tried it, or words of it were lost
		}
		share := 1.0
		if s.out {
			i := slices.IndexFunc(steps[:], func(below step) bool { return s.ok < below.served })
			if i < 0 {
				s.out, s.lost = false, 0 // as many losses more make it one again
			} else {
				share = steps[i].share
			}
		}
		if share != s.share {
			s.share = share
			changed = append(changed, s.id)
		}
	}
	return changed
}

// TrafficShare is the share of its parts that a server is to get: 1 unless it is an outlier.
func (t *Table) TrafficShare(id string) float64 {
	if s := t.find(id); s != nil {
		return s.share
	}
	return 1
}

// EjectedCount is how many there are.
func (t *Table) EjectedCount() (n int) {
	for _, s := range t.order {
		if s.out {
			n++
		}
	}
	return n
}

// NextMessage words what is to be told, if parts taken have earned it; nil if not.
func (t *Table) NextMessage(now time.Duration) []byte {
	n := min(len(t.tell), gossip.MaxObservations)
	size := float64(gossip.EncodedSize(n) * (t.rules.Aggregators - 1))
	if n == 0 || size > t.owed {
		return nil
	}
	t.owed -= size
	var remarks []remark
	for _, s := range t.tell[:n] {
		remarks = append(remarks, s.mine)
		s.mine, s.told = remark{key: s.mine.key}, false
	}
	t.tell = slices.Delete(t.tell, 0, n)
	return writeWord(now, t.rules.Zone, remarks)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, cmp.Compare)
	return values[int(q*float64(len(values)-1))]
}
