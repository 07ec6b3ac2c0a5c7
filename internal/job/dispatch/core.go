// Package dispatch schedules the tasks of a shard. Core makes the decisions and
// is pure: each call takes the time and an event and returns actions. Service
// runs a Core for each owned shard and executes the actions.
//
// The following rules keep a task from running twice. An attempt is durable in
// the ledger before its start is sent. An attempt has ended only when its worker
// reports so under the current epoch, or when its lease has certainly expired.
// The next attempt changes the same ledger entry. Before the job record assigns a
// task to another shard, all its attempts have ended, and the ledger says so
// durably.
package dispatch

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Placer accounts for the resources of the shard's workers and chooses workers
// for tasks.
type Placer interface {
	// Place proposes an open worker on which a task fits. It reserves nothing.
	Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool)
	// Reserve reserves the resources of an attempt. It changes nothing and
	// returns false if they are not free.
	Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool
	// Release frees the resources of an attempt.
	Release(id unit.InstanceID, ref worker.Ref)
	// Upsert adds or updates a worker and keeps its reservations.
	Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool)
	// Remove removes a worker and its reservations.
	Remove(id unit.InstanceID)
}

// PlacementPolicy is implemented by a Placer that also takes the targets of the
// classes into account.
type PlacementPolicy interface {
	// Describe announces a job that has or may get tasks on the shard.
	Describe(j *queue.Job)
	// Admit reports whether a task of a job may be placed now, and if not, why.
	Admit(j *queue.Job) (why string, ok bool)
	// Size returns the resources to reserve for a task of a job and to send with
	// its start.
	Size(j *queue.Job) unit.Resources
	// Refusal returns why Place found no worker for a task of a job, and the
	// worker that came closest, if any.
	Refusal(j *queue.Job) (why string, nearest unit.InstanceID)
}

// Intervals and timeouts of the scheduler.
const (
	// commitInterval is the minimum time between two ledger writes of a shard. It
	// limits 56 shards to 112 writes per second.
	commitInterval = 500 * time.Millisecond
	// reportTimeout is the age of the last report from which a worker gets no
	// tasks. It covers two heartbeats and their timeouts.
	reportTimeout = 12 * time.Second
	// pollInterval is the time between heartbeats to a worker whose next report
	// is needed soon, and the wait before orders are sent again after a call
	// without effect.
	pollInterval = time.Second
	// orderRetryInterval is the time after which an order without a visible
	// effect is repeated.
	orderRetryInterval = 2 * time.Second
	// checkpointTimeout is how long a task may take to write a checkpoint before
	// it is stopped.
	checkpointTimeout = 10 * time.Second
	// registrationValidity is how long a registration is valid after its last
	// renewal was sent. StartConditions.ValidUntil is this much later than that
	// store contact.
	registrationValidity = 5 * time.Second
)

// phase is a phase in the life of a core. Later phases have higher values.
type phase uint8

const (
	phaseReading   phase = iota // reading the ledger
	phaseFencing                // writing the ledger under its own epoch
	phaseListing                // reading the job records
	phaseActive                 // scheduling
	phaseReleasing              // waiting for calls in flight before the release
	phaseLost                   // only renewing leases
	phaseEnded
)

// Settings configures a Core.
type Settings struct {
	Shard unit.ShardID
	Epoch unit.Epoch
	// InheritedExpiry is the time from which all leases granted by earlier owners
	// have certainly expired.
	InheritedExpiry time.Time
	Placer          Placer
}

// Core schedules the tasks of one shard under one epoch.
type Core struct {
	Settings
	policy           PlacementPolicy // Placer as a PlacementPolicy, or nil
	now              time.Time
	phase            phase
	startConditions  StartConditions
	latestValidUntil time.Time // latest StartConditions.ValidUntil
	document         *spec.Document
	zoneOut          bool // the zone of the shard is out of service, or document is not known
	queue            *queue.Queue
	fleetLargest     queue.LargestWorkers           // over all shards
	shardLargest     queue.LargestWorkers           // in this shard
	zoneIndex        int                            // as Fleet.ZoneIndex
	zoneShards       int                            // as Fleet.ZoneShards
	moveTargets      []unit.ShardID                 // as Fleet.MoveTargets
	moveRotation     int                            // index into moveTargets, modulo its length
	otherUsage       TeamUsage                      // of the teams on other shards
	shardUsage       map[unit.TeamID]unit.Resources // of the teams on this shard
	jobs             map[unit.JobID]*job
	// retired holds the last revision of each job that was removed here, until the
	// watch has delivered that revision.
	retired       map[unit.JobID]unit.Revision
	workers       map[unit.InstanceID]*workerState
	sortedWorkers []*workerState // by id, so that the actions are deterministic
	commit        groupCommit
	dirtyJobs     []unit.JobID  // jobs whose record may need a write
	jobWrite      *jobWrite     // write in flight, or nil
	jobRead       unit.JobID    // job whose record is being read, or empty
	nextJobCall   time.Time     // earliest time of the next job record write, set after a fault
	delayedTasks  []delayedTask // tasks that wait before their next attempt, by time
	placementDue  bool          // set by any change that may allow a placement
	actions       []Action
}

// NewCore returns the core of an entry that has just claimed the shard.
func NewCore(s Settings) *Core {
	policy, _ := s.Placer.(PlacementPolicy)
	return &Core{
		Settings:   s,
		policy:     policy,
		queue:      queue.New(),
		zoneOut:    true,
		shardUsage: map[unit.TeamID]unit.Resources{},
		jobs:       map[unit.JobID]*job{},
		retired:    map[unit.JobID]unit.Revision{},
		workers:    map[unit.InstanceID]*workerState{},
	}
}

// Step handles an event and returns the resulting actions. StartConditions, Fleet
// and TeamUsage only update inputs for the next event of another type, because
// the caller samples them before each event.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.phase == phaseEnded {
		return nil
	}
	c.now, c.actions = now, nil
	switch e := e.(type) {
	case StartConditions:
		c.setStartConditions(e)
		return c.actions
	case Fleet:
		c.setFleet(e)
		return c.actions
	case TeamUsage:
		c.otherUsage = e
		return c.actions
	case Tick:
		c.placementDue = true
	case LedgerRead:
		c.handleLedgerRead(e)
	case LedgerWritten:
		c.handleLedgerWritten(e)
	case JobsListed:
		c.handleJobsListed(e)
	case JobChanged:
		c.handleJobChanged(e)
	case JobWritten:
		c.handleJobWritten(e)
	case OrdersSent:
		c.handleOrdersSent(e)
	case HeartbeatSent:
		c.handleHeartbeatSent(e)
	case Evict:
		c.handleEvict(e)
	case OwnershipLost:
		c.loseShard("another entry owns the shard")
	case ReleaseRequested:
		if c.phase < phaseReleasing {
			c.phase = phaseReleasing
		}
	}
	c.runPhase()
	return c.actions
}

// runPhase does everything that is due after an event.
func (c *Core) runPhase() {
	switch c.phase {
	case phaseReading, phaseFencing, phaseListing:
		c.takeOver()
	case phaseActive:
		c.expireLeases()
		c.updateWorkers()
		c.applyTargets()
		c.placePending()
		c.writeNextRecord()
		c.writeLedger()
		c.sendDueCalls()
	case phaseReleasing:
		c.releaseShard()
	case phaseLost:
		c.sendDueCalls()
		c.endLost()
	}
}

func (c *Core) setStartConditions(e StartConditions) {
	c.startConditions = e
	if e.ValidUntil.After(c.latestValidUntil) {
		c.latestValidUntil = e.ValidUntil
	}
	if e.Document == nil || e.Document == c.document {
		return
	}
	c.document, c.placementDue = e.Document, true
	c.queue.Configure(e.Document)
	out := e.Document.ZoneOut(c.Shard.Zone)
	if out != c.zoneOut {
		c.recordEvent("zone out of service: "+yesNo(out), "target document", journal.Subject{Kind: journal.KindZone, ID: string(c.Shard.Zone)})
	}
	c.zoneOut = out
}

// startDeadline returns the time until which starts may be sent, or the zero time
// if no start may be sent.
func (c *Core) startDeadline() time.Time {
	deadline := c.startConditions.ValidUntil
	if c.startConditions.StartUntil.Before(deadline) {
		deadline = c.startConditions.StartUntil
	}
	if c.zoneOut || c.phase != phaseActive || !c.now.Before(deadline) {
		return time.Time{}
	}
	return deadline
}

// notAfter returns the time, on the entry's clock, after which workers must
// refuse a start. It is not later than the end of the registration, since a
// successor may own the shard from then on.
func (c *Core) notAfter() time.Time {
	if c.startConditions.ValidUntil.Before(c.startConditions.NotAfter) {
		return c.startConditions.ValidUntil
	}
	return c.startConditions.NotAfter
}

// renewDeadline returns the time until which leases may be renewed. A successor
// that cannot reach a worker waits for leases to expire and relies on this bound.
func (c *Core) renewDeadline() time.Time {
	return c.latestValidUntil.Add(lease.MaxDisconnected - registrationValidity)
}

// loseShard stops everything but the renewal of leases, so that tasks keep
// running on workers that the new owner cannot reach yet.
func (c *Core) loseShard(why string) {
	if c.phase >= phaseLost {
		return
	}
	c.phase = phaseLost
	c.recordEvent("lost", why, c.subject())
}

// endLost shuts down a core that lost its shard once it has no lease left to
// renew.
func (c *Core) endLost() {
	for _, w := range c.sortedWorkers {
		if !w.staleEpoch && len(w.tasks) > 0 && c.now.Before(c.renewDeadline()) {
			return
		}
	}
	c.phase = phaseEnded
	c.actions = append(c.actions, Shutdown{})
}

// releaseShard releases the shard once no call is in flight and the ledger is
// written. No lease is renewed afterwards, so a successor has to wait for one
// lease.TTL only.
func (c *Core) releaseShard() {
	for _, w := range c.sortedWorkers {
		if w.callInFlight {
			return
		}
	}
	if c.commit.loaded && c.commit.durableChange < c.commit.lastChange || c.commit.callInFlight {
		c.writeLedger()
		return
	}
	if c.jobWrite != nil {
		return
	}
	bound := c.now.Add(lease.TTL + lease.DriftAllowance(lease.TTL))
	inherited := !c.commit.loaded && c.InheritedExpiry.After(bound)
	for _, w := range c.sortedWorkers {
		for _, t := range w.tasks {
			inherited = inherited || t.leaseExpiry.After(bound)
		}
	}
	c.phase = phaseEnded
	c.recordEvent("released", "requested", c.subject())
	c.actions = append(c.actions, ReleaseShard{Inherited: inherited})
}

func (c *Core) subject() journal.Subject {
	return journal.Subject{Kind: journal.KindShard, ID: c.Shard.String()}
}

func (c *Core) recordEvent(what, why string, subjects ...journal.Subject) {
	c.actions = append(c.actions, RecordEvent{journal.Event{Time: c.now, Subjects: subjects, What: what, Why: why}})
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
