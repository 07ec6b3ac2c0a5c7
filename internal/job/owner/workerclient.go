package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// Timeouts and intervals of the requests to a worker.
const (
	// busyHeartbeatWait and idleHeartbeatWait are how long a worker with and without
	// runs may delay the answer to a heartbeat. They bound the age of its report.
	busyHeartbeatWait = 400 * time.Millisecond
	idleHeartbeatWait = 1200 * time.Millisecond
	// ackInterval is the time between two heartbeats while the worker lists ends that
	// are not acknowledged yet, since it then answers without waiting.
	ackInterval = 100 * time.Millisecond
	// responseSlack is how long after the wait of a heartbeat its answer may arrive.
	responseSlack = 500 * time.Millisecond
	orderTimeout  = 500 * time.Millisecond
	// startWindow is how long after a start order is sent the worker may accept it.
	startWindow = 2 * time.Second
	// heartbeatRetryDelay is the time between a failed heartbeat and the next one.
	heartbeatRetryDelay = 200 * time.Millisecond
)

// maxOrdersInFlight is the largest number of unanswered orders to one worker.
const maxOrdersInFlight = 2

// workerClient renews the lease of one worker in one goroutine and sends it orders
// in maxOrdersInFlight others.
type workerClient struct {
	shard   *shard
	log     logr.Logger
	id      unit.InstanceID
	address string
	worker  Worker
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mu          sync.Mutex
	queue       []scheduler.Order
	clock       unit.WorkerTime // latest reading of the worker's clock
	clockReadAt time.Time       // when the answer with that reading arrived
	incarnation scheduler.Incarnation
}

func newWorkerClient(sh *shard, listing scheduler.Listing) *workerClient {
	ctx, cancel := context.WithCancel(sh.ctx)
	c := &workerClient{
		shard: sh, log: sh.log.WithValues("worker", listing.ID), id: listing.ID, address: listing.Address,
		worker: sh.service.fleet.Connect(listing.ID, listing.Address),
		ctx:    ctx, cancel: cancel,
		wake: make(chan struct{}, maxOrdersInFlight),
	}
	sh.goroutines.Go(c.heartbeatLoop)
	for range maxOrdersInFlight {
		sh.goroutines.Go(c.sendOrders)
	}
	return c
}

// enqueue adds an order to the queue of the worker.
func (c *workerClient) enqueue(o scheduler.Order) {
	c.mu.Lock()
	c.queue = append(c.queue, o)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // the sending goroutines have enough wake-ups pending
	}
}

func (c *workerClient) dequeue() (scheduler.Order, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return scheduler.Order{}, false
	}
	o := c.queue[0]
	c.queue = c.queue[1:]
	return o, true
}

// sendOrders sends queued orders to the worker, one at a time.
func (c *workerClient) sendOrders() {
	for {
		o, ok := c.dequeue()
		if ok {
			c.execute(o)
			continue
		}
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
	}
}

// errOwnershipStale means that the view of the ownership is too old to renew leases:
// another entry may own the shard.
var errOwnershipStale = errors.New("ownership not confirmed lately")

// execute sends one order, unless the core does not want it any more, and passes its
// outcome to the core. Whether this entry may still start tasks is checked last.
func (c *workerClient) execute(o scheduler.Order) {
	now := time.Now()
	outcome := scheduler.OutcomeNotSent
	// The deadline is computed before the ownership is checked, so that it is no
	// later than startWindow after the check however late the order is sent.
	until := c.workerDeadline(startWindow)
	start := o.Kind == scheduler.OrderStart
	switch {
	case c.ctx.Err() != nil, start && until == 0:
	case !c.beginOrder(o):
		metric.Orders.Add(kindName(o.Kind)+" withdrawn", 1)
		return
	case start && !c.shard.service.ownership.MayOrder(time.Now()):
	default:
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		var clock unit.WorkerTime
		outcome, clock = c.worker.Do(ctx, o, c.shard.term.Epoch, until)
		cancel()
		c.recordClock(clock, 0)
		metric.OrderLatency.Record(time.Since(now))
	}
	if o.FirstStart {
		metric.FirstStartLatency.Record(now.Sub(o.JobDue))
	}
	metric.Orders.Add(kindName(o.Kind)+" "+outcome.String(), 1)
	// Successful pace orders are frequent, so they are counted but not logged.
	if outcome != scheduler.OutcomeDone || o.Kind != scheduler.OrderPace {
		c.log.Info("order", "kind", kindName(o.Kind), "job", o.Task.Job, "occurrence", o.Task.Occurrence, "step", o.Task.Step,
			"task", o.Task.Index, "run", o.Run, "reason", o.Reason, "percent", o.PacePercent, "outcome", outcome.String())
	}
	c.shard.update(func(core *scheduler.Core, now time.Time) {
		switch o.Kind {
		case scheduler.OrderStart:
			core.HandleStartOutcome(o, outcome, now)
		case scheduler.OrderStop:
			core.HandleStopOutcome(o, outcome, now)
		case scheduler.OrderPace:
			core.HandlePaceOutcome(o, outcome, now)
		}
	})
}

// beginOrder reports whether the core still wants an order, and records the lease that
// it grants.
func (c *workerClient) beginOrder(o scheduler.Order) bool {
	leaseExpiresAt := leaseExpiry(startWindow)
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	return c.shard.core.BeginOrder(o, leaseExpiresAt, time.Now())
}

var kindNames = [...]string{scheduler.OrderStart: "start", scheduler.OrderStop: "stop", scheduler.OrderPace: "pace"}

func kindName(k scheduler.OrderKind) string { return kindNames[k] }

// workerDeadline returns a reading that the worker's clock reaches within d from now,
// up to clock drift, or 0 if no reading of the clock is known.
func (c *workerClient) workerDeadline(d time.Duration) unit.WorkerTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clockReadAt.IsZero() {
		return 0
	}
	return c.clock.Add(time.Since(c.clockReadAt) + d)
}

// leaseExpiry returns by when a lease of length d granted now has expired, even with
// the largest clock drift.
func leaseExpiry(d time.Duration) time.Time { return time.Now().Add(withMaxDrift(d) + responseSlack) }

// recordLease tells the core by when a lease of length d granted now has expired,
// even with the largest clock drift.
func (c *workerClient) recordLease(d time.Duration) {
	expiresAt := leaseExpiry(d)
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.core.RecordLease(c.id, expiresAt)
}

// recordClock keeps the highest reading of the worker's clock. A new incarnation
// replaces it, since its clock is another one.
func (c *workerClient) recordClock(clock unit.WorkerTime, incarnation scheduler.Incarnation) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation != 0 && incarnation != c.incarnation {
		c.incarnation, c.clock = incarnation, 0
	}
	if clock > c.clock {
		c.clock, c.clockReadAt = clock, time.Now()
	}
}

// heartbeatLoop renews the worker's lease and reads its reports, with one heartbeat
// at a time.
func (c *workerClient) heartbeatLoop() {
	defer c.worker.Close()
	failures := 0
	for c.ctx.Err() == nil {
		if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
			wait.For(c.ctx, heartbeatRetryDelay)
			continue
		}
		// After a failure the lease is not extended until the worker answers. An
		// unanswered heartbeat may still extend it, so repeated ones would keep the
		// tasks of a lost worker from starting elsewhere.
		err := c.heartbeat(failures > 0)
		if err == nil {
			if failures > 0 {
				c.log.Info("worker reached again", "failures", failures)
			}
			failures = 0
			continue
		}
		if failures++; failures == 1 && c.ctx.Err() == nil {
			c.log.Info("worker not reached", "error", err.Error())
		}
		wait.For(c.ctx, heartbeatRetryDelay)
	}
}

// heartbeat sends one heartbeat and passes the report to the core. A probe does not
// extend the lease.
func (c *workerClient) heartbeat(probe bool) error {
	c.shard.mu.Lock()
	incarnation, cursor := c.shard.core.AckCursor(c.id)
	answerWait := idleHeartbeatWait
	if c.shard.core.HasRuns(c.id) {
		answerWait = busyHeartbeatWait
	}
	c.shard.mu.Unlock()
	c.mu.Lock()
	knownIncarnation := c.incarnation
	c.mu.Unlock()
	if incarnation != knownIncarnation {
		cursor = 0 // the cursor counts the ends of another incarnation
	}
	until := c.workerDeadline(workerLeaseTTL)
	if probe {
		until = 0
	}
	if until == 0 {
		answerWait = 0
	} else {
		c.recordLease(workerLeaseTTL)
	}
	// Checked again after the deadline is computed: waiting for the lock of the core
	// may have taken long, and the lease must end before the next owner assumes
	// that it has expired.
	if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
		return errOwnershipStale
	}
	ctx, cancel := context.WithTimeout(c.ctx, answerWait+responseSlack)
	defer cancel()
	report, clock, err := c.worker.Heartbeat(ctx, c.shard.term.Epoch, until, cursor, answerWait)
	if err != nil {
		return errors.Errorf("hold: %w", err)
	}
	c.recordClock(clock, report.Incarnation)
	c.shard.update(func(core *scheduler.Core, now time.Time) { core.HandleReport(c.id, report, now) })
	for _, e := range report.Ended {
		if e.Number > cursor {
			metric.RunEnds.Add(e.Kind.String(), 1)
		}
	}
	if len(report.Ended) > 0 {
		wait.For(c.ctx, ackInterval)
	}
	return nil
}
