package dispatch

import (
	"reflect"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// writeNextRecord writes the next job record that has to change. One write is in
// flight at a time.
func (c *Core) writeNextRecord() {
	if c.jobWrite != nil || c.jobRead != "" || c.now.Before(c.nextJobCall) {
		return
	}
	for n := 0; n < len(c.dirtyJobs); n++ {
		j := c.jobs[c.dirtyJobs[n]]
		if j == nil {
			c.dirtyJobs = slices.Delete(c.dirtyJobs, n, n+1)
			n--
			continue
		}
		if j.lastChange > c.commit.durableChange {
			continue // the ledger change that the record would reflect is not durable yet
		}
		j.recordDirty = false
		c.dirtyJobs = slices.Delete(c.dirtyJobs, n, n+1)
		n--
		if j.deleted {
			if j.placedTasks == 0 {
				c.retireJob(j)
			}
			continue
		}
		next := c.desiredRecord(j)
		if reflect.DeepEqual(next, j.record) {
			continue
		}
		c.jobWrite = &jobWrite{job: j.id, record: next}
		c.actions = append(c.actions, WriteJob{Job: j.id, Record: next, Revision: j.revision})
		return
	}
}

// desiredRecord returns the record of a job that reflects the durable state of
// the ledger.
func (c *Core) desiredRecord(j *job) ledger.Record {
	r := j.record
	moves := map[unit.ShardID][]ledger.MovedTask{}
	for _, t := range j.sortedTasks() {
		if t.State != ledger.StateMoving {
			continue
		}
		if !slices.Contains(c.moveTargets, t.moveTarget) {
			t.moveTarget = c.nextMoveTarget()
		}
		if len(c.moveTargets) > 0 {
			moves[t.moveTarget] = append(moves[t.moveTarget], ledger.MovedTask{
				Index: t.Index, Attempt: t.Attempt, After: t.After, Checkpoint: t.Checkpoint, Hops: t.Hops,
			})
		}
	}
	for _, target := range c.moveTargets {
		if tasks := moves[target]; len(tasks) > 0 {
			r = r.Move(c.Shard, target, tasks)
		}
	}
	r.Parts = slices.Clone(r.Parts)
	ended := c.partsEnded(j, r)
	first := true
	for n := range r.Parts {
		p := &r.Parts[n]
		if p.Shard != c.Shard || p.Outcome != nil {
			continue
		}
		p.ParkedReason = j.parkedReason
		if ended {
			p.Outcome = c.partOutcome(j, *p, first)
			first = false
		}
	}
	return r
}

// partsEnded reports whether all tasks that a record assigns to the shard have
// ended.
func (c *Core) partsEnded(j *job, r ledger.Record) bool {
	if j.placedTasks > 0 {
		return false
	}
	if r.Cancelled {
		return true
	}
	for _, p := range r.ActiveParts(c.Shard) {
		if r.Standing {
			return false
		}
		for i := p.First; p.Has(i); i++ {
			if !j.finished.Has(i) {
				return false
			}
		}
	}
	return true
}

// partOutcome counts the tasks of a part by how they ended. The first part of the
// shard is given the failures of the job.
func (c *Core) partOutcome(j *job, p ledger.Part, first bool) *ledger.Outcome {
	var o ledger.Outcome
	for i := p.First; p.Has(i); i++ {
		if j.finished.Has(i) {
			o.Done++
		} else {
			o.Cancelled++
		}
	}
	if first { // the ledger counts failures by job, not by part
		o.Failed = min(unit.TaskIndex(j.failedTasks), o.Done)
		o.Done -= o.Failed
	}
	return &o
}

func (c *Core) handleJobWritten(e JobWritten) {
	w := c.jobWrite
	c.jobWrite = nil
	if w == nil || w.job != e.Job {
		return
	}
	j := c.jobs[e.Job]
	if e.Fault == FaultNone {
		c.syncRecord(JobChanged{Job: e.Job, Record: w.record, Revision: e.Revision})
		return
	}
	c.nextJobCall = c.now.Add(commitInterval)
	if j == nil {
		return
	}
	c.markDirty(j)
	if e.Fault != FaultNoEffect {
		c.jobRead = e.Job
		c.actions = append(c.actions, ReadJob{Job: e.Job})
	}
}
