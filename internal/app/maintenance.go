package app

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"rooktrestle/internal/control/maintenance"
	"rooktrestle/internal/state/atomicfile"
)

// maintenanceSyncInterval is the interval at which the shared file is read for changes by the other process during a
// replacement. Together with the turn that applies a change it is well below 250 ms, the longest time for which a
// detached server may still receive parts.
const maintenanceSyncInterval = 50 * time.Millisecond

// maintenanceStore stores which servers operators have detached: in memory, and in a file that the processes of one
// instance share while one replaces another. A call takes effect even if the file cannot be written; writing is retried
// until it succeeds.
type maintenanceStore struct {
	file     *atomicfile.ValueFile // nil: no state directory is configured
	lockPath string
	apply    func(server string, detached bool) // called with the lock held; it must not block
	log      func(format string, args ...any)

	mu      sync.Mutex
	table   maintenance.Table
	unsaved bool // the file lacks entries of the table
	failure failureLog
}

// newMaintenanceStore loads the state that a previous process has written to a directory; an empty dir disables the
// file. It calls apply for each detached server, and later for each change.
func newMaintenanceStore(
	dir, nodeName string, apply func(string, bool), log func(string, ...any),
) *maintenanceStore {
	m := &maintenanceStore{apply: apply, log: log}
	m.failure = failureLog{
		failed:    func(err error) { log("maintenance: what operators have said may be lost with this process: %v", err) },
		recovered: func() { log("maintenance: what operators have said is written down again") },
	}
	if dir == "" {
		return m
	}
	path := filepath.Join(dir, "rooktrestle-"+fileNamePart(nodeName)+"-maintenance")
	m.file = atomicfile.New(atomicfile.OS{}, path)
	m.lockPath = path + ".lock"
	m.sync()
	return m
}

// fileNamePart replaces the characters of a name that are not safe in a file name.
func fileNamePart(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '-' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

// set applies an operator's call. Once it returns without an error the call is in effect in this process, and is
// written to the file for its replacement, now or as soon as that is possible.
func (m *maintenanceStore) set(server string, detached bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncLocked() // the other process may have handled a call for the server since the last sync
	changed, err := m.table.Set(server, detached)
	if err != nil || !changed {
		return err
	}
	m.apply(server, detached)
	m.log("maintenance: %s detached=%v by an operator", server, detached)
	m.unsaved = true
	m.syncLocked()
	return nil
}

// run syncs with the other process until stop is closed.
func (m *maintenanceStore) run(stop <-chan struct{}) {
	if m.file == nil {
		return
	}
	ticker := time.NewTicker(maintenanceSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			m.sync()
		}
	}
}

// sync merges the file into the table, and writes the table if the file lacks entries of it.
func (m *maintenanceStore) sync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncLocked()
}

// syncLocked is sync for callers that hold m.mu.
func (m *maintenanceStore) syncLocked() {
	if m.file == nil {
		return
	}
	if !m.unsaved {
		m.failure.log(m.read())
		return
	}
	release, err := lockFile(m.lockPath)
	if err != nil {
		m.failure.log(err)
		return
	}
	defer release()
	// A corrupt file is overwritten, as each process has the complete table in memory. A file of a newer program
	// version is not.
	if err := m.read(); errors.Is(err, maintenance.ErrUnsupported) {
		m.failure.log(err)
		return
	}
	m.failure.log(m.write())
}

// read merges the file into the table, and sets m.unsaved if the file lacks entries.
func (m *maintenanceStore) read() error {
	text, err := m.file.Load()
	if errors.Is(err, atomicfile.ErrNotExist) || errors.Is(err, atomicfile.ErrCorrupt) {
		m.unsaved = len(m.table.Entries()) > 0
	}
	if errors.Is(err, atomicfile.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	entries, err := maintenance.Decode(text)
	if err != nil {
		return err
	}
	for _, changed := range m.table.Merge(entries) {
		m.apply(changed.Server, changed.Detached)
		m.log("maintenance: %s detached=%v by another process", changed.Server, changed.Detached)
	}
	m.unsaved = !slices.Equal(m.table.Entries(), entries)
	return nil
}

// write replaces the file's content with the table.
func (m *maintenanceStore) write() error {
	text, err := maintenance.Encode(m.table.Entries())
	if err == nil {
		err = m.file.Store(text)
	}
	m.unsaved = err != nil
	return err
}

// lockFile acquires an exclusive lock on a file. It does not block: the process that holds the lock may be stopped.
func lockFile(path string) (release func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // nothing was written
		return nil, err
	}
	return func() { _ = file.Close() }, nil // closing releases the lock
}
