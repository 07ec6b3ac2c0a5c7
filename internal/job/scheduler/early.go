package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// earlyEndRetention is how long the ends of an unknown job are kept. The record of a job
// that an earlier owner started is read within tens of seconds even by a slow owner.
const earlyEndRetention = 2 * time.Minute

// recordEarlyEnd keeps an end of a task that this owner does not know yet: an earlier
// owner started a job whose record has not been read, or an occurrence that is not due
// by the clock of this entry. The end is acknowledged with the next progress, so that it
// becomes part of that.
func (c *Core) recordEarlyEnd(e End, now time.Time) {
	id := e.Task.Job
	if e.Task.Occurrence < 0 || (c.jobs[id] != nil && c.jobs[id].final != 0) {
		return
	}
	p := c.inheritedProgress[id]
	p.Started = true
	p.Tasks = slices.Clone(p.Tasks) // a snapshot may hold it
	n := slices.IndexFunc(p.Tasks, func(t TaskProgress) bool {
		return t.Occurrence == e.Task.Occurrence && t.Step == e.Task.Step && t.Index == e.Task.Index
	})
	if n < 0 {
		n = len(p.Tasks)
		p.Tasks = append(p.Tasks, TaskProgress{Occurrence: e.Task.Occurrence, Step: e.Task.Step, Index: e.Task.Index})
	}
	t := &p.Tasks[n]
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	switch e.Kind {
	case EndDone:
		t.Done = true
	case EndFailed:
		if !slices.Contains(t.Failed, e.Run) {
			t.Failed = append(slices.Clone(t.Failed), e.Run)
		}
	}
	c.inheritedProgress[id] = p
	if c.jobs[id] == nil {
		c.earlyEnds[id] = now
	}
}

// forgetEarlyEnds drops the ends of jobs that are still unknown after
// earlyEndRetention, such as removed ones.
func (c *Core) forgetEarlyEnds(now time.Time) {
	for id, since := range c.earlyEnds {
		switch {
		case c.jobs[id] != nil:
			delete(c.earlyEnds, id)
		case now.Sub(since) > earlyEndRetention:
			delete(c.earlyEnds, id)
			delete(c.inheritedProgress, id)
		}
	}
}

// adoptEarlyRuns takes over the runs of an occurrence that workers reported before the
// core knew it. Their stops are ordered already; no task starts again before its run has
// ended.
func (c *Core) adoptEarlyRuns(j *job, k graph.Occurrence, now time.Time) {
	for _, w := range c.reportingUnknown {
		for _, id := range slices.Collect(maps.Keys(w.unknownRuns)) {
			if id.task.Job != j.spec.ID || id.task.Occurrence != k {
				continue
			}
			t := c.lookupTask(id.task)
			if t == nil || w.runs[id.task] != nil {
				continue
			}
			stopUnderWay := w.unknownRuns[id]
			delete(w.unknownRuns, id)
			c.markStarted(j)
			r := c.addRun(w, t, id.run, phaseStopping, now)
			r.reported, r.resumedFromCheckpoint, r.stopReason = true, true, ReasonObsolete
			if !stopUnderWay {
				r.repeatOrderAt = now
			}
			c.recordInheritedLease(w, now)
		}
		c.chargeUnknownRuns(w)
	}
}
