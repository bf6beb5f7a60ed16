// Package z3950 is the Z39.50 front: a target.
package z3950

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/control/eviction"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

const (
	maxIn     = 128 << 10 // the longest unit taken from an origin
	maxWait   = 8         // units that may wait behind the one in hand
	prefetch  = 10        // records fetched with a search, for the first presents
	leastSize = 4 << 10
)

// Times of associations.
type Times struct {
	Init   time.Duration // for Init, from the start; 0: as Idle says
	Idle   time.Duration // without activity; 0: not limited
	Recent time.Duration // result sets used since are in use: their association makes room for nobody
}

// Server is the Z39.50 front: a target.
type Server struct {
	Service *gateway.Service
	times   Times
	now     func() time.Time

	mu    sync.Mutex
	open  map[*assoc]bool
	room  *eviction.Registry[*assoc]
	count Counters
}

// New returns a target that serves service.
func New(service *gateway.Service, times Times, now func() time.Time) *Server {
	return &Server{Service: service, times: times, now: now, open: map[*assoc]bool{}, room: eviction.New[*assoc](times.Recent)}
}

// Counters count associations and units.
type Counters struct{ Associations, Units, Bad, Spared uint64 }

// Link is a connection as the server uses it.
type Link interface {
	Write(b []byte, done func(tcp.WriteResult))
	CloseGracefully()
	CloseAndWait()
}

// Room closes the association that is in nobody's way, before it returns, and says whether there was one. Guards
// the limit on sockets: against origins that connect and say nothing, or sign on and do nothing. One with an
// operation in hand, or with result sets in recent use, stays.
func (s *Server) Room() bool {
	s.mu.Lock()
	a, ok := s.room.Evict(s.now())
	if ok {
		s.count.Spared++
	}
	s.mu.Unlock()
	if !ok {
		return false
	}
	a.mu.Lock()
	busy := a.busy != nil // an operation has come in just now
	a.over = a.over || !busy
	a.mu.Unlock()
	if busy {
		a.lies(eviction.Busy)
		return false
	}
	a.link.CloseAndWait()
	return true
}

// lies says what an association is to the listener from now on.
func (a *assoc) lies(c eviction.Class) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	if a.s.open[a] {
		a.s.room.Set(a, c, a.s.now())
	}
}

// lie says so from its own state. It is called with the association's lock held.
func (a *assoc) lie() {
	switch {
	case a.over:
	case a.busy != nil:
		a.lies(eviction.Busy)
	case !a.begun:
		// As it was: what it sends before Init does not make it newer.
	case len(a.sets) > 0:
		a.lies(eviction.Stateful)
	default:
		a.lies(eviction.Idle)
	}
}

// Accept makes the handler of a new connection.
func (s *Server) Accept(l *tcp.Conn) tcp.Handler { return s.Attach(l) }

// Attach makes the handler of a connection.
func (s *Server) Attach(l Link) tcp.Handler {
	a := &assoc{s: s, link: l, sets: map[string]*set{}, size: z3950.MaxPDU}
	s.mu.Lock()
	s.open[a] = true
	s.room.Set(a, eviction.Unused, s.now())
	s.count.Associations++
	s.mu.Unlock()
	a.mu.Lock()
	a.arm(cmp.Or(s.times.Init, s.times.Idle))
	a.mu.Unlock()
	return a
}

// Shutdown closes associations, each after the operation in hand.
func (s *Server) Shutdown() {
	s.mu.Lock()
	var all []*assoc
	for a := range s.open {
		all = append(all, a)
	}
	s.mu.Unlock()
	for _, a := range all {
		a.mu.Lock()
		if a.leaving = true; a.busy == nil {
			a.end(z3950.CloseShutdown, "the target shuts down")
		}
		a.mu.Unlock()
	}
}

// Open is the number of associations.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// set is a result set. It lives as long as its association.
type set struct {
	node      query.Node
	databases []string
	count     int
	records   []query.Record
	fetched   int // positions up to it are known
}

// operation is what an association waits for.
type operation struct {
	ref    *z3950.Node
	kind   int // tag of the request
	cancel gateway.Cancel
	over   bool
}

// assoc is one association. One operation is in hand at a time; what is sent behind it waits.
type assoc struct {
	s    *Server
	link Link

	mu      sync.Mutex
	buf     []byte
	begun   bool // Init was accepted
	over    bool
	leaving bool
	user    string
	size    int // message size agreed on
	sets    map[string]*set
	busy    *operation
	waiting []*z3950.Node
	timer   *time.Timer
}

// rest starts the time after which an association without activity is closed. Before Init there is one time for all.
func (a *assoc) rest() {
	if a.begun {
		a.arm(a.s.times.Idle)
	}
}

func (a *assoc) arm(d time.Duration) {
	if a.timer != nil {
		a.timer.Stop()
	}
	if d > 0 {
		a.timer = time.AfterFunc(d, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.busy == nil {
				a.end(z3950.CloseIdle, "no activity")
			}
		})
	}
}

func (a *assoc) send(n *z3950.Node) { a.link.Write(n.Encode(nil), nil) }

// end closes the association. A correction in hand is given up: no part of it is sent again.
func (a *assoc) end(reason int, why string) {
	if a.over {
		return
	}
	a.over = true
	a.abandon()
	a.send(z3950.Ctx(z3950.ClosePDU, z3950.Num(211, reason), z3950.Str(3, why)))
	a.link.CloseGracefully()
}

func (a *assoc) abandon() {
	if a.busy != nil && !a.busy.over {
		a.busy.over = true
		if a.busy.cancel != nil {
			a.busy.cancel()
		}
	}
	a.busy, a.waiting = nil, nil
}

// Data reads units. A panic in it ends the connection, and the operation in hand is given up in Closed.
func (a *assoc) Data(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return
	}
	a.rest()
	a.buf = append(a.buf, b...)
	for len(a.buf) > 0 && !a.over {
		n, rest, err := z3950.Decode(a.buf)
		// What does not begin as a unit is no unit, however long it is. Guards against a peer that speaks something
		// else and would be waited for.
		if a.buf[0]&0xe0 != 0xa0 {
			err = errors.New("not a unit of this protocol")
		}
		if err == z3950.ErrMore && len(a.buf) <= maxIn {
			return
		}
		if err != nil {
			a.s.counted(&a.s.count.Bad)
			a.end(z3950.CloseProtocol, err.Error())
			return
		}
		a.buf = append([]byte(nil), rest...)
		a.s.counted(&a.s.count.Units)
		a.take(n)
	}
	a.lie()
}

func (s *Server) counted(which *uint64) {
	s.mu.Lock()
	*which++
	s.mu.Unlock()
}

// Closed gives up what is in hand.
func (a *assoc) Closed(error) {
	a.mu.Lock()
	a.over = true
	a.abandon()
	a.sets = nil
	if a.timer != nil {
		a.timer.Stop()
	}
	a.mu.Unlock()
	a.s.mu.Lock()
	delete(a.s.open, a)
	a.s.room.Remove(a)
	a.s.mu.Unlock()
}

func (a *assoc) take(n *z3950.Node) {
	switch {
	case n.Tag == z3950.ClosePDU:
		a.end(z3950.CloseFinished, "")
	case n.Tag == z3950.TriggerControl:
		if n.Kid(46).IntOr(0) == 3 && a.busy != nil { // cancel
			op := a.busy
			op.over = true
			if op.cancel != nil {
				op.cancel()
			}
			a.fail(op, 105, "", -1)
			a.next()
		}
	case a.busy != nil:
		// Guards memory against an origin that asks on and on.
		if a.waiting = append(a.waiting, n); len(a.waiting) > maxWait {
			a.end(z3950.CloseLimits, "too many requests at once")
		}
	default:
		a.perform(n)
	}
}

// next goes on with what waited.
func (a *assoc) next() {
	a.busy = nil
	if a.leaving {
		a.end(z3950.CloseShutdown, "the target shuts down")
	}
	for a.busy == nil && len(a.waiting) > 0 && !a.over {
		n := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.perform(n)
	}
}

func (a *assoc) perform(n *z3950.Node) {
	if n.Tag == z3950.InitRequest && !a.begun {
		a.init(n)
		return
	}
	if !a.begun || n.Tag == z3950.InitRequest {
		a.end(z3950.CloseProtocol, "init once, and first")
		return
	}
	ref := n.Kid(2)
	switch n.Tag {
	case z3950.SearchRequest:
		a.search(n, ref)
	case z3950.PresentRequest:
		a.present(n, ref)
	case z3950.DeleteRequest:
		a.remove(n, ref)
	case z3950.EsRequest:
		a.update(n, ref)
	default:
		a.s.counted(&a.s.count.Bad)
		a.end(z3950.CloseProtocol, fmt.Sprintf("unit %d is not served", n.Tag))
	}
}

func (a *assoc) init(n *z3950.Node) {
	auth := n.Kid(7).Only()
	switch {
	case auth == nil:
	case auth.Class == z3950.Universal && auth.Tag == z3950.TagVisible:
		a.user, _, _ = strings.Cut(auth.Text(), "/")
	case auth.Cons:
		a.user = auth.Kid(1).Text()
	}
	good := n.Kid(3).Bit(2) && (a.user == "" || a.s.Service.Tenant(a.user) >= 0) // version 3, and a known user
	offered := []int{}
	for _, o := range []int{z3950.OptSearch, z3950.OptPresent, z3950.OptDelete, z3950.OptTrigger, z3950.OptES, z3950.OptNamed} {
		if n.Kid(4).Bit(o) {
			offered = append(offered, o)
		}
	}
	a.size = min(z3950.MaxPDU, max(leastSize, n.Kid(5).IntOr(z3950.MaxPDU)))
	a.begun = good
	a.send(z3950.Ctx(z3950.InitResponse, n.Kid(2), z3950.Bits(3, 0, 1, 2), z3950.Bits(4, offered...), z3950.Num(5, a.size), z3950.Num(6, z3950.MaxPDU),
		z3950.Boolean(12, good), z3950.Str(110, "rooktrestle"), z3950.Str(111, "rooktrestle")))
	if !good {
		a.over = true
		a.link.CloseGracefully()
	}
}

// fail answers a request with a diagnostic. status is a result set's, or -1.
func (a *assoc) fail(op *operation, code int, info string, status int) {
	switch op.kind {
	case z3950.SearchRequest:
		var st *z3950.Node
		if status < 0 {
			status = 3 // none
		}
		st = z3950.Num(26, status)
		a.send(z3950.Ctx(z3950.SearchResponse, op.ref, z3950.Num(23, 0), z3950.Num(24, 0), z3950.Num(25, 0), z3950.Boolean(22, false), st, z3950.Diagnostic(130, code, info)))
	case z3950.PresentRequest:
		a.send(z3950.Ctx(z3950.PresentResponse, op.ref, z3950.Num(24, 0), z3950.Num(25, 0), z3950.Num(27, 5), z3950.Diagnostic(130, code, info)))
	case z3950.EsRequest:
		a.send(z3950.Ctx(z3950.EsResponse, op.ref, z3950.Num(3, 3), z3950.Ctx(4, z3950.Diagnostic(-1, code, info))))
	}
}

// begin makes a request the operation in hand. done is run with the lock held, once, unless the operation is
// given up before.
func (a *assoc) begin(kind int, ref *z3950.Node, start func(func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome), done func(*operation, gateway.Outcome)) {
	op := &operation{ref: ref, kind: kind}
	a.busy = op
	cancel, known := start(func(o gateway.Outcome) { // on the loop
		a.mu.Lock()
		defer a.mu.Unlock()
		if op.over || a.over {
			return
		}
		op.over = true
		done(op, o)
		a.rest()
		a.next()
		a.lie()
	})
	op.cancel = cancel
	if known != nil {
		op.over, a.busy = true, nil
		done(op, *known)
	}
}

// trouble is the diagnostic of an outcome that is no answer.
func trouble(o gateway.Outcome) (code int, info string) {
	switch o.Kind {
	case gateway.Rejected:
		return 2, fmt.Sprintf("refused; asking again is harmless, after %v", o.RetryAfter)
	case gateway.TimedOut:
		return 31, "timed out"
	case gateway.UnknownDatabase:
		return 109, o.Details
	case gateway.ReadOnly:
		return 236, o.Details
	case gateway.ServerDiagnostic:
		if o.Diagnostic.Bib1 != 0 {
			return o.Diagnostic.Bib1, o.Diagnostic.Details
		}
		return 100, strings.TrimSpace(o.Diagnostic.SRU + " " + o.Diagnostic.Details)
	}
	return 100, strings.TrimSpace("failed " + o.Details)
}

func codeOf(err error) (int, string) {
	if e, ok := err.(*query.Error); ok {
		return e.Bib1, e.Details
	}
	return 100, err.Error()
}

func syntaxOf(n *z3950.Node) (string, bool) {
	s := n.Kid(104)
	if s == nil {
		return z3950.OidXML, true
	}
	return s.Oid(), s.Oid() == z3950.OidXML || s.Oid() == z3950.OidSUTRS
}

func (a *assoc) search(n, ref *z3950.Node) {
	op := &operation{ref: ref, kind: z3950.SearchRequest}
	name := n.Kid(17).Text()
	var bases []string
	if list := n.Kid(18); list != nil {
		for _, k := range list.Kids {
			bases = append(bases, k.Text())
		}
	}
	old := a.sets[name]
	limit := a.s.Service.Config.Limits.MaxRecords
	syntax, known := syntaxOf(n)
	switch {
	case name == "":
		a.fail(op, 128, "", -1)
		return
	case old != nil && !n.Kid(16).Truth():
		a.fail(op, 21, name, -1)
		return
	case old == nil && len(a.sets) >= a.s.Service.Config.Limits.ResultSets:
		a.fail(op, 112, strconv.Itoa(len(a.sets)), -1)
		return
	case len(bases) > 16:
		a.fail(op, 111, "16", -1)
		return
	}
	tree, err := z3950.ParseRPN(n.Kid(21))
	if err == nil {
		tree, err = query.ResolveResultSets(tree, func(set string) (query.Node, error) {
			if s := a.sets[set]; s != nil {
				return s.node, nil
			}
			return nil, &query.Error{SRU: 51, Bib1: 30, Details: set}
		})
	}
	if err == nil {
		err = query.CheckLimits(tree) // sets of sets of sets could grow beyond measure
	}
	if err != nil {
		code, info := codeOf(err)
		a.fail(op, code, info, -1)
		return
	}
	small, large, medium := n.Kid(13).IntOr(0), n.Kid(14).IntOr(1), n.Kid(15).IntOr(0)
	most := min(limit, max(prefetch, small, medium))
	a.begin(z3950.SearchRequest, ref, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.s.Service.Search(gateway.Caller{User: a.user}, bases, tree, most, done)
	}, func(op *operation, o gateway.Outcome) {
		delete(a.sets, name)
		if o.Kind != gateway.Complete && o.Kind != gateway.Partial {
			code, info := trouble(o)
			a.fail(op, code, info, -1)
			return
		}
		s := &set{node: tree, databases: bases, count: o.Count, records: o.Records, fetched: most}
		a.sets[name] = s
		if o.Kind == gateway.Partial { // a valid subset: marked as such, and usable
			a.send(z3950.Ctx(z3950.SearchResponse, op.ref, z3950.Num(23, o.Count), z3950.Num(24, 0), z3950.Num(25, 1), z3950.Boolean(22, false), z3950.Num(26, 1),
				z3950.Diagnostic(130, 33, o.Coverage())))
			return
		}
		want := 0
		if o.Count <= small {
			want = o.Count
		} else if o.Count < large {
			want = min(medium, o.Count)
		}
		var extra []*z3950.Node
		sent := 0
		if want > 0 && !known {
			extra = []*z3950.Node{z3950.Num(27, 5), z3950.Diagnostic(130, 239, syntax)}
		} else if want > 0 {
			list := a.fit(s.cut(1, want))
			sent = len(list)
			extra = []*z3950.Node{z3950.Num(27, partialStatus(sent, want)), z3950.Records(bases[0], syntax, list)}
		}
		next := sent + 1
		if sent >= o.Count {
			next = 0
		}
		a.send(z3950.Ctx(z3950.SearchResponse, append([]*z3950.Node{
			op.ref, z3950.Num(23, o.Count), z3950.Num(24, sent), z3950.Num(25, next), z3950.Boolean(22, true),
		}, extra...)...))
	})
}

// partialStatus of a present: all is there, or the message was too small for all.
func partialStatus(sent, want int) int {
	if sent < want {
		return 2
	}
	return 0
}

func (s *set) cut(start, number int) []query.Record {
	o := gateway.Outcome{Records: s.records}
	return o.Page(start, number)
}

// fit cuts records down to what a message may hold.
func (a *assoc) fit(list []query.Record) []query.Record {
	room := a.size - 512
	for i, r := range list {
		if room -= len(r.XML) + 64; room < 0 && i > 0 {
			return list[:i]
		}
	}
	return list
}

func (a *assoc) present(n, ref *z3950.Node) {
	op := &operation{ref: ref, kind: z3950.PresentRequest}
	s := a.sets[n.Kid(31).Text()]
	start, number := n.Kid(30).IntOr(0), n.Kid(29).IntOr(-1)
	syntax, known := syntaxOf(n)
	switch {
	case s == nil:
		a.fail(op, 30, n.Kid(31).Text(), -1)
		return
	case start < 1 || number < 0 || number > s.count || start-1 > s.count-number:
		a.fail(op, 13, fmt.Sprintf("%d records from %d of %d", number, start, s.count), -1)
		return
	case !known:
		a.fail(op, 239, syntax, -1)
		return
	case n.Kid(212) != nil:
		a.fail(op, 243, "", -1)
		return
	}
	last := start + number - 1
	if last > a.s.Service.Config.Limits.MaxRecords {
		a.fail(op, 31, fmt.Sprintf("records beyond %d are not kept", a.s.Service.Config.Limits.MaxRecords), -1)
		return
	}
	if last <= s.fetched {
		a.presented(op, s, start, number, syntax)
		return
	}
	a.begin(z3950.PresentRequest, ref, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.s.Service.Search(gateway.Caller{User: a.user}, s.databases, s.node, last, done)
	}, func(op *operation, o gateway.Outcome) {
		if o.Kind != gateway.Complete {
			if o.Kind == gateway.Partial {
				a.fail(op, 14, o.Coverage(), -1)
				return
			}
			code, info := trouble(o)
			a.fail(op, code, info, -1)
			return
		}
		s.records, s.fetched = o.Records, last
		a.presented(op, s, start, number, syntax)
	})
}

func (a *assoc) presented(op *operation, s *set, start, number int, syntax string) {
	all := s.cut(start, number)
	list := a.fit(all)
	next := start + len(list)
	if next > s.count {
		next = 0
	}
	a.send(z3950.Ctx(z3950.PresentResponse, op.ref, z3950.Num(24, len(list)), z3950.Num(25, next), z3950.Num(27, partialStatus(len(list), number)),
		z3950.Records(s.databases[0], syntax, list)))
}

func (a *assoc) remove(n, ref *z3950.Node) {
	status := 0
	if n.Kid(32).IntOr(-1) == 1 {
		clear(a.sets)
	} else {
		for _, k := range n.Kids {
			if k.Class != z3950.Universal || k.Tag != z3950.TagSequence {
				continue
			}
			for _, id := range k.Kids {
				if a.sets[id.Text()] == nil {
					status = 1 // there is no such set
				}
				delete(a.sets, id.Text())
			}
		}
	}
	a.send(z3950.Ctx(z3950.DeleteResponse, ref, z3950.Num(0, status)))
}

func (a *assoc) update(n, ref *z3950.Node) {
	op := &operation{ref: ref, kind: z3950.EsRequest}
	database, action, record, code, info := z3950.ParseUpdate(n)
	if code != 0 {
		a.fail(op, code, info, -1)
		return
	}
	a.begin(z3950.EsRequest, ref, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.s.Service.Correct(gateway.Caller{User: a.user}, database, action, record, done)
	}, func(op *operation, o gateway.Outcome) {
		if o.Kind != gateway.Complete {
			code, info := trouble(o)
			a.fail(op, code, info, -1)
			return
		}
		a.send(z3950.Ctx(z3950.EsResponse, op.ref, z3950.Num(3, 1)))
	})
}
