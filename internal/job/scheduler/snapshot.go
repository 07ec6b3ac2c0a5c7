package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// TaskProgress is the durable progress of one task. Tasks without progress are left
// out. A long-running task that a worker has begun has some.
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
	// Opened is the number of occurrences that the owner had opened, and Placed are their
	// tasks that may have a run on some worker. Both are set only at a hand-over.
	Opened int         `cbor:"3,keyasint,omitempty"`
	Placed []TaskRange `cbor:"4,keyasint,omitempty"`
}

// TaskRange is a range of tasks of one step.
type TaskRange struct {
	_          struct{} `cbor:",toarray"`
	Occurrence graph.Occurrence
	Step       graph.StepIndex
	First      unit.TaskIndex
	Count      unit.TaskIndex
}

// placed reports whether a task of an opened occurrence may have a run.
func (p Progress) placed(o graph.Occurrence, s graph.StepIndex, n unit.TaskIndex) bool {
	t := graph.Task{Occurrence: o, Step: s, Index: n}
	return slices.ContainsFunc(p.Placed, func(r TaskRange) bool { return r.includes(t) })
}

// includes reports whether a task of the job is in the range.
func (r TaskRange) includes(t graph.Task) bool {
	return r.Occurrence == t.Occurrence && r.Step == t.Step && t.Index >= r.First && t.Index-r.First < r.Count
}

// Snapshot is the progress of all open jobs at one time, without the checkpoints that
// HeldCheckpoints returns. It also records which ended runs of each worker the
// progress includes.
type Snapshot struct {
	Jobs         map[unit.JobID]Progress
	KnownWorkers []unit.InstanceID // once the snapshot is durable, tasks may start on these
	BusyWorkers  []unit.InstanceID // of the known workers, those that may have runs, or ends that the progress lacks
	Leases       []WorkerLease     // of silent workers, and at a hand-over of all busy ones; see AddLeases
	Closed       []ClosedWorker    // workers that take no more starts
	endPositions map[unit.InstanceID]endPosition
	newlyClosed  []unit.InstanceID // workers in Closed that no earlier snapshot holds
	newlyHeld    []unit.InstanceID // workers in Leases that no earlier snapshot holds
}

// endPosition is the highest handled end of one incarnation of a worker.
type endPosition struct {
	incarnation Incarnation
	lastEnd     EndNumber
}

// ProgressChanged reports whether the progress has changed since the last snapshot.
func (c *Core) ProgressChanged() bool { return c.progressChanged }

// MarkProgressChanged makes ProgressChanged return true, for use when a snapshot could
// not be written.
func (c *Core) MarkProgressChanged() { c.progressChanged = true }

// Snapshot returns the current progress, to be made durable and confirmed with
// ConfirmSnapshot.
func (c *Core) Snapshot() Snapshot {
	c.progressChanged = false
	s := Snapshot{
		Jobs:         make(map[unit.JobID]Progress, len(c.openJobs)),
		endPositions: make(map[unit.InstanceID]endPosition, len(c.workers)),
	}
	for id, j := range c.openJobs {
		p := j.progress()
		if len(j.occurrences) < j.spec.Occurrences() {
			for _, t := range c.inheritedProgress[id].Tasks {
				if int(t.Occurrence) >= len(j.occurrences) {
					p.Started, p.Tasks = true, append(p.Tasks, t)
				}
			}
		}
		if p.Started {
			s.Jobs[id] = p
		}
	}
	for id := range c.earlyEnds {
		if c.jobs[id] == nil {
			s.Jobs[id] = c.inheritedProgress[id]
		}
	}
	c.forgetClosed()
	c.addClosed(&s)
	for id := range c.unresolved {
		s.KnownWorkers, s.BusyWorkers = append(s.KnownWorkers, id), append(s.BusyWorkers, id)
	}
	for id, w := range c.workers {
		s.endPositions[id] = endPosition{incarnation: w.incarnation, lastEnd: w.lastRecordedEnd()}
		if w.isBusy() && !c.isUnresolved(id) {
			s.BusyWorkers = append(s.BusyWorkers, id)
		}
		if (w.listed || len(w.runs) > 0) && !c.isUnresolved(id) {
			s.KnownWorkers = append(s.KnownWorkers, id)
		}
	}
	// The snapshot may become durable without an answer, and then a worker that it does
	// not name is not durable any more.
	maps.DeleteFunc(c.durableWorkers, func(id unit.InstanceID, _ bool) bool {
		w := c.workers[id]
		return !c.isUnresolved(id) && (w == nil || (!w.listed && len(w.runs) == 0))
	})
	return s
}

// lastRecordedEnd returns the highest end up to which the progress includes all ends of
// the worker.
func (w *worker) lastRecordedEnd() EndNumber {
	last := w.lastEndSeen
	for n, t := range w.heldEnds {
		if !t.hasRuns() {
			delete(w.heldEnds, n)
		} else {
			last = min(last, n-1)
		}
	}
	return last
}

// ConfirmSnapshot records that a snapshot is in the store. The ends that it includes
// can then be acknowledged to their workers, and tasks may start on its known
// workers.
func (c *Core) ConfirmSnapshot(s Snapshot) {
	c.setDurableWorkers(s.KnownWorkers)
	c.confirmLeases(s.Leases)
	c.confirmClosed(s.Closed)
	for id, position := range s.endPositions {
		if w := c.workers[id]; w != nil && w.incarnation == position.incarnation {
			w.ackCursor = max(w.ackCursor, position.lastEnd)
		}
	}
}

// InterferencePairs returns what the model has learned of the interference between
// images.
func (c *Core) InterferencePairs() []interference.Pair { return c.interference.Pairs() }

// RestoreInterference loads what an earlier owner has learned of the interference
// between images.
func (c *Core) RestoreInterference(pairs []interference.Pair, now time.Time) {
	c.interference.Restore(pairs, now)
}

// setDurableWorkers replaces the set of workers named in the durable progress. Nothing
// starts on others, since the next owner would not wait for their reports.
func (c *Core) setDurableWorkers(known []unit.InstanceID) {
	clear(c.durableWorkers)
	for _, id := range known {
		c.durableWorkers[id] = true
	}
}

// LoadProgress sets the progress that earlier owners made durable, the workers that it
// names, and those that may still have runs of earlier owners. It must be called
// before jobs are added.
func (c *Core) LoadProgress(jobs map[unit.JobID]Progress, known, unresolved []unit.InstanceID) {
	c.setDurableWorkers(known)
	c.knownToEarlier = maps.Clone(c.durableWorkers)
	c.inheritedProgress = jobs
	if c.inheritedProgress == nil {
		c.inheritedProgress = map[unit.JobID]Progress{}
	}
	for _, id := range unresolved {
		c.unresolved[id] = inheritedLease{expiresAt: c.unrecordedLeasesExpireAt}
	}
}

// SetEarlierStartsEnd sets the time after which no earlier owner decides to start a task.
func (c *Core) SetEarlierStartsEnd(at time.Time) { c.earlierStartsEndAt = at }

// EarlierStartsLeft returns the time until no earlier owner decides to start a task any more.
func (c *Core) EarlierStartsLeft(now time.Time) time.Duration {
	return max(c.earlierStartsEndAt.Sub(now), 0)
}

// progress returns the progress of the job's opened occurrences.
func (j *job) progress() Progress {
	p := Progress{Started: j.started}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for n := range s.tasks {
				t := &s.tasks[n]
				checkpoint := t.checkpoint
				if t.checkpointHeld() {
					checkpoint = ""
				}
				if !t.done && len(t.failedRuns) == 0 && checkpoint == "" && !(s.spec.LongRunning && t.begun()) {
					continue
				}
				p.Tasks = append(p.Tasks, TaskProgress{
					Occurrence: o.index, Step: s.index, Index: t.index,
					Done: t.done, Failed: t.failedRuns, Checkpoint: checkpoint,
				})
			}
		}
	}
	return p
}

// begun reports whether a worker has begun a run of the task.
func (t *task) begun() bool {
	return t.ranBefore || slices.ContainsFunc(t.runs, func(r *run) bool { return r.reported })
}

// checkpointHeld reports whether a worker has reported the task's checkpoint with a run
// that goes on.
func (t *task) checkpointHeld() bool {
	return t.checkpoint != "" && slices.ContainsFunc(t.runs, func(r *run) bool { return r.savedCheckpoint == t.checkpoint })
}

// HeldCheckpoints returns the checkpoints of tasks whose worker has reported them with a
// run that goes on. The next owner learns them from the worker, so they need to be
// durable only in case the worker is lost together with this owner.
func (c *Core) HeldCheckpoints() map[unit.JobID][]TaskProgress {
	held := map[unit.JobID][]TaskProgress{}
	for _, w := range c.workers {
		for _, r := range w.runList {
			t := r.task
			if id := t.job().spec.ID; t.checkpoint != "" && r.savedCheckpoint == t.checkpoint {
				held[id] = append(held[id], TaskProgress{
					Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index, Checkpoint: t.checkpoint,
				})
			}
		}
	}
	return held
}
