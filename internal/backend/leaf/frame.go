// Package leaf speaks with leaf servers in frames. Pool lives on the mixer's loop and owns every state;
// sockets only post to it.
package leaf

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/settings"
)

// The letters of frames.
const (
	letterCall   = '1'
	letterGiveUp = '2'
	letterProbe  = '3'
	letterLoad   = '4'
	letterAnswer = '5'
	letterBad    = 'X'
)

const (
	// maxFrame is the longest frame taken from a leaf server: a line and a value are far shorter. Guards memory,
	// and the other parts on the connection, against a length gone wrong: what it promises never comes.
	maxFrame = 4 << 10
	maxLine  = 1 << 10 // of an answer
	valueLen = 16      // of a part's value: hexadecimal digits
)

// Frame is a letter and the rest.
type Frame struct {
	Type    byte
	Payload []byte
}

// AppendFrame prints a frame.
func AppendFrame(b []byte, letter byte, rest []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(rest)+1))
	return append(append(b, letter), rest...)
}

// Parser reads frames out of a stream of bytes, however it is cut up.
type Parser struct {
	buf []byte
	err error
}

// Feed adds bytes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Partial says whether a frame has begun and is not whole.
func (p *Parser) Partial() bool { return len(p.buf) > 0 }

// Next returns the next whole frame; ok is false if more bytes are needed. After an error it fails for good.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if p.err == nil {
		p.err = check(p.buf)
	}
	if p.err != nil {
		p.buf = nil
		return f, false, p.err
	}
	if len(p.buf) < 4 {
		return f, false, nil
	}
	n := binary.BigEndian.Uint32(p.buf)
	if uint32(len(p.buf)-4) < n {
		return f, false, nil
	}
	f = Frame{p.buf[4], append([]byte(nil), p.buf[5:4+n]...)}
	if p.buf = p.buf[4+n:]; len(p.buf) == 0 {
		p.buf = nil
	}
	return f, true, nil
}

// check says what is wrong with the beginning of a frame, as early as its bytes show it. Guards against
// spoilt answers: whoever waits for the rest of one holds up whatever else is out on the connection.
func check(b []byte) error {
	for i, most := range []byte{0, 0, maxFrame >> 8} {
		if i < len(b) && b[i] > most {
			return fmt.Errorf("a frame's length begins with % x", b[:i+1])
		}
	}
	if len(b) < 4 {
		return nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n < 1 || n > maxFrame {
		return fmt.Errorf("frame of %d bytes", n)
	}
	if b = b[4:min(len(b), 4+n)]; len(b) == 0 {
		return nil
	}
	switch b[0] {
	case letterProbe, letterLoad, letterBad:
		return nil
	case letterAnswer:
	default:
		return fmt.Errorf("frame %q", b[0])
	}
	end := bytes.IndexByte(b, '\n')
	switch {
	case end < 0 && (len(b) == n || len(b) > maxLine), end > maxLine:
		return fmt.Errorf("an answer's line does not end: %.80q", b)
	case end < 0:
		return nil
	}
	a, err := parseLine(string(b[1:end]))
	if size := n - end - 1; err == nil && a.end == 'S' && size != valueLen {
		err = fmt.Errorf("a value of %d bytes", size)
	}
	return err
}

// callFrame prints the parts of one call.
func callFrame(now time.Time, calls []aggregator.Call) []byte {
	var rest []byte
	for _, c := range calls {
		wait := max(1, c.Deadline.Sub(now).Milliseconds())
		list := fmt.Sprintf("d=%d", wait)
		if c.FollowUp {
			from := make([]string, len(c.FirstStepShards))
			for i, s := range c.FirstStepShards {
				from[i] = strconv.Itoa(s)
			}
			whole := 0
			if c.FirstStepComplete {
				whole = 1
			}
			list += fmt.Sprintf(",from=%s,whole=%d", strings.Join(from, "+"), whole)
		}
		rest = fmt.Appendf(rest, "%s %d %s %d\n", c.Name, c.Shard, list, len(c.Payload))
		rest = append(rest, c.Payload...)
	}
	return AppendFrame(nil, letterCall, rest)
}

// answer is what a frame 5 says.
type answer struct {
	name   string
	end    byte
	score  float64
	report *balance.LoadReport
	value  string
}

func parseAnswer(rest []byte) (answer, error) {
	line, value, ok := strings.Cut(string(rest), "\n")
	if !ok {
		return answer{}, fmt.Errorf("answer %.80q", line)
	}
	a, err := parseLine(line)
	if a.value = value; err == nil && a.end == 'S' && !hexadecimal(value) {
		err = fmt.Errorf("value %.80q", value)
	}
	return a, err
}

// parseLine reads an answer's first line. What its report says does not matter: an answer whose report cannot
// be read, or is missing, is good.
func parseLine(line string) (a answer, err error) {
	f := strings.SplitN(line, " ", 4)
	if len(f) < 3 || f[0] == "" || len(f[1]) != 1 || !strings.Contains("SEB", f[1]) {
		return a, fmt.Errorf("answer %.80q", line)
	}
	a = answer{name: f[0], end: f[1][0]}
	a.score, err = strconv.ParseFloat(f[2], 64)
	if a.end == 'S' && (err != nil || math.IsNaN(a.score) || math.IsInf(a.score, 0)) {
		return a, fmt.Errorf("score %.80q", f[2])
	}
	if len(f) == 4 {
		a.report = parseReport(f[3])
	}
	return a, nil
}

// hexadecimal says whether a value has a value's form. Guards against serving what no leaf server made: a length
// gone wrong cuts a value short, or adds to it.
func hexadecimal(value string) bool {
	for i := range len(value) {
		if c := value[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(value) == valueLen
}

// mostLoad is the highest value that a report can state in earnest.
const mostLoad = 1e5

// parseReport reads a load report; nil where there is none that can be read. Values not known are skipped.
func parseReport(text string) *balance.LoadReport {
	if text == "-" || text == "" || text == "E" {
		return nil
	}
	r := &balance.LoadReport{Queue: -1, InFlight: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || v > mostLoad {
			continue
		}
		// Guards against reports that are read and say nothing: leaf servers use the settings' names.
		settings.SetLoadValue(r, name, v)
	}
	// Guards against a report that cannot be read being taken for an empty queue.
	if r.Queue < 0 && r.InFlight < 0 && r.Utilization < 0 {
		return nil
	}
	return r
}
