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
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

var errDraining = errors.New("the worker takes no new requests")

// floor holds the workers: the router with its waiting requests, the slots of
// this entry, and the connections.
type floor struct {
	note  func(worker unit.InstanceID, from, to string)
	woken chan struct{} // a request began to wait, so next may be earlier

	mu        sync.Mutex
	router    *route.Router
	budget    route.Budget
	partition *slot.Partition
	waiting   map[route.Ticket]chan route.Decision
	workers   map[unit.InstanceID]*station
	last      route.Ticket
	started   bool              // the first view has settled
	cleared   roster.Settlement // newest view without a request on a lost slot
}

// station is a worker with its connections. It is not changed, since requests in
// flight refer to it.
type station struct {
	instance store.Instance
	pool     *upstream.Pool
}

func newFloor(p *slot.Partition, note func(unit.InstanceID, string, string)) *floor {
	return &floor{
		note:      note,
		woken:     make(chan struct{}, 1),
		router:    route.New(),
		partition: p,
		waiting:   map[route.Ticket]chan route.Decision{},
		workers:   map[unit.InstanceID]*station{},
	}
}

// update takes over the workers and the view.
func (f *floor) update(instances []store.Instance, doc *spec.Document, view slot.View, asOf, now time.Time) {
	f.mu.Lock()
	defer f.unlock()
	f.partition.Adopt(view, asOf, now)
	limits := make([]slot.Worker, 0, len(instances))
	for _, i := range instances {
		limits = append(limits, slot.Worker{ID: i.ID, Slots: i.Slots, Connections: i.Connections})
	}
	f.partition.SetWorkers(limits)
	f.started = f.started || f.partition.Settled(now)
	workers := make([]route.Worker, 0, len(instances))
	stations := make(map[unit.InstanceID]*station, len(instances))
	for _, i := range instances {
		share := f.partition.Share(i.ID, now)
		workers = append(workers, route.Worker{
			ID: i.ID, Service: i.Service, Slots: share.Slots,
			Draining: i.State != store.InstanceLive || doc.ZoneOut(i.Zone),
		})
		s := f.workers[i.ID]
		switch {
		case s == nil || s.instance.Upstream != i.Upstream:
			s = &station{instance: i, pool: upstream.NewPool(i.ID, i.Upstream, f)}
		case s.instance != i:
			s = &station{instance: i, pool: s.pool}
		}
		s.pool.SetLimit(share.Connections)
		stations[i.ID] = s
	}
	for id, s := range f.workers {
		if stations[id] == nil || stations[id].pool != s.pool {
			s.pool.Close()
		}
	}
	f.workers = stations
	f.deliver(f.router.SetWorkers(workers, now))
}

// acknowledged returns the newest view that the entry has adopted without a
// request left on a slot that it lost.
func (f *floor) acknowledged() roster.Settlement {
	f.mu.Lock()
	defer f.unlock()
	now := time.Now()
	for id := range f.workers {
		if f.router.InUse(id, now) > f.partition.Share(id, now).Slots {
			return f.cleared
		}
	}
	f.cleared = f.partition.GiveUp()
	return f.cleared
}

// acknowledge notes what a peer acknowledged.
func (f *floor) acknowledge(peer unit.EntryID, settled roster.Settlement) {
	f.mu.Lock()
	defer f.unlock()
	f.partition.Acknowledge(peer, settled, time.Now())
}

// Reachable implements upstream.Observer.
func (f *floor) Reachable(worker unit.InstanceID, err error) {
	if err != nil {
		f.mu.Lock()
		defer f.unlock()
		f.router.Unreachable(worker, time.Now())
	}
}

// admit waits for a decision on the request. The station is nil if it was
// rejected.
func (f *floor) admit(ctx context.Context, q *route.Request) (*station, route.Reason) {
	f.mu.Lock()
	f.last++
	q.Ticket = f.last
	d, decided := f.router.Arrive(*q, time.Now())
	if decided {
		s := f.workers[d.Worker]
		f.unlock()
		return s, d.Reason
	}
	c := make(chan route.Decision, 1)
	f.waiting[q.Ticket] = c
	f.unlock()
	select {
	case f.woken <- struct{}{}:
	default:
	}
	deadline := time.NewTimer(time.Until(q.Deadline))
	defer deadline.Stop()
	select {
	case d = <-c:
	case <-ctx.Done():
		d = f.leave(q.Ticket, c)
	case <-deadline.C:
		d = f.leave(q.Ticket, c)
	}
	if d.Reason != route.ReasonNone {
		return nil, d.Reason
	}
	f.mu.Lock()
	defer f.unlock()
	return f.workers[d.Worker], d.Reason
}

// leave ends the wait for a decision, which may have come at the same moment.
func (f *floor) leave(t route.Ticket, c chan route.Decision) route.Decision {
	f.mu.Lock()
	defer f.unlock()
	if f.router.Abandon(t) {
		delete(f.waiting, t)
		return route.Decision{Ticket: t, Reason: route.ReasonLate}
	}
	return <-c
}

// ended reports the end of an exchange.
func (f *floor) ended(t route.Ticket, e route.End) {
	f.mu.Lock()
	defer f.unlock()
	f.deliver(f.router.Ended(t, e, time.Now()))
}

// allowed is asked immediately before a send.
func (f *floor) allowed(worker unit.InstanceID, now time.Time) error {
	f.mu.Lock()
	defer f.unlock()
	if !f.router.Allowed(worker, now) || !now.Before(f.partition.UseUntil()) {
		return errDraining
	}
	return nil
}

func (f *floor) countRequest() {
	f.mu.Lock()
	defer f.unlock()
	f.budget.Request(time.Now())
}

func (f *floor) mayRetry() bool {
	f.mu.Lock()
	defer f.unlock()
	return f.budget.Retry(time.Now())
}

func (f *floor) tick(now time.Time) {
	f.mu.Lock()
	defer f.unlock()
	f.deliver(f.router.Tick(now))
}

func (f *floor) next(now time.Time) time.Time {
	f.mu.Lock()
	defer f.unlock()
	return f.router.Next(now)
}

func (f *floor) settled() bool {
	f.mu.Lock()
	defer f.unlock()
	return f.started
}

func (f *floor) waitingRequests() int {
	f.mu.Lock()
	defer f.unlock()
	return f.router.Waiting()
}

// deliver passes decisions to the requests that wait for them.
func (f *floor) deliver(decisions []route.Decision) {
	for _, d := range decisions {
		f.waiting[d.Ticket] <- d // has room for its one decision
		delete(f.waiting, d.Ticket)
	}
}

// unlock releases the lock and then reports the changes of health, since the
// receiver may take its time.
func (f *floor) unlock() {
	changes := f.router.TakeChanges()
	f.mu.Unlock()
	for _, c := range changes {
		f.note(c.Worker, string(c.From), string(c.To))
	}
}

// close waits until all connections are closed. No request is in flight.
func (f *floor) close() {
	f.mu.Lock()
	stations := f.workers
	f.workers = map[unit.InstanceID]*station{}
	f.unlock()
	for _, s := range stations {
		s.pool.Close()
		<-s.pool.Done()
	}
}
