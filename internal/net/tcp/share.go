package tcp

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptDrainTimeout bounds how long StopAccepting waits until the accept queue is empty.
	acceptDrainTimeout = 200 * time.Millisecond
	// acceptDrainInterval is the time between two checks of the accept queue.
	acceptDrainInterval = 200 * time.Microsecond
)

// ReusePort sets SO_REUSEPORT, by which sockets of several processes share a port. It is for net.ListenConfig.Control.
// It ignores an error of setting the option: the socket then does not share its port, and listening fails if the port
// is in use.
func ReusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}

// StopAccepting stops listening and leaves open connections as they are. Connections in the accept queue are accepted
// first, because the kernel would reset them. New connections go to the other processes that listen on the address.
func (s *Server) StopAccepting() {
	defer func() { _ = s.listener.Close() }() // ends acceptAll; Close may have closed it
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return // it is closed
	}
	null, err := os.Open(os.DevNull)
	if err != nil {
		return
	}
	defer func() { _ = null.Close() }()
	for started := time.Now(); time.Since(started) < acceptDrainTimeout; time.Sleep(acceptDrainInterval) {
		stopped := false
		_ = raw.Control(func(fd uintptr) { stopped = replaceIfEmpty(int(fd), int(null.Fd())) }) // fails if it is closed
		if stopped {
			return
		}
	}
}

// replaceIfEmpty replaces a listening socket by null, which ends the listening, if its accept queue is empty. It returns
// false if the queue is not. A close would take longer, as it waits for the goroutine that accepts, and the kernel would
// reset the connections that arrive in the meantime.
func replaceIfEmpty(listener, null int) bool {
	if readable(listener) {
		return false
	}
	_ = unix.Dup3(null, listener, unix.O_CLOEXEC) // if it fails, the close ends the listening
	return true
}

// socketTables are the kernel's tables of TCP sockets.
var socketTables = []string{"/proc/net/tcp", "/proc/net/tcp6"}

// Listeners returns the number of sockets on this machine that listen on addr, IP:port. Sockets that listen on all
// addresses do not count. It returns 0 if addr is invalid or the kernel's tables cannot be read.
func Listeners(addr string) (count int) {
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0
	}
	for _, path := range socketTables {
		table, err := os.Open(path)
		if err != nil {
			continue
		}
		count += countListeners(table, target)
		_ = table.Close() // it was only read
	}
	return count
}

// Columns of the kernel's socket tables, and the state of listening sockets.
const (
	localAddressColumn = 1
	stateColumn        = 3
	stateListening     = "0A"
)

// countListeners counts the sockets in a table that listen on target.
func countListeners(table io.Reader, target netip.AddrPort) (count int) {
	targetText := tableAddress(target)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) > stateColumn && columns[stateColumn] == stateListening &&
			columns[localAddressColumn] == targetText {
			count++
		}
	}
	return count
}

// tableAddress formats an address as the kernel's tables do: in words of four bytes, each in the machine's byte order,
// which is little-endian, and the port.
func tableAddress(addr netip.AddrPort) string {
	bytes := addr.Addr().Unmap().AsSlice()
	for word := range slices.Chunk(bytes, 4) {
		slices.Reverse(word)
	}
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(bytes)), addr.Port())
}
