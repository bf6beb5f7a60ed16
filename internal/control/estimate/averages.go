package estimate

const (
	latencySmoothing = 0.3 // weight of a new response or service time
	queueSmoothing   = 0.7 // weight of a reported queue: reports are rare, so each counts for more
)

// Averages are exponential moving averages of one server.
type Averages struct {
	Latency     float64 // response time, microseconds
	ServiceTime float64 // minimum of the recent response times, microseconds
	Queue       float64 // reported queue length
}

// Record adds a response time, and the minimum of the recent ones, to the averages.
func (a *Averages) Record(responseTime, minRecent float64) {
	a.Latency += latencySmoothing * (responseTime - a.Latency)
	a.ServiceTime += latencySmoothing * (minRecent - a.ServiceTime)
}

// RecordUnanswered adds the time that an unanswered attempt was in flight. Its answer would have taken longer, so the
// average may only rise.
func (a *Averages) RecordUnanswered(elapsed float64) {
	if elapsed > a.Latency {
		a.Latency += latencySmoothing * (elapsed - a.Latency)
	}
}

// SetQueue sets the average to the first reported queue.
func (a *Averages) SetQueue(queue float64) { a.Queue = queue }

// RecordQueue adds a reported queue other than the first to the average.
func (a *Averages) RecordQueue(queue float64) { a.Queue += queueSmoothing * (queue - a.Queue) }

// Mean is the mean of the averages of several servers.
type Mean struct {
	Averages
	servers float64
}

// Add adds a server's averages to the mean. The first replaces any initial value.
func (m *Mean) Add(a Averages) {
	m.servers++
	m.Latency += (a.Latency - m.Latency) / m.servers
	m.ServiceTime += (a.ServiceTime - m.ServiceTime) / m.servers
	m.Queue += (a.Queue - m.Queue) / m.servers
}
