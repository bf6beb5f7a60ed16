package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { allCases["copies"] = playCopies }

const (
	copyClients = 24
	copySeconds = 30
	copyShare   = 0.05 // of the answers that a second copy follows
	pieceGap    = 5 * time.Millisecond

	correctionShare = 0.2 // corrections for each search
)

// needle is the form of the search terms, each of which is searched for once. locked is that of the records whose
// correction every node refuses, without any effect.
var (
	needle = regexp.MustCompile(`needle[0-9]{6}`)
	locked = regexp.MustCompile(`locked[0-9]{6}`)
)

// target is a sound Z39.50 target, but for the second copies.
type target struct {
	lab    *lab
	name   string
	addr   string
	copies float64
	sent   *atomic.Int64 // second copies
}

func (l *lab) newTarget(name string, copies float64, sent *atomic.Int64) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err, "listen "+name)
	t := &target{lab: l, name: name, addr: listener.Addr().String(), copies: copies, sent: sent}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return t
}

func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := readTLV(reader)
		if err != nil {
			return
		}
		switch request.tag {
		case apduInit:
			_, _ = conn.Write(initResponse())
		case apduES:
			reference := request.child(tagReferenceID)
			time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
			t.lab.log("%s refuses the correction %s of %s", t.name, reference, locked.Find(request.body))
			_, _ = conn.Write(updateResponse(reference, false))
		case apduSearch:
			reference := request.child(tagReferenceID)
			term := needle.Find(request.body)
			time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
			record := fmt.Sprintf(`<dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/"><dc:title>%s</dc:title><dc:publisher>%s</dc:publisher></dc:dc>`,
				term, t.name)
			answer := searchResponse(reference, "block", record)
			if rand.Float64() >= t.copies {
				_, _ = conn.Write(answer)
				continue
			}
			// The second copy begins directly behind the answer, when nothing else waits on the connection. It comes in two
			// pieces.
			both := append(append([]byte(nil), answer...), answer...)
			cut := len(answer) + len(answer)/2
			_, _ = conn.Write(both[:cut])
			time.Sleep(pieceGap)
			_, _ = conn.Write(both[cut:])
			t.sent.Add(1)
			t.lab.log("%s has sent a second copy of its answer %s, for %s", t.name, reference, term)
		default:
			return
		}
	}
}

// playCopies lets SRU clients search through a mixer whose nodes speak Z39.50. Some answers are followed by a second copy of
// themselves. Every record that a client gets has to be one that was made for its own search, and a correction that its
// node refuses may not be told done.
func playCopies(l *lab) {
	share, sent := copyShare, &atomic.Int64{}
	if !l.trouble {
		share = 0
	}
	sruAddr := l.freeAddr()
	file := fmt.Sprintf(`name = "partners-1"
[listen]
sru = "%s"
[limits]
max_open = 230
[shards]
count = 3
cells = 3
reach = 2
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
quota = 200
[[database]]
name = "captions"
shards = [0, 1, 2]
search = "line-search"
correction = "line-correction"
tenant = "national-tv"
`, sruAddr)
	for i := range 3 {
		t := l.newTarget(fmt.Sprintf("node-%d", i), share, sent)
		file += fmt.Sprintf("[[server]]\nid = %q\nprotocol = \"z3950\"\naddr = %q\ncell = %d\nzone = 0\ndatabase = \"block-%%d\"\n", t.name, t.addr, i)
	}
	path := l.writeFile("partners.toml", file)
	l.run("mixer", l.deployKey("run")+" serve --front "+path)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: copyClients}}
	searchURL := func(term string) string {
		return "http://" + sruAddr + "/captions?version=1.2&operation=searchRetrieve&maximumRecords=10&query=" + url.QueryEscape("dc.title="+term)
	}
	search := func(term string) (status int, body string, err error) {
		response, err := client.Get(searchURL(term))
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return response.StatusCode, string(text), err
	}
	if !waitFor(10*time.Second, func() bool {
		status, body, err := search("needle999999")
		return err == nil && status == 200 && strings.Count(body, "needle999999") == 3
	}) {
		l.copyLog("mixer")
		l.finish(exitNotRun, "the mixer serves no search")
	}
	// correct asks for the correction of a record that all nodes refuse to correct.
	correct := func(id string) (body string, err error) {
		update := `<updateRequest xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version><action>info:srw/action/1/replace</action>` +
			`<recordIdentifier>` + id + `</recordIdentifier><record><recordPacking>xml</recordPacking><recordData><line/></recordData></record></updateRequest>`
		response, err := client.Post("http://"+sruAddr+"/captions", "text/xml", strings.NewReader(update))
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return string(text), err
	}
	var next, served, other, wrong, refused, untrue atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(copySeconds * time.Second)
	for range copyClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				if rand.Float64() < correctionShare {
					id := fmt.Sprintf("locked%06d", next.Add(1))
					body, err := correct(id)
					done := strings.Contains(body, "<operationStatus>success<")
					l.log("correction of %s: told done: %v, error %v", id, done, err)
					if done {
						untrue.Add(1)
						l.log("UNTRUE: the correction of %s is told done, though no node has made it: %s", id, body)
					} else {
						refused.Add(1)
					}
				}
				term := fmt.Sprintf("needle%06d", next.Add(1))
				status, body, err := search(term)
				found := needle.FindAllString(body, -1)
				l.log("search for %s: status %d, records of %v, error %v", term, status, found, err)
				foreign := false
				for _, name := range found {
					foreign = foreign || name != term
				}
				switch {
				case foreign:
					wrong.Add(1)
					l.log("FOREIGN: the client that searched for %s got %s", term, body)
				case err == nil && status == 200 && len(found) == 3:
					served.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	counts := fmt.Sprintf("%d second copies; of the searches %d were served, %d not or in part, %d with records of another search; "+
		"of the corrections that the nodes refuse %d were told so and %d were told done",
		sent.Load(), served.Load(), other.Load(), wrong.Load(), refused.Load(), untrue.Load())
	switch {
	case wrong.Load()+untrue.Load() > 0:
		l.finish(exitBroken, "%s", counts)
	case served.Load() < 500 || l.trouble && sent.Load() < 50:
		l.copyLog("mixer")
		l.finish(exitNotRun, "%s", counts)
	}
	l.finish(exitHeld, "%s", counts)
}
