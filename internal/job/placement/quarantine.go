package placement

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// A worker is quarantined after minFailures consecutive failures of attempts of
	// at least minJobs jobs, since a single job may itself be the cause.
	minFailures = 3
	minJobs     = 2
	// soleJobFailures consecutive failures of a single job also suffice, since a
	// class may consist of one job.
	soleJobFailures = 8
	// maxQuarantinedFraction bounds the fraction of the workers in quarantine. If
	// more workers fail, the cause is more likely the jobs or a shared dependency.
	maxQuarantinedFraction = 0.25

	// A quarantine doubles, up to maxQuarantine, each time that its probe fails.
	initialQuarantine = 30 * time.Second
	maxQuarantine     = 10 * time.Minute
)

// health has what the ends of recent attempts show of a worker.
type health struct {
	// failuresInRow counts the failures since the last success.
	failuresInRow int
	// failedJobs has up to minJobs of the jobs that failed since then.
	failedJobs  []unit.JobID
	quarantined bool
	// probing is set if the worker is quarantined and may get one task to test it.
	probing          bool
	quarantinedUntil time.Time
	quarantineTime   time.Duration
}

// admits reports whether a worker that runs this many tasks may get another.
func (h *health) admits(tasks int) bool {
	return !h.quarantined || h.probing && tasks == 0
}

// RecordOutcome records whether an attempt of a job on a worker failed or was done. It
// must not be called for attempts that were stopped, checkpointed or lost.
func (x *Index) RecordOutcome(id unit.InstanceID, job unit.JobID, failed bool, now time.Time) {
	w, ok := x.workers[id]
	if !ok {
		return
	}
	h := &w.health
	if !failed {
		if h.quarantined {
			x.quarantinedCount--
		}
		w.health = health{}
		x.unplaceable = x.unplaceable[:0]
		x.updateCell(w)
		return
	}
	h.failuresInRow++
	if len(h.failedJobs) < minJobs && !slices.Contains(h.failedJobs, job) {
		h.failedJobs = append(h.failedJobs, job)
	}
	switch {
	case h.quarantined && h.probing:
		h.quarantineTime = min(2*h.quarantineTime, maxQuarantine)
	case h.quarantined:
		return
	case h.failuresInRow >= minFailures && len(h.failedJobs) >= minJobs, h.failuresInRow >= soleJobFailures:
		if float64(x.quarantinedCount+1) > max(1, maxQuarantinedFraction*float64(len(x.workers))) {
			return
		}
		x.quarantinedCount++
		h.quarantineTime = initialQuarantine
	default:
		return
	}
	h.quarantined, h.probing, h.quarantinedUntil = true, false, now.Add(h.quarantineTime)
	x.updateCell(w)
}

// StartProbes allows one task as a probe on each worker whose quarantine time is over,
// and returns these workers.
func (x *Index) StartProbes(now time.Time) []unit.InstanceID {
	if x.quarantinedCount == 0 {
		return nil
	}
	var due []unit.InstanceID
	for _, w := range x.workers {
		if h := &w.health; h.quarantined && !h.probing && !now.Before(h.quarantinedUntil) {
			h.probing = true
			x.unplaceable = x.unplaceable[:0]
			x.updateCell(w)
			due = append(due, w.id)
		}
	}
	slices.Sort(due)
	return due
}

// QuarantinedUntil returns the time until which a worker is quarantined, and whether it
// is quarantined at all. It stays so until a probe is done.
func (x *Index) QuarantinedUntil(id unit.InstanceID) (time.Time, bool) {
	w, ok := x.workers[id]
	if !ok || !w.health.quarantined {
		return time.Time{}, false
	}
	return w.health.quarantinedUntil, true
}
