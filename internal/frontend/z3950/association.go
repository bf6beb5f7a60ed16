package z3950

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/protocol/z3950"
)

const (
	maxUnit        = 128 << 10 // bytes of an incomplete unit that are buffered
	maxPending     = 8         // units that may wait for the operation in flight
	minMessageSize = 4 << 10   // smallest message size that an association is opened with, in bytes

	implementation = "rooktrestle" // sent in the response to Init

	requestedActionCancel = 3 // of TriggerControl

	// The first byte of every unit: a constructed value with a context tag.
	unitIdentifierMask = 0xe0
	unitIdentifier     = 0xa0
)

// supportedOptions are the options that an association may be opened with, in the order of their bits.
var supportedOptions = []int{
	z3950.OptSearch,
	z3950.OptPresent,
	z3950.OptDelete,
	z3950.OptTrigger,
	z3950.OptES,
	z3950.OptNamed,
}

// association is one association (session) on a connection. One operation is in flight at a time; units that arrive
// meanwhile wait for it. Unless said otherwise, its methods are called with the lock held.
type association struct {
	server *Server
	conn   Conn

	mu           sync.Mutex
	buf          []byte // received and not decoded yet
	initialized  bool   // Init was accepted
	closed       bool   // nothing is received or sent any more
	shuttingDown bool   // to be closed after the operation in flight
	user         string // as given in Init; empty: anonymous
	messageSize  int    // as agreed in Init, in bytes
	sets         map[string]*resultSet
	inFlight     *operation // nil: none
	pending      []*z3950.Node
	timer        *time.Timer // closes the association for lack of activity; nil: not limited yet
}

// Data decodes and handles units. It is called without the lock held. A panic in it closes the connection, and Closed
// then cancels the operation in flight.
func (a *association) Data(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.restartIdleTimer()
	a.buf = append(a.buf, data...)
	for len(a.buf) > 0 && !a.closed {
		unit, rest, err := z3950.Decode(a.buf)
		// Checked before the unit is complete: a peer that speaks another protocol would be waited for otherwise.
		if a.buf[0]&unitIdentifierMask != unitIdentifier {
			err = errors.New("not a unit of this protocol")
		}
		if errors.Is(err, z3950.ErrMore) && len(a.buf) <= maxUnit {
			return
		}
		if err != nil {
			a.server.increment(&a.server.count.Bad)
			a.close(z3950.CloseProtocol, err.Error())
			return
		}
		a.buf = append([]byte(nil), rest...)
		a.server.increment(&a.server.count.Units)
		a.receive(unit)
	}
	a.updateEvictionClass()
}

// Closed cancels the operation in flight and drops the result sets. It is called without the lock held.
func (a *association) Closed(error) {
	a.mu.Lock()
	a.closed = true
	a.cancelOperations()
	a.sets = nil
	if a.timer != nil {
		a.timer.Stop()
	}
	a.mu.Unlock()
	a.server.forget(a)
}

// shutDown closes the association, after the operation in flight if there is one. It is called without the lock held.
func (a *association) shutDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shuttingDown = true
	if a.inFlight == nil {
		a.close(z3950.CloseShutdown, "the target shuts down")
	}
}

// close sends a Close unit and closes the connection. An update in flight is cancelled: no part of it is retried.
func (a *association) close(reason int, information string) {
	if a.closed {
		return
	}
	a.closed = true
	a.cancelOperations()
	a.send(z3950.Constructed(z3950.ClosePDU,
		z3950.Integer(z3950.FieldCloseReason, reason),
		z3950.String(z3950.FieldCloseInformation, information)))
	a.conn.CloseGracefully()
}

// restartIdleTimer restarts the timer at activity. Before Init the timer goes on, as one time limits all that comes before.
func (a *association) restartIdleTimer() {
	if a.initialized {
		a.setTimer(a.server.times.Idle)
	}
}

// setTimer closes the association after a time without activity; 0: never.
func (a *association) setTimer(after time.Duration) {
	if a.timer != nil {
		a.timer.Stop()
	}
	if after <= 0 {
		return
	}
	a.timer = time.AfterFunc(after, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.inFlight == nil {
			a.close(z3950.CloseIdle, "no activity")
		}
	})
}

// send writes a unit.
func (a *association) send(unit *z3950.Node) { a.conn.Write(unit.Encode(nil), nil) }

// receive handles a unit, or lets it wait for the operation in flight.
func (a *association) receive(unit *z3950.Node) {
	switch {
	case unit.Tag == z3950.ClosePDU:
		a.close(z3950.CloseFinished, "")
	case unit.Tag == z3950.TriggerControl:
		if unit.Child(z3950.FieldRequestedAction).IntOr(0) == requestedActionCancel && a.inFlight != nil {
			a.cancelInFlight()
		}
	case a.inFlight != nil:
		a.pending = append(a.pending, unit)
		// Guards memory against an origin that sends requests without end.
		if len(a.pending) > maxPending {
			a.close(z3950.CloseLimits, "too many requests at once")
		}
	default:
		a.perform(unit)
	}
}

// performPending handles the units that waited for the operation in flight, which is finished.
func (a *association) performPending() {
	a.inFlight = nil
	if a.shuttingDown {
		a.close(z3950.CloseShutdown, "the target shuts down")
	}
	for a.inFlight == nil && len(a.pending) > 0 && !a.closed {
		unit := a.pending[0]
		a.pending = a.pending[1:]
		a.perform(unit)
	}
}

// perform handles a unit while no operation is in flight.
func (a *association) perform(unit *z3950.Node) {
	if unit.Tag == z3950.InitRequest && !a.initialized {
		a.initialize(unit)
		return
	}
	if !a.initialized || unit.Tag == z3950.InitRequest {
		a.close(z3950.CloseProtocol, "init once, and first")
		return
	}
	switch unit.Tag {
	case z3950.SearchRequest:
		a.search(unit)
	case z3950.PresentRequest:
		a.present(unit)
	case z3950.DeleteRequest:
		a.deleteResultSets(unit)
	case z3950.EsRequest:
		a.update(unit)
	default:
		a.server.increment(&a.server.count.Bad)
		a.close(z3950.CloseProtocol, fmt.Sprintf("unit %d is not served", unit.Tag))
	}
}

// initialize answers Init. An origin of a version before 3, or a user that is not configured, is rejected.
func (a *association) initialize(unit *z3950.Node) {
	a.user = userOf(unit.Child(z3950.FieldAuthentication).OnlyChild())
	const version3 = 2 // bit
	accepted := unit.Child(z3950.FieldVersion).Bit(version3) && (a.user == "" || a.server.Service.Tenant(a.user) >= 0)
	options := []int{}
	for _, option := range supportedOptions {
		if unit.Child(z3950.FieldOptions).Bit(option) {
			options = append(options, option)
		}
	}
	requestedSize := unit.Child(z3950.FieldPreferredMessageSize).IntOr(z3950.MaxPDU)
	a.messageSize = min(z3950.MaxPDU, max(minMessageSize, requestedSize))
	a.initialized = accepted
	a.send(z3950.Constructed(z3950.InitResponse,
		unit.Child(z3950.FieldReferenceID),
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

// userOf returns the user of an authentication, in its form "user/password" or by fields; empty if it has none.
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
