package scheduler

import "slices"

// AddPlacements adds to the snapshot of a hand-over which tasks may have a run, so that the
// others need not wait for silent workers.
func (c *Core) AddPlacements(s *Snapshot) {
	for id, j := range c.openJobs {
		p := s.Jobs[id]
		p.Opened, p.Placed = len(j.occurrences), c.placedTasks(j)
		s.Jobs[id] = p
	}
}

// placedTasks returns the tasks of a job that may have a run of any owner. A start that was
// not sent is not sent after the snapshot of a hand-over.
func (c *Core) placedTasks(j *job) []TaskRange {
	var placed []TaskRange
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for n := range s.tasks {
				t := &s.tasks[n]
				sent := slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase != phaseQueued })
				if t.done || !sent && !c.mayHaveHiddenRun(t) {
					continue
				}
				placed = appendTask(placed, t.id())
			}
		}
	}
	return placed
}
