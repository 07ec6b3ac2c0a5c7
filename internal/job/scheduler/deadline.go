package scheduler

import "time"

// lateFactor is how many times its objective an occurrence may take and still be
// of use.
const lateFactor = 3

// reckonInterval is the time between two looks at what open jobs are expected to
// take, since the estimates change as tasks end.
const reckonInterval = time.Second

// reckonAll renews the objectives of all open jobs.
func (c *Core) reckonAll(now time.Time) {
	if now.Sub(c.reckoned) < reckonInterval {
		return
	}
	c.reckoned = now
	for _, j := range c.open {
		for _, o := range j.occurrences {
			if o.open > 0 {
				c.reckon(o)
			}
		}
	}
}

// reckon sets by when an occurrence should be complete, from its longest chain of
// steps.
func (c *Core) reckon(o *occurrence) {
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, s := range o.steps {
		for _, a := range s.spec.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += c.expectedWork(s)
		longest = max(longest, ends[i])
	}
	queue := &o.job.spec.Queue
	allowed := time.Duration(float64(longest)*max(queue.Stretch, 1)) + queue.Target
	o.objective = o.due().Add(allowed)
}

func (o *occurrence) due() time.Time { return o.job.spec.Due(o.index) }

// expectedWork returns what a task of a step is expected to take at full speed.
func (c *Core) expectedWork(s *step) time.Duration {
	if s.measured > 0 {
		return s.measured
	}
	return c.durations.Estimate(s.occurrence.job.spec.Queue.ID, s.spec.Estimate)
}

// leastMeasured is the progress of a run, in percent, from which on its duration
// is known: whole percents are listed.
const leastMeasured = 20

// soundFactor is how many times as long as the fastest task of a step another may
// take by its own work. What takes longer is on a slow worker.
const soundFactor = 3

// measure notes how long a run takes at full speed from its progress so far. The
// longest of a step counts, as the next step waits for it.
func (c *Core) measure(r *run, percent int) {
	s := r.task.step
	if r.resumed || s.spec.LongRunning || s.spec.Gang || percent < leastMeasured {
		return
	}
	whole := r.worked * 100 / time.Duration(percent)
	if s.fastest == 0 || whole < s.fastest {
		s.fastest = whole
	}
	sound := whole <= soundFactor*s.fastest
	if (sound && whole > s.measured) || s.measured > soundFactor*s.fastest {
		s.measured = whole
		c.reckon(s.occurrence)
	}
}

// learn lets the queue learn from a step that is complete.
func (c *Core) learn(s *step) {
	if s.measured > 0 {
		c.durations.Observe(s.occurrence.job.spec.Queue.ID, s.spec.Estimate, s.measured)
	}
}

// work adds the time at full speed since a run was last looked at.
func (r *run) work(now time.Time) {
	if r.workedAt.IsZero() {
		r.workedAt = r.ordered
	}
	r.worked += now.Sub(r.workedAt) * time.Duration(r.pace) / 100
	r.workedAt = now
}

// hopeless reports whether an occurrence cannot end within the time in which it is
// of use.
func (o *occurrence) hopeless(now time.Time) bool {
	if o.job.lasting {
		return false
	}
	return now.After(o.due().Add(lateFactor * o.objective.Sub(o.due())))
}

// Weights of the slack of an occurrence: how much rather its tasks are slowed than
// those of one without any.
const (
	farSlack            = 8 * time.Second
	farSlackWeight      = 2.0
	hopelessSlackWeight = 4.0
)

// slackWeight returns the weight of an occurrence among those to slow.
func (o *occurrence) slackWeight(now time.Time) float64 {
	if o.hopeless(now) {
		return hopelessSlackWeight
	}
	left := min(max(o.objective.Sub(now), 0), farSlack)
	return 1 + (farSlackWeight-1)*float64(left)/float64(farSlack)
}
