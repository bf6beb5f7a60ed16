package z3950

import (
	"errors"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/z3950"
)

const (
	// associationBytes is the memory in bytes of an association that holds nothing: its connection, its goroutine, its
	// timer and its state.
	associationBytes = 8 << 10
	// longResponseBytes is the length from which a response counts as held until it is sent.
	longResponseBytes = 4 << 10
	// growthFactor: a buffer that has grown leaves as much behind for the garbage collector.
	growthFactor = 2
	// resultSetBytes is the memory in bytes of a result set without records.
	resultSetBytes = 1 << 10
)

// errOverMemory is the cause of closing the connection of an origin that does not read its responses, when clients hold
// the memory that they may hold.
var errOverMemory = errors.New("the origin does not read, and the memory is needed")

// chargeAccount states to the budget what the association holds. It returns false if the association has to release memory. It is
// called with the lock held.
func (a *association) chargeAccount() bool {
	total := growthFactor*cap(a.buf) + a.pendingBytes + a.unsentBytes
	for _, set := range a.resultSets {
		total += resultSetBytes + set.recordBytes()
	}
	return a.account.Charge(int64(total), total > 0)
}

// recordBytes returns the memory of the cached records.
func (s *resultSet) recordBytes() (bytes int) {
	for _, record := range s.records {
		bytes += len(record.ID) + len(record.Schema) + len(record.XML)
	}
	return bytes
}

// limitMemory states to the budget what the association holds, and releases what it may not hold. It is called with the
// lock held.
func (a *association) limitMemory() {
	if !a.chargeAccount() {
		a.releaseMemory()
	}
}

// reclaim releases what the association holds beyond the operation in flight, for the budget.
func (a *association) reclaim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseMemory()
}

// releaseMemory drops the cached records of the result sets, which a Present fetches again, if there are any. Otherwise
// it closes the association, after the operation in flight if there is one. It is called with the lock held.
func (a *association) releaseMemory() {
	cached := false
	for _, set := range a.resultSets {
		if set.records != nil && a.inFlight == nil {
			cached = true
			set.records = nil
			set.fetched = 0
		}
	}
	switch {
	case cached:
	case a.unsentBytes > 0:
		a.conn.Close(errOverMemory)
	case a.closed:
	case a.inFlight != nil: // it may have run, so it is answered first
		a.dropSurplus()
		a.pending, a.pendingBytes = nil, 0
	default:
		a.close(z3950.CloseLimits, "the memory is needed")
	}
	a.chargeAccount() // less than before, which is never refused
}

// send writes a PDU. It is called with the lock held.
func (a *association) send(pdu *z3950.Node) {
	encoded := pdu.Encode(nil)
	size := len(encoded)
	if size < longResponseBytes {
		a.conn.Write(encoded, nil)
		return
	}
	a.unsentBytes += size
	a.chargeAccount() // if it is refused, others release memory: this response is sent soon, unless its origin does not read
	a.conn.Write(encoded, func(tcp.WriteResult) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unsentBytes -= size
		a.chargeAccount()
	})
}
