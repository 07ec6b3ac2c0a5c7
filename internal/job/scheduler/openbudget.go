package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Memory that a step and a task of an open occurrence take, also while they wait.
const (
	stepMemory unit.Bytes = 768
	taskMemory unit.Bytes = 176
)

// Parts of the memory for open occurrences. A job gets one more occurrence than its parts
// allow only while nothing else is open.
const (
	// openRoomDivisor keeps room for small jobs beside large ones: an occurrence opens only
	// if it takes at most this part of what is left.
	openRoomDivisor = 2
	// overlapDivisor bounds the occurrences that a job has open at the same time, and
	// overlapsDivisor those of all jobs beyond the first ones.
	overlapDivisor  = 8
	overlapsDivisor = 2
)

// openBudget is the account of the memory that open occurrences take. Submissions of a few
// bytes can ask for millions of tasks, so occurrences that find no room are opened later.
type openBudget struct {
	limit    unit.Bytes // 0: none
	used     unit.Bytes
	released bool                // since the parked jobs were last tried
	parked   map[unit.JobID]*job // jobs with a due occurrence that has found no room
}

// occurrenceMemory returns the memory that an occurrence of a job takes.
func occurrenceMemory(j *graph.Job) unit.Bytes {
	var n unit.Bytes
	for i := range j.Steps {
		n += stepMemory + taskMemory*unit.Bytes(j.Steps[i].Count)
	}
	return n
}

// hasRoom reports whether the next occurrence of a job may open.
func (b *openBudget) hasRoom(j *job) bool {
	n := occurrenceMemory(j.spec)
	switch {
	case b.limit == 0 || b.used == 0:
		return true
	case j.openMemory == 0:
		return n <= (b.limit-b.used)/openRoomDivisor
	}
	return j.openMemory+n <= b.limit/overlapDivisor && b.used+n <= b.limit/overlapsDivisor
}

// charge accounts for an occurrence that opens.
func (b *openBudget) charge(j *job) {
	n := occurrenceMemory(j.spec)
	j.openMemory += n
	b.used += n
}

// release accounts for a number of bytes that a job no longer takes.
func (b *openBudget) release(j *job, n unit.Bytes) {
	n = min(n, j.openMemory)
	j.openMemory -= n
	b.used -= n
	b.released = b.released || n > 0
}

// mayOpen reports whether the next occurrence of a job may open, and parks the job if not. What
// an earlier owner had open opens in any case, as it may be running.
func (c *Core) mayOpen(j *job) bool {
	inherited := c.inheritedProgress[j.spec.ID]
	wasOpen := j.openedOccurrences < inherited.Opened || (inherited.Started && j.openedOccurrences == 0)
	if wasOpen || c.open.hasRoom(j) {
		return true
	}
	if c.open.parked == nil {
		c.open.parked = map[unit.JobID]*job{}
	}
	c.open.parked[j.spec.ID] = j
	return false
}

// openParked opens the occurrences for which there is room by now, those of the most urgent
// jobs first.
func (c *Core) openParked(now time.Time) {
	if !c.open.released || len(c.open.parked) == 0 {
		return
	}
	c.open.released = false
	parked := slices.SortedFunc(maps.Values(c.open.parked), func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.spec.Queue.Priority, b.spec.Queue.Priority),
			a.spec.Accepted.Compare(b.spec.Accepted),
			cmp.Compare(a.spec.ID, b.spec.ID),
		)
	})
	for _, j := range parked {
		delete(c.open.parked, j.spec.ID)
		c.openDueOccurrences(j, now)
	}
}

// endedRetention is how long the tasks of a job are kept after its final state became durable.
// Reports may name them until the longest lease has expired.
const endedRetention = 15 * time.Second

// dropEnded drops the tasks of jobs that have ended, oldest first.
func (c *Core) dropEnded(now time.Time) {
	for range len(c.ended) {
		j := c.ended[0]
		if now.Sub(j.finalSince) < endedRetention {
			return
		}
		c.ended[0] = nil
		c.ended = c.ended[1:]
		if j.activeRuns > 0 {
			c.ended = append(c.ended, j)
			continue
		}
		c.dropOccurrences(j)
	}
}

// dropOccurrences drops the steps and tasks of a job that is only shown to callers any more.
func (c *Core) dropOccurrences(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.releaseImage(s.image)
		}
	}
	j.occurrences = nil
	c.open.release(j, j.openMemory)
	c.shrink(j)
}
