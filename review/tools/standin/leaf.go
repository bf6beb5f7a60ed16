package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leafPart is one part as a leaf server received it: `ID SHARD LIST LENGTH`, then the query's text.
type leafPart struct {
	id     string
	shard  int
	list   map[string]string
	text   string
	server string
	at     time.Time // when the last byte of its frame had come
}

// leafServer is a sound leaf server of the platform's protocol: it answers every part with S after its work, in a fixed
// number of slots, and probes at once.
type leafServer struct {
	lab   *lab
	name  string
	addr  string
	cell  int
	work  time.Duration
	slots chan struct{}

	// remember, if set, is asked with each part that is about to run. If it returns false, the part is a repeat that is
	// dropped: it is answered with the first one's value and does no work.
	remember func(leafPart) bool
	// ran, if set, is called when a part begins to run.
	ran func(leafPart)
	// received, if set, is called with each part when its frame has come.
	received func(leafPart)

	mu     sync.Mutex
	queued int
}

func (l *lab) newLeaf(name string, cell int, work time.Duration) *leafServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err, "listen "+name)
	s := &leafServer{lab: l, name: name, addr: listener.Addr().String(), cell: cell, work: work,
		slots: make(chan struct{}, 2)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// entry is the server's entry in discovery's list.
func (s *leafServer) entry(state string) map[string]any {
	return map[string]any{"id": s.name, "addr": s.addr, "zone": "a", "kind": "m2", "cell": s.cell, "state": state,
		"weight": 1.0, "started_ms": 0}
}

func (s *leafServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var writing sync.Mutex
	reader := bufio.NewReader(conn)
	write := func(letter byte, rest string) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
		frame = append(append(frame, letter), rest...)
		writing.Lock()
		defer writing.Unlock()
		_, _ = conn.Write(frame)
	}
	for {
		var size [4]byte
		if _, err := io.ReadFull(reader, size[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(size[:]))
		if _, err := io.ReadFull(reader, body); err != nil || len(body) == 0 {
			return
		}
		switch body[0] {
		case '1':
			parts, err := parseCall(body[1:])
			if err != nil {
				s.lab.log("%s: frame that cannot be read: %v", s.name, err)
				write('X', err.Error())
				return
			}
			for _, part := range parts {
				part.server, part.at = s.name, time.Now()
				s.lab.log("%s received %s list %v", s.name, part.id, part.list)
				if s.received != nil {
					s.received(part)
				}
				s.mu.Lock()
				s.queued++
				s.mu.Unlock()
				go s.run(part, write)
			}
		case '2': // running work goes on, and a cancel does not drop waiting work
			s.lab.log("%s: %s is given up", s.name, body[1:])
		case '3':
			write('3', "S")
		case '4':
			s.mu.Lock()
			report := fmt.Sprintf("queue=%d", max(0, s.queued-cap(s.slots)))
			s.mu.Unlock()
			write('4', report)
		}
	}
}

// run works on a part and answers it.
func (s *leafServer) run(part leafPart, write func(byte, string)) {
	s.slots <- struct{}{}
	if s.remember == nil || s.remember(part) {
		s.lab.log("%s runs %s", s.name, part.id)
		if s.ran != nil {
			s.ran(part)
		}
		time.Sleep(s.work)
	} else {
		s.lab.log("%s drops %s, a repeat", s.name, part.id)
	}
	<-s.slots
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	write('5', fmt.Sprintf("%s S %d -\n%s", part.id, 1000+part.shard, valueOf(part.text, part.shard)))
}

// valueOf is the value of a part: 16 hex digits.
func valueOf(text string, shard int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", text, shard)
	return fmt.Sprintf("%016x", h.Sum64())
}

func parseCall(rest []byte) (parts []leafPart, err error) {
	for len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return nil, fmt.Errorf("a part's line has no end")
		}
		fields := strings.Split(string(rest[:end]), " ")
		rest = rest[end+1:]
		if len(fields) != 4 {
			return nil, fmt.Errorf("a part's line has %d fields", len(fields))
		}
		part := leafPart{id: fields[0], list: map[string]string{}}
		if part.shard, err = strconv.Atoi(fields[1]); err != nil {
			return nil, err
		}
		for _, pair := range strings.Split(fields[2], ",") {
			name, value, _ := strings.Cut(pair, "=")
			part.list[name] = value
		}
		length, err := strconv.Atoi(fields[3])
		if err != nil || length < 0 || length > len(rest) {
			return nil, fmt.Errorf("length %q", fields[3])
		}
		part.text, rest = string(rest[:length]), rest[length:]
		parts = append(parts, part)
	}
	return parts, nil
}
