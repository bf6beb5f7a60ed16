package health

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkTable returns a table of 10,000 servers, each with replicas of four shards, and their ids.
func benchmarkTable(b *testing.B, validity time.Duration) (*Table, []ID) {
	b.Helper()
	const n = 10_000
	const nonIdempotent = 1 << 2
	checks := []CheckConfig{{Name: "h", Fall: 2, Rise: 1, Validity: validity}}
	table, err := New(Defaults(3, nonIdempotent), checks, origin)
	if err != nil {
		b.Fatal(err)
	}
	ids := make([]ID, n)
	list := make([]Server, n)
	for i := range n {
		ids[i] = ID(fmt.Sprintf("server-%05d", i))
		list[i] = Server{ID: ids[i], Shards: []int{i, (i + 1) % n, (i + 2) % n, (i + 3) % n}}
	}
	table.ReplaceEndpoints(origin, list)
	table.Changes(origin)
	return table, ids
}

// BenchmarkOutcomes records outcomes at all servers in turn, one in a hundred a failure, and calls Changes after each
// 1,000. Virtual time advances as at 100,000 outcomes per second.
func BenchmarkOutcomes(b *testing.B) {
	table, ids := benchmarkTable(b, 10*time.Second)
	now := origin
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		outcome := Success
		if i%100 == 0 {
			outcome = Failure
		}
		now = now.Add(10 * time.Microsecond)
		table.RecordOutcome(now, ids[(i*7919)%len(ids)], i%3, outcome, now)
		if i%1000 == 999 {
			table.Changes(now)
		}
	}
}

// BenchmarkChecks records a check of each server in turn, and calls Changes after each ten.
func BenchmarkChecks(b *testing.B) {
	table, ids := benchmarkTable(b, time.Hour)
	now := origin
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(200 * time.Microsecond)
		table.RecordCheck(now, ids[i%len(ids)], 0, upResult)
		if i%10 == 9 {
			table.Changes(now)
		}
	}
}
