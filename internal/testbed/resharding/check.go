package resharding

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"rooktrestle/internal/testbed/client"
)

// Answer is what one search came to, compared with the archive's content.
type Answer struct {
	Outcome          client.Outcome
	Violation        string // how it differs from the content; empty: not at all
	CompleteFraction float64
}

// What is read from answers.
var (
	recordCountPattern = regexp.MustCompile(`<numberOfRecords>(\d+)<`)
	identifierPattern  = regexp.MustCompile(`<dc:identifier>([^<]*)<`)
	includedPattern    = regexp.MustCompile(`(\d+) of (\d+) blocks are in, ([\d.]+)% of the weight`)
)

// Search searches a frontend for everything over SRU, and checks the answer.
func (a *Archive) Search(web *http.Client, addr, base string) Answer {
	parameters := url.Values{
		"operation":      {"searchRetrieve"},
		"version":        {"1.2"},
		"query":          {"line"},
		"maximumRecords": {"2000"},
	}
	resp, err := web.Get("http://" + addr + "/" + base + "?" + parameters.Encode())
	if err != nil {
		return Answer{Outcome: client.Disconnected}
	}
	defer func() { _ = resp.Body.Close() }() // read only: nothing is lost
	raw, err := io.ReadAll(resp.Body)
	text := string(raw)
	switch {
	case err != nil:
		return Answer{Outcome: client.Disconnected}
	case resp.StatusCode == 503:
		return Answer{Outcome: client.Rejected}
	case resp.StatusCode != 200:
		return Answer{Outcome: client.Failed}
	case strings.Contains(text, "diagnostic/1/59<"):
		return a.checkPartial(text)
	case strings.Contains(text, "<diagnostic "):
		return Answer{Outcome: client.Failed}
	}
	return Answer{
		Outcome:          client.Complete,
		Violation:        a.checkCompleteRecords(text),
		CompleteFraction: 1,
	}
}

// recordIDs are the identifiers in an answer, and how many records it says there are.
func recordIDs(text string) (ids []string, count int) {
	for _, match := range identifierPattern.FindAllStringSubmatch(text, -1) {
		ids = append(ids, match[1])
	}
	if match := recordCountPattern.FindStringSubmatch(text); match != nil {
		count, _ = strconv.Atoi(match[1]) // it consists of digits
	}
	return ids, count
}

// checkRecords compares the records of an answer with the content: they are in order, none is there twice, and none
// is not in the archive. The count has to be that of the records in the answer. It returns the first violation;
// empty: none.
func (a *Archive) checkRecords(text string) (violation string) {
	ids, count := recordIDs(text)
	if count != len(ids) {
		return fmt.Sprintf("%d records, and the count says %d", len(ids), count)
	}
	if !slices.IsSorted(ids) {
		return "the records are out of order"
	}
	for i, id := range ids {
		if i > 0 && ids[i-1] == id {
			return id + " is there twice"
		}
		if _, found := slices.BinarySearch(a.Content.IDs, id); !found {
			return id + " is not in the archive"
		}
	}
	return ""
}

// checkCompleteRecords is checkRecords for a complete answer, which has every record.
func (a *Archive) checkCompleteRecords(text string) (violation string) {
	if violation = a.checkRecords(text); violation != "" {
		return violation
	}
	if ids, _ := recordIDs(text); len(ids) != len(a.Content.IDs) {
		return fmt.Sprintf("complete, and %d of %d records", len(ids), len(a.Content.IDs))
	}
	return ""
}

// checkPartial checks an answer that is marked partial: what it says of its shards and of its fraction of the weight
// has to be possible.
func (a *Archive) checkPartial(text string) Answer {
	answer := Answer{Outcome: client.Partial, Violation: a.checkRecords(text)}
	match := includedPattern.FindStringSubmatch(text)
	if match == nil {
		answer.Violation = "partial, and the answer does not say how much is missing"
		return answer
	}
	// The pattern allows numbers only; of "1.2.3" as a percentage 0 is read, which is a violation.
	included, _ := strconv.Atoi(match[1])
	total, _ := strconv.Atoi(match[2])
	percent, _ := strconv.ParseFloat(match[3], 64)
	answer.CompleteFraction = percent / 100
	if included >= total || percent > maxPartialPercent || percent < minPartialPercent {
		answer.Violation = "partial: " + match[0]
	}
	return answer
}

// What a partial answer may have, in percent of the weight.
const (
	minPartialPercent = 50    // the floor of coverage-report
	maxPartialPercent = 99.95 // more is printed as 100.0
)

// Correct makes a correction over SRU. Its id is that of a record, with a suffix that tells corrections apart.
func (a *Archive) Correct(web *http.Client, addr, id string) client.Outcome {
	resp, err := web.Post("http://"+addr+"/captions", "text/xml", strings.NewReader(client.UpdateXML(id)))
	if err != nil {
		return client.Disconnected
	}
	defer func() { _ = resp.Body.Close() }() // read only: nothing is lost
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return client.Disconnected
	case resp.StatusCode == 503:
		return client.Rejected
	case strings.Contains(string(text), "<operationStatus>success<"):
		return client.Complete
	}
	return client.Failed
}

// NewHTTPClient returns a client whose calls give up after timeout.
func NewHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}
