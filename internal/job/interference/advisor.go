package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// placementDeviations is the number of deviations added to the rise of a new task.
	placementDeviations = 1.0
	// usableHeadroom is the part of the room below the target that placement may use. The
	// rest is for bursts, which the model cannot foresee.
	usableHeadroom = 0.7
	// minHeadroom is allowed even where a class misses its target without any batch
	// work, since refusing all of it would not help the class.
	minHeadroom = 0.1

	// initialTailRatio is the ratio of the tail to the median before reports show it. It
	// counts as much as firstTailReports.
	initialTailRatio   = 2.5
	initialTailReports = 10
	minTailRatioWeight = 0.01
	// minTailRequests is the least number of requests of which the highest is near
	// a 99th percentile.
	minTailRequests = 20
	// assumedBand is assumed of a worker that has not reported yet.
	assumedBand = Band(1)
)

// Advisor turns the model into the two judgements that schedulers ask for: the
// harm of adding a task to a worker, and the relief of taking one away. The zero
// value is not usable; call NewAdvisor.
type Advisor struct {
	Model        *Model
	targets      map[unit.ClassID]spec.Target
	tailRatios   map[unit.ClassID]tailRatio
	standing     map[unit.ClassID]bool
	workers      map[unit.InstanceID]*worker
	workerCounts map[unit.ClassID]int // workers that run a batch class
}

// tailRatio is the moving average of the tailRatio latency over the median.
type tailRatio struct {
	mean, reports float64
}

type worker struct {
	capacity unit.Millicores
	serves   []unit.ClassID
	bands    map[unit.ClassID]Band
	loads    []batchLoad // a slice, so that sums don't depend on the order of a map
}

type batchLoad struct {
	class unit.ClassID
	cores unit.Millicores
	tasks int
}

// NewAdvisor returns an advisor without knowledge.
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

// SetTarget sets the target of a class. A standing class is never refused a worker,
// since its own target is to stay alive.
func (a *Advisor) SetTarget(class unit.ClassID, kind spec.Kind, t spec.Target) {
	switch kind {
	case spec.KindRequest:
		a.targets[class] = t
	case spec.KindStanding:
		a.standing[class] = true
	case spec.KindBatch:
	}
}

// UpsertWorker adds a worker or changes its cores and the classes of requests that it
// serves.
func (a *Advisor) UpsertWorker(id unit.InstanceID, cores unit.Millicores, serves []unit.ClassID) {
	w, ok := a.workers[id]
	if !ok {
		w = &worker{bands: map[unit.ClassID]Band{}}
		a.workers[id] = w
	}
	w.capacity, w.serves = cores, serves
}

// RemoveWorker forgets a worker.
func (a *Advisor) RemoveWorker(id unit.InstanceID) {
	if w, ok := a.workers[id]; ok {
		for _, l := range w.loads {
			a.workerCounts[l.class]--
		}
		delete(a.workers, id)
	}
}

// AdjustLoad counts tasks of a batch class that start (positive) or end (negative)
// on a worker, and the cores that they may use. A throttle changes only cores.
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

// Observe learns from a report of a worker: a sample, and the tail latency of
// the same window at the percentile of the target.
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

// Harm returns the part of the room below their targets that the requests of
// the worker are expected to have used up once the task runs there. It is
// infinite if that is more than placement may use, or if the pair is uncertain
// and is being tried on enough workers.
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
		otherRise, headroom := a.predictedRise(w, requests, band), max(usableHeadroom*a.headroom(requests, band), minHeadroom)
		cautiousRise := otherRise + added.Mean + placementDeviations*added.Deviation
		if !a.standing[class] {
			switch certain := a.Model.Confident(requests, band, class, share(total, w.capacity)); {
			case !certain && !a.Model.MayTry(running, len(a.workers)):
				return math.Inf(1)
			case !certain && otherRise+added.Mean-placementDeviations*added.Deviation > headroom:
				// Trying on few workers shows whether the pair is better than feared.
				return math.Inf(1)
			case certain && cautiousRise > headroom:
				return math.Inf(1)
			}
		}
		highest = max(highest, cautiousRise/headroom)
	}
	return highest
}

// Relief returns by how much the logarithm of the latency of a class of requests
// is expected to fall if the batch class uses so many cores less.
func (a *Advisor) Relief(requests unit.ClassID, id unit.InstanceID, batch unit.ClassID, cores unit.Millicores) float64 {
	w, ok := a.workers[id]
	if !ok || w.capacity <= 0 {
		return 0
	}
	return a.Model.Predict(requests, w.band(requests), batch, share(cores, w.capacity)).Mean
}

// predictedRise returns the expected predictedRise of the logarithm of the latency by all batch
// work of the worker.
func (a *Advisor) predictedRise(w *worker, requests unit.ClassID, band Band) float64 {
	sum := 0.0
	for _, l := range w.loads {
		sum += a.Model.Predict(requests, band, l.class, share(l.cores, w.capacity)).Mean
	}
	return sum
}

// headroom returns by how much the logarithm of the latency may rise until the tail
// reaches the bound of the target. It is infinite without a bound or reports.
func (a *Advisor) headroom(requests unit.ClassID, band Band) float64 {
	base, bound := a.Model.Baseline(requests, band), a.targets[requests].Bound.Std()
	if base <= 0 || bound <= 0 {
		return math.Inf(1)
	}
	return math.Log(bound.Seconds() / (base.Seconds() * a.expectedTailRatio(requests)))
}

func (a *Advisor) expectedTailRatio(requests unit.ClassID) float64 {
	if t, ok := a.tailRatios[requests]; ok {
		return t.mean
	}
	return initialTailRatio
}

func (w *worker) loadIndex(class unit.ClassID) int {
	return slices.IndexFunc(w.loads, func(l batchLoad) bool { return l.class == class })
}

func (w *worker) band(requests unit.ClassID) Band {
	if b, ok := w.bands[requests]; ok {
		return b
	}
	return assumedBand
}

func share(cores, capacity unit.Millicores) float64 { return float64(cores) / float64(capacity) }
