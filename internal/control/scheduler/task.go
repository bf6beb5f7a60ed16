package scheduler

import "time"

// Priority is the priority of a task. Lower values are preferred, but no priority starves.
type Priority int

// The priorities, from highest to lowest.
const (
	Urgent Priority = iota // a caller waits for the result
	Normal                 // health checks
	Idle                   // work that can wait
	priorityCount
)

// maxConsecutive is the maximum number of starts of each priority before the turn passes to the next lower one that
// waits, so that no priority starves however much work the higher ones have.
var maxConsecutive = [priorityCount]int{8, 4, 1}

// Result is the result of a run of a task. It determines the interval to the next run.
type Result int

// The results of a run.
const (
	Steady  Result = iota // nothing changed
	Changed               // something changed: FastRuns runs at FastInterval follow
	Down                  // the target is still down: runs at SlowInterval
)

// Task is a recurring unit of work.
type Task struct {
	Priority     Priority
	Interval     time.Duration // from start to start; negative: the task is removed after one run
	FastInterval time.Duration // after a change; 0: Interval
	SlowInterval time.Duration // while down; 0: Interval
	FastRuns     int           // runs at the fast interval after a change
}

// removedAfterRun is the Task.Interval of a task that is removed when its current run is Done.
const removedAfterRun = -1

// TaskID identifies a task of a Scheduler. The id of a removed task is reused.
type TaskID int

type taskState int8

const (
	stateUnused  taskState = iota // the id is free
	stateWaiting                  // for its due time
	stateReady                    // in a ready queue
	stateRunning
)

// lane separates tasks whose last run hung, which are restricted to a part of the capacity, from all others.
type lane int

const (
	regularLane lane = iota
	hungLane
	laneCount
)

type task struct {
	Task
	state             taskState
	lane              lane
	due               time.Time // of the next run, or of the current one
	started           time.Time // when its last run started
	remainingFastRuns int
	urgent            bool   // its next run was requested by RunNow
	rerun             bool   // RunNow was called during the current run
	generation        uint32 // incremented when the id is assigned or freed
}

// nextInterval returns the interval from the last run to the next, and updates remainingFastRuns.
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
