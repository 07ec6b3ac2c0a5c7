package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// phase is how far a run on a worker is.
type phase uint8

const (
	phaseStarting    phase = iota + 1 // the start was ordered and not answered yet
	phaseUnconfirmed                  // the start had no answer
	phaseRunning                      // the worker has confirmed or listed the run
	phaseStopping                     // the stop was ordered
)

// run is one start of a task. It takes room on its worker until the worker's own
// word, or the end of its lease, says that it is over.
type run struct {
	task                  *task
	number                graph.RunNumber
	worker                *worker
	phase                 phase
	absenceConclusiveAt   time.Time // since when an absence in a report means that it is over; zero: not yet
	orderedAt             time.Time
	progressPercent       int
	progressedAt          time.Time     // when percent last changed
	workDone              time.Duration // at full speed
	workCountedUntil      time.Time     // up to when worked counts; zero: since the start
	resumedFromCheckpoint bool          // from a checkpoint
	metric                int
	basePressure          interference.BasePressure // of a serving run
	pacePercent           int                       // ordered share of its speed, 0 to 100
	paceSetAt             time.Time                 // when it was started or its pace was last changed
}

// worker is one worker and what runs there.
type worker struct {
	id                unit.InstanceID
	listing           Listing
	listed            bool
	incarnation       Incarnation // of the last report; 0 before
	reportRequestedAt time.Time   // when the order of the last report was sent; zero: never
	leaseExpiry       time.Time   // when its lease has surely expired; zero: it has none from this owner
	exitsAt           time.Time   // while draining: when it may exit
	runs              map[graph.Task]*run
	used              unit.Resources // of all runs; the cores of filling runs are left out
	unknownRuns       int            // listed runs that are of no task here
	lastEndSeen       EndNumber      // highest end processed
	ackCursor         EndNumber      // ends up to here are durable
	health            health
	vacatingSince     time.Time       // since when it is being freed for its machine's upkeep; zero: it is not
	paceChangedAt     time.Time       // when the pace of a run was last changed
	bestEffort        *bestEffortView // what placing filling tasks needs to know; nil: to be made
	overTargetSince   time.Time       // since when a serving run is over its target; zero: none is
}

// maxReportAge is how old the last report of a worker may be for new starts.
const maxReportAge = 2500 * time.Millisecond

// SetWorkers replaces what the instance list says. A worker that left the list is
// not proof that its runs ended: it stays until its lease has expired.
func (c *Core) SetWorkers(list []Listing, now time.Time) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, l := range list {
		w := c.workers[l.ID]
		if w == nil {
			w = &worker{id: l.ID, runs: map[graph.Task]*run{}}
			c.workers[l.ID] = w
			c.progressChanged = true // nothing starts there before the progress names it
		}
		if l.Draining && !w.listing.Draining {
			w.exitsAt = now.Add(l.TimeToExit)
		}
		w.listing, w.listed = l, true
		if w.incarnation != 0 && l.Incarnation > w.incarnation {
			c.handleRestart(w, l.Incarnation, now)
		}
		if l.Draining {
			c.drainWorker(w, now)
		}
	}
	for id, w := range c.workers {
		if !w.listed && len(w.runs) == 0 && now.After(w.leaseExpiry) && !c.unresolved[id] {
			delete(c.workers, id)
		}
	}
	c.rebuildWorkerPools()
	c.placementDue = true
}

// AwaitReports marks the listed workers as unresolved: they may still run what an
// earlier owner started.
func (c *Core) AwaitReports() {
	for id, w := range c.workers {
		if w.listed {
			c.unresolved[id] = true
		}
	}
}

// rebuildWorkerPools rebuilds the pools of the services.
func (c *Core) rebuildWorkerPools() {
	clear(c.workersByService)
	for _, w := range c.workers {
		if w.listed {
			c.workersByService[w.listing.Service] = append(c.workersByService[w.listing.Service], w)
		}
	}
	for _, p := range c.workersByService {
		slices.SortFunc(p, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}
}

// Workers returns the workers to keep in contact with: those listed and those
// that may still run something.
func (c *Core) Workers() []Listing {
	list := make([]Listing, 0, len(c.workers))
	for _, w := range c.workers {
		list = append(list, w.listing)
	}
	return list
}

// AckCursor returns up to which end of an incarnation all is durable.
func (c *Core) AckCursor(id unit.InstanceID) (Incarnation, EndNumber) {
	w := c.workers[id]
	if w == nil {
		return 0, 0
	}
	return w.incarnation, w.ackCursor
}

// HasRuns reports whether anything may run on a worker.
func (c *Core) HasRuns(id unit.InstanceID) bool {
	w := c.workers[id]
	return w != nil && len(w.runs) > 0
}

// RecordLease notes that an order with a deadline was sent: the lease of the worker
// ends at lapse at the latest, also if the order had no answer.
func (c *Core) RecordLease(id unit.InstanceID, lapse time.Time) {
	if w := c.workers[id]; w != nil && lapse.After(w.leaseExpiry) {
		w.leaseExpiry = lapse
	}
}

// expireLease gives up what ran on a worker whose lease has surely expired.
func (c *Core) expireLease(w *worker, now time.Time) {
	if len(w.runs) == 0 || w.leaseExpiry.IsZero() || now.Before(w.leaseExpiry) {
		return
	}
	c.expiredLeases = append(c.expiredLeases, ExpiredLease{Worker: w.id, Runs: len(w.runs)})
	w.health.recordLeaseExpiry(now)
	c.abandonRuns(w, now)
}

// abandonRuns ends all runs of a worker without a word of it.
func (c *Core) abandonRuns(w *worker, now time.Time) {
	for _, r := range w.runs {
		c.removeRun(r)
		c.requeue(r.task)
	}
	c.placementDue = true
}

// handleRestart handles a new incarnation of a worker, which knows nothing of before.
func (c *Core) handleRestart(w *worker, born Incarnation, now time.Time) {
	c.abandonRuns(w, now)
	w.reportRequestedAt = time.Time{}
	if w.incarnation != 0 {
		// Orders that were computed from the clock of the earlier incarnation may
		// have reached this one: it then holds the longest lease.
		w.leaseExpiry = now.Add(c.limits.MaxLease * 105 / 100)
	}
	w.incarnation, w.lastEndSeen, w.ackCursor = born, 0, 0
	w.health = health{}
}

// addRun puts a run on a worker.
func (c *Core) addRun(w *worker, t *task, number graph.RunNumber, p phase, now time.Time) *run {
	r := &run{task: t, number: number, worker: w, phase: p, orderedAt: now, progressedAt: now, paceSetAt: now, pacePercent: 100, resumedFromCheckpoint: t.checkpoint != ""}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
	t.step.runsPerWorker[w.id]++
	t.job().activeRuns++
	if !t.job().started {
		t.job().started = true
		c.progressChanged = true
	}
	w.runs[t.id()] = r
	w.bestEffort = nil
	w.used = w.used.Add(reservedResources(t.step.spec))
	return r
}

// removeRun takes a run off its worker.
func (c *Core) removeRun(r *run) {
	t := r.task
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if t.step.runsPerWorker[r.worker.id]--; t.step.runsPerWorker[r.worker.id] == 0 {
		delete(t.step.runsPerWorker, r.worker.id)
	}
	t.job().activeRuns--
	delete(r.worker.runs, t.id())
	r.worker.bestEffort = nil
	r.worker.used = r.worker.used.Sub(reservedResources(t.step.spec))
	c.placementDue = true
}

// stopRun orders the end of a run unless that was done before.
func (c *Core) stopRun(r *run, reason Reason) {
	if r.phase == phaseStopping {
		return
	}
	r.phase, r.absenceConclusiveAt = phaseStopping, time.Time{}
	c.issueOrder(Order{Kind: OrderStop, Worker: r.worker.id, Incarnation: r.worker.incarnation, Task: r.task.id(), Run: r.number, Reason: reason})
}

func (c *Core) issueOrder(o Order) { c.orders = append(c.orders, o) }

// drainLead is how long before the end of a draining worker its tasks that save
// progress are moved.
const drainLead = 1500 * time.Millisecond

// drainWorker moves tasks away from a draining worker: lasting ones at once, those
// that save progress shortly before the worker may exit.
func (c *Core) drainWorker(w *worker, now time.Time) {
	for _, r := range w.runs {
		s := r.task.step.spec
		late := now.After(w.exitsAt.Add(-drainLead - c.limits.StopTimeout))
		if s.LongRunning || (s.Checkpoints && late) {
			c.stopRun(r, ReasonDraining)
		}
	}
}
