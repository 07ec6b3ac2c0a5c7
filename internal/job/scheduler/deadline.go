package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// softDeadlineInterval is the time between two updates of all soft deadlines. They
// change because the estimated durations change as tasks end.
const softDeadlineInterval = time.Second

// updateSoftDeadlines recomputes the soft deadlines of all open jobs.
func (c *Core) updateSoftDeadlines(now time.Time) {
	if now.Sub(c.lastDeadlineUpdate) < softDeadlineInterval {
		return
	}
	c.lastDeadlineUpdate = now
	for _, j := range c.openJobs {
		for _, o := range j.occurrences {
			if o.incompleteSteps > 0 {
				c.updateSoftDeadline(o)
			}
		}
	}
}

// updateSoftDeadline sets the time by which an occurrence should be complete: the
// expected duration of its longest chain of steps, stretched by the queue's factor,
// plus the queue's target.
func (c *Core) updateSoftDeadline(o *occurrence) {
	for _, s := range o.steps {
		s.expected, s.expectedDeviation = c.expectDuration(s)
	}
	queue := &o.job.spec.Queue
	allowed := time.Duration(float64(o.longestChain(false))*max(queue.Stretch, 1)) + queue.Target
	o.softDeadline = o.due().Add(allowed)
	o.usefulUntil = o.due().Add(overload.UsefulFactor * allowed)
	o.remainingChain = o.longestChain(true)
}

// longestChain returns the expected duration of the longest chain of steps, of those that
// are not complete or of all.
func (o *occurrence) longestChain(incomplete bool) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, s := range o.steps {
		for _, dep := range s.spec.After {
			ends[i] = max(ends[i], ends[dep])
		}
		if s.remaining > 0 || !incomplete {
			ends[i] += s.expected
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// due returns when the occurrence may start.
func (o *occurrence) due() time.Time { return o.job.spec.Due(o.index) }

// expectedDuration returns the expected duration at full speed of a task of a step.
func (c *Core) expectedDuration(s *step) time.Duration {
	expected, _ := c.expectDuration(s)
	return expected
}

// measuredDeviation is the standard deviation of the logarithm of the actual over the
// expected duration of tasks that have been measured.
const measuredDeviation = 0.05

// expectDuration returns the expected duration at full speed of a task of a step, and the
// standard deviation of the logarithm of the actual over the expected one.
func (c *Core) expectDuration(s *step) (expected time.Duration, deviation float64) {
	if s.longestTask > 0 {
		return s.longestTask, measuredDeviation
	}
	return c.durations.Expect(s.occurrence.job.spec.Queue.ID, s.spec.Estimate)
}

// minMeasuredPercent is the least progress from which the duration of a run is
// derived. Progress is reported in whole percents, which are too coarse below it.
const minMeasuredPercent = 20

// slowWorkerFactor is how many times the duration of the fastest task of a step
// another one may take. If it takes longer, its worker is considered slow.
const slowWorkerFactor = 3

// measureDuration derives the duration of a whole task at full speed from the progress
// of a run. The longest task of a step counts, since the next step waits for it.
func (c *Core) measureDuration(r *run, percent int) {
	s := r.task.step
	if r.resumedFromCheckpoint || s.spec.LongRunning || s.spec.Gang || percent < minMeasuredPercent {
		return
	}
	total := r.workDone * 100 / time.Duration(percent)
	if s.fastestTask == 0 || total < s.fastestTask {
		s.fastestTask = total
	}
	plausible := total <= slowWorkerFactor*s.fastestTask
	if (plausible && total > s.longestTask) || s.longestTask > slowWorkerFactor*s.fastestTask {
		s.longestTask = total
		c.updateSoftDeadline(s.occurrence)
	}
}

// recordStepDuration passes the duration of a completed step to the estimator of its
// queue.
func (c *Core) recordStepDuration(s *step) {
	if s.longestTask > 0 {
		c.durations.Observe(s.occurrence.job.spec.Queue.ID, s.spec.Estimate, s.longestTask)
	}
}

// accrueWork adds the work done at the current pace since the last call.
func (r *run) accrueWork(now time.Time) {
	if r.workCountedUntil.IsZero() {
		r.workCountedUntil = r.orderedAt
	}
	r.workDone += now.Sub(r.workCountedUntil) * time.Duration(r.pacePercent) / 100
	r.workCountedUntil = now
}

// tooLate reports whether the time within which an occurrence is of use has passed.
func (o *occurrence) tooLate(now time.Time) bool {
	if o.job.longRunning {
		return false
	}
	return now.After(o.usefulUntil)
}

// Weights by the slack of an occurrence, the time left to its soft deadline. Tasks of
// an occurrence with more slack are slowed rather than those of one without any,
// which has weight 1.
const (
	maxSlack       = 8 * time.Second
	maxSlackWeight = 2.0
	tooLateWeight  = 4.0
	lateWeight     = 3.0 // late, but still of use
)

// slackWeight returns how readily the tasks of an occurrence are slowed.
func (o *occurrence) slackWeight(now time.Time) float64 {
	switch {
	case o.tooLate(now):
		return tooLateWeight
	case now.Add(o.remainingChain).After(o.softDeadline):
		return lateWeight
	}
	slack := min(max(o.softDeadline.Sub(now), 0), maxSlack)
	return 1 + (maxSlackWeight-1)*float64(slack)/float64(maxSlack)
}
