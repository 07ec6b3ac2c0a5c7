package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/order/route"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
	"github.com/monsoonfold/monsoonfold/internal/order/upstream"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

var errDraining = errors.New("the worker takes no new requests")

// dispatcher holds the workers: the router with its waiting requests, the slots of
// this entry, and the connections.
type dispatcher struct {
	note  func(worker unit.InstanceID, from, to string)
	woken chan struct{} // a request began to wait, so next may be earlier

	mu        sync.Mutex
	router    *route.Router
	budget    route.RetryBudget
	partition *slot.Partition
	waiting   map[route.AttemptID]chan route.Decision
	workers   map[unit.InstanceID]*endpoint
	last      route.AttemptID
	started   bool               // the first view has settled
	cleared   roster.SettledView // newest view without a request on a lost slot
}

// endpoint is a worker with its connections. It is not changed, since requests in
// flight refer to it.
type endpoint struct {
	instance store.Instance
	pool     *upstream.Pool
}

func newDispatcher(p *slot.Partition, note func(unit.InstanceID, string, string)) *dispatcher {
	return &dispatcher{
		note:      note,
		woken:     make(chan struct{}, 1),
		router:    route.New(),
		partition: p,
		waiting:   map[route.AttemptID]chan route.Decision{},
		workers:   map[unit.InstanceID]*endpoint{},
	}
}

// update takes over the workers and the view.
func (d *dispatcher) update(instances []store.Instance, doc *spec.Document, view slot.View, asOf, now time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.partition.AdoptView(view, asOf, now)
	limits := make([]slot.Worker, 0, len(instances))
	for _, i := range instances {
		limits = append(limits, slot.Worker{ID: i.ID, Slots: i.Slots, Connections: i.Connections})
	}
	d.partition.SetWorkers(limits)
	d.started = d.started || d.partition.Settled(now)
	workers := make([]route.Worker, 0, len(instances))
	endpoints := make(map[unit.InstanceID]*endpoint, len(instances))
	for _, i := range instances {
		share := d.partition.Share(i.ID, now)
		workers = append(workers, route.Worker{
			ID: i.ID, Service: i.Service, Slots: share.Slots,
			Draining: i.State != store.InstanceLive || doc.ZoneOut(i.Zone),
		})
		s := d.workers[i.ID]
		switch {
		case s == nil || s.instance.Upstream != i.Upstream:
			s = &endpoint{instance: i, pool: upstream.NewPool(i.ID, i.Upstream, d)}
		case s.instance != i:
			s = &endpoint{instance: i, pool: s.pool}
		}
		s.pool.SetLimit(share.Connections)
		endpoints[i.ID] = s
	}
	for id, s := range d.workers {
		if endpoints[id] == nil || endpoints[id].pool != s.pool {
			s.pool.Close()
		}
	}
	d.workers = endpoints
	d.deliver(d.router.SetWorkers(workers, now))
}

// acknowledged returns the newest view that the entry has adopted without a
// request left on a slot that it lost.
func (d *dispatcher) acknowledged() roster.SettledView {
	d.mu.Lock()
	defer d.unlock()
	now := time.Now()
	share := func(id unit.InstanceID) int { return d.partition.Share(id, now).Slots }
	if !d.router.ExceedsShares(share, now) {
		d.cleared = d.partition.ReleaseLostSlots()
	}
	return d.cleared
}

// acknowledge notes what a peer acknowledged.
func (d *dispatcher) acknowledge(peer unit.EntryID, settled roster.SettledView) {
	d.mu.Lock()
	defer d.unlock()
	d.partition.RecordAck(peer, settled, time.Now())
}

// ObserveRedial implements upstream.Observer.
func (d *dispatcher) ObserveRedial(worker unit.InstanceID, err error) {
	if err != nil {
		d.mu.Lock()
		defer d.unlock()
		d.router.MarkUnreachable(worker, time.Now())
	}
}

// admit waits for a decision on the request. The endpoint is nil if it was
// rejected.
func (d *dispatcher) admit(ctx context.Context, q *route.Request) (*endpoint, route.Reason) {
	d.mu.Lock()
	d.last++
	q.Attempt = d.last
	decision, decided := d.router.Route(*q, time.Now())
	if decided {
		s := d.workers[decision.Worker]
		d.unlock()
		return s, decision.Reason
	}
	c := make(chan route.Decision, 1)
	d.waiting[q.Attempt] = c
	d.unlock()
	select {
	case d.woken <- struct{}{}:
	default:
	}
	deadline := time.NewTimer(time.Until(q.Deadline))
	defer deadline.Stop()
	select {
	case decision = <-c:
	case <-ctx.Done():
		decision = d.leave(q.Attempt, c)
	case <-deadline.C:
		decision = d.leave(q.Attempt, c)
	}
	if decision.Reason != route.ReasonNone {
		return nil, decision.Reason
	}
	d.mu.Lock()
	defer d.unlock()
	return d.workers[decision.Worker], decision.Reason
}

// leave ends the wait for a decision, which may have come at the same moment.
func (d *dispatcher) leave(t route.AttemptID, c chan route.Decision) route.Decision {
	d.mu.Lock()
	defer d.unlock()
	if d.router.Abandon(t) {
		delete(d.waiting, t)
		return route.Decision{Attempt: t, Reason: route.ReasonDeadline}
	}
	return <-c
}

// ended reports the end of an exchange.
func (d *dispatcher) ended(t route.AttemptID, e route.ExchangeEnd) {
	d.mu.Lock()
	defer d.unlock()
	d.deliver(d.router.HandleEnd(t, e, time.Now()))
}

// allowed is asked immediately before a send.
func (d *dispatcher) allowed(worker unit.InstanceID, now time.Time) error {
	d.mu.Lock()
	defer d.unlock()
	if !d.router.MaySend(worker, now) || !now.Before(d.partition.ValidUntil()) {
		return errDraining
	}
	return nil
}

func (d *dispatcher) countRequest() {
	d.mu.Lock()
	defer d.unlock()
	d.budget.RecordRequest(time.Now())
}

func (d *dispatcher) mayRetry() bool {
	d.mu.Lock()
	defer d.unlock()
	return d.budget.TakeRetry(time.Now())
}

func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.deliver(d.router.Tick(now))
}

func (d *dispatcher) next(now time.Time) time.Time {
	d.mu.Lock()
	defer d.unlock()
	return d.router.NextTick(now)
}

func (d *dispatcher) settled() bool {
	d.mu.Lock()
	defer d.unlock()
	return d.started
}

func (d *dispatcher) waitingRequests() int {
	d.mu.Lock()
	defer d.unlock()
	return d.router.Waiting()
}

// deliver passes decisions to the requests that wait for them.
func (d *dispatcher) deliver(decisions []route.Decision) {
	for _, decision := range decisions {
		d.waiting[decision.Attempt] <- decision // has room for its one decision
		delete(d.waiting, decision.Attempt)
	}
}

// unlock releases the lock and then reports the changes of health, since the
// receiver may take its time.
func (d *dispatcher) unlock() {
	changes := d.router.TakeHealthChanges()
	d.mu.Unlock()
	for _, c := range changes {
		d.note(c.Worker, string(c.From), string(c.To))
	}
}

// close waits until all connections are closed. No request is in flight.
func (d *dispatcher) close() {
	d.mu.Lock()
	endpoints := d.workers
	d.workers = map[unit.InstanceID]*endpoint{}
	d.unlock()
	for _, s := range endpoints {
		s.pool.Close()
		<-s.pool.Done()
	}
}
