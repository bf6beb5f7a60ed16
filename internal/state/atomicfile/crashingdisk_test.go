package atomicfile

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
)

var errCrash = errors.New("crashed")

// crashingDisk is a fake file system that crashes at a given step. Data that was not synced before the crash may or may
// not be present after it: statesAfterCrash returns the cases.
type crashingDisk struct {
	stepsUntilCrash int                  // negative: never crashes
	files           map[string]*diskFile // as the running process sees them
	syncedEntries   map[string]*diskFile // directory entries as of the last SyncDir
}

type diskFile struct {
	data   []byte
	synced []byte
}

func newCrashingDisk() *crashingDisk {
	return &crashingDisk{
		stepsUntilCrash: -1,
		files:           map[string]*diskFile{},
		syncedEntries:   map[string]*diskFile{},
	}
}

func (d *crashingDisk) step() error {
	if d.stepsUntilCrash == 0 {
		return errCrash
	}
	if d.stepsUntilCrash > 0 {
		d.stepsUntilCrash--
	}
	return nil
}

func (d *crashingDisk) Create(name string) (WritableFile, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	file := &diskFile{}
	d.files[name] = file
	return &diskHandle{disk: d, file: file}, nil
}

func (d *crashingDisk) Rename(oldName, newName string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[newName] = d.files[oldName]
	delete(d.files, oldName)
	return nil
}

func (d *crashingDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *crashingDisk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.syncedEntries = maps.Clone(d.files)
	return nil
}

func (d *crashingDisk) ReadFile(name string) ([]byte, error) {
	file := d.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return file.data, nil
}

// diskHandle is a file that is being written.
type diskHandle struct {
	disk *crashingDisk
	file *diskFile
}

// Write counts a step for each byte, so that a crash can occur at any of them.
func (h *diskHandle) Write(data []byte) (int, error) {
	for i, b := range data {
		if err := h.disk.step(); err != nil {
			return i, err
		}
		h.file.data = append(h.file.data, b)
	}
	return len(data), nil
}

func (h *diskHandle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.synced = bytes.Clone(h.file.data)
	return nil
}

func (h *diskHandle) Close() error { return h.disk.step() }

// diskState is a possible state of the disk after a crash.
type diskState struct {
	name string
	disk *crashingDisk
}

// statesAfterCrash returns the disk without and with the directory entries that were not synced, each with none,
// half and all of the bytes that were not synced.
func (d *crashingDisk) statesAfterCrash() (states []diskState) {
	for _, entries := range []struct {
		name  string
		files map[string]*diskFile
	}{
		{name: "synced entries", files: d.syncedEntries},
		{name: "all entries", files: d.files},
	} {
		for _, share := range []float64{0, 0.5, 1} {
			states = append(states, diskState{
				name: fmt.Sprintf("%s, %v of the unsynced bytes", entries.name, share),
				disk: diskAfterCrash(entries.files, share),
			})
		}
	}
	return states
}

func diskAfterCrash(files map[string]*diskFile, unsyncedShare float64) *crashingDisk {
	found := newCrashingDisk()
	for name, file := range files {
		kept := len(file.synced)
		if unsynced := len(file.data) - kept; unsynced > 0 {
			kept += int(float64(unsynced) * unsyncedShare)
		}
		content := append(bytes.Clone(file.synced), file.data[len(file.synced):kept]...)
		found.files[name] = &diskFile{data: content, synced: content}
		found.syncedEntries[name] = &diskFile{data: content, synced: content}
	}
	return found
}
