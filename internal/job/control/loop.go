// Package control implements the control loop that keeps classes of
// latency-critical requests within their targets by acting on the tasks on the same
// workers: it throttles them, then checkpoints them, then stops them. It also
// chooses the tasks to preempt for a pending one. The package does no I/O and reads
// no clock: its actions depend only on its state, the reports and the time that it
// is given.
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

// InterferenceModel estimates how a task slows down the requests on its worker.
type InterferenceModel interface {
	// Relief returns the expected decrease of the logarithm of the latency of a
	// class of requests on a worker if the batch class uses that many cores less.
	Relief(requests unit.ClassID, id unit.InstanceID, batch unit.ClassID, cores unit.Millicores) float64
}

// Signal is the part of a report about one class of requests on one worker. It
// arrives some time after the window that it covers.
type Signal struct {
	Worker unit.InstanceID
	Class  unit.ClassID
	// From and Until delimit the reported window.
	From, Until time.Time
	Requests    int
	// Late counts the requests that took longer than the bound of the target.
	Late int
}

// Task is a running task as the scheduler knows it.
type Task struct {
	Ref    worker.Ref
	Worker unit.InstanceID
	Class  unit.ClassID
	// Size is what the task has reserved.
	Size unit.Resources
	// Share is the fraction of its cores that the task may use; 1 if it is not
	// throttled.
	Share float64
	// UnsavedWork is the work since the last checkpoint.
	UnsavedWork time.Duration
	// Remaining is the expected remaining run time at full share; 0 if the task
	// runs until it is stopped.
	Remaining time.Duration
	// Deadline follows from the target of the class; zero if there is none.
	Deadline time.Time
	// Checkpointable is set if the task can write a checkpoint.
	Checkpointable bool
	// Standing is set for a replica of a standing class.
	Standing bool
	// Surplus is the number of running replicas above the target of the zone, for
	// standing tasks only.
	Surplus int
}

// Action is one change to a running task.
type Action struct {
	Worker unit.InstanceID
	Ref    worker.Ref
	// Class is the class of the task.
	Class unit.ClassID
	// ForClass is the class that the action serves: the class of requests that
	// misses its target, or the class of the pending task. It is empty if the
	// action raises the share of a throttled task.
	ForClass unit.ClassID
	Kind     worker.Action
	// Share is the new share of a throttled task.
	Share  float64
	Reason string
}

const (
	// settleDelay is the time that an action needs to reach the worker and that the
	// request queue there needs to drain. Only a report whose window began later
	// shows the effect of the action.
	settleDelay = 2 * time.Second
	// settleTimeout is the time after which an action counts as visible even without
	// a report: two report intervals and the lag of a report.
	settleTimeout = 20 * time.Second

	// minShare is the lowest share that a task is throttled to. Below it a task
	// makes so little progress that it is better run elsewhere.
	minShare = 0.25
	// relaxedBurn is the burn rate that a worker may have while its class as a whole
	// uses less than half of its budget.
	relaxedBurn = 3.0
	// At severeBurn every harmful task on a worker is throttled at once, and at
	// extremeBurn directly to minShare, since each further step has to wait until
	// a report shows the effect of the one before.
	severeBurn  = 6.0
	extremeBurn = 15.0
	// headroomBurn is the burn rate below which a class has headroom, so that the
	// shares of throttled tasks are raised again.
	headroomBurn = 0.5
	// minHeadroomRequests is the least number of requests that proves headroom.
	minHeadroomRequests = 50

	// initialUnthrottleDelay is the time that headroom must last before shares are
	// raised. The delay doubles, up to maxUnthrottleDelay, if a class misses its
	// target within relapseWindow after that.
	initialUnthrottleDelay = 10 * time.Second
	maxUnthrottleDelay     = 160 * time.Second
	relapseWindow          = 60 * time.Second

	// maxUnthrottleRise bounds the expected rise of the logarithm of the latency
	// when the shares of several tasks are raised in one step.
	maxUnthrottleRise = 0.1
	// minRelief is the relief below which acting on a task has no useful effect.
	minRelief = 0.02
	// maxEvictions bounds the checkpoints and stops within one settleTimeout, since
	// the evicted tasks load other workers.
	maxEvictions = 2
)

type signalKey struct {
	worker unit.InstanceID
	class  unit.ClassID
}

type workerState struct {
	// lastAction is zero if there was none.
	lastAction time.Time
	// lastReport is the end of the window of the newest report.
	lastReport time.Time
	// reported is set if a report that shows the last action has been counted.
	reported bool
	// headroomSince is when all classes began to have headroom; zero if not all
	// have it.
	headroomSince   time.Time
	unthrottleDelay time.Duration
	// unthrottledAt is when shares were last raised; zero if never.
	unthrottledAt time.Time
	classes       []unit.ClassID
}

// Loop compares the latency of the classes of requests with their targets and
// decides on actions. The zero value is not usable; call New.
type Loop struct {
	model        InterferenceModel
	targets      map[unit.ClassID]spec.Target
	workerCounts map[signalKey]*decayedCounts
	classCounts  map[unit.ClassID]*decayedCounts
	workers      map[unit.InstanceID]*workerState
	// evictions counts the evictions since evictionsSince.
	evictions      int
	evictionsSince time.Time
}

// New returns a loop without targets.
func New(model InterferenceModel) *Loop {
	return &Loop{
		model:        model,
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

// Observe counts a report. If its window began before the last action on the worker
// took effect, the report counts for the class but not for the worker.
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
	w := l.ensureWorker(s.Worker)
	if s.Until.After(w.lastReport) {
		w.lastReport = s.Until
	}
	if !w.lastAction.IsZero() && s.From.Before(w.lastAction.Add(settleDelay)) {
		return
	}
	w.reported = true
	k := signalKey{s.Worker, s.Class}
	counts, ok := l.workerCounts[k]
	if !ok {
		counts = &decayedCounts{}
		l.workerCounts[k] = counts
		w.classes = append(w.classes, s.Class)
		slices.Sort(w.classes)
	}
	counts.add(s.Until, s.Requests, s.Late, workerWindow)
}

// Remove discards the state of a worker that no longer exists.
func (l *Loop) Remove(id unit.InstanceID) {
	if w, ok := l.workers[id]; ok {
		for _, c := range w.classes {
			delete(l.workerCounts, signalKey{id, c})
		}
		delete(l.workers, id)
	}
}

// Settled reports whether the effect of the last action on a worker is visible in the
// reports, or settleTimeout has passed since.
func (l *Loop) Settled(now time.Time, id unit.InstanceID) bool {
	w, ok := l.workers[id]
	return !ok || w.settled(now)
}

// RecordAction records an action on a worker that did not come from Step.
func (l *Loop) RecordAction(now time.Time, id unit.InstanceID) {
	l.resetAfterAction(now, id, l.ensureWorker(id))
}

func (w *workerState) settled(now time.Time) bool {
	return w.lastAction.IsZero() || w.reported || now.Sub(w.lastAction) >= settleTimeout
}

// resetAfterAction records an action and discards the counts of the worker, which are
// from before it.
func (l *Loop) resetAfterAction(now time.Time, id unit.InstanceID, w *workerState) {
	w.lastAction, w.reported = now, false
	for _, c := range w.classes {
		*l.workerCounts[signalKey{id, c}] = decayedCounts{}
	}
}

// Step returns the actions to take on the running tasks. The tasks of one worker must
// be adjacent.
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

// stepWorker returns the actions to take on the tasks of one worker.
func (l *Loop) stepWorker(now time.Time, id unit.InstanceID, tasks []Task) []Action {
	w := l.ensureWorker(id)
	if !w.settled(now) {
		return nil // the effect of the last action is not visible yet
	}
	var worstClass unit.ClassID
	worstBurn, hasHeadroom := 0.0, true
	for _, c := range w.classes {
		counts := l.workerCounts[signalKey{id, c}]
		budget := errorBudget(l.targets[c])
		burn := counts.burn(budget)
		limit := 1.0
		if l.classCounts[c].burn(budget) < headroomBurn {
			limit = relaxedBurn
		}
		if counts.exceeds(budget, limit) && burn > worstBurn {
			worstClass, worstBurn = c, burn
		}
		hasHeadroom = hasHeadroom && burn < headroomBurn && counts.requests >= minHeadroomRequests
	}
	if now.Sub(w.lastReport) > settleTimeout {
		// The worker serves no requests, so its tasks cannot delay any.
		worstBurn, hasHeadroom = 0, true
	}
	var actions []Action
	switch {
	case worstBurn > 0:
		w.headroomSince = time.Time{}
		actions = l.throttleOrEvict(now, w, id, worstClass, worstBurn, tasks)
	case !hasHeadroom:
		w.headroomSince = time.Time{}
	case w.headroomSince.IsZero():
		w.headroomSince = now
	case now.Sub(w.headroomSince) >= w.unthrottleDelay:
		actions = l.unthrottle(now, w, tasks)
	}
	if len(actions) > 0 {
		l.resetAfterAction(now, id, w)
	}
	return actions
}

// scoredTask is a task with the expected relief and the cost of acting on it.
type scoredTask struct {
	Task
	relief, cost float64
}

// throttleOrEvict acts on the tasks with the highest ratio of relief to cost. It
// throttles as long as a harmful task is above minShare, and evicts after that.
func (l *Loop) throttleOrEvict(now time.Time, w *workerState, id unit.InstanceID, class unit.ClassID, burn float64, tasks []Task) []Action {
	var harmful []scoredTask
	totalRelief := 0.0
	for _, t := range tasks {
		if r := l.relief(class, t); r >= minRelief {
			harmful = append(harmful, scoredTask{t, r, disruptionCost(now, t)})
			totalRelief += r
		}
	}
	if len(harmful) == 0 {
		return nil
	}
	if !w.unthrottledAt.IsZero() && now.Sub(w.unthrottledAt) < relapseWindow {
		w.unthrottleDelay = min(2*w.unthrottleDelay, maxUnthrottleDelay)
	}
	slices.SortStableFunc(harmful, func(a, b scoredTask) int { return -cmp.Compare(a.relief/a.cost, b.relief/b.cost) })
	counts := l.workerCounts[signalKey{id, class}]
	cause := fmt.Sprintf("%s on %s: %.1f of %.0f requests late, burn %.1f, class %.1f", class, id,
		counts.late, counts.requests, burn, l.classCounts[class].burn(errorBudget(l.targets[class])))
	var actions []Action
	expectedRelief := 0.0
	for _, v := range harmful {
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
				cause, v.Class, 100*v.relief/totalRelief, v.cost, v.Share, share),
		})
		// Below severeBurn, half of the total relief is expected to be enough.
		if expectedRelief += v.relief; burn < severeBurn && expectedRelief >= totalRelief/2 {
			break
		}
	}
	if len(actions) > 0 || l.evictions >= maxEvictions {
		return actions
	}
	victim, kind := -1, worker.ActionCheckpoint
	for i, v := range harmful {
		if v.Standing && v.Surplus <= 0 {
			continue // an eviction would take the class below its own target
		}
		if v.Checkpointable || burn >= severeBurn {
			victim = i
			break
		}
	}
	if victim < 0 {
		return nil
	}
	v := harmful[victim]
	if !v.Checkpointable {
		kind = worker.ActionStop
	}
	l.evictions++
	return []Action{{
		Worker: id, Ref: v.Ref, Class: v.Class, ForClass: class, Kind: kind,
		Reason: fmt.Sprintf("%s; every harmful task is throttled to %.2f; %s has %.0f%% of the relief at price %.1f",
			cause, minShare, v.Class, 100*v.relief/totalRelief, v.cost),
	}}
}

// unthrottle doubles the share of the throttled tasks with the highest ratio of cost
// to relief: of one task, and of further ones while the expected rise of the latency
// is below maxUnthrottleRise.
func (l *Loop) unthrottle(now time.Time, w *workerState, tasks []Task) []Action {
	var throttled []scoredTask
	for _, t := range tasks {
		if t.Share >= 1 {
			continue
		}
		v := scoredTask{Task: t, cost: disruptionCost(now, t)}
		for _, c := range w.classes {
			v.relief = max(v.relief, l.relief(c, t))
		}
		throttled = append(throttled, v)
	}
	if len(throttled) == 0 {
		if !w.unthrottledAt.IsZero() && now.Sub(w.unthrottledAt) > relapseWindow {
			w.unthrottleDelay = initialUnthrottleDelay
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
				v.Worker, now.Sub(w.headroomSince).Round(time.Second), headroomBurn, v.Share, share),
		})
	}
	w.unthrottledAt, w.headroomSince = now, time.Time{}
	return actions
}

// relief returns the expected decrease of the logarithm of the latency of a class of
// requests if the task stopped using its cores.
func (l *Loop) relief(requests unit.ClassID, t Task) float64 {
	return l.model.Relief(requests, t.Worker, t.Class, unit.Millicores(float64(t.Size.Cores)*t.Share))
}

// ensureWorker returns the state of a worker and creates it if there is none.
func (l *Loop) ensureWorker(id unit.InstanceID) *workerState {
	w, ok := l.workers[id]
	if !ok {
		w = &workerState{unthrottleDelay: initialUnthrottleDelay}
		l.workers[id] = w
	}
	return w
}

// errorBudget returns the fraction of the requests that may be late.
func errorBudget(t spec.Target) float64 {
	return math.Max(1-t.Percentile/100, 1e-4)
}
