package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"time"
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// sruNode is an archive node that speaks SRU. Its databases are block-N, with records N:0, N:1 and so on.
type sruNode struct {
	lab     *lab
	id      string
	addr    string
	records int           // of each block
	work    time.Duration // of a part
	silent  atomic.Bool
	seen    func(*http.Request) // called with each request; may be nil
}

func newSRUNode(l *lab, id string, records int) (*sruNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &sruNode{lab: l, id: id, addr: listener.Addr().String(), records: records, work: 20 * time.Millisecond}
	go http.Serve(listener, n)
	return n, nil
}

func (n *sruNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.seen != nil {
		n.seen(r)
	}
	if n.silent.Load() {
		n.lab.note("%s takes %s and stays silent", n.id, r.URL)
		<-r.Context().Done()
		return
	}
	block := strings.TrimPrefix(r.URL.Path, "/block-")
	w.Header().Set("Content-Type", "text/xml")
	query := r.URL.Query()
	most := 0
	fmt.Sscan(query.Get("maximumRecords"), &most)
	time.Sleep(n.work)
	var out strings.Builder
	fmt.Fprintf(&out, `<?xml version="1.0"?><searchRetrieveResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version>`+
		`<numberOfRecords>%d</numberOfRecords><records>`, n.records)
	for i := range min(most, n.records) {
		fmt.Fprintf(&out, `<record><recordSchema>info:srw/schema/1/dc-v1.1</recordSchema><recordPacking>xml</recordPacking>`+
			`<recordData><line>%s:%02d</line></recordData><recordIdentifier>%s:%02d</recordIdentifier></record>`, block, i, block, i)
	}
	out.WriteString(`</records><echoedSearchRetrieveRequest><version>1.2</version><query>` + xmlText(query.Get("query")) +
		`</query></echoedSearchRetrieveRequest></searchRetrieveResponse>`)
	io.WriteString(w, out.String())
}

func xmlText(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;").Replace(s)
}

// front is a deployment of the second front.
type front struct {
	*lab
	sru, z3950, health string
	nodes              []*sruNode
	config             string
}

// newFront writes the operator's file for these nodes, in a ring in which each block has two holders.
func newFront(l *lab, nodes, recordsPerBlock int) (*front, error) {
	f := &front{lab: l, sru: freeAddress(), z3950: freeAddress(), health: freeAddress(), config: l.dir + "/partners.toml"}
	var text strings.Builder
	fmt.Fprintf(&text, `name = "partners-1"
mixers = 1
[listen]
sru = %q
z3950 = %q
health = %q
[limits]
memory_mb = 192
sockets = 1024
max_open = 115
max_records = 100
result_sets = 16
attempts = 4
connect = "250ms"
idle = "15s"
[shards]
count = %d
cells = %d
reach = 2
[checks]
every = "2s"
timeout = "1s"
fall = 2
rise = 1
[[class]]
name = "coverage-report"
aim = "2.5s"
deadline = "7.5s"
worth = 2
late_worth = 0.1
floor = 0.5
partial = 0.8
[[class]]
name = "line-search"
aim = "1.5s"
deadline = "4s"
late_worth = 0.3
[[class]]
name = "line-correction"
aim = "1.5s"
deadline = "3s"
late_worth = 0.3
unsafe = true
[[tenant]]
name = "national-tv"
quota = 90
users = ["national-tv"]
`, f.sru, f.z3950, f.health, nodes, nodes)
	var blocks []string
	for i := range nodes {
		blocks = append(blocks, fmt.Sprint(i))
	}
	for _, database := range []string{"captions\"\nsearch = \"line-search\"\ncorrection = \"line-correction", "coverage\"\nsearch = \"coverage-report"} {
		fmt.Fprintf(&text, "[[database]]\nname = \"%s\"\nshards = [%s]\ntenant = \"national-tv\"\n", database, strings.Join(blocks, ", "))
	}
	for i := range nodes {
		n, err := newSRUNode(l, fmt.Sprintf("node-%d", i), recordsPerBlock)
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		fmt.Fprintf(&text, "[[server]]\nid = %q\nprotocol = \"sru\"\naddr = %q\ncell = %d\nzone = %d\ndatabase = \"block-%%d\"\n", n.id, n.addr, i, i%2)
	}
	return f, os.WriteFile(f.config, []byte(text.String()), 0o600)
}

// startAggregator starts the aggregator of the second front and waits until it is ready.
func (f *front) startAggregator(name string) (*process, error) {
	p, err := f.start(name, "serve --front "+f.config, "TMPDIR="+f.dir)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + f.health + "/readyz")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				time.Sleep(3 * time.Second) // the first checks of the nodes are in
				return p, nil
			}
		}
	}
	return p, fmt.Errorf("%s is not ready after 10 s", name)
}

// Tags and object identifiers of Z39.50 that the client uses.
const (
	initRequest, initResponse       = 20, 21
	searchRequest, searchResponse   = 22, 23
	presentRequest, presentResponse = 24, 25
	oidBib1                         = "\x2a\x86\x48\xce\x13\x03\x01"
	oidXML                          = "\x2a\x86\x48\xce\x13\x05\x6d\x0a"
)

// origin is a Z39.50 client with one association.
type origin struct {
	conn net.Conn
	in   *bufio.Reader
}

func (f *front) openAssociation() (*origin, error) {
	conn, err := net.Dial("tcp", f.z3950)
	if err != nil {
		return nil, err
	}
	o := &origin{conn: conn, in: bufio.NewReader(conn)}
	conn.Write(group(initRequest, primitive(3, "\x05\xe0"), primitive(4, "\x01\xc0\x06"), number(5, 1<<20), number(6, 1<<20)))
	answer, err := o.read(5 * time.Second)
	if err != nil || answer.tag != initResponse {
		return nil, fmt.Errorf("init: %v, tag %d", err, answer.tag)
	}
	return o, nil
}

func (o *origin) read(patience time.Duration) (node, error) {
	o.conn.SetReadDeadline(time.Now().Add(patience))
	return readNode(o.in)
}

// search sends a search for a word in a database, as a named result set.
func (o *origin) search(set, database, word string, patience time.Duration) (node, error) {
	attribute := group(-16, number(120, 1), number(121, 1016))
	clause := group(102, group(44, attribute), primitive(45, word))
	query := group(21, group(1, primitive(-6, oidBib1), group(0, clause)))
	o.conn.Write(group(searchRequest, number(13, 0), number(14, 1), number(15, 0), primitive(16, "\xff"), primitive(17, set),
		group(18, primitive(105, database)), primitive(104, oidXML), query))
	return o.read(patience)
}

// present asks for records of a result set.
func (o *origin) present(set string, start, count int, patience time.Duration) (node, error) {
	o.conn.Write(group(presentRequest, primitive(31, set), number(30, start), number(29, count), primitive(104, oidXML)))
	return o.read(patience)
}

// lines returns the identifiers of the records in an answer.
func lines(answer node) (ids []string) {
	for _, m := range regexp.MustCompile(`<line[^>]*>([^<]*)</line>`).FindAllSubmatch(answer.body, -1) {
		ids = append(ids, string(m[1]))
	}
	return ids
}
