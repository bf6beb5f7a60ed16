package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/protocol/http1"
)

const (
	weightTolerance = 1e-3 // by which the weights of a query may miss 1: they come rounded
	maxDeadline     = 1e6  // seconds that a client may state
	maxWorkHint     = 1e12 // microseconds that a client may state
	maxIDLength     = 128
	termLength      = 16 // hexadecimal digits
)

// Errors of a query's body. The client reads them after a 400.
var (
	errNotUTF8    = errors.New("body: not UTF-8")
	errIncomplete = errors.New("body: no slices, or no filter")
)

// queryBody is the JSON of a query.
type queryBody struct {
	Slices []querySlice `json:"slices"`
	Filter *string      `json:"filter"`
}

// querySlice is the part of a query that one shard answers.
type querySlice struct {
	Shard    *int    `json:"slice"`
	Weight   float64 `json:"mass"`
	WorkHint float64 `json:"micros"`
	Term     string  `json:"term"`
}

// parseRequest decodes a query. arrived is when its first byte came. An error is meant for the client.
func (f *Frontend) parseRequest(
	vocabulary *Vocabulary, m *http1.Message, class int, arrived time.Time,
) (*aggregator.Request, error) {
	request := &aggregator.Request{Class: class, Arrived: arrived}
	if err := parseHeader(vocabulary, m.Header, request); err != nil {
		return nil, err
	}
	body, err := decodeBody(m.Body)
	if err != nil {
		return nil, err
	}
	request.Payload = *body.Filter
	if err := f.addParts(body.Slices, request); err != nil {
		return nil, err
	}
	return request, nil
}

// parseHeader reads what the header states of a request.
func parseHeader(vocabulary *Vocabulary, header http1.Header, request *aggregator.Request) error {
	request.ID, request.IsRetry = header.Get("X-Request-Id"), header.Get("X-Retry") == "1"
	if !validID(request.ID) {
		return fmt.Errorf("X-Request-Id %q", request.ID)
	}
	if stated := header.Get("X-Class"); stated != "" {
		if class, ok := vocabulary.class(stated, request.Arrived); !ok || class != request.Class {
			return fmt.Errorf("X-Class %q does not go with the path", stated)
		}
	}
	if name := header.Get("X-Tenant"); name != "" || len(vocabulary.Tenants) > 0 {
		tenant, ok := vocabulary.tenant(name, request.Arrived)
		if !ok {
			return fmt.Errorf("X-Tenant %q", name)
		}
		request.Tenant = tenant
	}
	deadline, err := parseDeadline(header.Get("X-Deadline"))
	if err != nil {
		return err
	}
	request.Timeout = min(deadline, vocabulary.MaxTimeout)
	return nil
}

// parseDeadline reads a number of seconds from the request's arrival. Digits and a point only: what else strconv takes
// for a number is none here.
func parseDeadline(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(seconds > 0) || seconds > maxDeadline {
		return 0, fmt.Errorf("X-Deadline %q", text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func decodeBody(text []byte) (queryBody, error) {
	var body queryBody
	if !utf8.Valid(text) { // it would reach the leaf servers changed
		return queryBody{}, errNotUTF8
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return queryBody{}, fmt.Errorf("body: %w", err)
	}
	if len(body.Slices) == 0 || body.Filter == nil || *body.Filter == "" {
		return queryBody{}, errIncomplete
	}
	return body, nil
}

// addParts adds a query's parts and its key, which is the first term that is stated.
func (f *Frontend) addParts(parts []querySlice, request *aggregator.Request) error {
	seen, sum := map[int]bool{}, 0.0
	for _, part := range parts {
		if part.Shard == nil || *part.Shard < 0 || *part.Shard >= f.options.Shards || seen[*part.Shard] {
			return fmt.Errorf("body: a slice that is missing, twice there or not within 0 to %d", f.options.Shards-1)
		}
		if err := part.validate(); err != nil {
			return err
		}
		seen[*part.Shard] = true
		sum += part.Weight
		request.Parts = append(request.Parts, aggregator.PartSpec{
			Shard:    *part.Shard,
			Weight:   part.Weight,
			WorkHint: time.Duration(part.WorkHint * float64(time.Microsecond)),
		})
		if request.Key == "" {
			request.Key = part.Term
		}
	}
	// Guards against weights that put a complete answer out of reach, or make one of a part.
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("body: masses add up to %v", sum)
	}
	for i := range request.Parts { // what rounding took would be missing from a complete answer
		request.Parts[i].Weight /= sum
	}
	return nil
}

// validate checks the fields of a part but its shard. A NaN fails.
func (p querySlice) validate() error {
	if !(p.Weight >= 0 && p.Weight <= 1) || !(p.WorkHint >= 0 && p.WorkHint < maxWorkHint) {
		return fmt.Errorf("body: slice %d: mass %v, micros %v", *p.Shard, p.Weight, p.WorkHint)
	}
	if p.Term != "" && (len(p.Term) != termLength || strings.Trim(p.Term, "0123456789abcdefABCDEF") != "") {
		return fmt.Errorf("body: slice %d: term %.40q", *p.Shard, p.Term)
	}
	return nil
}

// validID says whether a request's id can stand in a line of the leaf servers' protocol.
func validID(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f || id[i] == ',' { // a comma: the field was given twice
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}
