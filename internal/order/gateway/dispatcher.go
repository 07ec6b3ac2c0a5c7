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

// dispatcher assigns requests to workers. It combines the router, which queues
// requests, with this entry's slots and its connection pools.
type dispatcher struct {
	onHealthChange func(worker unit.InstanceID, from, to string)
	waitStarted    chan struct{} // a request was queued, so nextTick may be earlier

	mu            sync.Mutex
	router        *route.Router
	retryBudget   route.RetryBudget
	partition     *slot.Partition
	waiters       map[route.AttemptID]chan route.Decision
	workers       map[unit.InstanceID]*endpoint
	lastAttemptID route.AttemptID
	viewSettled   bool               // a view has settled, so this entry holds its slots
	clearedView   roster.SettledView // newest view for which no request is left on a lost slot
}

// endpoint is a worker with its connection pool. It is immutable, because requests
// in flight refer to it.
type endpoint struct {
	instance store.Instance
	pool     *upstream.Pool
}

func newDispatcher(p *slot.Partition, onHealthChange func(unit.InstanceID, string, string)) *dispatcher {
	return &dispatcher{
		onHealthChange: onHealthChange,
		waitStarted:    make(chan struct{}, 1),
		router:         route.New(),
		partition:      p,
		waiters:        map[route.AttemptID]chan route.Decision{},
		workers:        map[unit.InstanceID]*endpoint{},
	}
}

// update applies the instance list, the zones out of service and the view.
func (d *dispatcher) update(instances []store.Instance, doc *spec.Document, view slot.View, asOf, now time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.partition.AdoptView(view, asOf, now)
	limits := make([]slot.Worker, 0, len(instances))
	for _, i := range instances {
		limits = append(limits, slot.Worker{ID: i.ID, Slots: i.Slots, Connections: i.Connections})
	}
	d.partition.SetWorkers(limits)
	d.viewSettled = d.viewSettled || d.partition.Settled(now)
	workers := make([]route.Worker, 0, len(instances))
	endpoints := make(map[unit.InstanceID]*endpoint, len(instances))
	for _, i := range instances {
		share := d.partition.Share(i.ID, now)
		workers = append(workers, route.Worker{
			ID: i.ID, Service: i.Service, Slots: share.Slots,
			Draining: i.State != store.InstanceLive || doc.ZoneOut(i.Zone),
		})
		ep := d.workers[i.ID]
		switch {
		case ep == nil || ep.instance.Upstream != i.Upstream:
			ep = &endpoint{instance: i, pool: upstream.NewPool(i.ID, i.Upstream, d)}
		case ep.instance != i:
			ep = &endpoint{instance: i, pool: ep.pool}
		}
		ep.pool.SetLimit(share.Connections)
		endpoints[i.ID] = ep
	}
	for id, ep := range d.workers {
		if endpoints[id] == nil || endpoints[id].pool != ep.pool {
			ep.pool.Close()
		}
	}
	d.workers = endpoints
	d.deliver(d.router.SetWorkers(workers, now))
}

// acknowledged returns the newest adopted view for which no request is left on a
// slot that this entry lost.
func (d *dispatcher) acknowledged() roster.SettledView {
	d.mu.Lock()
	defer d.unlock()
	now := time.Now()
	share := func(id unit.InstanceID) int { return d.partition.Share(id, now).Slots }
	if !d.router.ExceedsShares(share, now) {
		d.clearedView = d.partition.ReleaseLostSlots()
	}
	return d.clearedView
}

// recordAcknowledgement records the view that a peer acknowledged.
func (d *dispatcher) recordAcknowledgement(peer unit.EntryID, settled roster.SettledView) {
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

// admit waits until the router assigns a worker to the request or rejects it, or until
// its deadline passes. The endpoint is nil unless a worker was assigned.
func (d *dispatcher) admit(ctx context.Context, q *route.Request) (*endpoint, route.Reason) {
	d.mu.Lock()
	d.lastAttemptID++
	q.Attempt = d.lastAttemptID
	decision, decided := d.router.Route(*q, time.Now())
	if decided {
		ep := d.workers[decision.Worker]
		d.unlock()
		return ep, decision.Reason
	}
	c := make(chan route.Decision, 1)
	d.waiters[q.Attempt] = c
	d.unlock()
	select {
	case d.waitStarted <- struct{}{}:
	default:
	}
	deadline := time.NewTimer(time.Until(q.Deadline))
	defer deadline.Stop()
	select {
	case decision = <-c:
	case <-ctx.Done():
		decision = d.cancelWait(q.Attempt, c)
	case <-deadline.C:
		decision = d.cancelWait(q.Attempt, c)
	}
	if decision.Reason != route.ReasonNone {
		return nil, decision.Reason
	}
	d.mu.Lock()
	defer d.unlock()
	return d.workers[decision.Worker], decision.Reason
}

// cancelWait withdraws a queued request. If the router has decided in the meantime,
// it returns that decision.
func (d *dispatcher) cancelWait(id route.AttemptID, c chan route.Decision) route.Decision {
	d.mu.Lock()
	defer d.unlock()
	if d.router.Abandon(id) {
		delete(d.waiters, id)
		return route.Decision{Attempt: id, Reason: route.ReasonDeadline}
	}
	return <-c
}

// recordEnd passes the end of an exchange to the router.
func (d *dispatcher) recordEnd(id route.AttemptID, end route.ExchangeEnd) {
	d.mu.Lock()
	defer d.unlock()
	d.deliver(d.router.HandleEnd(id, end, time.Now()))
}

// checkSend returns an error if the worker takes no new requests or this entry's
// slots are no longer valid. It is called immediately before a send.
func (d *dispatcher) checkSend(worker unit.InstanceID, now time.Time) error {
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
	d.retryBudget.RecordRequest(time.Now())
}

func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.unlock()
	return d.retryBudget.TakeRetry(time.Now())
}

func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.deliver(d.router.Tick(now))
}

func (d *dispatcher) nextTick(now time.Time) time.Time {
	d.mu.Lock()
	defer d.unlock()
	return d.router.NextTick(now)
}

func (d *dispatcher) hasSlots() bool {
	d.mu.Lock()
	defer d.unlock()
	return d.viewSettled
}

func (d *dispatcher) waitingRequests() int {
	d.mu.Lock()
	defer d.unlock()
	return d.router.Waiting()
}

// deliver passes decisions to the queued requests.
func (d *dispatcher) deliver(decisions []route.Decision) {
	for _, decision := range decisions {
		d.waiters[decision.Attempt] <- decision // buffered for its only decision, so never blocks
		delete(d.waiters, decision.Attempt)
	}
}

// unlock releases the lock and then reports changes of worker health, so that a slow
// callback does not hold the lock.
func (d *dispatcher) unlock() {
	changes := d.router.TakeHealthChanges()
	d.mu.Unlock()
	for _, c := range changes {
		d.onHealthChange(c.Worker, string(c.From), string(c.To))
	}
}

// close closes all pools and waits for their connections. The caller ensures that no
// request is in flight.
func (d *dispatcher) close() {
	d.mu.Lock()
	endpoints := d.workers
	d.workers = map[unit.InstanceID]*endpoint{}
	d.unlock()
	for _, ep := range endpoints {
		ep.pool.Close()
		<-ep.pool.Done()
	}
}
