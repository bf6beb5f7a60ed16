package replica

import (
	"bufio"
	"io"
	"net"
	"strings"
	"time"

	"rooktrestle/internal/testbed/ber"
)

// serveZ serves a Z39.50 target and returns how to end it.
func (n *Node) serveZ(ln net.Listener) func() {
	conns := map[net.Conn]bool{}
	n.conns = conns
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			conns[c] = true
			n.mu.Unlock()
			go func() {
				n.target(c)
				n.mu.Lock()
				delete(conns, c)
				n.mu.Unlock()
			}()
		}
	}()
	return func() {
		ln.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		for c := range conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0) // a reset, as of a process that dies
			}
			c.Close()
		}
	}
}

func (n *Node) target(c net.Conn) {
	defer c.Close()
	a := n.archive
	in := bufio.NewReader(c)
	hang := func(part bool) {
		in.ReadByte() // until the origin leaves
		if part {
			a.left(n.Name)
		}
	}
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		v, err := ber.Read(in)
		if err != nil {
			return
		}
		ref := ber.Leaf(2, string(v.Kid(2).Body))
		do := ""
		switch v.Tag {
		case 20:
			h := n.says()
			if h.Hang {
				hang(false)
				return
			}
			n.mu.Lock()
			greet := n.faults.Greet
			n.mu.Unlock()
			time.Sleep(greet)
			result := "\xff"
			// Only the check's Init: one that refuses its parts does not lie.
			if h.Refuse && strings.Contains(string(v.Kid(110).Body), "check") {
				result = "\x00"
			}
			io.WriteString(c, ber.Group(21, ber.Leaf(3, "\x05\xe0"), ber.Leaf(4, "\x00\xe0\x00"), ber.Number(5, 30000), ber.Number(6, 30000), ber.Leaf(12, result)))
			continue
		case 22:
			base := string(v.Kid(18).Kids[0].Body)
			if s := n.shelved(); s != nil {
				if do = n.shelfAnswer(c, s, v, at, base, ref); do == "" {
					continue
				}
				break
			}
			fault := n.take()
			record, what := a.search(n, at, base, ber.Words(v.Kid(21).Kids[0].Kids[1]), fault)
			do = what
			if do == "" {
				one := ber.Group(-16, ber.Leaf(0, base), ber.Group(1, ber.Group(1, ber.Group(-8, ber.Leaf(-6, ber.XML), ber.Leaf(1, record)))))
				io.WriteString(c, ber.Group(23, ref, ber.Number(23, 1), ber.Number(24, 1), ber.Number(25, 0), ber.Leaf(22, "\xff"), ber.Number(27, 0), ber.Group(28, one)))
				continue
			}
			if do == "error" {
				io.WriteString(c, ber.Group(23, ref, ber.Number(23, 0), ber.Number(24, 0), ber.Number(25, 0), ber.Leaf(22, "\x00"), ber.Number(26, 3),
					ber.Group(130, ber.Leaf(-6, ber.Diag), ber.Leaf(-2, "\x02"), ber.Leaf(-27, "failing"))))
				continue
			}
		case 46:
			es := v.Kid(10).Kid(0).Kids[0] // esRequest
			id := string(es.Kid(2).Kids[0].Kids[0].Kid(1).Kids[0].Body)
			if s := n.shelved(); s != nil {
				keep := es.Kid(1)
				if len(keep.Kids) == 1 && keep.Kids[0].Class == 0 { // a sequence inside
					keep = keep.Kids[0]
				}
				if word := s.Correct(string(keep.Kid(2).Body), id); word != "" {
					diag := ber.Group(-16, ber.Leaf(-6, ber.Diag), ber.Leaf(-2, "\x6d"), ber.Leaf(-26, word))
					io.WriteString(c, ber.Group(47, ref, ber.Number(3, 3), ber.Group(4, diag)))
					continue
				}
			}
			fault := n.take()
			switch do = a.correct(n, at, id, fault); do {
			case "":
				io.WriteString(c, ber.Group(47, ref, ber.Number(3, 1)))
				continue
			case "reject":
				diag := ber.Group(-16, ber.Leaf(-6, ber.Diag), ber.Leaf(-2, "\x00\xe0"), ber.Leaf(-27, "no"))
				io.WriteString(c, ber.Group(47, ref, ber.Number(3, 3), ber.Group(4, diag)))
				continue
			case "error":
				diag := ber.Group(-16, ber.Leaf(-6, ber.Diag), ber.Leaf(-2, "\x02"), ber.Leaf(-27, "failing"))
				io.WriteString(c, ber.Group(47, ref, ber.Number(3, 3), ber.Group(4, diag)))
				continue
			}
		default:
			return
		}
		switch do {
		case "hang":
			hang(true)
		case "spoil":
			io.WriteString(c, "\xb7\x03\x02\x01\x00noise")
			hang(false)
		}
		return // "break"
	}
}

// shelfAnswer answers a search from the node's shelf, and returns the fault that it met instead.
func (n *Node) shelfAnswer(c net.Conn, s Shelf, v ber.TLV, at time.Time, base, ref string) (do string) {
	records, count, word := s.Search(base, v.Kid(15).Num())
	failed := func(code, text string) {
		io.WriteString(c, ber.Group(23, ref, ber.Number(23, 0), ber.Number(24, 0), ber.Number(25, 0), ber.Leaf(22, "\x00"), ber.Number(26, 3),
			ber.Group(130, ber.Leaf(-6, ber.Diag), ber.Leaf(-2, code), ber.Leaf(-26, text))))
	}
	if word != "" {
		failed("\x6d", word) // 109
		return ""
	}
	fault := n.take()
	if _, do = n.archive.search(n, at, base, ber.Words(v.Kid(21).Kids[0].Kids[1]), fault); do == "error" {
		failed("\x02", "failing")
		return ""
	}
	if do != "" {
		return do
	}
	var list []string
	for _, rec := range records {
		list = append(list, ber.Group(-16, ber.Leaf(0, base), ber.Group(1, ber.Group(1, ber.Group(-8, ber.Leaf(-6, ber.XML), ber.Leaf(1, rec.XML))))))
	}
	io.WriteString(c, ber.Group(23, ref, ber.Number(23, count), ber.Number(24, len(list)), ber.Number(25, 0), ber.Leaf(22, "\xff"), ber.Number(27, 0), ber.Group(28, list...)))
	return ""
}
