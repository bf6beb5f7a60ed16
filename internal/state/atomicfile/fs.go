package atomicfile

import (
	"io"
	"os"
)

// FS is the part of a file system that a ValueFile uses. OS implements it for the operating system; tests use one that
// crashes at a given step.
type FS interface {
	// Create creates a file, or truncates an existing one.
	Create(name string) (WritableFile, error)
	// Rename replaces newName, if it exists, by the file oldName.
	Rename(oldName, newName string) error
	// SyncDir returns once the directory's entries are on the disk.
	SyncDir(dir string) error
	// ReadFile returns a file's content. The error of a missing file wraps fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Remove removes a file.
	Remove(name string) error
}

// WritableFile is a file that is being written.
type WritableFile interface {
	io.Writer
	// Sync returns once the file's content is on the disk.
	Sync() error
	Close() error
}

// OS is the operating system's file system. Its files are readable and writable by their owner only.
type OS struct{}

const ownerOnly os.FileMode = 0o600

// Create implements FS.
func (OS) Create(name string) (WritableFile, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, ownerOnly)
}

// Rename implements FS.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading only: the error can be ignored
	return directory.Sync()
}
