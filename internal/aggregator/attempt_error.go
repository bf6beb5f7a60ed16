package aggregator

import (
	"errors"
	"fmt"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Progress is the stage that an attempt had reached when it ended.
type Progress int

// Stages of an attempt, in order.
const (
	NotConnected  Progress = iota // no connection was established, or nothing of the request was written
	PartlyWritten                 // the connection broke before the request's last byte was written
	Written                       // the complete request was written, or it cannot be proved that it was not
	Answered                      // the server answered
)

var progressNames = [...]string{"not connected", "partly written", "written", "answered"}

// String returns the stage's name in error messages.
func (p Progress) String() string { return progressNames[p] }

// AttemptError describes how an attempt or a probe failed. Progress and the flags alone determine whether the attempt
// may have run at the server; Server, Part and Cause only add detail to the message.
type AttemptError struct {
	Server balance.Replica // the destination; empty: not stated
	Part   string          // name of its part; empty: not stated, or a probe

	Progress Progress
	Rejected bool // the server did not accept it, and has not executed it
	Canceled bool // this aggregator canceled it
	// MapStatus is the mismatch of shard maps because of which the server rejected the attempt, and Epoch the epoch of
	// the map that the server named.
	MapStatus shardmap.Mismatch
	Epoch     shardmap.Epoch

	CorruptStream bool // with Written: the server is responsive, but what it sent on the connection cannot be decoded
	LocalCause    bool // with NotConnected: this aggregator lacked a resource; implies nothing about the server

	Cause error // may be nil
}

// Error states the part and the server, if set, the outcome with the stage reached, and the cause.
func (e *AttemptError) Error() string {
	text := e.subject() + e.outcome()
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// subject returns a prefix that names the part and the server, if set: "part q.1 to s1: ".
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

// outcome states how the attempt ended and, unless it was rejected, the stage it had reached.
func (e *AttemptError) outcome() string {
	switch {
	case e.Rejected:
		return "rejected"
	case e.Canceled:
		return "canceled, " + e.Progress.String()
	}
	return e.Progress.String()
}

// Unwrap returns the cause, which may be nil.
func (e *AttemptError) Unwrap() error { return e.Cause }

// SetSubject sets the server and the part of err, if it is an AttemptError. Backends call it at the end of an attempt,
// once for each error.
func SetSubject(err error, server balance.Replica, part string) {
	var failure *AttemptError
	if errors.As(err, &failure) {
		failure.Server = server
		failure.Part = part
	}
}

// attemptResult returns the result that an attempt's error stands for. An error other than an AttemptError proves
// nothing about what the server did: the attempt may have run.
func attemptResult(err error) balance.AttemptResult {
	var failure *AttemptError
	switch {
	case err == nil:
		return balance.OK
	case !errors.As(err, &failure):
		return balance.Reset
	case failure.Rejected && failure.MapStatus != shardmap.NoMismatch:
		return balance.NotSent // the rejection does not indicate an overloaded server
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
