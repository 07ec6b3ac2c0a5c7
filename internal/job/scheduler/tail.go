package scheduler

import (
	"math"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

const (
	// tailPlaced is the expected tail, as a share of the target, up to which a
	// filling task is placed beside a serving one.
	tailPlaced = 0.8
	// tailAssumed is that of a serving task without a figure yet.
	tailAssumed = 0.4
	// caution is the number of standard deviations that are added to what the model
	// expects of a pair.
	caution = 0.1
)

// unknownPair is the prior of a filling and a serving image. Most pairs hardly
// disturb each other and a few do heavily, so the deviation is wide.
var unknownPair = interference.Prior{Mean: 1, Deviation: 6}

// imageClass names an image in the model of interference. Steps without one share
// a class.
func imageClass(s *graph.Step) unit.ClassID { return unit.ClassID(s.Image) }

// share returns the part of a worker's cores.
func (w *worker) share(cores unit.Millicores) float64 {
	return float64(cores) / float64(max(w.listing.Capacity.Cores, 1))
}

// serves reports whether a run serves users of its own and its tail is listed.
func (r *run) serves() bool {
	return r.task.step.spec.TailTarget > 0 && r.percent >= 100 && r.figure > 0
}

// tail returns the listed tail of a serving run as a share of its target.
func (r *run) tail() float64 {
	return float64(time.Duration(r.figure)*time.Millisecond) / float64(r.task.step.spec.TailTarget)
}

// readTails lets the model learn from the listed tails of a worker.
func (c *Core) readTails(w *worker, now time.Time) {
	shares := map[unit.ClassID]float64{}
	for _, r := range w.runs {
		if s := r.task.step.spec; s.BestEffort && r.phase == phaseRunning {
			shares[imageClass(s)] += w.share(unit.Millicores(r.figure))
		}
	}
	for _, r := range w.runs {
		if r.phase == phaseRunning && r.serves() {
			c.model.ObserveTail(&r.own, interference.TailSample{
				Time: now, Class: imageClass(r.task.step.spec),
				Pressure: interference.PressureOf(r.tail()), Shares: shares,
			})
		}
	}
}

// pair is a serving and a filling image.
type pair struct{ serving, filling *image }

// pairsLife is how long what the model says of a pair is used without asking it.
const pairsLife = 300 * time.Millisecond

// rise returns the expected rise of a serving step's pressure by filling tasks of
// an image on a share of the worker's cores.
func (c *Core) rise(serving, filling *step, share float64) interference.Pressure {
	p := pair{serving.image, filling.image}
	perShare, ok := c.pairs[p]
	if !ok {
		e := c.model.AddedPressure(imageClass(serving.spec), imageClass(filling.spec))
		perShare = e.Mean + caution*e.Deviation
		c.pairs[p] = perShare
	}
	return interference.Pressure(perShare * share)
}

// expectedPressure returns the pressure of a serving run once all starts and paces
// that were ordered have their effect.
func (c *Core) expectedPressure(w *worker, serving *run) interference.Pressure {
	pressure, known := serving.own.Estimated()
	if !known {
		pressure = interference.PressureOf(tailAssumed)
	}
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase != phaseStopping {
			pressure += c.rise(serving.task.step, r.task.step, w.fillShare(r))
		}
	}
	return pressure
}

// fillView is what placing filling tasks needs to know of a worker.
type fillView struct {
	until     time.Time // the view counts before
	available unit.Millicores
	filling   unit.Millicores // that running filling tasks use at their pace
	serving   bool
	rooms     []tailRoom
	allowed   map[*image]float64
}

// tailRoom is by how much the pressure of a serving run may rise.
type tailRoom struct {
	step *step
	room interference.Pressure
}

// fillViewLife bounds the age of a view between two reports.
const fillViewLife = 100 * time.Millisecond

// fills returns the view of a worker.
func (c *Core) fills(w *worker, now time.Time) *fillView {
	if w.fill != nil && now.Before(w.fill.until) {
		return w.fill
	}
	v := &fillView{until: now.Add(fillViewLife), available: w.listing.Capacity.Cores, allowed: map[*image]float64{}}
	for _, r := range w.runs {
		o := r.task.step.spec
		switch {
		case o.BestEffort:
			v.filling += o.Needs.Cores * unit.Millicores(r.pace) / 100
		case o.LongRunning:
			v.serving = true
			v.available -= o.Needs.Cores / servingShare
		default:
			v.available -= o.Needs.Cores
		}
		if o.TailTarget > 0 {
			room := interference.PressureOf(tailPlaced) - c.expectedPressure(w, r)
			v.rooms = append(v.rooms, tailRoom{r.task.step, room})
		}
	}
	w.fill = v
	return v
}

// servingShare is the inverse of the share of its cores that a serving task uses
// on average.
const servingShare = 2

// allowedShare returns the further share of a worker's cores that tasks of a
// filling step may use until a serving task is expected to pass its bound.
func (c *Core) allowedShare(w *worker, s *step, now time.Time) float64 {
	v := c.fills(w, now)
	if allowed, ok := v.allowed[s.image]; ok {
		return allowed
	}
	allowed := 1.0
	for _, o := range v.rooms {
		if o.room <= 0 {
			allowed = 0
			break
		}
		if perShare := c.rise(o.step, s, 1); perShare > 0 {
			allowed = min(allowed, float64(o.room/perShare))
		}
	}
	v.allowed[s.image] = allowed
	return allowed
}

// headroom returns by how much the pressures on a worker would stay below their
// bound with one more task of a filling step at full speed.
func (c *Core) headroom(w *worker, s *step, now time.Time) interference.Pressure {
	least := interference.Pressure(math.Inf(1))
	share := w.share(s.spec.Needs.Cores)
	for _, o := range c.fills(w, now).rooms {
		least = min(least, o.room-c.rise(o.step, s, share))
	}
	return least
}
