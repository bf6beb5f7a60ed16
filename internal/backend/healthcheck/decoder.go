package healthcheck

import (
	"encoding/xml"
	"errors"
	"fmt"
	"strconv"

	"rooktrestle/internal/control/health"
	"rooktrestle/internal/protocol/agentcheck"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/z3950"
)

// decoder decodes the answer to one check. Both methods report whether they return a result. Neither is called after
// one has.
type decoder interface {
	feed(b []byte) (Result, bool)
	// end handles the end of the stream.
	end() (Result, bool)
}

// answerReader is the tcp.Handler of a check's connection. Once it has a result it drops all further bytes.
type answerReader struct {
	decoder decoder // nil: nothing is read
	decoded bool
	result  Result        // valid once done is closed
	done    chan struct{} // closed when result is set
}

// Data handles the bytes of one read.
func (r *answerReader) Data(b []byte) {
	if r.decoded || r.decoder == nil {
		return
	}
	if result, ok := r.decoder.feed(b); ok {
		r.finish(result)
	}
}

// Closed handles the end of the connection.
func (r *answerReader) Closed(err error) {
	if r.decoded || r.decoder == nil {
		return
	}
	if result, ok := r.decoder.end(); ok {
		r.finish(result)
		return
	}
	if err == nil {
		err = errNoAnswer
	}
	r.finish(failed(err))
}

func (r *answerReader) finish(result Result) {
	r.decoded = true
	r.result = result
	close(r.done)
}

// agentDecoder decodes the line that an agent sends.
type agentDecoder struct{ line agentcheck.Reader }

func (d *agentDecoder) feed(data []byte) (Result, bool) {
	report, err, done := d.line.Feed(data)
	return agentResult(report, err), done
}

func (d *agentDecoder) end() (Result, bool) {
	report, err := d.line.End()
	return agentResult(report, err), !errors.Is(err, agentcheck.ErrEmptyReport)
}

var adminStates = map[agentcheck.Admin]health.AdminState{
	agentcheck.Ready: health.Ready,
	agentcheck.Drain: health.Drain,
	agentcheck.Maint: health.Maintenance,
}

func agentResult(report agentcheck.Report, err error) Result {
	if err != nil {
		return failed(err)
	}
	result := Result{CheckResult: health.CheckResult{
		Weight:  report.Weight,
		MaxConn: report.MaxConn,
		Admin:   adminStates[report.Admin],
		Reason:  report.Description,
	}}
	switch {
	case report.State == "":
	case report.State.IsUp():
		result.Oper = health.Up
	default:
		result.Oper = health.Down
		if result.Reason == "" {
			result.Reason = string(report.State)
		}
	}
	return result
}

// httpDecoder decodes one HTTP answer and evaluates it.
type httpDecoder struct {
	parser   http1.Parser
	head     *http1.Message // of the answer to a HEAD request, which has no body whatever its Content-Length is
	evaluate func(*http1.Message) Result
}

func newHTTPDecoder(method string, evaluate func(*http1.Message) Result) *httpDecoder {
	d := &httpDecoder{parser: http1.Parser{Responses: true}, evaluate: evaluate}
	if method == "HEAD" {
		d.parser.Head = func(m *http1.Message) { d.head = m }
	}
	return d
}

func (d *httpDecoder) feed(b []byte) (Result, bool) {
	d.parser.Feed(b)
	m, err := d.parser.Next()
	if d.head != nil {
		m = d.head
		err = nil
	}
	switch {
	case err != nil:
		return failed(err), true
	case m != nil:
		return d.evaluate(m), true
	}
	return Result{}, false
}

func (d *httpDecoder) end() (Result, bool) {
	if m := d.parser.End(); m != nil {
		return d.evaluate(m), true
	}
	return Result{}, false
}

// evaluateExplain evaluates the answer to an SRU explain request.
func evaluateExplain(response *http1.Message) Result {
	var root struct{ XMLName xml.Name }
	switch err := xml.Unmarshal(response.Body, &root); {
	case response.Status != 200:
		return failed(errors.New("status " + strconv.Itoa(response.Status)))
	case err != nil:
		return failed(errNotXML)
	case root.XMLName.Local != "explainResponse":
		return failed(fmt.Errorf("explain: the answer is %.40q", root.XMLName.Local))
	}
	return passed()
}

// initDecoder decodes the answer to a Z39.50 Init request.
type initDecoder struct{ buf []byte }

func (d *initDecoder) feed(b []byte) (Result, bool) {
	d.buf = append(d.buf, b[:min(len(b), z3950.MaxPDU+1)]...)
	n, _, err := z3950.Decode(d.buf)
	switch {
	case errors.Is(err, z3950.ErrMore) && len(d.buf) <= z3950.MaxPDU:
		return Result{}, false
	case err != nil:
		return failed(err), true
	case n.Class != z3950.Context || n.Tag != z3950.InitResponse:
		return failed(fmt.Errorf("init: unit %d came back", n.Tag)), true
	case !n.Child(z3950.FieldInitResult).Bool():
		return failed(errInitRejected), true
	}
	return passed(), true
}

func (d *initDecoder) end() (Result, bool) { return Result{}, false }
