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

// Answer is the outcome of one search, and of the comparison with the archive's content.
type Answer struct {
	Outcome          client.Outcome
	Violation        string // first difference from the content; empty: none
	CompleteFraction float64
}

// Patterns of the fields that are read from answers.
var (
	recordCountPattern = regexp.MustCompile(`<numberOfRecords>(\d+)<`)
	identifierPattern  = regexp.MustCompile(`<dc:identifier>([^<]*)<`)
	includedPattern    = regexp.MustCompile(`(\d+) of (\d+) blocks are in, ([\d.]+)% of the weight`)
)

// Search searches a frontend over SRU for all records, and checks the answer.
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
	defer func() { _ = resp.Body.Close() }() // the body is only read
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

// recordIDs returns the identifiers of the records in an answer, and the record count that the answer states.
func recordIDs(text string) (ids []string, count int) {
	for _, match := range identifierPattern.FindAllStringSubmatch(text, -1) {
		ids = append(ids, match[1])
	}
	if match := recordCountPattern.FindStringSubmatch(text); match != nil {
		count, _ = strconv.Atoi(match[1]) // the pattern matches digits only
	}
	return ids, count
}

// checkRecords checks that the records of an answer are in order, without duplicates, and all in the archive, and that
// the stated count is the number of records. It returns the first violation; empty: none.
func (a *Archive) checkRecords(text string) (violation string) {
	ids, count := recordIDs(text)
	if count != len(ids) {
		return fmt.Sprintf("%d records, but the stated count is %d", len(ids), count)
	}
	if !slices.IsSorted(ids) {
		return "the records are out of order"
	}
	for i, id := range ids {
		if i > 0 && ids[i-1] == id {
			return id + " is returned twice"
		}
		if _, found := slices.BinarySearch(a.Content.IDs, id); !found {
			return id + " is not in the archive"
		}
	}
	return ""
}

// checkCompleteRecords also checks that an answer has every record of the archive.
func (a *Archive) checkCompleteRecords(text string) (violation string) {
	if violation = a.checkRecords(text); violation != "" {
		return violation
	}
	if ids, _ := recordIDs(text); len(ids) != len(a.Content.IDs) {
		return fmt.Sprintf("marked complete, but has %d of %d records", len(ids), len(a.Content.IDs))
	}
	return ""
}

// checkPartial checks an answer that is marked partial: its stated number of shards and fraction of the weight must be
// possible for a partial answer.
func (a *Archive) checkPartial(text string) Answer {
	answer := Answer{Outcome: client.Partial, Violation: a.checkRecords(text)}
	match := includedPattern.FindStringSubmatch(text)
	if match == nil {
		answer.Violation = "marked partial, but the answer does not state how much is missing"
		return answer
	}
	// The pattern matches digits and dots only. A malformed percentage such as "1.2.3" gives 0, which is a violation.
	included, _ := strconv.Atoi(match[1])
	total, _ := strconv.Atoi(match[2])
	percent, _ := strconv.ParseFloat(match[3], 64)
	answer.CompleteFraction = percent / 100
	if included >= total || percent > maxPartialPercent || percent < minPartialPercent {
		answer.Violation = "partial: " + match[0]
	}
	return answer
}

// Bounds of the percentage of the weight that a partial answer states.
const (
	minPartialPercent = 50    // the floor of coverage-report
	maxPartialPercent = 99.95 // larger values are printed as 100.0
)

// Correct sends a correction over SRU. id is the identifier of a record with a suffix that makes the correction unique.
func (a *Archive) Correct(web *http.Client, addr, id string) client.Outcome {
	resp, err := web.Post("http://"+addr+"/captions", "text/xml", strings.NewReader(client.UpdateXML(id)))
	if err != nil {
		return client.Disconnected
	}
	defer func() { _ = resp.Body.Close() }() // the body is only read
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

// NewHTTPClient returns a client; timeout applies to each call.
func NewHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}
