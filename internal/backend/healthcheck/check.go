// Package healthcheck makes active health checks of servers. Each check is a connection of its own, bounded in time and in
// what it reads, whatever the server does: hangs, sends a byte a second, a megabyte, or nothing.
package healthcheck

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/z3950"
)

// userAgent names the program to the servers that it checks.
const userAgent = "rooktrestle-check"

// Check is one check of one server. Run may be called several times, and by several goroutines at once.
type Check struct {
	Profile *config.CheckProfile
	Addr    string     // of the server's check port
	Bridge  string     // of gRPC checks: the address of grpchealth
	Dial    tcp.Dialer // tcp.DialServerFirst outside tests: agents speak first and close
}

// Result is what a check found.
type Result struct {
	health.CheckResult
	TimedOut bool  // it took all its time
	Err      error // why no answer could be used; nil if there was one, good or bad
}

var (
	errTimeout      = errors.New("no answer in time")
	errNoAnswer     = errors.New("closed without an answer")
	errNotXML       = errors.New("explain: not XML")
	errInitRejected = errors.New("init: the association is refused")
)

// failed is the result of a check that found no usable answer.
func failed(err error) Result {
	result := health.CheckResult{Failed: true, Weight: -1, MaxConn: -1, Reason: err.Error()}
	return Result{CheckResult: result, Err: err}
}

// passed is the result of a check whose answer says nothing beyond that.
func passed() Result {
	return Result{CheckResult: health.CheckResult{Weight: -1, MaxConn: -1}}
}

// exchange is what a kind of check sends, where to, and how it reads the answer.
type exchange struct {
	addr    string
	request []byte  // empty: the server speaks first, or nothing is said
	decoder decoder // nil: no answer is read
}

// Run makes the check. It blocks for the profile's timeout at most.
func (c Check) Run() Result {
	timeout := c.Profile.Timeout.Duration
	deadline := time.Now().Add(timeout)
	exchange := c.exchange()
	reader := &answerReader{decoder: exchange.decoder, done: make(chan struct{})}
	conn, err := c.Dial(exchange.addr, timeout, func(*tcp.Conn) tcp.Handler { return reader })
	if err != nil {
		result := failed(dialCause(err))
		result.TimedOut = !time.Now().Before(deadline)
		return result
	}
	defer conn.Close(nil)
	if c.Profile.Kind == config.CheckTCP {
		return passed()
	}
	if len(exchange.request) > 0 {
		conn.Write(exchange.request, nil)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-reader.done:
		return reader.result
	case <-timer.C:
		result := failed(errTimeout)
		result.TimedOut = true
		return result
	}
}

// exchange returns what the profile's kind of check sends, and how it reads the answer.
func (c Check) exchange() exchange {
	profile := c.Profile
	switch profile.Kind {
	case config.CheckAgent:
		return exchange{addr: c.Addr, request: []byte(profile.Send), decoder: &agentDecoder{}}
	case config.CheckHTTP:
		return exchange{
			addr:    c.Addr,
			request: c.httpRequest(profile.Method, profile.Path, "User-Agent", userAgent),
			decoder: newHTTPDecoder(profile.Method, c.judgeHTTP),
		}
	case config.CheckSRU:
		target := "/" + url.PathEscape(profile.Database) + "?operation=explain&version=1.2"
		return exchange{
			addr:    c.Addr,
			request: c.httpRequest("GET", target),
			decoder: newHTTPDecoder("GET", judgeExplain),
		}
	case config.CheckZ3950:
		return exchange{addr: c.Addr, request: initRequest(), decoder: &initDecoder{}}
	case config.CheckGRPC:
		query := url.Values{"addr": {c.Addr}, "service": {profile.Service}, "timeout": {profile.Timeout.String()}}
		return exchange{
			addr:    c.Bridge,
			request: http1.Request("GET", "/check?"+query.Encode(), c.Bridge, nil, "Connection", "close"),
			decoder: newHTTPDecoder("GET", judgeBridge),
		}
	}
	return exchange{addr: c.Addr}
}

// httpRequest returns a request to the server, with more fields of the header as names and values in turn.
func (c Check) httpRequest(method, target string, fields ...string) []byte {
	host := cmp.Or(c.Profile.Host, c.Addr)
	return http1.Request(method, target, host, nil, append([]string{"Connection", "close"}, fields...)...)
}

// judgeHTTP judges an HTTP answer by the profile's expectation.
func (c Check) judgeHTTP(response *http1.Message) Result {
	judged := c.Profile.Expectation.Judge(response.Status, response.Header.Get, response.Body)
	result := Result{CheckResult: health.CheckResult{
		Failed:    !judged.Healthy,
		Immediate: judged.Immediate,
		Degraded:  judged.Degraded,
		Weight:    -1,
		MaxConn:   -1,
		Reason:    judged.Reason,
	}}
	switch {
	case judged.Drain:
		result.Admin = health.Drain
	case judged.Healthy:
		result.Admin = health.Ready
	default:
		result.Admin = health.AdminUnset
	}
	return result
}

// judgeBridge judges the answer of grpchealth, which makes gRPC checks for this program.
func judgeBridge(response *http1.Message) Result {
	if response.Status == 200 {
		return passed()
	}
	return failed(fmt.Errorf("%.100s", response.Body))
}

// initRequest returns a Z39.50 Init request.
func initRequest() []byte {
	return z3950.Constructed(z3950.InitRequest,
		z3950.BitString(z3950.FieldVersion, 0, 1, 2),
		z3950.BitString(z3950.FieldOptions, z3950.OptSearch, z3950.OptPresent),
		z3950.Integer(z3950.FieldPreferredMessageSize, z3950.MaxPDU),
		z3950.Integer(z3950.FieldExceptionalRecordSize, z3950.MaxPDU),
		z3950.String(z3950.FieldImplementationID, userAgent),
	).Encode(nil)
}

// dialCause is what is wrong with a dial without its address, which stands beside it anyway.
func dialCause(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Err != nil {
		return op.Err
	}
	return err
}
