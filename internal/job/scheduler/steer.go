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
	tailHigh   = 0.95 // above: the filling tasks that disturb are slowed
	tailWanted = 0.78 // what slowing aims at
	tailLow    = 0.85 // below: they are sped up again
	minPace    = 15   // percent; a lower pace is 0
	// leastRise is the expected rise of a pressure below which slowing a run is no
	// help.
	leastRise = 0.05
	// paceEffect is the age of the figures beyond which they show the effect of an
	// order: the time until a pace holds and the window of the figures.
	paceEffect = 750 * time.Millisecond
	// harmLimit is how long a tail may be over its target before all filling runs
	// beside it are stopped from working, whatever the model expects of them.
	harmLimit = 1500 * time.Millisecond
)

// steer learns from a report how filling tasks disturb serving ones, and adapts
// their pace to what the tails will be once all orders have had their effect.
func (c *Core) steer(w *worker, now time.Time) {
	w.fill = nil
	c.readTails(w, now)
	var worst *run
	highest := interference.Pressure(math.Inf(-1))
	over, fills := false, false
	for _, r := range w.runs {
		switch {
		case r.phase != phaseRunning:
		case r.task.step.spec.BestEffort:
			fills = true
		case r.serves():
			over = over || r.tail() >= 1
			if p := c.expectedPressure(w, r); p > highest {
				worst, highest = r, p
			}
		}
	}
	if !over {
		w.overSince = time.Time{}
	} else if w.overSince.IsZero() {
		w.overSince = now
	}
	switch {
	case !fills:
	case !w.overSince.IsZero() && now.Sub(w.overSince) > harmLimit:
		c.haltFills(w, now)
	case highest >= interference.PressureOf(tailHigh):
		c.slow(w, worst, highest-interference.PressureOf(tailWanted), now)
	case highest < interference.PressureOf(tailLow) && now.Sub(w.paced) >= paceEffect:
		c.ease(w, now)
	}
}

// haltFills sets the pace of all filling runs of a worker to 0.
func (c *Core) haltFills(w *worker, now time.Time) {
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning {
			c.pace(r, 0, ReasonTailAboveTarget, now)
		}
	}
}

// slow lowers the pace of the filling runs that disturb a serving run most, as
// far as its pressure has to fall.
func (c *Core) slow(w *worker, serving *run, excess interference.Pressure, now time.Time) {
	for excess > 0 {
		var worst *run
		var most, cost interference.Pressure
		for _, r := range w.runs {
			s := r.task.step.spec
			if !s.BestEffort || r.phase != phaseRunning || r.pace == 0 {
				continue
			}
			rise := c.rise(serving.task.step, r.task.step, w.fillShare(r))
			if by := rise * interference.Pressure(r.task.step.occurrence.slackWeight(now)); rise > leastRise && by > cost {
				worst, most, cost = r, rise, by
			}
		}
		if worst == nil {
			return
		}
		before := worst.pace
		want := 0
		if most > excess {
			want = int(float64(before) * float64(1-excess/most))
		}
		if want < minPace {
			want = 0
		}
		c.pace(worst, want, ReasonTailAboveTarget, now)
		excess -= most * interference.Pressure(1-float64(want)/float64(before))
	}
}

// fillShare returns the share of the worker's cores that a filling run uses at
// its pace.
func (w *worker) fillShare(r *run) float64 {
	return w.share(r.task.step.spec.Needs.Cores) * float64(r.pace) / 100
}

// ease raises the pace of slowed runs as far as no serving task on the worker is
// expected to miss its target.
func (c *Core) ease(w *worker, now time.Time) {
	var slowed []*run
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning && r.pace < 100 {
			slowed = append(slowed, r)
		}
	}
	slices.SortFunc(slowed, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.step.occurrence.slackWeight(now), b.task.step.occurrence.slackWeight(now)), cmp.Compare(a.number, b.number))
	})
	for _, r := range slowed {
		s := r.task.step.spec
		allowed := c.allowedShare(w, r.task.step, now) / w.share(max(s.Needs.Cores, 1))
		want := min(100, r.pace+int(100*allowed))
		if want >= r.pace+minPace {
			c.pace(r, want, ReasonTailBelowTarget, now)
		}
	}
}

// pace orders the share of its speed at which a run works.
func (c *Core) pace(r *run, percent int, reason Reason, now time.Time) {
	if percent == r.pace {
		return
	}
	r.work(now)
	r.pace, r.steered = percent, now
	r.worker.paced, r.worker.fill = now, nil
	r.progressed = now
	c.order(Order{
		Kind: OrderPace, Worker: r.worker.id, Incarnation: r.worker.born, Task: r.task.id(), Run: r.number,
		PacePercent: percent, Reason: reason,
	})
}
