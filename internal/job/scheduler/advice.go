package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Ticket permits the tasks of one step to start on one worker for a limited time.
type Ticket string

// adviceAnswer is the answer of the placement advice for one step and one worker.
type adviceAnswer struct {
	ticket      Ticket // empty if the worker must not run the step
	incarnation Incarnation
	expiresAt   time.Time
}

// AdviceRequest asks the placement advice which of the named workers may run a step.
type AdviceRequest struct {
	Step         graph.Task // any task of the step
	Workers      []unit.InstanceID
	RequestedAt  time.Time
	AnswerDue    time.Time // when the service answers by the queue's configuration, if it is idle
	incarnations []Incarnation
}

// Bounds of the workers named in a request. Each one adds to the time of the answer.
const (
	minWorkersAsked     = 6
	maxWorkersAsked     = 30
	workersAskedPerTask = 2 // for each waiting task, within the bounds above
	// adviceRetryDelay is the shortest time before a step is asked for again after a failed
	// request. A request that took longer delays the next one by as long, so that other
	// steps have at least half of the time.
	adviceRetryDelay = 500 * time.Millisecond
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used,
	// since a start order needs time to arrive.
	ticketExpiryMargin = 150 * time.Millisecond
)

// NextAdviceRequest returns the next request for the placement advice, if one is
// needed: for the most urgent step for which some worker can be asked. A step without such a
// worker, as it fits on none or the approved ones are full, does not keep others from
// asking. The caller sends one request at a time.
func (c *Core) NextAdviceRequest(now time.Time) (AdviceRequest, bool) {
	best := c.nextReadyStep(now)
	if best == nil {
		best = c.nextUpcomingStep(now)
	}
	if best == nil {
		return AdviceRequest{}, false
	}
	return c.buildAdviceRequest(best, now), true
}

// nextReadyStep returns the most urgent ready step that needs advice.
func (c *Core) nextReadyStep(now time.Time) *step {
	var best *step
	for _, s := range c.readySteps {
		if s.occurrence.job.spec.Queue.Advice == nil || len(s.waiting) == 0 || c.isHeldBack(s, now) {
			continue
		}
		if (best == nil || c.policy.compare(s, best, now) < 0) && c.needsAdvice(s, now) {
			best = s
		}
	}
	return best
}

// adviceLeadShare is how long before a step becomes ready the advice is asked for it,
// as a share of a ticket's validity. The rest of the validity must last until all
// tasks of the step have started.
const adviceLeadShare = 0.5

// nextUpcomingStep returns the most urgent step that becomes ready soon and needs advice.
// Asking ahead lets its tasks start as soon as the steps before it are complete.
func (c *Core) nextUpcomingStep(now time.Time) *step {
	var best *step
	for _, j := range c.openJobs {
		if j.spec.Queue.Advice == nil || j.final != 0 {
			continue
		}
		lead := time.Duration(adviceLeadShare * float64(j.spec.Queue.Advice.TicketValidity))
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.incompleteDeps == 0 || len(s.waiting) == 0 || c.timeUntilReady(s) > lead || c.isHeldBack(s, now) {
					continue
				}
				if (best == nil || cmp.Or(c.policy.compare(s, best, now), compareStepIDs(s, best)) < 0) && c.needsAdvice(s, now) {
					best = s
				}
			}
		}
	}
	return best
}

// compareStepIDs orders steps by id, so that the choice among equals is deterministic.
func compareStepIDs(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.occurrence.job.spec.ID, b.occurrence.job.spec.ID),
		cmp.Compare(a.occurrence.index, b.occurrence.index),
		cmp.Compare(a.index, b.index),
	)
}

// timeUntilReady returns how long the dependencies of a step are still expected to
// take, without waits for capacity.
func (c *Core) timeUntilReady(s *step) time.Duration {
	var longest time.Duration
	for _, dep := range s.spec.After {
		earlier := s.occurrence.steps[dep]
		work := c.expectedDuration(earlier)
		for n := range earlier.tasks {
			if t := &earlier.tasks[n]; !t.done {
				longest = max(longest, t.remainingWork(work))
			}
		}
		if earlier.incompleteDeps > 0 {
			longest += c.timeUntilReady(earlier)
		}
	}
	return longest
}

// remainingWork returns the part of the given duration of a task that is left, by the
// progress of its runs.
func (t *task) remainingWork(work time.Duration) time.Duration {
	left := work
	for _, r := range t.runs {
		if r.progressPercent > 0 {
			left = min(left, work*time.Duration(100-r.progressPercent)/100)
		}
	}
	return left
}

// needsAdvice reports whether no worker with a usable ticket can take the step's next task,
// while another one could and can be asked for. For a gang, workers with tickets have to take
// all of its tasks.
func (c *Core) needsAdvice(s *step, now time.Time) bool {
	if now.Before(s.adviceRetryAt) {
		return false
	}
	if s.spec.Gang {
		return c.chooseGang(s, now, c.eligible) == nil && c.chooseGang(s, now, c.mayBecomeEligible) != nil
	}
	t := s.waiting[len(s.waiting)-1]
	askable := false
	for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
		if !w.fits(s.spec) || !c.eligibleWithoutTicket(w, t, now) {
			continue
		}
		if _, ok := s.ticketFor(w, now); ok {
			return false
		}
		askable = askable || s.mayAsk(w, now)
	}
	return askable
}

// mayBecomeEligible is like eligible but also accepts a worker that the advice may approve.
func (c *Core) mayBecomeEligible(w *worker, t *task, now time.Time) bool {
	_, ok := t.step.ticketFor(w, now)
	return (ok || t.step.mayAsk(w, now)) && c.eligibleWithoutTicket(w, t, now)
}

// mayAsk reports whether the advice has not answered for this life of a worker, or its
// ticket has expired.
func (s *step) mayAsk(w *worker, now time.Time) bool {
	answer, ok := s.advice[w.id]
	return !ok || answer.incarnation != w.incarnation || (answer.ticket != "" && !answer.usable(now))
}

// buildAdviceRequest returns a request that names the best workers for a step among
// those without a valid answer.
func (c *Core) buildAdviceRequest(s *step, now time.Time) AdviceRequest {
	t := s.waiting[len(s.waiting)-1]
	type candidate struct {
		worker *worker
		score  float64
	}
	var candidates []candidate
	for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
		if s.mayAsk(w, now) && c.eligibleWithoutTicket(w, t, now) && w.fits(s.spec) {
			candidates = append(candidates, candidate{w, c.policy.score(w, t, now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.worker.id, b.worker.id))
	})
	limit := min(max(workersAskedPerTask*len(s.waiting), minWorkersAsked), maxWorkersAsked)
	a := AdviceRequest{Step: t.id(), RequestedAt: now}
	for _, chosen := range candidates[:min(len(candidates), limit)] {
		a.Workers = append(a.Workers, chosen.worker.id)
		a.incarnations = append(a.incarnations, chosen.worker.incarnation)
	}
	advice := s.occurrence.job.spec.Queue.Advice
	a.AnswerDue = now.Add(advice.AnswerTime + time.Duration(len(a.Workers))*advice.TimePerWorker)
	return a
}

// HandleAdvice applies the answer to a request: the tickets of the approved workers
// and how long they are valid. A worker that is not approved must not run the step
// during its whole incarnation.
func (c *Core) HandleAdvice(a AdviceRequest, approved map[unit.InstanceID]Ticket, valid time.Duration, now time.Time) {
	t := c.lookupTask(a.Step)
	if t == nil {
		return
	}
	if t.step.advice == nil {
		t.step.advice = map[unit.InstanceID]adviceAnswer{}
	}
	for i, id := range a.Workers {
		t.step.advice[id] = adviceAnswer{ticket: approved[id], incarnation: a.incarnations[i], expiresAt: now.Add(valid - ticketExpiryMargin)}
	}
	c.placementDue = true
}

// HandleAdviceFailure records that a request had no answer, or one that tells nothing. Other
// steps are asked for before its step is again.
func (c *Core) HandleAdviceFailure(a AdviceRequest, now time.Time) {
	if t := c.lookupTask(a.Step); t != nil {
		t.step.adviceRetryAt = now.Add(max(now.Sub(a.RequestedAt), adviceRetryDelay))
	}
}

// usable reports whether a start can still use the ticket.
func (a adviceAnswer) usable(now time.Time) bool { return a.ticket != "" && now.Before(a.expiresAt) }

// ticketFor returns the ticket with which a task of the step can start on a worker.
// It returns false if the step needs a ticket and none is usable.
func (s *step) ticketFor(w *worker, now time.Time) (Ticket, bool) {
	if s.occurrence.job.spec.Queue.Advice == nil {
		return "", true
	}
	answer := s.advice[w.id]
	return answer.ticket, answer.incarnation == w.incarnation && answer.usable(now)
}
