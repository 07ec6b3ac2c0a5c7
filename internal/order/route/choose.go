package route

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// dispatch sends waiting requests while there are free slots, and rejects those
// whose deadline can no longer be met.
func (r *Router) dispatch(s *service, now time.Time) []Decision {
	var all []Decision
	for it := s.queue.peek(now); it != nil; it = s.queue.peek(now) {
		d := Decision{Attempt: it.Attempt}
		switch {
		case r.late(&it.Request, now, 0):
			d.Reason = ReasonDeadline
		case s.slots == 0:
			d.Reason = ReasonNoSlot
		case !s.anyTakes(now):
			d.Reason = ReasonNoWorker
		default:
			w := r.choose(s, &it.Request, now)
			if w == nil {
				return all
			}
			d = r.send(w, &it.Request)
		}
		s.queue.remove(it)
		delete(r.queued, it.Attempt)
		all = append(all, d)
	}
	return all
}

// choose returns the eligible worker with the least expected completion time, or
// nil. A worker that was tried before comes last. At most maxCompared eligible
// workers are compared, beginning at another place each time.
func (r *Router) choose(s *service, q *Request, now time.Time) *worker {
	var best *worker
	var least float64
	compared := 0
	shortage := s.shortage(now)
	for i := range s.workers {
		if compared == maxCompared {
			break
		}
		w := s.workers[(uint64(i)+r.sequence*maxCompared)%uint64(len(s.workers))]
		if !w.eligible(now, shortage) {
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
		case w.asideStep > 0 && q.Idempotent:
			score = 0 // due for a probe, whose failure can be retried
		case w.asideStep > 0:
			score += 1e9
		}
		if best == nil || score < least || score == least && w.used < best.used {
			best, least = w, score
		}
	}
	return best
}

func (r *Router) send(w *worker, q *Request) Decision {
	r.sequence++
	w.used = r.sequence
	w.inUse++
	r.sent[q.Attempt] = flight{worker: w, class: q.Class}
	return Decision{Attempt: q.Attempt, Worker: w.ID}
}

// late reports whether a request that waits longer would miss its deadline.
func (r *Router) late(q *Request, now time.Time, wait time.Duration) bool {
	return now.Add(wait + r.mean(q.Class, now)).After(q.Deadline)
}

// wait estimates how long a request waits that comes last in the queue.
func (r *Router) wait(s *service, now time.Time) time.Duration {
	var work time.Duration
	for class, n := range s.queue.byClass {
		work += time.Duration(n) * r.mean(class, now)
	}
	return work / time.Duration(max(s.slots, 1))
}

// mean returns the mean latency of a class. It falls with the age of the last
// measurement: a class whose requests are all rejected for a high mean would
// otherwise never be measured again.
func (r *Router) mean(class unit.ClassID, now time.Time) time.Duration {
	l, ok := r.classes[class]
	if !ok {
		return defaultLatency
	}
	age := max(now.Sub(l.measured), 0)
	return max(time.Duration(float64(l.mean)*float64(halfLife)/float64(halfLife+age)), time.Microsecond)
}

// anyTakes reports whether any worker takes work now or will after being set
// aside.
func (s *service) anyTakes(now time.Time) bool {
	for _, w := range s.workers {
		if !w.draining(now) {
			return true
		}
	}
	return false
}

// shortage reports whether every worker that takes work is set aside.
func (s *service) shortage(now time.Time) bool {
	for _, w := range s.workers {
		if w.asideStep == 0 && !w.draining(now) {
			return false
		}
	}
	return true
}
