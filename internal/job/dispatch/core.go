// Package dispatch is the scheduler of a shard. Core decides and is pure: every
// call takes the time and an event and returns actions. Service is the shell that
// carries the actions out.
//
// The rules that keep a task from running twice are these. An attempt is durable
// in the ledger before its start is sent. An attempt is over only by the word of
// its worker under the present epoch, or once its lease has surely expired. The
// next attempt is a change of the same ledger entry. A task that goes to another
// shard is over, and durably so, before the job record assigns it there.
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

// Placer keeps account of the resources of the shard's workers and chooses
// workers for tasks.
type Placer interface {
	// Place proposes an open worker on which a task fits, and reserves nothing.
	Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool)
	// Reserve takes the resources of an attempt, and reports false without a
	// change if they are not free.
	Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool
	// Release returns the resources of an attempt.
	Release(id unit.InstanceID, ref worker.Ref)
	// Upsert adds or changes a worker. Reservations stay.
	Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool)
	// Remove forgets a worker and its reservations.
	Remove(id unit.InstanceID)
}

// PlacementPolicy is a Placer that follows the targets of the classes as well.
type PlacementPolicy interface {
	// Describe tells of a job that has or may get tasks on the shard.
	Describe(j *queue.Job)
	// Admit reports whether a task of a job may be placed now, and if not, why.
	Admit(j *queue.Job) (why string, ok bool)
	// Size returns what to reserve for a task of a job, and to give to it.
	Size(j *queue.Job) unit.Resources
	// Refusal says why Place found no worker for a task of a job, and which worker
	// came nearest, if any.
	Refusal(j *queue.Job) (why string, nearest unit.InstanceID)
}

// Times of the scheduler.
const (
	// commitInterval is the least time between two ledger writes of a shard, so
	// that 56 shards make at most 112 writes per second.
	commitInterval = 500 * time.Millisecond
	// silence is how long a worker may go without a report and still get tasks:
	// two heartbeats and their time-outs.
	silence = 12 * time.Second
	// probeInterval is the time between heartbeats to a worker from which a
	// report is awaited.
	probeInterval = time.Second
	// orderInterval is the time after which an order that shows no effect is
	// repeated.
	orderInterval = 2 * time.Second
	// checkpointLimit is how long a task may take to write its checkpoint before
	// it is stopped.
	checkpointLimit = 10 * time.Second
	// registrationSpan is the validity of a registration after the send of its
	// last renewal. StartConditions.ValidUntil lies this much after that store contact.
	registrationSpan = 5 * time.Second
)

// phase is the phase of a core.
type phase uint8

const (
	phaseReading   phase = iota // reads the ledger
	phaseFencing                // writes the ledger under its own epoch
	phaseListing                // reads the job records
	phaseActive                 // schedules
	phaseReleasing              // waits for calls in flight, then gives up the shard
	phaseLost                   // only renews leases
	phaseEnded
)

// Settings are what a core is created with.
type Settings struct {
	Shard unit.ShardID
	Epoch unit.Epoch
	// InheritedExpiry is the time from which leases granted by earlier owners have
	// surely expired.
	InheritedExpiry time.Time
	Placer          Placer
}

// Core is the scheduler of one shard under one epoch.
type Core struct {
	Settings
	adviser   PlacementPolicy // the placer, if it is one
	now       time.Time
	phase     phase
	limits    StartConditions
	lastValid time.Time // latest ValidUntil seen
	document  *spec.Document
	zoneOut   bool
	queue     *queue.Queue
	largest   queue.Largest // of all workers
	local     queue.Largest // of the shard's workers
	position  int           // among the siblings
	siblings  int           // shards of the zone with workers, 0 if this one has none
	targets   []unit.ShardID
	rotation  int // position in targets of the next move
	others    TeamUsage
	usage     map[unit.TeamID]unit.Resources
	jobs      map[unit.JobID]*job
	retired   map[unit.JobID]unit.Revision // jobs dropped here, until the watch has passed their last change
	nodes     map[unit.InstanceID]*node
	order     []*node // by id, so that equal inputs give equal actions
	book      commit
	wishes    []unit.JobID // jobs whose record may have to change
	jobWrite  *jobWrite    // in flight
	jobRead   unit.JobID   // record being read
	jobNext   time.Time    // of the next call about a job record after a fault
	delayed   []delayed    // failed tasks by the time of their next attempt
	place     bool         // something changed that may let a pending task be placed
	actions   []Action
}

// NewCore returns a core for an entry that has just claimed the shard.
func NewCore(s Settings) *Core {
	adviser, _ := s.Placer.(PlacementPolicy)
	return &Core{
		Settings: s,
		adviser:  adviser,
		queue:    queue.New(),
		zoneOut:  true,
		usage:    map[unit.TeamID]unit.Resources{},
		jobs:     map[unit.JobID]*job{},
		retired:  map[unit.JobID]unit.Revision{},
		nodes:    map[unit.InstanceID]*node{},
	}
}

// Step takes an event and returns the actions that follow from it. StartConditions,
// Fleet and Usage only change what the next other event is judged by, since the
// shell samples them before each.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.phase == phaseEnded {
		return nil
	}
	c.now, c.actions = now, nil
	switch e := e.(type) {
	case StartConditions:
		c.confirm(e)
		return c.actions
	case Fleet:
		c.list(e)
		return c.actions
	case TeamUsage:
		c.others = e
		return c.actions
	case Tick:
		c.place = true
	case LedgerRead:
		c.ledgerRead(e)
	case LedgerWritten:
		c.ledgerWritten(e)
	case JobsListed:
		c.jobsListed(e)
	case JobChanged:
		c.jobChanged(e)
	case JobWritten:
		c.jobWritten(e)
	case OrdersSent:
		c.ordered(e)
	case HeartbeatSent:
		c.reported(e)
	case Evict:
		c.evict(e)
	case OwnershipLost:
		c.lose("another entry owns the shard")
	case ReleaseRequested:
		if c.phase < phaseReleasing {
			c.phase = phaseReleasing
		}
	}
	c.proceed()
	return c.actions
}

// proceed does everything that is due after an event.
func (c *Core) proceed() {
	switch c.phase {
	case phaseReading, phaseFencing, phaseListing:
		c.takeOver()
	case phaseActive:
		c.expire()
		c.updateNodes()
		c.adjust()
		c.placePending()
		c.writeJobs()
		c.writeLedger()
		c.sendDue()
	case phaseReleasing:
		c.release()
	case phaseLost:
		c.sendDue()
		c.endLost()
	}
}

func (c *Core) confirm(e StartConditions) {
	c.limits = e
	if e.ValidUntil.After(c.lastValid) {
		c.lastValid = e.ValidUntil
	}
	if e.Document == nil || e.Document == c.document {
		return
	}
	c.document, c.place = e.Document, true
	c.queue.Configure(e.Document)
	out := e.Document.ZoneOut(c.Shard.Zone)
	if out != c.zoneOut {
		c.note("zone out of service: "+yesNo(out), "target document", journal.Subject{Kind: journal.KindZone, ID: string(c.Shard.Zone)})
	}
	c.zoneOut = out
}

// startDeadline returns the time until which starts may be sent, or the zero
// time if none may be.
func (c *Core) startDeadline() time.Time {
	deadline := c.limits.ValidUntil
	if c.limits.StartUntil.Before(deadline) {
		deadline = c.limits.StartUntil
	}
	if c.zoneOut || c.phase != phaseActive || !c.now.Before(deadline) {
		return time.Time{}
	}
	return deadline
}

// notAfter returns the entry's time after which workers must refuse a start. The
// end of the registration counts as well, since a successor may own the shard
// from then on.
func (c *Core) notAfter() time.Time {
	if c.limits.ValidUntil.Before(c.limits.NotAfter) {
		return c.limits.ValidUntil
	}
	return c.limits.NotAfter
}

// renewDeadline returns the time until which leases may be renewed. A successor
// that cannot reach a worker relies on it.
func (c *Core) renewDeadline() time.Time {
	return c.lastValid.Add(lease.MaxDisconnected - registrationSpan)
}

// lose ends all but the renewal of leases. Tasks on a worker that the new owner
// cannot reach yet go on that way.
func (c *Core) lose(why string) {
	if c.phase >= phaseLost {
		return
	}
	c.phase = phaseLost
	c.note("lost", why, c.subject())
}

// endLost ends a core that lost its shard once it has nothing left to renew.
func (c *Core) endLost() {
	for _, n := range c.order {
		if !n.stale && len(n.tasks) > 0 && c.now.Before(c.renewDeadline()) {
			return
		}
	}
	c.phase = phaseEnded
	c.actions = append(c.actions, Shutdown{})
}

// release gives up the shard once no call is in flight and the ledger is
// written. Renewals stop here, so a successor has to wait for one term only.
func (c *Core) release() {
	for _, n := range c.order {
		if n.busy {
			return
		}
	}
	if c.book.loaded && c.book.durable < c.book.changes || c.book.calling {
		c.writeLedger()
		return
	}
	if c.jobWrite != nil {
		return
	}
	bound := c.now.Add(lease.TTL + lease.DriftAllowance(lease.TTL))
	inherited := !c.book.loaded && c.InheritedExpiry.After(bound)
	for _, n := range c.order {
		for _, t := range n.tasks {
			inherited = inherited || t.expires.After(bound)
		}
	}
	c.phase = phaseEnded
	c.note("released", "requested", c.subject())
	c.actions = append(c.actions, ReleaseShard{Inherited: inherited})
}

func (c *Core) subject() journal.Subject {
	return journal.Subject{Kind: journal.KindShard, ID: c.Shard.String()}
}

func (c *Core) note(what, why string, subjects ...journal.Subject) {
	c.actions = append(c.actions, RecordEvent{journal.Event{Time: c.now, Subjects: subjects, What: what, Why: why}})
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
