package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// WorkerLease is what the durable progress holds of the lease of a worker that may run
// tasks and that the owner does not extend any more.
type WorkerLease struct {
	Worker      unit.InstanceID `cbor:"1,keyasint"`
	Incarnation Incarnation     `cbor:"2,keyasint,omitempty"` // that the owner knew; 0: none
	// Left is the time from the snapshot until the lease has expired. Entries share no
	// clock, so the next owner counts it from its own claim, which comes later.
	Left time.Duration `cbor:"3,keyasint,omitempty"`
}

// inheritedLease is what is known of the leases that earlier owners granted to a worker.
type inheritedLease struct {
	expiresAt   time.Time   // when all of them have expired, unless the worker has restarted
	incarnation Incarnation // that the earlier owner knew; 0: unknown
}

// SetUnrecordedLeasesEnd sets when the leases have expired of which the progress holds nothing,
// if the previous owner is known to have ended. It must be called before LoadProgress.
func (c *Core) SetUnrecordedLeasesEnd(at time.Time) { c.unrecordedLeasesExpireAt = at }

// LoadLeases applies the leases that the previous owner made durable. It must be called
// after LoadProgress, at the time of the claim, and only if no other owner came between.
func (c *Core) LoadLeases(leases []WorkerLease, claimedAt time.Time) {
	for _, l := range leases {
		if c.isUnresolved(l.Worker) {
			c.unresolved[l.Worker] = inheritedLease{expiresAt: claimedAt.Add(max(l.Left, 0)), incarnation: l.Incarnation}
		}
	}
}

// recordInheritedLease records the lease under which a worker holds a run of an earlier owner.
func (c *Core) recordInheritedLease(w *worker, now time.Time) {
	c.RecordLease(w.id, c.inheritedLeaseOf(w).expiresAt)
	c.recordLateOrder(w, now)
}

// recordLateOrder records the longest lease for a worker that may have restarted since an order
// by an earlier owner was sent. If this incarnation has executed it, the deadline of the order
// was far ahead of its clock.
func (c *Core) recordLateOrder(w *worker, now time.Time) {
	if !c.knownToEarlier[w.id] || c.inheritedLeaseOf(w).incarnation == w.incarnation {
		return
	}
	bornAt := time.UnixMilli(int64(w.incarnation))
	if now.Sub(bornAt) < maxRestartDelay+maxOrderLateness+longestLease(c.limits)+maxClockDifference {
		c.extendToLongestLease(w, now)
	}
}

// inheritedLeaseOf returns the lease under which a worker holds runs of earlier owners. The
// worker may be one that those did not record.
func (c *Core) inheritedLeaseOf(w *worker) inheritedLease {
	if lease, ok := c.unresolved[w.id]; ok {
		return lease
	}
	if w.inherited.expiresAt.IsZero() {
		return inheritedLease{expiresAt: c.unrecordedLeasesExpireAt}
	}
	return w.inherited
}

const (
	// maxOrderLateness is how long after it was sent an order without an answer may be executed.
	maxOrderLateness = 12 * time.Second
	// maxClockDifference is how much the time of day may differ between machines.
	maxClockDifference = 3 * time.Second
	// leaseRecordInterval is the time between two snapshots while a lease of an earlier owner
	// runs. The next owner waits for that much longer than needed.
	leaseRecordInterval = time.Second
	// silentTime is how long a worker has to be silent before it is recorded without a
	// hand-over. It takes no starts until another write after it has reported again, which may
	// take seconds on a narrow link.
	silentTime = 5 * time.Second
	// maxTickGap is the longest time between two ticks after which the silence of workers is
	// that of this owner, which was paused.
	maxTickGap = time.Second
)

// AddLeases adds to a snapshot the leases of silent workers, and at a hand-over of all busy
// workers, so that the next owner need not count the longest lease from its claim. Until a
// snapshot without them is durable, these workers get no longer lease and no starts. So
// without a hand-over only workers are added that this owner has not reached yet or that
// hold no lease any more: others keep their tasks if they report again in time.
func (c *Core) AddLeases(s *Snapshot, handOver bool, now time.Time) {
	c.leasesRecordedAt = now
	for id, lease := range c.unresolved {
		if handOver || c.isRecordable(id, now) {
			c.addLease(s, WorkerLease{Worker: id, Incarnation: lease.incarnation}, lease.expiresAt, now)
		}
	}
	for id, w := range c.workers {
		if c.isUnresolved(id) || !(c.isRecordable(id, now) || handOver && w.isBusy()) {
			continue
		}
		inherited := w.inherited.expiresAt
		if len(w.unknownRuns) > 0 {
			inherited = c.inheritedLeaseOf(w).expiresAt
		}
		c.addLease(s, WorkerLease{Worker: id, Incarnation: w.knownIncarnation()}, inherited, now)
	}
}

// isRecordable reports whether the lease of a worker can be recorded without a hand-over.
func (c *Core) isRecordable(id unit.InstanceID, now time.Time) bool {
	w := c.workers[id]
	if w == nil {
		return true // it gets no heartbeats
	}
	heardAt := w.reportedAt
	if c.tickingSince.After(heardAt) {
		heardAt = c.tickingSince
	}
	return now.Sub(heardAt) > silentTime && (c.isUnresolved(id) || !c.leaseExpiry(id, w.inherited.expiresAt).After(now))
}

// addLease adds the lease of a worker, of which those of earlier owners have expired by the
// given time, to a snapshot.
func (c *Core) addLease(s *Snapshot, l WorkerLease, inherited, now time.Time) {
	l.Left = max(c.leaseExpiry(l.Worker, inherited).Sub(now), 0)
	s.Leases = append(s.Leases, l)
	if !c.recordedLeases[l.Worker] {
		c.recordedLeases[l.Worker] = true
		s.newlyHeld = append(s.newlyHeld, l.Worker)
	}
}

// knownIncarnation returns the incarnation to which all starts were sent that the worker may
// still execute, or 0 if an earlier one has got some of them.
func (w *worker) knownIncarnation() Incarnation {
	if slices.ContainsFunc(w.runList, func(r *run) bool { return r.sentBeforeRestart }) {
		return 0
	}
	return w.incarnation
}

// leaseExpiry returns when the leases of a worker have expired, those of earlier owners by
// the given time. It covers the time in which the instance list may not show a restart yet,
// after which a later incarnation may execute a start without an answer.
func (c *Core) leaseExpiry(id unit.InstanceID, inherited time.Time) time.Time {
	expiry := inherited
	w := c.workers[id]
	if w == nil {
		return expiry
	}
	if w.leaseExpiry.After(expiry) {
		expiry = w.leaseExpiry
	}
	for _, r := range w.runList {
		listed := r.orderedAt.Add(maxRestartDelay)
		if (r.phase == phaseStarting || r.phase == phaseUnconfirmed) && listed.After(expiry) {
			expiry = listed
		}
	}
	return expiry
}

// confirmLeases replaces the workers whose lease the durable progress holds.
func (c *Core) confirmLeases(leases []WorkerLease) {
	if len(c.recordedLeases) > 0 {
		c.placementDue = true
	}
	clear(c.recordedLeases)
	for _, l := range leases {
		c.recordedLeases[l.Worker] = true
	}
}

// RejectSnapshot records that a snapshot has certainly not become durable.
func (c *Core) RejectSnapshot(s Snapshot) {
	c.progressChanged = true
	for _, id := range s.newlyHeld {
		delete(c.recordedLeases, id)
	}
	for _, id := range s.newlyClosed {
		delete(c.recordedClosed, id)
	}
}

// checkSilentWorkers makes a snapshot due while leases of earlier owners run, or if a silent
// worker is not recorded.
func (c *Core) checkSilentWorkers(now time.Time) {
	if c.progressChanged || now.Sub(c.leasesRecordedAt) < leaseRecordInterval {
		return
	}
	c.progressChanged = len(c.unresolved) > 0 || c.hasUnrecordedWorker(now)
}

// hasUnrecordedWorker reports whether a snapshot would get a worker that none has got.
func (c *Core) hasUnrecordedWorker(now time.Time) bool {
	for id := range c.workers {
		if !c.recordedLeases[id] && c.isRecordable(id, now) {
			return true
		}
	}
	return false
}

// isBusy reports whether a worker may have runs, or ends that the progress lacks.
func (w *worker) isBusy() bool {
	return len(w.runs) > 0 || len(w.unknownRuns) > 0 || len(w.heldEnds) > 0
}

// TakeResolvedWorkers returns the silent workers that were taken as free of runs of earlier
// owners since the last call.
func (c *Core) TakeResolvedWorkers() []unit.InstanceID {
	ids := c.resolvedSilent
	c.resolvedSilent = nil
	return ids
}
