package http1

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// parseAll feeds text in pieces that end at the cuts. It returns the messages and the status of the error; 0: no error.
func parseAll(text string, cuts ...int) (messages []Message, status int) {
	var parser Parser
	from := 0
	for _, to := range append(cuts, len(text)) {
		if to <= from || to > len(text) {
			continue
		}
		parser.Feed([]byte(text[from:to]))
		from = to
		for {
			message, err := parser.Next()
			var rejected *Error
			if errors.As(err, &rejected) {
				return messages, rejected.Status
			}
			if message == nil {
				break
			}
			messages = append(messages, *message)
		}
	}
	return messages, 0
}

func TestParser_Requests(t *testing.T) {
	all, status := parseAll("\r\nPOST /a?b HTTP/1.1\r\nX-One: 1\r\nx-one: 2\r\nContent-Length: 3\r\n\r\nabc" +
		"POST / HTTP/1.0\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n")
	if status != 0 || len(all) != 2 || all[0].Header.Get("X-ONE") != "1,2" || string(all[0].Body) != "abc" || all[0].Close ||
		string(all[1].Body) != "abcde" || !all[1].Close {
		t.Errorf("status %d, messages %+v", status, all)
	}
}

func TestParser_RejectedRequests(t *testing.T) {
	for text, want := range map[string]int{
		"GET /\r\n\r\n":                             400,
		"GET / HTTP/2.0\r\n\r\n":                    505,
		"G(T / HTTP/1.1\r\n\r\n":                    400,
		"GET / HTTP/1.1\r\nA : b\r\n\r\n":           400,
		"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                               400,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                                   400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                      400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                                              501,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                                     400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                                400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff1\r\n" + strings.Repeat("x", MaxBody+1): 413,
		"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                                413,
		"GET / HTTP/1.1\r\n" + strings.Repeat("a", MaxHead):                                               431,
		"GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", MaxFields+1) + "\r\n":                           431,
	} {
		if _, status := parseAll(text); status != want {
			t.Errorf("%.60q: %d, want %d", text, status, want)
		}
	}
}

func TestParser_ResponseUntilTheEndOfTheStream(t *testing.T) {
	p := Parser{Responses: true}
	p.Feed([]byte("HTTP/1.1 200 OK\r\n\r\nuntil the end"))
	if m, err := p.Next(); m != nil || err != nil {
		t.Errorf("before the end: %+v, %v", m, err)
	}
	if m := p.End(); m == nil || string(m.Body) != "until the end" || m.Status != 200 {
		t.Errorf("at the end: %+v", m)
	}
}

// FuzzParser checks that the messages and the error don't depend on how the stream is split, and that a formatted
// request parses back to the same request.
func FuzzParser(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /x HTTP/1.1\r\n\r\n", 20, 41)
	f.Add("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 47, 50)
	f.Add("GET / HTTP/1.1\r\nA: b\r\nnonsense\r\n\r\n", 3, 18)
	f.Fuzz(func(t *testing.T, text string, a, b int) {
		complete, status := parseAll(text)
		if cut, s := parseAll(text, a, b); s != status || !reflect.DeepEqual(cut, complete) {
			t.Fatalf("at once: %d %+v; in pieces: %d %+v", status, complete, s, cut)
		}
		for _, m := range complete {
			again, _ := parseAll(string(Request(m.Method, m.Target, "h", m.Body)))
			if len(again) != 1 || again[0].Target != m.Target || string(again[0].Body) != string(m.Body) {
				t.Fatalf("%+v formatted and parsed: %+v", m, again)
			}
		}
	})
}
