package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/control/outlier"
)

// Frontend delivers the final answer of a request to its client. Answer is called on the loop, once for each request
// whose client has not disconnected. It must not block.
type Frontend interface{ Answer(final FinalAnswer) }

// Backend carries attempts to servers. Each attempt sent results in one AttemptEnded event and each probe in one
// ProbeEnded event, whatever happens. Its methods are called on the loop and must not block.
type Backend interface {
	// Send sends attempts in one call. The backend owns the slice from then on.
	Send(now time.Time, to Server, attempts []OutgoingAttempt)
	// Cancel cancels an attempt. Its AttemptEnded event follows only when the server has been notified, or the
	// connection is closed, so that the part's next attempt cannot run concurrently with it. mayRetry reports whether
	// there may be a next attempt.
	Cancel(now time.Time, attempt AttemptID, mayRetry bool)
	// Probe requests a load report from a server.
	Probe(now time.Time, to Server)
}

// GossipSender sends gossip messages to the other aggregators, best effort.
type GossipSender interface {
	// Broadcast sends a payload to all of them. It is called on the loop and must not block.
	Broadcast(payload []byte)
}

// Directory reports which servers are available; Core implements it. Like Core it is used on the loop only.
type Directory interface {
	// Available reports whether new work may be sent to a server.
	Available(server balance.Replica) bool
}

// AttemptObserver is notified of the end of each attempt, on the loop, in the order in which they end.
type AttemptObserver interface {
	AttemptEnded(now time.Time, summary AttemptSummary)
}

// AttemptSummary describes an attempt that has ended.
type AttemptSummary struct {
	Server         balance.Replica
	Class          int
	Result         balance.AttemptResult
	Sent           time.Time
	LocalCause     bool // it failed because this aggregator lacked a resource
	FalseRejection bool // the server rejected it for a reason that the shard map contradicts
}

// HealthResult returns what the attempt's result indicates about the server's health. objective is the latency
// objective of its class.
func (s AttemptSummary) HealthResult(now time.Time, objective time.Duration) health.Outcome {
	switch s.Result {
	case balance.OK:
		return health.Success
	case balance.Failed, balance.Reset, balance.TimedOut:
		return health.Failure
	case balance.ConnectFailed:
		if !s.LocalCause {
			return health.ConnectFailure
		}
	case balance.Canceled:
		// An attempt that is canceled after its objective shows that the server was unresponsive. An earlier one was
		// canceled because the client disconnected, or because another part failed.
		if now.Sub(s.Sent) >= objective {
			return health.Failure
		}
	}
	if s.FalseRejection {
		return health.Failure
	}
	return health.Neutral
}

// outlierOutcome returns the attempt's outcome as the outlier table records it. The table itself decides which canceled
// and rejected attempts count as failures.
func (s AttemptSummary) outlierOutcome() outlier.Outcome {
	switch s.Result {
	case balance.Canceled:
		return outlier.Canceled
	case balance.QueueFull:
		return outlier.Rejected
	}
	switch s.HealthResult(s.Sent, 0) {
	case health.Success:
		return outlier.Answered
	case health.Failure, health.ConnectFailure:
		return outlier.Failed
	}
	return outlier.NotSent
}
