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

// maintenanceSyncInterval is the time between two looks at what the other process of a replacement has written. With the
// turn that applies it, well under the 250 ms in which work may still go to a server that was taken out.
const maintenanceSyncInterval = 50 * time.Millisecond

// maintenanceStore keeps the operators' word on servers: in memory, and in a file that the processes that replace each
// other share. What cannot be written holds all the same, and is written again until it can.
type maintenanceStore struct {
	file     *atomicfile.ValueFile // nil: there is no folder to share
	lockPath string
	apply    func(server string, detached bool) // called with the lock held; it must not block
	log      func(format string, args ...any)

	mu        sync.Mutex
	table     maintenance.Table
	unwritten bool   // the file does not hold the table
	failure   string // of the last look or write, once logged
}

// newMaintenanceStore reads what an earlier process has left in a folder; empty: there is none. apply is told of each server
// that is out of service, and of each change.
func newMaintenanceStore(
	folder, nodeName string, apply func(string, bool), log func(string, ...any),
) *maintenanceStore {
	m := &maintenanceStore{apply: apply, log: log}
	if folder == "" {
		return m
	}
	path := filepath.Join(folder, "rooktrestle-"+fileNamePart(nodeName)+"-maintenance")
	m.file = atomicfile.New(atomicfile.OS{}, path)
	m.lockPath = path + ".lock"
	m.sync()
	return m
}

// fileNamePart is a name as a part of a file's name.
func fileNamePart(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '-' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

// set takes an operator's call. Once it returns without an error the call holds, for this process and for the one that
// replaces it.
func (m *maintenanceStore) set(server string, detached bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exchange() // the other process may have had a call on the server since
	changed, err := m.table.Set(server, detached)
	if err != nil || !changed {
		return err
	}
	m.apply(server, detached)
	m.log("maintenance: %s detached=%v by an operator", server, detached)
	m.unwritten = true
	m.exchange()
	return nil
}

// run looks for changes of the other process until stop is closed.
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

// sync takes in what the file holds, and writes what it does not hold.
func (m *maintenanceStore) sync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exchange()
}

// exchange is sync, called with the lock held.
func (m *maintenanceStore) exchange() {
	if m.file == nil {
		return
	}
	if !m.unwritten {
		m.report(m.read())
		return
	}
	release, err := lockFile(m.lockPath)
	if err != nil {
		m.report(err)
		return
	}
	defer release()
	// What is corrupt is written over: each process holds the whole table. What a newer program has written is not.
	if err := m.read(); errors.Is(err, maintenance.ErrUnsupported) {
		m.report(err)
		return
	}
	m.report(m.write())
}

// read merges the file into the table, and notes whether the file holds all of it.
func (m *maintenanceStore) read() error {
	text, err := m.file.Load()
	if errors.Is(err, atomicfile.ErrNotExist) || errors.Is(err, atomicfile.ErrCorrupt) {
		m.unwritten = len(m.table.Entries()) > 0
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
	m.unwritten = !slices.Equal(m.table.Entries(), entries)
	return nil
}

// write replaces the file by the table.
func (m *maintenanceStore) write() error {
	text, err := maintenance.Encode(m.table.Entries())
	if err == nil {
		err = m.file.Store(text)
	}
	m.unwritten = err != nil
	return err
}

// report logs a failure once, until another one comes or it is over.
func (m *maintenanceStore) report(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == m.failure {
		return
	}
	m.failure = text
	if err != nil {
		m.log("maintenance: what operators have said may be lost with this process: %v", err)
	} else {
		m.log("maintenance: what operators have said is written down again")
	}
}

// lockFile locks a file against the other process. It does not wait: that process may be stopped.
func lockFile(path string) (release func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // nothing was written
		return nil, err
	}
	return func() { _ = file.Close() }, nil // which unlocks it
}
