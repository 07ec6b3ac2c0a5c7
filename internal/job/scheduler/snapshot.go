package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// TaskProgress is the durable progress of one task. Tasks without any have none.
type TaskProgress struct {
	Occurrence graph.Occurrence  `cbor:"1,keyasint,omitempty"`
	Step       graph.StepIndex   `cbor:"2,keyasint,omitempty"`
	Index      unit.TaskIndex    `cbor:"3,keyasint,omitempty"`
	Done       bool              `cbor:"4,keyasint,omitempty"`
	Failed     []graph.RunNumber `cbor:"5,keyasint,omitempty"`
	Checkpoint string            `cbor:"6,keyasint,omitempty"`
}

// Progress is the durable progress of one open job.
type Progress struct {
	Started bool           `cbor:"1,keyasint,omitempty"`
	Tasks   []TaskProgress `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the progress of all open jobs, and which ends of workers it holds.
type Snapshot struct {
	Jobs         map[unit.JobID]Progress
	KnownWorkers []unit.InstanceID // workers on which this owner may start tasks
	BusyWorkers  []unit.InstanceID // of these, those on which something may run
	endPositions map[unit.InstanceID]endPosition
}

// endPosition is how far the ends of one incarnation of a worker are known.
type endPosition struct {
	incarnation Incarnation
	lastEnd     EndNumber
}

// ProgressChanged reports whether progress differs from the last snapshot.
func (c *Core) ProgressChanged() bool { return c.progressChanged }

// MarkProgressChanged makes the progress count as changed, as a snapshot was not written.
func (c *Core) MarkProgressChanged() { c.progressChanged = true }

// Snapshot returns the progress to make durable.
func (c *Core) Snapshot() Snapshot {
	c.progressChanged = false
	s := Snapshot{Jobs: map[unit.JobID]Progress{}, endPositions: map[unit.InstanceID]endPosition{}}
	for id, j := range c.openJobs {
		if p := j.progress(); p.Started {
			s.Jobs[id] = p
		}
	}
	for id := range c.unresolved {
		s.KnownWorkers, s.BusyWorkers = append(s.KnownWorkers, id), append(s.BusyWorkers, id)
	}
	for id, w := range c.workers {
		s.endPositions[id] = endPosition{incarnation: w.incarnation, lastEnd: w.lastEndSeen}
		if len(w.runs) > 0 && !c.unresolved[id] {
			s.BusyWorkers = append(s.BusyWorkers, id)
		}
		if (w.listed || len(w.runs) > 0) && !c.unresolved[id] {
			s.KnownWorkers = append(s.KnownWorkers, id)
		}
	}
	return s
}

// ConfirmSnapshot says that a snapshot is in the store: the ends that it holds can be
// acknowledged to their workers.
func (c *Core) ConfirmSnapshot(s Snapshot) {
	c.setDurableWorkers(s.KnownWorkers)
	for id, m := range s.endPositions {
		if w := c.workers[id]; w != nil && w.incarnation == m.incarnation {
			w.ackCursor = max(w.ackCursor, m.lastEnd)
		}
	}
}

// InterferencePairs returns what is known of the interference between images.
func (c *Core) InterferencePairs() []interference.Pair { return c.interference.Pairs() }

// RestoreInterference makes the core go on from what an earlier owner has learned.
func (c *Core) RestoreInterference(pairs []interference.Pair, now time.Time) {
	c.interference.Restore(pairs, now)
}

// setDurableWorkers replaces the set of workers that a next owner knows of. Nothing starts on
// others: the next owner would not wait for them.
func (c *Core) setDurableWorkers(known []unit.InstanceID) {
	clear(c.durableWorkers)
	for _, id := range known {
		c.durableWorkers[id] = true
	}
}

// LoadProgress sets the progress that an earlier owner made durable, and the workers on
// which something of it may run. It must be called before jobs are added.
func (c *Core) LoadProgress(jobs map[unit.JobID]Progress, known, unresolved []unit.InstanceID) {
	c.setDurableWorkers(known)
	c.inheritedProgress = jobs
	if c.inheritedProgress == nil {
		c.inheritedProgress = map[unit.JobID]Progress{}
	}
	for _, id := range unresolved {
		c.unresolved[id] = true
	}
}

func (j *job) progress() Progress {
	p := Progress{Started: j.started}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for n := range s.tasks {
				t := &s.tasks[n]
				if !t.done && len(t.failedRuns) == 0 && t.checkpoint == "" {
					continue
				}
				p.Tasks = append(p.Tasks, TaskProgress{
					Occurrence: o.index, Step: s.index, Index: t.index,
					Done: t.done, Failed: t.failedRuns, Checkpoint: t.checkpoint,
				})
			}
		}
	}
	return p
}
