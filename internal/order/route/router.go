// Package route decides which worker gets a request, which requests wait and
// which are rejected. It is pure: the time comes with each event, and the caller
// carries out the decisions.
//
// A request goes to the worker with the least expected completion time. If all
// slots are taken it waits in a bounded queue, unless it could not be completed
// by its deadline; then it is rejected at once, so that the caller can still act.
package route

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// AttemptID names one attempt to send a request within an entry.
type AttemptID uint64

// Worker is what is known of a worker from elsewhere.
type Worker struct {
	ID       unit.InstanceID
	Service  unit.ServiceID
	Slots    int  // that this entry may use
	Draining bool // by the platform's list
}

// Request is one attempt to send a request.
type Request struct {
	Attempt      AttemptID
	Class        unit.ClassID
	Service      unit.ServiceID
	SoftDeadline time.Time // arrival plus the bound of the class
	Deadline     time.Time // the response is useless afterwards
	Idempotent   bool
	Avoid        []unit.InstanceID // workers tried before
}

// Reason says why a request is rejected. The request has not run.
type Reason string

// Reasons of rejections.
const (
	ReasonNone      Reason = ""
	ReasonNoWorker  Reason = "no worker of the service takes work"
	ReasonNoSlot    Reason = "this entry holds no slot of the service"
	ReasonQueueFull Reason = "too many requests of the class are waiting"
	ReasonDeadline  Reason = "the deadline cannot be met"
)

// Decision answers a request: it is sent to Worker, or rejected for Reason.
type Decision struct {
	Attempt AttemptID
	Worker  unit.InstanceID
	Reason  Reason
}

// Outcome says how an exchange with a worker ended.
type Outcome uint8

// Verdicts.
const (
	Succeeded    Outcome = iota
	Inconclusive         // says nothing about the worker, such as an abandoned request
	Busy                 // the worker had no free slot; not run
	ServiceError         // the service answered with an error of its own
	Failed
	ConnectFailed // no connection could be opened; not run
)

// ExchangeEnd is the end of an exchange.
type ExchangeEnd struct {
	Outcome  Outcome
	Latency  time.Duration // to the first byte of the response, if one came
	Draining bool          // by the worker's own word
	MayRun   bool          // the worker may still be busy with the request
}

// Router is the state of the decisions of one entry.
type Router struct {
	workers  map[unit.InstanceID]*worker
	services map[unit.ServiceID]*service
	classes  map[unit.ClassID]latency
	queued   map[AttemptID]*item
	sent     map[AttemptID]flight
	sequence uint64
	changes  []HealthChange
}

type service struct {
	workers []*worker // with at least one slot
	all     int
	slots   int
	queue   *queue
}

// latency is the mean of a class.
type latency struct {
	mean     time.Duration
	measured time.Time
}

type flight struct {
	worker *worker
	class  unit.ClassID
}

// maxCompared bounds the cost of a choice. The best of 32 is close to the best of
// the 880 workers on which an entry holds slots at the scale target.
const maxCompared = 32

// defaultLatency stands for the mean of a class that has no measurement.
const defaultLatency = 20 * time.Millisecond

// New returns a router without workers.
func New() *Router {
	return &Router{
		workers:  map[unit.InstanceID]*worker{},
		services: map[unit.ServiceID]*service{},
		classes:  map[unit.ClassID]latency{},
		queued:   map[AttemptID]*item{},
		sent:     map[AttemptID]flight{},
	}
}

// SetWorkers replaces the set of workers and returns decisions on waiting
// requests.
func (r *Router) SetWorkers(workers []Worker, now time.Time) []Decision {
	next := make(map[unit.InstanceID]*worker, len(workers))
	for _, s := range r.services {
		s.workers, s.all, s.slots = s.workers[:0], 0, 0
	}
	for _, given := range workers {
		w := r.workers[given.ID]
		if w == nil {
			w = &worker{health: Serving}
		}
		w.Worker = given
		next[given.ID] = w
		s := r.service(given.Service)
		s.all++
		if given.Slots > 0 {
			s.workers = append(s.workers, w)
			s.slots += given.Slots
		}
		r.noteHealth(w, now)
	}
	for id, w := range r.workers {
		if next[id] == nil && w.inUse > 0 { // its slots stay taken if the list has it again soon
			w.Slots, w.Draining = 0, true
			next[id] = w
		}
	}
	r.workers = next
	return r.Tick(now)
}

// Route decides on a request. It reports false if the request waits; a later
// decision follows then, unless it is abandoned.
func (r *Router) Route(q Request, now time.Time) (Decision, bool) {
	s := r.service(q.Service)
	reject := func(reason Reason) (Decision, bool) { return Decision{Attempt: q.Attempt, Reason: reason}, true }
	switch {
	case s.all == 0:
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
	case !s.anyTakes(now):
		return reject(ReasonNoWorker)
	case s.queue.byClass[q.Class] >= maxQueue:
		return reject(ReasonQueueFull)
	case r.late(&q, now, r.wait(s, now)):
		return reject(ReasonDeadline)
	}
	it := &item{Request: q}
	s.queue.push(it)
	r.queued[q.Attempt] = it
	return Decision{}, false
}

// Abandon removes a waiting request and reports whether it was still waiting.
func (r *Router) Abandon(t AttemptID) bool {
	it := r.queued[t]
	if it == nil {
		return false
	}
	delete(r.queued, t)
	r.service(it.Service).queue.remove(it)
	return true
}

// HandleEnd frees the slot of a request and returns decisions on waiting ones.
func (r *Router) HandleEnd(t AttemptID, e ExchangeEnd, now time.Time) []Decision {
	f, ok := r.sent[t]
	if !ok {
		return nil
	}
	delete(r.sent, t)
	w := f.worker
	w.inUse--
	mean := r.mean(f.class, now)
	if e.MayRun {
		// The slot stays taken for the time within which most requests of the
		// class end. A longer time would let hung connections use up the slots; a
		// worker that is still busy says so, and the request is retried.
		w.busy = append(w.busy, now.Add(4*mean))
	}
	if e.Draining {
		w.drainTill = now.Add(drainWord)
	}
	switch e.Outcome {
	case Succeeded:
		w.observe(float64(e.Latency)/float64(mean), false, now)
		r.classes[f.class] = latency{mean: mean + (e.Latency-mean)/16, measured: now}
		w.succeed()
	case Busy:
		if until := now.Add(busyAside); until.After(w.aside) {
			w.aside = until
		}
	case ServiceError:
		// A worker that answers fast with errors must not attract requests. It is
		// not set aside, since one bad request can fail on every worker.
		w.observe(0, true, now)
	case Failed, ConnectFailed:
		w.observe(0, true, now)
		w.fail(e.Outcome == ConnectFailed, now)
	}
	r.noteHealth(w, now)
	return r.dispatch(r.service(w.Service), now)
}

// MarkUnreachable sets a worker aside that accepts no connection.
func (r *Router) MarkUnreachable(id unit.InstanceID, now time.Time) {
	if w := r.workers[id]; w != nil {
		w.fail(true, now)
		r.noteHealth(w, now)
	}
}

// MaySend reports whether the worker may get a request now. It is asked
// immediately before a send.
func (r *Router) MaySend(id unit.InstanceID, now time.Time) bool {
	w := r.workers[id]
	return w != nil && !w.draining(now) && w.Slots > 0
}

// Tick returns decisions on waiting requests that depend on the time only.
func (r *Router) Tick(now time.Time) []Decision {
	var all []Decision
	for _, s := range r.services {
		all = append(all, r.dispatch(s, now)...)
	}
	return all
}

// NextTick returns when Tick is due, or zero if no request waits for a time.
func (r *Router) NextTick(now time.Time) time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, s := range r.services {
		if s.queue.len() == 0 {
			continue
		}
		shortage := s.shortage(now)
		for _, w := range s.workers {
			earlier(w.probeAt(shortage))
			earlier(w.drainTill)
			for _, until := range w.busy {
				earlier(until)
			}
		}
	}
	return next
}

// Waiting returns the number of requests that wait.
func (r *Router) Waiting() int { return len(r.queued) }

// SlotsInUse returns the requests in flight to a worker.
func (r *Router) SlotsInUse(id unit.InstanceID, now time.Time) int {
	w := r.workers[id]
	if w == nil {
		return 0
	}
	return w.Slots - w.free(now)
}

// ExceedsShares reports whether any worker has more requests in flight than its share,
// also one that has left the list since they were sent.
func (r *Router) ExceedsShares(share func(unit.InstanceID) int, now time.Time) bool {
	for id := range r.workers {
		if r.SlotsInUse(id, now) > share(id) {
			return true
		}
	}
	return false
}

// TakeHealthChanges returns the changes of health since the last call.
func (r *Router) TakeHealthChanges() []HealthChange {
	changes := r.changes
	r.changes = nil
	return changes
}

func (r *Router) service(id unit.ServiceID) *service {
	s := r.services[id]
	if s == nil {
		s = &service{queue: newQueue()}
		r.services[id] = s
	}
	return s
}

func (r *Router) noteHealth(w *worker, now time.Time) {
	if h := w.state(now); h != w.health {
		r.changes = append(r.changes, HealthChange{Worker: w.ID, From: w.health, To: h})
		w.health = h
	}
}
