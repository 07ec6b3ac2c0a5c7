package route

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// dispatchQueued sends queued requests while slots are free. It rejects requests that
// can no longer meet their deadline, and all requests if the service has no slot or
// no worker that accepts requests.
func (r *Router) dispatchQueued(s *service, now time.Time) []Decision {
	var decisions []Decision
	for it := s.queue.peek(now); it != nil; it = s.queue.peek(now) {
		d := Decision{Attempt: it.Attempt}
		switch {
		case r.missesDeadline(&it.Request, now, 0):
			d.Reason = ReasonDeadline
		case s.slots == 0:
			d.Reason = ReasonNoSlot
		case !s.anyAccepting(now):
			d.Reason = ReasonNoWorker
		default:
			w := r.choose(s, &it.Request, now)
			if w == nil {
				return decisions
			}
			d = r.send(w, &it.Request)
		}
		s.queue.remove(it)
		delete(r.queued, it.Attempt)
		decisions = append(decisions, d)
	}
	return decisions
}

// choose returns the eligible worker with the shortest expected completion time, or nil
// if none is eligible. Workers that were tried before rank last. At most maxCompared
// eligible workers are compared, starting at a different position each time.
func (r *Router) choose(s *service, q *Request, now time.Time) *worker {
	var best *worker
	var lowest float64
	compared := 0
	allQuarantined := s.allQuarantined(now)
	for i := range s.workers {
		if compared == maxCompared {
			break
		}
		w := s.workers[(uint64(i)+r.sequence*maxCompared)%uint64(len(s.workers))]
		if !w.eligible(now, allQuarantined) {
			continue
		}
		compared++
		score := w.score(now)
		for _, id := range q.Avoid {
			if id == w.ID {
				score += 1e6
			}
		}
		switch {
		case w.quarantine > 0 && q.Idempotent:
			score = 0 // due for a probe; a failed idempotent request can be retried
		case w.quarantine > 0:
			score += 1e9
		}
		if best == nil || score < lowest || score == lowest && w.lastUsed < best.lastUsed {
			best, lowest = w, score
		}
	}
	return best
}

// send assigns a request to a worker.
func (r *Router) send(w *worker, q *Request) Decision {
	r.sequence++
	w.lastUsed = r.sequence
	w.inUse++
	r.sent[q.Attempt] = exchange{worker: w, class: q.Class}
	return Decision{Attempt: q.Attempt, Worker: w.ID}
}

// missesDeadline reports whether a request is expected to miss its deadline if it is
// sent after the given wait.
func (r *Router) missesDeadline(q *Request, now time.Time, wait time.Duration) bool {
	return now.Add(wait + r.meanLatency(q.Class, now)).After(q.Deadline)
}

// estimateWait estimates how long a request at the end of the queue waits.
func (r *Router) estimateWait(s *service, now time.Time) time.Duration {
	var work time.Duration
	for class, n := range s.queue.byClass {
		work += time.Duration(n) * r.meanLatency(class, now)
	}
	return work / time.Duration(max(s.slots, 1))
}

// meanLatency returns the mean latency of a class. The mean decays with the age of the
// last measurement. Otherwise a class whose requests are all rejected because of a
// high mean would never be measured again.
func (r *Router) meanLatency(class unit.ClassID, now time.Time) time.Duration {
	l, ok := r.classes[class]
	if !ok {
		return defaultLatency
	}
	age := max(now.Sub(l.measuredAt), 0)
	return max(time.Duration(float64(l.mean)*float64(halfLife)/float64(halfLife+age)), time.Microsecond)
}

// anyAccepting reports whether any worker accepts requests now or after its quarantine.
func (s *service) anyAccepting(now time.Time) bool {
	for _, w := range s.workers {
		if !w.draining(now) {
			return true
		}
	}
	return false
}

// allQuarantined reports whether every worker that is not draining is quarantined.
func (s *service) allQuarantined(now time.Time) bool {
	for _, w := range s.workers {
		if w.quarantine == 0 && !w.draining(now) {
			return false
		}
	}
	return true
}
