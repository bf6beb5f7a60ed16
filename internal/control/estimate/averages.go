package estimate

const (
	latencySmoothing = 0.3 // weight of a new response or service time
	queueSmoothing   = 0.7 // weight of a reported queue: reports are scarce, so each counts for more
)

// Averages are moving averages of one server.
type Averages struct {
	Latency     float64 // response time, microseconds
	ServiceTime float64 // least of the recent response times, microseconds
	Queue       float64 // reported queue length
}

// Record takes in a response time and the least of the recent ones.
func (a *Averages) Record(took, least float64) {
	a.Latency += latencySmoothing * (took - a.Latency)
	a.ServiceTime += latencySmoothing * (least - a.ServiceTime)
}

// RecordUnanswered takes in the time of an attempt that was not answered: its answer would have taken longer, so the
// average may only rise.
func (a *Averages) RecordUnanswered(took float64) {
	if took > a.Latency {
		a.Latency += latencySmoothing * (took - a.Latency)
	}
}

// SetQueue takes in the first reported queue.
func (a *Averages) SetQueue(queue float64) { a.Queue = queue }

// RecordQueue takes in a reported queue that is not the first.
func (a *Averages) RecordQueue(queue float64) { a.Queue += queueSmoothing * (queue - a.Queue) }

// Mean is the mean of the averages of several servers.
type Mean struct {
	Averages
	servers float64
}

// Add takes a server's averages into the mean. The first replaces whatever the mean was set to.
func (m *Mean) Add(a Averages) {
	m.servers++
	m.Latency += (a.Latency - m.Latency) / m.servers
	m.ServiceTime += (a.ServiceTime - m.ServiceTime) / m.servers
	m.Queue += (a.Queue - m.Queue) / m.servers
}
