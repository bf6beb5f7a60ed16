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
	weightTolerance = 1e-3 // by which the sum of a query's weights may differ from 1: clients round them
	maxDeadline     = 1e6  // seconds; the longest deadline that a client may state
	maxWorkHint     = 1e12 // microseconds; a work hint must be below it
	maxIDLength     = 128
	maxKeyLength    = 256 // of an idempotency key
	termLength      = 16  // hexadecimal digits
)

// Errors of a query's body. The client receives their texts with status 400.
var (
	errNotUTF8         = errors.New("body: not UTF-8")
	errNoPartsOrFilter = errors.New("body: no slices, or no filter")
)

// queryBody is the JSON body of a query. Its type name and that of querySlice appear in the error texts of encoding/json,
// which the client receives.
type queryBody struct {
	Parts  []querySlice `json:"slices"`
	Filter *string      `json:"filter"`
}

// querySlice is the part of a query for one shard.
type querySlice struct {
	Shard    *int    `json:"slice"`
	Weight   float64 `json:"mass"`
	WorkHint float64 `json:"micros"`
	Term     string  `json:"term"`
}

// parseRequest decodes a query. arrived is when its first byte was received. The client receives the text of an error.
func (f *Frontend) parseRequest(
	vocabulary *Vocabulary, m *http1.Message, class Class, arrived time.Time,
) (*aggregator.Request, error) {
	request := &aggregator.Request{Class: class.Index, Arrived: arrived}
	if err := parseHeader(vocabulary, m.Header, request); err != nil {
		return nil, err
	}
	key, err := parseIdempotencyKey(m.Header, class)
	if err != nil {
		return nil, err
	}
	request.IdempotencyKey = key
	body, err := decodeBody(m.Body)
	if err != nil {
		return nil, err
	}
	request.Payload = *body.Filter
	if err := f.addParts(body.Parts, request); err != nil {
		return nil, err
	}
	return request, nil
}

// parseHeader parses the header fields of a request.
func parseHeader(vocabulary *Vocabulary, header http1.Header, request *aggregator.Request) error {
	request.ID, request.IsRetry = header.Get("X-Request-Id"), header.Get("X-Retry") == "1"
	request.Key = header.Get("X-Key")
	if !validListItem(request.ID, maxIDLength) {
		return fmt.Errorf("X-Request-Id %q", request.ID)
	}
	if stated := header.Get("X-Class"); stated != "" {
		class, ok := vocabulary.class(stated, hasIdempotencyKey(header), request.Arrived)
		if !ok || class.Index != request.Class {
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

// idempotencyKeyField is the header field with the idempotency key of a query.
const idempotencyKeyField = "Idempotency-Key"

func hasIdempotencyKey(header http1.Header) bool { return header.Get(idempotencyKeyField) != "" }

// parseIdempotencyKey returns the idempotency key of a query. A keyed class requires one: without it, servers could not
// recognize a repeat of its parts. In other classes the field is ignored, as their parts are sent without a key.
func parseIdempotencyKey(header http1.Header, class Class) (string, error) {
	if !class.Keyed {
		return "", nil
	}
	key := header.Get(idempotencyKeyField)
	if !validListItem(key, maxKeyLength) {
		return "", fmt.Errorf("%s %q", idempotencyKeyField, key)
	}
	return key, nil
}

// parseDeadline parses a deadline, in seconds from the request's arrival. Only digits and a point are accepted, not the
// other forms of strconv.ParseFloat.
func parseDeadline(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(seconds > 0) || seconds > maxDeadline {
		return 0, fmt.Errorf("X-Deadline %q", text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func decodeBody(text []byte) (queryBody, error) {
	var body queryBody
	if !utf8.Valid(text) { // encoding/json would replace the invalid bytes, and the leaf servers receive another filter
		return queryBody{}, errNotUTF8
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return queryBody{}, fmt.Errorf("body: %w", err)
	}
	if len(body.Parts) == 0 || body.Filter == nil || *body.Filter == "" {
		return queryBody{}, errNoPartsOrFilter
	}
	return body, nil
}

// addParts sets a request's parts and, if its header states no key, its key, which is then the first term that a part
// states.
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
	// Guards against weights by which no answer would count as complete, or a partial one would.
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("body: masses add up to %v", sum)
	}
	for i := range request.Parts { // normalized: a complete answer must have weight 1 despite rounding
		request.Parts[i].Weight /= sum
	}
	return nil
}

// validate checks all fields of a part but its shard. NaN is invalid.
func (p querySlice) validate() error {
	if !(p.Weight >= 0 && p.Weight <= 1) || !(p.WorkHint >= 0 && p.WorkHint < maxWorkHint) {
		return fmt.Errorf("body: slice %d: mass %v, micros %v", *p.Shard, p.Weight, p.WorkHint)
	}
	if p.Term != "" && (len(p.Term) != termLength || strings.Trim(p.Term, "0123456789abcdefABCDEF") != "") {
		return fmt.Errorf("body: slice %d: term %.40q", *p.Shard, p.Term)
	}
	return nil
}

// validListItem reports whether a request's id or idempotency key can be part of a line of the leaf protocol. A comma,
// which would end it there, also shows that the header field was repeated.
func validListItem(text string, maxLength int) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] >= 0x7f || text[i] == ',' {
			return false
		}
	}
	return text != "" && len(text) <= maxLength
}
