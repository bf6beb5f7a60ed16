package serialconn_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/serialconn"
	sruclient "rooktrestle/internal/backend/sru"
	z3950client "rooktrestle/internal/backend/z3950"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

// testTimeout is a time limit that no test reaches, even on a busy machine.
const testTimeout = time.Minute

// protocol is one of the protocols of the backend, from the server's side.
type protocol struct {
	name  string
	codec serialconn.Codec
	// greet answers the greeting on a new connection.
	greet func(net.Conn, *bufio.Reader) error
	// read reads a request. It returns what an answer repeats of it.
	read func(*bufio.Reader) (request string, err error)
	// search and update encode answers to the request. A search has found count records; an update was made or refused.
	search func(request string, count int) []byte
	update func(request string, made bool) []byte
	// silent: answers state nothing of their requests.
	silent bool
}

func databaseName(int, shardmap.Epoch) string { return "captions" }

var protocols = []protocol{
	{
		name:   "Z39.50",
		codec:  &z3950client.Client{Database: databaseName},
		greet:  greetZ3950,
		read:   readZ3950,
		search: searchZ3950,
		update: updateZ3950,
	},
	{
		name:   "SRU",
		codec:  &sruclient.Client{Host: "server", Database: databaseName},
		greet:  func(net.Conn, *bufio.Reader) error { return nil },
		read:   readSRU,
		search: searchSRU,
		update: updateSRU,
	},
	{
		name:   "SRU without echoed requests",
		codec:  &sruclient.Client{Host: "server", Database: databaseName},
		greet:  func(net.Conn, *bufio.Reader) error { return nil },
		read:   readSRU,
		search: func(_ string, count int) []byte { return searchSRU("", count) },
		update: updateSRU,
		silent: true,
	},
}

// readPDU reads one PDU.
func readPDU(in *bufio.Reader) (*z3950.Node, error) {
	var data []byte
	for {
		b, err := in.ReadByte()
		if err != nil {
			return nil, err
		}
		data = append(data, b)
		node, _, err := z3950.Decode(data)
		if !errors.Is(err, z3950.ErrMore) {
			return node, err
		}
	}
}

func greetZ3950(conn net.Conn, in *bufio.Reader) error {
	if _, err := readPDU(in); err != nil {
		return err
	}
	_, err := conn.Write(z3950.Constructed(z3950.InitResponse, z3950.Boolean(z3950.FieldInitResult, true)).Encode(nil))
	return err
}

func readZ3950(in *bufio.Reader) (reference string, err error) {
	node, err := readPDU(in)
	if err != nil {
		return "", err
	}
	return node.Child(z3950.FieldReferenceID).Text(), nil
}

func searchZ3950(reference string, count int) []byte {
	return z3950.Constructed(z3950.SearchResponse,
		z3950.String(z3950.FieldReferenceID, reference),
		z3950.Integer(z3950.FieldResultCount, count),
		z3950.Integer(z3950.FieldRecordsReturned, 0),
		z3950.Boolean(z3950.FieldSearchStatus, true),
	).Encode(nil)
}

func updateZ3950(reference string, made bool) []byte {
	const done, failed = 1, 3
	status := failed
	if made {
		status = done
	}
	return z3950.Constructed(z3950.EsResponse,
		z3950.String(z3950.FieldReferenceID, reference),
		z3950.Integer(z3950.FieldEsOperationStatus, status),
	).Encode(nil)
}

func readSRU(in *bufio.Reader) (cql string, err error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "", err
	}
	return request.URL.Query().Get("query"), nil
}

func httpResponse(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func searchSRU(cql string, count int) []byte {
	return httpResponse(fmt.Sprintf("<searchRetrieveResponse><numberOfRecords>%d</numberOfRecords>"+
		"<echoedSearchRetrieveRequest><query>%s</query></echoedSearchRetrieveRequest></searchRetrieveResponse>", count, cql))
}

func updateSRU(_ string, made bool) []byte {
	status := "fail"
	if made {
		status = "success"
	}
	return httpResponse("<updateResponse><operationStatus>" + status + "</operationStatus></updateResponse>")
}

// The first request of a test is answered by firstCount records or a correction that is made, the second one by
// secondCount records or a correction that is refused.
const (
	firstCount  = 1
	secondCount = 2
)

// answer returns the answer to the first or the second request, of a kind.
func (p *protocol) answer(request string, kind serialconn.RequestKind, first bool) []byte {
	switch {
	case kind == serialconn.UpdateRequest:
		return p.update(request, first)
	case first:
		return p.search(request, firstCount)
	default:
		return p.search(request, secondCount)
	}
}

// disturbance is what a server sends beyond its answers to two requests. Its functions return the bytes that it sends
// behind the first answer, with it in one write, and before the second one, once the second request has been read on the same
// connection.
type disturbance struct {
	name   string
	behind func(answer []byte) []byte
	before func(p *protocol, answer []byte, second string, kind serialconn.RequestKind) []byte
	// needsIdentity: between two searches, only what an answer states of its request reveals it; see docs/crossings.md.
	needsIdentity bool
}

func half(b []byte) int { return len(b) / 2 }

var disturbances = []disturbance{
	{name: "none"},
	{
		name:   "a second copy with the answer",
		behind: func(answer []byte) []byte { return answer },
	},
	{
		name:   "a second copy in two pieces",
		behind: func(answer []byte) []byte { return answer[:half(answer)] },
		before: func(_ *protocol, answer []byte, _ string, _ serialconn.RequestKind) []byte {
			return answer[half(answer):]
		},
	},
	{
		name:          "a second copy after the next request",
		before:        func(_ *protocol, answer []byte, _ string, _ serialconn.RequestKind) []byte { return answer },
		needsIdentity: true,
	},
	{
		name:   "noise with the answer",
		behind: func([]byte) []byte { return []byte("noise") },
	},
	{
		name:   "noise after the next request",
		before: func(*protocol, []byte, string, serialconn.RequestKind) []byte { return []byte("\x00noise\r\n\r\n") },
	},
	{
		name: "an answer of the other kind to the next request",
		before: func(p *protocol, _ []byte, second string, kind serialconn.RequestKind) []byte {
			if kind == serialconn.UpdateRequest {
				return p.search(second, firstCount)
			}
			return p.update(second, true)
		},
	},
}

// server is a scripted server that answers two requests, on one connection or on two.
type server struct {
	protocol    *protocol
	kinds       [2]serialconn.RequestKind
	disturbance disturbance
	next        chan int // number of the next request

	listener net.Listener
	running  sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	stopped  bool
}

// start starts the server. stop closes all its connections, and returns once nothing of it runs any more.
func (s *server) start(t *testing.T) (addr string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	s.running.Go(s.accept)
	return listener.Addr().String(), func() {
		_ = listener.Close()
		s.mu.Lock()
		s.stopped = true
		for _, conn := range s.conns {
			_ = conn.Close()
		}
		s.mu.Unlock()
		s.running.Wait()
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.stopped {
			_ = conn.Close()
		} else {
			s.conns = append(s.conns, conn)
			s.running.Go(func() { s.serve(conn) })
		}
		s.mu.Unlock()
	}
}

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client may have closed it
	in := bufio.NewReader(conn)
	if s.protocol.greet(conn, in) != nil {
		return
	}
	var first []byte // the answer to the first request, if it was sent on this connection
	for {
		request, err := s.protocol.read(in)
		if err != nil {
			return
		}
		number := <-s.next
		s.next <- number + 1
		kind := s.kinds[number]
		answer := s.protocol.answer(request, kind, number == 0)
		sent := bytes.Clone(answer)
		switch {
		case number == 0:
			first = answer
			if s.disturbance.behind != nil {
				sent = append(sent, s.disturbance.behind(answer)...)
			}
		case first != nil && s.disturbance.before != nil:
			sent = append(bytes.Clone(s.disturbance.before(s.protocol, first, request, kind)), answer...)
		}
		if _, err := conn.Write(sent); err != nil {
			return
		}
	}
}

// client runs a pool as the aggregator's loop does.
type client struct {
	t       *testing.T
	mailbox *aggregator.Mailbox
	pool    *serialconn.Pool
	ended   map[aggregator.AttemptID]aggregator.AttemptEnded
}

func (*client) Available(balance.Replica) bool { return true }

func newClient(t *testing.T, codec serialconn.Codec) *client {
	c := &client{t: t, mailbox: aggregator.NewMailbox(), ended: map[aggregator.AttemptID]aggregator.AttemptEnded{}}
	limits := serialconn.Limits{ConnectTimeout: testTimeout, IdleTimeout: testTimeout, MaxConnections: 4}
	c.pool = serialconn.NewPool(limits, c.mailbox, tcp.Dial, func(balance.Replica) serialconn.Codec { return codec })
	c.pool.SetDirectory(c)
	return c
}

// play sends a request and returns how its attempt ends.
func (c *client) play(addr string, number int, kind serialconn.RequestKind) aggregator.AttemptEnded {
	c.t.Helper()
	work := query.Work{CQL: fmt.Sprintf("needle%d", number), MaxRecords: 10}
	if kind == serialconn.UpdateRequest {
		work = query.Work{Action: query.ActionReplace, Record: query.Record{ID: fmt.Sprintf("7:%d", number), XML: "<line/>"}}
	}
	id := aggregator.AttemptID{Part: balance.ID(number)}
	c.pool.Send(time.Now(), aggregator.Server{ID: "s", Addr: addr}, []aggregator.OutgoingAttempt{{
		Attempt:  id,
		Name:     fmt.Sprintf("q%d.7", number),
		Payload:  query.Encode(work),
		Deadline: time.Now().Add(testTimeout),
	}})
	timeout := time.After(testTimeout)
	for {
		if ended, ok := c.ended[id]; ok {
			return ended
		}
		select {
		case <-c.mailbox.Ready():
		case <-timeout:
			c.t.Fatalf("request %d does not end", number)
		}
		c.handleMessages()
	}
}

func (c *client) handleMessages() {
	for _, message := range c.mailbox.Take() {
		events, handled := c.pool.Handle(time.Now(), message)
		if event, ok := message.(aggregator.Event); ok && !handled {
			events = append(events, event)
		}
		for _, event := range events {
			if ended, ok := event.(aggregator.AttemptEnded); ok {
				c.ended[ended.Attempt] = ended
			}
		}
	}
}

// Clients got the records of others, and refused corrections were told done, once a server had sent anything beyond its
// answer: it was taken for the answer to the next request on the connection.
func TestPool_ForeignAnswers(t *testing.T) {
	kinds := map[serialconn.RequestKind]string{serialconn.SearchRequest: "search", serialconn.UpdateRequest: "correction"}
	for i := range protocols {
		p := &protocols[i]
		for first, firstName := range kinds {
			for second, secondName := range kinds {
				want := playTwo(t, p, [2]serialconn.RequestKind{first, second}, disturbances[0])
				searches := first == serialconn.SearchRequest && second == serialconn.SearchRequest
				for _, disturbance := range disturbances {
					if p.silent && searches && disturbance.needsIdentity {
						continue
					}
					name := strings.Join([]string{p.name, firstName, "then", secondName, disturbance.name}, " ")
					t.Run(name, func(t *testing.T) {
						got := playTwo(t, p, [2]serialconn.RequestKind{first, second}, disturbance)
						expectOwnAnswer(t, got, want)
					})
				}
			}
		}
	}
}

// playTwo plays two requests with a disturbance, and returns how the second one ends.
func playTwo(
	t *testing.T, p *protocol, kinds [2]serialconn.RequestKind, disturbance disturbance,
) aggregator.AttemptEnded {
	t.Helper()
	s := &server{protocol: p, kinds: kinds, disturbance: disturbance, next: make(chan int, 1)}
	s.next <- 0
	addr, stop := s.start(t)
	defer stop()
	c := newClient(t, p.codec)
	if first := c.play(addr, 0, kinds[0]); first.Err != nil {
		t.Fatalf("the first request: %v", first.Err)
	}
	return c.play(addr, 1, kinds[1])
}

// expectOwnAnswer fails the test unless an attempt has its own answer, which may be an error, or may have run and has none.
func expectOwnAnswer(t *testing.T, got, want aggregator.AttemptEnded) {
	t.Helper()
	var failure *aggregator.AttemptError
	switch {
	case got.Err == nil && (want.Err != nil || got.Value != want.Value):
		t.Errorf("answered by %s, want %s, %v", got.Value, want.Value, want.Err)
	case got.Err != nil && (!errors.As(got.Err, &failure) || failure.Progress < aggregator.Written || failure.Rejected):
		t.Errorf("ended with %v, want that it may have run", got.Err)
	}
}
