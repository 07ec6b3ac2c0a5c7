package backlog

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Parameters of the fleet.
const (
	workers        = 490
	tick           = 20 * time.Millisecond
	leaseTime      = 6 * time.Second // until the tasks of a lost worker start elsewhere
	minSpeed       = 0.85            // expected speed below which a best-effort task waits
	servingShare   = 0.5             // of their cores that serving tasks use on average
	servingSwing   = 0.3             // of the share, over time
	sharedHeadroom = 0.8             // of the cores left, that best-effort runs may use beside serving tasks
	pauseAbove     = 1.25            // load of serving tasks, over their mean, from which on best-effort runs are paused
	checkpointStep = 0.1             // of a task's work
)

var capacity = resources(64, 250)

// run is a run of a task.
type run struct {
	task   *task
	left   time.Duration // work left, at full speed
	paused time.Duration // since when it has made no progress; 0: it does
	speed  float64
	slowed time.Duration // since when it is slowed to maxSlowedSpeed or less; 0: it is not
}

// worker is a worker of the model.
type worker struct {
	used    unit.Resources // reserved
	runs    []*run
	lost    bool
	serving int     // serving runs
	batch   float64 // millicores that best-effort runs would use at full speed
	phase   float64
	period  time.Duration
	speed   float64 // of best-effort runs
	load    float64 // of the serving tasks over their mean
	ended   []*run  // not reported yet
}

func newWorkers(seed uint64) []*worker {
	random := rand.New(rand.NewPCG(seed, 99))
	all := make([]*worker, workers)
	for i := range all {
		all[i] = &worker{
			phase: 2 * math.Pi * random.Float64(), speed: 1,
			period: time.Duration((6 + 14*random.Float64()) * float64(time.Second)),
		}
	}
	return all
}

// reserved returns the resources that are reserved for a task of a shape.
func (s *shape) reserved() unit.Resources {
	r := s.needs
	if s.bestEffort {
		r.Cores = 0
	}
	return r
}

// servingLoad returns the load of the serving tasks over their mean.
func (w *worker) servingLoad(now time.Duration) float64 {
	return 1 + servingSwing*math.Sin(w.phase+2*math.Pi*float64(now)/float64(w.period))
}

// bestEffortCores returns the cores that best-effort runs may use.
func (w *worker) bestEffortCores() float64 {
	free := float64(capacity.Cores)
	if w.serving == 0 {
		return free - float64(w.used.Cores)
	}
	if w.load > pauseAbove {
		return 0
	}
	serving := float64(w.serving) * float64(shapeOf(Serving).needs.Cores)
	other := float64(w.used.Cores) - serving
	return max(0, sharedHeadroom*(free-other-serving*servingShare*w.load))
}

// advance lets the runs of a worker work for a tick.
func (w *worker) advance(now time.Duration, byPlace bool) {
	w.speed, w.load = 1, w.servingLoad(now)
	if w.batch > 0 {
		w.speed = min(1, w.bestEffortCores()/w.batch)
	}
	w.setSpeeds(byPlace)
	kept := w.runs[:0]
	for _, r := range w.runs {
		speed := r.speed
		r.left -= time.Duration(speed * float64(tick))
		if r.left <= 0 {
			w.ended = append(w.ended, r)
			w.batch -= r.batch()
			continue
		}
		since(&r.paused, speed == 0, now)
		since(&r.slowed, speed <= maxSlowedSpeed, now)
		kept = append(kept, r)
	}
	clear(w.runs[len(kept):])
	w.runs = kept
}

// setSpeeds shares the cores for best-effort runs evenly, or gives them to the runs of the
// work that goes first before others.
func (w *worker) setSpeeds(byPlace bool) {
	var shared []*run
	for _, r := range w.runs {
		r.speed = 1
		if r.batch() > 0 {
			r.speed = w.speed
			shared = append(shared, r)
		}
	}
	if !byPlace || w.speed == 0 || w.speed == 1 {
		return
	}
	slices.SortStableFunc(shared, func(a, b *run) int {
		return cmp.Compare(a.task.step.job.place.Key, b.task.step.job.place.Key)
	})
	cores := w.bestEffortCores()
	for _, r := range shared {
		r.speed = min(1, cores/r.batch())
		cores = max(0, cores-r.batch())
	}
}

// since sets the time since when a condition holds, or 0 if it does not.
func since(t *time.Duration, holds bool, now time.Duration) {
	switch {
	case !holds:
		*t = 0
	case *t == 0:
		*t = now
	}
}

// batch returns the cores that a best-effort run would use at full speed, or 0.
func (r *run) batch() float64 {
	if s := r.task.step.job.shape; s.bestEffort {
		return float64(s.needs.Cores)
	}
	return 0
}

// add adds a run to the worker.
func (w *worker) add(r *run) {
	s := r.task.step.job.shape
	w.runs = append(w.runs, r)
	w.used = w.used.Add(s.reserved())
	w.batch += r.batch()
	if s.kind == Serving {
		w.serving++
	}
}

// remove removes a run from the worker.
func (w *worker) remove(r *run) {
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.batch -= r.batch()
}

// release gives back what was reserved for a run.
func (w *worker) release(r *run) {
	s := r.task.step.job.shape
	w.used = w.used.Sub(s.reserved())
	if s.kind == Serving {
		w.serving--
	}
}

// save returns the work that a run has saved in a checkpoint.
func (r *run) save() time.Duration {
	done := 1 - float64(r.left)/float64(r.task.took)
	steps := math.Floor(done / checkpointStep)
	return time.Duration(steps * checkpointStep * float64(r.task.took))
}
