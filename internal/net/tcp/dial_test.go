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

// Data of a peer that sends first and closes immediately is read, however much later this side reads. Guards health
// checks by agents against taking a connection that is closed before it is read for one that was never established.
func TestDial_PeerSendsAndCloses(t *testing.T) {
	addr := listenAndServe(t, func(conn *net.TCPConn) {
		if _, err := io.WriteString(conn, "up drain\n"); err != nil {
			t.Errorf("send first: %v", err)
		}
		_ = conn.Close() // right after sending
	})
	var dialers sync.WaitGroup
	for range 8 {
		dialers.Go(func() {
			for range 100 {
				h := newRecordingHandler()
				c, err := Dial(addr, time.Minute, func(*Conn) Handler { return h })
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

// Dialing fails if no socket listens on the address, and if the address is invalid.
func TestDial_UnreachableAddress(t *testing.T) {
	// Port 1 is never assigned as an ephemeral port; one that a listener has just freed may be in use by another
	// process.
	for name, addr := range map[string]string{"nobody listens": "127.0.0.1:1", "not a port": "127.0.0.1:none"} {
		t.Run(name, func(t *testing.T) {
			newHandler := func(*Conn) Handler { return newRecordingHandler() }
			if c, err := Dial(addr, time.Minute, newHandler); err == nil {
				t.Errorf("%s: connected to %v", addr, c.Peer())
			}
		})
	}
}

// Failed connection attempts leak no descriptor: here those to a listener whose accept queue is full. How many
// connections are established before the queue is full, and whether one is established later, depends on the kernel;
// each of them uses one descriptor until the test ends.
func TestDial_NeverComesUp_LeaksNoDescriptor(t *testing.T) {
	const maxConnected = 20
	addr := listenWithFullQueue(t)
	connected := 0
	dialUntilFailed := func() {
		t.Helper()
		for {
			c, err := Dial(addr, 50*time.Millisecond, func(*Conn) Handler { return newRecordingHandler() })
			if err != nil {
				return
			}
			t.Cleanup(c.CloseAndWait)
			connected++
			if connected > maxConnected {
				t.Fatalf("%d connections were established: the accept queue does not fill up", connected)
			}
		}
	}
	dialUntilFailed()
	before := openDescriptors(t) - connected
	for range 10 {
		dialUntilFailed()
	}
	if after := openDescriptors(t) - connected; after > before {
		t.Errorf("%d descriptors beside those of established connections, %d before", after, before)
	}
}

// listenWithFullQueue opens a socket that listens with the shortest accept queue and never accepts. It returns its
// address.
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
