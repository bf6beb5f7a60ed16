package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

func init() { allCases["partial"] = playPartial }

// sruNode is an archive node that speaks SRU 1.2 and holds one record of each block that it is asked for.
type sruNode struct {
	name     string
	addr     string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (l *lab) newSRUNode(name string) *sruNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err, "listen "+name)
	n := &sruNode{name: name, addr: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			block := strings.Trim(r.URL.Path, "/")
			w.Header().Set("Content-Type", "application/xml")
			fmt.Fprintf(w, `<?xml version="1.0" encoding="UTF-8"?><searchRetrieveResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version>`+
				`<numberOfRecords>1</numberOfRecords><records><record><recordSchema>info:srw/schema/1/dc-v1.1</recordSchema><recordPacking>xml</recordPacking>`+
				`<recordData><dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/"><dc:title>line of %s;</dc:title></dc:dc></recordData>`+
				`<recordPosition>1</recordPosition></record></records></searchRetrieveResponse>`, block)
		}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			n.mu.Lock()
			n.conns[conn] = state != http.StateClosed
			n.mu.Unlock()
		},
	}
	go func() { _ = server.Serve(listener) }()
	return n
}

// die does what the death of the node's process does: its connections are reset, and new ones are refused.
func (n *sruNode) die() {
	_ = n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, open := range n.conns {
		if open {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// partialBlocks is the number of blocks and of archive nodes. Each block is held by two nodes.
const partialBlocks = 10

// playPartial searches through two mixers of which one is the other's SRU server. Two of ten archive nodes, all holders of
// one block, die. The far mixer then answers from nine blocks and says so; the near one may not mark that as whole.
func playPartial(l *lab) {
	classes := `[[class]]
name = "coverage-report"
aim = "2.5s"
deadline = "7.5s"
worth = 2
late_worth = 0.1
floor = 0.5
partial = 0.8
[[tenant]]
name = "gandaki-radio"
quota = 20
`
	file := func(name, listen string, blocks, reach int) string {
		var shards []string
		for i := range blocks {
			shards = append(shards, fmt.Sprint(i))
		}
		return fmt.Sprintf("name = %q\n[listen]\nsru = %q\n[limits]\nmax_open = 115\n[shards]\ncount = %d\ncells = %d\nreach = %d\n%s"+
			"[[database]]\nname = \"coverage\"\nshards = [%s]\nsearch = \"coverage-report\"\ntenant = \"gandaki-radio\"\n",
			name, listen, blocks, blocks, reach, classes, strings.Join(shards, ", "))
	}
	server := func(id, addr, database string, cell int) string {
		return fmt.Sprintf("[[server]]\nid = %q\nprotocol = \"sru\"\naddr = %q\ncell = %d\nzone = 0\ndatabase = %q\n", id, addr, cell, database)
	}
	near, far := l.freeAddr(), l.freeAddr()
	farFile := file("far", far, partialBlocks, 2)
	var nodes []*sruNode
	for i := range partialBlocks {
		node := l.newSRUNode(fmt.Sprintf("node-%d", i))
		nodes = append(nodes, node)
		farFile += server(node.name, node.addr, "block-%d", i)
	}
	nearFile := file("near", near, 1, 1) + server("far", far, "coverage", 0)
	run := l.deployKey("run")
	l.run("far", run+" serve --front "+l.writeFile("far.toml", farFile))
	l.run("near", run+" serve --front "+l.writeFile("near.toml", nearFile))

	client := &http.Client{Timeout: 9 * time.Second}
	search := func(addr string) (status int, body string, err error) {
		response, err := client.Get("http://" + addr + "/coverage?version=1.2&operation=searchRetrieve&maximumRecords=50&query=" + url.QueryEscape("dc.title=line"))
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return response.StatusCode, string(text), err
	}
	blocksIn := func(body string) int {
		in := 0
		for i := range partialBlocks {
			if strings.Contains(body, fmt.Sprintf("line of block-%d;", i)) {
				in++
			}
		}
		return in
	}
	if !waitFor(15*time.Second, func() bool {
		_, body, _ := search(near)
		return blocksIn(body) == partialBlocks
	}) {
		l.copyLog("near")
		l.copyLog("far")
		l.finish(exitNotRun, "no whole answer at the start")
	}
	if l.trouble {
		l.log("node-0 and node-1 die: the holders of block 0")
		nodes[0].die()
		nodes[1].die()
		time.Sleep(time.Second)
	}
	broken, whole, marked, other := 0, 0, 0, 0
	for range 20 {
		status, body, err := search(near)
		in, says := blocksIn(body), strings.Contains(body, "<diagnostic")
		l.log("near answers %d: %d of %d blocks, a diagnostic: %v, error %v", status, in, partialBlocks, says, err)
		switch {
		case err == nil && status == 200 && in == partialBlocks:
			whole++
		case err == nil && status == 200 && in > 0 && !says:
			broken++
			l.log("MARKED WHOLE: %s", body)
		case err == nil && status == 200 && in > 0:
			marked++
		default:
			other++
		}
		time.Sleep(200 * time.Millisecond)
	}
	status, body, err := search(far)
	_, says, _ := strings.Cut(body, "</records>")
	l.log("far answers %d: %d of %d blocks, error %v, behind the records: %s", status, blocksIn(body), partialBlocks, err, says)
	counts := fmt.Sprintf("of 20 answers %d had all blocks, %d lacked some and said so, %d lacked some and were marked whole, %d were refused or failed",
		whole, marked, broken, other)
	if broken > 0 {
		l.finish(exitBroken, "%s", counts)
	}
	if !l.trouble && whole < 20 {
		l.finish(exitNotRun, "%s", counts)
	}
	l.finish(exitHeld, "%s", counts)
}
