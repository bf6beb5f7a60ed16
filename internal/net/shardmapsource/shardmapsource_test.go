package shardmapsource

import (
	"errors"
	"io"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rooktrestle/internal/net/tcp"
)

// patience is how long something is waited for: a failure, not a verdict.
const patience = 30 * time.Second

func next(t *testing.T, told <-chan Update) Update {
	t.Helper()
	select {
	case one := <-told:
		return one
	case <-time.After(patience):
		t.Fatal("nothing is told")
		return Update{}
	}
}

// A file is told at the start, when it changes, when it is put in another's place, when it is gone and back, and when
// somebody asks; not otherwise.
func TestFile(t *testing.T) {
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
	told, wake, stop, over := make(chan Update, 10), make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	f := &File{Path: path, Interval: 5 * time.Millisecond, Put: func(one Update) { told <- one }, Wake: wake}
	go func() { f.Run(stop); close(over) }()
	if one := next(t, told); !errors.Is(one.Err, fs.ErrNotExist) {
		t.Errorf("%+v", one)
	}
	for _, text := range []string{"one", "two", "two"} { // the same text again, in another file
		write(text)
		if one := next(t, told); one.Err != nil || string(one.Text) != text || one.Source != path {
			t.Errorf("%+v, want %s", one, text)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if len(told) > 0 {
		t.Errorf("told without a change: %+v", <-told)
	}
	wake <- struct{}{}
	if one := next(t, told); string(one.Text) != "two" {
		t.Errorf("%+v", one)
	}
	os.Remove(path)
	if one := next(t, told); one.Err == nil {
		t.Errorf("%+v", one)
	}
	time.Sleep(50 * time.Millisecond)
	if len(told) > 0 {
		t.Errorf("told again that it is gone: %+v", <-told)
	}
	write("back")
	if one := next(t, told); string(one.Text) != "back" {
		t.Errorf("%+v", one)
	}
	close(stop)
	<-over
}

// An HTTP source is asked for what is newer than is had, by long poll; a failing one at growing intervals; whoever
// wakes the watch is not kept waiting by a poll in hand.
func TestHTTP(t *testing.T) {
	var status atomic.Int64
	var had atomic.Uint64
	var asked, dialed atomic.Int64
	status.Store(200)
	queries := make(chan string, 1000)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		select {
		case queries <- r.URL.RawQuery:
		default:
		}
		switch status.Load() {
		case 200:
			io.WriteString(w, "a map")
		case 304:
			wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
			w.WriteHeader(304)
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			io.WriteString(w, strings.Repeat("x", maxMap+1))
		default:
			w.WriteHeader(int(status.Load()))
		}
	}))
	defer web.Close()
	told, wake, stop, over := make(chan Update, 1000), make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	h := &HTTP{Addr: strings.TrimPrefix(web.URL, "http://"), Wait: time.Hour, MinInterval: 5 * time.Millisecond, MaxInterval: 20 * time.Millisecond,
		Put: func(one Update) { told <- one }, CurrentEpoch: had.Load, Wake: wake,
		Dial: func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
			dialed.Add(1)
			return tcp.Dial(addr, timeout, handler)
		}}
	go func() { h.Run(stop); close(over) }()
	if one := next(t, told); one.Err != nil || string(one.Text) != "a map" {
		t.Errorf("%+v", one)
	}
	if q := <-queries; q != "after=0&wait=0s" {
		t.Errorf("the first question is %s", q)
	}
	had.Store(7)
	for q := ""; q != "after=7&wait=1h0m0s"; q = <-queries {
	}
	for _, s := range []int64{500, 1, 2} {
		status.Store(s)
		for next(t, told).Err == nil {
		}
	}
	status.Store(304)
	for q := ""; q != "after=7&wait=0s"; q = <-queries { // asked while a poll of an hour is in hand
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	for one := next(t, told); one.Err != nil || one.Text != nil; one = next(t, told) { // nothing newer
	}
	close(stop)
	<-over
	// Counted where it asks: the server may see the last question after Run has returned. Close waits until what it
	// was asked is over, which a poll of an hour left open would not be.
	n := dialed.Load()
	web.Close()
	if dialed.Load() != n || n < asked.Load() {
		t.Errorf("dialed %d times, %d after the end; asked %d times", n, dialed.Load(), asked.Load())
	}
}
