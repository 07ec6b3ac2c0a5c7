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
	limits    Limits
	epoch     unit.Epoch
	jobs      map[unit.JobID]*job
	open      map[unit.JobID]*job // those whose final state is not durable
	workers   map[unit.InstanceID]*worker
	pool      map[unit.ServiceID][]*worker // listed workers, in order of id
	evacuated map[unit.ZoneID]bool
	ready     []*step // steps whose turn has come and that have waiting tasks
	progress  map[unit.JobID]Progress
	images    map[string]*image // by name
	model     *interference.Model
	durations *duration.Estimator
	policy    policy
	pairs     map[pair]float64 // rise of the pressure per share of cores, from the model
	full      []noRoom         // what did not fit anywhere in this pass
	placed    time.Time        // of the last pass
	preempted time.Time        // when tasks to stop were last searched for
	stuck     map[*image]bool  // images of which no task could be placed in this pass
	pairsAt   time.Time        // when pairs was last emptied
	filled    time.Time        // when filling tasks were last placed
	relocated time.Time        // when slowed runs were last looked at
	reckoned  time.Time        // when objectives were last renewed

	recorded   map[unit.InstanceID]bool // workers that the durable progress names
	unresolved map[unit.InstanceID]bool // workers that have not reported since the takeover
	safe       time.Time                // from then on unresolved workers run nothing of earlier owners

	orders   []Order
	finishes []FinalState
	lapses   []ExpiredLease
	changed  bool // progress differs from the last snapshot
	wake     bool // something changed that may allow a placement
}

// New returns the core of an owner. safe is when every lease that earlier owners
// gave to workers has expired.
func New(limits Limits, epoch unit.Epoch, safe time.Time) *Core {
	c := &Core{
		limits:     limits,
		epoch:      epoch,
		jobs:       map[unit.JobID]*job{},
		open:       map[unit.JobID]*job{},
		pairs:      map[pair]float64{},
		stuck:      map[*image]bool{},
		workers:    map[unit.InstanceID]*worker{},
		pool:       map[unit.ServiceID][]*worker{},
		evacuated:  map[unit.ZoneID]bool{},
		progress:   map[unit.JobID]Progress{},
		images:     map[string]*image{},
		model:      interference.NewWithPrior(unknownPair),
		durations:  duration.New(),
		recorded:   map[unit.InstanceID]bool{},
		unresolved: map[unit.InstanceID]bool{},
		safe:       safe,
	}
	c.policy = learning{c}
	if limits.Baseline {
		c.policy = firstFit{}
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
	f := c.finishes
	c.finishes = nil
	return f
}

// ExpiredLease is a worker whose lease has surely expired, for logs.
type ExpiredLease struct {
	Worker unit.InstanceID
	Runs   int
}

// TakeExpiredLeases returns the workers that were given up since the last call.
func (c *Core) TakeExpiredLeases() []ExpiredLease {
	l := c.lapses
	c.lapses = nil
	return l
}

// SetEvacuatedZones replaces the set of zones in which nothing may start.
func (c *Core) SetEvacuatedZones(zones map[unit.ZoneID]bool) {
	c.evacuated = zones
	c.wake = true
}

// JobState returns the state of a job as callers may see it. A final state is shown
// only once it is durable.
func (c *Core) JobState(id unit.JobID) (graph.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.final != 0 && j.durable {
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
	for _, j := range c.open {
		if j.spec.Queue.ID == queue && !j.started && j.final == 0 {
			n++
		}
	}
	return n
}

// Tick handles what depends on time alone and places what waits.
func (c *Core) Tick(now time.Time) {
	if !now.Before(c.safe) {
		clear(c.unresolved)
	}
	for _, j := range c.open {
		c.openDue(j, now)
	}
	c.reckonAll(now)
	for _, w := range c.workers {
		c.expire(w, now)
		c.watchRuns(w, now)
	}
	if now.Sub(c.pairsAt) > pairsLife {
		clear(c.pairs)
		c.pairsAt = now
	}
	if c.policy.moves() && now.Sub(c.relocated) > relocateInterval {
		c.relocated = now
		c.relocateAll(now)
	}
	c.wake = true
	c.Place(now)
}

// firstRun is the lowest run number that this owner uses.
func (c *Core) firstRun() graph.RunNumber {
	return graph.RunNumber(c.epoch-1)*runsPerEpoch + 1
}
