package tcp

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// recordingHandler is a handler that keeps what came and closes over at the end.
type recordingHandler struct {
	text []byte
	over chan struct{}
}

func (h *recordingHandler) Data(b []byte)    { h.text = append(h.text, b...) }
func (h *recordingHandler) Closed(err error) { close(h.over) }

// A peer that speaks first and closes at once is heard, however late this side looks. Guards checks of agents against
// netpoll's dialing, to which a connection that is closed already when its poller looks never came up.
func TestConnectHearsAPeerThatSpeaksAndCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, "up drain\n")
			c.Close()
		}
	}()
	var all sync.WaitGroup
	for range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for range 100 {
				h := &recordingHandler{over: make(chan struct{})}
				link, err := DialServerFirst(ln.Addr().String(), time.Minute, func(*Conn) Handler { return h })
				if err != nil {
					t.Error(err)
					return
				}
				<-h.over
				if string(h.text) != "up drain\n" || link.Peer() != ln.Addr().String() {
					t.Errorf("%q from %s", h.text, link.Peer())
					return
				}
			}
		}()
	}
	all.Wait()
}

// A connection that nobody takes is an error, and so is an address of no meaning.
func TestConnectSaysWhatItCannotReach(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	for _, a := range []string{addr, "127.0.0.1:none"} {
		if l, err := DialServerFirst(a, time.Minute, func(*Conn) Handler { return &recordingHandler{over: make(chan struct{})} }); err == nil {
			t.Errorf("%s: %v", a, l.Peer())
		}
	}
}
