// Package keep keeps one value in a file so that a crash at any byte leaves the old or the new one: it is written
// beside, forced to the disk, and put in its place by a rename that is forced, too. Each value carries its length and
// a checksum, so that a file that was harmed in another way is known as such.
package atomicfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// FS is what is needed of a file system. OS is the real one; tests crash their own at every step.
type FS interface {
	Create(name string) (WritableFile, error)
	Rename(old, now string) error
	SyncDir(dir string) error
	ReadFile(name string) ([]byte, error)
	Remove(name string) error
}

// WritableFile is one being written.
type WritableFile interface {
	io.Writer
	Sync() error
	Close() error
}

// Errors of Load.
var (
	ErrNotExist    = errors.New("nothing is kept")
	ErrCorrupt     = errors.New("what is kept is harmed")
	ErrUnsupported = errors.New("what is kept is of another kind, or of a newer version")
)

const (
	magic   = "rkeep"
	version = 1
	head    = len(magic) + 1 + 8 + 8 // version, length, checksum
	most    = 1 << 30
)

// ValueFile keeps one value at a path.
type ValueFile struct {
	fs   FS
	path string
}

// New returns a box at a path. The file need not be there, its folder has to.
func New(f FS, path string) *ValueFile { return &ValueFile{f, path} }

// Store puts a value in the place of the old one. After an error the old one is kept, or the new one; never anything
// else.
func (b *ValueFile) Store(value []byte) error {
	if len(value) > most {
		return fmt.Errorf("%s: a value over %d bytes", b.path, most)
	}
	text := make([]byte, 0, head+len(value))
	text = append(text, magic...)
	text = append(text, version)
	text = binary.BigEndian.AppendUint64(text, uint64(len(value)))
	text = binary.BigEndian.AppendUint64(text, xxhash.Sum64(value))
	text = append(text, value...)
	beside := b.path + ".new"
	f, err := b.fs.Create(beside)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = b.fs.Rename(beside, b.path)
	}
	if err != nil {
		b.fs.Remove(beside)
		return err
	}
	return b.fs.SyncDir(filepath.Dir(b.path))
}

// Load returns the value that is kept.
func (b *ValueFile) Load() ([]byte, error) {
	text, err := b.fs.ReadFile(b.path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, ErrNotExist
	case err != nil:
		return nil, err
	case len(text) < head:
		return nil, fmt.Errorf("%s: %w: %d bytes", b.path, ErrCorrupt, len(text))
	case string(text[:len(magic)]) != magic:
		return nil, fmt.Errorf("%s: %w", b.path, ErrUnsupported)
	case text[len(magic)] != version:
		return nil, fmt.Errorf("%s: %w: version %d", b.path, ErrUnsupported, text[len(magic)])
	}
	rest := text[len(magic)+1:]
	length, sum, value := binary.BigEndian.Uint64(rest), binary.BigEndian.Uint64(rest[8:]), rest[16:]
	if length != uint64(len(value)) || xxhash.Sum64(value) != sum {
		return nil, fmt.Errorf("%s: %w: %d of %d bytes, or a wrong checksum", b.path, ErrCorrupt, len(value), length)
	}
	return value, nil
}

// OS is the operating system's file system.
type OS struct{}

// Create creates a file, or empties one.
func (OS) Create(name string) (WritableFile, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

// Rename puts a file in the place of another.
func (OS) Rename(old, now string) error { return os.Rename(old, now) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// ReadFile reads a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// SyncDir forces a folder's entries to the disk.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
