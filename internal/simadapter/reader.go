package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"rooktrestle/balance"
)

// readBuffer is the size of the input buffer in bytes. The settings are one long line.
const readBuffer = 1 << 20

// maxListNumber is the highest number of an endpoint list.
const maxListNumber = 15

// Reader reads frames. It retains the endpoint lists that the input defines by number across frames. It is not safe for
// concurrent use.
type Reader struct {
	input *bufio.Reader
	line  int // number of the last line read
	lists map[int][]balance.Endpoint
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, readBuffer), lists: map[int][]balance.Endpoint{}}
}

// Frame reads the next frame. It returns io.EOF if the input ends between frames; other errors state the line. The
// Reader cannot be used after an error.
func (r *Reader) Frame() (*Frame, error) {
	m, err := r.next()
	if err != nil {
		return nil, err
	}
	if m.name != "FRAME" {
		return nil, r.wrap(fmt.Errorf("%s outside a frame", m.name))
	}
	frame := &Frame{Now: m.time("sim_time")}
	if m.err != nil {
		return nil, r.wrap(m.err)
	}
	instance := ""
	for {
		m, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: the input ends inside a frame", r.line)
		}
		if err != nil {
			return nil, err
		}
		switch m.name {
		case "FLUSH":
			return frame, nil
		case "TARGET_INSTANCE":
			instance = m.instance()
		case "DEFINE_LIST":
			err = r.defineList(m)
		default:
			err = r.appendEvent(frame, instance, m)
		}
		if err = errors.Join(m.err, err); err != nil {
			return nil, r.wrap(err)
		}
	}
}

// next parses the next line that is not empty. It returns io.EOF at the end of the input.
func (r *Reader) next() (*message, error) {
	for {
		text, err := r.input.ReadString('\n')
		if err != nil && (!errors.Is(err, io.EOF) || text == "") {
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

// wrap adds the line number to an error.
func (r *Reader) wrap(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// instance parses a TARGET_INSTANCE, which names the instance of the events that follow.
func (m *message) instance() string {
	name := m.text("gatherer")
	if m.err == nil && name == "" {
		m.fail("gatherer: empty")
	}
	return name
}

// defineList reads the entries of a DEFINE_LIST.
func (r *Reader) defineList(message *message) error {
	number := message.integerUpTo("list", maxListNumber)
	count := message.integerUpTo("members", math.MaxInt32)
	if message.err != nil {
		return nil // the caller reports message.err
	}
	var list []balance.Endpoint
	for range count {
		entry, err := r.next()
		if errors.Is(err, io.EOF) {
			return errors.New("the input ends inside a list")
		}
		if err != nil {
			return err
		}
		if entry.name != "SERVER" {
			return fmt.Errorf("%s inside a list of %d entries", entry.name, count)
		}
		list = append(list, entry.endpoint())
		if entry.err != nil {
			return entry.err
		}
	}
	r.lists[number] = list
	return nil
}

// appendEvent decodes a message that is an event for an instance, and appends it to a frame.
func (r *Reader) appendEvent(frame *Frame, instance string, message *message) error {
	decode, ok := decoders[message.name]
	if !ok {
		return fmt.Errorf("unknown message %q", message.name)
	}
	input, err := decode(r, message)
	if err != nil {
		return err
	}
	if instance == "" {
		return fmt.Errorf("%s before any TARGET_INSTANCE", message.name)
	}
	if input != nil {
		frame.Events = append(frame.Events, Event{Instance: instance, Input: input})
	}
	return nil
}
