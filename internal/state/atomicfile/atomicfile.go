// Package atomicfile stores one value in a file so that a crash at any byte leaves the old value or the new one:
// the value is written to a second file, synced, and renamed into place, and the directory is synced as well. The
// file contains the value's length and checksum, by which other corruption is detected.
package atomicfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// Errors that Load wraps with the name of the file.
var (
	ErrNotExist    = errors.New("no value is stored")
	ErrCorrupt     = errors.New("the stored value is corrupt")
	ErrUnsupported = errors.New("the stored value has another format, or a newer version of this one")
)

// The file begins with a header: magic, version (one byte), length of the value and its xxHash64 (big-endian, eight
// bytes each). The value follows.
const (
	magic          = "rkeep"
	version        = 1
	versionOffset  = len(magic)
	lengthOffset   = versionOffset + 1
	checksumOffset = lengthOffset + 8
	headerBytes    = checksumOffset + 8

	maxValueBytes   = 1 << 30
	temporarySuffix = ".new" // of the file that is renamed into place
)

// ValueFile stores one value at a path. Store and Load must not be called concurrently; no two ValueFiles may share a
// path.
type ValueFile struct {
	fileSystem FS
	path       string
}

// New returns the ValueFile at a path. The file need not exist, its directory must.
func New(fileSystem FS, path string) *ValueFile {
	return &ValueFile{fileSystem: fileSystem, path: path}
}

// Store replaces the stored value. After an error the file contains the old value or the new one, never anything else.
func (v *ValueFile) Store(value []byte) error {
	if len(value) > maxValueBytes {
		return fmt.Errorf("store %s: value has %d bytes, more than %d", v.path, len(value), maxValueBytes)
	}
	if err := v.replace(encode(value)); err != nil {
		return fmt.Errorf("store %s: %w", v.path, err)
	}
	if err := v.fileSystem.SyncDir(filepath.Dir(v.path)); err != nil {
		return fmt.Errorf("store %s: sync directory: %w", v.path, err)
	}
	return nil
}

// replace writes a synced file and renames it into place.
func (v *ValueFile) replace(content []byte) error {
	temporary := v.path + temporarySuffix
	file, err := v.fileSystem.Create(temporary)
	if err != nil {
		return err
	}
	err = writeSynced(file, content)
	if err == nil {
		err = v.fileSystem.Rename(temporary, v.path)
	}
	if err != nil {
		_ = v.fileSystem.Remove(temporary) // err states what failed; the next Store overwrites the file
		return err
	}
	return nil
}

// writeSynced writes the content, syncs it to disk and closes the file.
func writeSynced(file WritableFile, content []byte) error {
	_, err := file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	closeErr := file.Close()
	if err == nil {
		err = closeErr
	}
	return err
}

// Load returns the stored value. Its error wraps ErrNotExist, ErrCorrupt or ErrUnsupported, or is that of reading the
// file.
func (v *ValueFile) Load() ([]byte, error) {
	content, err := v.fileSystem.ReadFile(v.path)
	if errors.Is(err, fs.ErrNotExist) {
		err = ErrNotExist
	}
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", v.path, err)
	}
	value, err := decode(content)
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", v.path, err)
	}
	return value, nil
}

// encode returns the content of the file that stores a value.
func encode(value []byte) []byte {
	content := make([]byte, 0, headerBytes+len(value))
	content = append(content, magic...)
	content = append(content, version)
	content = binary.BigEndian.AppendUint64(content, uint64(len(value)))
	content = binary.BigEndian.AppendUint64(content, xxhash.Sum64(value))
	return append(content, value...)
}

// decode returns the value that a file's content stores.
func decode(content []byte) ([]byte, error) {
	switch {
	case len(content) < headerBytes:
		return nil, fmt.Errorf("%w: %d bytes, shorter than the header of %d", ErrCorrupt, len(content), headerBytes)
	case string(content[:versionOffset]) != magic:
		return nil, ErrUnsupported
	case content[versionOffset] != version:
		return nil, fmt.Errorf("%w: version %d", ErrUnsupported, content[versionOffset])
	}
	length := binary.BigEndian.Uint64(content[lengthOffset:])
	checksum := binary.BigEndian.Uint64(content[checksumOffset:])
	value := content[headerBytes:]
	if length != uint64(len(value)) {
		return nil, fmt.Errorf("%w: %d bytes, the header states %d", ErrCorrupt, len(value), length)
	}
	if xxhash.Sum64(value) != checksum {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	return value, nil
}
