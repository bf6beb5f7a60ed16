package app

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"rooktrestle/internal/state/atomicfile"
)

// faultyFS is the operating system's file system with injected failures of chosen operations.
type faultyFS struct {
	atomicfile.OS
	failing map[string]error // by operation
}

func (f *faultyFS) Create(name string) (atomicfile.WritableFile, error) {
	if err := f.failing["create"]; err != nil {
		return nil, err
	}
	file, err := f.OS.Create(name)
	return &faultyFile{file, f}, err
}

func (f *faultyFS) Rename(oldName, newName string) error {
	if err := f.failing["rename"]; err != nil {
		return err
	}
	return f.OS.Rename(oldName, newName)
}

func (f *faultyFS) SyncDir(dir string) error {
	if err := f.failing["sync directory"]; err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

func (f *faultyFS) ReadFile(name string) ([]byte, error) {
	if err := f.failing["read"]; err != nil {
		return nil, err
	}
	return f.OS.ReadFile(name)
}

type faultyFile struct {
	atomicfile.WritableFile
	fs *faultyFS
}

// Write fails after writing half of b, if writes are set to fail.
func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.fs.failing["write"]; err != nil {
		n, _ := f.WritableFile.Write(b[:len(b)/2]) // the injected error is returned in any case
		return n, err
	}
	return f.WritableFile.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.failing["sync"]; err != nil {
		return err
	}
	return f.WritableFile.Sync()
}

// storeProcess is a process with a maintenance store.
type storeProcess struct {
	*maintenanceStore
	detached map[string]bool // as passed to apply
	logged   []string
}

func startStore(t *testing.T, dir string) *storeProcess {
	t.Helper()
	p := &storeProcess{detached: map[string]bool{}}
	p.maintenanceStore = newMaintenanceStore(dir, "n/0", func(server string, detached bool) {
		p.detached[server] = detached
	}, func(format string, args ...any) { p.logged = append(p.logged, fmt.Sprintf(format, args...)) })
	return p
}

func (p *storeProcess) mustSet(t *testing.T, server string, detached bool) {
	t.Helper()
	if err := p.set(server, detached); err != nil {
		t.Fatal(err)
	}
}

func (p *storeProcess) expect(t *testing.T, what string, detached map[string]bool) {
	t.Helper()
	for server, want := range detached {
		if p.detached[server] != want {
			t.Errorf("%s: %s is detached: %v, want %v", what, server, p.detached[server], want)
		}
	}
}

// Two processes of one instance share a directory: each applies the calls that the other has handled, and a third
// process loads all of them.
func TestMaintenanceStore_ProcessesShareCalls(t *testing.T) {
	dir := t.TempDir()
	previous := startStore(t, dir)
	previous.mustSet(t, "a", true)
	previous.mustSet(t, "b", true)
	next := startStore(t, dir)
	next.expect(t, "at its start", map[string]bool{"a": true, "b": true})
	next.mustSet(t, "a", false)
	next.mustSet(t, "c", true)
	previous.sync()
	previous.expect(t, "after calls elsewhere", map[string]bool{"a": false, "b": true, "c": true})
	previous.mustSet(t, "c", false)
	next.sync()
	next.expect(t, "after calls elsewhere", map[string]bool{"c": false})
	startStore(t, dir).expect(t, "a third process", map[string]bool{"a": false, "b": true, "c": false})
}

// While the disk fails, a call takes effect in the process that handled it, and the failure is logged once. After the
// disk has recovered, the call is persisted and the next process loads it. A partial write does not corrupt the file.
func TestMaintenanceStore_DiskFails(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync", "rename", "sync directory", "read"} {
		for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
			t.Run(fmt.Sprint(operation, " ", cause), func(t *testing.T) {
				dir := t.TempDir()
				p := startStore(t, dir)
				p.mustSet(t, "before", true)
				disk := &faultyFS{failing: map[string]error{operation: cause}}
				p.file = atomicfile.New(disk, filepath.Join(dir, "rooktrestle-n_0-maintenance"))
				p.mustSet(t, "meanwhile", true)
				for range 10 {
					p.sync()
				}
				p.expect(t, "meanwhile", map[string]bool{"before": true, "meanwhile": true})
				startStore(t, dir).expect(t, "another process meanwhile", map[string]bool{"before": true})
				logged := 0
				for _, line := range p.logged {
					if strings.Contains(line, cause.Error()) {
						logged++
					}
				}
				if logged != 1 && operation != "read" { // a failed read may be logged by the read and by the write
					t.Errorf("the failure was logged %d times: %q", logged, p.logged)
				}
				disk.failing = nil
				p.sync()
				all := map[string]bool{"before": true, "meanwhile": true}
				startStore(t, dir).expect(t, "another process afterwards", all)
			})
		}
	}
}

// An unusable file loses only its entries: later calls are persisted. A file of a newer version is not overwritten.
func TestMaintenanceStore_UnusableFiles(t *testing.T) {
	dir := t.TempDir()
	first := startStore(t, dir)
	first.mustSet(t, "a", true)
	path := filepath.Join(dir, "rooktrestle-n_0-maintenance")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	newer := atomicfile.New(atomicfile.OS{}, filepath.Join(dir, "newer"))
	if err := newer.Store([]byte(`{"version":2}`)); err != nil {
		t.Fatal(err)
	}
	newerFile, err := os.ReadFile(filepath.Join(dir, "newer"))
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"empty":        {},
		"cut":          good[:len(good)-1],
		"other":        []byte("something else"),
		"of version 2": newerFile,
	} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		p := startStore(t, dir)
		if len(p.detached) > 0 || len(p.logged) != 1 {
			t.Errorf("%s: %v, logged %q", name, p.detached, p.logged)
		}
		p.mustSet(t, "b", true)
		p.expect(t, name, map[string]bool{"b": true})
		next := startStore(t, dir)
		if known := next.detached["b"]; known == (name == "of version 2") {
			t.Errorf("%s: the next process has loaded the call: %v", name, known)
		}
	}
}

// A call takes effect while another, possibly stopped, process holds the file's lock, and is persisted when the lock is
// released.
func TestMaintenanceStore_LockIsHeld(t *testing.T) {
	dir := t.TempDir()
	p := startStore(t, dir)
	lock, err := os.OpenFile(p.lockPath, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	p.mustSet(t, "a", true)
	p.expect(t, "while it is locked", map[string]bool{"a": true})
	if _, err := os.ReadFile(filepath.Join(dir, "rooktrestle-n_0-maintenance")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the file was written while another process held the lock: %v", err)
	}
	if err := lock.Close(); err != nil {
		t.Fatal(err)
	}
	p.sync()
	startStore(t, dir).expect(t, "afterwards", map[string]bool{"a": true})
}

// Without a state directory, calls take effect in the process and nothing is persisted.
func TestMaintenanceStore_NoFolder(t *testing.T) {
	p := startStore(t, "")
	p.mustSet(t, "a", true)
	p.sync()
	p.expect(t, "without a directory", map[string]bool{"a": true})
}

// If the file is removed, corrupt, or overwritten by a process that has not read it, the next sync writes the complete
// table again.
func TestMaintenanceStore_FileLosesCalls(t *testing.T) {
	for name, lose := range map[string]func(path string) error{
		"gone":         os.Remove,
		"corrupt":      func(path string) error { return os.WriteFile(path, []byte("rkeep"), 0o600) },
		"written over": func(path string) error { return atomicfile.New(atomicfile.OS{}, path).Store([]byte(`{"version":1}`)) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			p := startStore(t, dir)
			p.mustSet(t, "a", true)
			if err := lose(filepath.Join(dir, "rooktrestle-n_0-maintenance")); err != nil {
				t.Fatal(err)
			}
			p.sync()
			p.sync()
			startStore(t, dir).expect(t, "the next process", map[string]bool{"a": true})
		})
	}
}
