package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// Conditions for moves of slowed runs, as in the scheduler.
const (
	maxSlowedSpeed = 0.4
	minSlowedTime  = 1200 * time.Millisecond
	minMoveSpeed   = 0.7
	maxMoves       = 8
	moreMoves      = workers / 16
	lessSlowedTime = 900 * time.Millisecond
	maxMovedShare  = 0.9 // of a task's work that is done
)

// placed is a run and its worker.
type placed struct {
	worker *worker
	run    *run
}

// filter returns the runs that a condition holds for.
func (d *day) filter(holds func(r *run) bool) []placed {
	var found []placed
	for _, w := range d.workers {
		if w.lost {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.job.shape.bestEffort && r.task.step.job.Checkpoints && holds(r) {
				found = append(found, placed{w, r})
			}
		}
	}
	return found
}

// move stops slowed runs that can work faster elsewhere.
func (d *day) move() {
	most, least := maxMoves, minSlowedTime
	if d.policy.moveMore {
		most, least = moreMoves, lessSlowedTime
	}
	slowed := d.filter(func(r *run) bool {
		return r.slowed > 0 && d.now-r.slowed >= least && float64(r.left) >= (1-maxMovedShare)*float64(r.task.took)
	})
	if d.policy.moveByPlace {
		slices.SortStableFunc(slowed, func(a, b placed) int {
			return cmp.Compare(a.run.task.step.job.place.Key, b.run.task.step.job.place.Key)
		})
	}
	for i, p := range slowed {
		if i == most || !d.hasRoom(p) {
			return
		}
		d.stop(p)
	}
}

// hasRoom reports whether another worker would run the task of a run at a good speed.
func (d *day) hasRoom(p placed) bool {
	s := p.run.task.step.job.shape
	return slices.ContainsFunc(d.workers, func(w *worker) bool {
		return w != p.worker && !w.lost && s.reserved().Fits(capacity.Sub(w.used)) &&
			w.bestEffortCores()/(w.batch+float64(s.needs.Cores)) >= minMoveSpeed
	})
}

// stopRuns stops runs that hold what others would use better.
func (d *day) stopRuns() {
	if after := d.policy.releaseAfter; after > 0 {
		for _, p := range d.filter(func(r *run) bool { return r.paused > 0 && d.now-r.paused >= after }) {
			d.stop(p)
		}
	}
	if !d.policy.stopUseless || !d.waits(overload.Timely) {
		return
	}
	useless := d.filter(func(r *run) bool { return r.task.step.job.class == overload.Useless })
	for _, p := range useless[:min(len(useless), maxMoves)] {
		d.stop(p)
	}
}

// waits reports whether batch work of a class waits.
func (d *day) waits(c overload.Class) bool {
	return slices.ContainsFunc(d.open, func(j *job) bool {
		return j.Kind == Batch && j.class == c && len(j.current.waiting) > 0
	})
}

// stopTime is the time from the decision to stop a run until its task can start elsewhere.
const stopTime = 300 * time.Millisecond

// stopped is a run whose stop is under way.
type stopped struct {
	run *run
	at  time.Duration // when its task can start elsewhere
}

// stop stops a run. Its task waits again, with its checkpoint, once the worker has ended it.
func (d *day) stop(p placed) {
	p.worker.remove(p.run)
	p.worker.release(p.run)
	d.stopping = append(d.stopping, stopped{p.run, d.now + stopTime})
	d.stops++
}

// endStops requeues the tasks of the runs whose stops have ended.
func (d *day) endStops() {
	for len(d.stopping) > 0 && d.stopping[0].at <= d.now {
		d.requeue(d.stopping[0].run)
		d.stopping = d.stopping[1:]
	}
}
