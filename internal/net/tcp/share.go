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
	// acceptDrainTimeout bounds how long StopAccepting waits for connections that are set up and not accepted yet.
	acceptDrainTimeout = 200 * time.Millisecond
	// acceptDrainInterval is the time between two looks at whether there are any.
	acceptDrainInterval = 200 * time.Microsecond
)

// ReusePort has a socket share its port with those of other processes that do so (SO_REUSEPORT). It is for
// net.ListenConfig.Control. Where the system refuses, the socket does not share, and the listening shows whether it can.
func ReusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}

// StopAccepting stops listening and leaves the connections as they are. What the system has set up by then is accepted
// first: it would be reset. New connections go to whoever else listens on the address.
func (s *Server) StopAccepting() {
	fd := s.listener.Fd()
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for started := time.Now(); time.Since(started) < acceptDrainTimeout; time.Sleep(acceptDrainInterval) {
		polled[0].Revents = 0
		if ready, err := unix.Poll(polled, 0); ready == 0 && err == nil {
			break
		}
	}
	// The number stays taken, by a file on which nothing happens: netpoll goes on using it until the process ends.
	null, err := os.Open(os.DevNull)
	if err != nil {
		return // it goes on listening, as far as the limiter admits
	}
	defer func() { _ = null.Close() }()
	_ = unix.Dup3(int(null.Fd()), fd, unix.O_CLOEXEC)
}

// socketTables are the system's tables of TCP sockets.
var socketTables = []string{"/proc/net/tcp", "/proc/net/tcp6"}

// Listeners is how many sockets of this machine listen on addr, IP:port. Sockets that listen on all addresses do not count.
// It is 0 where that cannot be found out.
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

// Columns of the system's tables of sockets.
const (
	localAddressColumn = 1
	stateColumn        = 3
	stateListening     = "0A"
)

// countListeners counts the listening sockets of a table that have an address.
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

// tableAddress is an address as the tables state it: words of four bytes, each with its bytes in the machine's order, which
// is little-endian, and the port.
func tableAddress(addr netip.AddrPort) string {
	bytes := addr.Addr().Unmap().AsSlice()
	for word := range slices.Chunk(bytes, 4) {
		slices.Reverse(word)
	}
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(bytes)), addr.Port())
}
