package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// health tracks failures of a worker. A worker on which tasks keep failing is
// quarantined for some time and then on trial, with starts spaced by trialInterval,
// until a task succeeds. The zero value is a healthy worker.
type health struct {
	failures         int           // failed runs of different jobs since the last success
	lastFailedJob    unit.JobID    // job of the last failed run
	quarantinedUntil time.Time     // no starts before this time but those of long-running tasks
	quarantineLength time.Duration // of the latest quarantine; doubles each time
	onTrial          bool          // since the first quarantine, until a task succeeds
	nextTrialStart   time.Time     // while quarantined or on trial: no start before this time
}

// Parameters of the quarantine of workers.
const (
	minQuarantine = time.Second
	maxQuarantine = 8 * time.Second
	// failuresToQuarantine is the number of different jobs that must fail on a worker
	// in a row before the worker is taken as the cause and not the jobs.
	failuresToQuarantine = 2
	// trialInterval is the time between two starts on a worker on trial. The trial
	// does not wait for earlier runs to end, as long-running tasks never end as done.
	trialInterval = time.Second
)

// acceptsStarts reports whether a task of the step may start on the worker now. A
// long-running task may start during a quarantine: its failed runs are not limited, and
// the worker may be the only one with room for it.
func (h *health) acceptsStarts(s *graph.Step, now time.Time) bool {
	if h.isQuarantined(now) && !s.LongRunning {
		return false
	}
	return !h.onTrial || !now.Before(h.nextTrialStart)
}

func (h *health) isQuarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// quarantinedSince reports whether a quarantine is in force that has begun at or after t.
func (h *health) quarantinedSince(t, now time.Time) bool {
	return h.isQuarantined(now) && !h.quarantinedUntil.Add(-h.quarantineLength).Before(t)
}

// recordStart records a start on the worker, which delays the next one of a trial.
func (h *health) recordStart(now time.Time) {
	if h.onTrial {
		h.nextTrialStart = now.Add(trialInterval)
	}
}

// recordSuccess records that a task has ended as done or that a long-running one has
// begun to work. It clears all failures.
func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure records a failed run. Further failures of the same job in a row do
// not count.
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

// recordRefusal records that the worker refused a start that it should have accepted,
// or made no progress with one.
func (h *health) recordRefusal(now time.Time) { h.quarantine(now) }

// recordLeaseExpiry records that the worker could not be reached until its lease had
// expired.
func (h *health) recordLeaseExpiry(now time.Time) { h.quarantine(now) }

// quarantine keeps starts away from the worker, each time for longer, and puts it on
// trial afterwards. It does nothing while a quarantine is in force.
func (h *health) quarantine(now time.Time) {
	if h.isQuarantined(now) {
		return
	}
	h.quarantineLength = min(max(2*h.quarantineLength, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineLength)
	h.onTrial, h.nextTrialStart = true, now.Add(trialInterval)
}
