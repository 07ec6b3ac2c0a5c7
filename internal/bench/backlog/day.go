package backlog

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/duration"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// Policy is what is compared.
type Policy struct {
	Name         string
	order        overload.Order
	uncounted    float64       // share of the work of runs that does not count as remaining
	moveByPlace  bool          // slowed runs of the work that goes first are moved first
	moveMore     bool          // slowed runs are moved sooner, and more of them at a time
	paceByPlace  bool          // of the runs on a worker, those of the work that goes first are slowed last
	releaseAfter time.Duration // paused runs are stopped after this time; 0: never
	stopUseless  bool          // runs of work of no use are stopped for others
	serveOldest  bool          // the job of no use that has waited longest goes first
	holdServing  bool          // cores are kept free for urgent tasks
}

// day plays the jobs of a load under a policy.
type day struct {
	load      Load
	policy    Policy
	span      time.Duration
	now       time.Duration
	arrivals  []Job
	jobs      []*job // that have arrived
	open      []*job
	workers   []*worker
	lost      []*run // of lost workers, whose lease has not expired
	stopping  []stopped
	estimates estimates
	means     map[Kind]overload.CoreSeconds
	rates     map[Kind]float64 // cores that work on each kind
	paused    time.Duration    // time of runs without progress
	stops     int              // runs that were stopped
	available []float64        // core-seconds of batch capacity, by second
}

// Intervals of the owner.
const (
	passInterval   = 40 * time.Millisecond
	assessInterval = 200 * time.Millisecond
	servePeriod    = 2 * time.Second
	moveInterval   = 400 * time.Millisecond
)

// dayStart is the time of day at which a day starts; only differences count.
var dayStart = time.Unix(1_000_000, 0)

func newDay(l Load, p Policy, jobs []Job, seed uint64, span time.Duration) *day {
	d := &day{
		load: l, policy: p, span: span, arrivals: jobs, workers: newWorkers(seed),
		estimates: estimates{duration.New()}, means: map[Kind]overload.CoreSeconds{}, rates: map[Kind]float64{},
		available: make([]float64, int(span/time.Second)),
	}
	count := map[Kind]overload.CoreSeconds{}
	for i := range jobs {
		d.means[jobs[i].Kind] += jobs[i].work()
		count[jobs[i].Kind]++
	}
	for k := range d.means {
		d.means[k] /= count[k]
	}
	return d
}

// play plays the day and what is left at its end.
func (d *day) play(until time.Duration) {
	for ; d.now < until; d.now += tick {
		d.arrive()
		d.lose()
		for _, w := range d.workers {
			if !w.lost {
				w.advance(d.now, d.policy.paceByPlace)
			}
		}
		d.count()
		if d.load.silence.includes(d.now) {
			continue
		}
		for _, w := range d.workers {
			d.report(w)
		}
		if d.now%assessInterval == 0 {
			d.assess()
		}
		d.endStops()
		if d.now%moveInterval == 0 {
			d.move()
			d.stopRuns()
		}
		if d.now%passInterval == 0 {
			d.place()
		}
	}
}

// arrive adds the jobs that are due.
func (d *day) arrive() {
	for len(d.arrivals) > 0 && d.arrivals[0].Due <= d.now {
		j := newJob(&d.arrivals[0])
		j.value = overload.Value(j.work(), d.means[j.Kind])
		d.arrivals = d.arrivals[1:]
		d.jobs = append(d.jobs, j)
		d.open = append(d.open, j)
		d.assessAll([]*job{j})
	}
}

// lose removes workers at the time of the loss, and gives up their runs later.
func (d *day) lose() {
	if d.load.loss > 0 && d.now == d.load.loss {
		for _, w := range d.workers[:workers/lostDivisor] {
			w.lost = true
			d.lost = append(d.lost, w.runs...)
			d.lost = append(d.lost, w.ended...)
		}
	}
	if d.load.loss > 0 && d.now == d.load.loss+leaseTime {
		for _, r := range d.lost {
			d.requeue(r)
		}
	}
}

// requeue puts the task of a run that was stopped or lost back.
func (d *day) requeue(r *run) {
	t := r.task
	t.step.job.runs--
	t.ranBefore = true
	if t.step.job.Checkpoints {
		t.saved = max(t.saved, r.save())
	}
	t.step.waiting = append(t.step.waiting, t)
}

// report handles the ended runs of a worker and its progress.
func (d *day) report(w *worker) {
	if w.lost {
		return
	}
	for _, r := range w.ended {
		w.release(r)
		d.end(r)
	}
	w.ended = w.ended[:0]
	for _, r := range w.runs {
		if s := r.task.step; !s.measured && r.left < r.task.took*4/5 {
			s.measured = true
		}
	}
}

// end handles a run that is done.
func (d *day) end(r *run) {
	s := r.task.step
	j := s.job
	j.runs--
	s.measured = true
	s.remaining--
	if s.remaining > 0 {
		return
	}
	d.estimates.learned.Observe(graph.QueueID(j.Kind), s.declared, longest(s))
	next := slices.Index(j.steps, s) + 1
	if next < len(j.steps) {
		j.current = j.steps[next]
		return
	}
	j.current, j.completed = nil, d.now
	d.open = slices.DeleteFunc(d.open, func(o *job) bool { return o == j })
}

// count adds up what the day was worth to serving jobs and the capacity for others.
func (d *day) count() {
	second := int(d.now / time.Second)
	for _, w := range d.workers {
		if w.lost {
			continue
		}
		if second < len(d.available) {
			d.available[second] += w.bestEffortCores() / 1000 * tick.Seconds()
		}
		for _, r := range w.runs {
			if r.paused > 0 {
				d.paused += tick
			}
		}
	}
	if d.now%servePeriod != 0 || d.now > d.span {
		return
	}
	for _, j := range d.open {
		if j.Kind == Serving {
			j.served += j.runs
			j.owed += j.current.remaining
		}
	}
}
