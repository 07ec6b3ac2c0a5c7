package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// shortHold is how long capacity counts as short after a pass in which a task found no
// worker. Passes come more often than cores are released.
const shortHold = time.Second

// assessInterval is the least time between two assessments of an occurrence. Its chance to
// meet its objective changes little in that time.
const assessInterval = 200 * time.Millisecond

// isShort reports whether tasks wait for capacity.
func (c *Core) isShort(now time.Time) bool { return now.Before(c.shortUntil) }

// arrangeBacklog returns sorted steps in the order that applies while capacity is short:
// within each group, those of queues with an objective trade places so that they go by the
// value that can be expected of them for their remaining work. The given steps stay sorted,
// so that sorting them again takes little time.
func (c *Core) arrangeBacklog(steps []*step, now time.Time) []*step {
	if !c.isShort(now) {
		return steps
	}
	c.assess(steps, now)
	c.arranged = append(c.arranged[:0], steps...)
	for rest := c.arranged; len(rest) > 0; {
		end := 1
		for end < len(rest) && compareGroup(rest[0], rest[end], now) == 0 {
			end++
		}
		if rank := rest[0].rank(now); rank == rankShort || rank == rankLate {
			c.arrangeGroup(rest[:end])
		}
		rest = rest[end:]
	}
	return c.arranged
}

// arrangeGroup arranges the steps of a group.
func (c *Core) arrangeGroup(group []*step) {
	c.movable = c.movable[:0]
	for _, s := range group {
		if s.hasObjective() {
			c.movable = append(c.movable, s)
		}
	}
	slices.SortStableFunc(c.movable, func(a, b *step) int {
		return cmp.Compare(a.occurrence.place.Key, b.occurrence.place.Key)
	})
	next := 0
	for i, s := range group {
		if s.hasObjective() {
			group[i] = c.movable[next]
			next++
		}
	}
}

// comparePlaces orders steps of any group, those of queues without an objective last.
func comparePlaces(a, b *step) int {
	qa, qb := &a.occurrence.job.spec.Queue, &b.occurrence.job.spec.Queue
	switch {
	case a.hasObjective() != b.hasObjective() && a.hasObjective():
		return -1
	case a.hasObjective() != b.hasObjective():
		return 1
	}
	return cmp.Or(
		cmp.Compare(qa.Priority, qb.Priority),
		cmp.Compare(a.occurrence.place.Key, b.occurrence.place.Key),
	)
}

// hasObjective reports whether the queue of a step has an objective.
func (s *step) hasObjective() bool {
	q := &s.occurrence.job.spec.Queue
	return q.Stretch > 0 || q.Target > 0
}

// assess computes the places of the occurrences of the steps anew, where they are not recent.
func (c *Core) assess(steps []*step, now time.Time) {
	c.assessed, c.works = c.assessed[:0], c.works[:0]
	for _, s := range steps {
		o := s.occurrence
		if now.Sub(o.assessedAt) < assessInterval || !s.hasObjective() {
			continue
		}
		o.assessedAt = now
		c.assessed = append(c.assessed, o)
		c.works = append(c.works, c.describe(o))
	}
	for i, p := range overload.ExpectedValue(now, 0, c.works) {
		c.assessed[i].place = p
	}
}

// describe returns the work of an occurrence.
func (c *Core) describe(o *occurrence) overload.Work {
	all, remaining := o.work(), o.remainingWork()
	queue := &o.job.spec.Queue
	return overload.Work{
		Priority: queue.Priority, Due: o.due(), Objective: o.softDeadline, Useful: o.usefulUntil,
		Chain: o.remainingChain, Spread: o.chainDeviation(), Remaining: remaining, Done: all - remaining,
		Value: overload.Value(all, c.meanWork.Of(queue.ID)), LongRunning: o.job.longRunning, Class: o.place.Class,
	}
}

// chainDeviation returns the largest deviation of the durations of the incomplete steps.
func (o *occurrence) chainDeviation() float64 {
	var largest float64
	for _, s := range o.steps {
		if s.remaining > 0 {
			largest = max(largest, s.expectedDeviation)
		}
	}
	return largest
}

// work returns the expected work of all tasks.
func (o *occurrence) work() overload.CoreSeconds {
	var sum overload.CoreSeconds
	for _, s := range o.steps {
		sum += s.workOf(len(s.tasks))
	}
	return sum
}

// runningShare is the share of the work of a running task that counts as remaining.
const runningShare = 0.5

// remainingWork returns the expected work of the tasks that are not done.
func (o *occurrence) remainingWork() overload.CoreSeconds {
	var sum overload.CoreSeconds
	for _, s := range o.steps {
		waiting := len(s.waiting)
		sum += s.workOf(waiting) + runningShare*s.workOf(s.remaining-waiting)
	}
	return sum
}

// workOf returns the expected work of some tasks of the step.
func (s *step) workOf(tasks int) overload.CoreSeconds {
	cores := float64(s.spec.Needs.Cores) / 1000
	return overload.CoreSeconds(cores * s.expected.Seconds() * float64(tasks))
}
