package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Ticket lets the tasks of one step start on one worker for some time.
type Ticket string

// permit is what the placement advice said of a step and a worker.
type permit struct {
	ticket Ticket // empty: the worker may not run the step
	born   Incarnation
	until  time.Time
}

// AdviceRequest is a question to the placement advice: which workers may run a step.
type AdviceRequest struct {
	Step    graph.Task // its index counts for nothing
	Workers []unit.InstanceID
	born    []Incarnation
}

// Bounds of a question. The advice takes longer for each worker named.
const (
	leastAsked = 6
	mostAsked  = 30
	askedATask = 2 // workers named for each waiting task
	// permitSlack is how long before its end a ticket counts no more: a start
	// needs time to arrive.
	permitSlack = 150 * time.Millisecond
)

// NextAdviceRequest returns the next question to the placement advice, if one is needed. The
// caller asks one at a time.
func (c *Core) NextAdviceRequest(now time.Time) (AdviceRequest, bool) {
	var best *step
	for _, s := range c.ready {
		if s.occurrence.job.spec.Queue.Advice == nil || len(s.waiting) == 0 || c.permitted(s, now) {
			continue
		}
		if best == nil || c.policy.compare(s, best, now) < 0 {
			best = s
		}
	}
	if best == nil {
		best = c.comingStep(now)
	}
	if best == nil {
		return AdviceRequest{}, false
	}
	a := c.question(best, now)
	return a, len(a.Workers) > 0
}

// aheadShare is the part of a ticket's validity before the turn of a step at which
// the advice is asked for it. The ticket must last until all tasks have started.
const aheadShare = 0.5

// comingStep returns the most urgent step whose turn comes soon and for which no
// worker is known yet, so that its tasks can start as soon as the step before has
// ended.
func (c *Core) comingStep(now time.Time) *step {
	var best *step
	for _, j := range c.open {
		if j.spec.Queue.Advice == nil || j.final != 0 {
			continue
		}
		limit := time.Duration(aheadShare * float64(j.spec.Queue.Advice.TicketValidity))
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.blockers == 0 || len(s.waiting) == 0 || c.untilTurn(s) > limit || c.permitted(s, now) {
					continue
				}
				if best == nil || cmp.Or(c.policy.compare(s, best, now), compareSteps(s, best)) < 0 {
					best = s
				}
			}
		}
	}
	return best
}

// compareSteps orders steps by name, so that the same one is chosen each time.
func compareSteps(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.occurrence.job.spec.ID, b.occurrence.job.spec.ID),
		cmp.Compare(a.occurrence.index, b.occurrence.index),
		cmp.Compare(a.index, b.index),
	)
}

// untilTurn returns how long the steps before one are expected to take, not
// counting waits for room.
func (c *Core) untilTurn(s *step) time.Duration {
	var longest time.Duration
	for _, a := range s.spec.After {
		earlier := s.occurrence.steps[a]
		work := c.expectedWork(earlier)
		for n := range earlier.tasks {
			if t := &earlier.tasks[n]; !t.done {
				longest = max(longest, t.untilDone(work))
			}
		}
		if earlier.blockers > 0 {
			longest += c.untilTurn(earlier)
		}
	}
	return longest
}

// untilDone returns how much of its work is left to a task.
func (t *task) untilDone(work time.Duration) time.Duration {
	left := work
	for _, r := range t.runs {
		if r.percent > 0 {
			left = min(left, work*time.Duration(100-r.percent)/100)
		}
	}
	return left
}

// permitted reports whether a waiting task of the step can start by a ticket.
func (c *Core) permitted(s *step, now time.Time) bool {
	t := s.waiting[len(s.waiting)-1]
	for _, w := range c.pool[s.occurrence.job.spec.Queue.Service] {
		if c.eligible(w, t, now) && w.fits(s.spec) {
			return true
		}
	}
	return false
}

// question names the workers that suit a step best and of which nothing is known.
func (c *Core) question(s *step, now time.Time) AdviceRequest {
	t := s.waiting[len(s.waiting)-1]
	type candidate struct {
		worker *worker
		score  float64
	}
	var candidates []candidate
	for _, w := range c.pool[s.occurrence.job.spec.Queue.Service] {
		if p, ok := s.permits[w.id]; ok && p.born == w.born && (p.ticket == "" || p.usable(now)) {
			continue
		}
		if c.suits(w, t, now) && w.fits(s.spec) {
			candidates = append(candidates, candidate{w, c.policy.score(w, t, now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.worker.id, b.worker.id))
	})
	most := min(max(askedATask*len(s.waiting), leastAsked), mostAsked)
	a := AdviceRequest{Step: t.id()}
	for _, k := range candidates[:min(len(candidates), most)] {
		a.Workers = append(a.Workers, k.worker.id)
		a.born = append(a.born, k.worker.born)
	}
	return a
}

// HandleAdvice takes the answer to a question: the tickets of the workers that may run
// the step. That a worker may not run a step does not change during its life.
func (c *Core) HandleAdvice(a AdviceRequest, approved map[unit.InstanceID]Ticket, valid time.Duration, now time.Time) {
	t := c.task(a.Step)
	if t == nil {
		return
	}
	if t.step.permits == nil {
		t.step.permits = map[unit.InstanceID]permit{}
	}
	for i, id := range a.Workers {
		t.step.permits[id] = permit{ticket: approved[id], born: a.born[i], until: now.Add(valid - permitSlack)}
	}
	c.wake = true
}

// usable reports whether a start can use the ticket now.
func (p permit) usable(now time.Time) bool { return p.ticket != "" && now.Before(p.until) }

// ticket returns the ticket of a step for a worker, if the step needs one, and
// whether a task may start there.
func (s *step) ticket(w *worker, now time.Time) (Ticket, bool) {
	if s.occurrence.job.spec.Queue.Advice == nil {
		return "", true
	}
	p := s.permits[w.id]
	return p.ticket, p.born == w.born && p.usable(now)
}
