package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// leafServer is a fake leaf server, which answers parts by calling act.
type leafServer struct {
	addr  string
	mu    sync.Mutex
	parts []string // lines of the parts received
	act   func(name string, conn net.Conn) (answer string)
}

func newLeaf(t *testing.T, act func(name string, conn net.Conn) string) *leafServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(ln) })
	l := &leafServer{addr: ln.Addr().String(), act: act}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l
}

func writeFrame(w io.Writer, letter byte, rest string) {
	n := len(rest) + 1
	send(w, string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n), letter})+rest)
}

func (l *leafServer) serve(c net.Conn) {
	defer closeQuietly(c)
	in := bufio.NewReader(c)
	for {
		var head [5]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		rest := make([]byte, int(head[0])<<24|int(head[1])<<16|int(head[2])<<8|int(head[3])-1)
		if _, err := io.ReadFull(in, rest); err != nil {
			return
		}
		switch head[4] {
		case '4':
			writeFrame(c, '4', "queue=0")
		case '1':
			for text := string(rest); text != ""; {
				line, after, _ := strings.Cut(text, "\n")
				f := strings.Split(line, " ")
				size, _ := strconv.Atoi(f[len(f)-1])
				l.mu.Lock()
				l.parts = append(l.parts, line+" "+after[:size])
				l.mu.Unlock()
				text = after[size:]
				if answer := l.act(f[0], c); answer != "" {
					writeFrame(c, '5', f[0]+" "+answer)
				}
			}
		}
	}
}

func (l *leafServer) received() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.parts...)
}

const platformSettings = `{"classes":[
 {"name":"report","aim":2500000,"credit":2,"deadline":7500000,"effect":"safe","late_worth":0.1},
 {"name":"search","aim":1500000,"credit":1,"deadline":4000000,"effect":"safe","late_worth":0.3},
 {"name":"correction","aim":1500000,"credit":1,"deadline":3000000,"effect":"unsafe","late_worth":0.3}],
 "extra":{"cells":2,"class_floor":[0.5,1,1],"follow_up":[2,0,0],"in_a_row":2,"incomplete_worth":[0.8,0.9,0.9],
  "need_by_class":[1,1,1],"per_call":1,"slices":4},
 "limits":{"cancel":true,"conn_idle":15000000,"connect_timeout":250000,"max_open":100,
  "max_retry_after":1000000,"probing":true,"send_cap":4,"streams_per_conn":100},
 "load_info":{"fields":["pending"],"how":"pull"},"n_instances":1,"orgs":[{"name":"tv","quota_per_s":100,"share":1}],
 "rules":{"cold":16000000,"cold_from":0.28,"fall":2000000,"tip_multiple":3},"tick":5000,"zone":0,"zones":["a","b"]}`

// testTimeout is a time limit that no test reaches, even on a busy machine.
const testTimeout = time.Minute

// deadlineHeader formats a deadline as the value of X-Deadline, in seconds.
func deadlineHeader(deadline time.Duration) string {
	return strconv.FormatFloat(deadline.Seconds(), 'f', 1, 64)
}

// testDeadline is testTimeout as a value of X-Deadline.
var testDeadline = deadlineHeader(testTimeout)

// timeLimits matches the settings, in microseconds, by which an answer would depend on the speed of the machine.
var timeLimits = regexp.MustCompile(`"(aim|deadline|connect_timeout)":\d+`)

// untimedSettings returns the platform's settings for n instances, with all of timeLimits set to testTimeout.
func untimedSettings(n int) string {
	patient := fmt.Sprintf(`"$1":%d`, testTimeout.Microseconds())
	settings := timeLimits.ReplaceAllString(platformSettings, patient)
	return strings.Replace(settings, `"n_instances":1`, fmt.Sprintf(`"n_instances":%d`, n), 1)
}

// listOf returns the endpoint list of leaf servers, of which the one at index drains is draining; negative: none.
func listOf(leaves []*leafServer, drains int) string {
	var lines []string
	for i, l := range leaves {
		state := "SERVING"
		if i == drains {
			state = "DRAINING"
		}
		line := fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"a","kind":"m","cell":%d,"state":%q,"weight":1,"started_ms":0}`,
			i, l.addr, i, state)
		lines = append(lines, line)
	}
	return fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, strings.Join(lines, ","))
}

// newDiscovery starts a fake discovery service that lists these leaf servers, and returns its address.
func newDiscovery(t *testing.T, leaves ...*leafServer) string {
	list := listOf(leaves, -1)
	disco := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/servers" {
			w.WriteHeader(404)
			return
		}
		send(w, list+"\n")
		if r.URL.Query().Get("stream") != "1" {
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(disco.CloseClientConnections)
	return strings.TrimPrefix(disco.URL, "http://")
}

// singleInstance has the configuration keys of an instance without peers.
const singleInstance = `"name":"n0","seed":"8c1f30d27a5be964"`

// writeConfig writes the platform's configuration of a single instance without time limits.
func writeConfig(t *testing.T, path, discovery string) {
	writeConfigWith(t, path, discovery, untimedSettings(1), singleInstance)
}

// writeConfigWith writes a configuration with these settings and additional keys.
func writeConfigWith(t *testing.T, path, discovery, settings, keys string) {
	conf := fmt.Sprintf(`{%s,"listen":"127.0.0.1:0","discovery":%q,
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"version":0,"full":true,"servers":[]},
		"settings":%s}`, keys, discovery, settings)
	writeFile(t, path, conf)
}

// valueOf returns the value with which fake leaf servers answer a part.
func valueOf(name string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // a hash's Write returns no error
	return fmt.Sprintf("%016x", h.Sum64())
}

func answerValue(name string, _ net.Conn) string { return "S 7 -\n" + valueOf(name) }
