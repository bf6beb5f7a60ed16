package shardmapsource

import (
	"fmt"
	"os"
	"time"
)

// File watches a file by its size, its modification time and its identity.
type File struct {
	Path     string
	Interval time.Duration   // between two looks
	Put      func(Update)    // takes each report, on Run's goroutine, and must not block
	Wake     <-chan struct{} // read now, whatever the file looks like
}

// fileState is what is known of the file between two looks.
type fileState struct {
	read   os.FileInfo // of the last reading; nil: none
	failed bool        // the last look or reading failed
}

// Run watches until stop is closed; its caller waits for it. The first reading is reported in any case, later ones where
// the file has changed, an error where none was reported before.
func (f *File) Run(stop <-chan struct{}) {
	var state fileState
	ticker := time.NewTicker(f.Interval)
	defer ticker.Stop()
	for force := true; ; {
		f.look(&state, force)
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

// look reads the file and reports it if it has changed, or if force is set.
func (f *File) look(state *fileState, force bool) {
	info, err := os.Stat(f.Path)
	if err != nil {
		if force || !state.failed {
			f.Put(Update{Source: f.Path, Err: fmt.Errorf("look at the shard map: %w", err)})
		}
		state.failed = true
		return
	}
	if !force && !state.failed && sameFile(info, state.read) {
		return
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		err = fmt.Errorf("read the shard map: %w", err)
	}
	f.Put(Update{Source: f.Path, Text: text, Err: err})
	state.read = info
	state.failed = err != nil
}

// sameFile says whether a file has not changed since the last reading; nil: there was none.
func sameFile(info, last os.FileInfo) bool {
	return last != nil && info.Size() == last.Size() && info.ModTime().Equal(last.ModTime()) && os.SameFile(info, last)
}
