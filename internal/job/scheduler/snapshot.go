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
	marks        map[unit.InstanceID]mark
}

// mark is how far the ends of one incarnation of a worker are known.
type mark struct {
	born Incarnation
	seen EndNumber
}

// ProgressChanged reports whether progress differs from the last snapshot.
func (c *Core) ProgressChanged() bool { return c.changed }

// MarkProgressChanged makes the progress count as changed, as a snapshot was not written.
func (c *Core) MarkProgressChanged() { c.changed = true }

// Snapshot returns the progress to make durable.
func (c *Core) Snapshot() Snapshot {
	c.changed = false
	s := Snapshot{Jobs: map[unit.JobID]Progress{}, marks: map[unit.InstanceID]mark{}}
	for id, j := range c.open {
		if p := j.progress(); p.Started {
			s.Jobs[id] = p
		}
	}
	for id := range c.unresolved {
		s.KnownWorkers, s.BusyWorkers = append(s.KnownWorkers, id), append(s.BusyWorkers, id)
	}
	for id, w := range c.workers {
		s.marks[id] = mark{born: w.born, seen: w.seen}
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
	c.record(s.KnownWorkers)
	for id, m := range s.marks {
		if w := c.workers[id]; w != nil && w.born == m.born {
			w.cursor = max(w.cursor, m.seen)
		}
	}
}

// InterferencePairs returns what is known of the interference between images.
func (c *Core) InterferencePairs() []interference.Pair { return c.model.Pairs() }

// RestoreInterference makes the core go on from what an earlier owner has learned.
func (c *Core) RestoreInterference(pairs []interference.Pair, now time.Time) {
	c.model.Restore(pairs, now)
}

// record replaces the set of workers that a next owner knows of. Nothing starts on
// others: the next owner would not wait for them.
func (c *Core) record(known []unit.InstanceID) {
	clear(c.recorded)
	for _, id := range known {
		c.recorded[id] = true
	}
}

// LoadProgress sets the progress that an earlier owner made durable, and the workers on
// which something of it may run. It must be called before jobs are added.
func (c *Core) LoadProgress(jobs map[unit.JobID]Progress, known, unresolved []unit.InstanceID) {
	c.record(known)
	c.progress = jobs
	if c.progress == nil {
		c.progress = map[unit.JobID]Progress{}
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
				if !t.done && len(t.failed) == 0 && t.checkpoint == "" {
					continue
				}
				p.Tasks = append(p.Tasks, TaskProgress{
					Occurrence: o.index, Step: s.index, Index: t.index,
					Done: t.done, Failed: t.failed, Checkpoint: t.checkpoint,
				})
			}
		}
	}
	return p
}
