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

var (
	countOf  = regexp.MustCompile(`<numberOfRecords>(\d+)<`)
	dcOf     = regexp.MustCompile(`<dc:identifier>([^<]*)<`)
	included = regexp.MustCompile(`(\d+) of (\d+) blocks are in, ([\d.]+)% of the weight`)
)

// Search searches a frontend for everything over SRU, and checks the answer.
func (a *Archive) Search(web *http.Client, addr, base string) Answer {
	v := url.Values{"operation": {"searchRetrieve"}, "version": {"1.2"}, "query": {"line"}, "maximumRecords": {"2000"}}
	resp, err := web.Get("http://" + addr + "/" + base + "?" + v.Encode())
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
	return Answer{Outcome: client.Complete, Violation: a.checkRecords(text, true), CompleteFraction: 1}
}

// recordIDs are the identifiers in an answer, and how many records it says there are.
func recordIDs(text string) (list []string, count int) {
	for _, m := range dcOf.FindAllStringSubmatch(text, -1) {
		list = append(list, m[1])
	}
	if m := countOf.FindStringSubmatch(text); m != nil {
		count, _ = strconv.Atoi(m[1])
	}
	return list, count
}

// checkRecords compares an answer with the content: each record exactly once and in order if it is complete, else none twice
// and none that is not in the archive. The count is that of the records in the answer.
func (a *Archive) checkRecords(text string, complete bool) string {
	list, count := recordIDs(text)
	if count != len(list) {
		return fmt.Sprintf("%d records, and the count says %d", len(list), count)
	}
	if !slices.IsSorted(list) {
		return "the records are out of order"
	}
	for i, id := range list {
		if i > 0 && list[i-1] == id {
			return id + " is there twice"
		}
		if _, ok := slices.BinarySearch(a.Content.IDs, id); !ok {
			return id + " is not in the archive"
		}
	}
	if complete && len(list) != len(a.Content.IDs) {
		return fmt.Sprintf("complete, and %d of %d records", len(list), len(a.Content.IDs))
	}
	return ""
}

// checkPartial checks an answer that says that it is partial: what it says of its shards and of its fraction of the weight
// has to be possible.
func (a *Archive) checkPartial(text string) Answer {
	out := Answer{Outcome: client.Partial, Violation: a.checkRecords(text, false)}
	m := included.FindStringSubmatch(text)
	if m == nil {
		out.Violation = "partial, and the answer does not say how much is missing"
		return out
	}
	in, _ := strconv.Atoi(m[1])
	of, _ := strconv.Atoi(m[2])
	share, _ := strconv.ParseFloat(m[3], 64)
	if out.CompleteFraction = share / 100; in >= of || share > 99.95 || share < 50 {
		out.Violation = "partial: " + m[0]
	}
	return out
}

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
