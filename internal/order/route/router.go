// Package route decides to which worker a request is sent, whether it is queued, and
// whether it is rejected. It performs no I/O: the caller passes the time with each
// event and executes the decisions.
//
// A request is sent to the worker with the shortest expected completion time. If all
// slots are taken, it waits in a bounded queue. A request that is not expected to
// complete before its deadline is rejected at once, so that the caller can still
// react.
package route

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// AttemptID identifies an attempt to send a request within one entry.
type AttemptID uint64

// Worker describes a worker of a service.
type Worker struct {
	ID       unit.InstanceID
	Service  unit.ServiceID
	Slots    int  // number of slots that this entry may use
	Draining bool // according to the instance list
}

// Request is one attempt to send a request.
type Request struct {
	Attempt      AttemptID
	Class        unit.ClassID
	Service      unit.ServiceID
	SoftDeadline time.Time // arrival time plus the latency target of the class
	Deadline     time.Time // time after which the response is of no use
	Idempotent   bool
	Avoid        []unit.InstanceID // workers tried by earlier attempts
}

// Reason states why a request was rejected. A rejected request has not run.
type Reason string

// Reasons for a rejection.
const (
	ReasonNone      Reason = ""
	ReasonNoWorker  Reason = "no worker of the service takes work"
	ReasonNoSlot    Reason = "this entry holds no slot of the service"
	ReasonQueueFull Reason = "too many requests of the class are waiting"
	ReasonDeadline  Reason = "the deadline cannot be met"
)

// Decision is the decision on a request: it is sent to Worker, or rejected for Reason.
type Decision struct {
	Attempt AttemptID
	Worker  unit.InstanceID
	Reason  Reason
}

// Outcome is the outcome of an exchange with a worker.
type Outcome uint8

// Outcomes of an exchange.
const (
	Succeeded     Outcome = iota
	Inconclusive          // allows no conclusion about the worker, as for an abandoned request
	Busy                  // the worker had no free slot, and the request has not run
	ServiceError          // the service responded with an error
	Failed                // the exchange failed otherwise
	ConnectFailed         // no connection could be opened, and the request has not run
)

// ExchangeEnd describes how an exchange with a worker ended.
type ExchangeEnd struct {
	Outcome  Outcome
	Latency  time.Duration // time to the first byte of the response, if any
	Draining bool          // as reported by the worker
	MayRun   bool          // the worker may still be running the request
}

// Router holds the routing state of one entry.
type Router struct {
	workers  map[unit.InstanceID]*worker
	services map[unit.ServiceID]*service
	classes  map[unit.ClassID]classLatency
	queued   map[AttemptID]*queuedRequest
	sent     map[AttemptID]exchange
	sequence uint64
	changes  []HealthChange
}

// service is the routing state of one service.
type service struct {
	workers []*worker // workers with at least one slot for this entry
	listed  int       // number of workers in the list
	slots   int       // total number of slots for this entry
	queue   *queue
}

// classLatency is the mean latency of a class.
type classLatency struct {
	mean       time.Duration
	measuredAt time.Time
}

// exchange is a request that was sent to a worker and has not ended.
type exchange struct {
	worker *worker
	class  unit.ClassID
}

// maxCompared is the maximum number of workers compared for one choice, which limits
// its cost. The best of 32 is close to the best of the 880 workers on which an entry
// holds slots at the scale target.
const maxCompared = 32

// defaultLatency is the assumed mean latency of a class without measurements.
const defaultLatency = 20 * time.Millisecond

// New returns a router without workers.
func New() *Router {
	return &Router{
		workers:  map[unit.InstanceID]*worker{},
		services: map[unit.ServiceID]*service{},
		classes:  map[unit.ClassID]classLatency{},
		queued:   map[AttemptID]*queuedRequest{},
		sent:     map[AttemptID]exchange{},
	}
}

// SetWorkers replaces the set of workers and returns decisions on queued requests.
func (r *Router) SetWorkers(workers []Worker, now time.Time) []Decision {
	next := make(map[unit.InstanceID]*worker, len(workers))
	for _, s := range r.services {
		s.workers, s.listed, s.slots = s.workers[:0], 0, 0
	}
	for _, listed := range workers {
		w := r.workers[listed.ID]
		if w == nil {
			w = &worker{health: Serving}
		}
		w.Worker = listed
		next[listed.ID] = w
		s := r.service(listed.Service)
		s.listed++
		if listed.Slots > 0 {
			s.workers = append(s.workers, w)
			s.slots += listed.Slots
		}
		r.updateHealth(w, now)
	}
	for id, w := range r.workers {
		if next[id] == nil && w.inUse > 0 { // keeps its slots taken in case it is listed again soon
			w.Slots, w.Draining = 0, true
			next[id] = w
		}
	}
	r.workers = next
	return r.Tick(now)
}

// Route decides on a request. It returns false if the request is queued; the decision
// then follows later, unless the request is abandoned.
func (r *Router) Route(q Request, now time.Time) (Decision, bool) {
	s := r.service(q.Service)
	reject := func(reason Reason) (Decision, bool) { return Decision{Attempt: q.Attempt, Reason: reason}, true }
	switch {
	case s.listed == 0:
		return reject(ReasonNoWorker)
	case s.slots == 0:
		return reject(ReasonNoSlot)
	case !now.Before(q.Deadline):
		return reject(ReasonDeadline)
	}
	if s.queue.len() == 0 {
		if w := r.choose(s, &q, now); w != nil {
			return r.send(w, &q), true
		}
	}
	switch {
	case !s.anyAccepting(now):
		return reject(ReasonNoWorker)
	case s.queue.byClass[q.Class] >= maxQueuedPerClass:
		return reject(ReasonQueueFull)
	case r.missesDeadline(&q, now, r.estimateWait(s, now)):
		return reject(ReasonDeadline)
	}
	it := &queuedRequest{Request: q}
	s.queue.push(it)
	r.queued[q.Attempt] = it
	return Decision{}, false
}

// Abandon removes a queued request and reports whether it was still queued.
func (r *Router) Abandon(id AttemptID) bool {
	it := r.queued[id]
	if it == nil {
		return false
	}
	delete(r.queued, id)
	r.service(it.Service).queue.remove(it)
	return true
}

// HandleEnd records the end of an exchange, which frees the slot of its request, and
// returns decisions on queued requests.
func (r *Router) HandleEnd(id AttemptID, e ExchangeEnd, now time.Time) []Decision {
	x, ok := r.sent[id]
	if !ok {
		return nil
	}
	delete(r.sent, id)
	w := x.worker
	w.inUse--
	mean := r.meanLatency(x.class, now)
	if e.MayRun {
		// The slot stays taken for the time in which most requests of the class
		// end. If it stayed taken for longer, hung connections could exhaust the
		// slots. A worker that is still running the request reports Busy, and the
		// request is retried.
		w.heldUntil = append(w.heldUntil, now.Add(4*mean))
	}
	if e.Draining {
		w.drainingUntil = now.Add(drainValidity)
	}
	switch e.Outcome {
	case Succeeded:
		w.observe(float64(e.Latency)/float64(mean), false, now)
		r.classes[x.class] = classLatency{mean: mean + (e.Latency-mean)/16, measuredAt: now}
		w.succeed()
	case Busy:
		if until := now.Add(busyDelay); until.After(w.probeTime) {
			w.probeTime = until
		}
	case ServiceError:
		// A worker that quickly responds with errors must not attract requests. It
		// is not quarantined, since an invalid request can fail on every worker.
		w.observe(0, true, now)
	case Failed, ConnectFailed:
		w.observe(0, true, now)
		w.fail(e.Outcome == ConnectFailed, now)
	}
	r.updateHealth(w, now)
	return r.dispatchQueued(r.service(w.Service), now)
}

// MarkUnreachable quarantines a worker that accepts no connection.
func (r *Router) MarkUnreachable(id unit.InstanceID, now time.Time) {
	if w := r.workers[id]; w != nil {
		w.fail(true, now)
		r.updateHealth(w, now)
	}
}

// MaySend reports whether a request may be sent to the worker now. It is called
// immediately before a request is sent.
func (r *Router) MaySend(id unit.InstanceID, now time.Time) bool {
	w := r.workers[id]
	return w != nil && !w.draining(now) && w.Slots > 0
}

// Tick returns the decisions on queued requests that have become due.
func (r *Router) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, s := range r.services {
		decisions = append(decisions, r.dispatchQueued(s, now)...)
	}
	return decisions
}

// NextTick returns the time at which Tick has to be called, or zero if no queued request
// depends on the time.
func (r *Router) NextTick(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, s := range r.services {
		if s.queue.len() == 0 {
			continue
		}
		allQuarantined := s.allQuarantined(now)
		for _, w := range s.workers {
			consider(w.nextProbe(allQuarantined))
			consider(w.drainingUntil)
			for _, until := range w.heldUntil {
				consider(until)
			}
		}
	}
	return next
}

// Waiting returns the number of queued requests.
func (r *Router) Waiting() int { return len(r.queued) }

// SlotsInUse returns the number of slots of a worker that are taken by requests in
// flight or by requests that may still run.
func (r *Router) SlotsInUse(id unit.InstanceID, now time.Time) int {
	w := r.workers[id]
	if w == nil {
		return 0
	}
	return w.Slots - w.freeSlots(now)
}

// ExceedsShares reports whether any worker has more slots in use than its share. It
// includes workers that have left the list since the requests were sent.
func (r *Router) ExceedsShares(share func(unit.InstanceID) int, now time.Time) bool {
	for id := range r.workers {
		if r.SlotsInUse(id, now) > share(id) {
			return true
		}
	}
	return false
}

// TakeHealthChanges returns the health changes since the last call.
func (r *Router) TakeHealthChanges() []HealthChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// service returns the state of a service, which it creates if necessary.
func (r *Router) service(id unit.ServiceID) *service {
	s := r.services[id]
	if s == nil {
		s = &service{queue: newQueue()}
		r.services[id] = s
	}
	return s
}

// updateHealth records a change of the health of a worker.
func (r *Router) updateHealth(w *worker, now time.Time) {
	if h := w.currentHealth(now); h != w.health {
		r.changes = append(r.changes, HealthChange{Worker: w.ID, From: w.health, To: h})
		w.health = h
	}
}
