package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// agent is discovery as a mixer sees it: the agent on its own machine, which answers at once.
type agent struct {
	lab  *lab
	name string
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	version  int
	servers  []map[string]any
	changed  chan struct{} // closed at the next change
}

func (l *lab) newAgent(name string, servers []map[string]any) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err, "listen "+name)
	a := &agent{lab: l, name: name, addr: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{},
		version: 41, servers: servers, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[conn] = true
			a.mu.Unlock()
			go a.serve(conn)
		}
	}()
	return a
}

// list returns the whole list.
func (a *agent) list() map[string]any {
	return map[string]any{"version": a.version, "full": true, "servers": a.servers}
}

// set changes one server's entry and tells all open watches; it returns when the change has been written to them.
func (a *agent) set(entry map[string]any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.servers {
		if a.servers[i]["id"] == entry["id"] {
			a.servers[i] = entry
		}
	}
	a.version++
	a.lab.log("%s has version %d: %v is %v", a.name, a.version, entry["id"], entry["state"])
	close(a.changed)
	a.changed = make(chan struct{})
}

// closeListener makes the agent accept no new connection.
func (a *agent) closeListener() { _ = a.listener.Close() }

// closeConns closes the open connections.
func (a *agent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		_ = conn.Close()
	}
}

func (a *agent) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a.lab.log("%s is asked %s", a.name, request.URL)
		if request.URL.Query().Get("stream") == "" {
			a.mu.Lock()
			body := toJSON(a.list())
			a.mu.Unlock()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		index, _ := strconv.Atoi(request.URL.Query().Get("index"))
		a.watch(conn, index)
		return
	}
}

// watch tells the whole list first, and again at each change; an empty line comes every 2 s as long as nothing changes.
func (a *agent) watch(conn net.Conn, index int) {
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := func(text string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	for told := false; ; told = true {
		a.mu.Lock()
		text := "\n"
		if !told || index != a.version {
			text = toJSON(a.list()) + "\n"
			index = a.version
		}
		changed := a.changed
		a.mu.Unlock()
		if err := chunk(text); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}
