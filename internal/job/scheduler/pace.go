package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// Control of the tasks that fill beside serving tasks. The tails are shares of the
// serving task's target.
const (
	slowAboveTail    = 0.95 // above: the filling tasks that disturb are slowed
	slowToTail       = 0.78 // what slowing aims at
	restoreBelowTail = 0.85 // below: they are sped up again
	minPace          = 15   // percent; a lower pace is 0
	// minHelpfulRise is the expected rise of a pressure below which slowing a run is no
	// help.
	minHelpfulRise = 0.05
	// paceEffectDelay is the age of the figures beyond which they show the effect of an
	// order: the time until a pace holds and the window of the figures.
	paceEffectDelay = 750 * time.Millisecond
	// maxTimeOverTarget is how long a tail may be over its target before all filling runs
	// beside it are stopped from working, whatever the model expects of them.
	maxTimeOverTarget = 1500 * time.Millisecond
)

// adjustPaces learns from a report how filling tasks disturb serving ones, and adapts
// their pace to what the tails will be once all orders have had their effect.
func (c *Core) adjustPaces(w *worker, now time.Time) {
	w.bestEffort = nil
	c.learnFromTails(w, now)
	var worst *run
	highest := interference.Pressure(math.Inf(-1))
	over, fills := false, false
	for _, r := range w.runs {
		switch {
		case r.phase != phaseRunning:
		case r.task.step.spec.BestEffort:
			fills = true
		case r.reportsTail():
			over = over || r.tail() >= 1
			if p := c.expectedPressure(w, r); p > highest {
				worst, highest = r, p
			}
		}
	}
	if !over {
		w.overTargetSince = time.Time{}
	} else if w.overTargetSince.IsZero() {
		w.overTargetSince = now
	}
	switch {
	case !fills:
	case !w.overTargetSince.IsZero() && now.Sub(w.overTargetSince) > maxTimeOverTarget:
		c.pauseBestEffort(w, now)
	case highest >= interference.PressureOf(slowAboveTail):
		c.slowBestEffort(w, worst, highest-interference.PressureOf(slowToTail), now)
	case highest < interference.PressureOf(restoreBelowTail) && now.Sub(w.paceChangedAt) >= paceEffectDelay:
		c.restorePaces(w, now)
	}
}

// pauseBestEffort sets the pace of all filling runs of a worker to 0.
func (c *Core) pauseBestEffort(w *worker, now time.Time) {
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning {
			c.setPace(r, 0, ReasonTailAboveTarget, now)
		}
	}
}

// slowBestEffort lowers the pace of the filling runs that disturb a serving run most, as
// far as its pressure has to fall.
func (c *Core) slowBestEffort(w *worker, serving *run, excess interference.Pressure, now time.Time) {
	for excess > 0 {
		var worst *run
		var most, cost interference.Pressure
		for _, r := range w.runs {
			s := r.task.step.spec
			if !s.BestEffort || r.phase != phaseRunning || r.pacePercent == 0 {
				continue
			}
			rise := c.addedPressure(serving.task.step, r.task.step, w.usedShare(r))
			if by := rise * interference.Pressure(r.task.step.occurrence.slackWeight(now)); rise > minHelpfulRise && by > cost {
				worst, most, cost = r, rise, by
			}
		}
		if worst == nil {
			return
		}
		before := worst.pacePercent
		want := 0
		if most > excess {
			want = int(float64(before) * float64(1-excess/most))
		}
		if want < minPace {
			want = 0
		}
		c.setPace(worst, want, ReasonTailAboveTarget, now)
		excess -= most * interference.Pressure(1-float64(want)/float64(before))
	}
}

// usedShare returns the share of the worker's cores that a filling run uses at
// its pace.
func (w *worker) usedShare(r *run) float64 {
	return w.shareOf(r.task.step.spec.Needs.Cores) * float64(r.pacePercent) / 100
}

// restorePaces raises the pace of slowed runs as far as no serving task on the worker is
// expected to miss its target.
func (c *Core) restorePaces(w *worker, now time.Time) {
	var slowed []*run
	for _, r := range w.runs {
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
		want := min(100, r.pacePercent+int(100*allowed))
		if want >= r.pacePercent+minPace {
			c.setPace(r, want, ReasonTailBelowTarget, now)
		}
	}
}

// setPace orders the share of its speed at which a run works.
func (c *Core) setPace(r *run, percent int, reason Reason, now time.Time) {
	if percent == r.pacePercent {
		return
	}
	r.accrueWork(now)
	r.pacePercent, r.paceSetAt = percent, now
	r.worker.paceChangedAt, r.worker.bestEffort = now, nil
	r.progressedAt = now
	c.issueOrder(Order{
		Kind: OrderPace, Worker: r.worker.id, Incarnation: r.worker.incarnation, Task: r.task.id(), Run: r.number,
		PacePercent: percent, Reason: reason,
	})
}
