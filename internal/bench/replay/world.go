package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/policy"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	tick           = time.Second
	reportInterval = 5 // ticks
	reportLag      = 3 * time.Second
	listLag        = 3 * time.Second // until a failed worker leaves the instance list
	drainLag       = time.Second     // until entries see that a worker drains
	requestTimeout = time.Second     // until a request to a dead worker is given up
	maxWait        = time.Second     // after which entries reject a waiting request
	startDelay     = 2 * time.Second // of a task, without progress
	failAfter      = 3 * time.Second // of a task that fails
	memoryFillTime = 15 * time.Second

	// taskSpread is the deviation of the logarithm of the sizes within a job.
	taskSpread = 0.1

	// convexity makes two disturbing tasks worse than their sum, so that the
	// model, which adds logarithms, is not given its own form.
	convexity = 1.2
)

type outcome int

const (
	done outcome = iota
	failed
	outOfMemory
)

// run is a task as it really is.
type run struct {
	*item
	job     *Job
	real    unit.Resources
	age     time.Duration // of this attempt
	saved   time.Duration // work at full cores that is in a checkpoint
	work    time.Duration // done in all, of which saved survives a loss
	outWork time.Duration // work when its zone went out, else 0
}

// node is a worker as it really is.
type node struct {
	Worker
	up          bool
	boot        int
	runs        []*run
	slow        float64 // 1 without a disturbance from outside
	slowUntil   time.Duration
	brokenUntil time.Duration
	bursts      []burst
	factor      []float64         // of service times by request class
	free        [][]time.Duration // by entry: when each of its slots is free
	busy        time.Duration     // served since the last tick
	load        float64           // moving average of the utilization of the slots
	latencies   [][]time.Duration // since the last report, by request class
	late        []int
}

type burst struct {
	class  unit.ClassID
	factor float64
	until  time.Duration
}

// world replays one trace under one policy.
type world struct {
	trace    *Trace
	sched    *scheduler
	router   router
	arrivals *rand.Rand // the same for all policies
	choices  *rand.Rand
	sizes    *rand.Rand
	now      time.Duration
	nodes    []*node
	byID     map[unit.InstanceID]*node
	entries  []*entry
	requests []Class // classes of requests
	rates    []float64
	replies  replies
	runs     map[*item]*run
	timers   []timer
	reports  []report
	result   Result
	err      error
}

// Result is what one replay measured.
type Result struct {
	Latency    []*hdrhistogram.Histogram // by class of requests, in microseconds
	Late       []int
	Requests   []int
	Rejected   int     // no worker could be chosen, or the wait was too long
	Work       float64 // core seconds of batch work that was retained
	OutWork    float64 // of it, gained while the zone was out
	Evictions  map[unit.ClassID]int
	Throttles  int
	Done       map[unit.ClassID]int
	Alive      float64 // replica seconds, and Wanted those of the target in zones in service
	Wanted     float64
	Kept, Held float64     // core seconds in the zone when it went out: retained, and all
	Series     [][]float64 // by class of requests: 99th percentile in seconds per 10 s
	window     []*hdrhistogram.Histogram
}

// Replay runs one trace under one policy. Equal arguments give equal results. It
// fails if the policy overcommits a worker or starts a task in a zone that is
// out of service.
func Replay(t *Trace, p Policy) (*Result, error) {
	w := newWorld(t, p)
	next := 0
	for w.now < t.Header.Span.Std() && w.err == nil {
		for ; next < len(t.Events) && t.Events[next].At.Std() <= w.now; next++ {
			w.apply(t.Events[next])
		}
		w.runTimers()
		w.advance()
		w.countReplicas()
		w.report()
		for _, c := range w.sched.step(w.now) {
			w.obey(c)
		}
		w.refresh()
		w.serve(w.now + tick)
		w.now += tick
		if w.now%(10*time.Second) == 0 {
			w.plotPoint()
		}
	}
	return &w.result, w.err
}

func newWorld(t *Trace, p Policy) *world {
	w := &world{
		trace: t, sched: newScheduler(p, t), router: leastCompletion{},
		arrivals: rand.New(rand.NewPCG(t.Header.Seed, 101)), choices: rand.New(rand.NewPCG(t.Header.Seed, 102)),
		sizes: rand.New(rand.NewPCG(t.Header.Seed, 104)),
		byID:  map[unit.InstanceID]*node{}, runs: map[*item]*run{},
	}
	if p.TwoWay {
		w.router = twoChoices{}
	}
	for _, c := range t.Classes {
		if c.Kind == spec.KindRequest {
			w.requests = append(w.requests, c)
		}
	}
	n := len(w.requests)
	w.rates = make([]float64, n)
	w.result = Result{Late: make([]int, n), Requests: make([]int, n), Series: make([][]float64, n),
		Evictions: map[unit.ClassID]int{}, Done: map[unit.ClassID]int{}}
	for range n {
		w.result.Latency = append(w.result.Latency, hdrhistogram.New(100, 100e6, 3))
		w.result.window = append(w.result.window, hdrhistogram.New(100, 100e6, 3))
	}
	slots := rand.New(rand.NewPCG(t.Header.Seed, 103))
	for range t.Header.Entries {
		w.entries = append(w.entries, &entry{lanes: make([]lane, len(t.Workers)), mean: make([]float64, n)})
	}
	for i, spec := range t.Workers {
		node := &node{Worker: spec, up: true, slow: 1, factor: make([]float64, n), latencies: make([][]time.Duration, n),
			late: make([]int, n), free: make([][]time.Duration, t.Header.Entries)}
		for range t.Header.Slots {
			e := slots.IntN(t.Header.Entries) // as rendezvous hashing spreads them
			node.free[e] = append(node.free[e], 0)
		}
		for e := range w.entries {
			w.entries[e].lanes[i] = lane{slots: len(node.free[e]), open: true, speed: 1}
		}
		w.nodes = append(w.nodes, node)
		w.byID[spec.ID] = node
	}
	return w
}

func (w *world) apply(l Line) {
	switch l.Kind {
	case KindRate:
		w.rates[slices.IndexFunc(w.requests, func(c Class) bool { return c.Name == l.Class })] = l.Rate
	case KindJob:
		for _, it := range w.sched.submit(w.now, l.Job) {
			w.runs[it] = &run{item: it, job: l.Job, real: w.vary(l.Job.Real)}
		}
	case KindCancel:
		w.sched.cancel(l.Job.ID)
	case KindBurst:
		for _, id := range l.Workers {
			w.byID[id].bursts = append(w.byID[id].bursts, burst{l.Class, l.Factor, w.now + l.Span.Std()})
		}
	case KindSlow:
		for _, id := range l.Workers {
			w.byID[id].slow, w.byID[id].slowUntil = l.Factor, w.now+l.Span.Std()
		}
	case KindBroken:
		for _, id := range l.Workers {
			w.byID[id].brokenUntil = w.now + l.Span.Std()
		}
	case KindFail:
		for _, id := range l.Workers {
			if n := w.byID[id]; n.up {
				w.down(n, listLag)
				w.after(l.Span.Std(), func() { w.back(n) })
			}
		}
	case KindZoneOut:
		w.sched.setZone(w.now, l.Zone, true)
		for _, n := range w.nodes {
			if n.Zone != l.Zone {
				continue
			}
			for _, r := range n.runs {
				if r.class.Kind == spec.KindBatch {
					r.outWork = r.work
					w.result.Held += r.coreSeconds(r.work)
				}
			}
			w.after(drainLag, func() { w.setOpen(n, false) })
			w.after(l.Span.Std(), func() { w.down(n, 0) })
		}
		w.result.OutWork = -w.result.Work
	case KindZoneIn:
		w.sched.setZone(w.now, l.Zone, false)
		for _, n := range w.nodes {
			if n.Zone == l.Zone {
				w.back(n)
			}
		}
		w.result.OutWork += w.result.Work
	case KindHeader, KindWorker, KindClass:
	}
}

// vary draws the size of one task of a job. The tasks are alike, not equal.
func (w *world) vary(size unit.Resources) unit.Resources {
	size.Cores = unit.Millicores(float64(size.Cores) * math.Exp(taskSpread*w.sizes.NormFloat64()))
	size.Memory = unit.Bytes(float64(size.Memory) * math.Exp(taskSpread*w.sizes.NormFloat64()))
	return size
}

func (w *world) after(d time.Duration, do func()) {
	w.timers = append(w.timers, timer{w.now + d, do})
}

func (w *world) runTimers() {
	var due []timer
	w.timers = slices.DeleteFunc(w.timers, func(t timer) bool {
		if t.at <= w.now {
			due = append(due, t)
			return true
		}
		return false
	})
	for _, t := range due {
		t.do()
	}
}

// down takes a worker away with all that runs there.
func (w *world) down(n *node, lag time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.boot++
	for _, r := range n.runs {
		w.lose(r)
	}
	n.runs = nil
	w.after(lag, func() {
		w.setOpen(n, false)
		w.sched.leave(w.now, n.ID)
	})
}

func (w *world) back(n *node) {
	if n.up || w.sched.out[n.Zone] {
		return
	}
	n.up = true
	w.setOpen(n, true)
	w.sched.join(n.ID)
}

func (w *world) setOpen(n *node, open bool) {
	i := slices.Index(w.nodes, n)
	for _, e := range w.entries {
		e.lanes[i].open = open
	}
}

func (r *run) coreSeconds(work time.Duration) float64 {
	return work.Seconds() * float64(r.real.Cores) / 1000
}

// lose takes back the work of a run that no checkpoint has.
func (w *world) lose(r *run) {
	if r.class.Kind == spec.KindBatch {
		w.result.Work -= r.coreSeconds(r.work - r.saved)
		w.settle(r, r.saved)
	}
	r.work = r.saved
}

// settle accounts for a run that was in the zone when it went out.
func (w *world) settle(r *run, kept time.Duration) {
	if r.outWork > 0 {
		w.result.Kept += r.coreSeconds(min(r.outWork, kept))
		r.outWork = 0
	}
}

func (w *world) used(r *run) float64 {
	return float64(min(r.size.Cores, r.real.Cores)) * r.share
}

// advance moves all running tasks on by one tick.
func (w *world) advance() {
	for _, n := range w.nodes {
		for _, r := range slices.Clone(n.runs) {
			r.age += tick
			if r.age > startDelay && r.job.Work > 0 {
				step := time.Duration(float64(tick) * w.used(r) / float64(r.real.Cores))
				step = min(step, r.job.Work.Std()-r.work)
				r.work += step
				w.result.Work += r.coreSeconds(step)
			}
			switch {
			case (r.job.Fails || w.now < n.brokenUntil) && r.age >= failAfter:
				w.end(n, r, failed)
			case r.size.Memory < r.real.Memory && r.age >= memoryFillTime:
				w.end(n, r, outOfMemory)
			case r.job.Work > 0 && r.work >= r.job.Work.Std():
				w.end(n, r, done)
			}
		}
	}
}

// countReplicas accounts for the replicas that run where they should.
func (w *world) countReplicas() {
	for _, n := range w.nodes {
		for _, r := range n.runs {
			if r.class.Kind == spec.KindStanding && r.age > startDelay && !w.sched.out[n.Zone] {
				w.result.Alive += tick.Seconds()
			}
		}
	}
	for _, l := range w.trace.Events {
		if l.Kind == KindJob && l.Job.Zone != "" && l.At.Std()+startDelay < w.now && !w.sched.out[l.Job.Zone] {
			w.result.Wanted += float64(l.Job.Tasks) * tick.Seconds()
		}
	}
}

func (w *world) end(n *node, r *run, o outcome) {
	n.runs = slices.DeleteFunc(n.runs, func(x *run) bool { return x == r })
	if o == done {
		w.result.Done[r.class.Name]++
		w.settle(r, r.work)
	} else {
		w.lose(r)
	}
	peak := r.real
	peak.Cores = min(peak.Cores, r.size.Cores)
	if r.size.Cores < r.real.Cores {
		// A task held to its size shows only that it would use all of it.
		peak = policy.InferDemand(peak, r.size)
	}
	w.sched.ended(w.now, r.item, o, peak, r.job.Work.Std())
}

// obey carries out a command of the scheduler.
func (w *world) obey(c command) {
	r := w.runs[c.item]
	n := w.byID[c.item.worker]
	switch c.kind {
	case worker.ActionStart:
		if !n.up {
			w.sched.stopped(w.now, c.item)
			return
		}
		sum := n.Reserved.Add(r.size)
		for _, other := range n.runs {
			sum = sum.Add(other.size)
		}
		if !sum.Fits(n.Capacity) {
			w.err = errors.Errorf("%s at %s: %s is overcommitted by %s", w.sched.policy.Name, w.now, n.ID, r.ref.Task)
		}
		if w.sched.out[n.Zone] {
			w.err = errors.Errorf("%s at %s: %s starts in %s, which is out of service", w.sched.policy.Name, w.now, r.ref.Task, n.Zone)
		}
		r.age = 0
		n.runs = append(n.runs, r)
	case worker.ActionThrottle:
		w.result.Throttles++
	case worker.ActionCheckpoint, worker.ActionStop:
		i := slices.Index(n.runs, r)
		if i < 0 {
			return // it has ended meanwhile
		}
		n.runs = slices.Delete(n.runs, i, i+1)
		if c.kind == worker.ActionCheckpoint {
			r.saved = r.work
			w.settle(r, r.saved)
		}
		w.lose(r)
		if !r.over && !w.sched.out[n.Zone] {
			w.result.Evictions[r.class.Name]++
		}
		w.sched.stopped(w.now, c.item)
	}
}
