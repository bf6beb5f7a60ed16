package simadapter

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"rooktrestle/balance"
)

// writeBuffer is the size of the output buffer in bytes.
const writeBuffer = 1 << 16

// Writer writes replies: the actions of each instance that has any, then End. It retains the first error of the output,
// which End returns. A Writer is not safe for concurrent use.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, writeBuffer)} }

// Actions writes the actions of one instance, or nothing if there are none.
func (w *Writer) Actions(instance string, actions []balance.Action) {
	if len(actions) == 0 {
		return
	}
	w.printf("SPEAKING\tgatherer=%s\n", instance)
	for _, action := range actions {
		w.action(action)
	}
}

// action writes the line of one action.
func (w *Writer) action(action balance.Action) {
	switch a := action.(type) {
	case balance.Send:
		w.send(a)
	case balance.Hedge:
		w.send(balance.Send(a))
	case balance.Cancel:
		w.printf("STOP_ATTEMPT\thandle=%d\tshot=%d\n", a.Part, a.Attempt)
	case balance.Answer:
		w.answer(a)
	case balance.Reject:
		w.reject(a)
	case balance.Fail:
		w.printf("RESPOND_ERROR\thandle=%d\n", a.Query)
	case balance.Probe:
		w.printf("ASK_LOAD\tserver=%s\n", a.Replica)
	case balance.SendGossip:
		w.printf("MEMO_TO\tto=*\tmsg=%x\n", a.Payload)
	case balance.StartTimer:
		w.printf("DEFER\tsleep_for=%d\thandle=0\n", a.After.Microseconds())
	case balance.WatchEndpoints:
		w.printf("TRACK\tentire=1\n")
	default:
		panic(fmt.Sprintf("simadapter: no line for action %T", a))
	}
}

func (w *Writer) send(a balance.Send) {
	w.printf("SUBMIT_TO\thandle=%d\tserver=%s", a.Part, a.Replica)
	if a.Timeout > 0 {
		w.printf("\tlimit=%d", a.Timeout.Microseconds())
	}
	w.printf("\n")
}

func (w *Writer) answer(a balance.Answer) {
	entire := 0
	if a.Complete {
		entire = 1
	}
	w.printf("REPLY_NOW\thandle=%d\tentire=%d\n", a.Query, entire)
}

func (w *Writer) reject(a balance.Reject) {
	w.printf("OVERLOAD_REPLY\thandle=%d", a.Query)
	if a.RetryAfter > 0 {
		w.printf("\twait=%d", a.RetryAfter.Microseconds())
	}
	w.printf("\n")
}

// Fault reports an error after which the adapter cannot continue.
func (w *Writer) Fault(text string) {
	w.printf("BAIL_OUT\tnote_text=%s\n", strings.Join(strings.Fields(text), " "))
}

// End ends the reply and flushes it.
func (w *Writer) End() error {
	w.printf("YIELD\n")
	return w.out.Flush()
}

func (w *Writer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(w.out, format, args...) // the buffer retains the first error for Flush
}
