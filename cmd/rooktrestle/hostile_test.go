package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// anonymousMemory matches the memory of a process that is not backed by files, in /proc/PID/status.
var anonymousMemory = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// memoryWatch records the highest memory use of a process, in kilobytes.
type memoryWatch struct {
	peak atomic.Int64
	stop chan struct{}
	done sync.WaitGroup
}

func watchMemory(pid int) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // fails once the process has ended
			if m := anonymousMemory.FindSubmatch(status); m != nil {
				used, _ := strconv.ParseInt(string(m[1]), 10, 64) // only digits, as the expression matched
				w.peak.Store(max(w.peak.Load(), used))
			}
			select {
			case <-w.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return w
}

func (w *memoryWatch) end() (peakKB int64) {
	close(w.stop)
	w.done.Wait()
	return w.peak.Load()
}

// startSmall starts the program, built without the race detector, which takes several times the memory, with the least
// memory and the descriptors that the platform's pages name.
func startSmall(t *testing.T, memoryMB int, leaves ...*leafServer) *program {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "rooktrestle")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	path, discovery := filepath.Join(dir, "config.json"), newDiscovery(t, leaves...)
	writeConfigWith(t, path, discovery, untimedSettings(1), singleInstance)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, strings.Replace(string(text), `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1))
	p := startCommand(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + discovery}, exec.Command(binary))
	p.awaitHealthy()
	return p
}

// hostileClient writes on one connection until it fails or the test is over, and reads whatever it is sent.
func (p *program) hostileClient(over <-chan struct{}, write func(io.Writer) error) {
	conn, err := net.Dial("tcp", p.listen["http"])
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}()
	_ = write(conn) // fails once the program has closed the connection
	select {
	case <-read:
	case <-over:
	}
}

// hostileHead is the head of a query with a body of this length.
func hostileHead(class string, length int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nX-Request-Id: h\r\nX-Class: %s\r\nX-Tenant: tv\r\nX-Deadline: 4\r\n"+
		"Content-Length: %d\r\n\r\n", class, class, length)
}

// Clients that stop half way through large requests, send heads of many short fields, send bodies that are too large, or
// send small requests without waiting, at full speed: the process keeps within the least memory that the platform's pages
// name, and others are served. Guards against memory that grows with what clients send: the platform killed the process
// within two seconds.
func TestPlatform_HostileClients_MemoryIsKept(t *testing.T) {
	const memoryMB = 32
	leaf := newLeaf(t, answerValue)
	p := startSmall(t, memoryMB, leaf)
	for _, hostile := range []struct {
		name    string
		clients int
		write   func(w io.Writer) error
	}{
		{"half of a large request", 600, func(w io.Writer) error {
			_, err := io.WriteString(w, hostileHead("search", 64000)+strings.Repeat("x", 63000))
			return err
		}},
		{"many short fields", 300, func(w io.Writer) error {
			_, err := io.WriteString(w, "POST /search HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 4000))
			return err
		}},
		{"bodies of 60 MB", 8, func(w io.Writer) error {
			_, err := io.WriteString(w, hostileHead("search", 60<<20)+strings.Repeat("x", 60<<20))
			return err
		}},
		{"small requests of new classes", 6, func(w io.Writer) error {
			for i := 0; ; i++ {
				batch := ""
				for j := range 100 {
					batch += hostileHead(fmt.Sprintf("new-%d-%d", i, j), 2) + "{}"
				}
				if _, err := io.WriteString(w, batch); err != nil {
					return err
				}
				if i == 300 { // some 4 MB
					return nil
				}
			}
		}},
	} {
		t.Run(hostile.name, func(t *testing.T) {
			memory, over := watchMemory(p.cmd.Process.Pid), make(chan struct{})
			var clients sync.WaitGroup
			for range hostile.clients {
				clients.Go(func() { p.hostileClient(over, hostile.write) })
			}
			for i := range 40 {
				if status, text := p.ask(fmt.Sprintf("%s-%d", hostile.name[:4], i), "search", onePart); status != 200 {
					t.Errorf("a usual client received %d %s", status, text)
				}
				time.Sleep(25 * time.Millisecond)
			}
			close(over)
			clients.Wait()
			if peak := memory.end(); peak > memoryMB<<10 {
				t.Errorf("%d KB of memory, the limit is %d MB", peak, memoryMB)
			}
		})
	}
	p.stop()
}

// Clients send many requests at once while the process is stopped, more than the kernel holds for it, and disconnect:
// the end of each connection stands behind what nobody has read. After the process continues, none of the requests is
// forwarded. Guards against forwarding requests of clients that have left.
func TestStoppedProcess_ForwardsNothingOfClientsThatSentMuchAndLeft(t *testing.T) {
	const clients, requests, filterBytes = 20, 300, 3000
	var forwarded atomic.Int64
	leaf := newLeaf(t, func(name string, c net.Conn) string {
		if strings.HasPrefix(name, "left") {
			forwarded.Add(1)
		}
		return answerValue(name, c)
	})
	p := startPlatform(t, leaf)
	if status, text := p.ask("first", "search", onePart); status != 200 { // establishes a connection to the leaf server
		t.Fatalf("%d %s", status, text)
	}
	p.signal(syscall.SIGSTOP)
	for i := range clients {
		conn, err := net.Dial("tcp", p.listen["http"])
		if err != nil {
			t.Fatal(err)
		}
		// The kernel takes all of it, so that the close is behind it.
		if err := conn.(*net.TCPConn).SetWriteBuffer(4 << 20); err != nil {
			t.Fatal(err)
		}
		body := fmt.Sprintf(`{"slices":[{"slice":1,"mass":1}],"filter":%q}`, strings.Repeat("f", filterBytes))
		var all strings.Builder
		for j := range requests {
			all.WriteString(rawQuery(testDeadline, fmt.Sprintf("left%d-%d", i, j), body))
		}
		if err := conn.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, all.String()) // as much as the kernel takes
		closeQuietly(conn)
	}
	p.signal(syscall.SIGCONT)
	p.stop()
	if n := forwarded.Load(); n > 0 {
		t.Errorf("%d requests were forwarded after their clients had disconnected", n)
	}
}
