package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// class is one class of the settings.
type class struct {
	name          string
	aim, deadline time.Duration
	effect        string
	floor         float64
	second        int
	window        time.Duration
}

// smallDeployment returns the classes of the first deployment.
func smallDeployment() []class {
	return []class{
		{"coverage-report", 2500 * time.Millisecond, 7500 * time.Millisecond, "safe", 0.5, 2, 5 * time.Second},
		{"line-search", 1500 * time.Millisecond, 4 * time.Second, "safe", 1, 0, 5 * time.Second},
		{"line-correction", 1500 * time.Millisecond, 3 * time.Second, "unsafe", 1, 0, 5 * time.Second},
	}
}

// settings returns the settings object of a small deployment with these classes, as WIRE shows it.
func settings(classes []class, cells, shards, reach int) object {
	var list []object
	var floors, needs, worths []float64
	var seconds []int
	for _, c := range classes {
		list = append(list, object{"aim": c.aim.Microseconds(), "credit": 1.0, "deadline": c.deadline.Microseconds(),
			"effect": c.effect, "key_scope": "all", "late_worth": 0.3, "memory_span": c.window.Microseconds(),
			"name": c.name, "stream": false})
		floors = append(floors, c.floor)
		needs = append(needs, 1)
		worths = append(worths, 0.8)
		seconds = append(seconds, c.second)
	}
	return object{
		"callers": object{"marks_retry": true}, "classes": list, "counted_by": "request", "domain_type": "fanout",
		"extra": object{"call": 0, "cells": cells, "class_floor": floors, "follow_up": seconds, "in_a_row": reach,
			"incomplete_worth": worths, "need_by_class": needs, "per_call": 1, "slices": shards, "warm_keys": false},
		"goal":  object{"whole": 0.55, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.15},
		"kinds": []string{"small-2c"}, "layer": 0,
		"limits": object{"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 400000, "max_open": 115, "max_retry_after": 1000000, "peer_messages": false, "probing": true,
			"retry_after": false, "second_copies": false, "send_cap": 4, "streams_per_conn": 100},
		"load_info":   object{"fields": []string{"pending"}, "how": "pull"},
		"n_instances": 1, "orgs": []object{{"name": "national-tv", "quota_per_s": 90.0, "share": 1.0}},
		"over_share_worth": 0.1, "rank": 0, "registry_mode": "pushed",
		"rules": object{"cold": 16000000, "cold_from": 0.28, "fall": 2000000, "grace_to_answer": 20000,
			"must_ask_in": 10000000, "stop_sending_within": 250000, "tip_multiple": 3.0},
		"stages": []string{"caption-search"}, "tick": 5000, "weights": "silent", "zone": 0, "zones": []string{"singha-hall", "lalitpur-hall"},
	}
}

// platform is the platform's side of one aggregator: discovery, leaf servers, and what clients need.
type platform struct {
	*lab
	listen, control string
	discovery       *discovery
	leaves          []*leaf
	config          object
	configPath      string
}

// newPlatform starts discovery and one leaf server for each cell. answer decides what a leaf server does with a part.
func newPlatform(l *lab, set object, answer func(*leaf, part) action) (*platform, error) {
	cells := set["extra"].(object)["cells"].(int)
	p := &platform{lab: l, listen: freeAddress(), control: freeAddress(), configPath: l.dir + "/config.json"}
	for cell := range cells {
		server, err := newLeaf(l, fmt.Sprintf("s-%02d", cell), cell, answer)
		if err != nil {
			return nil, err
		}
		p.leaves = append(p.leaves, server)
	}
	var err error
	if p.discovery, err = newDiscovery(p.leaves); err != nil {
		return nil, err
	}
	p.config = object{"name": "n0", "listen": p.listen, "discovery": p.discovery.addr, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"control":  p.control,
		"known":    p.discovery.list(),
		"settings": set}
	return p, writeJSON(p.configPath, p.config)
}

// startAggregator starts the aggregator and waits until it is ready.
func (p *platform) startAggregator(name, control string) (*process, error) {
	proc, err := p.start(name, "", "NODE_CONFIG="+p.configPath, "NODE_NAME=n0", "NODE_LISTEN="+p.listen,
		"NODE_DISCOVERY="+p.discovery.addr, "NODE_CONTROL="+control, "TMPDIR="+p.dir)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if strings.HasPrefix(p.call(control, "PING"), "done") {
			return proc, nil
		}
	}
	return proc, fmt.Errorf("%s is not ready after 10 s", name)
}

// warmUp sends a little traffic, so that the aggregator has connections and knows the leaf servers' times.
func (p *platform) warmUp() {
	for i := range 20 {
		p.ask(request{id: fmt.Sprintf("warm%d", i), class: "line-search", shards: []int{i, (i + 7) % 20}, deadline: 4 * time.Second, filter: "caption"})
	}
}

// call makes an operator's call and returns the first line of its answer; empty if there is none.
func (p *platform) call(control, line string) string {
	conn, err := net.DialTimeout("tcp", control, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

// discovery is the agent that tells the list of leaf servers.
type discovery struct {
	addr string

	mu      sync.Mutex
	version int
	entries []object
}

func newDiscovery(leaves []*leaf) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: listener.Addr().String(), version: 41}
	for _, s := range leaves {
		zone := []string{"singha-hall", "lalitpur-hall"}[s.cell%2]
		d.entries = append(d.entries, object{"id": s.id, "addr": s.addr, "zone": zone, "kind": "small-2c",
			"cell": s.cell, "state": "SERVING", "weight": 1.0, "started_ms": 0})
	}
	go http.Serve(listener, d)
	return d, nil
}

func (d *discovery) list() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return object{"version": d.version, "full": true, "servers": append([]object(nil), d.entries...)}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		json.NewEncoder(w).Encode(d.list())
		return
	}
	seen := -1
	for {
		d.mu.Lock()
		version := d.version
		d.mu.Unlock()
		if version != seen { // the whole list is always allowed as the first, and a full one later
			seen = version
			text, _ := json.Marshal(d.list())
			fmt.Fprintf(w, "%s\n", text)
		} else {
			fmt.Fprint(w, "\n")
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// request is one request of a client.
type request struct {
	id, class string
	shards    []int
	deadline  time.Duration
	filter    string
}

// text returns the request as it stands on the wire.
func (r request) text() string {
	var slices []object
	for _, s := range r.shards {
		slices = append(slices, object{"slice": s, "mass": 1 / float64(len(r.shards))})
	}
	body, _ := json.Marshal(object{"slices": slices, "filter": r.filter})
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: national-tv\r\n"+
		"X-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s", r.class, r.id, r.class, r.deadline.Seconds(), len(body), body)
}

// response is a final answer, or how its absence showed.
type response struct {
	status int
	close  bool
	body   string
	err    error
	at     time.Time
}

// readResponse reads the next answer from a connection.
func readResponse(in *bufio.Reader) response {
	message, err := http.ReadResponse(in, nil)
	if err != nil {
		return response{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(message.Body)
	return response{status: message.StatusCode, close: message.Close, body: string(body), err: err, at: time.Now()}
}

// ask sends one request on a connection of its own and returns its answer.
func (p *platform) ask(r request) response {
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return response{err: err, at: time.Now()}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	io.WriteString(conn, r.text())
	answer := readResponse(bufio.NewReader(conn))
	p.note("client: %s, %s, shards %v: %d %v", r.id, r.class, r.shards, answer.status, answer.err)
	return answer
}

// part is one part of a call that arrived at a leaf server.
type part struct {
	id      string
	shard   int
	options map[string]string
	text    string
	at      time.Time
	conn    int // number of the connection
}

// action is what a leaf server does with a part: it answers with end after delay; end 0 is no answer.
type action struct {
	end   byte
	delay time.Duration
}

// leaf is a leaf server.
type leaf struct {
	lab    *lab
	id     string
	addr   string
	cell   int
	answer func(*leaf, part) action

	mu    sync.Mutex
	seen  []part
	conns int
}

func newLeaf(l *lab, id string, cell int, answer func(*leaf, part) action) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &leaf{lab: l, id: id, addr: listener.Addr().String(), cell: cell, answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			n := s.conns
			s.mu.Unlock()
			go s.serve(conn, n)
		}
	}()
	return s, nil
}

// frame returns a frame of the leaf protocol.
func frame(kind byte, rest string) []byte {
	n := len(rest) + 1
	return append([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n), kind}, rest...)
}

func (s *leaf) serve(conn net.Conn, number int) {
	defer conn.Close()
	var mu sync.Mutex
	write := func(b []byte) {
		mu.Lock()
		defer mu.Unlock()
		conn.Write(b)
	}
	in := bufio.NewReader(conn)
	for {
		prefix := make([]byte, 4)
		if _, err := io.ReadFull(in, prefix); err != nil {
			return
		}
		body := make([]byte, int(prefix[0])<<24|int(prefix[1])<<16|int(prefix[2])<<8|int(prefix[3]))
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		switch body[0] {
		case '1':
			for _, p := range parseCall(string(body[1:])) {
				p.at, p.conn = time.Now(), number
				s.mu.Lock()
				s.seen = append(s.seen, p)
				s.mu.Unlock()
				does := s.answer(s, p)
				s.lab.note("%s gets part %s (%v): %s after %v", s.id, p.id, p.options, string(does.end), does.delay)
				if does.end == 0 {
					continue
				}
				time.AfterFunc(does.delay, func() {
					value := ""
					if does.end == 'S' {
						value = fmt.Sprintf("%016x", hash(p.id))
					}
					write(frame('5', fmt.Sprintf("%s %c %d -\n%s", p.id, does.end, hash(p.id)%1000, value)))
				})
			}
		case '2':
			s.lab.note("%s: part %s is given up", s.id, body[1:])
		case '3':
			write(frame('3', "S"))
		case '4':
			write(frame('4', "pending=0"))
		}
	}
}

// parseCall returns the parts of a call.
func parseCall(text string) (parts []part) {
	for text != "" {
		line, rest, _ := strings.Cut(text, "\n")
		fields := strings.Fields(line)
		shard, _ := strconv.Atoi(fields[1])
		length, _ := strconv.Atoi(fields[3])
		p := part{id: fields[0], shard: shard, options: map[string]string{}, text: rest[:length]}
		for _, option := range strings.Split(fields[2], ",") {
			name, value, _ := strings.Cut(option, "=")
			p.options[name] = value
		}
		parts = append(parts, p)
		text = rest[length:]
	}
	return parts
}

func hash(text string) (h uint64) {
	h = 14695981039346656037
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

// arrivals returns the parts with an id that arrived at any leaf server.
func (p *platform) arrivals(id string) (all []part) {
	for _, s := range p.leaves {
		s.mu.Lock()
		for _, seen := range s.seen {
			if seen.id == id {
				all = append(all, seen)
			}
		}
		s.mu.Unlock()
	}
	return all
}
