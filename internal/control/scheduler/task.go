package scheduler

import "time"

// Priority of a task. Lower values come first; none starves.
type Priority int

// Priorities from first to last.
const (
	Urgent Priority = iota // somebody waits for the result
	Normal                 // health checks
	Idle                   // whatever has time
	priorityCount
)

// maxConsecutive is how many starts in a row a priority gets while a lower one waits, so that the lower ones do
// not starve however much work the higher ones have.
var maxConsecutive = [priorityCount]int{8, 4, 1}

// Result is what a run of a task showed. It decides the interval to the next run.
type Result int

// Results of a run.
const (
	Steady  Result = iota // nothing changed: the usual interval
	Changed               // something changed: the fast interval for a while
	Down                  // the target is still down: the slow interval
)

// Task is a piece of work that recurs.
type Task struct {
	Priority     Priority
	Interval     time.Duration // usual one, from start to start; negative: the task is removed after one run
	FastInterval time.Duration // after a change; 0: Interval
	SlowInterval time.Duration // while down; 0: Interval
	FastRuns     int           // runs at the fast interval after a change
}

// removedAfterRun is the interval of a task that is removed once its present run has ended.
const removedAfterRun = -1

// TaskID identifies a task of a Scheduler. The id of a removed task is given to another one.
type TaskID int

type taskState int8

const (
	stateUnused  taskState = iota // the id is free
	stateWaiting                  // for its due time
	stateReady                    // in a ready queue
	stateRunning
)

// A lane holds tasks by how their last run ended. Tasks that hung get a part of the capacity only.
type lane int

const (
	soundLane lane = iota
	hungLane
	laneCount
)

type task struct {
	Task
	state             taskState
	lane              lane
	due               time.Time // when it was due to run last, or is due next
	started           time.Time // start of its last run
	remainingFastRuns int
	urgent            bool   // its next run was asked for by RunNow
	rerun             bool   // RunNow was called while it ran
	generation        uint32 // changes with the task that has this id
}

// nextInterval returns the interval from the last run to the next one, and counts the runs at the fast interval.
func (t *task) nextInterval(result Result) time.Duration {
	if result == Changed {
		t.remainingFastRuns = t.FastRuns
	}
	switch {
	case t.remainingFastRuns > 0 && t.FastInterval > 0:
		t.remainingFastRuns--
		return t.FastInterval
	case result == Down && t.SlowInterval > 0:
		return t.SlowInterval
	}
	return t.Interval
}
