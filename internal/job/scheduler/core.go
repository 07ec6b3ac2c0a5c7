// Package scheduler decides where the tasks of jobs run. It is pure: methods take
// events and the present time and record orders, which the caller takes and
// carries out. It has no goroutine, no clock and no I/O.
package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/duration"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// Limits are the bounds of the platform and the settings that decisions depend on.
type Limits struct {
	Baseline    bool          // first fit in order of arrival, to measure the policy against
	MaxLease    time.Duration // longest lease that a worker accepts
	StopTimeout time.Duration // longest time that a worker takes to stop a task
}

// runsPerEpoch separates the run numbers of owners: an owner does not know how
// often its predecessor started a task since the last durable progress.
const runsPerEpoch = 1000

// Core is the state of one shard.
type Core struct {
	limits                  Limits
	epoch                   unit.Epoch
	jobs                    map[unit.JobID]*job
	openJobs                map[unit.JobID]*job // those whose final state is not durable
	workers                 map[unit.InstanceID]*worker
	workersByService        map[unit.ServiceID][]*worker // listed workers, in order of id
	evacuatedZones          map[unit.ZoneID]bool
	readySteps              []*step // steps whose turn has come and that have waiting tasks
	inheritedProgress       map[unit.JobID]Progress
	images                  map[string]*image // by name
	interference            *interference.Model
	durations               *duration.Estimator
	policy                  policy
	riseCache               map[imagePair]float64 // rise of the pressure per share of cores, from the model
	unmetDemands            []unmetDemand         // what did not fit anywhere in this pass
	lastPlacement           time.Time             // of the last pass
	lastPreemption          time.Time             // when tasks to stop were last searched for
	unplaceableImages       map[*image]bool       // images of which no task could be placed in this pass
	riseCacheClearedAt      time.Time             // when pairs was last emptied
	lastBestEffortPlacement time.Time             // when filling tasks were last placed
	lastRelocation          time.Time             // when slowed runs were last looked at
	lastDeadlineUpdate      time.Time             // when objectives were last renewed

	durableWorkers          map[unit.InstanceID]bool // workers that the durable progress names
	unresolved              map[unit.InstanceID]bool // workers that have not reported since the takeover
	inheritedLeasesExpireAt time.Time                // from then on unresolved workers run nothing of earlier owners

	orders          []Order
	finalStates     []FinalState
	expiredLeases   []ExpiredLease
	progressChanged bool // progress differs from the last snapshot
	placementDue    bool // something changed that may allow a placement
}

// New returns the core of an owner. safe is when every lease that earlier owners
// gave to workers has expired.
func New(limits Limits, epoch unit.Epoch, safe time.Time) *Core {
	c := &Core{
		limits:                  limits,
		epoch:                   epoch,
		jobs:                    map[unit.JobID]*job{},
		openJobs:                map[unit.JobID]*job{},
		riseCache:               map[imagePair]float64{},
		unplaceableImages:       map[*image]bool{},
		workers:                 map[unit.InstanceID]*worker{},
		workersByService:        map[unit.ServiceID][]*worker{},
		evacuatedZones:          map[unit.ZoneID]bool{},
		inheritedProgress:       map[unit.JobID]Progress{},
		images:                  map[string]*image{},
		interference:            interference.NewWithPrior(unknownPairPrior),
		durations:               duration.New(),
		durableWorkers:          map[unit.InstanceID]bool{},
		unresolved:              map[unit.InstanceID]bool{},
		inheritedLeasesExpireAt: safe,
	}
	c.policy = adaptivePolicy{c}
	if limits.Baseline {
		c.policy = firstFitPolicy{}
	}
	return c
}

// TakeOrders returns the orders since the last call.
func (c *Core) TakeOrders() []Order {
	o := c.orders
	c.orders = nil
	return o
}

// TakeFinalStates returns the final states since the last call.
func (c *Core) TakeFinalStates() []FinalState {
	f := c.finalStates
	c.finalStates = nil
	return f
}

// ExpiredLease is a worker whose lease has surely expired, for logs.
type ExpiredLease struct {
	Worker unit.InstanceID
	Runs   int
}

// TakeExpiredLeases returns the workers that were given up since the last call.
func (c *Core) TakeExpiredLeases() []ExpiredLease {
	l := c.expiredLeases
	c.expiredLeases = nil
	return l
}

// SetEvacuatedZones replaces the set of zones in which nothing may start.
func (c *Core) SetEvacuatedZones(zones map[unit.ZoneID]bool) {
	c.evacuatedZones = zones
	c.placementDue = true
}

// JobState returns the state of a job as callers may see it. A final state is shown
// only once it is durable.
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

// PendingJobs returns the number of accepted jobs of a queue without a started task.
func (c *Core) PendingJobs(queue graph.QueueID) int {
	n := 0
	for _, j := range c.openJobs {
		if j.spec.Queue.ID == queue && !j.started && j.final == 0 {
			n++
		}
	}
	return n
}

// Tick handles what depends on time alone and places what waits.
func (c *Core) Tick(now time.Time) {
	if !now.Before(c.inheritedLeasesExpireAt) {
		clear(c.unresolved)
	}
	for _, j := range c.openJobs {
		c.openDueOccurrences(j, now)
	}
	c.updateSoftDeadlines(now)
	for _, w := range c.workers {
		c.expireLease(w, now)
		c.checkRuns(w, now)
	}
	if now.Sub(c.riseCacheClearedAt) > riseCacheTTL {
		clear(c.riseCache)
		c.riseCacheClearedAt = now
	}
	if c.policy.mayStopRuns() && now.Sub(c.lastRelocation) > relocateInterval {
		c.lastRelocation = now
		c.relocateSlowedRuns(now)
	}
	c.placementDue = true
	c.Place(now)
}

// firstRunNumber is the lowest run number that this owner uses.
func (c *Core) firstRunNumber() graph.RunNumber {
	return graph.RunNumber(c.epoch-1)*runsPerEpoch + 1
}
