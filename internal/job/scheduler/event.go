package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Incarnation identifies one process lifetime of a worker by its start time, in
// Unix milliseconds. A worker that restarts under the same id has a new one.
type Incarnation int64

// EndNumber numbers the ended runs that one incarnation of a worker reports,
// from 1.
type EndNumber int64

// Listing describes a worker as the instance list does.
type Listing struct {
	ID          unit.InstanceID
	Address     string // IP and port for orders
	Service     unit.ServiceID
	Zone        unit.ZoneID
	Rack        unit.RackID
	Labels      []string
	Capacity    unit.Resources
	Draining    bool
	TimeToExit  time.Duration // shortest time until the worker exits; set while draining
	Incarnation Incarnation
}

// RunStatus describes a run that is present on a worker.
type RunStatus struct {
	Task            graph.Task
	Run             graph.RunNumber
	Checkpoint      string
	ProgressPercent int // for a long-running task 100 once it is working

	// Metric covers the last half second: the tail latency in milliseconds of a
	// serving task, and the millicores in use of any other.
	Metric int
}

// EndKind says how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped        // by a stop order
	EndLeaseExpired   // the worker's lease expired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members of the gang did not start in time
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

// End describes a run that has ended on a worker.
type End struct {
	Number     EndNumber
	Task       graph.Task
	Run        graph.RunNumber
	Kind       EndKind
	Checkpoint string
}

// Report is the answer of a worker to a heartbeat, which also renews its lease. It
// lists every run on the worker and the ended runs that are not acknowledged yet.
type Report struct {
	Incarnation Incarnation
	RequestedAt time.Time // when the heartbeat was sent
	Running     []RunStatus
	Ended       []End
	Partial     bool // further ended runs follow in the next report
}

// Outcome is the answer to an order.
type Outcome uint8

// Outcomes of orders.
const (
	OutcomeDone             Outcome = iota + 1
	OutcomeUnknown                  // no answer; the order may still be executed seconds later
	OutcomeNotSent                  // certainly not executed
	OutcomeNoCapacity               // the worker lacks free capacity for the task
	OutcomeStaleRun                 // the worker has seen this run number or a higher one
	OutcomeDeadlineExceeded         // the order arrived after its deadline
	OutcomeFenced                   // the worker has seen a higher epoch
	OutcomeUnhealthy                // the worker currently accepts no starts
	OutcomeOtherIncarnation         // the worker has restarted since the order was given
	OutcomeInvalid                  // the worker can never run the task
	OutcomeNoTicket                 // the ticket is missing or has expired
)

var outcomeNames = [...]string{
	OutcomeDone: "done", OutcomeUnknown: "unknown", OutcomeNotSent: "not sent", OutcomeNoCapacity: "no room",
	OutcomeStaleRun: "stale run", OutcomeDeadlineExceeded: "late", OutcomeFenced: "fenced", OutcomeUnhealthy: "unhealthy",
	OutcomeOtherIncarnation: "reborn", OutcomeInvalid: "invalid", OutcomeNoTicket: "no ticket",
}

// Known reports whether the outcome is one of those above.
func (o Outcome) Known() bool { return o != 0 && int(o) < len(outcomeNames) }

// String returns the name of the outcome.
func (o Outcome) String() string {
	if !o.Known() {
		return "none"
	}
	return outcomeNames[o]
}

// OrderKind is the action that an order asks for.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace // sets the share of its full speed at which a run works
)

// Order tells a worker to start or stop a run, or to change its pace.
type Order struct {
	Kind        OrderKind
	Worker      unit.InstanceID
	Incarnation Incarnation // the order is valid for this incarnation only
	Task        graph.Task
	Run         graph.RunNumber
	Spec        string // OrderStart: passed on from the job
	Checkpoint  string // OrderStart: to resume from; may be empty
	Ticket      Ticket // OrderStart: from the placement advice; may be empty
	PacePercent int    // OrderPace: the share of full speed
	Reason      Reason
	FirstStart  bool      // OrderStart: no task of the job is known to have started before
	JobDue      time.Time // OrderStart: when the job was allowed to start
	Capped      bool      // OrderStart: the organisation of the job has a cap
	Relayed     bool      // OrderStart: to be sent through another entry, as the owner's link is short
}

// Reason says why the core gave an order. It is meant for logs.
type Reason string

// Reasons of orders.
const (
	ReasonReady           Reason = "ready"           // the steps before the task are complete
	ReasonCancelled       Reason = "cancelled"       // the job was cancelled
	ReasonObsolete        Reason = "obsolete"        // the task does not need the run
	ReasonUnanswered      Reason = "unanswered"      // the start had no answer and the worker does not report the run
	ReasonStalled         Reason = "stalled"         // the run makes no progress
	ReasonDraining        Reason = "draining"        // the worker is about to exit
	ReasonPreempted       Reason = "preempted"       // a more urgent task needs the capacity
	ReasonTailAboveTarget Reason = "tail over goal"  // a serving task on the worker misses its latency target
	ReasonTailBelowTarget Reason = "tail below goal" // the serving tasks on the worker have headroom again
	ReasonGangEnded       Reason = "gang ended"      // another member of the gang ended
	ReasonUpkeep          Reason = "upkeep"          // the worker's machine is due for upkeep
	ReasonSlowed          Reason = "slowed"          // the run was slowed for long and can be faster elsewhere
	ReasonRepeated        Reason = "repeated"        // an earlier order to the same effect had no useful answer
)

// FinalState is the final state that the core has decided for a job. It must be
// durable before callers see it.
type FinalState struct {
	Job   unit.JobID
	State graph.State
	Cause string
}
