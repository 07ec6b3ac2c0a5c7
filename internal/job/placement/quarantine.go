package placement

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// A worker is quarantined after minFailures failures in a row of at least
	// minJobs jobs: one job alone may be at fault itself.
	minFailures = 3
	minJobs     = 2
	// soleJobFailures in a row of a single job also suffice, since a class of
	// work may consist of one job.
	soleJobFailures = 8
	// maxHeldFraction bounds the part of the workers in quarantine. If more
	// fail, the cause is more likely in the jobs or in a shared dependency.
	maxHeldFraction = 0.25

	firstHold = 30 * time.Second
	maxHold   = 10 * time.Minute
)

type health struct {
	failures int // in a row
	jobs     []unit.JobID
	held     bool
	probing  bool // held, and one task may be tried
	until    time.Time
	hold     time.Duration
}

// admits reports whether a worker that runs a number of tasks may get another.
func (h *health) admits(tasks int) bool {
	return !h.held || h.probing && tasks == 0
}

// RecordOutcome tells how an attempt of a job ended on a worker by itself: done, or
// failed. Attempts that were stopped, checkpointed or lost are not told.
func (x *Index) RecordOutcome(id unit.InstanceID, job unit.JobID, failed bool, now time.Time) {
	w, ok := x.workers[id]
	if !ok {
		return
	}
	h := &w.health
	if !failed {
		if h.held {
			x.held--
		}
		w.health = health{}
		x.refused = x.refused[:0]
		x.file(w)
		return
	}
	h.failures++
	if len(h.jobs) < minJobs && !slices.Contains(h.jobs, job) {
		h.jobs = append(h.jobs, job)
	}
	switch {
	case h.held && h.probing:
		h.hold = min(2*h.hold, maxHold)
	case h.held:
		return
	case h.failures >= minFailures && len(h.jobs) >= minJobs, h.failures >= soleJobFailures:
		if float64(x.held+1) > max(1, maxHeldFraction*float64(len(x.workers))) {
			return
		}
		x.held++
		h.hold = firstHold
	default:
		return
	}
	h.held, h.probing, h.until = true, false, now.Add(h.hold)
	x.file(w)
}

// StartProbes allows one probing task on each quarantined worker whose time is over,
// and returns these workers.
func (x *Index) StartProbes(now time.Time) []unit.InstanceID {
	if x.held == 0 {
		return nil
	}
	var due []unit.InstanceID
	for _, w := range x.workers {
		if h := &w.health; h.held && !h.probing && !now.Before(h.until) {
			h.probing = true
			x.refused = x.refused[:0]
			x.file(w)
			due = append(due, w.id)
		}
	}
	slices.Sort(due)
	return due
}

// QuarantinedUntil reports whether the worker is in quarantine, and until when.
func (x *Index) QuarantinedUntil(id unit.InstanceID) (time.Time, bool) {
	w, ok := x.workers[id]
	if !ok || !w.health.held {
		return time.Time{}, false
	}
	return w.health.until, true
}
