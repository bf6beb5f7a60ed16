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

// Bib-1 diagnostics of the targets, as the encoded contents of their integers.
const (
	temporaryError      = "\x02"     // 2: temporary system error
	databaseUnavailable = "\x6d"     // 109
	updateRejected      = "\x00\xe0" // 224: immediate execution of the extended service failed
)

// Values of responses.
const (
	resultSetOK         = "\xff"
	resultSetFailed     = "\x00"
	taskDone            = 1
	taskFailed          = 3
	presentationFailure = 3
	corruptResponse     = "\xb7\x03\x02\x01\x00noise"
)

// Universal tags, negative as package ber expects them.
const (
	tagInteger          = -2
	tagObjectIdentifier = -6
	tagVisibleString    = -26
	tagGeneralString    = -27
)

// connections tracks the open connections of one running target.
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

// reset resets all connections, as a crash would.
func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // if it fails, the connection is closed without a reset
		}
		_ = conn.Close() // no written data depends on it
	}
}

// serveZ3950 serves Z39.50 in the background; stop closes the listener and resets all connections.
func (s *Server) serveZ3950(listener net.Listener) (stop func()) {
	conns := &connections{open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.add(conn)
			go func() {
				defer conns.remove(conn)
				a := &association{server: s, conn: conn, reader: bufio.NewReader(conn)}
				a.serve()
			}()
		}
	}()
	return func() {
		_ = listener.Close() // the connections are reset below
		conns.reset()
	}
}

// association is the connection of one origin.
type association struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
}

// apdu is a request with the time of its first byte.
type apdu struct {
	ber.TLV
	begin time.Time
}

// referenceID returns the request's reference identifier, encoded for the response.
func (r *apdu) referenceID() string { return ber.Primitive(2, string(r.Child(2).Body)) }

// readAPDU reads a request.
func (a *association) readAPDU() (*apdu, error) {
	if _, err := a.reader.Peek(1); err != nil {
		return nil, err
	}
	begin := time.Now()
	value, err := ber.Read(a.reader)
	return &apdu{TLV: value, begin: begin}, err
}

// serve answers APDUs until the origin disconnects, or a part has a fault that closes the connection.
func (a *association) serve() {
	defer func() { _ = a.conn.Close() }() // no written data depends on it
	for {
		request, err := a.readAPDU()
		if err != nil {
			return
		}
		fault := ""
		switch request.Tag {
		case ber.InitRequest:
			if !a.answerInit(request) {
				return
			}
		case ber.SearchRequest:
			fault = a.answerSearch(request)
		case ber.ExtendedServicesRequest:
			fault = a.answerUpdate(request)
		default:
			return
		}
		if fault != "" {
			a.fail(fault)
			return
		}
	}
}

// send writes an APDU. A failure means that the origin has closed the connection, which the next read reports.
func (a *association) send(apdu string) { _, _ = io.WriteString(a.conn, apdu) }

// hang blocks until the origin disconnects.
func (a *association) hang() { _, _ = a.reader.ReadByte() }

// fail carries out a fault instead of an answer. The caller closes the connection afterwards.
func (a *association) fail(fault string) {
	switch fault {
	case FaultHang:
		a.hang()
		a.server.archive.reportDisconnect(a.server.Name)
	case FaultCorrupt:
		a.send(corruptResponse)
		a.hang()
	}
}

// answerInit answers Init, and reports whether the association continues.
func (a *association) answerInit(request *apdu) bool {
	health := a.server.currentHealth()
	if health.Hang {
		a.hang()
		return false
	}
	time.Sleep(a.server.initDelay())
	result := resultSetOK
	// Only the Init of a health check is rejected, so that checks fail while the replica serves parts.
	isCheck := strings.Contains(string(request.Child(110).Body), "check")
	if health.RejectChecks && isCheck {
		result = resultSetFailed
	}
	a.send(ber.Constructed(ber.InitResponse,
		ber.Primitive(3, "\x05\xe0"),
		ber.Primitive(4, "\x00\xe0\x00"),
		ber.Integer(5, 30000),
		ber.Integer(6, 30000),
		ber.Primitive(12, result)))
	return true
}

// answerSearch answers a search, or returns the fault that replaces the answer.
func (a *association) answerSearch(request *apdu) (fault string) {
	s := a.server
	ref := request.referenceID()
	database := string(request.Child(18).Children[0].Body)
	query := ber.FormatQuery(request.Child(21).Children[0].Children[1])
	store := s.currentStore()
	if store == nil {
		record, fault := s.archive.beginSearch(s, request.begin, database, query, s.process())
		switch fault {
		case "":
			a.send(searchResponse(ref, database, 1, []Record{{XML: record}}))
		case FaultError:
			a.send(searchFailure(ref, diagnostic{code: temporaryError, textTag: tagGeneralString, text: "failing"}))
		default:
			return fault
		}
		return ""
	}
	records, count, reason := store.Search(database, request.Child(15).Int())
	if reason != "" {
		a.send(searchFailure(ref, diagnostic{code: databaseUnavailable, textTag: tagVisibleString, text: reason}))
		return ""
	}
	_, fault = s.archive.beginSearch(s, request.begin, database, query, s.process())
	switch fault {
	case "":
		a.send(searchResponse(ref, database, count, records))
	case FaultError:
		a.send(searchFailure(ref, diagnostic{code: temporaryError, textTag: tagVisibleString, text: "failing"}))
	default:
		return fault
	}
	return ""
}

// diagnostic is a Bib-1 diagnostic in a response.
type diagnostic struct {
	code    string // encoded contents of its integer
	textTag int    // of the additional information
	text    string
}

// encodeAs encodes the diagnostic as a DefaultDiagFormat with a tag.
func (d diagnostic) encodeAs(tag int) string {
	return ber.Constructed(tag,
		ber.Primitive(tagObjectIdentifier, ber.OIDDiagnostics),
		ber.Primitive(tagInteger, d.code),
		ber.Primitive(d.textTag, d.text))
}

func searchFailure(ref string, failure diagnostic) string {
	return ber.Constructed(ber.SearchResponse,
		ref,
		ber.Integer(23, 0),
		ber.Integer(24, 0),
		ber.Integer(25, 0),
		ber.Primitive(22, resultSetFailed),
		ber.Integer(26, presentationFailure),
		failure.encodeAs(130))
}

func searchResponse(ref, database string, count int, records []Record) string {
	var list []string
	for _, record := range records {
		external := ber.Constructed(-8, ber.Primitive(tagObjectIdentifier, ber.OIDXML), ber.Primitive(1, record.XML))
		retrieval := ber.Constructed(1, ber.Constructed(1, external))
		list = append(list, ber.Constructed(-16, ber.Primitive(0, database), retrieval))
	}
	return ber.Constructed(ber.SearchResponse,
		ref,
		ber.Integer(23, count),
		ber.Integer(24, len(list)),
		ber.Integer(25, 0),
		ber.Primitive(22, resultSetOK),
		ber.Integer(27, 0),
		ber.Constructed(28, list...))
}

// answerUpdate answers a record update, or returns the fault that replaces the answer.
func (a *association) answerUpdate(request *apdu) (fault string) {
	s := a.server
	ref := request.referenceID()
	update := request.Child(10).Child(0).Children[0] // esRequest
	id := string(update.Child(2).Children[0].Children[0].Child(1).Children[0].Body)
	if store := s.currentStore(); store != nil { // a rejection has no effect
		if reason := store.Correct(updateDatabase(update), id); reason != "" {
			a.send(updateFailure(ref, diagnostic{code: databaseUnavailable, textTag: tagVisibleString, text: reason}))
			return ""
		}
	}
	fault = s.archive.beginCorrection(s, request.begin, id, s.process())
	switch fault {
	case "":
		a.send(ber.Constructed(ber.ExtendedServicesResponse, ref, ber.Integer(3, taskDone)))
	case FaultReject:
		a.send(updateFailure(ref, diagnostic{code: updateRejected, textTag: tagGeneralString, text: "no"}))
	case FaultError:
		a.send(updateFailure(ref, diagnostic{code: temporaryError, textTag: tagGeneralString, text: "failing"}))
	default:
		return fault
	}
	return ""
}

// updateDatabase returns the database of an update (esRequest).
func updateDatabase(update ber.TLV) string {
	toKeep := update.Child(1)
	if len(toKeep.Children) == 1 && toKeep.Children[0].Class == 0 { // wrapped in a sequence
		toKeep = toKeep.Children[0]
	}
	return string(toKeep.Child(2).Body)
}

func updateFailure(ref string, failure diagnostic) string {
	return ber.Constructed(ber.ExtendedServicesResponse,
		ref,
		ber.Integer(3, taskFailed),
		ber.Constructed(4, failure.encodeAs(-16)))
}
