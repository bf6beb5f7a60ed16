package shardmapsource

import (
	"fmt"
	"os"
	"time"
)

// File watches a file for changes of its size, its modification time and its identity.
type File struct {
	Path     string
	Interval time.Duration   // between two checks
	Put      func(Update)    // receives each report, on Run's goroutine, and must not block
	Wake     <-chan struct{} // each receive reads the file immediately, even if it has not changed
}

// fileState is the state of the file at the last check.
type fileState struct {
	lastRead os.FileInfo // info of the file at the last read; nil: never read
	failed   bool        // the last check or read failed
}

// Run watches the file until stop is closed; its caller waits for it. It reports the result of the first check and of
// each check requested by Wake. Otherwise it reads and reports the file when it has changed or the previous
// check failed. A missing file is reported once, until it can be found again.
func (f *File) Run(stop <-chan struct{}) {
	var state fileState
	ticker := time.NewTicker(f.Interval)
	defer ticker.Stop()
	for force := true; ; {
		f.checkFile(&state, force)
		select {
		case <-stop:
			return
		case <-ticker.C:
			force = false
		case <-f.Wake:
			force = true
		}
	}
}

// checkFile reads and reports the file if it has changed, if the last check failed, or if force is set.
func (f *File) checkFile(state *fileState, force bool) {
	info, err := os.Stat(f.Path)
	if err != nil {
		if force || !state.failed {
			f.Put(Update{Source: f.Path, Err: fmt.Errorf("check the shard map file: %w", err)})
		}
		state.failed = true
		return
	}
	if !force && !state.failed && sameFile(info, state.lastRead) {
		return
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		err = fmt.Errorf("read the shard map file: %w", err)
	}
	f.Put(Update{Source: f.Path, Text: text, Err: err})
	state.lastRead = info
	state.failed = err != nil
}

// sameFile reports whether the file is unchanged since the previous read; prev is nil if there was none.
func sameFile(info, prev os.FileInfo) bool {
	return prev != nil && info.Size() == prev.Size() && info.ModTime().Equal(prev.ModTime()) && os.SameFile(info, prev)
}
