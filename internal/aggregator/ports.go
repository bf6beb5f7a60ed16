package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/control/outlier"
)

// Frontend is where a request came from. Answer is called on the loop, once for each request whose client has not
// disconnected. It must not block.
type Frontend interface{ Answer(final FinalAnswer) }

// Backend carries attempts to servers. Each attempt sent ends in one AttemptEnded and each probe in one ProbeEnded
// event, whatever happens. Its methods are called on the loop and must not block.
type Backend interface {
	// Send makes one call of these attempts. The backend owns the slice from then on.
	Send(now time.Time, to Server, calls []OutgoingAttempt)
	// Cancel gives an attempt up. Its AttemptEnded event comes only when the server has been notified, or the
	// connection is closed, so that the part's next attempt cannot run beside it. mayRetry says that there may be a
	// next one.
	Cancel(now time.Time, attempt AttemptID, mayRetry bool)
	// Probe requests a load report from a server.
	Probe(now time.Time, to Server)
}

// GossipSender sends gossip messages to the other aggregators of the tier, best effort.
type GossipSender interface {
	// Broadcast sends a payload to all of them. It is called on the loop and must not block.
	Broadcast(payload []byte)
}

// Directory says what is known of a server; Core is one. Like Core it is for the loop only.
type Directory interface {
	// Available says whether new work may be sent to a server.
	Available(server balance.Replica) bool
}

// AttemptObserver learns how each attempt ended, on the loop, in the order of the ends.
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
	FalseRejection bool // the server rejected it with a claim that the shard map contradicts
}

// HealthResult is what the attempt's end says of its server's health. objective is the latency objective of its class.
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
		// Canceled after the objective: the server was unresponsive. Before: the client left or another part failed.
		if now.Sub(s.Sent) >= objective {
			return health.Failure
		}
	}
	if s.FalseRejection {
		return health.Failure
	}
	return health.Neutral
}

// outlierEnd is what the attempt's end says of its server to the table of outliers, which judges by itself what was
// canceled or rejected.
func (s AttemptSummary) outlierEnd() outlier.Outcome {
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
