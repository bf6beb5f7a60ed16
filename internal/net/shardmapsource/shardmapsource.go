// Package mapsource watches where maps of blocks come from: a file, or an HTTP source with long poll. It tells what it
// reads, good or bad; whether a map may follow the present one is decided elsewhere. It never blocks who is told.
package shardmapsource

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

// Update is what a source has to say: the text of a map, that there is nothing newer, or an error.
type Update struct {
	Source string
	Text   []byte // nil: nothing newer than was asked for
	Err    error
}

// maxMap is the longest text taken from an HTTP source, in bytes.
const maxMap = 64 << 20

// File watches a file by its size, its time and what stands behind its name.
type File struct {
	Path     string
	Interval time.Duration
	Put      func(Update)
	Wake     <-chan struct{} // read now, whatever the file looks like
}

// Run reads until stop is closed. The first reading is told in any case.
func (f *File) Run(stop <-chan struct{}) {
	var last os.FileInfo
	failed := false
	tick := time.NewTicker(f.Interval)
	defer tick.Stop()
	for wanted := true; ; {
		now, err := os.Stat(f.Path)
		same := err == nil && last != nil && now.Size() == last.Size() && now.ModTime().Equal(last.ModTime()) && os.SameFile(now, last)
		switch {
		case err != nil:
			if wanted || !failed {
				f.Put(Update{Source: f.Path, Err: err})
			}
			failed = true
		case wanted || !same || failed:
			text, err := os.ReadFile(f.Path)
			f.Put(Update{Source: f.Path, Text: text, Err: err})
			last, failed = now, err != nil
		}
		wanted = false
		select {
		case <-stop:
			return
		case <-tick.C:
		case <-f.Wake:
			wanted = true
		}
	}
}

// HTTP asks a source by long poll: GET /v1/blocks?after=EPOCH&wait=10s answers 200 with a map newer than EPOCH as soon
// as there is one, or 304 when the wait is over.
type HTTP struct {
	Addr         string
	Wait         time.Duration
	MinInterval  time.Duration // between two questions, and after the first failure; doubles up to Most
	MaxInterval  time.Duration
	Put          func(Update)
	CurrentEpoch func() uint64   // the epoch that is had; called off the loop
	Wake         <-chan struct{} // ask now, without waiting
	Dial         func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error)
}

// Run asks until stop is closed.
func (h *HTTP) Run(stop <-chan struct{}) {
	pause, wait := h.MinInterval, time.Duration(0) // the first question is answered at once
	for {
		asked := h.CurrentEpoch()
		told, woken := h.ask(stop, asked, wait)
		if told != nil {
			h.Put(*told)
		}
		switch {
		case woken:
			wait = 0
			pause = h.MinInterval
			continue
		case told == nil: // stopped
			return
		case told.Err != nil:
			pause = min(2*pause, h.MaxInterval)
		default:
			pause, wait = h.MinInterval, h.Wait
		}
		// By chance, or all mixers would come back to a source together.
		rest := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-stop:
			rest.Stop()
			return
		case <-h.Wake:
			wait = 0
		case <-rest.C:
		}
		rest.Stop()
	}
}

// answer reads one HTTP answer.
type answer struct {
	parser http1.Parser
	got    chan *http1.Message
	err    chan error
	over   bool
}

// Data takes bytes.
func (a *answer) Data(b []byte) {
	if a.over {
		return
	}
	a.parser.Feed(b)
	m, err := a.parser.Next()
	if err != nil {
		a.over = true
		a.err <- err
	} else if m != nil {
		a.over = true
		a.got <- m
	}
}

// Closed takes the end.
func (a *answer) Closed(err error) {
	if a.over {
		return
	}
	a.over = true
	if m := a.parser.End(); m != nil {
		a.got <- m
		return
	}
	if err == nil {
		err = errors.New("closed without an answer")
	}
	a.err <- err
}

// ask asks once. woken: somebody wants to know at once.
func (h *HTTP) ask(stop <-chan struct{}, after uint64, wait time.Duration) (told *Update, woken bool) {
	fail := func(err error) *Update { return &Update{Source: h.Addr, Err: err} }
	a := &answer{parser: http1.Parser{Responses: true, MaxBody: maxMap}, got: make(chan *http1.Message, 1), err: make(chan error, 1)}
	link, err := h.Dial(h.Addr, time.Second, func(*tcp.Conn) tcp.Handler { return a })
	if err != nil {
		return fail(err), false
	}
	defer link.Close(nil)
	link.Write(http1.Request("GET", "/v1/blocks?after="+strconv.FormatUint(after, 10)+"&wait="+wait.String(), h.Addr, nil, "Connection", "close"), nil)
	most := time.NewTimer(wait + 10*time.Second)
	defer most.Stop()
	wake := h.Wake
	if wait == 0 {
		wake = nil // it is being asked right now
	}
	select {
	case <-stop:
		return nil, false
	case <-wake:
		return nil, true
	case <-most.C:
		return fail(errors.New("no answer in time")), false
	case err := <-a.err:
		return fail(err), false
	case m := <-a.got:
		switch m.Status {
		case 200:
			return &Update{Source: h.Addr, Text: m.Body}, false
		case 304:
			return &Update{Source: h.Addr}, false
		}
		return fail(fmt.Errorf("status %d", m.Status)), false
	}
}
