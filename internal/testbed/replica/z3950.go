package replica

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/testbed/ber"
)

// Bib-1 diagnostics that targets answer with, as the bodies of their integers.
const (
	temporaryError       = "\x02"     // 2: temporary system error
	databaseUnavailable  = "\x6d"     // 109
	updateRejected       = "\x00\xe0" // 224: immediate execution of the extended service failed
	resultSetOK          = "\xff"
	resultSetFailed      = "\x00"
	taskDone             = 1
	taskFailed           = 3
	tagVisibleString     = -26
	tagGeneralString     = -27
	tagObjectIdentifier  = -6
	tagInteger           = -2
	presentationFailure  = 3
	noiseInsteadOfAnAPDU = "\xb7\x03\x02\x01\x00noise"
)

// connections are those of one target while it runs.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (c *connections) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// reset ends all connections as a crash does.
func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // where it fails, a plain close is what there is
		}
		_ = conn.Close() // nothing is lost with it
	}
}

// serveZ3950 serves a Z39.50 target and returns how to end it.
func (s *Server) serveZ3950(ln net.Listener) (stop func()) {
	conns := &connections{open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conns.add(conn)
			go func() {
				defer conns.remove(conn)
				(&association{server: s, conn: conn, in: bufio.NewReader(conn)}).serve()
			}()
		}
	}()
	return func() {
		_ = ln.Close() // nothing is lost with it
		conns.reset()
	}
}

// association is one origin's connection.
type association struct {
	server *Server
	conn   net.Conn
	in     *bufio.Reader
}

// serve answers APDUs until the origin leaves, or a part meets a fault that ends the connection.
func (a *association) serve() {
	defer func() { _ = a.conn.Close() }() // nothing is lost with it
	for {
		if _, err := a.in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		request, err := ber.Read(a.in)
		if err != nil {
			return
		}
		ref := ber.Primitive(2, string(request.Child(2).Body))
		fault := ""
		switch request.Tag {
		case ber.InitRequest:
			if !a.answerInit(request) {
				return
			}
		case ber.SearchRequest:
			fault = a.answerSearch(request, at, ref)
		case ber.ExtendedServicesRequest:
			fault = a.answerUpdate(request, at, ref)
		default:
			return
		}
		if fault != "" {
			a.fail(fault)
			return
		}
	}
}

// send writes an APDU. An origin that has left gets none: the next read says so.
func (a *association) send(apdu string) { _, _ = io.WriteString(a.conn, apdu) }

// hang gives no answer until the origin leaves.
func (a *association) hang() { _, _ = a.in.ReadByte() }

// fail does what a part meets in place of an answer; the connection ends after it.
func (a *association) fail(fault string) {
	switch fault {
	case FaultHang:
		a.hang()
		a.server.archive.clientLeft(a.server.Name)
	case FaultCorrupt:
		a.send(noiseInsteadOfAnAPDU)
		a.hang()
	}
}

// answerInit answers Init, and says whether the association goes on.
func (a *association) answerInit(request ber.TLV) bool {
	h := a.server.currentHealth()
	if h.Hang {
		a.hang()
		return false
	}
	time.Sleep(a.server.initDelay())
	result := resultSetOK
	// Only the Init of a check: a replica that rejects its parts, too, does not tell the untruth.
	if h.RejectChecks && strings.Contains(string(request.Child(110).Body), "check") {
		result = resultSetFailed
	}
	a.send(ber.Constructed(ber.InitResponse, ber.Primitive(3, "\x05\xe0"), ber.Primitive(4, "\x00\xe0\x00"),
		ber.Integer(5, 30000), ber.Integer(6, 30000), ber.Primitive(12, result)))
	return true
}

// answerSearch answers a search, and returns the fault that it met instead.
func (a *association) answerSearch(request ber.TLV, at time.Time, ref string) (fault string) {
	s := a.server
	database := string(request.Child(18).Children[0].Body)
	query := ber.FormatQuery(request.Child(21).Children[0].Children[1])
	var records []Record
	count := 1
	if store := s.currentStore(); store != nil {
		var reason string
		if records, count, reason = store.Search(database, request.Child(15).Int()); reason != "" {
			a.send(searchFailure(ref, databaseUnavailable, tagVisibleString, reason))
			return ""
		}
		if _, fault = s.archive.beginSearch(s, at, database, query, s.process()); fault == FaultError {
			a.send(searchFailure(ref, temporaryError, tagVisibleString, "failing"))
			return ""
		}
	} else {
		record, met := s.archive.beginSearch(s, at, database, query, s.process())
		if fault = met; fault == FaultError {
			a.send(searchFailure(ref, temporaryError, tagGeneralString, "failing"))
			return ""
		}
		records = []Record{{XML: record}}
	}
	if fault != "" {
		return fault
	}
	a.send(searchResponse(ref, database, count, records))
	return ""
}

func searchFailure(ref, code string, textTag int, text string) string {
	return ber.Constructed(ber.SearchResponse, ref, ber.Integer(23, 0), ber.Integer(24, 0), ber.Integer(25, 0), ber.Primitive(22, resultSetFailed),
		ber.Integer(26, presentationFailure),
		ber.Constructed(130, ber.Primitive(tagObjectIdentifier, ber.OIDDiagnostics), ber.Primitive(tagInteger, code), ber.Primitive(textTag, text)))
}

func searchResponse(ref, database string, count int, records []Record) string {
	var list []string
	for _, r := range records {
		external := ber.Constructed(-8, ber.Primitive(tagObjectIdentifier, ber.OIDXML), ber.Primitive(1, r.XML))
		list = append(list, ber.Constructed(-16, ber.Primitive(0, database), ber.Constructed(1, ber.Constructed(1, external))))
	}
	return ber.Constructed(ber.SearchResponse, ref, ber.Integer(23, count), ber.Integer(24, len(list)), ber.Integer(25, 0),
		ber.Primitive(22, resultSetOK), ber.Integer(27, 0), ber.Constructed(28, list...))
}

// answerUpdate answers a record update, and returns the fault that it met instead.
func (a *association) answerUpdate(request ber.TLV, at time.Time, ref string) (fault string) {
	s := a.server
	es := request.Child(10).Child(0).Children[0] // esRequest
	id := string(es.Child(2).Children[0].Children[0].Child(1).Children[0].Body)
	if store := s.currentStore(); store != nil { // before anything runs
		if reason := store.Correct(updateDatabase(es), id); reason != "" {
			a.send(updateFailure(ref, databaseUnavailable, tagVisibleString, reason))
			return ""
		}
	}
	switch fault = s.archive.beginCorrection(s, at, id, s.process()); fault {
	case "":
		a.send(ber.Constructed(ber.ExtendedServicesResponse, ref, ber.Integer(3, taskDone)))
	case FaultReject:
		a.send(updateFailure(ref, updateRejected, tagGeneralString, "no"))
	case FaultError:
		a.send(updateFailure(ref, temporaryError, tagGeneralString, "failing"))
	default:
		return fault
	}
	return ""
}

// updateDatabase is the database that an update names.
func updateDatabase(es ber.TLV) string {
	keep := es.Child(1)                                         // toKeep
	if len(keep.Children) == 1 && keep.Children[0].Class == 0 { // a sequence inside
		keep = keep.Children[0]
	}
	return string(keep.Child(2).Body)
}

func updateFailure(ref, code string, textTag int, text string) string {
	diagnostic := ber.Constructed(-16, ber.Primitive(tagObjectIdentifier, ber.OIDDiagnostics), ber.Primitive(tagInteger, code), ber.Primitive(textTag, text))
	return ber.Constructed(ber.ExtendedServicesResponse, ref, ber.Integer(3, taskFailed), ber.Constructed(4, diagnostic))
}
