package discovery

import (
	"errors"
	"sync"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/listwatch"
	"rooktrestle/internal/net/tcp"
)

// Reasons for which a watch ends.
var (
	errSwitched     = errors.New("the watch was switched to another address")
	errUnresponsive = errors.New("the watch is unresponsive")
	errStaleChange  = errors.New("a change of an older version than the list that is held")
)

// defaultRandom stands in for a random number where a Watcher has no source of them.
const defaultRandom = 0.5

// Watcher follows the endpoint list of one discovery service and delivers each change, reconnecting and resuming until it
// is stopped. Set the exported fields before Run and do not touch them after that; SwitchTo is the only method that may be
// called while Run runs.
type Watcher struct {
	Addr  string   // host:port of the discovery service; SwitchTo changes it
	Zones []string // names of the zones, in the order of their indices

	// Version of the list that is held already, which the first watch resumes from; 0: none.
	Version int64

	// FleetSize is how many aggregators follow the same discovery service; it spreads their reconnects. 0 counts as 1: an
	// agent on this machine that nobody else calls.
	FleetSize int

	// Put delivers a complete list or a change, in the order of their versions. It is called on the goroutine of the
	// connection with a lock of the watcher held: it must not block and must not call the watcher.
	Put func(aggregator.Message)

	// Log writes a line of the log: why a watch ended, and each switch of the address. It is called by Run only.
	Log func(format string, args ...any)

	// Random returns a number from 0 to 1, which spreads reconnects. It is called by Run only. nil: always 0.5.
	Random func() float64

	// After starts a timer as time.After does. Tests replace it to decide when a wait ends. nil: time.After.
	After func(time.Duration) <-chan time.Time

	// Dial opens connections. nil: tcp.Dial.
	Dial tcp.Dialer

	received    func()                 // called after each list
	reconnector *listwatch.Reconnector // used by Run only

	// needsFullList is set while the version that is held need not continue at Addr: the complete list comes first then.
	// Only Run touches it.
	needsFullList bool

	switches     chan string // capacity 1: the newest address that was not switched to yet
	makeSwitches sync.Once   // makes switches, in Run or in SwitchTo, whichever comes first
}

// SwitchTo makes the watcher leave its address for another one at once. The complete list is read there before any change
// counts. It may be called before and during Run, by one goroutine at a time, and does not block.
func (w *Watcher) SwitchTo(addr string) {
	select {
	case <-w.pendingSwitch(): // replaced before it was acted upon
	default:
	}
	w.pendingSwitch() <- addr
}

func (w *Watcher) pendingSwitch() chan string {
	w.makeSwitches.Do(func() { w.switches = make(chan string, 1) })
	return w.switches
}

// Run follows the list and returns once stop is closed; its caller waits for it. received is called after each list or
// change, on the goroutine that Put is called on, and must not block.
func (w *Watcher) Run(stop <-chan struct{}, received func()) {
	w.received = received
	w.reconnector = listwatch.New(listwatch.PlatformConfig(w.FleetSize))
	if w.After == nil {
		w.After = time.After
	}
	if w.Dial == nil {
		w.Dial = tcp.Dial
	}
	for {
		w.reconnector.Opened(time.Now(), w.random())
		err := w.watch(stop)
		if errors.Is(err, errSwitched) {
			continue
		}
		if err != nil {
			w.Log("discovery at %s: %v", w.Addr, err)
		}
		if errors.Is(err, errUnresponsive) {
			continue // it has waited already
		}
		if !w.waitToReconnect(stop) {
			return
		}
	}
}

// waitToReconnect waits until the next watch may be opened. It returns false if stop was closed.
func (w *Watcher) waitToReconnect(stop <-chan struct{}) bool {
	now := time.Now()
	delay := w.reconnector.Ended(now, w.random()).Sub(now)
	select {
	case <-stop:
		return false
	case addr := <-w.pendingSwitch():
		w.switchTo(addr)
	case <-w.After(delay):
	}
	return true
}

func (w *Watcher) random() float64 {
	if w.Random == nil {
		return defaultRandom
	}
	return w.Random()
}

// switchTo changes the address. Guards against a list that is patched with another discovery service's changes: its
// versions need not continue those that are held.
func (w *Watcher) switchTo(addr string) {
	w.Addr = addr
	w.needsFullList = true
	w.Log("discovery: switched to %s", addr)
}
