// Package control is the loop that keeps latency-critical classes within their
// targets by acting on the batch tasks beside them: throttle, then checkpoint,
// then stop. It is pure: state, reports and now give actions.
package control

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// InterferenceModel estimates what a task does to the requests beside it.
type InterferenceModel interface {
	// Relief returns by how much the logarithm of the latency of a class of
	// requests on the worker is expected to fall if a batch class uses fewer cores.
	Relief(requests unit.ClassID, id unit.InstanceID, batch unit.ClassID, cores unit.Millicores) float64
}

// Signal is what one lagging report says of one class of requests on a worker.
type Signal struct {
	Worker      unit.InstanceID
	Class       unit.ClassID
	From, Until time.Time // the reported window
	Requests    int
	Late        int // over the bound of the target
}

// Task is a running task as the scheduler knows it.
type Task struct {
	Ref            worker.Ref
	Worker         unit.InstanceID
	Class          unit.ClassID
	Size           unit.Resources // reserved
	Share          float64        // of its cores; 1 if not throttled
	UnsavedWork    time.Duration  // work since its last checkpoint
	Remaining      time.Duration  // expected run time at full share; 0 if it runs until stopped
	Deadline       time.Time      // by the target of its class; zero if none
	Checkpointable bool           // it can write a checkpoint
	Standing       bool
	Surplus        int // standing only: running replicas above the target of its zone
}

// Action is one change to a running task.
type Action struct {
	Worker   unit.InstanceID
	Ref      worker.Ref
	Class    unit.ClassID // of the task
	ForClass unit.ClassID // the class of requests that is protected
	Kind     worker.Action
	Share    float64 // throttle only
	Reason   string
}

const (
	// settleDelay is the time that an action needs to reach the worker and the queue
	// there to empty. A report counts only if its window began later.
	settleDelay = 2 * time.Second
	// settleTimeout is the time after which an action counts as visible even without
	// a report: two report intervals and the lag.
	settleTimeout = 20 * time.Second

	// minShare is the lowest throttle. A task at less makes so little progress
	// that it had better run elsewhere.
	minShare = 0.25
	// relaxedBurn is the burn that a worker may have while its class as a whole
	// keeps within half of its budget.
	relaxedBurn = 3.0
	// severeBurn calls for throttling every harmful task on a worker at once, and
	// extremeBurn for doing so in one step, since each step costs a settled report.
	severeBurn  = 6.0
	extremeBurn = 15.0
	// headroomBurn is the burn below which throttles are undone.
	headroomBurn = 0.5
	// minHeadroomRequests is the least number of requests that shows headroom.
	minHeadroomRequests = 50

	// initialUnthrottleDelay is the time that headroom must last before a throttle is undone.
	// It doubles, up to maxHold, if the undoing is regretted within regretTime.
	initialUnthrottleDelay = 10 * time.Second
	maxUnthrottleDelay     = 160 * time.Second
	relapseWindow          = 60 * time.Second

	// maxUnthrottleRise bounds the expected rise of the logarithm of the latency by one
	// undoing of several throttles.
	maxUnthrottleRise = 0.1
	// minRelief is the relief below which acting on a task is pointless.
	minRelief = 0.02
	// maxEvictions bounds checkpoints and stops in the time of one settled
	// report, since the evicted tasks load other workers.
	maxEvictions = 2
)

type signalKey struct {
	worker unit.InstanceID
	class  unit.ClassID
}

type workerState struct {
	lastAction      time.Time // of the last action; zero if none
	lastReport      time.Time // end of the newest report
	reported        bool      // a report since then has been counted
	headroomSince   time.Time // since when all classes have headroom; zero if they don't
	unthrottleDelay time.Duration
	unthrottledAt   time.Time // of the last undoing
	classes         []unit.ClassID
}

// Loop compares the classes of requests with their targets. The zero value is
// not usable; call New.
type Loop struct {
	model          InterferenceModel
	targets        map[unit.ClassID]spec.Target
	workerCounts   map[signalKey]*decayedCounts
	classCounts    map[unit.ClassID]*decayedCounts
	workers        map[unit.InstanceID]*workerState
	evictions      int
	evictionsSince time.Time // start of the time for which evictions are counted
}

// New returns a loop without targets.
func New(blame InterferenceModel) *Loop {
	return &Loop{
		model:        blame,
		targets:      map[unit.ClassID]spec.Target{},
		workerCounts: map[signalKey]*decayedCounts{},
		classCounts:  map[unit.ClassID]*decayedCounts{},
		workers:      map[unit.InstanceID]*workerState{},
	}
}

// SetTarget sets the target of a class of requests. Signals of other classes are
// ignored.
func (l *Loop) SetTarget(class unit.ClassID, t spec.Target) {
	l.targets[class] = t
}

// Observe counts a report. One whose window began before the last action on the
// worker could show is left out of the judgement of the worker.
func (l *Loop) Observe(s Signal) {
	if _, ok := l.targets[s.Class]; !ok {
		return
	}
	class, ok := l.classCounts[s.Class]
	if !ok {
		class = &decayedCounts{}
		l.classCounts[s.Class] = class
	}
	class.add(s.Until, s.Requests, s.Late, classWindow)
	p := l.ensureWorker(s.Worker)
	if s.Until.After(p.lastReport) {
		p.lastReport = s.Until
	}
	if !p.lastAction.IsZero() && s.From.Before(p.lastAction.Add(settleDelay)) {
		return
	}
	p.reported = true
	k := signalKey{s.Worker, s.Class}
	t, ok := l.workerCounts[k]
	if !ok {
		t = &decayedCounts{}
		l.workerCounts[k] = t
		p.classes = append(p.classes, s.Class)
		slices.Sort(p.classes)
	}
	t.add(s.Until, s.Requests, s.Late, workerWindow)
}

// Remove drops what is known of a worker that is gone.
func (l *Loop) Remove(id unit.InstanceID) {
	if p, ok := l.workers[id]; ok {
		for _, c := range p.classes {
			delete(l.workerCounts, signalKey{id, c})
		}
		delete(l.workers, id)
	}
}

// Settled reports whether the effect of the last action on a worker can have been
// seen.
func (l *Loop) Settled(now time.Time, id unit.InstanceID) bool {
	p, ok := l.workers[id]
	return !ok || p.settled(now)
}

// RecordAction notes an action on a worker that the loop did not ask for itself.
func (l *Loop) RecordAction(now time.Time, id unit.InstanceID) {
	l.resetAfterAction(now, id, l.ensureWorker(id))
}

func (p *workerState) settled(now time.Time) bool {
	return p.lastAction.IsZero() || p.reported || now.Sub(p.lastAction) >= settleTimeout
}

func (l *Loop) resetAfterAction(now time.Time, id unit.InstanceID, p *workerState) {
	p.lastAction, p.reported = now, false
	for _, c := range p.classes {
		*l.workerCounts[signalKey{id, c}] = decayedCounts{}
	}
}

// Step returns the actions on the running tasks. The tasks of one worker must be
// adjacent.
func (l *Loop) Step(now time.Time, tasks []Task) []Action {
	if now.Sub(l.evictionsSince) > settleTimeout {
		l.evictionsSince, l.evictions = now, 0
	}
	var actions []Action
	for len(tasks) > 0 {
		n := 1
		for n < len(tasks) && tasks[n].Worker == tasks[0].Worker {
			n++
		}
		actions = append(actions, l.stepWorker(now, tasks[0].Worker, tasks[:n])...)
		tasks = tasks[n:]
	}
	return actions
}

// stepWorker decides for one worker.
func (l *Loop) stepWorker(now time.Time, id unit.InstanceID, tasks []Task) []Action {
	p := l.ensureWorker(id)
	if !p.settled(now) {
		return nil // the effect of the last action is not visible yet
	}
	var worst unit.ClassID
	worstBurn, calm := 0.0, true
	for _, c := range p.classes {
		t := l.workerCounts[signalKey{id, c}]
		budget := errorBudget(l.targets[c])
		burn := t.burn(budget)
		limit := 1.0
		if l.classCounts[c].burn(budget) < headroomBurn {
			limit = relaxedBurn
		}
		if t.exceeds(budget, limit) && burn > worstBurn {
			worst, worstBurn = c, burn
		}
		calm = calm && burn < headroomBurn && t.requests >= minHeadroomRequests
	}
	if now.Sub(p.lastReport) > settleTimeout {
		// The worker serves no requests, so its batch tasks disturb none.
		worstBurn, calm = 0, true
	}
	var actions []Action
	switch {
	case worstBurn > 0:
		p.headroomSince = time.Time{}
		actions = l.throttleOrEvict(now, p, id, worst, worstBurn, tasks)
	case !calm:
		p.headroomSince = time.Time{}
	case p.headroomSince.IsZero():
		p.headroomSince = now
	case now.Sub(p.headroomSince) >= p.unthrottleDelay:
		actions = l.unthrottle(now, p, tasks)
	}
	if len(actions) > 0 {
		l.resetAfterAction(now, id, p)
	}
	return actions
}

type scoredTask struct {
	Task
	relief, cost float64
}

// throttleOrEvict acts on the tasks that give the most relief for their price: it
// throttles while any harmful task is above the floor, and evicts after that.
func (l *Loop) throttleOrEvict(now time.Time, p *workerState, id unit.InstanceID, class unit.ClassID, burn float64, tasks []Task) []Action {
	var victims []scoredTask
	total := 0.0
	for _, t := range tasks {
		if r := l.relief(class, t); r >= minRelief {
			victims = append(victims, scoredTask{t, r, disruptionCost(now, t)})
			total += r
		}
	}
	if len(victims) == 0 {
		return nil
	}
	if !p.unthrottledAt.IsZero() && now.Sub(p.unthrottledAt) < relapseWindow {
		p.unthrottleDelay = min(2*p.unthrottleDelay, maxUnthrottleDelay)
	}
	slices.SortStableFunc(victims, func(a, b scoredTask) int { return -cmp.Compare(a.relief/a.cost, b.relief/b.cost) })
	t := l.workerCounts[signalKey{id, class}]
	cause := fmt.Sprintf("%s on %s: %.1f of %.0f requests late, burn %.1f, class %.1f", class, id,
		t.late, t.requests, burn, l.classCounts[class].burn(errorBudget(l.targets[class])))
	var actions []Action
	got := 0.0
	for _, v := range victims {
		if v.Share <= minShare || v.Standing && v.cost > standingCost && burn < severeBurn {
			continue
		}
		share := max(v.Share/2, minShare)
		if burn >= extremeBurn {
			share = minShare
		}
		actions = append(actions, Action{
			Worker: id, Ref: v.Ref, Class: v.Class, ForClass: class, Kind: worker.ActionThrottle, Share: share,
			Reason: fmt.Sprintf("%s; %s has %.0f%% of the relief at price %.1f; share %.2f to %.2f",
				cause, v.Class, 100*v.relief/total, v.cost, v.Share, share),
		})
		// Half of the expected relief is enough for a mild excess.
		if got += v.relief; burn < severeBurn && got >= total/2 {
			break
		}
	}
	if len(actions) > 0 || l.evictions >= maxEvictions {
		return actions
	}
	best, kind := -1, worker.ActionCheckpoint
	for i, v := range victims {
		if v.Standing && v.Surplus <= 0 {
			continue // its own target is to stay alive
		}
		if v.Checkpointable || burn >= severeBurn {
			best = i
			break
		}
	}
	if best < 0 {
		return nil
	}
	v := victims[best]
	if !v.Checkpointable {
		kind = worker.ActionStop
	}
	l.evictions++
	return []Action{{
		Worker: id, Ref: v.Ref, Class: v.Class, ForClass: class, Kind: kind,
		Reason: fmt.Sprintf("%s; every harmful task is throttled to %.2f; %s has %.0f%% of the relief at price %.1f",
			cause, minShare, v.Class, 100*v.relief/total, v.cost),
	}}
}

// unthrottle doubles the share of the throttled tasks whose own targets suffer most
// for the harm that they do: of one, and of more while the expected rise is small.
func (l *Loop) unthrottle(now time.Time, p *workerState, tasks []Task) []Action {
	var throttled []scoredTask
	for _, t := range tasks {
		if t.Share >= 1 {
			continue
		}
		v := scoredTask{Task: t, cost: disruptionCost(now, t)}
		for _, c := range p.classes {
			v.relief = max(v.relief, l.relief(c, t))
		}
		throttled = append(throttled, v)
	}
	if len(throttled) == 0 {
		if !p.unthrottledAt.IsZero() && now.Sub(p.unthrottledAt) > relapseWindow {
			p.unthrottleDelay = initialUnthrottleDelay
		}
		return nil
	}
	slices.SortStableFunc(throttled, func(a, b scoredTask) int {
		return -cmp.Compare(a.cost/(a.relief+minRelief), b.cost/(b.relief+minRelief))
	})
	var actions []Action
	rise := 0.0
	for _, v := range throttled {
		share := min(2*v.Share, 1)
		rise += v.relief * (share/v.Share - 1)
		if len(actions) > 0 && rise > maxUnthrottleRise {
			break
		}
		actions = append(actions, Action{
			Worker: v.Worker, Ref: v.Ref, Class: v.Class, Kind: worker.ActionThrottle, Share: share,
			Reason: fmt.Sprintf("every class on %s has headroom for %s: burn below %.1f; share %.2f to %.2f",
				v.Worker, now.Sub(p.headroomSince).Round(time.Second), headroomBurn, v.Share, share),
		})
	}
	p.unthrottledAt, p.headroomSince = now, time.Time{}
	return actions
}

func (l *Loop) relief(requests unit.ClassID, t Task) float64 {
	return l.model.Relief(requests, t.Worker, t.Class, unit.Millicores(float64(t.Size.Cores)*t.Share))
}

func (l *Loop) ensureWorker(id unit.InstanceID) *workerState {
	p, ok := l.workers[id]
	if !ok {
		p = &workerState{unthrottleDelay: initialUnthrottleDelay}
		l.workers[id] = p
	}
	return p
}

// errorBudget returns the part of the requests that may be late.
func errorBudget(t spec.Target) float64 {
	return math.Max(1-t.Percentile/100, 1e-4)
}
