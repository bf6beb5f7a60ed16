package shardmapsource

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// noReport is how long the tests wait to see that nothing is reported: ten intervals.
const noReport = 50 * time.Millisecond

// A file is reported at the start, when it changes, when another is renamed into its place, when it is removed or
// created again, and when a report is requested; not otherwise.
func TestFile_ReportsChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	updates, wake := make(chan Update, 10), make(chan struct{}, 1)
	f := &File{Path: path, Interval: 5 * time.Millisecond, Put: func(u Update) { updates <- u }, Wake: wake}
	start(t, f.Run)
	if u := next(t, updates); !errors.Is(u.Err, fs.ErrNotExist) {
		t.Errorf("at the start: %+v", u)
	}
	for _, text := range []string{"one", "two", "two"} { // the same text again, in another file
		write(text)
		if u := next(t, updates); u.Err != nil || string(u.Text) != text || u.Source != path {
			t.Errorf("%+v, want %s", u, text)
		}
	}
	time.Sleep(noReport)
	if len(updates) > 0 {
		t.Errorf("reported without a change: %+v", <-updates)
	}
	wake <- struct{}{}
	if u := next(t, updates); string(u.Text) != "two" {
		t.Errorf("as requested: %+v", u)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if u := next(t, updates); u.Err == nil {
		t.Errorf("removed: %+v", u)
	}
	time.Sleep(noReport)
	if len(updates) > 0 {
		t.Errorf("reported again that it is missing: %+v", <-updates)
	}
	write("back")
	if u := next(t, updates); string(u.Text) != "back" {
		t.Errorf("created again: %+v", u)
	}
}
