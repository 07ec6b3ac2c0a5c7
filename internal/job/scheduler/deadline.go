package scheduler

import "time"

// usefulLifeFactor is how many times its objective an occurrence may take and still be
// of use.
const usefulLifeFactor = 3

// softDeadlineInterval is the time between two looks at what open jobs are expected to
// take, since the estimates change as tasks end.
const softDeadlineInterval = time.Second

// updateSoftDeadlines renews the objectives of all open jobs.
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

// updateSoftDeadline sets by when an occurrence should be complete, from its longest chain of
// steps.
func (c *Core) updateSoftDeadline(o *occurrence) {
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, s := range o.steps {
		for _, a := range s.spec.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += c.expectedDuration(s)
		longest = max(longest, ends[i])
	}
	queue := &o.job.spec.Queue
	allowed := time.Duration(float64(longest)*max(queue.Stretch, 1)) + queue.Target
	o.softDeadline = o.due().Add(allowed)
}

func (o *occurrence) due() time.Time { return o.job.spec.Due(o.index) }

// expectedDuration returns what a task of a step is expected to take at full speed.
func (c *Core) expectedDuration(s *step) time.Duration {
	if s.longestTask > 0 {
		return s.longestTask
	}
	return c.durations.Estimate(s.occurrence.job.spec.Queue.ID, s.spec.Estimate)
}

// minMeasuredPercent is the progress of a run, in percent, from which on its duration
// is known: whole percents are listed.
const minMeasuredPercent = 20

// slowWorkerFactor is how many times as long as the fastest task of a step another may
// take by its own work. What takes longer is on a slow worker.
const slowWorkerFactor = 3

// measureDuration notes how long a run takes at full speed from its progress so far. The
// longest of a step counts, as the next step waits for it.
func (c *Core) measureDuration(r *run, percent int) {
	s := r.task.step
	if r.resumedFromCheckpoint || s.spec.LongRunning || s.spec.Gang || percent < minMeasuredPercent {
		return
	}
	whole := r.workDone * 100 / time.Duration(percent)
	if s.fastestTask == 0 || whole < s.fastestTask {
		s.fastestTask = whole
	}
	sound := whole <= slowWorkerFactor*s.fastestTask
	if (sound && whole > s.longestTask) || s.longestTask > slowWorkerFactor*s.fastestTask {
		s.longestTask = whole
		c.updateSoftDeadline(s.occurrence)
	}
}

// recordStepDuration lets the queue recordStepDuration from a step that is complete.
func (c *Core) recordStepDuration(s *step) {
	if s.longestTask > 0 {
		c.durations.Observe(s.occurrence.job.spec.Queue.ID, s.spec.Estimate, s.longestTask)
	}
}

// accrueWork adds the time at full speed since a run was last looked at.
func (r *run) accrueWork(now time.Time) {
	if r.workCountedUntil.IsZero() {
		r.workCountedUntil = r.orderedAt
	}
	r.workDone += now.Sub(r.workCountedUntil) * time.Duration(r.pacePercent) / 100
	r.workCountedUntil = now
}

// tooLate reports whether an occurrence cannot end within the time in which it is
// of use.
func (o *occurrence) tooLate(now time.Time) bool {
	if o.job.longRunning {
		return false
	}
	return now.After(o.due().Add(usefulLifeFactor * o.softDeadline.Sub(o.due())))
}

// Weights of the slack of an occurrence: how much rather its tasks are slowed than
// those of one without any.
const (
	maxSlack       = 8 * time.Second
	maxSlackWeight = 2.0
	tooLateWeight  = 4.0
)

// slackWeight returns the weight of an occurrence among those to slow.
func (o *occurrence) slackWeight(now time.Time) float64 {
	if o.tooLate(now) {
		return tooLateWeight
	}
	left := min(max(o.softDeadline.Sub(now), 0), maxSlack)
	return 1 + (maxSlackWeight-1)*float64(left)/float64(maxSlack)
}
