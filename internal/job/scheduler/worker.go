package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// phase is the state of a run as the core knows it.
type phase uint8

const (
	phaseQueued      phase = iota + 1 // the start was ordered and not sent yet
	phaseStarting                     // the start was sent and has no outcome yet
	phaseUnconfirmed                  // the outcome of the start is unknown
	phaseRunning                      // the worker has confirmed the start or reported the run
	phaseStopping                     // a stop was ordered
)

// run is one start of a task. It takes capacity on its worker until the worker's
// reports or the expiry of the worker's lease show that it has ended.
type run struct {
	task   *task
	number graph.RunNumber
	worker *worker
	phase  phase
	// absenceConclusiveAt is the time after which a requested report without the run
	// shows that it has ended. It is zero while the outcome of the run's last order
	// is unknown.
	absenceConclusiveAt   time.Time
	orderedAt             time.Time // when the start was sent (before that: ordered) or the run adopted
	reported              bool      // by the current incarnation of the worker
	listed                bool      // the last report of the worker lists its task
	sentBeforeRestart     bool      // the start was sent to an earlier incarnation of the worker
	stopReason            Reason    // while stopping
	repeatOrderAt         time.Time // when the last stop or pace order is repeated; zero: it is not
	progressPercent       int
	progressedAt          time.Time                 // start of the current period without progress
	workDone              time.Duration             // time worked, in terms of full speed
	workCountedUntil      time.Time                 // end of the time included in workDone; zero before the first count
	resumedFromCheckpoint bool                      // or adopted: the duration of the whole task cannot be derived
	savedCheckpoint       string                    // latest checkpoint that the worker has reported with the run
	metric                int                       // see RunStatus.Metric
	basePressure          interference.BasePressure // of a serving run, without best-effort tasks
	pacePercent           int                       // ordered share of full speed, 0 to 100
	paceSetAt             time.Time                 // when the run was started or its pace was last changed
}

// worker holds what is known of a worker and the runs on it.
type worker struct {
	id                unit.InstanceID
	listing           Listing
	listed            bool
	addressedAt       time.Time      // when this owner first saw it listed at its present address
	replacedAt        time.Time      // when the report of another worker at its address was requested that shows its end; zero: none
	incarnation       Incarnation    // of the last report; 0 before the first one
	reportRequestedAt time.Time      // when the heartbeat that the last report answers was sent
	misdirectedAt     time.Time      // when the last start was rejected by another worker at its address, or for a higher epoch
	reportedAt        time.Time      // when the last report was handled, or this owner first saw it listed
	leaseExpiry       time.Time      // latest time at which the lease ends; zero: none granted by this owner
	inherited         inheritedLease // granted by earlier owners; set once it has reported all of their runs
	exitsAt           time.Time      // earliest exit; set while draining
	runs              map[graph.Task]*run
	runList           []*run              // the runs again, which most loops go over: it takes less time than a map
	used              unit.Resources      // reserved by all runs; see reservedResources
	unknownRuns       map[runID]bool      // runs in the last report that no task needs; true while a stop is under way
	lastEndSeen       EndNumber           // highest end handled
	heldEnds          map[EndNumber]*task // ends after which no start may be executed, while the task has other runs
	ackCursor         EndNumber           // highest end that is durable and can be acknowledged
	firstListedEnd    EndNumber           // lowest end in the last report; noEnd: none
	health            health
	reservedFor       *step // for which others wait; see reservations
	reservedUntil     time.Time
	reservedFromLate  bool           // only late steps wait
	vacatingSince     time.Time      // since when it is vacated for the upkeep of its machine; zero: it is not
	paceChangedAt     time.Time      // when the pace of any of its runs was last changed
	bestEffort        bestEffortView // cached; invalid after a change
	overTargetSince   time.Time      // since when a serving run exceeds its target; zero: none does
	tailsReadAt       time.Time      // when the last report with tails was handled
	answersDue        []time.Time    // when the heartbeats without an answer so far were sent
	unknownCharges    []charge       // of the unknown runs, to their organisations
}

// noEnd is above the numbers of all ends.
const noEnd EndNumber = math.MaxInt64

// maxReportAge is the age of a worker's last report above which nothing starts there.
const maxReportAge = 2500 * time.Millisecond

// SetWorkers replaces the listed workers. A worker's removal from the instance
// list does not prove that its runs have ended, so it is kept until its lease has
// expired.
func (c *Core) SetWorkers(list []Listing, now time.Time) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, l := range list {
		w := c.workers[l.ID]
		if w == nil {
			w = &worker{id: l.ID, reportedAt: now, runs: map[graph.Task]*run{}, unknownRuns: map[runID]bool{}, heldEnds: map[EndNumber]*task{}, firstListedEnd: noEnd}
			c.workers[l.ID] = w
			c.progressChanged = true // nothing starts there before the durable progress names it
		}
		if l.Draining {
			w.recordExit(l, now)
		}
		c.setListing(w, l, now)
		if w.incarnation != 0 && l.Incarnation > w.incarnation {
			c.handleRestart(w, l.Incarnation, now)
		}
		if l.Draining {
			c.drainWorker(w, now)
		}
	}
	for id, w := range c.workers {
		if !w.listed && len(w.runs) == 0 && now.After(w.leaseExpiry) && !c.isUnresolved(id) {
			delete(c.workers, id)
			c.forgetAddress(w)
			c.progressChanged = c.progressChanged || c.durableWorkers[id] // the next owner would wait for its lease
			c.releaseUnknownRuns(w)
			delete(c.reportingUnknown, id)
		}
	}
	c.checkClosed()
	c.rebuildWorkerPools()
	c.placementDue = true
}

// recordExit records when a draining worker may exit, by the earliest of its listings. A
// listing may have been written long before it is read, and then says a later time.
func (w *worker) recordExit(l Listing, now time.Time) {
	exitsAt := now.Add(l.TimeToExit)
	if !w.listing.Draining || l.Incarnation != w.listing.Incarnation || exitsAt.Before(w.exitsAt) {
		w.exitsAt = exitsAt
	}
}

// AwaitReports marks all listed workers as unresolved until they report: they may
// still run tasks that an earlier owner started.
func (c *Core) AwaitReports() {
	for id, w := range c.workers {
		if w.listed && !c.isUnresolved(id) {
			c.unresolved[id] = inheritedLease{expiresAt: c.unrecordedLeasesExpireAt}
		}
	}
}

// isUnresolved reports whether a worker may still run tasks of an earlier owner that it has
// not reported.
func (c *Core) isUnresolved(id unit.InstanceID) bool {
	_, ok := c.unresolved[id]
	return ok
}

// rebuildWorkerPools rebuilds the sorted lists of workers by service.
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

// Workers returns the workers that need heartbeats: the listed ones and those that
// may still have runs.
func (c *Core) Workers() []Listing {
	list := make([]Listing, 0, len(c.workers))
	for _, w := range c.workers {
		list = append(list, w.listing)
	}
	return list
}

// AckCursor returns the current incarnation of a worker and the highest end to
// acknowledge to it: one that is durable, or 0 if the worker's last report lists none such.
// A cursor that is no longer needed must not be repeated, since the next incarnation
// numbers its ends from 1 again and would drop them unread.
func (c *Core) AckCursor(id unit.InstanceID) (Incarnation, EndNumber) {
	w := c.workers[id]
	if w == nil {
		return 0, 0
	}
	if w.firstListedEnd > w.ackCursor {
		return w.incarnation, 0
	}
	return w.incarnation, w.ackCursor
}

// HasRuns reports whether a worker may have runs.
func (c *Core) HasRuns(id unit.InstanceID) bool {
	w := c.workers[id]
	return w != nil && len(w.runs) > 0
}

// abandonRuns removes all runs of a worker without waiting for its reports, and
// requeues their tasks.
func (c *Core) abandonRuns(w *worker, now time.Time) {
	for _, r := range w.runs {
		c.removeRun(r)
		c.requeue(r.task)
	}
	c.placementDue = true
}

// handleRestart resets a worker to a new incarnation, which has none of the earlier
// ends and none of the runs that the earlier one has reported. Other starts that were
// sent may still be executed by the new incarnation, as an order names only the id of
// its worker.
func (c *Core) handleRestart(w *worker, incarnation Incarnation, now time.Time) {
	w.reportRequestedAt = time.Time{}
	if w.incarnation != 0 {
		c.extendToLongestLease(w, now)
	}
	w.incarnation, w.lastEndSeen, w.ackCursor, w.firstListedEnd = incarnation, 0, 0, noEnd
	w.health = health{}
	clear(w.unknownRuns)
	c.releaseUnknownRuns(w)
	clear(w.heldEnds)
	for _, r := range w.runs {
		if r.phase == phaseQueued || r.reported {
			c.removeRun(r)
			c.requeue(r.task)
			continue
		}
		r.repeatOrderAt, r.absenceConclusiveAt, r.sentBeforeRestart = time.Time{}, time.Time{}, true
		if r.phase == phaseStopping {
			c.orderStop(r)
		} else {
			r.phase = phaseUnconfirmed
		}
	}
	c.placementDue = true
}

// extendToLongestLease records that a worker may hold a lease of the maximum length. An
// order whose deadline was computed from the clock of an earlier incarnation grants such a
// lease.
func (c *Core) extendToLongestLease(w *worker, now time.Time) {
	c.RecordLease(w.id, now.Add(longestLease(c.limits)))
}

// addRun adds a run of a task to a worker and reserves its resources.
func (c *Core) addRun(w *worker, t *task, number graph.RunNumber, initialPhase phase, now time.Time) *run {
	r := &run{task: t, number: number, worker: w, phase: initialPhase, orderedAt: now, progressedAt: now, paceSetAt: now, pacePercent: 100, resumedFromCheckpoint: t.checkpoint != ""}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
	t.step.activeRuns++
	t.step.runsPerWorker[w.id]++
	t.job().activeRuns++
	c.chargeStart(t)
	w.runs[t.id()] = r
	w.runList = append(w.runList, r)
	w.bestEffort.invalidate()
	w.used = w.used.Add(reservedResources(t.step.spec))
	return r
}

// markStarted records that a worker has begun a task of a job, by its answer or a report. A
// start that was only sent may never be executed.
func (c *Core) markStarted(j *job) {
	if !j.started {
		j.started = true
		c.progressChanged = true
	}
}

// removeRun removes a run from its worker and releases its resources.
func (c *Core) removeRun(r *run) {
	t := r.task
	t.ranBefore = t.ranBefore || r.reported || r.phase == phaseRunning
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	t.step.delayedRuns -= delays(r.pacePercent)
	t.step.activeRuns--
	if t.step.runsPerWorker[r.worker.id]--; t.step.runsPerWorker[r.worker.id] == 0 {
		delete(t.step.runsPerWorker, r.worker.id)
	}
	if t.step.activeRuns == 0 {
		c.markIdle(t.step)
	}
	t.job().activeRuns--
	c.chargeEnd(t)
	delete(r.worker.runs, t.id())
	r.worker.runList = slices.DeleteFunc(r.worker.runList, func(o *run) bool { return o == r })
	r.worker.bestEffort.invalidate()
	r.worker.used = r.worker.used.Sub(reservedResources(t.step.spec))
	c.placementDue = true
}

// drainLead is the margin before the exit of a draining worker, beside the stop
// timeout, at which tasks that save checkpoints are stopped there.
const drainLead = 1500 * time.Millisecond

// drainWorker stops runs on a draining worker so that they restart elsewhere:
// long-running ones at once, those that save checkpoints shortly before the worker
// may exit.
func (c *Core) drainWorker(w *worker, now time.Time) {
	for _, r := range w.runs {
		s := r.task.step.spec
		late := now.After(w.exitsAt.Add(-drainLead - c.limits.StopTimeout))
		if s.LongRunning || (s.Checkpoints && late) {
			c.stopRun(r, ReasonDraining)
		}
	}
}
