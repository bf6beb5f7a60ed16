package aggregator

import (
	"fmt"
	"strings"
	"time"

	"rooktrestle/balance"
)

// traceEntries is how many entries a trace holds.
const traceEntries = 1024

// Why requests ended.
const (
	reasonCapacity     = "too many queries are open"
	reasonIDInUse      = "its id is in use"
	reasonOverdue      = "its time was over on arrival"
	reasonDecided      = "decided"
	reasonDeadline     = "its time is over"
	reasonDisconnected = "its client has left"
)

// reasonOfEnd is why a query ended that was open.
func reasonOfEnd(final FinalAnswer) string {
	switch {
	case final.Status == StatusDisconnected:
		return reasonDisconnected
	case final.DeadlineExceeded:
		return reasonDeadline
	}
	return reasonDecided
}

// traceKind is what a traceEntry tells of.
type traceKind uint8

const (
	queryEnded traceKind = iota
	attemptFailed
	serverListed
	serverMaintained
)

// traceEntry is one event of a trace. It is put into words only when somebody reads it.
type traceEntry struct {
	at      time.Time
	kind    traceKind
	subject string // id of the request, name of the part, or nothing
	server  balance.Replica
	class   int
	status  FinalStatus
	result  balance.AttemptResult
	state   string // of the server, or the reason of the query's end
	err     error
}

// trace holds the last events of a core that its counters cannot explain: each query that was not served, with the reason;
// each attempt that failed, with its cause; each change of a server's state. It is for people, on SIGUSR1.
type trace struct {
	entries [traceEntries]traceEntry
	next    int // of all entries so far; the oldest are overwritten
}

func (t *trace) add(entry traceEntry) {
	t.entries[t.next%traceEntries] = entry
	t.next++
}

// Trace returns the last events in words, the oldest first, a line each.
func (c *Core) Trace() string {
	var text strings.Builder
	for i := max(0, c.trace.next-traceEntries); i < c.trace.next; i++ {
		text.WriteString(c.trace.entries[i%traceEntries].String() + "\n")
	}
	return text.String()
}

var finalStatusNames = [...]string{"served", "rejected", "failed", "client left"}

// String is an entry's line.
func (e traceEntry) String() string {
	at := e.at.UTC().Format("15:04:05.000")
	switch e.kind {
	case queryEnded:
		return fmt.Sprintf("%s request %s class %d: %s: %s", at, e.subject, e.class, finalStatusNames[e.status], e.state)
	case attemptFailed:
		return fmt.Sprintf("%s part %s server %s: %s: %v", at, e.subject, e.server, resultNames[e.result], e.err)
	default:
		return fmt.Sprintf("%s server %s: %s", at, e.server, e.state)
	}
}

// traceQuery notes how a request ended that was not served.
func (c *Core) traceQuery(request *Request, status FinalStatus, reason string) {
	if status == StatusServed {
		return
	}
	c.trace.add(traceEntry{
		at:      c.now,
		kind:    queryEnded,
		subject: request.ID,
		class:   request.Class,
		status:  status,
		state:   reason,
	})
}

// traceAttempt notes how an attempt failed.
func (c *Core) traceAttempt(a *attempt, result balance.AttemptResult, err error) {
	if result == balance.OK {
		return
	}
	c.trace.add(traceEntry{
		at:      c.now,
		kind:    attemptFailed,
		subject: a.part.name,
		server:  a.server,
		result:  result,
		err:     err,
	})
}

// Names of the states of servers.
var endpointStateNames = map[balance.EndpointState]string{
	balance.InService: "listed in service",
	balance.Draining:  "listed as draining",
	balance.Removed:   "not listed any more",
}

// traceServer notes a change of a server's entry on the list.
func (c *Core) traceServer(server Server) {
	former, listed := c.servers[server.ID]
	if listed && former.State == server.State && former.Addr == server.Addr && former.Started.Equal(server.Started) {
		return
	}
	c.trace.add(traceEntry{at: c.now, kind: serverListed, server: server.ID, state: endpointStateNames[server.State]})
}

// traceMaintenance notes an operator's call on a server.
func (c *Core) traceMaintenance(changed MaintenanceChanged) {
	state := "put back by an operator"
	if changed.Detached {
		state = "taken out by an operator"
	}
	c.trace.add(traceEntry{at: c.now, kind: serverMaintained, server: changed.Server, state: state})
}
