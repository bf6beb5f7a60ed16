// Package leaf speaks with leaf servers in frames. Pool lives on the mixer's loop and owns every state;
// sockets only post to it.
package leaf

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/wire"
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

// maxFrame is the longest frame taken from a leaf server. Guards memory against a length gone wrong.
const maxFrame = 1 << 20

// Frame is a letter and the rest.
type Frame struct {
	Letter byte
	Rest   []byte
}

// Append prints a frame.
func Append(b []byte, letter byte, rest []byte) []byte {
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

// Next returns the next whole frame; ok is false if more bytes are needed. After an error it fails for good.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if p.err != nil || len(p.buf) < 4 {
		return f, false, p.err
	}
	n := binary.BigEndian.Uint32(p.buf)
	if n < 1 || n > maxFrame {
		p.err, p.buf = fmt.Errorf("frame of %d bytes", n), nil
		return f, false, p.err
	}
	if uint32(len(p.buf)-4) < n {
		return f, false, nil
	}
	f = Frame{p.buf[4], append([]byte(nil), p.buf[5:4+n]...)}
	if p.buf = p.buf[4+n:]; len(p.buf) == 0 {
		p.buf = nil
	}
	return f, true, nil
}

// callFrame prints the parts of one call.
func callFrame(now time.Time, calls []mixer.Call) []byte {
	var rest []byte
	for _, c := range calls {
		wait := max(1, c.Until.Sub(now).Milliseconds())
		list := fmt.Sprintf("d=%d", wait)
		if c.Second {
			from := make([]string, len(c.From))
			for i, s := range c.From {
				from[i] = strconv.Itoa(s)
			}
			whole := 0
			if c.Whole {
				whole = 1
			}
			list += fmt.Sprintf(",from=%s,whole=%d", strings.Join(from, "+"), whole)
		}
		rest = fmt.Appendf(rest, "%s %d %s %d\n", c.Name, c.Shard, list, len(c.Text))
		rest = append(rest, c.Text...)
	}
	return Append(nil, letterCall, rest)
}

// answer is what a frame 5 says.
type answer struct {
	name   string
	end    byte
	score  float64
	report *balance.Report
	value  string
}

func parseAnswer(rest []byte) (a answer, err error) {
	line, value, ok := strings.Cut(string(rest), "\n")
	f := strings.Split(line, " ")
	if !ok || len(f) != 4 || len(f[1]) != 1 || !strings.Contains("SEB", f[1]) {
		return a, fmt.Errorf("answer %q", line[:min(len(line), 80)])
	}
	a = answer{name: f[0], end: f[1][0], value: value}
	if a.score, err = strconv.ParseFloat(f[2], 64); err != nil {
		if a.end == 'S' {
			return a, fmt.Errorf("score %q", f[2])
		}
		err = nil
	}
	a.report = parseReport(f[3])
	return a, err
}

// parseReport reads a load report; nil where there is none. Values not known are skipped.
func parseReport(text string) *balance.Report {
	if text == "-" || text == "" || text == "E" {
		return nil
	}
	r := &balance.Report{Queue: -1, InFlight: -1, Util: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || v > 1e9 {
			continue
		}
		// Guards against reports that are read and say nothing: leaf servers use the settings' names.
		wire.Load(r, name, v)
	}
	return r
}
