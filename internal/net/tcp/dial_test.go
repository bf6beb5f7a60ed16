package tcp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A peer that sends first and closes at once is read, however late this side looks. Guards health checks of agents against
// netpoll's dialing, to which a connection that is closed already when its poller looks never came up.
func TestDialServerFirst_PeerSendsAndCloses(t *testing.T) {
	addr := listenAndServe(t, func(conn *net.TCPConn) {
		if _, err := io.WriteString(conn, "up drain\n"); err != nil {
			t.Errorf("send first: %v", err)
		}
		_ = conn.Close() // as soon as it has sent
	})
	var dialers sync.WaitGroup
	for range 8 {
		dialers.Go(func() {
			for range 100 {
				h := newRecordingHandler()
				c, err := DialServerFirst(addr, time.Minute, func(*Conn) Handler { return h })
				if err != nil {
					t.Error(err)
					return
				}
				<-h.closed
				if string(h.text) != "up drain\n" || c.Peer() != addr {
					t.Errorf("%q from %s", h.text, c.Peer())
					return
				}
			}
		})
	}
	dialers.Wait()
}

// A connection that nobody accepts is an error, and so is an address of no meaning.
func TestDialServerFirst_UnreachableAddress(t *testing.T) {
	// The system gives port 1 to nobody; one that a listener has just freed may be another process's by now.
	for name, addr := range map[string]string{"nobody listens": "127.0.0.1:1", "not a port": "127.0.0.1:none"} {
		t.Run(name, func(t *testing.T) {
			newHandler := func(*Conn) Handler { return newRecordingHandler() }
			if c, err := DialServerFirst(addr, time.Minute, newHandler); err == nil {
				t.Errorf("%s: connected to %v", addr, c.Peer())
			}
		})
	}
}

// Connections that never come up leak no descriptor: those to a listener whose queue is full, whose peers receive nothing.
// How many come up before that, and whether one does later, is up to the system: each has one descriptor until the end.
func TestDial_NeverComesUp_LeaksNoDescriptor(t *testing.T) {
	const maxComingUp = 20
	addr := listenWithFullQueue(t)
	cameUp := 0
	dialUntilFailed := func() {
		t.Helper()
		for {
			c, err := Dial(addr, 50*time.Millisecond, func(*Conn) Handler { return newRecordingHandler() })
			if err != nil {
				return
			}
			t.Cleanup(c.CloseAndWait)
			cameUp++
			if cameUp > maxComingUp {
				t.Fatal("the queue takes whatever comes")
			}
		}
	}
	dialUntilFailed()
	before := openDescriptors(t) - cameUp
	for range 10 {
		dialUntilFailed()
	}
	if after := openDescriptors(t) - cameUp; after > before {
		t.Errorf("%d descriptors beside those of connections that came up, %d before", after, before)
	}
}

// listenWithFullQueue listens, accepts nothing and has the shortest queue that there is. It returns the address.
func listenWithFullQueue(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) }) // nothing was accepted on it
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, loopback), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	addr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*syscall.SockaddrInet4).Port)
}

func openDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}
