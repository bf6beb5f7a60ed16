package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/gossip"
)

const (
	ms = time.Millisecond
	// start is the time at which most tests begin. It is long after the zero of the clock, which stands for an unknown
	// time.
	start = time.Hour
)

var testConfig = Config{DecayTime: 1500 * ms, OverdueAfter: 190 * ms, MaxMessageAge: 380 * ms, Aggregators: 300}

// newTable returns the table of an aggregator of zone 0 with the servers s0 to s19.
func newTable() *Table {
	table := New(testConfig)
	for i := range 20 {
		table.Add(serverID(i), 0)
	}
	return table
}

func serverID(i int) string { return fmt.Sprint("s", i) }

// endAttempts records a number of attempts that were in flight for elapsed and ended at start with the same outcome.
func endAttempts(table *Table, count int, id string, elapsed time.Duration, outcome Outcome) {
	for range count {
		table.AttemptEnded(start, id, start-elapsed, outcome)
	}
}

// exchangeMessages delivers every aggregator's next message to all others and returns the number of messages.
func exchangeMessages(now time.Duration, tables []*Table) (messages int) {
	for _, sender := range tables {
		datagram := sender.NextMessage(now)
		if datagram == nil {
			continue
		}
		messages++
		for _, receiver := range tables {
			if receiver != sender {
				receiver.Receive(now, datagram)
			}
		}
	}
	for _, table := range tables {
		table.Update(now)
	}
	return messages
}

// If each of several aggregators loses a few parts at a server, all of them eject it, and so do those that lost none
// there. Once it answers the attempts that it still receives, all of them restore it in steps.
func TestTable_HangingServerIsEjectedByAllAndRestoredInSteps(t *testing.T) {
	tables := []*Table{newTable(), newTable(), newTable(), newTable(), newTable(), newTable()}
	now := start
	for _, table := range tables[:4] {
		table.AccrueBudget(100)
		endAttempts(table, 6, "s3", 250*ms, Canceled)
	}
	if messages := exchangeMessages(now, tables); messages != 4 {
		t.Fatalf("%d messages, want 4", messages)
	}
	for i, table := range tables {
		hangingEjected := table.TrafficFraction("s3") == recoverySteps[0].fraction && table.EjectedCount() == 1
		if !hangingEjected || table.TrafficFraction("s4") != 1 {
			t.Fatalf("aggregator %d: fraction %v of the hanging server, %v of another",
				i, table.TrafficFraction("s3"), table.TrafficFraction("s4"))
		}
	}
	fractions := []float64{}
	answering := tables[5]
	for range 40 {
		now += 50 * ms
		answering.AccrueBudget(100)
		answering.AttemptEnded(now, "s3", now-50*ms, Answered)
		exchangeMessages(now, tables)
		if fraction := tables[0].TrafficFraction("s3"); len(fractions) == 0 || fractions[len(fractions)-1] != fraction {
			fractions = append(fractions, fraction)
		}
	}
	if want := []float64{0.01, 0.3, 1}; !slices.Equal(fractions, want) {
		t.Errorf("restored by fractions %v, want %v", fractions, want)
	}
	now += 50 * ms
	answering.AttemptEnded(now, "s3", now-50*ms, Answered)
	if answering.NextMessage(now) != nil {
		t.Error("an observation of an answer was sent though the server is not ejected")
	}
}

// A server whose failures just reach the threshold may only be slow: it receives the largest fraction of the recovery
// steps until further outcomes decide.
func TestTable_SlowServerKeepsMostOfItsShare(t *testing.T) {
	table := newTable()
	endAttempts(table, minFailures, "s3", 300*ms, Canceled)
	table.Update(start)
	if table.TrafficFraction("s3") != recoverySteps[2].fraction {
		t.Fatalf("fraction %v", table.TrafficFraction("s3"))
	}
	endAttempts(table, 10, "s3", 0, Answered)
	table.Update(start)
	if table.TrafficFraction("s3") != 1 {
		t.Errorf("fraction %v after ten answers", table.TrafficFraction("s3"))
	}
}

func TestTable_ServerThatFailsEverySecondAttemptKeepsAMediumShare(t *testing.T) {
	table := newTable()
	for i := range 100 {
		outcome := Failed
		if i%2 == 1 {
			outcome = Answered
		}
		now := start + time.Duration(i)*10*ms
		table.AttemptEnded(now, "s3", start, outcome)
		table.Update(now)
	}
	if fraction := table.TrafficFraction("s3"); fraction <= recoverySteps[0].fraction || fraction >= 1 {
		t.Errorf("fraction %v", fraction)
	}
}

// If all servers have the same number of failures, none is an outlier: in a load peak all answers are overdue.
func TestTable_FailuresOfAllServersEjectNone(t *testing.T) {
	table := newTable()
	for i := range 20 {
		endAttempts(table, 8, serverID(i), 300*ms, Canceled)
	}
	table.Update(start)
	if table.EjectedCount() != 0 {
		t.Fatalf("%d servers ejected though all have the same number of failures", table.EjectedCount())
	}
	endAttempts(table, 40, "s3", 300*ms, Canceled)
	table.Update(start)
	if table.EjectedCount() != 1 {
		t.Errorf("%d servers ejected, want the one with six times the failures of the others", table.EjectedCount())
	}
	// Half of the servers fail together with their zone: these are ejected, the others are not.
	table = newTable()
	for i := range 10 {
		endAttempts(table, 20, serverID(i), 0, Failed)
	}
	table.Update(start)
	if table.EjectedCount() != 10 {
		t.Errorf("%d servers ejected, want the 10 of 20 that fail", table.EjectedCount())
	}
}

// Outcomes that are no evidence about a server, and messages that must be ignored, change no traffic fraction.
func TestTable_IrrelevantOutcomesAndMessagesAreIgnored(t *testing.T) {
	table := newTable()
	endAttempts(table, 50, "s1", 100*ms, Canceled) // not overdue: its query was completed
	endAttempts(table, 50, "s2", 0, Rejected)      // overloaded
	endAttempts(table, 50, "s4", 0, NotSent)       // never reached the server
	endAttempts(table, 50, "not in the table", 0, Failed)
	table.AttemptEnded(start-200*ms, "s5", start-250*ms, Answered) // it answers other attempts
	endAttempts(table, 50, "s5", 300*ms, Canceled)

	failures := []observation{
		{key: gossip.ServerKey("s6"), failed: 15},
		{key: gossip.ServerKey("s7"), failed: 15},
		{key: gossip.ServerKey("not in the table"), failed: 15},
	}
	for name, datagram := range map[string][]byte{
		"from another zone": encodeMessage(start, 1, failures),
		"too old":           encodeMessage(start-500*ms, 0, failures),
		"from the future":   encodeMessage(start+500*ms, 0, failures),
		"one byte too long": append(encodeMessage(start, 0, failures), 1),
		"of another kind":   append([]byte{messageKind + 1}, encodeMessage(start, 0, failures)[1:]...),
		"empty":             nil,
	} {
		table.Receive(start, datagram)
		if table.ObservationsReceived != 0 {
			t.Errorf("a message %s was accepted", name)
		}
	}
	if changed := table.Update(start); len(changed) != 0 {
		t.Errorf("fractions changed: %v", changed)
	}
	table.Receive(start, encodeMessage(start, 0, failures))
	table.Update(start)
	if table.ObservationsReceived != 2 || table.EjectedCount() != 2 {
		t.Errorf("%d observations received, %d servers ejected", table.ObservationsReceived, table.EjectedCount())
	}
}

// newTableWithEjected returns a table in which s3 is ejected.
func newTableWithEjected(t *testing.T) *Table {
	t.Helper()
	table := newTable()
	endAttempts(table, 30, "s3", 0, Failed)
	table.Update(start)
	if table.TrafficFraction("s3") != recoverySteps[0].fraction {
		t.Fatalf("fraction %v after 30 failures", table.TrafficFraction("s3"))
	}
	return table
}

// An ejection ends if the server is removed from the table, if its process is replaced, and after some time.
func TestTable_EjectionEnds(t *testing.T) {
	table := newTableWithEjected(t)
	table.Add("s3", 0)
	if table.TrafficFraction("s3") == 1 {
		t.Error("adding a server again with the same process restored it")
	}
	table.Add("s3", start)
	if table.TrafficFraction("s3") != 1 {
		t.Error("a new process has the traffic fraction of the previous one")
	}
	table = newTableWithEjected(t)
	table.Remove("s3")
	if table.TrafficFraction("s3") != 1 || len(table.pending) != 0 {
		t.Error("a removed server has a traffic fraction or pending observations")
	}
	table = newTableWithEjected(t)
	table.Retain(func(id string) bool { return id == "s4" })
	if len(table.order) != 1 || len(table.servers) != 1 {
		t.Errorf("%d servers retained, want one", len(table.order))
	}
	// Without any failures for some time it receives a few attempts, until the next failure.
	table = newTableWithEjected(t)
	changed := table.Update(start + 13*time.Second)
	if len(changed) != 1 || table.TrafficFraction("s3") != recoverySteps[1].fraction {
		t.Errorf("changed %v, fraction %v after some time without failures", changed, table.TrafficFraction("s3"))
	}
	table.AttemptEnded(start+14*time.Second, "s3", start+13*time.Second, Failed)
	table.Update(start + 14*time.Second)
	if table.TrafficFraction("s3") != recoverySteps[0].fraction {
		t.Errorf("fraction %v after one more failure", table.TrafficFraction("s3"))
	}
}

// Messages stay within the budget and the maximum length; observations that do not fit are sent later.
func TestTable_MessagesStayWithinBudget(t *testing.T) {
	const servers = 120
	table := New(testConfig)
	for i := range servers {
		table.Add(serverID(i), 0)
		table.AttemptEnded(start, serverID(i), start, Failed)
	}
	if table.NextMessage(start) != nil {
		t.Fatal("a message with an empty budget")
	}
	observations := 0
	deliveredBytes := 0
	for now := start; observations < servers; now += ms {
		table.AccrueBudget(1)
		if datagram := table.NextMessage(now); datagram != nil {
			m, ok := decodeMessage(now, datagram)
			if !ok || len(datagram) > gossip.MaxMessageBytes {
				t.Fatalf("message of %d bytes, decoded: %v", len(datagram), ok)
			}
			observations += len(m.observations)
			deliveredBytes += len(datagram) * (testConfig.Aggregators - 1)
		}
		accrued := gossip.BudgetPerPart * gossip.MaxMessageBytes * float64((now-start)/ms+1)
		if float64(deliveredBytes) > accrued {
			t.Fatalf("%d bytes delivered, budget %v", deliveredBytes, accrued)
		}
	}
	if observations != servers {
		t.Errorf("%d observations sent, want %d", observations, servers)
	}
}

// Operations of FuzzTable: the first byte of each pair, modulo opCount, selects one. Seeds depend on the values.
const (
	opAdvance = iota
	opFail
	opAnswer
	opCancel
	opSend
	opRemove
	opAdd
	opReceive
	opCount
)

// tableModel runs random operations on a Table and tracks which servers are in it.
type tableModel struct {
	table, receiver *Table
	listed          map[string]bool
	now             time.Duration
}

const fuzzServers = 24 // of which the first 20 are in the tables at the beginning

func newTableModel() *tableModel {
	m := &tableModel{table: newTable(), receiver: newTable(), listed: map[string]bool{}, now: start}
	for i := range 20 {
		m.listed[serverID(i)] = true
	}
	return m
}

func (m *tableModel) apply(t *testing.T, op, argument byte) {
	t.Helper()
	id := serverID(int(argument) % fuzzServers)
	switch op % opCount {
	case opAdvance:
		m.now += time.Duration(argument) * 40 * ms
	case opFail:
		m.table.AttemptEnded(m.now, id, m.now-ms, Failed)
	case opAnswer:
		m.table.AttemptEnded(m.now, id, m.now-ms, Answered)
	case opCancel:
		m.table.AttemptEnded(m.now, id, m.now-time.Second, Canceled)
	case opSend:
		m.send(t, int(argument))
	case opRemove:
		m.table.Remove(id)
		delete(m.listed, id)
	case opAdd:
		m.table.Add(id, m.now)
		m.listed[id] = true
	case opReceive:
		o := observation{key: gossip.ServerKey(id), failed: int(argument % 16), answered: int(argument / 16)}
		m.table.Receive(m.now, encodeMessage(m.now, 0, []observation{o}))
	}
	m.table.Update(m.now)
}

// send delivers the next message, which must be decoded as it was encoded.
func (m *tableModel) send(t *testing.T, parts int) {
	t.Helper()
	m.table.AccrueBudget(parts)
	datagram := m.table.NextMessage(m.now)
	if datagram == nil {
		return
	}
	decoded, ok := decodeMessage(m.now, datagram)
	want := m.receiver.ObservationsReceived // plus the observations of servers in the receiver's table: s0 to s19
	for _, o := range decoded.observations {
		if m.receiver.servers[o.key] != nil {
			want++
		}
	}
	m.receiver.Receive(m.now, datagram)
	if !ok || len(decoded.observations) == 0 || m.receiver.ObservationsReceived != want {
		t.Fatalf("%d observations decoded, %d received in all, want %d",
			len(decoded.observations), m.receiver.ObservationsReceived, want)
	}
}

func (m *tableModel) check(t *testing.T) {
	t.Helper()
	want := len(m.listed)
	if len(m.table.order) != want || len(m.table.servers) != want || len(m.table.pending) > want {
		t.Fatalf("%d servers listed, %d and %d in the table, %d pending",
			want, len(m.table.order), len(m.table.servers), len(m.table.pending))
	}
	for i := range fuzzServers {
		id := serverID(i)
		fraction := m.table.TrafficFraction(id)
		isStep := slices.ContainsFunc(recoverySteps[:], func(s recoveryStep) bool { return s.fraction == fraction })
		if fraction != 1 && (!isStep || !m.listed[id]) {
			t.Fatalf("%s has fraction %v, listed: %v", id, fraction, m.listed[id])
		}
	}
}

// FuzzTable checks after random operations that each traffic fraction is 1 or that of a recovery step, that only
// servers in the table have one below 1, and that messages are decoded as they were encoded.
func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 3, 1, 3, 1, 3, 1, 3, 1, 3, 5, 0, 6, 0, 2, 3, 2, 3})
	f.Add([]byte{4, 9, 1, 1, 4, 200, 3, 1, 7, 1, 0, 1})
	f.Fuzz(func(t *testing.T, ops []byte) {
		model := newTableModel()
		for i := 0; i+1 < len(ops) && i < 400; i += 2 {
			model.apply(t, ops[i], ops[i+1])
			model.check(t)
		}
	})
}
