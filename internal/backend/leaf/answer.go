package leaf

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"rooktrestle/balance"
	"rooktrestle/internal/settings"
)

// answerStatus is the outcome of an attempt as its server reports it.
type answerStatus byte

// Statuses of an answer, as encoded in a frame.
const (
	statusServed answerStatus = 'S'
	statusError  answerStatus = 'E'
	statusBusy   answerStatus = 'B' // rejected: the server's queue is full
)

func (s answerStatus) valid() bool {
	return s == statusServed || s == statusError || s == statusBusy
}

// probeFailed is the payload of a probe's answer by which a server reports that it cannot serve.
const probeFailed = "E"

// answer is the decoded payload of an answer frame: a first line and, if the attempt was served, a value.
type answer struct {
	name   string // of the part
	status answerStatus
	score  float64             // of a served part
	report *balance.LoadReport // nil: none
	value  string
}

func parseAnswer(payload []byte) (answer, error) {
	line, value, ok := strings.Cut(string(payload), "\n")
	if !ok {
		return answer{}, fmt.Errorf("answer without a line end: %.80q", line)
	}
	a, err := parseAnswerLine(line)
	a.value = value
	if err == nil && a.status == statusServed && !isValidValue(value) {
		err = fmt.Errorf("answer value %.80q is not %d lowercase hexadecimal digits", value, valueLen)
	}
	return a, err
}

// parseAnswerLine parses an answer's first line: name, status, score and load report. The report is optional: an answer
// whose report is missing or cannot be parsed is valid.
func parseAnswerLine(line string) (a answer, err error) {
	fields := strings.SplitN(line, " ", 4)
	if len(fields) < 3 || fields[0] == "" || len(fields[1]) != 1 {
		return a, fmt.Errorf("malformed answer line %.80q, want NAME STATUS SCORE [REPORT]", line)
	}
	status := answerStatus(fields[1][0])
	if !status.valid() {
		return a, fmt.Errorf("unknown status in answer line %.80q, want S, E or B", line)
	}
	a = answer{name: fields[0], status: status}
	a.score, err = strconv.ParseFloat(fields[2], 64)
	if a.status == statusServed && (err != nil || math.IsNaN(a.score) || math.IsInf(a.score, 0)) {
		return a, fmt.Errorf("answer score %.80q is not a finite number", fields[2])
	}
	if len(fields) == 4 {
		a.report = parseReport(fields[3])
	}
	return a, nil
}

// isValidValue reports whether a value has the form that leaf servers produce. Guards against serving a value that a
// corrupt length has truncated or extended.
func isValidValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(value) == valueLen
}

// maxLoadValue is the highest value accepted from a load report; a higher one is an error of the server.
const maxLoadValue = 1e5

// parseReport parses a load report: comma-separated "name=value" pairs. It returns nil if there is no report or nothing in
// it can be parsed. Unknown names are skipped.
func parseReport(text string) *balance.LoadReport {
	if text == "-" || text == "" || text == probeFailed {
		return nil
	}
	report := &balance.LoadReport{Queue: -1, InFlight: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, valueText, _ := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(valueText, 64)
		if err != nil || !(value >= 0) || value > maxLoadValue { // a NaN is not >= 0
			continue
		}
		// Leaf servers use the names of the settings or those of the protocol's specification.
		settings.SetLoadValue(report, name, value)
	}
	// A report without a parsable value must not be taken for an empty queue.
	if report.Queue < 0 && report.InFlight < 0 && report.Utilization < 0 {
		return nil
	}
	return report
}
