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
func (n *Server) serveZ(ln net.Listener) func() {
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

func (n *Server) target(c net.Conn) {
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
		ref := ber.Primitive(2, string(v.Child(2).Body))
		do := ""
		switch v.Tag {
		case 20:
			h := n.says()
			if h.Hang {
				hang(false)
				return
			}
			n.mu.Lock()
			greet := n.faults.InitDelay
			n.mu.Unlock()
			time.Sleep(greet)
			result := "\xff"
			// Only the check's Init: one that refuses its parts does not lie.
			if h.RejectChecks && strings.Contains(string(v.Child(110).Body), "check") {
				result = "\x00"
			}
			io.WriteString(c, ber.Constructed(21, ber.Primitive(3, "\x05\xe0"), ber.Primitive(4, "\x00\xe0\x00"), ber.Integer(5, 30000), ber.Integer(6, 30000), ber.Primitive(12, result)))
			continue
		case 22:
			base := string(v.Child(18).Children[0].Body)
			if s := n.shelved(); s != nil {
				if do = n.shelfAnswer(c, s, v, at, base, ref); do == "" {
					continue
				}
				break
			}
			fault := n.take()
			record, what := a.search(n, at, base, ber.FormatQuery(v.Child(21).Children[0].Children[1]), fault)
			do = what
			if do == "" {
				one := ber.Constructed(-16, ber.Primitive(0, base), ber.Constructed(1, ber.Constructed(1, ber.Constructed(-8, ber.Primitive(-6, ber.OIDXML), ber.Primitive(1, record)))))
				io.WriteString(c, ber.Constructed(23, ref, ber.Integer(23, 1), ber.Integer(24, 1), ber.Integer(25, 0), ber.Primitive(22, "\xff"), ber.Integer(27, 0), ber.Constructed(28, one)))
				continue
			}
			if do == "error" {
				io.WriteString(c, ber.Constructed(23, ref, ber.Integer(23, 0), ber.Integer(24, 0), ber.Integer(25, 0), ber.Primitive(22, "\x00"), ber.Integer(26, 3),
					ber.Constructed(130, ber.Primitive(-6, ber.OIDDiagnostics), ber.Primitive(-2, "\x02"), ber.Primitive(-27, "failing"))))
				continue
			}
		case 46:
			es := v.Child(10).Child(0).Children[0] // esRequest
			id := string(es.Child(2).Children[0].Children[0].Child(1).Children[0].Body)
			if s := n.shelved(); s != nil {
				keep := es.Child(1)
				if len(keep.Children) == 1 && keep.Children[0].Class == 0 { // a sequence inside
					keep = keep.Children[0]
				}
				if word := s.Correct(string(keep.Child(2).Body), id); word != "" {
					diag := ber.Constructed(-16, ber.Primitive(-6, ber.OIDDiagnostics), ber.Primitive(-2, "\x6d"), ber.Primitive(-26, word))
					io.WriteString(c, ber.Constructed(47, ref, ber.Integer(3, 3), ber.Constructed(4, diag)))
					continue
				}
			}
			fault := n.take()
			switch do = a.correct(n, at, id, fault); do {
			case "":
				io.WriteString(c, ber.Constructed(47, ref, ber.Integer(3, 1)))
				continue
			case "reject":
				diag := ber.Constructed(-16, ber.Primitive(-6, ber.OIDDiagnostics), ber.Primitive(-2, "\x00\xe0"), ber.Primitive(-27, "no"))
				io.WriteString(c, ber.Constructed(47, ref, ber.Integer(3, 3), ber.Constructed(4, diag)))
				continue
			case "error":
				diag := ber.Constructed(-16, ber.Primitive(-6, ber.OIDDiagnostics), ber.Primitive(-2, "\x02"), ber.Primitive(-27, "failing"))
				io.WriteString(c, ber.Constructed(47, ref, ber.Integer(3, 3), ber.Constructed(4, diag)))
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
func (n *Server) shelfAnswer(c net.Conn, s Store, v ber.TLV, at time.Time, base, ref string) (do string) {
	records, count, word := s.Search(base, v.Child(15).Int())
	failed := func(code, text string) {
		io.WriteString(c, ber.Constructed(23, ref, ber.Integer(23, 0), ber.Integer(24, 0), ber.Integer(25, 0), ber.Primitive(22, "\x00"), ber.Integer(26, 3),
			ber.Constructed(130, ber.Primitive(-6, ber.OIDDiagnostics), ber.Primitive(-2, code), ber.Primitive(-26, text))))
	}
	if word != "" {
		failed("\x6d", word) // 109
		return ""
	}
	fault := n.take()
	if _, do = n.archive.search(n, at, base, ber.FormatQuery(v.Child(21).Children[0].Children[1]), fault); do == "error" {
		failed("\x02", "failing")
		return ""
	}
	if do != "" {
		return do
	}
	var list []string
	for _, rec := range records {
		list = append(list, ber.Constructed(-16, ber.Primitive(0, base), ber.Constructed(1, ber.Constructed(1, ber.Constructed(-8, ber.Primitive(-6, ber.OIDXML), ber.Primitive(1, rec.XML))))))
	}
	io.WriteString(c, ber.Constructed(23, ref, ber.Integer(23, count), ber.Integer(24, len(list)), ber.Integer(25, 0), ber.Primitive(22, "\xff"), ber.Integer(27, 0), ber.Constructed(28, list...)))
	return ""
}
