package app

import (
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rooktrestle/internal/control/health"
	"rooktrestle/internal/state/atomicfile"
)

var drained = []health.Exclusion{{Server: "a", Check: "agent", Admin: health.Drain, Reason: "festival"}}

// lockedBuffer is a buffer for the log of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startExclusionStore returns a store in a directory, and its log.
func startExclusionStore(dir string) (*exclusionStore, *lockedBuffer) {
	logged := &lockedBuffer{}
	return newExclusionStore(dir, "n/0", slog.New(slog.NewTextHandler(logged, nil))), logged
}

// closedChannel stops a store's run after it has stored what is left.
func closedChannel() chan struct{} {
	stop := make(chan struct{})
	close(stop)
	return stop
}

// What a process stores last is what the next one loads, and the end of a process loses nothing.
func TestExclusionStore_PassesToTheNextProcess(t *testing.T) {
	dir := t.TempDir()
	previous, _ := startExclusionStore(dir)
	if loaded := previous.load(); loaded != nil {
		t.Errorf("an empty directory has %+v", loaded)
	}
	previous.save(nil)
	previous.save(drained)
	previous.run(closedChannel())
	next, logged := startExclusionStore(dir)
	if loaded := next.load(); !slices.Equal(loaded, drained) || logged.String() != "" {
		t.Errorf("%+v, %s", loaded, logged)
	}
	next.save(nil)
	next.run(closedChannel())
	if loaded := next.load(); len(loaded) != 0 {
		t.Errorf("%+v after the drain has ended", loaded)
	}
}

// Exclusions that cannot be written are written as soon as they can be, without a further change, and both are logged
// once.
func TestExclusionStore_RetriesAfterAFailure(t *testing.T) {
	dir := t.TempDir()
	for operation, fault := range map[string]error{"create": syscall.ENOSPC, "sync": syscall.EIO, "rename": syscall.EIO} {
		store, logged := startExclusionStore(dir)
		path := filepath.Join(dir, "rooktrestle-n_0-checks")
		faulty := &faultyFS{failing: map[string]error{operation: fault}}
		store.file = atomicfile.New(faulty, path)
		store.save(drained)
		store.run(closedChannel())
		if !strings.Contains(logged.String(), "may be lost") {
			t.Errorf("%s: %s", operation, logged)
		}
		delete(faulty.failing, operation)
		store.finish(drained, true)
		if loaded := store.load(); !slices.Equal(loaded, drained) || strings.Count(logged.String(), "\n") != 2 {
			t.Errorf("%s: %+v, %s", operation, loaded, logged)
		}
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
}

// A lock that another process holds delays the write until it is released.
func TestExclusionStore_WaitsForTheOtherProcess(t *testing.T) {
	dir := t.TempDir()
	store, logged := startExclusionStore(dir)
	release, err := lockFile(store.lockPath)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		store.run(stop)
	}()
	store.save(drained)
	for !strings.Contains(logged.String(), "may be lost") {
		runtime.Gosched()
	}
	release()
	for !strings.Contains(logged.String(), "written down again") {
		runtime.Gosched()
	}
	close(stop)
	<-ended
	if loaded := store.load(); !slices.Equal(loaded, drained) {
		t.Errorf("%+v", loaded)
	}
}

// A corrupt file counts as none and is replaced; one of a newer version is left as it is.
func TestExclusionStore_UnusableFile(t *testing.T) {
	newer := []byte(`{"version":2}`)
	for _, test := range []struct {
		name    string
		damage  func(path string) error
		replace bool
	}{
		{"corrupt", func(path string) error { return os.Truncate(path, 40) }, true},
		{"newer version", func(path string) error { return atomicfile.New(atomicfile.OS{}, path).Store(newer) }, false},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "rooktrestle-n_0-checks")
		store, _ := startExclusionStore(dir)
		store.save(drained)
		store.run(closedChannel())
		if err := test.damage(path); err != nil {
			t.Fatal(err)
		}
		next, logged := startExclusionStore(dir)
		if loaded := next.load(); loaded != nil || !strings.Contains(logged.String(), "are unknown") {
			t.Errorf("%s: %+v, %s", test.name, loaded, logged)
		}
		next.save(drained)
		next.run(closedChannel())
		last, _ := startExclusionStore(dir)
		if replaced := slices.Equal(last.load(), drained); replaced != test.replace {
			t.Errorf("%s: replaced %v", test.name, replaced)
		}
	}
}
