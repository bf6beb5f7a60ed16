package aggregator

import (
	"fmt"
	"strings"
	"time"

	"rooktrestle/balance"
)

// traceCapacity is the number of entries that a trace retains.
const traceCapacity = 1024

// Reasons why requests were not served, as the trace states them.
const (
	reasonCapacity         = "too many queries are open"
	reasonIDInUse          = "its id is in use"
	reasonIDHasRun         = "its id has run"
	reasonExpiredOnArrival = "its time was over on arrival"
	reasonDecided          = "decided"
	reasonDeadlineExpired  = "its time is over"
	reasonDisconnected     = "its client has left"
)

// finalReason returns why an open query was closed.
func finalReason(final FinalAnswer) string {
	switch {
	case final.Status == StatusDisconnected:
		return reasonDisconnected
	case final.DeadlineExceeded:
		return reasonDeadlineExpired
	}
	return reasonDecided
}

// traceKind is the kind of event that a traceEntry describes.
type traceKind uint8

const (
	queryNotServed traceKind = iota
	attemptFailed
	endpointChanged
	detachmentChanged
)

// traceEntry is one event of a trace. It is formatted only when the trace is read.
type traceEntry struct {
	timestamp time.Time
	kind      traceKind
	subject   string // id of the request or name of the part; empty for events of servers
	server    balance.Replica
	class     int
	status    FinalStatus
	result    balance.AttemptResult
	detail    string // new state of the server, or reason why the query was closed
	err       error
}

// trace retains the most recent events of a core that its counters cannot explain: each query that was not served, with
// the reason; each attempt that failed, with its cause; each change of a server's state. It is logged on SIGUSR1.
type trace struct {
	entries [traceCapacity]traceEntry
	next    int // number of entries added so far; the oldest are overwritten
}

func (t *trace) add(entry traceEntry) {
	t.entries[t.next%traceCapacity] = entry
	t.next++
}

// Trace returns the retained events as text, one per line, oldest first.
func (c *Core) Trace() string {
	var text strings.Builder
	for i := max(0, c.trace.next-traceCapacity); i < c.trace.next; i++ {
		text.WriteString(c.trace.entries[i%traceCapacity].String() + "\n")
	}
	return text.String()
}

var finalStatusNames = [...]string{"served", "rejected", "failed", "client left"}

// String returns the entry as one line of text.
func (e traceEntry) String() string {
	timestamp := e.timestamp.UTC().Format("15:04:05.000")
	switch e.kind {
	case queryNotServed:
		return fmt.Sprintf("%s request %s class %d: %s: %s",
			timestamp, e.subject, e.class, finalStatusNames[e.status], e.detail)
	case attemptFailed:
		return fmt.Sprintf("%s part %s server %s: %s: %v", timestamp, e.subject, e.server, resultNames[e.result], e.err)
	default:
		return fmt.Sprintf("%s server %s: %s", timestamp, e.server, e.detail)
	}
}

// traceQuery records a request that was not served.
func (c *Core) traceQuery(request *Request, status FinalStatus, reason string) {
	if status == StatusServed {
		return
	}
	c.trace.add(traceEntry{
		timestamp: c.now,
		kind:      queryNotServed,
		subject:   request.ID,
		class:     request.Class,
		status:    status,
		detail:    reason,
	})
}

// traceAttempt records a failed attempt.
func (c *Core) traceAttempt(a *attempt, result balance.AttemptResult, err error) {
	if result == balance.OK {
		return
	}
	c.trace.add(traceEntry{
		timestamp: c.now,
		kind:      attemptFailed,
		subject:   a.part.name,
		server:    a.server,
		result:    result,
		err:       err,
	})
}

// endpointStateNames are the names of the states of servers in the trace.
var endpointStateNames = map[balance.EndpointState]string{
	balance.InService: "listed in service",
	balance.Draining:  "listed as draining",
	balance.Removed:   "not listed any more",
}

// traceServer records a change of a server's entry in the endpoint list.
func (c *Core) traceServer(server Server) {
	previous, listed := c.servers[server.ID]
	if listed && previous.State == server.State && previous.Addr == server.Addr &&
		previous.Started.Equal(server.Started) {
		return
	}
	c.trace.add(traceEntry{
		timestamp: c.now,
		kind:      endpointChanged,
		server:    server.ID,
		detail:    endpointStateNames[server.State],
	})
}

// traceMaintenance records that an operator has detached or attached a server.
func (c *Core) traceMaintenance(changed MaintenanceChanged) {
	state := "put back by an operator"
	if changed.Detached {
		state = "taken out by an operator"
	}
	c.trace.add(traceEntry{timestamp: c.now, kind: detachmentChanged, server: changed.Server, detail: state})
}
