package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientRequest is one request of a client on the platform's protocol.
type clientRequest struct {
	id     string
	class  string
	tenant string
	key    string // Idempotency-Key; empty: none
	retry  bool
	wait   time.Duration // X-Deadline
	body   string
}

// clientAnswer is what a client got: a status, or an error where the connection ended without a whole answer.
type clientAnswer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// ask sends a request on a connection of its own, and waits for the answer for as long as the client waits.
func ask(addr string, r clientRequest) clientAnswer {
	begin := time.Now()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer func() { _ = conn.Close() }()
	return askOn(conn, bufio.NewReader(conn), begin, r)
}

func askOn(conn net.Conn, reader *bufio.Reader, begin time.Time, r clientRequest) clientAnswer {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: %.3f\r\n",
		r.class, r.id, r.class, r.tenant, r.wait.Seconds())
	if r.key != "" {
		head += "Idempotency-Key: " + r.key + "\r\n"
	}
	if r.retry {
		head += "X-Retry: 1\r\n"
	}
	_ = conn.SetDeadline(begin.Add(r.wait + time.Second))
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(r.body), r.body); err != nil {
		return clientAnswer{err: err, took: time.Since(begin)}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return clientAnswer{err: err, took: time.Since(begin)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return clientAnswer{err: err, took: time.Since(begin)}
	}
	return clientAnswer{status: response.StatusCode, body: string(body), took: time.Since(begin)}
}

func (a clientAnswer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %v", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d %s after %v", a.status, a.body, a.took.Round(time.Millisecond))
}

// ready reports whether a mixer answers GET /healthz with 200.
func ready(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == 200
}
