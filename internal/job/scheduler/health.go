package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// health is what the ends and answers of a worker say of its health. A worker that
// fails what it starts is set aside and tried again with one task at a time.
type health struct {
	failures         int        // failed ends of different jobs since the last success
	lastFailedJob    unit.JobID // of the last failed end
	quarantinedUntil time.Time  // no starts before
	quarantineLength time.Duration
	onTrial          bool      // starts are rare until one succeeds
	nextTrialStart   time.Time // of a trial: no start before
}

// Bounds of the time for which a worker is set aside.
const (
	minQuarantine = time.Second
	maxQuarantine = 8 * time.Second
	// failuresToQuarantine is the number of jobs that must fail on a worker in a row
	// before the worker is blamed and not the jobs.
	failuresToQuarantine = 2
	// trialInterval is the time between two starts on a worker under trial. Runs from
	// before do not count: tasks that last never end as done.
	trialInterval = time.Second
)

// acceptsStarts reports whether the worker takes starts now.
func (h *health) acceptsStarts(now time.Time) bool {
	return !now.Before(h.quarantinedUntil) && (!h.onTrial || !now.Before(h.nextTrialStart))
}

// recordStart notes a start on the worker.
func (h *health) recordStart(now time.Time) {
	if h.onTrial {
		h.nextTrialStart = now.Add(trialInterval)
	}
}

// recordSuccess notes a task that ended done, or a lasting one that is at work.
func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure notes a failed end. A second recordFailure of the same job does not count.
func (h *health) recordFailure(job unit.JobID, now time.Time) {
	if h.lastFailedJob == job && h.failures > 0 {
		return
	}
	h.lastFailedJob = job
	h.failures++
	if h.failures >= failuresToQuarantine || h.onTrial {
		h.quarantine(now)
	}
}

// recordRefusal notes a start that the worker did not take although it should have.
func (h *health) recordRefusal(now time.Time) { h.quarantine(now) }

// recordLeaseExpiry notes a worker that could not be reached until its lease had expired.
func (h *health) recordLeaseExpiry(now time.Time) { h.quarantine(now) }

func (h *health) quarantine(now time.Time) {
	if now.Before(h.quarantinedUntil) {
		return
	}
	h.quarantineLength = min(max(2*h.quarantineLength, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineLength)
	h.onTrial = true
}
