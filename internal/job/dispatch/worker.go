package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// maxOrders bounds a batch, so that one call does not delay the next heartbeat of
// the worker.
const maxOrders = 64

// workerState is the state of a worker of the shard, or of an unlisted worker
// that may still run its tasks.
type workerState struct {
	id              unit.InstanceID
	listing         ListedWorker       // its last entry in the instance list, or zero
	isListed        bool               // the present instance list has it
	reading         lease.ClockReading // relates the clock of the worker to that of the entry
	capacity        unit.Resources     // available to tasks
	lastReport      time.Time          // time the last report was received
	reportsDraining bool               // as the worker reports
	staleEpoch      bool               // the worker has seen a higher epoch of the shard
	open            bool               // as last told to the placer
	silent          bool               // as last recorded in the journal
	callInFlight    bool
	startsInFlight  []worker.Ref // starts in the call in flight
	forgetInFlight  []worker.Ref // attempts to forget in the heartbeat in flight
	nextHeartbeat   time.Time    // time the next heartbeat is due
	nextOrders      time.Time    // earliest time of the next orders after a call without effect
	tasks           map[worker.Ref]*task
	taskList        []*task // tasks in order; nil if it has to be rebuilt
	// toForget holds ended attempts, each with the ledger change that has to be
	// durable before the worker may forget it.
	toForget map[worker.Ref]uint64
	// unknownAttempts holds the running attempts that the ledger does not have on
	// this worker, with the time of the last stop order for each.
	unknownAttempts map[worker.Ref]time.Time
}

func (w *workerState) subject() journal.Subject {
	return journal.Subject{Kind: journal.KindWorker, ID: string(w.id)}
}

// sortedTasks returns the tasks in a fixed order, so that the actions are
// deterministic. Later changes of the tasks do not alter the returned slice.
func (w *workerState) sortedTasks() []*task {
	if w.taskList == nil && len(w.tasks) > 0 {
		w.taskList = slices.Collect(maps.Values(w.tasks))
		slices.SortFunc(w.taskList, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.Index, b.Index))
		})
	}
	return w.taskList
}

func (w *workerState) addTask(t *task) {
	w.tasks[t.ref()] = t
	w.taskList = nil
}

func (w *workerState) removeTask(t *task) {
	delete(w.tasks, t.ref())
	w.taskList = nil
}

// ensureWorker returns the state of a worker and adds one if there is none.
func (c *Core) ensureWorker(id unit.InstanceID) *workerState {
	w := c.workers[id]
	if w == nil {
		w = &workerState{
			id: id, tasks: map[worker.Ref]*task{},
			toForget: map[worker.Ref]uint64{}, unknownAttempts: map[worker.Ref]time.Time{},
		}
		c.workers[id] = w
		i, _ := slices.BinarySearchFunc(c.sortedWorkers, id, func(w *workerState, id unit.InstanceID) int { return cmp.Compare(w.id, id) })
		c.sortedWorkers = slices.Insert(c.sortedWorkers, i, w)
	}
	return w
}

// setFleet applies the workers and shards of the instance list.
func (c *Core) setFleet(e Fleet) {
	if !slices.Equal(c.moveTargets, e.MoveTargets) {
		c.moveTargets = e.MoveTargets
		c.markMovingJobs()
	}
	c.placementDue = true
	c.zoneIndex, c.zoneShards = e.ZoneIndex, e.ZoneShards
	c.shardLargest = largestOf(e.Workers)
	grown := c.fleetLargest != e.Largest
	c.fleetLargest = e.Largest
	for _, w := range c.sortedWorkers {
		w.isListed = false
	}
	for _, l := range e.Workers {
		w := c.ensureWorker(l.ID)
		w.listing, w.isListed = l, true
	}
	if !grown {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.oversize && c.fleetLargest.OversizeReason(j.record.Job.Size) == "" {
			j.oversize = false
			c.setParked(j, "")
		}
	}
}

func largestOf(workers []ListedWorker) queue.LargestWorkers {
	var l queue.LargestWorkers
	for _, w := range workers {
		l = l.Include(w.ID, w.Capacity)
	}
	return l
}

// updateWorkers decides which workers may get tasks and removes tasks from the
// others. It drops workers that are unlisted and run nothing.
func (c *Core) updateWorkers() {
	for _, w := range slices.Clone(c.sortedWorkers) {
		// A worker that is missing from the list may still run its tasks. Only a
		// draining worker loses them.
		draining := w.reportsDraining || w.isListed && !w.listing.Live
		live := w.isListed && !draining
		heard := !w.lastReport.IsZero() && c.now.Sub(w.lastReport) < reportTimeout
		open := live && heard && !w.staleEpoch && len(w.unknownAttempts) == 0 && !w.overcommitted()
		if !w.lastReport.IsZero() && w.silent == heard {
			w.silent = !heard
			c.recordEvent("worker silent: "+yesNo(w.silent), "heartbeats", w.subject())
		}
		if open != w.open {
			w.open, c.placementDue = open, true
			c.Placer.Upsert(w.id, w.listing.Rack, w.capacity, open)
		}
		if open {
			continue
		}
		for _, t := range w.sortedTasks() {
			switch {
			case !t.startSent:
				c.withdrawAttempt(t)
			case draining:
				c.evict(t, worker.ActionCheckpoint, "worker is draining")
			}
		}
		if !w.isListed && !w.callInFlight && len(w.tasks) == 0 && len(w.unknownAttempts) == 0 {
			c.Placer.Remove(w.id)
			delete(c.workers, w.id)
			c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *workerState) bool { return o == w })
		}
	}
}

// overcommitted reports whether a task that may run on the worker has no
// reservation, for example after a loss of capacity. The free resources known to
// the placer are then too high.
func (w *workerState) overcommitted() bool {
	return slices.ContainsFunc(w.sortedTasks(), func(t *task) bool { return t.startSent && !t.reserved })
}

// sendDueCalls sends the heartbeat or the orders that are due to each worker
// without a call in flight. Heartbeats go first: orders that are repeated without
// effect must not let the leases of other tasks expire.
func (c *Core) sendDueCalls() {
	for _, w := range c.sortedWorkers {
		if w.callInFlight || w.staleEpoch {
			continue
		}
		if !c.now.Before(w.nextHeartbeat) {
			c.sendHeartbeat(w)
			continue
		}
		if c.phase == phaseActive && !c.now.Before(w.nextOrders) {
			c.sendOrders(w)
		}
	}
}

func (c *Core) markRunning(t *task) {
	t.seenRunning = true
	if t.runningSince.IsZero() {
		t.runningSince = c.now
	}
}

// pollSoon makes the next heartbeat due within pollInterval.
func (w *workerState) pollSoon(now time.Time) {
	if at := now.Add(pollInterval); at.Before(w.nextHeartbeat) {
		w.nextHeartbeat = at
	}
}

func (c *Core) sendHeartbeat(w *workerState) {
	h := worker.Heartbeat{Fence: c.fence()}
	var deadline time.Time
	if c.now.Before(c.renewDeadline()) && w.reading.Valid() {
		end := w.reading.LeaseEnd(c.now)
		for _, t := range w.sortedTasks() {
			if !t.seenRunning || t.eviction == worker.ActionStop {
				continue
			}
			h.Renew = append(h.Renew, worker.Renewal{Ref: t.ref(), LeaseEnd: end})
			t.leaseExpiry = later(t.leaseExpiry, w.reading.ExpiryTime(end))
			deadline = c.renewDeadline()
		}
	}
	for _, ref := range sortedRefs(w.toForget) {
		if w.toForget[ref] <= c.commit.durableChange && c.phase == phaseActive {
			h.Forget = append(h.Forget, ref)
		}
	}
	w.forgetInFlight = h.Forget
	w.callInFlight = true
	w.nextHeartbeat = c.now.Add(lease.RenewInterval)
	c.actions = append(c.actions, SendHeartbeat{Worker: w.id, Deadline: deadline, Heartbeat: h})
}

func (c *Core) handleHeartbeatSent(e HeartbeatSent) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.callInFlight = false
	switch e.Fault {
	case FaultNone:
	case FaultStaleEpoch:
		w.staleEpoch = true
		c.loseShard("worker " + string(w.id) + " has seen a higher epoch")
		return
	default:
		w.pollSoon(c.now)
		return
	}
	for _, ref := range w.forgetInFlight {
		delete(w.toForget, ref)
	}
	w.reading = w.reading.Best(lease.ClockReading{
		Boot: e.Report.Boot, Clock: e.Report.Clock, Sent: e.Sent, Received: e.Received,
	}, e.Received)
	if c.phase == phaseLost {
		return
	}
	w.lastReport = e.Received
	w.reportsDraining = e.Report.State == worker.StateDraining
	if capacity := e.Report.Capacity.Sub(e.Report.Reserved); capacity != w.capacity || !w.open {
		w.capacity = capacity
		c.Placer.Upsert(w.id, w.listing.Rack, capacity, w.open)
	}
	c.reconcileReport(w, e.Report)
	if len(w.toForget) > 0 || slices.ContainsFunc(w.sortedTasks(), (*task).needsReport) {
		w.pollSoon(c.now)
	}
}

// needsReport reports whether the attempt is waiting for the next report of its
// worker.
func (t *task) needsReport() bool { return t.startSent && (!t.seenRunning || t.eviction != "") }

// reconcileReport brings the attempts placed on a worker in line with its report.
func (c *Core) reconcileReport(w *workerState, r worker.Report) {
	listed := make(map[worker.Ref]bool, len(r.Tasks))
	running := make(map[worker.Ref]bool, len(r.Tasks))
	for _, s := range r.Tasks {
		listed[s.Ref] = true
		running[s.Ref] = s.Phase == worker.PhaseRunning
		t := w.tasks[s.Ref]
		switch {
		case t != nil && s.Phase == worker.PhaseRunning:
			t.reportedShare = cmp.Or(s.Share, 1)
			if expires := w.reading.ExpiryTime(s.LeaseEnd); t.seenRunning || t.startBoot != "" {
				t.leaseExpiry = later(t.leaseExpiry, expires)
			} else {
				t.leaseExpiry = expires // earlier owners can no longer renew it
			}
			c.markRunning(t)
			if !t.reserved {
				t.reserved = c.Placer.Reserve(w.id, s.Ref, s.Class, s.Size)
			}
		case t != nil:
			c.endAttempt(t, s)
			w.toForget[s.Ref] = c.commit.lastChange
		case s.Phase == worker.PhaseRunning:
			c.stopUnknownAttempt(w, s)
		case w.toForget[s.Ref] == 0 && c.handleLateResult(s):
			w.toForget[s.Ref] = c.commit.lastChange
		}
	}
	for _, t := range w.sortedTasks() {
		if t.startSent && !listed[t.ref()] && t.hasEnded(r) {
			c.endUnlisted(t)
		}
	}
	for ref := range w.unknownAttempts {
		if !running[ref] {
			c.Placer.Release(w.id, ref)
			delete(w.unknownAttempts, ref)
		}
	}
}

// hasEnded reports whether an attempt that a report does not list can no longer
// run on the worker. The worker refuses a start that is still in flight if its
// clock is past notAfter, if it has restarted, or, for a start sent by an earlier
// owner, by its epoch.
func (t *task) hasEnded(r worker.Report) bool {
	return t.startBoot == "" || t.startBoot != r.Boot || r.Clock > t.notAfter
}

// endUnlisted ends an attempt that never started or that ended with a restart of
// the worker.
func (c *Core) endUnlisted(t *task) {
	status := worker.Status{Phase: worker.PhaseExpired}
	if t.startRefusal == string(worker.CodeInvalid) {
		status = worker.Status{Phase: worker.PhaseFailed, Reason: "worker refuses the order as invalid"}
	}
	c.recordEvent("not on its worker", t.startRefusal, t.subjects()...)
	c.endAttempt(t, status)
}

// stopUnknownAttempt stops an attempt that the ledger does not have on this
// worker. Its resources stay reserved until it has ended.
func (c *Core) stopUnknownAttempt(w *workerState, s worker.Status) {
	if _, ok := w.unknownAttempts[s.Ref]; ok {
		return
	}
	w.unknownAttempts[s.Ref] = time.Time{}
	c.Placer.Reserve(w.id, s.Ref, s.Class, s.Size)
	c.recordEvent("stopping unknown attempt", "not in the ledger", w.subject(),
		journal.Subject{Kind: journal.KindTask, ID: s.Task.String()})
}

func sortedRefs[V any](m map[worker.Ref]V) []worker.Ref {
	refs := slices.Collect(maps.Keys(m))
	slices.SortFunc(refs, func(a, b worker.Ref) int {
		return cmp.Or(strings.Compare(string(a.Task.Job), string(b.Task.Job)),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return refs
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
