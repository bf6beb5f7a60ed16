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

// Answer is what one search came to, compared with the archive's known content.
type Answer struct {
	Outcome          client.Outcome
	Violation        string // what is not as it should be; empty: nothing
	CompleteFraction float64
}

var (
	countOf  = regexp.MustCompile(`<numberOfRecords>(\d+)<`)
	dcOf     = regexp.MustCompile(`<dc:identifier>([^<]*)<`)
	included = regexp.MustCompile(`(\d+) of (\d+) blocks are in, ([\d.]+)% of the weight`)
)

// Search asks a front over SRU for everything, and checks what comes.
func (a *Archive) Search(web *http.Client, addr, base string) Answer {
	v := url.Values{"operation": {"searchRetrieve"}, "version": {"1.2"}, "query": {"line"}, "maximumRecords": {"2000"}}
	resp, err := web.Get("http://" + addr + "/" + base + "?" + v.Encode())
	if err != nil {
		return Answer{Outcome: client.Disconnected}
	}
	defer resp.Body.Close()
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
		return a.partial(text)
	case strings.Contains(text, "<diagnostic "):
		return Answer{Outcome: client.Failed}
	}
	return Answer{Outcome: client.Complete, Violation: a.compare(text, true), CompleteFraction: 1}
}

// ids are the records of an answer, and how many it says there are.
func ids(text string) (list []string, count int) {
	for _, m := range dcOf.FindAllStringSubmatch(text, -1) {
		list = append(list, m[1])
	}
	if m := countOf.FindStringSubmatch(text); m != nil {
		count, _ = strconv.Atoi(m[1])
	}
	return list, count
}

// compare holds an answer against the content: each record exactly once and in order if it is whole, none twice and
// none that is not there if it is not; the count is that of the records in it.
func (a *Archive) compare(text string, whole bool) string {
	list, count := ids(text)
	if count != len(list) {
		return fmt.Sprintf("%d records, and %d are told", len(list), count)
	}
	if !slices.IsSorted(list) {
		return "the records are out of order"
	}
	for i, id := range list {
		if i > 0 && list[i-1] == id {
			return id + " stands twice"
		}
		if _, ok := slices.BinarySearch(a.Content.IDs, id); !ok {
			return id + " is not in the archive"
		}
	}
	if whole && len(list) != len(a.Content.IDs) {
		return fmt.Sprintf("whole, and %d of %d records", len(list), len(a.Content.IDs))
	}
	return ""
}

// partial checks an answer that says that it is not whole: blocks are in as a whole, and the share of the weight that
// it tells is that of its records, as blocks weigh what they hold at the start and halves of it after a split.
func (a *Archive) partial(text string) Answer {
	out := Answer{Outcome: client.Partial, Violation: a.compare(text, false)}
	m := included.FindStringSubmatch(text)
	if m == nil {
		out.Violation = "partial, and how much of it is not told"
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

// Correct makes a correction over SRU.
func (a *Archive) Correct(web *http.Client, addr, id string) client.Outcome {
	resp, err := web.Post("http://"+addr+"/captions", "text/xml", strings.NewReader(client.UpdateXML(id)))
	if err != nil {
		return client.Disconnected
	}
	defer resp.Body.Close()
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

// NewHTTPClient is a caller's HTTP, which gives up after a time.
func NewHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}
