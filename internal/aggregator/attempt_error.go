package aggregator

import (
	"errors"
	"fmt"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Progress says how far an attempt had come when it ended.
type Progress int

// The stages of an attempt, in their order.
const (
	NotConnected  Progress = iota // no connection came up, or nothing of the request was written
	PartlyWritten                 // the connection broke before the request's last byte was written
	Written                       // all of the request was written, or it cannot be proved that it was not
	Answered                      // the server answered
)

var progressNames = [...]string{"not connected", "partly written", "written", "answered"}

// String is the stage's name in error messages.
func (p Progress) String() string { return progressNames[p] }

// AttemptError says how an attempt or a probe failed. Progress and the flags alone decide whether the attempt may have
// run at the server; Server, Part and Cause are for those who read the message.
type AttemptError struct {
	Server balance.Replica // that it was sent to; empty: not stated
	Part   string          // name of its part; empty: not stated, or a probe

	Progress Progress
	Rejected bool // the server did not take it, and has not executed it
	Canceled bool // this aggregator gave it up
	// MapStatus is what a server said of the shard map when it rejected the attempt because of it, and Epoch the map's
	// epoch that it named.
	MapStatus shardmap.Mismatch
	Epoch     shardmap.Epoch

	CorruptStream bool // with Written: the server is alive, but what it sent on the connection cannot be decoded
	LocalCause    bool // with NotConnected: this aggregator lacked a resource; it says nothing of the server

	Cause error // may be nil
}

// Error says to which server and for which part, as far as stated, how far the attempt came, and why it ended.
func (e *AttemptError) Error() string {
	text := e.subject() + e.outcome()
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// subject names what was attempted where: "part q.1 to s1: ", or less if it is not stated.
func (e *AttemptError) subject() string {
	switch {
	case e.Part != "" && e.Server != "":
		return fmt.Sprintf("part %s to %s: ", e.Part, e.Server)
	case e.Part != "":
		return fmt.Sprintf("part %s: ", e.Part)
	case e.Server != "":
		return fmt.Sprintf("%s: ", e.Server)
	}
	return ""
}

// outcome says how the attempt ended and, unless it was rejected, how far it had come.
func (e *AttemptError) outcome() string {
	switch {
	case e.Rejected:
		return "rejected"
	case e.Canceled:
		return "canceled, " + e.Progress.String()
	}
	return e.Progress.String()
}

// Unwrap is the cause, which may be nil.
func (e *AttemptError) Unwrap() error { return e.Cause }

// SetSubject notes in err, if it is an AttemptError, to which server and for which part the attempt was. Backends
// call it at the end of an attempt, once for each error.
func SetSubject(err error, server balance.Replica, part string) {
	var failure *AttemptError
	if errors.As(err, &failure) {
		failure.Server = server
		failure.Part = part
	}
}

// attemptResult is the result that an attempt's error stands for. An error that is no AttemptError proves nothing about
// what the server did: the attempt may have run.
func attemptResult(err error) balance.AttemptResult {
	var failure *AttemptError
	switch {
	case err == nil:
		return balance.OK
	case !errors.As(err, &failure):
		return balance.Reset
	case failure.Rejected && failure.MapStatus != shardmap.NoMismatch:
		return balance.NotSent // the rejection says nothing of the server's load
	case failure.Rejected:
		return balance.QueueFull
	case failure.Canceled && failure.Progress < Written:
		return balance.NotSent
	case failure.Canceled:
		return balance.Canceled
	case failure.Progress < Written:
		return balance.ConnectFailed
	case failure.Progress == Answered, failure.CorruptStream:
		return balance.Failed
	}
	return balance.Reset
}
