package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxAnswerWait is how long after the expiry of a lease the answer to a heartbeat that
// was sent before it is waited for. The answer may list runs that ended as done.
const maxAnswerWait = 2 * time.Second

// maxRestartDelay is how long after the restart of a worker an owner may take it for the
// earlier incarnation. The instance list shows a restart up to 3 s late, and no start rests
// on a view of it that is older than 3 s.
const maxRestartDelay = 6 * time.Second

// RecordLease records that a worker is about to be sent an order that extends its
// lease until expiry at the latest. The order counts even if it gets no answer.
func (c *Core) RecordLease(id unit.InstanceID, expiry time.Time) {
	if w := c.workers[id]; w != nil && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

// WantsLease reports whether the lease of a worker should be extended. It should not while
// every run there is to be stopped: a stop may not arrive for a long time. It must not while
// the next owner may read from the progress when the lease ends.
func (c *Core) WantsLease(id unit.InstanceID) bool {
	if c.recordedLeases[id] {
		return false
	}
	w := c.workers[id]
	if w == nil {
		return true
	}
	for _, r := range w.runList {
		if r.phase != phaseStopping {
			return true
		}
	}
	return len(w.runs)+len(w.unknownRuns) == 0
}

// AwaitAnswer records that a heartbeat is sent to a worker at sentAt. While the answer
// may still arrive, the runs of the worker are kept for up to maxAnswerWait after its
// lease has expired.
func (c *Core) AwaitAnswer(id unit.InstanceID, sentAt time.Time) {
	if w := c.workers[id]; w != nil {
		w.answersDue = append(w.answersDue, sentAt)
	}
}

// AnswerSettled records that the heartbeat sent to a worker at sentAt was answered, or
// that its connection has failed for good. A report is handled before this call.
func (c *Core) AnswerSettled(id unit.InstanceID, sentAt time.Time) {
	if w := c.workers[id]; w != nil {
		w.answersDue = slices.DeleteFunc(w.answersDue, sentAt.Equal)
	}
}

// awaitsAnswer reports whether an answer is waited for that was requested before the
// given expiry of the worker's lease.
func (w *worker) awaitsAnswer(expiry, now time.Time) bool {
	return now.Before(expiry.Add(maxAnswerWait)) && slices.ContainsFunc(w.answersDue, expiry.After)
}

// mayHoldLease reports whether the worker may still hold a lease that this owner has
// extended, or list ends from before its expiry.
func (w *worker) mayHoldLease(now time.Time) bool {
	return now.Before(w.leaseExpiry) || w.awaitsAnswer(w.leaseExpiry, now)
}

// resolveSilentWorkers takes the unresolved workers as free of runs of earlier owners
// once every lease that those granted has expired. Workers that this owner's heartbeats
// may have reached, or that may still list ends, stay unresolved: a task must not start
// again while it runs or after it ended as done.
func (c *Core) resolveSilentWorkers(now time.Time) {
	for id, lease := range c.unresolved {
		if now.Before(lease.expiresAt) {
			continue
		}
		w := c.workers[id]
		if w != nil && (now.Before(c.expiryAfterRestart(w, lease)) || w.mayHoldLease(now) || w.awaitsAnswer(lease.expiresAt, now)) {
			continue
		}
		delete(c.unresolved, id)
		c.progressChanged = true // the next owner need not wait for it either
		c.resolvedSilent = append(c.resolvedSilent, id)
	}
}

// expiryAfterRestart returns when every lease that earlier owners granted to a worker has expired,
// also if it has restarted. An owner that does not know of a restart reads the deadline of a
// start from the clock of the earlier incarnation, and the start grants the later one the
// longest lease.
func (c *Core) expiryAfterRestart(w *worker, lease inheritedLease) time.Time {
	if lease.incarnation != 0 && lease.incarnation == w.listing.Incarnation {
		return lease.expiresAt // the earlier owner knew of the restart
	}
	afterRestart := time.UnixMilli(int64(w.listing.Incarnation)).Add(maxRestartDelay + longestLease(c.limits))
	latest := lease.expiresAt.Add(longestLease(c.limits))
	if last := c.inheritedLeasesExpireAt.Add(maxRestartDelay); last.Before(latest) {
		latest = last
	}
	switch {
	case afterRestart.Before(lease.expiresAt):
		return lease.expiresAt
	case afterRestart.Before(latest):
		return afterRestart
	}
	return latest
}

// longestLease returns the time in which a lease of the maximum length has expired, with a
// margin of 5% for the worker's clock.
func longestLease(l Limits) time.Duration { return l.MaxLease * 105 / 100 }

// expireLease abandons the runs of a worker whose lease has certainly expired.
func (c *Core) expireLease(w *worker, now time.Time) {
	// An answer that takes longer than any lease is not waited for.
	w.answersDue = slices.DeleteFunc(w.answersDue, now.Add(-c.limits.MaxLease).After)
	if len(w.runs) == 0 || w.leaseExpiry.IsZero() || now.Before(w.leaseExpiry) || w.awaitsAnswer(w.leaseExpiry, now) {
		return
	}
	sent := 0
	for _, r := range w.runList {
		if r.phase != phaseQueued {
			sent++
		}
	}
	if sent == 0 {
		return // no run there holds the lease
	}
	lease := ExpiredLease{Worker: w.id, Runs: sent, Listed: w.listed}
	if !w.reportRequestedAt.IsZero() {
		lease.ReportAge = now.Sub(w.reportRequestedAt)
	}
	for _, sentAt := range w.answersDue {
		lease.AnswerAge = max(lease.AnswerAge, now.Sub(sentAt))
	}
	c.expiredLeases = append(c.expiredLeases, lease)
	w.health.recordLeaseExpiry(now)
	c.abandonRuns(w, now)
}
