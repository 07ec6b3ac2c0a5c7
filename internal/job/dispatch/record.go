package dispatch

import (
	"reflect"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// writeJobs writes the next job record that has to change, one at a time.
func (c *Core) writeJobs() {
	if c.jobWrite != nil || c.jobRead != "" || c.now.Before(c.jobNext) {
		return
	}
	for n := 0; n < len(c.wishes); n++ {
		j := c.jobs[c.wishes[n]]
		if j == nil {
			c.wishes = slices.Delete(c.wishes, n, n+1)
			n--
			continue
		}
		if j.changed > c.book.durable {
			continue // what the record would say is not durable yet
		}
		j.wished = false
		c.wishes = slices.Delete(c.wishes, n, n+1)
		n--
		if j.deleted {
			if j.placed == 0 {
				c.retire(j)
			}
			continue
		}
		next := c.nextRecord(j)
		if reflect.DeepEqual(next, j.record) {
			continue
		}
		c.jobWrite = &jobWrite{job: j.id, record: next}
		c.actions = append(c.actions, WriteJob{Job: j.id, Record: next, Revision: j.revision})
		return
	}
}

// nextRecord returns the record that says what the ledger durably has.
func (c *Core) nextRecord(j *job) ledger.Record {
	r := j.record
	moves := map[unit.ShardID][]ledger.Carry{}
	for _, t := range j.sorted() {
		if t.State != ledger.StateMoving {
			continue
		}
		if !slices.Contains(c.targets, t.target) {
			t.target = c.nextTarget()
		}
		if len(c.targets) > 0 {
			moves[t.target] = append(moves[t.target], ledger.Carry{
				Index: t.Index, Attempt: t.Attempt, After: t.After, Checkpoint: t.Checkpoint, Hops: t.Hops,
			})
		}
	}
	for _, target := range c.targets {
		if tasks := moves[target]; len(tasks) > 0 {
			r = r.Move(c.Shard, target, tasks)
		}
	}
	r.Parts = slices.Clone(r.Parts)
	ended := c.ended(j, r)
	first := true
	for n := range r.Parts {
		p := &r.Parts[n]
		if p.Shard != c.Shard || p.End != nil {
			continue
		}
		p.Parked = j.parked
		if ended {
			p.End = c.outcome(j, *p, first)
			first = false
		}
	}
	return r
}

// ended reports whether all tasks that a record assigns to the shard are over.
func (c *Core) ended(j *job, r ledger.Record) bool {
	if j.placed > 0 {
		return false
	}
	if r.Cancelled {
		return true
	}
	for _, p := range r.Assigned(c.Shard) {
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

func (c *Core) outcome(j *job, p ledger.Part, first bool) *ledger.Outcome {
	var o ledger.Outcome
	for i := p.First; p.Has(i); i++ {
		if j.finished.Has(i) {
			o.Done++
		} else {
			o.Cancelled++
		}
	}
	if first { // the ledger counts the failures of a job, not of a part
		o.Failed = min(unit.TaskIndex(j.failed), o.Done)
		o.Done -= o.Failed
	}
	return &o
}

func (c *Core) jobWritten(e JobWritten) {
	w := c.jobWrite
	c.jobWrite = nil
	if w == nil || w.job != e.Job {
		return
	}
	j := c.jobs[e.Job]
	if e.Fault == FaultNone {
		c.sync(JobChanged{Job: e.Job, Record: w.record, Revision: e.Revision})
		return
	}
	c.jobNext = c.now.Add(commitInterval)
	if j == nil {
		return
	}
	c.markRecord(j)
	if e.Fault != FaultNoEffect {
		c.jobRead = e.Job
		c.actions = append(c.actions, ReadJob{Job: e.Job})
	}
}
