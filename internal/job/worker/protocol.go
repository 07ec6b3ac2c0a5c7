// Package worker is the client side of a worker's task protocol, which
// docs/worker.md describes.
//
// Every call carries the shard and the epoch of the sender. The epoch is
// a fencing token: a worker remembers the highest epoch it has seen for its shard
// and rejects a lower one, so a replaced owner cannot change anything.
package worker

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Ref identifies one attempt of one task.
type Ref struct {
	Task    unit.TaskID  `json:"task"`
	Attempt unit.Attempt `json:"attempt"`
}

// Fence identifies the sender's ownership of the shard; Epoch is the fencing token.
type Fence struct {
	Shard string     `json:"shard"` // unit.ShardID in its text form
	Epoch unit.Epoch `json:"epoch"`
}

// Action is what an order asks of a worker.
type Action string

// Actions of an order. Each is idempotent by (Ref, Action): a repeated order has
// no further effect and returns the same result.
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
	// For ActionStart only.
	Class      unit.ClassID      `json:"class,omitempty"`
	Size       unit.Resources    `json:"size,omitzero"`
	Work       unit.Duration     `json:"work,omitempty"`       // declared run time; 0 means until stopped
	Payload    string            `json:"payload,omitempty"`    // opaque to the system
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"` // checkpoint to resume from, written by the previous attempt
	LeaseEnd   unit.WorkerTime   `json:"lease,omitempty"`      // the worker stops the task when its clock reaches this time
	NotAfter   unit.WorkerTime   `json:"notafter,omitempty"`   // the worker rejects the start after this time on its clock
	// For ActionThrottle only: the share of the cores, 0 to 1; 1 removes the limit.
	Share float64 `json:"share,omitempty"`
}

// OrderBatch is the body of POST /v1/orders.
type OrderBatch struct {
	Fence Fence `json:"fence"`
	// Boot identifies the boot whose clock the times of the orders refer to. A
	// worker that has restarted since then rejects starts with CodeLate, because
	// NotAfter has no meaning on its new clock.
	Boot   string  `json:"boot"`
	Orders []Order `json:"orders"`
}

// Code is the outcome of an order.
type Code string

// Outcomes of an order.
const (
	CodeOK         Code = "ok"
	CodeLate       Code = "late"     // NotAfter has passed, or the worker has restarted; nothing was started
	CodeNoCapacity Code = "full"     // the worker lacks the resources; nothing was started
	CodeDraining   Code = "draining" // the worker is leaving; nothing was started
	CodeMissing    Code = "missing"  // the worker does not know the attempt
	CodeEnded      Code = "over"     // the attempt has already ended on this worker
	CodeInvalid    Code = "invalid"
)

// Result is the outcome of one order.
type Result struct {
	Ref
	Code       Code              `json:"code"`
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"`
}

// OrderReply is the response to an OrderBatch.
type OrderReply struct {
	Clock   unit.WorkerTime `json:"clock"`
	Results []Result        `json:"results"`
}

// Renewal sets a new lease end for one running attempt.
type Renewal struct {
	Ref
	LeaseEnd unit.WorkerTime `json:"lease"`
}

// Heartbeat is the body of POST /v1/heartbeat.
type Heartbeat struct {
	Fence  Fence     `json:"fence"`
	Renew  []Renewal `json:"renew,omitempty"`
	Forget []Ref     `json:"forget,omitempty"` // ended attempts whose outcome the owner has stored
}

// State is the state that a worker reports of itself.
type State string

// States of a worker.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Phase is the state of an attempt on a worker.
type Phase string

// Phases of an attempt. All except PhaseRunning are final.
const (
	PhaseRunning      Phase = "running"
	PhaseDone         Phase = "done"
	PhaseFailed       Phase = "failed"
	PhaseStopped      Phase = "stopped"
	PhaseCheckpointed Phase = "checkpointed"
	PhaseExpired      Phase = "expired" // the lease expired and the worker stopped the task
)

// Status describes an attempt that is running on the worker, or that has ended
// and that the owner has not yet told it to forget.
type Status struct {
	Ref
	Phase      Phase             `json:"phase"`
	Class      unit.ClassID      `json:"class"`
	Size       unit.Resources    `json:"size"`
	LeaseEnd   unit.WorkerTime   `json:"lease"`
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"`
	Reason     string            `json:"reason,omitempty"` // why the attempt failed
	Share      float64           `json:"share,omitempty"`  // share of its cores, if throttled
}

// Usage is the resource usage of one attempt, or of the worker's own service, as
// sampled at Clock, some seconds before the report.
type Usage struct {
	Ref
	Clock  unit.WorkerTime `json:"clock"`
	Cores  unit.Millicores `json:"cores"`
	Memory unit.Bytes      `json:"memory"`
}

// Report is the response to a Heartbeat.
type Report struct {
	Clock    unit.WorkerTime `json:"clock"`
	Boot     string          `json:"boot"` // identifies the boot; changes when the worker restarts, which resets its clock
	State    State           `json:"state"`
	Capacity unit.Resources  `json:"capacity"`
	Reserved unit.Resources  `json:"reserved"` // for the worker's own service
	Tasks    []Status        `json:"tasks"`
	Usage    []Usage         `json:"usage,omitempty"`
}

// StaleEpoch is the body of a response with status 409, which rejects a Fence
// whose epoch is too low.
type StaleEpoch struct {
	Epoch unit.Epoch `json:"epoch"` // the highest epoch that the worker has seen
}
