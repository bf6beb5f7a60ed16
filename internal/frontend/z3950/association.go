package z3950

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/protocol/z3950"
)

const (
	maxBufferedBytes = 128 << 10 // of an incomplete PDU
	maxPendingPDUs   = 8         // waiting for the operation in flight
	minMessageSize   = 4 << 10   // lower bound of the negotiated message size, in bytes

	implementation = "rooktrestle" // implementation ID and name in InitResponse

	requestedActionCancel = 3 // value of requestedAction in TriggerResourceControl

	// Class and form bits in the first byte of every PDU: a constructed value with a context tag.
	pduIdentifierMask = 0xe0
	pduIdentifier     = 0xa0
)

// supportedOptions are the options that InitResponse may grant, in the order of their bits.
var supportedOptions = []int{
	z3950.OptSearch,
	z3950.OptPresent,
	z3950.OptDelete,
	z3950.OptTrigger,
	z3950.OptES,
	z3950.OptNamed,
}

// association is a Z39.50 association (session) on one connection. One operation is in flight at a time; PDUs that
// arrive meanwhile are queued. Methods are called with mu held, unless their comment says otherwise.
type association struct {
	server *Server
	conn   Conn

	mu           sync.Mutex
	buf          []byte                // received bytes that are not decoded yet
	initialized  bool                  // Init was accepted
	closed       bool                  // PDUs are neither handled nor sent
	shuttingDown bool                  // close when the operation in flight completes
	overLimit    bool                  // more was sent at once than is held: it is dropped, and the association is closed after the rest
	user         string                // from Init; empty: anonymous
	messageSize  int                   // negotiated in Init, in bytes
	resultSets   map[string]*resultSet // by name
	inFlight     *operation            // nil: none
	pending      []*z3950.Node         // PDUs that wait for the operation in flight, in order of arrival
	pendingBytes int                   // of memory that pending holds
	unsentBytes  int                   // of long responses that are not sent yet
	idleTimer    *time.Timer           // closes the association if it is idle; nil: not started

	account *membudget.Account // of the memory that the association holds
}

// Data decodes and handles PDUs. It is called without the lock held. After a panic in Data the caller closes the
// connection, and Closed then cancels the operation in flight.
func (a *association) Data(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.overLimit {
		return
	}
	a.restartIdleTimer()
	a.buf = append(a.buf, data...)
	decoded := false
	defer func() {
		if decoded {
			a.buf = bytes.Clone(a.buf) // without what is decoded
		}
		a.limitMemory()
	}()
	for len(a.buf) > 0 && !a.closed && !a.overLimit {
		pdu, rest, err := z3950.Decode(a.buf)
		// Checked before the PDU is complete: otherwise the association would wait for more bytes from a peer that
		// speaks another protocol.
		if a.buf[0]&pduIdentifierMask != pduIdentifier {
			err = errors.New("not a unit of this protocol")
		}
		if errors.Is(err, z3950.ErrMore) && len(a.buf) <= maxBufferedBytes {
			return
		}
		if err != nil {
			a.server.increment(&a.server.count.Bad)
			a.close(z3950.CloseProtocol, err.Error())
			return
		}
		a.buf = rest
		decoded = true
		a.server.increment(&a.server.count.Units)
		a.receive(pdu)
	}
	a.updateEvictionClass()
}

// Closed handles the end of the connection: it cancels the operation in flight and discards the result sets. It is
// called without the lock held.
func (a *association) Closed(error) {
	a.mu.Lock()
	a.closed = true
	a.cancelOperations()
	a.resultSets = nil
	a.account.Close()
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
	a.mu.Unlock()
	a.server.remove(a)
}

// shutDown closes the association, or has it closed when the operation in flight completes. It is called without the
// lock held.
func (a *association) shutDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shuttingDown = true
	if a.inFlight == nil {
		a.close(z3950.CloseShutdown, "the target shuts down")
	}
}

// close sends a Close PDU and closes the connection. An operation in flight is canceled; if it is an update, none of
// its parts is retried.
func (a *association) close(reason int, information string) {
	if a.closed {
		return
	}
	a.closed = true
	a.cancelOperations()
	a.buf = nil
	a.resultSets = nil
	a.send(z3950.Constructed(z3950.ClosePDU,
		z3950.Integer(z3950.FieldCloseReason, reason),
		z3950.String(z3950.FieldCloseInformation, information)))
	a.conn.CloseGracefully()
}

// restartIdleTimer restarts the idle timer on activity. Before Init is accepted it does nothing: a single timeout
// covers everything up to that point.
func (a *association) restartIdleTimer() {
	if a.initialized {
		a.setIdleTimer(a.server.times.Idle)
	}
}

// setIdleTimer replaces the idle timer: the association is closed once the timeout elapses, unless an operation is in
// flight then. A timeout of 0 disables the timer.
func (a *association) setIdleTimer(timeout time.Duration) {
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
	if timeout <= 0 {
		return
	}
	a.idleTimer = time.AfterFunc(timeout, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.inFlight == nil {
			a.close(z3950.CloseIdle, "no activity")
		}
	})
}

// receive handles a PDU. While an operation is in flight, Close and TriggerResourceControl are handled at once and all
// other PDUs are queued.
func (a *association) receive(pdu *z3950.Node) {
	switch {
	case pdu.Tag == z3950.ClosePDU:
		a.close(z3950.CloseFinished, "")
	case pdu.Tag == z3950.TriggerControl:
		if pdu.Child(z3950.FieldRequestedAction).IntOr(0) == requestedActionCancel && a.inFlight != nil {
			a.cancelInFlight()
		}
	case a.inFlight != nil:
		// Bounds the memory that an origin can occupy with pipelined requests. The operation in flight may have run, so it
		// is answered first.
		if len(a.pending) == maxPendingPDUs {
			a.dropSurplus()
			return
		}
		a.pending = append(a.pending, pdu)
		a.pendingBytes += pdu.MemorySize()
	default:
		a.perform(pdu)
	}
}

// dropSurplus drops what is not decoded yet, and what arrives from now on.
func (a *association) dropSurplus() {
	a.overLimit = true
	a.buf = nil
}

// performPending handles the pending PDUs after the operation in flight has ended.
func (a *association) performPending() {
	a.inFlight = nil
	if a.shuttingDown {
		a.close(z3950.CloseShutdown, "the target shuts down")
	}
	for a.inFlight == nil && len(a.pending) > 0 && !a.closed {
		pdu := a.pending[0]
		a.pending = a.pending[1:]
		a.pendingBytes -= pdu.MemorySize()
		a.perform(pdu)
	}
	if a.inFlight == nil && a.overLimit {
		a.close(z3950.CloseLimits, "too many requests at once")
	}
}

// perform handles a PDU while no operation is in flight.
func (a *association) perform(pdu *z3950.Node) {
	if pdu.Tag == z3950.InitRequest && !a.initialized {
		a.initialize(pdu)
		return
	}
	if !a.initialized || pdu.Tag == z3950.InitRequest {
		a.close(z3950.CloseProtocol, "init once, and first")
		return
	}
	switch pdu.Tag {
	case z3950.SearchRequest:
		a.search(pdu)
	case z3950.PresentRequest:
		a.present(pdu)
	case z3950.DeleteRequest:
		a.deleteResultSets(pdu)
	case z3950.EsRequest:
		a.update(pdu)
	default:
		a.server.increment(&a.server.count.Bad)
		a.close(z3950.CloseProtocol, fmt.Sprintf("unit %d is not served", pdu.Tag))
	}
}

// initialize responds to Init. It rejects an origin that does not offer version 3, and a user that is not configured.
func (a *association) initialize(pdu *z3950.Node) {
	a.user = userOf(pdu.Child(z3950.FieldAuthentication).OnlyChild())
	const version3 = 2 // bit of the version field
	accepted := pdu.Child(z3950.FieldVersion).Bit(version3) && (a.user == "" || a.server.Service.Tenant(a.user) >= 0)
	options := []int{}
	for _, option := range supportedOptions {
		if pdu.Child(z3950.FieldOptions).Bit(option) {
			options = append(options, option)
		}
	}
	requestedSize := pdu.Child(z3950.FieldPreferredMessageSize).IntOr(z3950.MaxPDU)
	a.messageSize = min(z3950.MaxPDU, max(minMessageSize, requestedSize))
	a.initialized = accepted
	a.send(z3950.Constructed(z3950.InitResponse,
		pdu.Child(z3950.FieldReferenceID),
		z3950.BitString(z3950.FieldVersion, 0, 1, 2),
		z3950.BitString(z3950.FieldOptions, options...),
		z3950.Integer(z3950.FieldPreferredMessageSize, a.messageSize),
		z3950.Integer(z3950.FieldExceptionalRecordSize, z3950.MaxPDU),
		z3950.Boolean(z3950.FieldInitResult, accepted),
		z3950.String(z3950.FieldImplementationID, implementation),
		z3950.String(z3950.FieldImplementationName, implementation)))
	if !accepted {
		a.closed = true
		a.conn.CloseGracefully()
	}
}

// userOf returns the user name of an authentication, which is the string "user/password" or a structure with a user ID;
// empty if there is none.
func userOf(authentication *z3950.Node) string {
	switch {
	case authentication == nil:
		return ""
	case authentication.Class == z3950.Universal && authentication.Tag == z3950.TagVisible:
		user, _, _ := strings.Cut(authentication.Text(), "/")
		return user
	case authentication.IsConstructed:
		return authentication.Child(z3950.FieldUserID).Text()
	}
	return ""
}
