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
	listLag        = 3 * time.Second  // until a failed worker leaves the instance list
	drainLag       = time.Second      // until entries see that a worker drains
	requestTimeout = time.Second      // after which a request to a failed worker fails
	maxWait        = time.Second      // after which entries reject a waiting request
	startDelay     = 2 * time.Second  // after its start a task makes no progress for this time
	failAfter      = 3 * time.Second  // age at which a failing task ends
	memoryFillTime = 15 * time.Second // until a task uses all its memory

	// taskSpread is the standard deviation of the logarithm of task sizes within a job.
	taskSpread = 0.1

	// convexity makes two interfering tasks slow requests more than the sum of
	// both, so that the simulated latency does not have the form of the
	// interference model, which adds logarithms.
	convexity = 1.2
)

type outcome int

const (
	done outcome = iota
	failed
	outOfMemory
)

// run is a task with its real demand, which the scheduler does not see.
type run struct {
	*item
	job     *Job
	demand  unit.Resources
	age     time.Duration // time since the start of this attempt
	saved   time.Duration // work at full cores in the last checkpoint
	work    time.Duration // work done; after a loss only saved remains
	outWork time.Duration // work at the time its zone went out; 0 if it did not
}

// node is a simulated worker, with state that the scheduler does not see.
type node struct {
	Worker
	up          bool
	boot        int
	runs        []*run
	slow        float64 // factor of service times from causes other than tasks; 1 normally
	slowUntil   time.Duration
	brokenUntil time.Duration
	bursts      []burst
	slowdown    []float64         // factor of service times, by request class
	free        [][]time.Duration // by entry: the time at which each of its slots becomes free
	busy        time.Duration     // service time since the last tick
	load        float64           // moving average of the slot utilization
	latencies   [][]time.Duration // by request class, since the last report
	late        []int
}

type burst struct {
	class  unit.ClassID
	factor float64
	until  time.Duration
}

// world is the simulation of one trace under one policy.
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
	Latency                []*hdrhistogram.Histogram // by class of requests, in microseconds
	Late                   []int
	Requests               []int
	Rejected               int     // no worker could be chosen, or the wait exceeded maxWait
	Work                   float64 // core seconds of batch work that was retained
	OutWork                float64 // part of Work done while the zone was out of service
	Evictions              map[unit.ClassID]int
	Throttles              int
	Done                   map[unit.ClassID]int
	ReplicaSeconds         float64 // replica seconds that ran; WantedSeconds is the target, both in zones in service
	WantedSeconds          float64
	RetainedWork, ZoneWork float64     // core seconds of batch work in the zone when it went out: retained part and total
	Series                 [][]float64 // by class of requests: 99th percentile in seconds per 10 s
	window                 []*hdrhistogram.Histogram
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
			w.execute(c)
		}
		w.updateSlowdown()
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
	if p.TwoChoices {
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
		node := &node{Worker: spec, up: true, slow: 1, slowdown: make([]float64, n), latencies: make([][]time.Duration, n),
			late: make([]int, n), free: make([][]time.Duration, t.Header.Entries)}
		for range t.Header.Slots {
			e := slots.IntN(t.Header.Entries) // a random entry, as with rendezvous hashing
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
			w.runs[it] = &run{item: it, job: l.Job, demand: w.drawSize(l.Job.Real)}
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
				w.failWorker(n, listLag)
				w.after(l.Span.Std(), func() { w.restoreWorker(n) })
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
					w.result.ZoneWork += r.coreSeconds(r.work)
				}
			}
			w.after(drainLag, func() { w.setOpen(n, false) })
			w.after(l.Span.Std(), func() { w.failWorker(n, 0) })
		}
		w.result.OutWork = -w.result.Work
	case KindZoneIn:
		w.sched.setZone(w.now, l.Zone, false)
		for _, n := range w.nodes {
			if n.Zone == l.Zone {
				w.restoreWorker(n)
			}
		}
		w.result.OutWork += w.result.Work
	case KindHeader, KindWorker, KindClass:
	}
}

// drawSize draws the real size of one task of a job, around the size of the job.
func (w *world) drawSize(size unit.Resources) unit.Resources {
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

// failWorker stops a worker and loses all its runs. The scheduler and the
// entries see it after the lag.
func (w *world) failWorker(n *node, lag time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.boot++
	for _, r := range n.runs {
		w.discardUnsaved(r)
	}
	n.runs = nil
	w.after(lag, func() {
		w.setOpen(n, false)
		w.sched.removeWorker(w.now, n.ID)
	})
}

func (w *world) restoreWorker(n *node) {
	if n.up || w.sched.out[n.Zone] {
		return
	}
	n.up = true
	w.setOpen(n, true)
	w.sched.addWorker(n.ID)
}

func (w *world) setOpen(n *node, open bool) {
	i := slices.Index(w.nodes, n)
	for _, e := range w.entries {
		e.lanes[i].open = open
	}
}

func (r *run) coreSeconds(work time.Duration) float64 {
	return work.Seconds() * float64(r.demand.Cores) / 1000
}

// discardUnsaved subtracts the work of a run that is in no checkpoint.
func (w *world) discardUnsaved(r *run) {
	if r.class.Kind == spec.KindBatch {
		w.result.Work -= r.coreSeconds(r.work - r.saved)
		w.recordRetained(r, r.saved)
	}
	r.work = r.saved
}

// recordRetained counts the retained work of a run that was in the zone when
// the zone went out.
func (w *world) recordRetained(r *run, kept time.Duration) {
	if r.outWork > 0 {
		w.result.RetainedWork += r.coreSeconds(min(r.outWork, kept))
		r.outWork = 0
	}
}

func (w *world) usedCores(r *run) float64 {
	return float64(min(r.size.Cores, r.demand.Cores)) * r.share
}

// advance runs all tasks for one tick.
func (w *world) advance() {
	for _, n := range w.nodes {
		for _, r := range slices.Clone(n.runs) {
			r.age += tick
			if r.age > startDelay && r.job.Work > 0 {
				step := time.Duration(float64(tick) * w.usedCores(r) / float64(r.demand.Cores))
				step = min(step, r.job.Work.Std()-r.work)
				r.work += step
				w.result.Work += r.coreSeconds(step)
			}
			switch {
			case (r.job.Fails || w.now < n.brokenUntil) && r.age >= failAfter:
				w.end(n, r, failed)
			case r.size.Memory < r.demand.Memory && r.age >= memoryFillTime:
				w.end(n, r, outOfMemory)
			case r.job.Work > 0 && r.work >= r.job.Work.Std():
				w.end(n, r, done)
			}
		}
	}
}

// countReplicas adds one tick to the replica seconds that ran and that were
// wanted, in zones in service.
func (w *world) countReplicas() {
	for _, n := range w.nodes {
		for _, r := range n.runs {
			if r.class.Kind == spec.KindStanding && r.age > startDelay && !w.sched.out[n.Zone] {
				w.result.ReplicaSeconds += tick.Seconds()
			}
		}
	}
	for _, l := range w.trace.Events {
		if l.Kind == KindJob && l.Job.Zone != "" && l.At.Std()+startDelay < w.now && !w.sched.out[l.Job.Zone] {
			w.result.WantedSeconds += float64(l.Job.Tasks) * tick.Seconds()
		}
	}
}

func (w *world) end(n *node, r *run, o outcome) {
	n.runs = slices.DeleteFunc(n.runs, func(x *run) bool { return x == r })
	if o == done {
		w.result.Done[r.class.Name]++
		w.recordRetained(r, r.work)
	} else {
		w.discardUnsaved(r)
	}
	peak := r.demand
	peak.Cores = min(peak.Cores, r.size.Cores)
	if r.size.Cores < r.demand.Cores {
		// A task limited to its size shows only that it needs at least that size.
		peak = policy.InferDemand(peak, r.size)
	}
	w.sched.handleEnd(w.now, r.item, o, peak, r.job.Work.Std())
}

// execute carries out a command of the scheduler.
func (w *world) execute(c command) {
	r := w.runs[c.item]
	n := w.byID[c.item.worker]
	switch c.kind {
	case worker.ActionStart:
		if !n.up {
			w.sched.handleStop(w.now, c.item)
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
			return // the run has ended in the meantime
		}
		n.runs = slices.Delete(n.runs, i, i+1)
		if c.kind == worker.ActionCheckpoint {
			r.saved = r.work
			w.recordRetained(r, r.saved)
		}
		w.discardUnsaved(r)
		if !r.ended && !w.sched.out[n.Zone] {
			w.result.Evictions[r.class.Name]++
		}
		w.sched.handleStop(w.now, c.item)
	}
}
