package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

const (
	// maxPlacementTail is the expected tail latency, as a share of the target, up to
	// which a best-effort task is placed beside a serving one.
	maxPlacementTail = 0.8
	// assumedTail is the share of the target assumed for a serving task that has not
	// reported its tail latency yet.
	assumedTail = 0.4
	// deviationsAdded is the number of standard deviations added to the pressure that
	// the model expects of a pair of images.
	deviationsAdded = 0.1
)

// unknownPairPrior is the prior for a pair of a serving and a best-effort image. Most
// pairs hardly disturb each other and a few do heavily, so the deviation is wide.
var unknownPairPrior = interference.Prior{Mean: 1, Deviation: 6}

// imageClass returns the class of a step in the interference model: its image. Steps
// without an image share a class.
func imageClass(s *graph.Step) unit.ClassID { return unit.ClassID(s.Image) }

// shareOf returns the given cores as a share of the worker's cores.
func (w *worker) shareOf(cores unit.Millicores) float64 {
	return float64(cores) / float64(max(w.listing.Capacity.Cores, 1))
}

// reportsTail reports whether a run belongs to a serving task that is working and has
// reported its tail latency.
func (r *run) reportsTail() bool {
	return r.task.step.spec.TailTarget > 0 && r.progressPercent >= 100 && r.metric > 0
}

// tail returns the reported tail latency of a serving run as a share of its target.
func (r *run) tail() float64 {
	return float64(time.Duration(r.metric)*time.Millisecond) / float64(r.task.step.spec.TailTarget)
}

// learnFromTails updates the interference model with the reported tails of a worker's
// serving runs and the cores that best-effort images used beside them.
func (c *Core) learnFromTails(w *worker, now time.Time) {
	if !slices.ContainsFunc(w.runList, func(r *run) bool { return r.phase == phaseRunning && r.reportsTail() }) {
		return
	}
	shares := c.classShares
	clear(shares)
	for _, r := range w.runList {
		if s := r.task.step.spec; s.BestEffort && r.phase == phaseRunning {
			shares[imageClass(s)] += w.shareOf(unit.Millicores(r.metric))
		}
	}
	for _, r := range w.runList {
		if r.phase == phaseRunning && r.reportsTail() {
			c.interference.ObserveTail(&r.basePressure, interference.TailSample{
				Time: now, Class: imageClass(r.task.step.spec),
				Pressure: interference.PressureOf(r.tail()), Shares: shares,
			})
		}
	}
}

// imageShares holds a number for each image that has an index.
type imageShares []float64

// get returns the number of an image, or false if there is none.
func (s imageShares) get(i *image) (float64, bool) {
	if i.index == noIndex || i.index >= len(s) {
		return 0, false
	}
	return s[i.index], !math.IsNaN(s[i.index])
}

// set sets the number of an image, unless it has no index.
func (s *imageShares) set(i *image, number float64) {
	if i.index == noIndex {
		return
	}
	for len(*s) <= i.index {
		*s = append(*s, math.NaN())
	}
	(*s)[i.index] = number
}

// addedPressuresTTL is how long the model's answers for pairs of images are cached.
const addedPressuresTTL = 300 * time.Millisecond

// addedPressure returns the pressure that tasks of a best-effort step are expected to
// add to a serving step when they use the given share of the worker's cores.
func (c *Core) addedPressure(serving, bestEffort *step, share float64) interference.Pressure {
	perShare, ok := serving.image.addedPressures.get(bestEffort.image)
	if !ok {
		estimate := c.interference.AddedPressure(imageClass(serving.spec), imageClass(bestEffort.spec))
		perShare = estimate.Mean + deviationsAdded*estimate.Deviation
		if serving.image.index != noIndex { // the others are not cleared
			serving.image.addedPressures.set(bestEffort.image, perShare)
		}
	}
	return interference.Pressure(perShare * share)
}

// expectedPressure returns the expected pressure of a serving run once all starts,
// stops and paces ordered so far have taken effect.
func (c *Core) expectedPressure(w *worker, serving *run) interference.Pressure {
	pressure, known := serving.basePressure.Estimated()
	if !known {
		pressure = interference.PressureOf(assumedTail)
	}
	for _, r := range w.runList {
		if r.task.step.spec.BestEffort && r.phase != phaseStopping {
			pressure += c.addedPressure(serving.task.step, r.task.step, w.usedShare(r))
		}
	}
	return pressure
}

// bestEffortView is a cached summary of a worker for the placement of best-effort
// tasks.
type bestEffortView struct {
	validUntil    time.Time
	available     unit.Millicores
	used          unit.Millicores // used by best-effort runs at their pace
	serving       bool
	headrooms     []servingHeadroom
	allowedShares imageShares // by best-effort image
}

// invalidate makes the next use of the view compute it anew.
func (v *bestEffortView) invalidate() { v.validUntil = time.Time{} }

// servingHeadroom is the pressure by which a serving run stays below the bound for
// placement.
type servingHeadroom struct {
	step     *step
	headroom interference.Pressure
}

// bestEffortViewTTL bounds the age of a cached view between two reports.
const bestEffortViewTTL = 100 * time.Millisecond

// bestEffortViewOf returns the view of a worker, from the cache if it is valid.
func (c *Core) bestEffortViewOf(w *worker, now time.Time) *bestEffortView {
	view := &w.bestEffort
	if now.Before(view.validUntil) {
		return view
	}
	*view = bestEffortView{
		validUntil: now.Add(bestEffortViewTTL), available: w.listing.Capacity.Cores,
		headrooms: view.headrooms[:0], allowedShares: view.allowedShares[:0],
	}
	for _, r := range w.runList {
		spec := r.task.step.spec
		switch {
		case spec.BestEffort:
			view.used += spec.Needs.Cores * unit.Millicores(r.pacePercent) / 100
		case spec.LongRunning:
			view.serving = true
			view.available -= spec.Needs.Cores / servingShareDivisor
		default:
			view.available -= spec.Needs.Cores
		}
		if spec.TailTarget > 0 {
			headroom := interference.PressureOf(maxPlacementTail) - c.expectedPressure(w, r)
			view.headrooms = append(view.headrooms, servingHeadroom{r.task.step, headroom})
		}
	}
	return view
}

// servingShareDivisor is the inverse of the share of its reserved cores that a
// long-running task uses on average.
const servingShareDivisor = 2

// allowedShare returns the additional share of a worker's cores that tasks of a
// best-effort step may use before a serving run is expected to have no headroom left.
func (c *Core) allowedShare(w *worker, s *step, now time.Time) float64 {
	view := c.bestEffortViewOf(w, now)
	if allowed, ok := view.allowedShares.get(s.image); ok {
		return allowed
	}
	allowed := 1.0
	for _, serving := range view.headrooms {
		if serving.headroom <= 0 {
			allowed = 0
			break
		}
		if perShare := c.addedPressure(serving.step, s, 1); perShare > 0 {
			allowed = min(allowed, float64(serving.headroom/perShare))
		}
	}
	view.allowedShares.set(s.image, allowed)
	return allowed
}

// remainingHeadroom returns the least headroom of a worker's serving runs with one
// more task of a best-effort step at full speed. It is infinite without serving runs.
func (c *Core) remainingHeadroom(w *worker, s *step, now time.Time) interference.Pressure {
	least := interference.Pressure(math.Inf(1))
	share := w.shareOf(s.spec.Needs.Cores)
	for _, serving := range c.bestEffortViewOf(w, now).headrooms {
		least = min(least, serving.headroom-c.addedPressure(serving.step, s, share))
	}
	return least
}
