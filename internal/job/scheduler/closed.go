package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// maxClosedWorkers bounds the closed workers that a snapshot holds, so that the record stays
// small when the whole instance list has expired in the store.
const maxClosedWorkers = 64

// ClosedWorker is what the durable progress holds of a worker that takes no more starts, as
// it is draining or has left the instance list. If it is gone when the next owner takes over,
// only the tasks named here may have a run there, or an end that is not read.
type ClosedWorker struct {
	Worker unit.InstanceID            `cbor:"1,keyasint"`
	Tasks  map[unit.JobID][]TaskRange `cbor:"2,keyasint,omitempty"`
	// Address is the last one that the instance list gave. Earlier releases do not record it.
	Address string `cbor:"3,keyasint,omitempty"`
}

// includes reports whether a task may have a run on the worker.
func (w ClosedWorker) includes(t graph.Task) bool {
	return slices.ContainsFunc(w.Tasks[t.Job], func(r TaskRange) bool { return r.includes(t) })
}

// LoadClosed applies the closed workers that the previous owner made durable. It must be
// called after LoadProgress, and only if no other owner came between.
func (c *Core) LoadClosed(closed []ClosedWorker) {
	for _, w := range closed {
		c.closedByEarlier[w.Worker] = w
	}
}

// mayHaveHiddenRun reports whether an unresolved worker may have a run of a task that waits,
// or an end of it that is not read.
func (c *Core) mayHaveHiddenRun(t *task) bool {
	if t.noHiddenRun || c.safeToStart(t.job()) {
		return false
	}
	id := t.id()
	return c.mayHide(func(w ClosedWorker) bool { return w.includes(id) })
}

// mayHideJob reports whether an unresolved worker may have a run of a job.
func (c *Core) mayHideJob(id unit.JobID) bool {
	return c.mayHide(func(w ClosedWorker) bool { return len(w.Tasks[id]) > 0 })
}

// mayHide reports whether an unresolved worker was not recorded as closed, or was with what
// includes looks for.
func (c *Core) mayHide(includes func(ClosedWorker) bool) bool {
	for id := range c.unresolved {
		if w, ok := c.closedByEarlier[id]; !ok || includes(w) {
			return true
		}
	}
	return false
}

// addClosed adds the closed workers to a snapshot. Until a snapshot without them is durable,
// nothing starts there, whatever the instance list says.
func (c *Core) addClosed(s *Snapshot) {
	for id := range c.unresolved {
		if closed, ok := c.closedByEarlier[id]; ok {
			c.addClosedWorker(s, closed)
		}
	}
	for _, recorded := range []bool{true, false} { // a change of the choice would only close more workers
		for id, w := range c.workers {
			if c.recordedClosed[id] == recorded && len(s.Closed) < maxClosedWorkers && w.isClosed() && !c.isUnresolved(id) {
				c.addClosedWorker(s, ClosedWorker{Worker: id, Tasks: w.possibleTasks(), Address: w.listing.Address})
			}
		}
	}
}

// isClosed reports whether a worker takes no more starts by the instance list.
func (w *worker) isClosed() bool { return !w.listed || w.listing.Draining }

// checkClosed makes a snapshot due if a worker is to be recorded as closed, or no longer.
func (c *Core) checkClosed() {
	for id, w := range c.workers {
		closed := w.isClosed()
		if c.recordedClosed[id] != closed && (!closed || len(c.recordedClosed) < maxClosedWorkers) {
			c.progressChanged = true
			return
		}
	}
}

func (c *Core) addClosedWorker(s *Snapshot, w ClosedWorker) {
	s.Closed = append(s.Closed, w)
	if !c.recordedClosed[w.Worker] {
		c.recordedClosed[w.Worker] = true
		s.newlyClosed = append(s.newlyClosed, w.Worker)
	}
}

// possibleTasks returns the tasks that may have a run on a worker, or an end that the
// progress lacks.
func (w *worker) possibleTasks() map[unit.JobID][]TaskRange {
	var tasks []graph.Task
	for _, r := range w.runList {
		if r.phase != phaseQueued {
			tasks = append(tasks, r.task.id())
		}
	}
	for id := range w.unknownRuns {
		tasks = append(tasks, id.task)
	}
	for _, t := range w.heldEnds {
		tasks = append(tasks, t.id())
	}
	return rangesByJob(tasks)
}

// rangesByJob joins neighbouring tasks to ranges.
func rangesByJob(tasks []graph.Task) map[unit.JobID][]TaskRange {
	slices.SortFunc(tasks, func(a, b graph.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	ranges := map[unit.JobID][]TaskRange{}
	for _, t := range slices.Compact(tasks) {
		ranges[t.Job] = appendTask(ranges[t.Job], t)
	}
	return ranges
}

// appendTask adds a task to ranges, the last of which may end just before it.
func appendTask(ranges []TaskRange, t graph.Task) []TaskRange {
	if last := len(ranges) - 1; last >= 0 {
		r := &ranges[last]
		if r.Occurrence == t.Occurrence && r.Step == t.Step && r.First+r.Count == t.Index {
			r.Count++
			return ranges
		}
	}
	return append(ranges, TaskRange{Occurrence: t.Occurrence, Step: t.Step, First: t.Index, Count: 1})
}

// confirmClosed replaces the closed workers that the durable progress holds.
func (c *Core) confirmClosed(closed []ClosedWorker) {
	if len(c.recordedClosed) > 0 {
		c.placementDue = true
	}
	clear(c.recordedClosed)
	for _, w := range closed {
		c.recordedClosed[w.Worker] = true
	}
}

// forgetClosed drops the closed workers of earlier owners that are resolved.
func (c *Core) forgetClosed() {
	maps.DeleteFunc(c.closedByEarlier, func(id unit.InstanceID, _ ClosedWorker) bool { return !c.isUnresolved(id) })
}
