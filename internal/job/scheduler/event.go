package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Incarnation is one life of a worker: the Unix time of its start in
// milliseconds. A worker that restarts under its id has a new one.
type Incarnation int64

// EndNumber numbers the ends that one incarnation of a worker lists, from 1.
type EndNumber int64

// Listing is what the instance list says of a worker.
type Listing struct {
	ID          unit.InstanceID
	Address     string // IP and port for orders
	Service     unit.ServiceID
	Zone        unit.ZoneID
	Rack        unit.RackID
	Labels      []string
	Capacity    unit.Resources
	Draining    bool
	TimeToExit  time.Duration // while draining: the least time until the worker exits
	Incarnation Incarnation
}

// RunStatus is one run that a worker lists as present.
type RunStatus struct {
	Task            graph.Task
	Run             graph.RunNumber
	Checkpoint      string
	ProgressPercent int // progress; of a lasting task 100 once it is at work
	Metric          int // of the last half second: tail in ms of a serving task, else millicores in use
}

// EndKind is how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped        // by an order
	EndLeaseExpired   // the lease of the worker expired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members of the gang did not come in time
)

var endNames = [...]string{
	EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lapsed", EndGangBroken: "broken", EndGangIncomplete: "alone",
}

// String returns the name of the kind.
func (k EndKind) String() string {
	if k == 0 || int(k) >= len(endNames) {
		return "unknown"
	}
	return endNames[k]
}

// End is one run that has ended on a worker.
type End struct {
	Number     EndNumber
	Task       graph.Task
	Run        graph.RunNumber
	Kind       EndKind
	Checkpoint string
}

// Report is the answer of a worker to a hold order: all that runs there, and the
// ends that were not acknowledged.
type Report struct {
	Incarnation Incarnation
	RequestedAt time.Time // when the order was sent
	Running     []RunStatus
	Ended       []End
	Partial     bool // more ends follow in the next report
}

// Outcome is the answer to an order.
type Outcome uint8

// Outcomes of orders.
const (
	OutcomeDone             Outcome = iota + 1
	OutcomeUnknown                  // no answer; the order may be carried out seconds later
	OutcomeNotSent                  // surely not carried out
	OutcomeNoCapacity               // the worker has no capacity for the task
	OutcomeStaleRun                 // the run number is not above an earlier one
	OutcomeDeadlineExceeded         // the deadline of the order had passed
	OutcomeFenced                   // the worker knows a higher epoch
	OutcomeUnhealthy                // the worker takes no starts at present
	OutcomeOtherIncarnation         // another incarnation answered
	OutcomeInvalid                  // the worker cannot run the task at all
	OutcomeNoTicket                 // the ticket is missing or has expired
)

var outcomeNames = [...]string{
	OutcomeDone: "done", OutcomeUnknown: "unknown", OutcomeNotSent: "not sent", OutcomeNoCapacity: "no room",
	OutcomeStaleRun: "stale run", OutcomeDeadlineExceeded: "late", OutcomeFenced: "fenced", OutcomeUnhealthy: "unhealthy",
	OutcomeOtherIncarnation: "reborn", OutcomeInvalid: "invalid", OutcomeNoTicket: "no ticket",
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) || o == 0 {
		return "none"
	}
	return outcomeNames[o]
}

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
)

// Order is an action of the core: something to tell a worker.
type Order struct {
	Kind        OrderKind
	Worker      unit.InstanceID
	Incarnation Incarnation // the order is only for this incarnation
	Task        graph.Task
	Run         graph.RunNumber
	Spec        string // of a start
	Checkpoint  string // of a start: to resume from; may be empty
	Ticket      Ticket // of a start: by the placement advice; may be empty
	PacePercent int    // of a pace: the share at which the task works
	Reason      Reason
	FirstStart  bool      // the first start of its job by this owner
	JobDue      time.Time // of a first start: when the job could start
}

// Reason is why the core gave an order, for logs.
type Reason string

// Reasons of orders.
const (
	ReasonReady           Reason = "ready"           // the task's turn has come
	ReasonCancelled       Reason = "cancelled"       // the job was cancelled
	ReasonObsolete        Reason = "obsolete"        // the run is not the current one of its task
	ReasonUnanswered      Reason = "unanswered"      // the start had no answer and the run is not listed
	ReasonStalled         Reason = "stalled"         // the run makes no progress
	ReasonDraining        Reason = "draining"        // the worker leaves
	ReasonPreempted       Reason = "preempted"       // a more urgent task needs the room
	ReasonTailAboveTarget Reason = "tail over goal"  // a serving task beside it misses its target
	ReasonTailBelowTarget Reason = "tail below goal" // the serving tasks have headroom again
	ReasonGangEnded       Reason = "gang ended"      // another member of the gang ended
	ReasonUpkeep          Reason = "upkeep"          // the worker's machine is due for upkeep
	ReasonSlowed          Reason = "slowed"          // the run was slowed for long and can work elsewhere
)

// FinalState is a final state that the core has reached for a job and that has to
// become durable before it is shown.
type FinalState struct {
	Job   unit.JobID
	State graph.State
	Cause string
}
