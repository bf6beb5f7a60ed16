package atomicfile

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A crash at any byte and step of a Store leaves the old value or the new one, whichever unsynced bytes reached the
// disk.
func TestStore_CrashAtEveryStepLeavesOldOrNewValue(t *testing.T) {
	const path = "dir/map"
	oldValue := []byte("the old value")
	newValue := []byte(strings.Repeat("a new value, ", 9))
	for steps := 0; ; steps++ {
		disk := newCrashingDisk()
		if err := New(disk, path).Store(oldValue); err != nil {
			t.Fatal(err)
		}
		disk.stepsUntilCrash = steps
		storeErr := New(disk, path).Store(newValue)
		for _, state := range disk.statesAfterCrash() {
			got, err := New(state.disk, path).Load()
			if err != nil || !bytes.Equal(got, oldValue) && !bytes.Equal(got, newValue) {
				t.Fatalf("after %d steps (%s): %q, %v", steps, state.name, got, err)
			}
			if storeErr == nil && !bytes.Equal(got, newValue) {
				t.Fatalf("after %d steps (%s): Store succeeded, but %q is loaded", steps, state.name, got)
			}
		}
		if storeErr == nil {
			if steps < len(newValue) {
				t.Fatalf("only %d steps", steps)
			}
			return
		}
		if !errors.Is(storeErr, errCrash) {
			t.Fatal(storeErr)
		}
	}
}

func TestLoad_NothingStored(t *testing.T) {
	if _, err := New(newCrashingDisk(), "x").Load(); !errors.Is(err, ErrNotExist) {
		t.Error(err)
	}
}

// Corruption that no crash of a Store causes is detected as well: truncation to any length, a flip of any bit, and an
// appended byte.
func TestLoad_CorruptFile(t *testing.T) {
	disk := newCrashingDisk()
	file := New(disk, "x")
	if err := file.Store([]byte("some value")); err != nil {
		t.Fatal(err)
	}
	good := bytes.Clone(disk.files["x"].data)
	checkRejected := func(content []byte, what string, args ...any) {
		t.Helper()
		disk.files["x"].data = content
		got, err := file.Load()
		if err == nil {
			t.Errorf(what+": %q was loaded", append(args, got)...)
		} else if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupported) {
			t.Errorf(what+": %v", append(args, err)...)
		}
	}
	for n := range good {
		checkRejected(good[:n], "%d bytes", n)
	}
	for i := range good {
		for bit := range 8 {
			bad := bytes.Clone(good)
			bad[i] ^= 1 << bit
			checkRejected(bad, "bit %d of byte %d", bit, i)
		}
	}
	checkRejected(append(bytes.Clone(good), 0), "one byte more")
}

func TestLoad_NewerVersion(t *testing.T) {
	disk := newCrashingDisk()
	file := New(disk, "x")
	if err := file.Store([]byte("some value")); err != nil {
		t.Fatal(err)
	}
	disk.files["x"].data[versionOffset] = 9
	if _, err := file.Load(); !errors.Is(err, ErrUnsupported) || !strings.Contains(err.Error(), "version 9") {
		t.Error(err)
	}
}

// The files in testdata were written by commit b803164, when this package was internal/state/keep. They must remain
// readable, and the encoding must not change.
func TestLoad_FileOfAnEarlierVersion(t *testing.T) {
	for name, want := range map[string]string{
		"value-b803164": "shard map, epoch 7\n\x00\xff",
		"empty-b803164": "",
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", name)
			got, err := New(OS{}, path).Load()
			if err != nil || string(got) != want {
				t.Errorf("loaded %q, %v; want %q", got, err, want)
			}
			written, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if encoded := encode([]byte(want)); !bytes.Equal(encoded, written) {
				t.Errorf("the same value is encoded as %x, want %x", encoded, written)
			}
		})
	}
}

func TestStore_OnTheOperatingSystemsDisk(t *testing.T) {
	dir := t.TempDir()
	file := New(OS{}, filepath.Join(dir, "map"))
	for _, value := range []string{"one", "", "three"} {
		if err := file.Store([]byte(value)); err != nil {
			t.Fatal(err)
		}
		if got, err := file.Load(); err != nil || string(got) != value {
			t.Errorf("loaded %q, %v; want %q", got, err, value)
		}
	}
	if err := New(OS{}, filepath.Join(dir, "no", "map")).Store(nil); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("stored in a directory that does not exist: %v", err)
	}
}
