package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Place starts the waiting tasks that can start now, the most urgent steps first.
// It does nothing if no change calls for a pass or the last one is too recent.
func (c *Core) Place(now time.Time) {
	if !c.placementDue || now.Sub(c.lastPlacement) < placementInterval {
		return
	}
	c.startBudget.refill(now)
	if !c.startBudget.allowsPass() {
		return
	}
	c.lastPlacement = now
	c.placementDue = false
	c.readySteps = slices.DeleteFunc(c.readySteps, func(s *step) bool {
		s.inReadySteps = len(s.waiting) > 0 && s.occurrence.job.final == 0
		return !s.inReadySteps
	})
	c.beginPass()
	includeBestEffort := now.Sub(c.lastBestEffortPlacement) >= bestEffortInterval
	if includeBestEffort {
		c.lastBestEffortPlacement = now
		c.releaseReservations(now)
		c.assignTurns(now)
	} else {
		c.placementDue = true // a later pass handles best-effort tasks
	}
	slices.SortStableFunc(c.readySteps, func(a, b *step) int { return c.policy.compare(a, b, now) })
	c.unmetDemands = c.unmetDemands[:0]
	clear(c.openWorkers)
	c.startBudget.deferred = false
	behind := c.placeSteps(c.policy.arrange(c.readySteps, now), includeBestEffort, now)
	c.placeSteps(behind, includeBestEffort, now)
}

// placeSteps starts the waiting tasks of steps in the given order. It returns the steps that
// rank lower after a start and have more tasks, which go behind the others.
func (c *Core) placeSteps(steps []*step, includeBestEffort bool, now time.Time) (behind []*step) {
	charged := len(c.orders)
	defer func() { c.startBudget.charge(c.orders[charged:]) }()
	for _, s := range steps {
		c.startBudget.charge(c.orders[charged:])
		if charged = len(c.orders); !c.startBudget.allows() {
			c.placementDue = true
			break
		}
		if s.awaitsFullPass() && !includeBestEffort {
			continue
		}
		rank := c.policy.rank(s, now)
		c.placeSafely(s, now)
		if len(s.waiting) > 0 && c.policy.rank(s, now) > rank {
			behind = append(behind, s)
		}
	}
	return behind
}

// placementInterval is the least time between two passes. It bounds their cost when
// many workers report at once.
const placementInterval = 4 * time.Millisecond

// bestEffortInterval is the least time between two passes that include best-effort
// tasks, which cost more to place than others and tolerate longer waits.
const bestEffortInterval = 40 * time.Millisecond

// safeToStart reports whether no unresolved worker can still have a run, or an end that
// is not read, of the job's waiting tasks that an earlier owner started.
func (c *Core) safeToStart(j *job) bool {
	return len(c.unresolved) == 0 || j.createdInTerm
}

// placeSafely starts the waiting tasks of a step of which no unresolved worker can still
// have a run, until no worker takes one. The others keep their places.
func (c *Core) placeSafely(s *step, now time.Time) {
	if c.safeToStart(s.occurrence.job) {
		c.placeWaiting(s, now)
		return
	}
	var safe, unsafe []*task
	for _, t := range s.waiting {
		if c.mayHaveHiddenRun(t) {
			unsafe = append(unsafe, t)
		} else {
			safe = append(safe, t)
		}
	}
	if len(safe) == 0 {
		return
	}
	s.waiting = safe
	c.placeWaiting(s, now)
	s.waiting = append(unsafe, s.waiting...)
}

// placeWaiting starts the waiting tasks of a step until no worker takes one.
func (c *Core) placeWaiting(s *step, now time.Time) {
	if s.spec.Gang {
		c.placeGang(s, now)
		return
	}
	c.placeStep(s, now)
}

// placeStep starts the waiting tasks of a step until no worker takes one.
func (c *Core) placeStep(s *step, now time.Time) {
	var deferred []*task
	candidates := c.newCandidates(now)
	rank := c.policy.rank(s, now)
	for len(s.waiting) > 0 && c.policy.rank(s, now) == rank { // other tasks have another rank
		t := s.waiting[len(s.waiting)-1]
		if now.Before(t.earliestStart) {
			s.waiting = s.waiting[:len(s.waiting)-1]
			deferred = append(deferred, t)
			continue
		}
		unplaceable := c.isUnplaceable(s)
		if unplaceable && len(s.reserved) == 0 {
			if !c.isHeldBack(s, now) {
				c.reserve(s, t, now)
			}
			break
		}
		if c.holdsBack(s, 1, now) {
			break
		}
		var w *worker
		if unplaceable {
			w = c.bestReserved(t, now)
		} else {
			w = candidates.best(t)
		}
		if w == nil {
			c.recordUnplaceable(s)
			c.preempt(t, now)
			c.reserve(s, t, now)
			break
		}
		c.startTask(w, t, max(t.lastRun+1, c.firstRunNumber()), now)
		c.countStart(s)
		c.releaseReserved(s)
	}
	s.waiting = append(s.waiting, deferred...)
}

// unmetDemand is the demand of a step that no worker could meet in this pass.
type unmetDemand struct {
	service     unit.ServiceID
	image       *image // of a best-effort step, which is kept from workers by what it disturbs; nil for others
	longRunning bool   // so that quarantined workers were tried too
	needs       unit.Resources
}

// demandOf returns the demand of a step.
func demandOf(s *step) unmetDemand {
	d := unmetDemand{service: s.occurrence.job.spec.Queue.Service, longRunning: s.spec.LongRunning, needs: s.spec.Needs}
	if s.spec.BestEffort {
		d.image = s.image
	}
	return d
}

// includes reports whether no worker can meet the other demand either.
func (d unmetDemand) includes(other unmetDemand) bool {
	return d.service == other.service && d.image == other.image && (d.longRunning || !other.longRunning) && d.needs.Fits(other.needs)
}

// recordUnplaceable records that no worker takes a task of the step in this pass.
// Constrained steps are not recorded, as others may still fit where they do not.
func (c *Core) recordUnplaceable(s *step) {
	if !s.constrained() {
		c.unmetDemands = append(c.unmetDemands, demandOf(s))
		c.shortUntil = c.lastPlacement.Add(shortHold)
	}
}

// isUnplaceable reports whether earlier attempts in this pass show that no worker
// takes a task of the step, apart from those that are reserved for it.
func (c *Core) isUnplaceable(s *step) bool {
	demand := demandOf(s)
	return slices.ContainsFunc(c.unmetDemands, func(d unmetDemand) bool { return d.includes(demand) })
}

// constrained reports whether placement limits the step to some of its service's
// workers or prefers a rack.
func (s *step) constrained() bool {
	return s.occurrence.job.spec.Queue.Advice != nil || s.spec.Label != "" || s.spec.PerWorker > 0 || s.spec.Rack != ""
}

// startTask adds a run of a task to a worker and orders its start.
func (c *Core) startTask(w *worker, t *task, number graph.RunNumber, now time.Time) {
	j := t.job()
	pace := c.startPace(w, t.step, now)
	first := !j.started && !j.startOrdered
	j.startOrdered = true
	ticket, _ := t.step.ticketFor(w, now) // eligible has checked it
	if r := c.addRun(w, t, number, phaseQueued, now); pace < 100 {
		r.recordPace(pace)
		r.repeatOrderAt = now // ordered with the first report that shows the run
	}
	w.health.recordStart(now)
	c.issueOrder(Order{
		Ticket: ticket, FirstStart: first, JobDue: j.spec.Due(0),
		Kind: OrderStart, Worker: w.id, Incarnation: w.incarnation, Task: t.id(), Run: number, Capped: c.isCapped(j),
		Spec: t.job().spec.Spec, Checkpoint: t.checkpoint, Reason: ReasonReady, Relayed: c.startBudget.prefersRelay(),
	})
}

// eligible reports whether a task may start on a worker, apart from its capacity.
func (c *Core) eligible(w *worker, t *task, now time.Time) bool {
	if _, ok := t.step.ticketFor(w, now); !ok {
		return false
	}
	return c.eligibleWithoutTicket(w, t, now)
}

// eligibleWithoutTicket is like eligible but ignores the placement advice.
func (c *Core) eligibleWithoutTicket(w *worker, t *task, now time.Time) bool {
	return c.isOpen(w, now) && w.suits(t, now)
}

// isOpen reports whether tasks may start on a worker, apart from its health and whatever
// the task. No placement pass changes that.
func (c *Core) isOpen(w *worker, now time.Time) bool {
	return c.acceptsOrders(w, now) && len(w.unknownRuns) == 0 && c.durableWorkers[w.id]
}

// suits reports whether a task may start on a worker that is open, apart from its capacity
// and the placement advice.
func (w *worker) suits(t *task, now time.Time) bool {
	return !w.isReservedFrom(t.step, now) && w.accepts(t, now)
}

// accepts is like suits but ignores reservations.
func (w *worker) accepts(t *task, now time.Time) bool {
	s := t.step.spec
	switch {
	case !w.health.acceptsStarts(s, now):
		return false
	case s.Label != "" && !slices.Contains(w.listing.Labels, s.Label):
		return false
	case s.PerWorker > 0 && t.step.runsPerWorker[w.id] >= s.PerWorker:
		return false
	}
	return t.runOn(w) == nil
}

// fits reports whether a worker has the free capacity for a task of the step.
func (w *worker) fits(s *graph.Step) bool {
	return reservedResources(s).Fits(w.free())
}

// free returns the resources of a worker that no run has reserved.
func (w *worker) free() unit.Resources { return w.listing.Capacity.Sub(w.used) }

// Weights of the terms of a worker's score, in shares of its capacity.
const (
	otherRackPenalty     = 10.0 // the worker is outside the rack of the task's data
	avoidedWorkerPenalty = 5.0  // the worker is task.avoidedWorker
	servingBonus         = 0.1  // for a best-effort task beside serving tasks that it does not disturb
	ampleHeadroom        = 0.6  // pressure below the bound from which on headroom is not a concern
	lowHeadroomWeight    = 0.25 // for each unit of pressure below ampleHeadroom
	recentFailurePenalty = 2.0  // tasks have failed on the worker since its last success
	quarantinePenalty    = 30.0 // the worker is quarantined; it is taken only if no other one can be
)

// score returns how well a worker suits a task; higher is better.
func (c *Core) score(w *worker, t *task, now time.Time) float64 {
	s := t.step.spec
	capacity := float64(max(w.listing.Capacity.Cores, 1))
	var score float64
	if s.BestEffort {
		score = c.bestEffortScore(w, t, now)
	} else {
		// Tasks with reserved cores are packed tightly, which leaves other workers to
		// the best-effort tasks that would disturb serving ones.
		score = -float64(w.listing.Capacity.Cores-w.used.Cores-s.Needs.Cores) / capacity
		if s.TailTarget > 0 {
			score += w.servingAffinity(t.step.image)
		}
	}
	if s.Rack != "" && w.listing.Rack != s.Rack {
		score -= otherRackPenalty
	}
	if t.avoidedWorker == w.id {
		score -= avoidedWorkerPenalty
	}
	if w.health.failures > 0 {
		score -= recentFailurePenalty
	}
	if w.health.isQuarantined(now) {
		score -= quarantinePenalty
	}
	return score
}

// Scores of a worker for one more serving task, by the serving tasks already there.
// A mix of the same and other images scores 0.
const (
	sameImageScore  = 1.0  // all are of the same image
	noServingScore  = 0.5  // there are none
	otherImageScore = -0.5 // all are of other images
)

// servingAffinity returns how well a serving task of an image suits the serving tasks
// on a worker. Each serving image is disturbed by a different set of best-effort
// images, so a worker that serves a single image can take more kinds of best-effort
// tasks than one that serves a mix.
func (w *worker) servingAffinity(i *image) float64 {
	same, other := false, false
	for _, r := range w.runList {
		if r.task.step.spec.TailTarget > 0 {
			same = same || r.task.step.image == i
			other = other || r.task.step.image != i
		}
	}
	switch {
	case !same && !other:
		return noServingScore
	case !other:
		return sameImageScore
	case !same:
		return otherImageScore
	}
	return 0
}

// minSpeed is the expected speed below which a best-effort task waits: sharing the
// cores among more tasks would make all of them late.
const minSpeed = 0.85

// bestEffortScore returns how well a worker suits a best-effort task. It is mainly
// the speed at which the task would work there, from 0 to 1. Nothing starts beside a serving
// task that is over its target, whatever the interference model expects: each start would
// disturb it until it is paused.
func (c *Core) bestEffortScore(w *worker, t *task, now time.Time) float64 {
	speed := c.bestEffortSpeed(w, t.step, now)
	if speed < t.step.leastSpeed() || !w.overTargetSince.IsZero() {
		return unfitScore
	}
	// Workers whose serving tasks keep ample headroom come first. This leaves workers
	// without serving tasks to the tasks that would disturb serving ones.
	if headroom := c.remainingHeadroom(w, t.step, now); headroom < ampleHeadroom {
		speed -= lowHeadroomWeight * float64(ampleHeadroom-headroom)
	} else if c.bestEffortViewOf(w, now).serving {
		speed += servingBonus
	}
	return speed
}

// unfitScore is the score of a worker on which a task should not start now. A score
// at or below half of it counts as unfit, since other terms may have been added.
const unfitScore = -100.0

// bestEffortSpeed returns the expected speed of a task of a best-effort step on a
// worker, as a share of full speed.
func (c *Core) bestEffortSpeed(w *worker, s *step, now time.Time) float64 {
	v := c.bestEffortViewOf(w, now)
	need := max(s.spec.Needs.Cores, 1)
	speed := min(1, float64(v.available)/float64(v.used+need))
	return min(speed, c.allowedShare(w, s, now)/w.shareOf(need))
}
