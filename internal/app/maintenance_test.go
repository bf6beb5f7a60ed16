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

// faultyFS is the operating system's file system, of which chosen operations fail.
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

// Write writes a half of b before it fails.
func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.fs.failing["write"]; err != nil {
		n, _ := f.WritableFile.Write(b[:len(b)/2]) // the error of the other half is the result
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
	detached map[string]bool // as its loop knows it
	logged   []string
}

func startStore(t *testing.T, folder string) *storeProcess {
	t.Helper()
	p := &storeProcess{detached: map[string]bool{}}
	p.maintenanceStore = newMaintenanceStore(folder, "n/0", func(server string, detached bool) {
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
			t.Errorf("%s: %s is out of service: %v, want %v", what, server, p.detached[server], want)
		}
	}
}

// Two processes of one instance: each learns of the calls that the other has had, and a third one of all.
func TestMaintenanceStore_ProcessesShareCalls(t *testing.T) {
	folder := t.TempDir()
	former := startStore(t, folder)
	former.mustSet(t, "a", true)
	former.mustSet(t, "b", true)
	next := startStore(t, folder)
	next.expect(t, "at its start", map[string]bool{"a": true, "b": true})
	next.mustSet(t, "a", false)
	next.mustSet(t, "c", true)
	former.sync()
	former.expect(t, "after calls elsewhere", map[string]bool{"a": false, "b": true, "c": true})
	former.mustSet(t, "c", false)
	next.sync()
	next.expect(t, "after calls elsewhere", map[string]bool{"c": false})
	startStore(t, folder).expect(t, "a third process", map[string]bool{"a": false, "b": true, "c": false})
}

// While a disk fails a call holds in the process that has had it, and the fault is told once; the next process knows of it
// once the fault is over. A write that is cut short harms nothing.
func TestMaintenanceStore_DiskFails(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync", "rename", "sync directory", "read"} {
		for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
			t.Run(fmt.Sprint(operation, " ", cause), func(t *testing.T) {
				folder := t.TempDir()
				p := startStore(t, folder)
				p.mustSet(t, "before", true)
				disk := &faultyFS{failing: map[string]error{operation: cause}}
				p.file = atomicfile.New(disk, filepath.Join(folder, "rooktrestle-n_0-maintenance"))
				p.mustSet(t, "meanwhile", true)
				for range 10 {
					p.sync()
				}
				p.expect(t, "meanwhile", map[string]bool{"before": true, "meanwhile": true})
				startStore(t, folder).expect(t, "another process meanwhile", map[string]bool{"before": true})
				told := 0
				for _, line := range p.logged {
					if strings.Contains(line, cause.Error()) {
						told++
					}
				}
				if told != 1 && operation != "read" { // a failing read may be told at the look and at the write
					t.Errorf("told %d times: %q", told, p.logged)
				}
				disk.failing = nil
				p.sync()
				all := map[string]bool{"before": true, "meanwhile": true}
				startStore(t, folder).expect(t, "another process afterwards", all)
			})
		}
	}
}

// A file that cannot be read costs what it held, and nothing else; one of a newer program is left as it is.
func TestMaintenanceStore_UnusableFiles(t *testing.T) {
	folder := t.TempDir()
	first := startStore(t, folder)
	first.mustSet(t, "a", true)
	path := filepath.Join(folder, "rooktrestle-n_0-maintenance")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	newer := atomicfile.New(atomicfile.OS{}, filepath.Join(folder, "newer"))
	if err := newer.Store([]byte(`{"version":2}`)); err != nil {
		t.Fatal(err)
	}
	newerFile, err := os.ReadFile(filepath.Join(folder, "newer"))
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
		p := startStore(t, folder)
		if len(p.detached) > 0 || len(p.logged) != 1 {
			t.Errorf("%s: %v, logged %q", name, p.detached, p.logged)
		}
		p.mustSet(t, "b", true)
		p.expect(t, name, map[string]bool{"b": true})
		next := startStore(t, folder)
		if known := next.detached["b"]; known == (name == "of version 2") {
			t.Errorf("%s: the next process knows of the call: %v", name, known)
		}
	}
}

// The other process is stopped while it holds the lock: a call is taken all the same, and written down later.
func TestMaintenanceStore_LockIsHeld(t *testing.T) {
	folder := t.TempDir()
	p := startStore(t, folder)
	lock, err := os.OpenFile(p.lockPath, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	p.mustSet(t, "a", true)
	p.expect(t, "while it is locked", map[string]bool{"a": true})
	if _, err := os.ReadFile(filepath.Join(folder, "rooktrestle-n_0-maintenance")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("written under another's lock: %v", err)
	}
	if err := lock.Close(); err != nil {
		t.Fatal(err)
	}
	p.sync()
	startStore(t, folder).expect(t, "afterwards", map[string]bool{"a": true})
}

// Without a folder nothing is shared, and calls hold for the process.
func TestMaintenanceStore_NoFolder(t *testing.T) {
	p := startStore(t, "")
	p.mustSet(t, "a", true)
	p.sync()
	p.expect(t, "without a folder", map[string]bool{"a": true})
}

// The file loses what a process holds: it is gone, corrupt, or another process has written it without having read it. The
// next look writes it down again.
func TestMaintenanceStore_FileLosesCalls(t *testing.T) {
	for name, lose := range map[string]func(path string) error{
		"gone":         os.Remove,
		"corrupt":      func(path string) error { return os.WriteFile(path, []byte("rkeep"), 0o600) },
		"written over": func(path string) error { return atomicfile.New(atomicfile.OS{}, path).Store([]byte(`{"version":1}`)) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			p := startStore(t, folder)
			p.mustSet(t, "a", true)
			if err := lose(filepath.Join(folder, "rooktrestle-n_0-maintenance")); err != nil {
				t.Fatal(err)
			}
			p.sync()
			p.sync()
			startStore(t, folder).expect(t, "the next process", map[string]bool{"a": true})
		})
	}
}
