package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Stats is a summary of the shard for logs and metrics.
type Stats struct {
	Workers     int // listed
	Reporting   int // with a recent report
	Quarantined int // that take no starts because of their failures
	OpenJobs    int
	Unplaced    [4]int // tasks to place, by priority; the last is 3 and above
	Runs        int
	Unconfirmed int // runs whose start or stop has no answer
	BestEffort  int // runs of filling tasks
	Slowed      int // of these, at less than full pace
	OverTarget  int // serving runs with a tail over their target
	UsedCores   unit.Millicores
	Unresolved  int // workers that may still run tasks of an earlier owner
	LongestWait time.Duration
}

// Stats returns a summary of the present state.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{OpenJobs: len(c.openJobs), Unresolved: len(c.unresolved)}
	for _, w := range c.workers {
		s.addWorker(w, now)
	}
	for _, r := range c.readySteps {
		s.Unplaced[min(max(r.occurrence.job.spec.Queue.Priority, 0), graph.Priority(len(s.Unplaced)-1))] += len(r.waiting)
	}
	for _, j := range c.openJobs {
		if !j.started {
			s.LongestWait = max(s.LongestWait, now.Sub(j.spec.Due(0)))
		}
	}
	return s
}

func (s *Stats) addWorker(w *worker, now time.Time) {
	if w.listed {
		s.Workers++
	}
	if now.Sub(w.reportRequestedAt) <= maxReportAge {
		s.Reporting++
	}
	if now.Before(w.health.quarantinedUntil) {
		s.Quarantined++
	}
	s.UsedCores += w.used.Cores
	for _, r := range w.runs {
		s.Runs++
		o := r.task.step.spec
		switch {
		case r.phase == phaseUnconfirmed || r.phase == phaseStopping:
			s.Unconfirmed++
		case o.BestEffort:
			s.BestEffort++
			if r.pacePercent < 100 {
				s.Slowed++
			}
		case o.TailTarget > 0 && r.tail() > 1:
			s.OverTarget++
		}
	}
}
