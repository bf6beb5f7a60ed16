// Package healthcheck performs active health checks of servers. Each check opens its own connection, and its duration
// and the number of bytes that it reads are bounded, even if the server hangs, sends slowly or sends without end.
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

// userAgent identifies the program to the servers that it checks.
const userAgent = "rooktrestle-check"

// Check is one check of one server. Run may be called repeatedly and concurrently.
type Check struct {
	Profile *config.CheckProfile
	Addr    string     // of the server's check port
	Bridge  string     // address of grpchealth, for gRPC checks
	Dial    tcp.Dialer // tcp.Dial outside tests, since agents send first and close the connection
}

// Result is the result of a check.
type Result struct {
	health.CheckResult
	TimedOut bool  // the timeout elapsed
	Err      error // why there was no usable answer; nil if there was one, healthy or not
}

var (
	errTimeout      = errors.New("no answer in time")
	errNoAnswer     = errors.New("closed without an answer")
	errNotXML       = errors.New("explain: not XML")
	errInitRejected = errors.New("init: the association is refused")
)

// failed returns the result of a check without a usable answer.
func failed(err error) Result {
	result := health.CheckResult{Failed: true, Weight: -1, MaxConn: -1, Reason: err.Error()}
	return Result{CheckResult: result, Err: err}
}

// passed returns the result of a successful check whose answer gives neither states nor limits.
func passed() Result {
	return Result{CheckResult: health.CheckResult{Weight: -1, MaxConn: -1}}
}

// exchange describes what a kind of check sends, to which address, and how the answer is decoded.
type exchange struct {
	addr    string
	request []byte  // empty: the server sends first, or nothing is sent
	decoder decoder // nil: no answer is read
}

// Run performs the check. It blocks for at most the profile's timeout.
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

// exchange returns the exchange for the profile's kind of check.
func (c Check) exchange() exchange {
	profile := c.Profile
	switch profile.Kind {
	case config.CheckAgent:
		return exchange{addr: c.Addr, request: []byte(profile.Send), decoder: &agentDecoder{}}
	case config.CheckHTTP:
		return exchange{
			addr:    c.Addr,
			request: c.httpRequest(profile.Method, profile.Path, "User-Agent", userAgent),
			decoder: newHTTPDecoder(profile.Method, c.evaluateHTTP),
		}
	case config.CheckSRU:
		target := "/" + url.PathEscape(profile.Database) + "?operation=explain&version=1.2"
		return exchange{
			addr:    c.Addr,
			request: c.httpRequest("GET", target),
			decoder: newHTTPDecoder("GET", evaluateExplain),
		}
	case config.CheckZ3950:
		return exchange{addr: c.Addr, request: initRequest(), decoder: &initDecoder{}}
	case config.CheckGRPC:
		query := url.Values{"addr": {c.Addr}, "service": {profile.Service}, "timeout": {profile.Timeout.String()}}
		return exchange{
			addr:    c.Bridge,
			request: http1.Request("GET", "/check?"+query.Encode(), c.Bridge, nil, "Connection", "close"),
			decoder: newHTTPDecoder("GET", evaluateBridge),
		}
	}
	return exchange{addr: c.Addr}
}

// httpRequest returns a request to the server. fields are additional header fields, as alternating names and values.
func (c Check) httpRequest(method, target string, fields ...string) []byte {
	host := cmp.Or(c.Profile.Host, c.Addr)
	return http1.Request(method, target, host, nil, append([]string{"Connection", "close"}, fields...)...)
}

// evaluateHTTP evaluates an HTTP answer by the profile's expectation.
func (c Check) evaluateHTTP(response *http1.Message) Result {
	evaluation := c.Profile.Expectation.Evaluate(response.Status, response.Header.Get, response.Body)
	result := Result{CheckResult: health.CheckResult{
		Failed:    !evaluation.Healthy,
		Immediate: evaluation.Immediate,
		Degraded:  evaluation.Degraded,
		Weight:    -1,
		MaxConn:   -1,
		Reason:    evaluation.Reason,
	}}
	switch {
	case evaluation.Drain:
		result.Admin = health.Drain
	case evaluation.Healthy:
		result.Admin = health.Ready
	default:
		result.Admin = health.AdminUnset
	}
	return result
}

// evaluateBridge evaluates the answer of grpchealth, which performs gRPC checks for this program.
func evaluateBridge(response *http1.Message) Result {
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

// dialCause returns the cause of a dial error without the address, which is shown next to it anyway.
func dialCause(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Err != nil {
		return op.Err
	}
	return err
}
