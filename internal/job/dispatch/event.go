package dispatch

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Fault classifies the failure of a call to the store or to a worker.
type Fault uint8

// Kinds of faults.
const (
	FaultNone       Fault = iota
	FaultNoEffect         // the call certainly had no effect
	FaultUnknown          // the call may have had an effect, or may still have one
	FaultConflict         // store: the condition of a write did not hold
	FaultStaleEpoch       // worker: it has seen a higher epoch
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Events. Each is either the answer to an action or a change outside the core.
type (
	// Tick lets the core handle what depends on time alone. The caller sends one
	// at least twice a second.
	Tick struct{}

	// StartConditions holds the deadlines under which the entry may start tasks,
	// and the target document. The document must be read after the deadlines, so
	// that it is at least as new as the read that confirmed it.
	StartConditions struct {
		// ValidUntil is the end of the registration under which the shard is
		// owned, or zero if the entry now has another registration.
		ValidUntil time.Time
		StartUntil time.Time // until when the confirmed configuration allows starts to be sent
		NotAfter   time.Time // after when workers must refuse starts under that configuration
		Document   *spec.Document
	}

	// Fleet holds the workers of the shard from the instance list, the largest
	// worker of all shards, and the shards to which tasks may be moved.
	// ZoneShards is the number of shards of the zone with live workers, and
	// ZoneIndex the index of this shard among them. The replicas of the zone are
	// split over these shards. Both are 0 if this shard has no live worker.
	Fleet struct {
		Workers     []ListedWorker
		Largest     queue.LargestWorkers
		MoveTargets []unit.ShardID
		ZoneIndex   int
		ZoneShards  int
	}

	// TeamUsage holds the known resource usage of each team on other shards.
	TeamUsage map[unit.TeamID]unit.Resources

	// LedgerRead is the answer to ReadLedger. Value is nil if the ledger does not
	// exist.
	LedgerRead struct {
		Value    []byte
		Revision unit.Revision
		Fault    Fault
	}

	// LedgerWritten is the answer to WriteLedger.
	LedgerWritten struct {
		Revision unit.Revision
		Fault    Fault
	}

	// JobsListed is the answer to ListJobs.
	JobsListed struct {
		Jobs  []JobChanged
		Fault Fault
	}

	// JobChanged reports that a job record was written or deleted. It is also the
	// answer to ReadJob.
	JobChanged struct {
		Job      unit.JobID
		Record   ledger.Record
		Revision unit.Revision
		Deleted  bool
	}

	// JobWritten is the answer to WriteJob.
	JobWritten struct {
		Job      unit.JobID
		Revision unit.Revision
		Fault    Fault
	}

	// OrdersSent is the answer to SendOrders.
	OrdersSent struct {
		Worker         unit.InstanceID
		Sent, Received time.Time
		Reply          worker.OrderReply
		Fault          Fault
	}

	// HeartbeatSent is the answer to SendHeartbeat.
	HeartbeatSent struct {
		Worker         unit.InstanceID
		Sent, Received time.Time
		Report         worker.Report
		Fault          Fault
	}

	// Evict requests an action against one attempt: ActionThrottle with a share,
	// ActionCheckpoint or ActionStop. It has no effect on an attempt that has
	// ended.
	Evict struct {
		Ref      worker.Ref
		Action   worker.Action
		Share    float64
		Why      string
		ForClass unit.ClassID // class whose target the eviction serves, or empty
	}

	// OwnershipLost reports that another entry owns the shard.
	OwnershipLost struct{}

	// ReleaseRequested asks the core to release the shard after the calls in
	// flight.
	ReleaseRequested struct{}
)

// ListedWorker is a worker of the shard as the instance list has it.
type ListedWorker struct {
	ID       unit.InstanceID
	Rack     unit.RackID
	Capacity unit.Resources
	Live     bool
}

func (Tick) event()             {}
func (StartConditions) event()  {}
func (Fleet) event()            {}
func (TeamUsage) event()        {}
func (LedgerRead) event()       {}
func (LedgerWritten) event()    {}
func (JobsListed) event()       {}
func (JobChanged) event()       {}
func (JobWritten) event()       {}
func (OrdersSent) event()       {}
func (HeartbeatSent) event()    {}
func (Evict) event()            {}
func (OwnershipLost) event()    {}
func (ReleaseRequested) event() {}

// Action is an output of Core.Step. The caller answers each action that makes a
// call with one event.
type Action interface{ action() }

// Actions.
type (
	// ReadLedger reads the ledger of the shard.
	ReadLedger struct{}

	// WriteLedger writes the ledger if it is still at Revision. Revision 0 means
	// that the ledger does not exist.
	WriteLedger struct {
		Value    []byte
		Revision unit.Revision
	}

	// ListJobs reads all job records. The read must begin after this action.
	ListJobs struct{}

	// ReadJob reads one job record.
	ReadJob struct{ Job unit.JobID }

	// WriteJob writes a job record if it is still at Revision.
	WriteJob struct {
		Job      unit.JobID
		Record   ledger.Record
		Revision unit.Revision
	}

	// SendOrders sends a batch of orders to a worker. Deadline, if not zero, is
	// checked immediately before the send; once it is reached, nothing is sent
	// and the answer is FaultNoEffect.
	SendOrders struct {
		Worker   unit.InstanceID
		Deadline time.Time
		Batch    worker.OrderBatch
	}

	// SendHeartbeat sends a heartbeat to a worker. Deadline is as in SendOrders.
	SendHeartbeat struct {
		Worker    unit.InstanceID
		Deadline  time.Time
		Heartbeat worker.Heartbeat
	}

	// ReleaseShard writes the record of the shard as released, with Inherited as
	// in shard.Record. It is the last action of the core.
	ReleaseShard struct{ Inherited bool }

	// Shutdown is the last action of a core that does not release its shard.
	Shutdown struct{}

	// RecordEvent records an event in the journal.
	RecordEvent struct{ Event journal.Event }
)

func (ReadLedger) action()    {}
func (WriteLedger) action()   {}
func (ListJobs) action()      {}
func (ReadJob) action()       {}
func (WriteJob) action()      {}
func (SendOrders) action()    {}
func (SendHeartbeat) action() {}
func (ReleaseShard) action()  {}
func (Shutdown) action()      {}
func (RecordEvent) action()   {}
