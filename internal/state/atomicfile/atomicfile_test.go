package atomicfile

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

var errCrash = errors.New("crashed")

// disk is a file system that crashes at a given step. What was not forced to it may be there or not after a crash: as
// the test says, all, none or half of it.
type disk struct {
	steps   int // until the crash; negative: never
	files   map[string]*inode
	durable map[string]*inode // entries that were forced
}

type inode struct {
	data   []byte
	forced []byte
}

func newDisk() *disk {
	return &disk{steps: -1, files: map[string]*inode{}, durable: map[string]*inode{}}
}

func (d *disk) step() error {
	if d.steps == 0 {
		return errCrash
	}
	if d.steps > 0 {
		d.steps--
	}
	return nil
}

type handle struct {
	d *disk
	n *inode
}

func (d *disk) Create(name string) (WritableFile, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	n := &inode{}
	d.files[name] = n
	return &handle{d, n}, nil
}

// Write takes a byte at a time, so that a crash comes at every one.
func (h *handle) Write(b []byte) (int, error) {
	for i, c := range b {
		if err := h.d.step(); err != nil {
			return i, err
		}
		h.n.data = append(h.n.data, c)
	}
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	h.n.forced = bytes.Clone(h.n.data)
	return nil
}

func (h *handle) Close() error { return h.d.step() }

func (d *disk) Rename(old, now string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[now] = d.files[old]
	delete(d.files, old)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = map[string]*inode{}
	for name, n := range d.files {
		d.durable[name] = n
	}
	return nil
}

func (d *disk) ReadFile(name string) ([]byte, error) {
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return n.data, nil
}

// after is the disk as it is found after a crash. entries: whether names that were not forced are there; content: how
// much of the bytes that were not forced.
func (d *disk) after(entries bool, content float64) *disk {
	found := newDisk()
	from := d.durable
	if entries {
		from = d.files
	}
	for name, n := range from {
		more := 0
		if len(n.data) > len(n.forced) {
			more = int(float64(len(n.data)-len(n.forced)) * content)
		}
		text := append(bytes.Clone(n.forced), n.data[len(n.forced):len(n.forced)+more]...)
		found.files[name], found.durable[name] = &inode{text, text}, &inode{text, text}
	}
	return found
}

// A crash at every byte and step of a Store leaves the old value or the new one, whatever of it had reached the disk.
func TestCrashAtEveryStep(t *testing.T) {
	old, now := []byte("the old value"), []byte(strings.Repeat("a new value, ", 9))
	for steps := 0; ; steps++ {
		d := newDisk()
		if err := New(d, "dir/map").Store(old); err != nil {
			t.Fatal(err)
		}
		d.steps = steps
		err := New(d, "dir/map").Store(now)
		sawNew := false
		for _, entries := range []bool{false, true} {
			for _, content := range []float64{0, 0.5, 1} {
				got, e := New(d.after(entries, content), "dir/map").Load()
				if e != nil || !bytes.Equal(got, old) && !bytes.Equal(got, now) {
					t.Fatalf("after %d steps (%v %v): %q, %v", steps, entries, content, got, e)
				}
				sawNew = sawNew || bytes.Equal(got, now)
				if err == nil && !bytes.Equal(got, now) {
					t.Fatalf("after %d steps (%v %v): stored, and %q is found", steps, entries, content, got)
				}
			}
		}
		if err == nil {
			if steps < len(now) {
				t.Fatalf("only %d steps", steps)
			}
			return
		}
		if !errors.Is(err, errCrash) {
			t.Fatal(err)
		}
	}
}

// Harm of another kind is known as such: every length, every bit.
func TestHarmIsKnown(t *testing.T) {
	d := newDisk()
	b := New(d, "x")
	if _, err := b.Load(); !errors.Is(err, ErrNotExist) {
		t.Error(err)
	}
	b.Store([]byte("some value"))
	good := bytes.Clone(d.files["x"].data)
	for n := range good {
		d.files["x"].data = good[:n]
		if got, err := b.Load(); err == nil {
			t.Errorf("%d bytes: %q", n, got)
		}
	}
	for i := range good {
		for bit := range 8 {
			bad := bytes.Clone(good)
			bad[i] ^= 1 << bit
			d.files["x"].data = bad
			if got, err := b.Load(); err == nil {
				t.Errorf("bit %d of byte %d: %q", bit, i, got)
			}
		}
	}
	d.files["x"].data = append(bytes.Clone(good), 0)
	if got, err := b.Load(); err == nil {
		t.Errorf("%q", got)
	}
	newer := bytes.Clone(good)
	newer[len(magic)] = 9
	d.files["x"].data = newer
	if _, err := b.Load(); !errors.Is(err, ErrUnsupported) || !strings.Contains(err.Error(), "version 9") {
		t.Error(err)
	}
}

func TestOnTheRealDisk(t *testing.T) {
	b := New(OS{}, filepath.Join(t.TempDir(), "map"))
	for _, text := range []string{"one", "", "three"} {
		if err := b.Store([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := b.Load(); err != nil || string(got) != text {
			t.Errorf("%q %v", got, err)
		}
	}
	if err := New(OS{}, filepath.Join(t.TempDir(), "no", "map")).Store(nil); err == nil {
		t.Error("stored where there is no folder")
	}
}
