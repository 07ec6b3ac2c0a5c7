package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Place starts what can be started now, the most urgent steps first.
func (c *Core) Place(now time.Time) {
	if !c.placementDue || now.Sub(c.lastPlacement) < placementInterval {
		return
	}
	c.lastPlacement = now
	c.placementDue = false
	c.readySteps = slices.DeleteFunc(c.readySteps, func(s *step) bool {
		s.inReadySteps = len(s.waiting) > 0 && s.occurrence.job.final == 0
		return !s.inReadySteps
	})
	slices.SortStableFunc(c.readySteps, func(a, b *step) int { return c.policy.compare(a, b, now) })
	fills := now.Sub(c.lastBestEffortPlacement) >= bestEffortInterval
	if fills {
		c.lastBestEffortPlacement = now
	} else {
		c.placementDue = true // filling tasks are left to a later call
	}
	clear(c.unplaceableImages)
	c.unmetDemands = c.unmetDemands[:0]
	for _, s := range c.readySteps {
		if !c.safeToStart(s.occurrence.job, now) || (s.spec.BestEffort && !fills) {
			continue
		}
		if s.spec.Gang {
			c.placeGang(s, now)
			continue
		}
		c.placeStep(s, now)
	}
}

// placementInterval is the time between two passes. It bounds their cost when many
// workers report at once.
const placementInterval = 4 * time.Millisecond

// bestEffortInterval is the time between two attempts to place filling tasks, which
// cost more to place than others and wait longer without harm.
const bestEffortInterval = 40 * time.Millisecond

// compareUrgency orders steps: by priority, then by rank, then by objective, the
// earliest first.
func compareUrgency(a, b *step, now time.Time) int {
	ja, jb := a.occurrence.job, b.occurrence.job
	return cmp.Or(
		cmp.Compare(ja.spec.Queue.Priority, jb.spec.Queue.Priority),
		cmp.Compare(a.rank(now), b.rank(now)),
		a.occurrence.softDeadline.Compare(b.occurrence.softDeadline),
	)
}

// rank orders steps of one priority. A task that lasts does not give its cores
// back, so on a full shard it would take them from short tasks for good; those
// go first, unless they come too late to be of use.
func (s *step) rank(now time.Time) int {
	switch {
	case s.spec.LongRunning:
		return 1
	case s.occurrence.tooLate(now):
		return 2
	}
	return 0
}

// safeToStart reports whether no earlier owner's run of the job's waiting tasks can
// still be on a worker that has not reported.
func (c *Core) safeToStart(j *job, now time.Time) bool {
	return len(c.unresolved) == 0 || !now.Before(c.inheritedLeasesExpireAt) || j.createdInTerm
}

func (c *Core) placeStep(s *step, now time.Time) {
	var held []*task
	for len(s.waiting) > 0 {
		t := s.waiting[len(s.waiting)-1]
		if now.Before(t.earliestStart) {
			s.waiting = s.waiting[:len(s.waiting)-1]
			held = append(held, t)
			continue
		}
		if c.isUnplaceable(s) {
			break
		}
		w := c.chooseWorker(t, now)
		if w == nil {
			c.recordUnplaceable(s)
			c.preempt(t, now)
			break
		}
		c.startTask(w, t, max(t.lastRun+1, c.firstRunNumber()), now)
	}
	s.waiting = append(s.waiting, held...)
}

// unmetDemand is a step for which no worker had room in this pass.
type unmetDemand struct {
	service unit.ServiceID
	needs   unit.Resources
}

// recordUnplaceable notes that no worker takes a task of the step now. A step that is bound to
// some workers says nothing of others.
func (c *Core) recordUnplaceable(s *step) {
	switch {
	case s.constrained():
	case s.spec.BestEffort:
		c.unplaceableImages[s.image] = true
	default:
		c.unmetDemands = append(c.unmetDemands, unmetDemand{s.occurrence.job.spec.Queue.Service, s.spec.Needs})
	}
}

// isUnplaceable reports whether it is known from this pass that no worker takes a task
// of the step.
func (c *Core) isUnplaceable(s *step) bool {
	if s.spec.BestEffort {
		return c.unplaceableImages[s.image]
	}
	service := s.occurrence.job.spec.Queue.Service
	for _, f := range c.unmetDemands {
		if f.service == service && f.needs.Fits(s.spec.Needs) {
			return true
		}
	}
	return false
}

// constrained reports whether the step may run on some workers only.
func (s *step) constrained() bool {
	return s.occurrence.job.spec.Queue.Advice != nil || s.spec.Label != "" || s.spec.PerWorker > 0 || s.spec.Rack != ""
}

// startTask orders the startTask of a task on a worker.
func (c *Core) startTask(w *worker, t *task, number graph.RunNumber, now time.Time) {
	j := t.job()
	first := !j.started
	ticket, _ := t.step.ticketFor(w, now) // eligible has seen to it
	c.addRun(w, t, number, phaseStarting, now)
	w.health.recordStart(now)
	c.issueOrder(Order{
		Ticket: ticket, FirstStart: first, JobDue: j.spec.Due(0),
		Kind: OrderStart, Worker: w.id, Incarnation: w.incarnation, Task: t.id(), Run: number,
		Spec: t.job().spec.Spec, Checkpoint: t.checkpoint, Reason: ReasonReady,
	})
}

// chooseWorker returns the best worker for a task, or nil if none has room.
func (c *Core) chooseWorker(t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.workersByService[t.job().spec.Queue.Service] {
		if !c.eligible(w, t, now) || !w.fits(t.step.spec) {
			continue
		}
		score := c.policy.score(w, t, now)
		if score <= unfitScore/2 {
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// eligible reports whether a worker may run a task, apart from its room.
func (c *Core) eligible(w *worker, t *task, now time.Time) bool {
	if _, ok := t.step.ticketFor(w, now); !ok {
		return false
	}
	return c.eligibleWithoutTicket(w, t, now)
}

// eligibleWithoutTicket is eligible but for the placement advice.
func (c *Core) eligibleWithoutTicket(w *worker, t *task, now time.Time) bool {
	s := t.step.spec
	switch {
	case w.listing.Draining, c.evacuatedZones[w.listing.Zone], !w.vacatingSince.IsZero():
		return false
	case w.reportRequestedAt.IsZero(), now.Sub(w.reportRequestedAt) > maxReportAge:
		return false
	case w.unknownRuns > 0, !c.durableWorkers[w.id]:
		return false
	case !w.health.acceptsStarts(now):
		return false
	case s.Label != "" && !slices.Contains(w.listing.Labels, s.Label):
		return false
	case s.PerWorker > 0 && t.step.runsPerWorker[w.id] >= s.PerWorker:
		return false
	}
	for _, r := range t.runs {
		if r.worker == w {
			return false
		}
	}
	return true
}

// fits reports whether a worker has room for a task of the step.
func (w *worker) fits(s *graph.Step) bool {
	return reservedResources(s).Fits(w.listing.Capacity.Sub(w.used))
}

// Weights of the parts of a worker's score, in shares of its capacity.
const (
	otherRackPenalty     = 10.0 // another rack than that of the data
	avoidedWorkerPenalty = 5.0  // the worker on which the task failed last
	servingBonus         = 0.1  // for a filling task beside serving tasks that it does not disturb
	ampleHeadroom        = 0.6  // of a pressure below its bound
	lowHeadroomWeight    = 0.25
	recentFailurePenalty = 2.0 // a worker that has failed a task lately
)

// score returns how well a worker suits a task; more is better.
func (c *Core) score(w *worker, t *task, now time.Time) float64 {
	s := t.step.spec
	capacity := float64(max(w.listing.Capacity.Cores, 1))
	var score float64
	if s.BestEffort {
		score = c.bestEffortScore(w, t, now)
	} else {
		// Tasks with cores of their own are packed, so that some workers are left
		// to the filling tasks that would disturb serving ones.
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
	return score
}

// Weights of the serving tasks that a worker has already, for one more.
const (
	sameImageScore  = 1.0  // all of the same image
	noServingScore  = 0.5  // none
	otherImageScore = -0.5 // none of the same image
)

// servingAffinity returns how well a serving task of an image suits those on a worker.
// Each image is disturbed by other filling images, so that a worker whose serving
// tasks are all of one image can take more kinds of filling tasks than one with a
// mix.
func (w *worker) servingAffinity(i *image) float64 {
	same, other := false, false
	for _, r := range w.runs {
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

// minSpeed is the expected speed below which a filling task waits: sharing the
// cores among more tasks would make all of them late.
const minSpeed = 0.85

// bestEffortScore returns how well a worker suits a filling task, mainly the speed at
// which it would work there, from 0 to 1.
func (c *Core) bestEffortScore(w *worker, t *task, now time.Time) float64 {
	speed := c.bestEffortSpeed(w, t.step, now)
	if speed < minSpeed {
		return unfitScore
	}
	// Full speed beside serving tasks with headroom leaves the workers without any
	// to the tasks that would disturb them.
	if headroom := c.remainingHeadroom(w, t.step, now); headroom < ampleHeadroom {
		speed -= lowHeadroomWeight * float64(ampleHeadroom-headroom)
	} else if c.bestEffortViewOf(w, now).serving {
		speed += servingBonus
	}
	return speed
}

// unfitScore is the score of a worker on which a task should not start for now.
const unfitScore = -100.0

// bestEffortSpeed returns the expected speed of a task of a filling step on a worker.
func (c *Core) bestEffortSpeed(w *worker, s *step, now time.Time) float64 {
	v := c.bestEffortViewOf(w, now)
	need := max(s.spec.Needs.Cores, 1)
	speed := min(1, float64(v.available)/float64(v.used+need))
	return min(speed, c.allowedShare(w, s, now)/w.shareOf(need))
}
