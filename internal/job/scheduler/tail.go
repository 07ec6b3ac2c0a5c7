package scheduler

import (
	"math"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

const (
	// maxPlacementTail is the expected tail, as a share of the target, up to which a
	// filling task is placed beside a serving one.
	maxPlacementTail = 0.8
	// assumedTail is that of a serving task without a figure yet.
	assumedTail = 0.4
	// deviationsAdded is the number of standard deviations that are added to what the model
	// expects of a pair.
	deviationsAdded = 0.1
)

// unknownPairPrior is the prior of a filling and a serving image. Most pairs hardly
// disturb each other and a few do heavily, so the deviation is wide.
var unknownPairPrior = interference.Prior{Mean: 1, Deviation: 6}

// imageClass names an image in the model of interference. Steps without one share
// a class.
func imageClass(s *graph.Step) unit.ClassID { return unit.ClassID(s.Image) }

// shareOf returns the part of a worker's cores.
func (w *worker) shareOf(cores unit.Millicores) float64 {
	return float64(cores) / float64(max(w.listing.Capacity.Cores, 1))
}

// reportsTail reports whether a run reportsTail users of its own and its tail is listed.
func (r *run) reportsTail() bool {
	return r.task.step.spec.TailTarget > 0 && r.progressPercent >= 100 && r.metric > 0
}

// tail returns the listed tail of a serving run as a share of its target.
func (r *run) tail() float64 {
	return float64(time.Duration(r.metric)*time.Millisecond) / float64(r.task.step.spec.TailTarget)
}

// learnFromTails lets the model learn from the listed tails of a worker.
func (c *Core) learnFromTails(w *worker, now time.Time) {
	shares := map[unit.ClassID]float64{}
	for _, r := range w.runs {
		if s := r.task.step.spec; s.BestEffort && r.phase == phaseRunning {
			shares[imageClass(s)] += w.shareOf(unit.Millicores(r.metric))
		}
	}
	for _, r := range w.runs {
		if r.phase == phaseRunning && r.reportsTail() {
			c.interference.ObserveTail(&r.basePressure, interference.TailSample{
				Time: now, Class: imageClass(r.task.step.spec),
				Pressure: interference.PressureOf(r.tail()), Shares: shares,
			})
		}
	}
}

// imagePair is a serving and a filling image.
type imagePair struct{ serving, bestEffort *image }

// riseCacheTTL is how long what the model says of a pair is used without asking it.
const riseCacheTTL = 300 * time.Millisecond

// addedPressure returns the expected addedPressure of a serving step's pressure by filling tasks of
// an image on a share of the worker's cores.
func (c *Core) addedPressure(serving, filling *step, share float64) interference.Pressure {
	p := imagePair{serving.image, filling.image}
	perShare, ok := c.riseCache[p]
	if !ok {
		e := c.interference.AddedPressure(imageClass(serving.spec), imageClass(filling.spec))
		perShare = e.Mean + deviationsAdded*e.Deviation
		c.riseCache[p] = perShare
	}
	return interference.Pressure(perShare * share)
}

// expectedPressure returns the pressure of a serving run once all starts and paces
// that were ordered have their effect.
func (c *Core) expectedPressure(w *worker, serving *run) interference.Pressure {
	pressure, known := serving.basePressure.Estimated()
	if !known {
		pressure = interference.PressureOf(assumedTail)
	}
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase != phaseStopping {
			pressure += c.addedPressure(serving.task.step, r.task.step, w.usedShare(r))
		}
	}
	return pressure
}

// bestEffortView is what placing filling tasks needs to know of a worker.
type bestEffortView struct {
	validUntil    time.Time // the view counts before
	available     unit.Millicores
	used          unit.Millicores // that running filling tasks use at their pace
	serving       bool
	headrooms     []servingHeadroom
	allowedShares map[*image]float64
}

// servingHeadroom is by how much the pressure of a serving run may rise.
type servingHeadroom struct {
	step     *step
	headroom interference.Pressure
}

// bestEffortViewTTL bounds the age of a view between two reports.
const bestEffortViewTTL = 100 * time.Millisecond

// bestEffortViewOf returns the view of a worker.
func (c *Core) bestEffortViewOf(w *worker, now time.Time) *bestEffortView {
	if w.bestEffort != nil && now.Before(w.bestEffort.validUntil) {
		return w.bestEffort
	}
	v := &bestEffortView{validUntil: now.Add(bestEffortViewTTL), available: w.listing.Capacity.Cores, allowedShares: map[*image]float64{}}
	for _, r := range w.runs {
		o := r.task.step.spec
		switch {
		case o.BestEffort:
			v.used += o.Needs.Cores * unit.Millicores(r.pacePercent) / 100
		case o.LongRunning:
			v.serving = true
			v.available -= o.Needs.Cores / servingShareDivisor
		default:
			v.available -= o.Needs.Cores
		}
		if o.TailTarget > 0 {
			room := interference.PressureOf(maxPlacementTail) - c.expectedPressure(w, r)
			v.headrooms = append(v.headrooms, servingHeadroom{r.task.step, room})
		}
	}
	w.bestEffort = v
	return v
}

// servingShareDivisor is the inverse of the share of its cores that a serving task uses
// on average.
const servingShareDivisor = 2

// allowedShare returns the further share of a worker's cores that tasks of a
// filling step may use until a serving task is expected to pass its bound.
func (c *Core) allowedShare(w *worker, s *step, now time.Time) float64 {
	v := c.bestEffortViewOf(w, now)
	if allowed, ok := v.allowedShares[s.image]; ok {
		return allowed
	}
	allowed := 1.0
	for _, o := range v.headrooms {
		if o.headroom <= 0 {
			allowed = 0
			break
		}
		if perShare := c.addedPressure(o.step, s, 1); perShare > 0 {
			allowed = min(allowed, float64(o.headroom/perShare))
		}
	}
	v.allowedShares[s.image] = allowed
	return allowed
}

// remainingHeadroom returns by how much the pressures on a worker would stay below their
// bound with one more task of a filling step at full speed.
func (c *Core) remainingHeadroom(w *worker, s *step, now time.Time) interference.Pressure {
	least := interference.Pressure(math.Inf(1))
	share := w.shareOf(s.spec.Needs.Cores)
	for _, o := range c.bestEffortViewOf(w, now).headrooms {
		least = min(least, o.headroom-c.addedPressure(o.step, s, share))
	}
	return least
}
