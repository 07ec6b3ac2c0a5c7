// Package overload decides which waiting work goes first, and which is of no use any
// more, while the capacity of the fleet is short. The package does no I/O and reads no
// clock.
package overload

import (
	"math"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Load summarizes how full a shard is. The owner computes it, and passes it on to the
// other entries, which decide by it which jobs to reject.
type Load struct {
	Short      bool               `cbor:"1,keyasint,omitempty"` // in some pool tasks wait for capacity
	Free       unit.Millicores    `cbor:"2,keyasint,omitempty"` // cores that no run has reserved
	Total      unit.Millicores    `cbor:"3,keyasint,omitempty"` // cores of all workers that take starts
	Queues     []QueueLoad        `cbor:"4,keyasint,omitempty"`
	Pools      []PoolLoad         `cbor:"5,keyasint,omitempty"`
	BeyondRate []OrganisationLoad `cbor:"6,keyasint,omitempty"` // empty unless capacity is short
	// Full means that over half of the memory that the owner has for jobs is taken, and Room
	// is what is left of it.
	Full bool       `cbor:"7,keyasint,omitempty"`
	Room unit.Bytes `cbor:"8,keyasint,omitempty"`
}

// QueueLoad is the load of one queue with waiting tasks.
type QueueLoad struct {
	Queue   graph.QueueID `cbor:"1,keyasint"`
	Waiting int           `cbor:"2,keyasint,omitempty"` // jobs with a task that waits
	// MaxRatio is the largest plausible ratio of the actual to the declared duration of a
	// task, or 0 if it is not known.
	MaxRatio float64 `cbor:"3,keyasint,omitempty"`
}

// PoolLoad is the load of the workers of a service by one kind of task: those that
// reserve cores, or best-effort tasks, which use the cores that others leave.
type PoolLoad struct {
	Service    unit.ServiceID  `cbor:"1,keyasint"`
	BestEffort bool            `cbor:"2,keyasint,omitempty"`
	Short      bool            `cbor:"3,keyasint,omitempty"` // tasks wait for capacity
	Free       unit.Millicores `cbor:"4,keyasint,omitempty"`
	Total      unit.Millicores `cbor:"5,keyasint,omitempty"`
	// Completing is the number of cores on which tasks run that end by themselves: the
	// rate at which work completes.
	Completing unit.Millicores `cbor:"6,keyasint,omitempty"`
	// Usable are the cores of Total that no long-running task holds.
	Usable unit.Millicores `cbor:"7,keyasint,omitempty"`
	// MaxUsable is like Usable with all listed workers, also those that take no starts at
	// present.
	MaxUsable unit.Millicores `cbor:"8,keyasint,omitempty"`
	Waiting   []WaitingWork   `cbor:"9,keyasint,omitempty"` // by priority, the most urgent first
}

// WaitingWork is the work of the waiting tasks of one priority that any worker of the pool
// can do and that is of use. It is measured as the time that one core takes.
type WaitingWork struct {
	Priority graph.Priority `cbor:"1,keyasint,omitempty"`
	Work     time.Duration  `cbor:"2,keyasint,omitempty"` // as expected
	MinWork  time.Duration  `cbor:"3,keyasint,omitempty"` // at least, as far as declared durations can be wrong
}

// OrganisationLoad is an organisation that is beyond its rate.
type OrganisationLoad struct {
	Organisation unit.OrganisationID `cbor:"1,keyasint"`
	Delay        time.Duration       `cbor:"2,keyasint"` // until its next job would be within the rate
}

// Pool returns the pool of a service and a kind of task.
func (l *Load) Pool(service unit.ServiceID, bestEffort bool) (PoolLoad, bool) {
	for _, p := range l.Pools {
		if p.Service == service && p.BestEffort == bestEffort {
			return p, true
		}
	}
	return PoolLoad{}, false
}

// Queue returns the load of a queue, which is zero if the queue is not named.
func (l *Load) Queue(id graph.QueueID) QueueLoad {
	for _, q := range l.Queues {
		if q.Queue == id {
			return q
		}
	}
	return QueueLoad{Queue: id}
}

// BeyondRateFor returns for how long an organisation is beyond its rate, or 0 if it is
// within.
func (l *Load) BeyondRateFor(id unit.OrganisationID) time.Duration {
	for _, o := range l.BeyondRate {
		if o.Organisation == id {
			return o.Delay
		}
	}
	return 0
}

// StartWait returns the expected time until a new task of a priority starts.
func (p *PoolLoad) StartWait(priority graph.Priority) time.Duration {
	return timeOn(p.work(func(w WaitingWork) bool { return w.Priority <= priority }, WaitingWork.expected), p.Usable)
}

// UrgentWait returns for how long work of more urgent priorities keeps a new task of a
// priority from starting: as expected, and at least.
func (p *PoolLoad) UrgentWait(priority graph.Priority) (expected, least time.Duration) {
	before := func(w WaitingWork) bool { return w.Priority < priority }
	return timeOn(p.work(before, WaitingWork.expected), p.Usable), timeOn(p.work(before, WaitingWork.least), p.MaxUsable)
}

func (w WaitingWork) expected() time.Duration { return w.Work }
func (w WaitingWork) least() time.Duration    { return w.MinWork }

// work sums the work of the priorities that are included, in core-seconds.
func (p *PoolLoad) work(include func(WaitingWork) bool, of func(WaitingWork) time.Duration) float64 {
	sum := 0.0
	for _, w := range p.Waiting {
		if include(w) {
			sum += of(w).Seconds()
		}
	}
	return sum
}

// maxWait bounds the times that are derived from a load, so that no sum overflows.
const maxWait = 24 * time.Hour

// timeOn returns how long cores take for work in core-seconds, at most maxWait.
func timeOn(work float64, cores unit.Millicores) time.Duration {
	if work <= 0 || cores <= 0 {
		return 0 // without a worker the time is not known
	}
	const perCore = 1000
	return time.Duration(math.Min(work*perCore/float64(cores), maxWait.Seconds()) * float64(time.Second))
}
