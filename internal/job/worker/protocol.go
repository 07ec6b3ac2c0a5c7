// Package worker is the client side of a worker's task protocol, which
// docs/worker.md describes.
//
// Every call carries the shard and the epoch of the sender. A worker remembers
// the highest epoch it has seen for its shard and refuses a lower one, so an
// owner that was replaced cannot change anything.
package worker

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Ref names one attempt of one task.
type Ref struct {
	Task    unit.TaskID  `json:"task"`
	Attempt unit.Attempt `json:"attempt"`
}

// Fence identifies the sender's ownership of the shard.
type Fence struct {
	Shard string     `json:"shard"` // unit.ShardID in its text form
	Epoch unit.Epoch `json:"epoch"`
}

// Action is what an order asks of a worker.
type Action string

// Actions. All are idempotent by (Ref, Action): a repeated order has no further
// effect and gets the same result.
const (
	ActionStart      Action = "start"
	ActionThrottle   Action = "throttle"   // limits the task to Order.Share of its cores
	ActionCheckpoint Action = "checkpoint" // writes a checkpoint, then stops the task
	ActionStop       Action = "stop"
)

// Order asks for one action on one attempt.
type Order struct {
	Ref
	Action Action `json:"action"`
	// Start only.
	Class      unit.ClassID      `json:"class,omitempty"`
	Size       unit.Resources    `json:"size,omitzero"`
	Work       unit.Duration     `json:"work,omitempty"`       // declared run time; 0 runs until stopped
	Payload    string            `json:"payload,omitempty"`    // opaque to the system
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"` // of the attempt that this one follows
	LeaseEnd   unit.WorkerTime   `json:"lease,omitempty"`      // the worker stops the task at this reading
	NotAfter   unit.WorkerTime   `json:"notafter,omitempty"`   // the worker refuses the start after this reading
	// Throttle only: 1 lifts the limit.
	Share float64 `json:"share,omitempty"`
}

// OrderBatch is the body of POST /v1/orders.
type OrderBatch struct {
	Fence Fence `json:"fence"`
	// Boot names the boot whose clock the times of the orders refer to. A worker
	// that has restarted since refuses starts as CodeLate: on its new clock the
	// not-after would mean nothing.
	Boot   string  `json:"boot"`
	Orders []Order `json:"orders"`
}

// Code says how an order ended.
type Code string

// Codes of an order.
const (
	CodeOK         Code = "ok"
	CodeLate       Code = "late"     // NotAfter has passed; nothing was started
	CodeNoCapacity Code = "full"     // the worker lacks the resources; nothing was started
	CodeDraining   Code = "draining" // the worker is leaving; nothing was started
	CodeMissing    Code = "missing"  // no such attempt here
	CodeEnded      Code = "over"     // this attempt has already ended here
	CodeInvalid    Code = "invalid"
)

// Result answers one order, in the order of the batch.
type Result struct {
	Ref
	Code       Code              `json:"code"`
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"`
}

// OrderReply answers an OrderBatch.
type OrderReply struct {
	Clock   unit.WorkerTime `json:"clock"`
	Results []Result        `json:"results"`
}

// Renewal sets the lease end of one running attempt.
type Renewal struct {
	Ref
	LeaseEnd unit.WorkerTime `json:"lease"`
}

// Heartbeat is the body of POST /v1/heartbeat.
type Heartbeat struct {
	Fence  Fence     `json:"fence"`
	Renew  []Renewal `json:"renew,omitempty"`
	Forget []Ref     `json:"forget,omitempty"` // ended attempts whose end is durable
}

// State is the state of a worker by its own word.
type State string

// States of a worker.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Phase is the phase of an attempt on a worker.
type Phase string

// Phases. All but PhaseRunning mean that the attempt is over here.
const (
	PhaseRunning      Phase = "running"
	PhaseDone         Phase = "done"
	PhaseFailed       Phase = "failed"
	PhaseStopped      Phase = "stopped"
	PhaseCheckpointed Phase = "checkpointed"
	PhaseExpired      Phase = "expired" // the lease ended without renewal
)

// Status is one attempt that the worker runs, or has ended and not yet been told
// to forget.
type Status struct {
	Ref
	Phase      Phase             `json:"phase"`
	Class      unit.ClassID      `json:"class"`
	Size       unit.Resources    `json:"size"`
	LeaseEnd   unit.WorkerTime   `json:"lease"`
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"`
	Reason     string            `json:"reason,omitempty"` // of a failure
	Share      float64           `json:"share,omitempty"`  // of its cores, if throttled
}

// Usage is what one attempt, or the service of the worker, used at Clock, which
// lies some seconds back.
type Usage struct {
	Ref
	Clock  unit.WorkerTime `json:"clock"`
	Cores  unit.Millicores `json:"cores"`
	Memory unit.Bytes      `json:"memory"`
}

// Report answers a Heartbeat.
type Report struct {
	Clock    unit.WorkerTime `json:"clock"`
	Boot     string          `json:"boot"` // changes when the worker restarts and its clock begins anew
	State    State           `json:"state"`
	Capacity unit.Resources  `json:"capacity"`
	Reserved unit.Resources  `json:"reserved"` // by the worker's own service
	Tasks    []Status        `json:"tasks"`
	Usage    []Usage         `json:"usage,omitempty"`
}

// StaleEpoch is the body of status 409, for a Fence whose epoch is too low.
type StaleEpoch struct {
	Epoch unit.Epoch `json:"epoch"` // the highest that the worker has seen
}
