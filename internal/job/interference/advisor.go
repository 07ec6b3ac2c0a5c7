package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// placementDeviations is the number of standard deviations that are added to
	// the predicted rise of a new task.
	placementDeviations = 1.0
	// usableHeadroomRatio is the part of the headroom below the target that placement
	// may use. The rest is kept for bursts, which the model cannot predict.
	usableHeadroomRatio = 0.7
	// minHeadroom is assumed even for a class that misses its target without any
	// batch work, since refusing all batch work would not help the class.
	minHeadroom = 0.1

	// initialTailRatio is the assumed ratio of the tail latency to the median
	// before the first report. It has the weight of initialTailReports reports.
	initialTailRatio   = 2.5
	initialTailReports = 10
	// minTailRatioWeight is the least weight of a new report in the average ratio.
	minTailRatioWeight = 0.01
	// minTailRequests is the least number of requests in a window for which the
	// slowest one is close to the 99th percentile.
	minTailRequests = 20
	// assumedBand is the load band assumed for a worker that has not reported yet.
	assumedBand = Band(1)
)

// Advisor evaluates scheduling decisions with the model: the harm of adding a task
// to a worker, and the relief of removing one. Create it with NewAdvisor.
type Advisor struct {
	Model        *Model
	targets      map[unit.ClassID]spec.Target
	tailRatios   map[unit.ClassID]tailRatio
	standing     map[unit.ClassID]bool
	workers      map[unit.InstanceID]*worker
	workerCounts map[unit.ClassID]int // number of workers that run each batch class
}

// tailRatio is the moving average of the ratio of the tail latency to the median,
// and the number of reports behind it.
type tailRatio struct {
	mean, reports float64
}

// worker is the capacity and the load of one worker.
type worker struct {
	capacity unit.Millicores
	serves   []unit.ClassID
	bands    map[unit.ClassID]Band
	loads    []batchLoad // a slice, so that the order of summation is fixed
}

// batchLoad is the number of tasks of one batch class on a worker, and the cores
// that they may use.
type batchLoad struct {
	class unit.ClassID
	cores unit.Millicores
	tasks int
}

// NewAdvisor returns an advisor with an untrained model.
func NewAdvisor() *Advisor {
	return &Advisor{
		Model:        New(),
		targets:      map[unit.ClassID]spec.Target{},
		tailRatios:   map[unit.ClassID]tailRatio{},
		standing:     map[unit.ClassID]bool{},
		workers:      map[unit.InstanceID]*worker{},
		workerCounts: map[unit.ClassID]int{},
	}
}

// SetTarget sets the target of a class of requests, or registers a standing class.
// A standing class is never refused a worker, since its target is only to keep its
// replicas running.
func (a *Advisor) SetTarget(class unit.ClassID, kind spec.Kind, t spec.Target) {
	switch kind {
	case spec.KindRequest:
		a.targets[class] = t
	case spec.KindStanding:
		a.standing[class] = true
	case spec.KindBatch:
	}
}

// UpsertWorker adds a worker, or updates its cores and the classes of requests that
// it serves.
func (a *Advisor) UpsertWorker(id unit.InstanceID, cores unit.Millicores, serves []unit.ClassID) {
	w, ok := a.workers[id]
	if !ok {
		w = &worker{bands: map[unit.ClassID]Band{}}
		a.workers[id] = w
	}
	w.capacity, w.serves = cores, serves
}

// RemoveWorker removes a worker and its load.
func (a *Advisor) RemoveWorker(id unit.InstanceID) {
	if w, ok := a.workers[id]; ok {
		for _, l := range w.loads {
			a.workerCounts[l.class]--
		}
		delete(a.workers, id)
	}
}

// AdjustLoad updates the load of a worker after tasks of a batch class started
// (positive tasks) or ended (negative), by the change of the cores that they may
// use. A change of a throttle passes no tasks, only cores.
func (a *Advisor) AdjustLoad(id unit.InstanceID, class unit.ClassID, tasks int, cores unit.Millicores) {
	w, ok := a.workers[id]
	if !ok {
		return
	}
	i := w.loadIndex(class)
	if i < 0 {
		i = len(w.loads)
		w.loads = append(w.loads, batchLoad{class: class})
		a.workerCounts[class]++
	}
	w.loads[i].tasks += tasks
	w.loads[i].cores += cores
	if w.loads[i].tasks <= 0 {
		w.loads = slices.Delete(w.loads, i, i+1)
		a.workerCounts[class]--
	}
}

// Observe updates the model from a report of a worker: a sample, and the tail
// latency of the same window at the percentile of the target.
func (a *Advisor) Observe(id unit.InstanceID, s Sample, tailLatency time.Duration) {
	a.Model.Observe(s)
	if w, ok := a.workers[id]; ok {
		w.bands[s.Class] = s.Band
	}
	if s.Requests >= minTailRequests && s.Latency > 0 {
		ratio := min(max(tailLatency.Seconds()/s.Latency.Seconds(), 1), 10)
		t, ok := a.tailRatios[s.Class]
		if !ok {
			t = tailRatio{mean: initialTailRatio, reports: initialTailReports}
		}
		t.reports++
		t.mean += max(minTailRatioWeight, 1/t.reports) * (ratio - t.mean)
		a.tailRatios[s.Class] = t
	}
}

// Harm returns the part of the usable headroom of the requests on the worker that
// is expected to be used once the task runs there; the highest of all classes
// counts. It is infinite if a confident estimate exceeds the usable headroom. An
// uncertain estimate makes it infinite if its lower bound exceeds the headroom, or
// if enough workers run the batch class already. It is always finite for a standing
// class.
func (a *Advisor) Harm(id unit.InstanceID, class unit.ClassID, size unit.Resources) float64 {
	w, ok := a.workers[id]
	if !ok || w.capacity <= 0 {
		return 0
	}
	highest := 0.0
	for _, requests := range w.serves {
		band := w.band(requests)
		added := a.Model.Predict(requests, band, class, share(size.Cores, w.capacity))
		total, running := size.Cores, a.workerCounts[class]
		if i := w.loadIndex(class); i >= 0 {
			total += w.loads[i].cores
			running--
		}
		otherRise, usableHeadroom := a.predictedRise(w, requests, band), max(usableHeadroomRatio*a.headroom(requests, band), minHeadroom)
		cautiousRise := otherRise + added.Mean + placementDeviations*added.Deviation
		if !a.standing[class] {
			switch confident := a.Model.Confident(requests, band, class, share(total, w.capacity)); {
			case !confident && !a.Model.MayTry(running, len(a.workers)):
				return math.Inf(1)
			case !confident && otherRise+added.Mean-placementDeviations*added.Deviation > usableHeadroom:
				// Running the class on a few workers shows whether it does less
				// harm than predicted.
				return math.Inf(1)
			case confident && cautiousRise > usableHeadroom:
				return math.Inf(1)
			}
		}
		highest = max(highest, cautiousRise/usableHeadroom)
	}
	return highest
}

// Relief returns the expected decrease of the logarithm of the latency of a class
// of requests when the batch class uses that many cores less.
func (a *Advisor) Relief(requests unit.ClassID, id unit.InstanceID, batch unit.ClassID, cores unit.Millicores) float64 {
	w, ok := a.workers[id]
	if !ok || w.capacity <= 0 {
		return 0
	}
	return a.Model.Predict(requests, w.band(requests), batch, share(cores, w.capacity)).Mean
}

// predictedRise returns the predicted rise of the logarithm of the latency caused
// by all batch work on the worker.
func (a *Advisor) predictedRise(w *worker, requests unit.ClassID, band Band) float64 {
	sum := 0.0
	for _, l := range w.loads {
		sum += a.Model.Predict(requests, band, l.class, share(l.cores, w.capacity)).Mean
	}
	return sum
}

// headroom returns by how much the logarithm of the latency may rise until the tail
// latency reaches the bound of the target. It is infinite without a bound, or
// before the first report.
func (a *Advisor) headroom(requests unit.ClassID, band Band) float64 {
	base, bound := a.Model.Baseline(requests, band), a.targets[requests].Bound.Std()
	if base <= 0 || bound <= 0 {
		return math.Inf(1)
	}
	return math.Log(bound.Seconds() / (base.Seconds() * a.expectedTailRatio(requests)))
}

// expectedTailRatio returns the average ratio of the tail latency to the median of a
// class of requests.
func (a *Advisor) expectedTailRatio(requests unit.ClassID) float64 {
	if t, ok := a.tailRatios[requests]; ok {
		return t.mean
	}
	return initialTailRatio
}

// loadIndex returns the index of a batch class in the loads, or -1.
func (w *worker) loadIndex(class unit.ClassID) int {
	return slices.IndexFunc(w.loads, func(l batchLoad) bool { return l.class == class })
}

// band returns the load band of the last report for a class of requests.
func (w *worker) band(requests unit.ClassID) Band {
	if b, ok := w.bands[requests]; ok {
		return b
	}
	return assumedBand
}

// share returns cores as a part of the capacity.
func share(cores, capacity unit.Millicores) float64 { return float64(cores) / float64(capacity) }
