package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// Parameters of the control of best-effort tasks beside serving tasks. Tail latencies
// are shares of the serving task's target.
const (
	slowAboveTail    = 0.95 // expected tail from which on best-effort tasks that add to it are slowed
	slowToTail       = 0.78 // expected tail that slowing aims at
	restoreBelowTail = 0.85 // expected tail below which slowed tasks are sped up again
	minPace          = 15   // percent; slowing below it sets 0
	// minHelpfulPressure is the pressure that a run must be expected to add for slowing it
	// to be of help.
	minHelpfulPressure = 0.05
	// paceEffectDelay is the time after a pace order from which on reported metrics
	// show its effect: the time until the pace takes effect plus the window of the
	// metrics.
	paceEffectDelay = 750 * time.Millisecond
	// maxTimeOverTarget is how long a tail may exceed its target before all best-effort
	// runs on the worker are paused, whatever the interference model expects of them. Of
	// the reports around that time the nearest one decides.
	maxTimeOverTarget = 1500 * time.Millisecond
)

// adjustPaces updates the interference model from the last report of a worker. It then
// slows or restores best-effort runs by the tails that are expected once all earlier
// orders have taken effect.
func (c *Core) adjustPaces(w *worker, now time.Time) {
	w.bestEffort.invalidate()
	c.learnFromTails(w, now)
	var worstServing *run
	highestPressure := interference.Pressure(math.Inf(-1))
	overTarget, hasBestEffort := false, false
	for _, r := range w.runList {
		switch {
		case r.phase != phaseRunning:
		case r.task.step.spec.BestEffort:
			hasBestEffort = true
		case r.reportsTail():
			overTarget = overTarget || r.tail() >= 1
			if p := c.expectedPressure(w, r); p > highestPressure {
				worstServing, highestPressure = r, p
			}
		}
	}
	interval := now.Sub(w.tailsReadAt)
	w.tailsReadAt = now
	if !overTarget {
		w.overTargetSince = time.Time{}
	} else if w.overTargetSince.IsZero() {
		w.overTargetSince = now
	}
	switch {
	case !hasBestEffort:
	case overTarget && now.Sub(w.overTargetSince) > maxTimeOverTarget-interval/2 && now.After(w.overTargetSince):
		c.pauseBestEffort(w, now)
	case highestPressure >= interference.PressureOf(slowAboveTail):
		c.slowBestEffort(w, worstServing, highestPressure-interference.PressureOf(slowToTail), now)
	case highestPressure < interference.PressureOf(restoreBelowTail) && now.Sub(w.paceChangedAt) >= paceEffectDelay:
		c.restorePaces(w, now)
	}
}

// pauseBestEffort sets the pace of all best-effort runs on a worker to 0.
func (c *Core) pauseBestEffort(w *worker, now time.Time) {
	for _, r := range w.runList {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning {
			c.setPace(r, 0, ReasonTailAboveTarget, now)
		}
	}
}

// slowBestEffort lowers the pace of best-effort runs on a worker until the pressure of
// a serving run is expected to fall by excess. It begins with the run that adds most
// pressure, weighted by the slack of its occurrence.
func (c *Core) slowBestEffort(w *worker, serving *run, excess interference.Pressure, now time.Time) {
	for excess > 0 {
		var victim *run
		var victimAdded, highestWeight interference.Pressure
		for _, r := range w.runList {
			s := r.task.step.spec
			if !s.BestEffort || r.phase != phaseRunning || r.pacePercent == 0 {
				continue
			}
			added := c.addedPressure(serving.task.step, r.task.step, w.usedShare(r))
			if weight := added * interference.Pressure(r.slowingWeight(now)); added > minHelpfulPressure && weight > highestWeight {
				victim, victimAdded, highestWeight = r, added, weight
			}
		}
		if victim == nil {
			return
		}
		oldPace := victim.pacePercent
		newPace := 0
		if victimAdded > excess {
			newPace = int(float64(oldPace) * float64(1-excess/victimAdded))
		}
		if newPace < minPace {
			newPace = 0
		}
		c.setPace(victim, newPace, ReasonTailAboveTarget, now)
		excess -= victimAdded * interference.Pressure(1-float64(newPace)/float64(oldPace))
	}
}

// delayingPace is the pace, in percent, below which a run delays its step notably.
const delayingPace = 50

// delayedStepWeight is how much more readily a run is slowed if another run of its step is
// slowed already: the step waits for its last task, so that this delays no further job. Spread
// evenly, a quarter of all runs slowed delays nearly every step of 20 tasks.
const delayedStepWeight = 3.0

// slowingWeight returns how readily a run is slowed, by what that costs its job.
func (r *run) slowingWeight(now time.Time) float64 {
	weight := r.task.step.occurrence.slackWeight(now)
	others := r.task.step.delayedRuns
	if r.pacePercent < delayingPace {
		others--
	}
	if others > 0 {
		weight *= delayedStepWeight
	}
	return weight
}

// recordPace sets the pace of a run.
func (r *run) recordPace(percent int) {
	r.task.step.delayedRuns += delays(percent) - delays(r.pacePercent)
	r.pacePercent = percent
}

// delays returns 1 for a pace that delays the step of a run, and otherwise 0.
func delays(percent int) int {
	if percent < delayingPace {
		return 1
	}
	return 0
}

// usedShare returns the share of the worker's cores that a best-effort run uses at
// its current pace.
func (w *worker) usedShare(r *run) float64 {
	return w.shareOf(r.task.step.spec.Needs.Cores) * float64(r.pacePercent) / 100
}

// restorePaces raises the pace of slowed runs on a worker, those with the least slack
// first, as far as the headroom of all serving tasks there allows.
func (c *Core) restorePaces(w *worker, now time.Time) {
	var slowed []*run
	for _, r := range w.runList {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning && r.pacePercent < 100 {
			slowed = append(slowed, r)
		}
	}
	slices.SortFunc(slowed, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.step.occurrence.slackWeight(now), b.task.step.occurrence.slackWeight(now)), cmp.Compare(a.number, b.number))
	})
	for _, r := range slowed {
		s := r.task.step.spec
		allowed := c.allowedShare(w, r.task.step, now) / w.shareOf(max(s.Needs.Cores, 1))
		newPace := min(100, r.pacePercent+int(100*allowed))
		if newPace >= r.pacePercent+minPace {
			c.setPace(r, newPace, ReasonTailBelowTarget, now)
		}
	}
}

// setPace orders a run to work at a share of its full speed, unless it already does.
func (c *Core) setPace(r *run, percent int, reason Reason, now time.Time) {
	if percent == r.pacePercent {
		return
	}
	r.accrueWork(now)
	r.recordPace(percent)
	r.paceSetAt = now
	r.worker.paceChangedAt = now
	r.worker.bestEffort.invalidate()
	r.progressedAt = now
	r.repeatOrderAt = time.Time{}
	c.orderPace(r, reason)
}
