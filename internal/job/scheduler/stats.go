package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Stats summarizes the state of the shard for logs and metrics.
type Stats struct {
	Workers     int // listed workers
	Reporting   int // workers with a recent report
	Quarantined int // workers in quarantine
	OpenJobs    int
	Parked      int    // of these, jobs with a due occurrence that has no room to open
	Unplaced    [4]int // waiting tasks by priority; the last element counts 3 and above
	Runs        int
	Unconfirmed int // runs whose start has no answer or that are being stopped
	BestEffort  int // runs of best-effort tasks
	Slowed      int // of these, runs below full pace
	OverTarget  int // serving runs whose tail latency exceeds their target
	UsedCores   unit.Millicores
	Unresolved  int           // workers that may still run tasks of an earlier owner
	HeldBack    int           // waiting tasks that do not start as they may run on one of these
	ResolvedIn  time.Duration // until every lease that earlier owners granted to the unresolved workers has expired
	LongestWait time.Duration // of a job without a started task, since it was due
	StartRelays int           // entries that send starts for the owner and answer
	Deferred    bool          // tasks wait for the bytes that starts may take on the link
	StartBytes  unit.Bytes    // of start orders that were counted against the link in this term
	Filling     int           // waiting best-effort tasks
	HeldByQuota int           // waiting tasks that the cap of their organisation holds back, or that wait for a newer configuration
	BeyondRate  int           // waiting tasks of jobs beyond the rate of their organisation
	Idle        int           // steps of which tasks wait and none runs
	LongestIdle map[graph.QueueID]time.Duration
	// Crowded and Blocked count, of the best-effort steps that have been idle for longest,
	// those that some worker would take without the best-effort tasks that it has, and those
	// that none would.
	Crowded, Blocked int
}

// Stats returns a summary of the current state.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{OpenJobs: len(c.openJobs), Parked: len(c.open.parked), Unresolved: len(c.unresolved), StartRelays: c.startBudget.relays.Reachable, Deferred: c.startBudget.deferred, StartBytes: c.startBudget.charged}
	for _, w := range c.workers {
		s.addWorker(w, now)
	}
	for _, ready := range c.readySteps {
		s.Unplaced[min(max(ready.occurrence.job.spec.Queue.Priority, 0), graph.Priority(len(s.Unplaced)-1))] += len(ready.waiting)
		s.HeldBack += c.countHeldBack(ready)
		if ready.spec.BestEffort {
			s.Filling += len(ready.waiting)
		}
		if len(ready.waiting) > 0 && c.isHeldBack(ready, now) {
			s.HeldByQuota += len(ready.waiting)
		}
		if ready.beyondRate() {
			s.BeyondRate += len(ready.waiting)
		}
	}
	c.addIdle(&s, now)
	for _, lease := range c.unresolved {
		s.ResolvedIn = max(s.ResolvedIn, lease.expiresAt.Sub(now))
	}
	for _, j := range c.openJobs {
		if !j.started {
			s.LongestWait = max(s.LongestWait, now.Sub(j.spec.Due(0)))
		}
	}
	return s
}

// countHeldBack returns how many waiting tasks of a step may have a run on an unresolved
// worker.
func (c *Core) countHeldBack(s *step) int {
	if c.safeToStart(s.occurrence.job) {
		return 0
	}
	n := 0
	for _, t := range s.waiting {
		if c.mayHaveHiddenRun(t) {
			n++
		}
	}
	return n
}

func (s *Stats) addWorker(w *worker, now time.Time) {
	if w.listed {
		s.Workers++
	}
	if now.Sub(w.reportRequestedAt) <= maxReportAge {
		s.Reporting++
	}
	if w.health.isQuarantined(now) {
		s.Quarantined++
	}
	s.UsedCores += w.used.Cores
	for _, r := range w.runList {
		s.Runs++
		spec := r.task.step.spec
		switch {
		case r.phase == phaseUnconfirmed || r.phase == phaseStopping:
			s.Unconfirmed++
		case spec.BestEffort:
			s.BestEffort++
			if r.pacePercent < 100 {
				s.Slowed++
			}
		case spec.TailTarget > 0 && r.tail() > 1:
			s.OverTarget++
		}
	}
}
