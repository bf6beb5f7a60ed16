package z3950

import (
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

// fakeConn records the PDUs that are written to a connection, and how it is closed.
type fakeConn struct {
	aborted bool // Close was called
	t       *testing.T
	pdus    []*z3950.Node
	closed  bool // gracefully
	evicted bool
}

func (c *fakeConn) Write(b []byte, _ func(tcp.WriteResult)) {
	c.t.Helper()
	pdu, rest, err := z3950.Decode(b)
	if err != nil || len(rest) > 0 {
		c.t.Fatalf("written % x: %v", b, err)
	}
	c.pdus = append(c.pdus, pdu)
}
func (c *fakeConn) CloseGracefully() { c.closed = true }
func (c *fakeConn) CloseAndWait()    { c.evicted = true }
func (c *fakeConn) Close(error)      { c.aborted = true }
func (c *fakeConn) PeerClosed() bool { return c.closed || c.evicted }

// origin is the client side of an association.
type origin struct {
	*fakeConn
	server   *Server
	handler  tcp.Handler
	requests []*aggregator.Request // posted to the core and not answered yet
	canceled int                   // requests whose client disconnected
}

// newOrigin opens a connection to a server with one database, without Init.
func newOrigin(t *testing.T) *origin {
	t.Helper()
	o := &origin{fakeConn: &fakeConn{t: t}}
	conf := &config.Partners{
		Classes:   []config.Class{{Name: "search"}},
		Tenants:   []config.Tenant{{Name: "tenant", Users: []string{"ann"}}},
		Databases: []config.Database{{Name: "captions", Shards: []int{0}, SearchClass: "search", Tenant: "tenant"}},
	}
	conf.Limits.MaxRecords, conf.Limits.ResultSets = 20, 2
	now := func() time.Time { return time.Unix(1000, 0) }
	service := &gateway.Service{Config: conf, Now: now, Post: func(message aggregator.Message) {
		switch message := message.(type) {
		case aggregator.RequestArrived:
			o.requests = append(o.requests, message.Request)
		case aggregator.ClientDisconnected:
			o.canceled++
		}
	}}
	o.server = New(service, Times{}, now)
	o.handler = o.server.Attach(o.fakeConn)
	return o
}

// newAssociation opens a connection and an association on it by Init.
func newAssociation(t *testing.T) *origin {
	t.Helper()
	o := newOrigin(t)
	o.send(initPDU("ann", 2))
	if response := o.last(); response.Tag != z3950.InitResponse || !response.Child(z3950.FieldInitResult).Bool() {
		t.Fatalf("response to Init: %+v", response)
	}
	return o
}

func (o *origin) send(pdu *z3950.Node) { o.handler.Data(pdu.Encode(nil)) }

// last returns the PDU that the server sent last.
func (o *origin) last() *z3950.Node {
	o.t.Helper()
	if len(o.pdus) == 0 {
		o.t.Fatal("no PDU was sent")
	}
	return o.pdus[len(o.pdus)-1]
}

// answer answers the oldest request with count matching records, of which up to prefetchCount are fetched.
func (o *origin) answer(count int) {
	o.t.Helper()
	if len(o.requests) == 0 {
		o.t.Fatal("no request is in flight")
	}
	request := o.requests[0]
	o.requests = o.requests[1:]
	result := query.PartResult{Count: count}
	for range min(count, prefetchCount) {
		result.Records = append(result.Records, query.Record{XML: "<record/>"})
	}
	request.Frontend.Answer(aggregator.FinalAnswer{
		Status:   aggregator.StatusServed,
		Complete: true,
		Items:    []aggregator.Item{{Value: query.Encode(result)}},
	})
}

func initPDU(user string, version int) *z3950.Node {
	return z3950.Constructed(z3950.InitRequest,
		z3950.BitString(z3950.FieldVersion, version),
		z3950.BitString(z3950.FieldOptions, z3950.OptSearch),
		z3950.Constructed(z3950.FieldAuthentication, z3950.Constructed(0, z3950.String(z3950.FieldUserID, user))))
}

func searchPDU(t *testing.T, set string, replace bool) *z3950.Node {
	t.Helper()
	tree, err := query.Parse("cat")
	if err != nil {
		t.Fatal(err)
	}
	rpn, err := z3950.EncodeRPN(tree)
	if err != nil {
		t.Fatal(err)
	}
	return z3950.Constructed(z3950.SearchRequest,
		z3950.Boolean(z3950.FieldReplaceIndicator, replace),
		z3950.String(z3950.FieldResultSetName, set),
		z3950.Constructed(z3950.FieldDatabaseNames, z3950.String(z3950.FieldDatabaseName, "captions")),
		z3950.Constructed(z3950.FieldQuery, rpn))
}

func presentPDU(set string, start, number int) *z3950.Node {
	return z3950.Constructed(z3950.PresentRequest,
		z3950.String(z3950.FieldResultSetID, set),
		z3950.Integer(z3950.FieldStartPoint, start),
		z3950.Integer(z3950.FieldRecordsRequested, number))
}

func cancelPDU() *z3950.Node {
	return z3950.Constructed(z3950.TriggerControl, z3950.Integer(z3950.FieldRequestedAction, requestedActionCancel))
}

func TestAssociation_InitRejected(t *testing.T) {
	for _, test := range []struct {
		name string
		init *z3950.Node
	}{
		{"an unknown user", initPDU("eve", 2)},
		{"a version before 3", initPDU("ann", 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newOrigin(t)
			o.send(test.init)
			if o.last().Child(z3950.FieldInitResult).Bool() || !o.closed {
				t.Errorf("response %+v, closed %v", o.last(), o.closed)
			}
		})
	}
}

func TestAssociation_ProtocolErrors(t *testing.T) {
	for _, test := range []struct {
		name string
		data []byte
	}{
		{"a Present before Init", presentPDU("set", 1, 1).Encode(nil)},
		{"another protocol", []byte("GET / HTTP/1.1\r\n")},
		{"an unknown PDU", z3950.Constructed(99).Encode(nil)},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newOrigin(t)
			o.handler.Data(test.data)
			last := o.last()
			reason := last.Child(z3950.FieldCloseReason).IntOr(-1)
			if last.Tag != z3950.ClosePDU || reason != z3950.CloseProtocol || !o.closed {
				t.Errorf("response %+v, closed %v", o.last(), o.closed)
			}
		})
	}
}

func TestAssociation_SearchAndPresent(t *testing.T) {
	o := newAssociation(t)
	o.send(searchPDU(t, "set", false))
	o.answer(12)
	if response := o.last(); response.Tag != z3950.SearchResponse || response.Child(z3950.FieldResultCount).IntOr(-1) != 12 {
		t.Fatalf("response to Search: %+v", response)
	}
	o.send(presentPDU("set", 2, 3))
	if got := o.last().Child(z3950.FieldNextPosition).IntOr(-1); got != 5 || len(o.requests) != 0 {
		t.Errorf("Present of prefetched records: next position %d, want 5; %d requests, want 0", got, len(o.requests))
	}
	o.send(presentPDU("set", 11, 2))
	if len(o.requests) != 1 {
		t.Fatalf("Present of records that are not cached: %d requests, want 1", len(o.requests))
	}
	o.answer(12)
	for _, test := range []struct {
		name string
		pdu  *z3950.Node
		want int
	}{
		{"a result set that exists is not replaced", searchPDU(t, "set", false), diagResultSetExists},
		{"a result set without a name", searchPDU(t, "", true), diagIllegalResultSetName},
		{"an unknown result set", presentPDU("none", 1, 1), diagNoSuchResultSet},
		{"records beyond the result set", presentPDU("set", 12, 2), diagPresentOutOfRange},
	} {
		o.send(test.pdu)
		if d := z3950.ParseDiagnostic(o.last().Child(z3950.FieldDiagnostic)); d == nil || d.Bib1 != test.want {
			t.Errorf("%s: %+v, want diagnostic %d", test.name, d, test.want)
		}
	}
}

func TestAssociation_Cancel_GoesOnWithPendingUnits(t *testing.T) {
	o := newAssociation(t)
	o.send(searchPDU(t, "first", false))
	o.send(searchPDU(t, "second", false))
	if len(o.requests) != 1 {
		t.Fatalf("%d requests in flight, want 1", len(o.requests))
	}
	o.send(cancelPDU())
	if d := z3950.ParseDiagnostic(o.last().Child(z3950.FieldDiagnostic)); d == nil || d.Bib1 != diagTerminatedByOrigin {
		t.Errorf("response to the canceled search: %+v", o.last())
	}
	if o.canceled != 1 || len(o.requests) != 2 {
		t.Errorf("%d requests canceled, %d sent; want 1 and 2", o.canceled, len(o.requests))
	}
	pdus := len(o.pdus)
	o.answer(1) // of the canceled search
	if len(o.pdus) != pdus {
		t.Errorf("second response to a canceled search: %+v", o.last())
	}
}

// An origin that sends more units at once than may wait is answered what is in flight and what waits, and then closed.
// Guards against ending an update that may have run without its answer.
func TestAssociation_TooManyPendingUnits(t *testing.T) {
	o := newAssociation(t)
	for range maxPendingPDUs + 3 {
		o.send(searchPDU(t, "set", true))
	}
	if o.closed || o.canceled != 0 {
		t.Fatalf("closed %v, %d requests canceled with an operation in flight", o.closed, o.canceled)
	}
	for i := range maxPendingPDUs + 1 {
		if o.closed {
			t.Fatalf("closed after %d answers", i)
		}
		o.answer(1)
	}
	if o.last().Child(z3950.FieldCloseReason).IntOr(-1) != z3950.CloseLimits || !o.closed || len(o.requests) != 0 {
		t.Errorf("response %+v, closed %v, %d more requests", o.last(), o.closed, len(o.requests))
	}
}

// Associations that hold much release it when the memory is needed: first the records that a Present can fetch again,
// then the association itself. Guards against result sets and half units that add up until the process is killed.
func TestAssociation_Memory(t *testing.T) {
	o := newAssociation(t)
	o.send(searchPDU(t, "set", false))
	o.answer(5)
	a := o.handler.(*association)
	held := func() (bytes int) {
		for _, set := range a.resultSets {
			bytes += set.recordBytes()
		}
		return bytes + len(a.buf)
	}
	if held() == 0 {
		t.Fatal("no records are cached")
	}
	a.reclaim()
	if held() != 0 || o.closed {
		t.Errorf("%d bytes are held, closed %v", held(), o.closed)
	}
	o.send(presentPDU("set", 1, 5)) // fetched again
	o.answer(5)
	if n := o.last().Child(z3950.FieldRecordsReturned).IntOr(-1); n != 5 {
		t.Errorf("%d records of a result set that was released", n)
	}
	o.send(searchPDU(t, "other", false))
	o.handler.Data([]byte{pduIdentifier}) // a unit begins
	a.reclaim()
	if o.closed || len(a.buf) != 0 {
		t.Errorf("closed %v with a search in flight, %d bytes of a unit are held", o.closed, len(a.buf))
	}
	o.answer(1)
	if o.last().Child(z3950.FieldCloseReason).IntOr(-1) != z3950.CloseLimits || !o.closed {
		t.Errorf("response %+v, closed %v", o.last(), o.closed)
	}
}

func TestServer_Shutdown_OperationInFlight(t *testing.T) {
	o := newAssociation(t)
	o.send(searchPDU(t, "set", false))
	o.server.Shutdown()
	if o.closed {
		t.Fatal("closed before the operation in flight completed")
	}
	o.answer(1)
	if o.last().Child(z3950.FieldCloseReason).IntOr(-1) != z3950.CloseShutdown || !o.closed {
		t.Errorf("response %+v, closed %v", o.last(), o.closed)
	}
	o.handler.Closed(nil)
	if open := o.server.OpenAssociations(); open != 0 {
		t.Errorf("%d associations are open", open)
	}
}

func TestServer_EvictIdle_IdleAssociationsOnly(t *testing.T) {
	busy := newAssociation(t)
	busy.send(searchPDU(t, "set", false))
	if busy.server.EvictIdle() || busy.evicted {
		t.Error("an association with an operation in flight is evicted")
	}
	idle := newAssociation(t)
	if !idle.server.EvictIdle() || !idle.evicted {
		t.Error("an idle association is not evicted")
	}
	if got := idle.server.Counters(); got != (Counters{Associations: 1, Units: 1, Spared: 1}) {
		t.Errorf("counters %+v", got)
	}
}
