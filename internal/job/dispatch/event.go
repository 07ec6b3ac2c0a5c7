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

// Fault says how a call to the store or to a worker failed.
type Fault uint8

// Faults.
const (
	FaultNone       Fault = iota
	FaultNoEffect         // the call surely took no effect
	FaultUnknown          // the call may have taken effect, now or later
	FaultConflict         // store: the condition did not hold
	FaultStaleEpoch       // worker: it has seen a higher epoch
)

// Event is an input of a Core.
type Event interface{ event() }

// Events.
type (
	// Tick lets time-outs fall due. The shell sends one at least twice a second.
	Tick struct{}

	// StartConditions has the deadlines under which the entry may start tasks, and the
	// target document. The document must have been taken after the deadlines, so
	// that it is at least as new as the read that confirmed it.
	StartConditions struct {
		ValidUntil time.Time // of the registration under which the shard is held; zero if it is another one
		StartUntil time.Time
		NotAfter   time.Time
		Document   *spec.Document
	}

	// Fleet has the workers of the shard by the instance list, the largest
	// worker of all, and the shards to which tasks may be moved. Of the shards of
	// the zone, ZoneShards have live workers, and this one has ZoneIndex among them;
	// the replicas of the zone are split over these.
	Fleet struct {
		Workers     []ListedWorker
		Largest     queue.Largest
		MoveTargets []unit.ShardID
		ZoneIndex   int
		ZoneShards  int
	}

	// TeamUsage has what each team uses on other shards, as far as it is known.
	TeamUsage map[unit.TeamID]unit.Resources

	// LedgerRead answers ReadLedger. Value is nil if there is no ledger.
	LedgerRead struct {
		Value    []byte
		Revision unit.Revision
		Fault    Fault
	}

	// LedgerWritten answers WriteLedger.
	LedgerWritten struct {
		Revision unit.Revision
		Fault    Fault
	}

	// JobsListed answers ListJobs.
	JobsListed struct {
		Jobs  []JobChanged
		Fault Fault
	}

	// JobChanged has a job record that was written, or its deletion. It also
	// answers ReadJob.
	JobChanged struct {
		Job      unit.JobID
		Record   ledger.Record
		Revision unit.Revision
		Deleted  bool
	}

	// JobWritten answers WriteJob.
	JobWritten struct {
		Job      unit.JobID
		Revision unit.Revision
		Fault    Fault
	}

	// OrdersSent answers SendOrders.
	OrdersSent struct {
		Worker         unit.InstanceID
		Sent, Received time.Time
		Reply          worker.OrderReply
		Fault          Fault
	}

	// HeartbeatSent answers SendHeartbeat.
	HeartbeatSent struct {
		Worker         unit.InstanceID
		Sent, Received time.Time
		Report         worker.Report
		Fault          Fault
	}

	// Evict asks for a step against one attempt: ActionThrottle with a share,
	// ActionCheckpoint or ActionStop. An attempt that is over is left as it is.
	Evict struct {
		Ref      worker.Ref
		Action   worker.Action
		Share    float64
		Why      string
		ForClass unit.ClassID // whose target asks for it
	}

	// OwnershipLost says that another entry owns the shard.
	OwnershipLost struct{}

	// ReleaseRequested asks for the shard to be given up in an orderly way.
	ReleaseRequested struct{}
)

// ListedWorker is a worker of the shard by the instance list.
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

// Action is an output of a Core. The shell answers each call with one event.
type Action interface{ action() }

// Actions.
type (
	// ReadLedger asks for the ledger of the shard.
	ReadLedger struct{}

	// WriteLedger writes the ledger if it is still at Revision; 0 means that it
	// does not exist.
	WriteLedger struct {
		Value    []byte
		Revision unit.Revision
	}

	// ListJobs asks for all job records. The read must begin after this action.
	ListJobs struct{}

	// ReadJob asks for one job record.
	ReadJob struct{ Job unit.JobID }

	// WriteJob writes a job record if it is still at Revision.
	WriteJob struct {
		Job      unit.JobID
		Record   ledger.Record
		Revision unit.Revision
	}

	// SendOrders sends a batch to a worker. Deadline, if not zero, is compared
	// with the time immediately before the send; after it nothing is sent and
	// the answer is FaultNoEffect.
	SendOrders struct {
		Worker   unit.InstanceID
		Deadline time.Time
		Batch    worker.OrderBatch
	}

	// SendHeartbeat sends a heartbeat to a worker, with Deadline as for orders.
	SendHeartbeat struct {
		Worker    unit.InstanceID
		Deadline  time.Time
		Heartbeat worker.Heartbeat
	}

	// ReleaseShard writes the shard's record as released. Inherited is as in
	// shard.Record. The core does nothing further.
	ReleaseShard struct{ Inherited bool }

	// Shutdown says that the core does nothing further, without a release.
	Shutdown struct{}

	// RecordEvent is an event for the journal.
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
