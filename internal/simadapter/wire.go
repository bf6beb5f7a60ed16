// Package simadapter reads and prints the bench's wire: frames of events in, actions
// out. It decides nothing.
package simadapter

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/settings"
)

// Start is a gatherer's start. It knows nothing yet.
type Start struct{ Settings balance.Settings }

// Stop says that a gatherer was killed.
type Stop struct{}

// Event is one event of a frame: a Start, a Stop or a balance.Event.
type Event struct {
	Instance string
	What     any
}

// Frame is one batch of events.
type Frame struct {
	Now    time.Duration
	Events []Event
}

// Reader reads frames. Numbered lists live as long as the Reader does.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]balance.Endpoint
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]balance.Endpoint{}}
}

// next reads one line as a message; io.EOF at the end of the input.
func (r *Reader) next() (*message, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (err != io.EOF || text == "") {
			return nil, err
		}
		r.line++
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			continue
		}
		m, err := parseMessage(text)
		if err != nil {
			return nil, r.wrap(err)
		}
		return m, nil
	}
}

func (r *Reader) wrap(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// Frame reads the next frame. It returns io.EOF where the input ends between frames.
func (r *Reader) Frame() (*Frame, error) {
	m, err := r.next()
	if err != nil {
		return nil, err
	}
	if m.name != "FRAME" {
		return nil, r.wrap(fmt.Errorf("%s outside a frame", m.name))
	}
	f := &Frame{Now: m.time("sim_time")}
	if m.err != nil {
		return nil, r.wrap(m.err)
	}
	target := ""
	for {
		m, err := r.next()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: the input ends inside a frame", r.line)
		}
		if err != nil {
			return nil, err
		}
		switch m.name {
		case "FLUSH":
			return f, nil
		case "TARGET_INSTANCE":
			target = m.text("gatherer")
			if m.err == nil && target == "" {
				m.fail("gatherer: empty")
			}
		case "DEFINE_LIST":
			err = r.list(m)
		default:
			var what any
			what, err = r.event(m)
			if err == nil && target == "" {
				err = fmt.Errorf("%s before any TARGET_INSTANCE", m.name)
			}
			if what != nil {
				f.Events = append(f.Events, Event{target, what})
			}
		}
		if err = errors.Join(m.err, err); err != nil {
			return nil, r.wrap(err)
		}
	}
}

// list reads a DEFINE_LIST's entries.
func (r *Reader) list(m *message) error {
	number, count := m.whole("list", 0, 15), m.whole("members", 0, math.MaxInt32)
	if m.err != nil {
		return nil
	}
	var list []balance.Endpoint
	for range count {
		e, err := r.next()
		if err == io.EOF {
			return errors.New("the input ends inside a list")
		}
		if err != nil {
			return err
		}
		if e.name != "SERVER" {
			return fmt.Errorf("%s inside a list of %d entries", e.name, count)
		}
		list = append(list, balance.Endpoint{
			Replica: balance.Replica(e.text("server")),
			Zone:    e.wholeOr("area", 0),
			Cell:    e.wholeOr("set_no", 0),
			Size:    e.numberOr("size", 1),
			State:   oneOf(e, "phase", phases),
			Started: e.timeOr("last_start", 0),
		})
		if e.err != nil {
			return e.err
		}
	}
	r.lists[number] = list
	return nil
}

var (
	phases = map[string]balance.EndpointState{
		"in_service": balance.InService, "terminating": balance.Draining, "terminated": balance.Removed,
	}
	forms = map[string]balance.ListKind{
		"F": balance.ListFull, "C": balance.ListStale, "D": balance.ListDelta, "X": balance.ListFailed,
	}
	results = map[string]balance.AttemptResult{
		"Ok": balance.OK, "Failed": balance.Failed, "QueueFull": balance.QueueFull,
		"TimedOut": balance.TimedOut, "ConnectError": balance.ConnectFailed, "ResetByPeer": balance.Reset,
		"Canceled": balance.Canceled, "Ignored": balance.NotSent,
	}
)

// event reads any message but those that frame others; nil for one that this module has no use for.
func (r *Reader) event(m *message) (any, error) {
	switch m.name {
	case "POWER_ON":
		deployment, err := settings.Parse([]byte(m.text("env")))
		decisions := deployment.Decisions
		decisions.Seed = m.unsigned("seed")
		if m.err != nil {
			return nil, nil
		}
		return Start{decisions}, err
	case "RETIRE":
		return Stop{}, nil
	case "MEMBERSHIP":
		kind := oneOf(m, "form", forms)
		if m.err != nil || kind == balance.ListFailed {
			return balance.EndpointList{Kind: kind}, nil
		}
		number := m.whole("list", 0, 15)
		list, ok := r.lists[number]
		if !ok && m.err == nil {
			m.fail("list %d is not defined", number)
		}
		return balance.EndpointList{Kind: kind, Endpoints: list}, nil
	case "WORK_ITEM":
		id, group, shard := balance.ID(m.unsigned("handle")), m.unsigned("group_no"), m.integer("segment_no")
		hint := m.timeOr("hint", 0)
		if shard >= 0 {
			return balance.Part{ID: id, Group: group, Shard: shard, Weight: m.number("heft"), WorkHint: hint}, nil
		}
		return balance.Query{
			ID: id, Group: group, Class: m.whole("class", 0, math.MaxInt32), Tenant: m.wholeOr("billing", 0),
			Key: m.textOr("resource", ""), WorkHint: hint, TimeLeft: m.time("grace"),
			IsRetry: m.wholeOr("is_retry", 0) != 0, Parts: int(m.number("heft")),
		}, nil
	case "RESULT":
		return balance.AttemptEnded{
			Part: balance.ID(m.unsigned("handle")), Attempt: m.whole("shot", 0, math.MaxInt32),
			Replica: balance.Replica(m.text("server")), Result: oneOf(m, "outcome", results),
			Elapsed: m.time("lag"), Report: m.report("metrics"),
		}, nil
	case "HEALTH":
		return balance.ProbeEnded{
			Replica: balance.Replica(m.text("server")), Result: oneOf(m, "outcome", results),
			Elapsed: m.time("lag"), Report: m.report("metrics"),
		}, nil
	case "ALARM":
		m.unsigned("handle")
		return balance.TimerFired{}, nil
	case "VANISHED":
		return balance.ClientDisconnected{Query: balance.ID(m.unsigned("handle"))}, nil
	case "NEIGHBOUR_SAYS":
		// Whatever came is passed on: what cannot be read is the decisions' to drop.
		text, err := hex.DecodeString(strings.TrimPrefix(m.textOr("msg", ""), "-"))
		if err != nil {
			text = nil
		}
		return balance.GossipReceived{Payload: text}, nil
	case "STREAMING":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown message %q", m.name)
}

// Writer prints replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<16)} }

// Actions prints one gatherer's actions.
func (w *Writer) Actions(instance string, actions []balance.Action) {
	if len(actions) == 0 {
		return
	}
	fmt.Fprintf(w.out, "SPEAKING\tgatherer=%s\n", instance)
	for _, a := range actions {
		w.action(a)
	}
}

func (w *Writer) action(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		w.send(a)
	case balance.Hedge:
		w.send(balance.Send(a))
	case balance.Cancel:
		fmt.Fprintf(w.out, "STOP_ATTEMPT\thandle=%d\tshot=%d\n", a.Part, a.Attempt)
	case balance.Answer:
		entire := 0
		if a.Complete {
			entire = 1
		}
		fmt.Fprintf(w.out, "REPLY_NOW\thandle=%d\tentire=%d\n", a.Query, entire)
	case balance.Reject:
		fmt.Fprintf(w.out, "OVERLOAD_REPLY\thandle=%d", a.Query)
		if a.RetryAfter > 0 {
			fmt.Fprintf(w.out, "\twait=%d", a.RetryAfter.Microseconds())
		}
		w.out.WriteByte('\n')
	case balance.Fail:
		fmt.Fprintf(w.out, "RESPOND_ERROR\thandle=%d\n", a.Query)
	case balance.Probe:
		fmt.Fprintf(w.out, "ASK_LOAD\tserver=%s\n", a.Replica)
	case balance.SendGossip:
		fmt.Fprintf(w.out, "MEMO_TO\tto=*\tmsg=%x\n", a.Payload)
	case balance.StartTimer:
		fmt.Fprintf(w.out, "DEFER\tsleep_for=%d\thandle=0\n", a.After.Microseconds())
	case balance.WatchEndpoints:
		w.out.WriteString("TRACK\tentire=1\n")
	default:
		panic(fmt.Sprintf("wire: no line for %T", a))
	}
}

func (w *Writer) send(a balance.Send) {
	fmt.Fprintf(w.out, "SUBMIT_TO\thandle=%d\tserver=%s", a.Part, a.Replica)
	if a.Timeout > 0 {
		fmt.Fprintf(w.out, "\tlimit=%d", a.Timeout.Microseconds())
	}
	w.out.WriteByte('\n')
}

// Fault reports that the decisions cannot go on.
func (w *Writer) Fault(text string) {
	fmt.Fprintf(w.out, "BAIL_OUT\tnote_text=%s\n", strings.Join(strings.Fields(text), " "))
}

// End closes the reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("YIELD\n")
	return w.out.Flush()
}

// message is one line: its name and its fields. The first error met in it is kept in err.
type message struct {
	name   string
	fields map[string]string
	err    error
}

func parseMessage(text string) (*message, error) {
	name, rest, _ := strings.Cut(text, "\t")
	m := &message{name: name, fields: map[string]string{}}
	for rest != "" {
		if env, ok := strings.CutPrefix(rest, "env="); ok {
			m.fields["env"] = env // takes the rest of the line
			break
		}
		var field string
		field, rest, _ = strings.Cut(rest, "\t")
		key, value, ok := strings.Cut(field, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("%s: %q is not name=value", name, field)
		}
		if _, twice := m.fields[key]; twice {
			return nil, fmt.Errorf("%s: %s is given twice", name, key)
		}
		m.fields[key] = value
	}
	return m, nil
}

func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: "+format, append([]any{m.name}, args...)...)
	}
}

func (m *message) textOr(key, other string) string {
	if v, ok := m.fields[key]; ok {
		return v
	}
	return other
}

func (m *message) text(key string) string {
	v, ok := m.fields[key]
	if !ok {
		m.fail("no %s", key)
	}
	return v
}

// parse reads a required field with f.
func parse[T any](m *message, key, what string, f func(string) (T, error)) T {
	text := m.text(key)
	if m.err != nil {
		var zero T
		return zero
	}
	v, err := f(text)
	if err != nil {
		m.fail("%s: %q is not %s", key, text, what)
	}
	return v
}

func (m *message) has(key string) bool { _, ok := m.fields[key]; return ok }

func (m *message) unsigned(key string) uint64 {
	return parse(m, key, "a number from 0", func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) })
}

func (m *message) integer(key string) int { return parse(m, key, "a whole number", strconv.Atoi) }

func (m *message) whole(key string, least, most int) int {
	n := m.integer(key)
	if m.err == nil && (n < least || n > most) {
		m.fail("%s: %d is not within %d to %d", key, n, least, most)
	}
	return n
}

func (m *message) wholeOr(key string, other int) int {
	if !m.has(key) {
		return other
	}
	return m.whole(key, 0, math.MaxInt32)
}

func (m *message) number(key string) float64 { return parse(m, key, "a number", parseNumber) }

func (m *message) numberOr(key string, other float64) float64 {
	if !m.has(key) {
		return other
	}
	return m.number(key)
}

func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = strconv.ErrRange
	}
	return v, err
}

func (m *message) time(key string) time.Duration {
	return parse(m, key, "a time", func(s string) (time.Duration, error) {
		v, err := strconv.ParseInt(s, 10, 64)
		if err == nil && (v < 0 || v > math.MaxInt64/1000) {
			err = strconv.ErrRange
		}
		return time.Duration(v) * time.Microsecond, err
	})
}

func (m *message) timeOr(key string, other time.Duration) time.Duration {
	if !m.has(key) {
		return other
	}
	return m.time(key)
}

func oneOf[T any](m *message, key string, words map[string]T) T {
	return parse(m, key, "known", func(s string) (T, error) {
		v, ok := words[s]
		if !ok {
			return v, errors.New("unknown")
		}
		return v, nil
	})
}

// report reads the load report of a message, nil where there is none. Values not recognised are skipped.
func (m *message) report(key string) *balance.LoadReport {
	text := m.textOr(key, "")
	if text == "" {
		return nil
	}
	rep := &balance.LoadReport{Queue: -1, InFlight: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, ":")
		v, err := parseNumber(value)
		if !ok || err != nil {
			m.fail("%s: %q is not name:number", key, pair)
			return nil
		}
		settings.SetLoadValue(rep, name, v)
	}
	return rep
}
