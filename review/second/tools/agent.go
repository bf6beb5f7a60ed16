package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// agent is the agent-check of one node: it tells a line to whoever connects.
type agent struct {
	addr   string
	silent atomic.Bool

	mu     sync.Mutex
	line   string
	toldAt time.Time // when it first told its line
}

func newAgent(line string) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: listener.Addr().String(), line: line}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.answer(conn)
		}
	}()
	return a, nil
}

func (a *agent) answer(conn net.Conn) {
	defer conn.Close()
	if a.silent.Load() {
		io.Copy(io.Discard, conn)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	io.WriteString(conn, a.line+"\n")
	if a.toldAt.IsZero() {
		a.toldAt = time.Now()
	}
}

func (a *agent) tell(line string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.line, a.toldAt = line, time.Time{}
}

// told returns when the agent first told its line; zero: not yet.
func (a *agent) told() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.toldAt
}

// weightCase: the agent of a node tells the weight 0%, which drains the node, and then answers no more for some seconds.
// Nothing new may go to the node later than 250 ms after the aggregator was told, until the agent gives it another weight.
func weightCase(l *lab) (int, string, error) {
	const nodes = 10
	f, err := newFront(l, nodes, 4)
	if err != nil {
		return 0, "", err
	}
	text, err := os.ReadFile(f.config)
	if err != nil {
		return 0, "", err
	}
	conf := string(text)
	var drained *agent
	for i, n := range f.nodes {
		a, err := newAgent("up ready 100%")
		if err != nil {
			return 0, "", err
		}
		if i == 3 {
			drained = a
		}
		conf = strings.Replace(conf, fmt.Sprintf("addr = %q\n", n.addr), fmt.Sprintf("addr = %q\nagent = %q\n", n.addr, a.addr), 1)
	}
	if err := os.WriteFile(f.config, []byte(conf), 0o600); err != nil {
		return 0, "", err
	}
	var mu sync.Mutex
	var late []time.Duration
	var told time.Time
	f.nodes[3].seen = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		l.note("node-3 gets %s", r.URL)
		if since := time.Since(told); !told.IsZero() && since > 250*time.Millisecond+50*time.Millisecond {
			late = append(late, since)
			l.note("that is %v after its agent told that it drains", since.Round(time.Millisecond))
		}
	}
	if _, err := f.startAggregator("mixer"); err != nil {
		return 0, "", err
	}
	stop := time.Now().Add(28 * time.Second)
	var clients sync.WaitGroup
	for c := range 3 {
		clients.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				r, err := http.Get("http://" + f.sru + "/captions?operation=searchRetrieve&version=1.2&maximumRecords=5&query=" +
					url.QueryEscape(fmt.Sprintf("w%dx%d", c, i)))
				if err != nil {
					l.note("client: w%dx%d: %v", c, i, err)
					continue
				}
				io.Copy(io.Discard, r.Body)
				r.Body.Close()
				l.note("client: w%dx%d: %d", c, i, r.StatusCode)
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	drained.tell("up 0%")
	l.note("the agent of node-3 tells 0%% from now on")
	for drained.told().IsZero() {
		time.Sleep(10 * time.Millisecond)
	}
	mu.Lock()
	told = drained.told()
	mu.Unlock()
	l.note("the aggregator was told")
	time.Sleep(3 * time.Second)
	if l.trouble {
		drained.silent.Store(true)
		l.note("the agent of node-3 answers no more")
	}
	clients.Wait()
	if len(late) > 0 {
		return broken, fmt.Sprintf("%d parts went to the node, the first %v after it told that it drains", len(late), late[0].Round(time.Millisecond)), nil
	}
	return held, "nothing went to the node after it told that it drains", nil
}
