// Package scheduler decides which worker runs each task of a shard's jobs, and
// when a run is stopped or its pace changes.
//
// The package is pure: it has no goroutine, no clock and does no I/O. The caller
// passes events and the current time to the methods of Core, collects the
// resulting orders to workers with TakeOrders, executes them, and passes each
// outcome back.
package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/duration"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// Limits holds the platform bounds and settings that decisions depend on.
type Limits struct {
	// Baseline selects first fit in order of arrival, against which the adaptive
	// policy is measured.
	Baseline    bool
	MaxLease    time.Duration // longest lease that a worker accepts
	StopTimeout time.Duration // longest time that a worker takes to stop a task
	// StartBytesPerSecond bounds the bytes of start orders; 0 for no bound.
	StartBytesPerSecond unit.Bytes
	// OpenMemory bounds the memory of the open occurrences of jobs; 0 for no bound.
	OpenMemory unit.Bytes
	// JobMemory is what the jobs may take beside that; 0 for no bound. The core does not
	// enforce it, as jobs are accepted elsewhere: it tells what is left.
	JobMemory unit.Bytes
}

// runsPerEpoch is the size of the range of run numbers that each epoch uses.
// Owners need separate ranges because an owner does not know how often its
// predecessor started a task after the last durable progress. A task that keeps failing
// or being refused starts some 10 times a second.
const runsPerEpoch = 1_000_000

// Core holds the jobs and workers of one shard and decides for its owner. It is
// not safe for concurrent use.
type Core struct {
	limits            Limits
	epoch             unit.Epoch
	jobs              map[unit.JobID]*job
	openJobs          map[unit.JobID]*job // jobs without a durable final state
	open              openBudget
	jobMemory         jobMemory
	ended             []*job // jobs with a durable final state whose tasks are kept, oldest first
	workers           map[unit.InstanceID]*worker
	workersByService  map[unit.ServiceID][]*worker // listed workers, sorted by id
	workersByAddress  map[string][]*worker         // by the address that the instance list last gave
	evacuatedZones    map[unit.ZoneID]bool
	readySteps        []*step                  // steps with waiting tasks and no incomplete dependency
	inheritedProgress map[unit.JobID]Progress  // from earlier owners, by LoadProgress and early ends
	earlyEnds         map[unit.JobID]time.Time // unknown jobs with ends in inheritedProgress, and when the last one came
	images            map[string]*image        // by name
	imageIndexes      int                      // number of indexes that images have or had
	freeIndexes       []int                    // those that no image has
	releasedIndexes   []int                    // those that are free once the caches of addedPressures are cleared
	interference      *interference.Model
	durations         *duration.Estimator
	meanWork          overload.Means
	shortUntil        time.Time       // until when capacity counts as short
	assessed          []*occurrence   // reused by assess
	works             []overload.Work // of these
	arranged          []*step         // the result of arrangeBacklog
	movable           []*step         // reused by arrangeGroup
	policy            policy
	startBudget       startBudget
	candidates        candidates // of the step that is being placed
	organisations     organisations
	classShares       map[unit.ClassID]float64 // reused by learnFromTails
	// openWorkers are, of the workers of each service that the last placement pass has
	// ranked, those that were open, sorted by id.
	openWorkers             map[unit.ServiceID][]*worker
	unmetDemands            []unmetDemand // demands that no worker could meet in this pass
	lastPlacement           time.Time     // when the last placement pass began
	lastPreemption          time.Time     // when preemption was last tried
	addedPressuresClearedAt time.Time
	lastBestEffortPlacement time.Time // when a pass last included best-effort tasks
	lastRelocation          time.Time // when slowed runs were last checked for relocation
	lastDeadlineUpdate      time.Time // when all soft deadlines were last recomputed

	// durableWorkers are the workers named in the durable progress. Tasks start
	// only on these.
	durableWorkers map[unit.InstanceID]bool
	// unresolved are the workers that have not reported all of their runs and ends since
	// the takeover and may still run tasks of an earlier owner, with what is known of the
	// leases that earlier owners granted them.
	unresolved map[unit.InstanceID]inheritedLease
	// recordedLeases are the workers whose lease the durable progress may hold. They get no
	// longer one.
	recordedLeases   map[unit.InstanceID]bool
	leasesRecordedAt time.Time // when a snapshot last got the leases of workers
	// recordedClosed are the workers that the durable progress may hold as closed. Nothing
	// starts there.
	recordedClosed map[unit.InstanceID]bool
	// closedByEarlier are the unresolved workers that the previous owner recorded as closed.
	closedByEarlier map[unit.InstanceID]ClosedWorker
	knownToEarlier  map[unit.InstanceID]bool // workers that the progress of the previous owner names
	lastTick        time.Time
	tickingSince    time.Time // since when ticks have come without a gap of a second
	// reportingUnknown are the workers that may have unknown runs.
	reportingUnknown map[unit.InstanceID]*worker
	// inheritedLeasesExpireAt is when every lease granted by earlier owners has
	// expired, also those of which the progress holds nothing.
	inheritedLeasesExpireAt time.Time
	// unrecordedLeasesExpireAt is when the leases have expired of which the progress holds
	// nothing, unless the worker has restarted.
	unrecordedLeasesExpireAt time.Time
	// earlierStartsEndAt is when the last start by an earlier owner was decided at the
	// latest; zero: unknown.
	earlierStartsEndAt time.Time

	turns        map[unit.ServiceID]*turns
	reservations reservations

	shortages map[poolKey]shortage // of the pools in which tasks find no place
	rates     rateMeter            // of the organisations

	// Results that the caller has not taken yet.
	orders        []Order
	finalStates   []FinalState
	expiredLeases []ExpiredLease
	// resolvedSilent are the silent workers that were taken as free of runs of earlier owners.
	resolvedSilent  []unit.InstanceID
	replacedWorkers []ReplacedWorker

	progressChanged bool // progress differs from the last snapshot
	placementDue    bool // a change since the last pass may allow a placement
}

// New returns the core of the owner with the given epoch. By
// inheritedLeasesExpireAt every lease that earlier owners granted to workers has
// expired.
func New(limits Limits, epoch unit.Epoch, inheritedLeasesExpireAt time.Time) *Core {
	c := &Core{
		limits:                   limits,
		startBudget:              startBudget{perSecond: limits.StartBytesPerSecond},
		open:                     openBudget{limit: limits.OpenMemory},
		jobMemory:                jobMemory{limit: limits.JobMemory},
		epoch:                    epoch,
		jobs:                     map[unit.JobID]*job{},
		openJobs:                 map[unit.JobID]*job{},
		workers:                  map[unit.InstanceID]*worker{},
		workersByService:         map[unit.ServiceID][]*worker{},
		workersByAddress:         map[string][]*worker{},
		classShares:              map[unit.ClassID]float64{},
		openWorkers:              map[unit.ServiceID][]*worker{},
		evacuatedZones:           map[unit.ZoneID]bool{},
		inheritedProgress:        map[unit.JobID]Progress{},
		earlyEnds:                map[unit.JobID]time.Time{},
		images:                   map[string]*image{},
		interference:             interference.NewWithPrior(unknownPairPrior),
		durations:                duration.New(),
		meanWork:                 overload.Means{},
		durableWorkers:           map[unit.InstanceID]bool{},
		unresolved:               map[unit.InstanceID]inheritedLease{},
		recordedLeases:           map[unit.InstanceID]bool{},
		recordedClosed:           map[unit.InstanceID]bool{},
		closedByEarlier:          map[unit.InstanceID]ClosedWorker{},
		reportingUnknown:         map[unit.InstanceID]*worker{},
		turns:                    map[unit.ServiceID]*turns{},
		shortages:                map[poolKey]shortage{},
		unrecordedLeasesExpireAt: inheritedLeasesExpireAt,
		inheritedLeasesExpireAt:  inheritedLeasesExpireAt,
	}
	c.rates = &c.organisations.meter
	c.policy = adaptivePolicy{c}
	if limits.Baseline {
		c.policy = firstFitPolicy{}
	}
	return c
}

// TakeOrders returns the orders given since the last call.
func (c *Core) TakeOrders() []Order {
	o := c.orders
	c.orders = nil
	return o
}

// TakeFinalStates returns the final states decided since the last call.
func (c *Core) TakeFinalStates() []FinalState {
	f := c.finalStates
	c.finalStates = nil
	return f
}

// ExpiredLease names a worker whose lease has expired on the worker's own clock
// too. It is meant for logs.
type ExpiredLease struct {
	Worker unit.InstanceID
	Runs   int // runs that were abandoned with the lease
	// ReportAge is the time since the heartbeat was sent that the last report answers,
	// and AnswerAge since the oldest one without an answer; 0 if there is none.
	ReportAge, AnswerAge time.Duration
	Listed               bool // the instance list still has the worker
}

// TakeExpiredLeases returns the leases that expired since the last call.
func (c *Core) TakeExpiredLeases() []ExpiredLease {
	l := c.expiredLeases
	c.expiredLeases = nil
	return l
}

// SetEvacuatedZones replaces the set of zones that are out of service. No task
// starts in them.
func (c *Core) SetEvacuatedZones(zones map[unit.ZoneID]bool) {
	c.evacuatedZones = zones
	c.placementDue = true
}

// SetStartRelays sets how many other entries send starts for the owner.
func (c *Core) SetStartRelays(r StartRelays) { c.startBudget.relays = r }

// JobState returns the state of a job to show to callers, and whether the job is
// known. A final state is shown only once it is durable.
func (c *Core) JobState(id unit.JobID) (graph.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.final != 0 && j.finalDurable {
		return j.final, true
	}
	if j.started {
		return graph.Running, true
	}
	return graph.Queued, true
}

// JobOrganisation returns the organisation of a job, the queue that the job came over, and
// when it was accepted. All are zero if the job is unknown or has no organisation.
func (c *Core) JobOrganisation(id unit.JobID) (org unit.OrganisationID, queue graph.QueueID, accepted time.Time) {
	j := c.jobs[id]
	if j == nil || j.spec.Organisation == "" {
		return "", "", time.Time{}
	}
	return j.spec.Organisation, j.spec.Queue.ID, j.spec.Accepted
}

// PendingJobs returns how many open jobs of a queue have not started any task.
func (c *Core) PendingJobs(queue graph.QueueID) int {
	n := 0
	for _, j := range c.openJobs {
		if j.spec.Queue.ID == queue && !j.started && j.final == 0 {
			n++
		}
	}
	return n
}

// Tick applies every change that depends on time alone, such as expired leases and due
// occurrences.
func (c *Core) Tick(now time.Time) {
	if now.Sub(c.lastTick) > maxTickGap {
		c.tickingSince = now
	}
	c.lastTick = now
	c.resolveSilentWorkers(now)
	c.checkSilentWorkers(now)
	c.forgetEarlyEnds(now)
	for _, j := range c.openJobs {
		if c.open.parked[j.spec.ID] == nil {
			c.openDueOccurrences(j, now)
		}
	}
	c.dropEnded(now)
	c.openParked(now)
	c.updateSoftDeadlines(now)
	c.updateShares(now)
	c.releaseExpiredUnknownRuns(now)
	for _, w := range c.workers {
		c.expireLease(w, now)
		c.checkRuns(w, now)
		c.repeatOrders(w, false, now)
	}
	if now.Sub(c.addedPressuresClearedAt) > addedPressuresTTL {
		for _, i := range c.images {
			i.addedPressures = i.addedPressures[:0]
		}
		c.freeIndexes, c.releasedIndexes = append(c.freeIndexes, c.releasedIndexes...), c.releasedIndexes[:0]
		c.addedPressuresClearedAt = now
	}
	if c.policy.mayStopRuns() && now.Sub(c.lastRelocation) > relocateInterval {
		c.lastRelocation = now
		c.relocateSlowedRuns(now)
	}
	c.placementDue = true
}

// firstRunNumber returns the lowest run number of this owner's epoch.
func (c *Core) firstRunNumber() graph.RunNumber {
	return graph.RunNumber(c.epoch-1)*runsPerEpoch + 1
}
