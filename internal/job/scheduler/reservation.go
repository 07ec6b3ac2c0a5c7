package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// workersPerReservation bounds the workers that are reserved at a time, as cores stay
	// unused there until the reserved ones are free together.
	workersPerReservation = 8
	// minIdleToReserve is for how long a best-effort step that can still be in time has nothing
	// running before a worker is reserved for it.
	minIdleToReserve = 2 * time.Second
	// maxReservation is how long a reservation lasts. Nearly all runs that it waits for end
	// within that time.
	maxReservation = 10 * time.Second
	// A reservation is tried again for a step that got none after minReservationRetry, and after
	// twice the time before for each further attempt, up to maxReservationRetry.
	minReservationRetry     = 250 * time.Millisecond
	maxReservationRetry     = 8 * time.Second
	maxReservationDoublings = 5
	// maxReservationAttempts bounds the attempts to reserve workers in one pass, each of which
	// goes over all workers.
	maxReservationAttempts = 2
)

// reservations keep other short tasks from starting on some workers until a step that found no
// worker with enough room has it there. Without them each core that becomes free goes to the
// first task that fits, so that a wide task never starts while narrow ones wait.
type reservations struct {
	workers  []*worker
	attempts int // in this pass
}

// isReservedFrom reports whether a worker is reserved for another step that a step waits for.
// Long-running tasks do not wait, and best-effort steps keep only other best-effort ones away,
// which use the same cores. More urgent priorities with cores of their own do not wait either,
// nor do steps that can be in time for a late step that is not in its turn.
func (w *worker) isReservedFrom(s *step, now time.Time) bool {
	holder := w.reservedFor
	if holder == nil || holder == s || s.spec.LongRunning || (w.reservedFromLate && !s.isLate(now)) {
		return false
	}
	if holder.spec.BestEffort || s.spec.BestEffort {
		return s.spec.BestEffort
	}
	return s.occurrence.job.spec.Queue.Priority >= holder.occurrence.job.spec.Queue.Priority
}

// maxReserved returns the largest number of workers of a step's service that are reserved at a
// time.
func (c *Core) maxReserved(s *step) int {
	return max(1, len(c.workersByService[s.occurrence.job.spec.Queue.Service])/workersPerReservation)
}

// releaseReservations ends the reservations that are of no use any more.
func (c *Core) releaseReservations(now time.Time) {
	c.reservations.attempts = 0
	for _, w := range slices.Clone(c.reservations.workers) {
		s := w.reservedFor
		if now.After(w.reservedUntil) { // others may reserve the worker then
			s.reserveRetryAt = now.Add(maxReservation)
			if s.inTurn {
				s.turnRetryAt = now.Add(maxReservation)
			}
		}
		if !s.isIdle() || s.occurrence.job.final != 0 || now.After(w.reservedUntil) || !c.isOpen(w, now) || !c.fitsAlone(w, s, now) {
			c.releaseReservation(w)
		}
	}
}

// releaseReservation ends the reservation of a worker, if there is one.
func (c *Core) releaseReservation(w *worker) {
	s := w.reservedFor
	if s == nil {
		return
	}
	w.reservedFor = nil
	s.reserved = slices.DeleteFunc(s.reserved, func(o *worker) bool { return o == w })
	c.reservations.workers = slices.DeleteFunc(c.reservations.workers, func(o *worker) bool { return o == w })
	c.placementDue = true
}

// releaseReserved ends the reservations of a step, which has started a task.
func (c *Core) releaseReserved(s *step) {
	for _, w := range slices.Clone(s.reserved) {
		c.releaseReservation(w)
	}
}

// reserve reserves workers for an idle step that has found none, if it has waited for long
// enough.
func (c *Core) reserve(s *step, t *task, now time.Time) {
	if len(s.reserved) > 0 || !c.mayReserve(s, now) || (now.Before(s.reserveRetryAt) && !s.inTurn) || c.reservations.attempts >= maxReservationAttempts {
		return
	}
	s.reserveRetryAt = now.Add(min(minReservationRetry<<min(s.reserveAttempts, maxReservationDoublings), maxReservationRetry))
	s.reserveAttempts++
	if !c.couldStart(s, now) {
		return
	}
	c.reservations.attempts++
	if s.spec.Gang {
		c.reserveForGang(s, now)
		return
	}
	w := c.chooseReserved(s, t, now)
	if w == nil && c.acceptSlowStart(s, t, now) {
		w = c.chooseReserved(s, t, now)
	}
	if w != nil {
		c.reserveWorker(w, s, now)
	}
}

// mayReserve reports whether workers may be reserved for a step: in its turn, and for a
// best-effort step also if it is late or has had nothing running for some time.
func (c *Core) mayReserve(s *step, now time.Time) bool {
	switch {
	case !c.policy.mayStopRuns() || !s.isIdle():
		return false
	case s.inTurn:
		return true
	}
	return s.spec.BestEffort && !s.spec.Gang && (s.isLate(now) || s.idleFor(now) >= minIdleToReserve)
}

func (c *Core) reserveWorker(w *worker, s *step, now time.Time) {
	c.releaseReservation(w)
	s.reserveAttempts = 0
	w.reservedFor, w.reservedUntil, w.reservedFromLate = s, now.Add(maxReservation), !s.inTurn && s.isLate(now)
	s.reserved = append(s.reserved, w)
	c.reservations.workers = append(c.reservations.workers, w)
}

// chooseReserved returns the worker to reserve for a task, or nil if there is none: one that
// will have the room once its short runs have ended, and of these the one that is closest to it.
// Beyond the largest number of reservations it takes the one of the step that has had nothing
// running for the shortest time, if that is shorter.
func (c *Core) chooseReserved(s *step, t *task, now time.Time) *worker {
	workers := c.workersByService[s.occurrence.job.spec.Queue.Service]
	idle := s.idleFor(now)
	reserved, shorter := 0, false
	for _, w := range c.reservations.workers {
		if w.listing.Service == s.occurrence.job.spec.Queue.Service {
			reserved++
			shorter = shorter || w.reservedFor.idleFor(now) < idle
		}
	}
	full := reserved >= c.maxReserved(s)
	if full && !shorter {
		return nil
	}
	var best *worker
	var bestTaken time.Duration
	var bestRoom float64
	for _, w := range workers {
		var taken time.Duration
		if holder := w.reservedFor; holder != nil {
			taken = holder.idleFor(now)
		}
		if (full && w.reservedFor == nil) || taken >= idle || !c.mayReserveFor(w, t, now) || !c.fitsAlone(w, s, now) {
			continue
		}
		room := c.roomNow(w, s, now)
		if best == nil || cmp.Or(cmp.Compare(taken, bestTaken), cmp.Compare(bestRoom, room)) < 0 {
			best, bestTaken, bestRoom = w, taken, room
		}
	}
	return best
}

// reserveForGang reserves a worker for each member of a gang, as many as that takes. Only one
// gang has reservations at a time.
func (c *Core) reserveForGang(s *step, now time.Time) {
	if slices.ContainsFunc(c.reservations.workers, func(w *worker) bool { return w.reservedFor.spec.Gang }) {
		return
	}
	chosen := c.chooseGangAlone(s, now)
	slices.SortFunc(chosen, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for _, w := range slices.Compact(chosen) {
		c.reserveWorker(w, s, now)
	}
}

// chooseGangAlone returns a worker for each member of a gang that has the room once its short runs
// have ended, or nil if not all fit.
func (c *Core) chooseGangAlone(s *step, now time.Time) []*worker {
	return c.chooseGangByRoom(s, now, c.mayReserveFor, func(w *worker) unit.Resources { return w.roomAlone(s) })
}

// bestReserved returns the worker with the best score for a task among those that are reserved
// for its step, or nil if it can start on none of them.
func (c *Core) bestReserved(t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range t.step.reserved {
		if score, ok := c.scoreIfFit(w, t, now); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// mayReserveFor reports whether a worker may be reserved for a task, apart from its capacity. It
// is like eligible, but ignores reservations for others and leaves out quarantined workers.
func (c *Core) mayReserveFor(w *worker, t *task, now time.Time) bool {
	_, ok := t.step.ticketFor(w, now)
	return ok && c.isOpen(w, now) && w.accepts(t, now) && !w.health.isQuarantined(now)
}

// fitsAlone reports whether a task of a step can start on a worker once the short runs there
// have ended.
func (c *Core) fitsAlone(w *worker, s *step, now time.Time) bool {
	if !reservedResources(s.spec).Fits(w.roomAlone(s)) {
		return false
	}
	return !s.spec.BestEffort || s.spec.Gang || c.speedAlone(w, s, now) >= s.leastSpeed()
}

// roomAlone returns the room that a worker has for a step once the short runs have ended that a
// reservation for the step keeps away.
func (w *worker) roomAlone(s *step) unit.Resources {
	room := w.listing.Capacity
	for _, r := range w.runList {
		spec := r.task.step.spec
		if spec.LongRunning || (s.spec.BestEffort && !spec.BestEffort) {
			room = room.Sub(reservedResources(spec))
		}
	}
	return room
}

// roomNow returns how close a worker is to the room that a step needs: the speed that it offers,
// or its free cores.
func (c *Core) roomNow(w *worker, s *step, now time.Time) float64 {
	if s.spec.BestEffort {
		return c.bestEffortSpeed(w, s, now)
	}
	return float64(w.listing.Capacity.Cores - w.used.Cores)
}
