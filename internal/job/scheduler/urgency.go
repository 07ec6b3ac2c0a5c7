package scheduler

import (
	"cmp"
	"time"
)

// compareUrgency orders steps by group, then by soft deadline, the earliest first. Late steps
// share what is left so that each has a task that runs before another one gets more: first
// the one that has had nothing running for longest, and among those that are too late the one
// with fewest runs. Otherwise the earliest job takes places for all of its tasks, and later ones
// have nothing running for as long as there are earlier ones.
func compareUrgency(a, b *step, now time.Time) int {
	if c := compareGroup(a, b, now); c != 0 {
		return c
	}
	switch a.rank(now) {
	case rankLateIdle:
		if c := a.idleSince.Compare(b.idleSince); c != 0 {
			return c
		}
	case rankTooLate:
		if c := cmp.Compare(a.activeRuns, b.activeRuns); c != 0 {
			return c
		}
	}
	return a.occurrence.softDeadline.Compare(b.occurrence.softDeadline)
}

// compareGroup orders steps by their turn, by the standing of their organisation, by priority, then by rank.
// Steps of which neither goes first are a group, in which the order changes while capacity is
// short.
func compareGroup(a, b *step, now time.Time) int {
	if a.inTurn != b.inTurn {
		if a.inTurn {
			return -1
		}
		return 1
	}
	if c := compareStanding(a, b); c != 0 {
		return c
	}
	ja, jb := a.occurrence.job, b.occurrence.job
	return cmp.Or(
		cmp.Compare(ja.spec.Queue.Priority, jb.spec.Queue.Priority),
		cmp.Compare(a.rank(now), b.rank(now)),
	)
}

// Ranks of the steps of one priority, the most urgent first.
const (
	rankTurn        = iota // short, and starved
	rankInterrupted        // long-running, and a task has to run again
	rankShort
	rankLongRunning // does not release its cores: on a full shard it takes them from short tasks for good
	rankLateIdle    // short, misses its objective, and none of its tasks runs
	rankLate        // short and misses its objective
	rankTooLate     // short, and too late to be of use
)

// rank returns the rank of a step with waiting tasks.
func (s *step) rank(now time.Time) int {
	switch {
	case s.inTurn:
		return rankTurn
	case s.interrupted(now):
		return rankInterrupted
	case s.spec.LongRunning:
		return rankLongRunning
	case !s.isLate(now):
		return rankShort
	case s.isIdle():
		return rankLateIdle
	case s.occurrence.tooLate(now):
		return rankTooLate
	}
	return rankLate
}

// isLate reports whether a step belongs to an occurrence that misses its objective, or to one
// without an objective that is too late to be of use.
func (s *step) isLate(now time.Time) bool {
	if s.hasObjective() {
		return now.After(s.occurrence.softDeadline)
	}
	return s.occurrence.tooLate(now)
}

// interrupted reports whether the next task to place is a long-running one that has run
// before. It takes back the cores that it has released: short tasks would take each free
// place first, for as long as they have a backlog.
func (s *step) interrupted(now time.Time) bool {
	if !s.spec.LongRunning {
		return false
	}
	next := s.nextTask(now)
	return next != nil && next.ranBefore
}
