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
	errUnresponsive = errors.New("the watch is unresponsive: no complete list, change or heartbeat in time")
	errStaleChange  = errors.New("a change has an older version than the current list; the complete list is requested")
)

// defaultRandom is used instead of a random number if Watcher.Random is nil.
const defaultRandom = 0.5

// Watcher watches the endpoint list of one discovery service and delivers each change, reconnecting and resuming until
// it is stopped. Set the exported fields before Run and do not access them after that; SwitchTo is the only method that
// may be called while Run is running.
type Watcher struct {
	Addr  string   // host:port of the discovery service; SwitchTo changes it
	Zones []string // names of the zones, in the order of their indices

	// Version of the list that the caller already has, from which the first watch resumes; 0: none.
	Version int64

	// FleetSize is the number of aggregators that watch the same discovery service; it spreads their reconnects. 0
	// counts as 1: an agent on this machine that no other aggregator calls.
	FleetSize int

	// Put receives each complete list and each change, in the order of their versions. It is called on the connection's
	// goroutine with a lock of the watcher held: it must not block and must not call the watcher.
	Put func(aggregator.Message)

	// Log logs why a watch ended, and each switch of the address. It is called by Run only.
	Log func(format string, args ...any)

	// Random returns a number from 0 to 1, which spreads reconnects. It is called by Run only. If it is nil, 0.5 is
	// used.
	Random func() float64

	// After starts a timer, like time.After, which is the default. Tests replace it to decide when a wait elapses.
	After func(time.Duration) <-chan time.Time

	// Dial opens connections. The default is tcp.Dial.
	Dial tcp.Dialer

	received    func()                 // called after each list
	reconnector *listwatch.Reconnector // used by Run only

	// needsFullList is set while the current version may not be valid for changes from Addr: the complete list is then
	// requested first. Only Run accesses it.
	needsFullList bool

	switches     chan string // capacity 1: the newest address that was not switched to yet
	initSwitches sync.Once   // creates switches, in Run or in SwitchTo, whichever is first
}

// SwitchTo makes the watcher switch immediately to another address, from which it reads the complete list before any
// change. It may be called before and during Run, by one goroutine at a time, and does not block.
func (w *Watcher) SwitchTo(addr string) {
	select {
	case <-w.pendingSwitch(): // an address that is replaced before the watcher switched to it
	default:
	}
	w.pendingSwitch() <- addr
}

func (w *Watcher) pendingSwitch() chan string {
	w.initSwitches.Do(func() { w.switches = make(chan string, 1) })
	return w.switches
}

// Run watches the list and returns once stop is closed; its caller waits for it. received is called after each list or
// change, on the goroutine that calls Put, and must not block.
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
			continue // the wait until the idle deadline serves as the backoff
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

// switchTo changes the address. It requests the complete list there, because versions of different discovery services
// are unrelated: changes of one must not be applied to a list of another.
func (w *Watcher) switchTo(addr string) {
	w.Addr = addr
	w.needsFullList = true
	w.Log("discovery: switched to %s", addr)
}
