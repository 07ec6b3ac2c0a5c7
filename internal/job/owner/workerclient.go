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

// Times of the contact with a worker.
const (
	// busyHeartbeatWait and idleWait bound how old the report of a worker gets.
	busyHeartbeatWait = 400 * time.Millisecond
	idleHeartbeatWait = 1200 * time.Millisecond
	// ackInterval is the time between two orders while the worker lists ends that are
	// not acknowledged yet: it does not wait then.
	ackInterval = 100 * time.Millisecond
	// responseSlack is how long after its wait an answer is overdue.
	responseSlack = 500 * time.Millisecond
	orderTimeout  = 500 * time.Millisecond
	// startWindow is how late a start may arrive at a worker.
	startWindow = 2 * time.Second
	// heartbeatRetryDelay is the pause after a hold order that failed.
	heartbeatRetryDelay = 200 * time.Millisecond
)

// maxOrdersInFlight is the number of orders that are under way to a worker at a time.
const maxOrdersInFlight = 2

// workerClient keeps in touch with one worker: one goroutine holds, others carry orders.
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
	clock       unit.WorkerTime // reading of the worker's clock
	clockReadAt time.Time       // when the answer with the reading arrived
	incarnation scheduler.Incarnation
}

func newWorkerClient(sh *shard, l scheduler.Listing) *workerClient {
	ctx, cancel := context.WithCancel(sh.ctx)
	c := &workerClient{
		shard: sh, log: sh.log.WithValues("worker", l.ID), id: l.ID, address: l.Address,
		worker: sh.service.fleet.Connect(l.ID, l.Address),
		ctx:    ctx, cancel: cancel,
		wake: make(chan struct{}, maxOrdersInFlight),
	}
	sh.goroutines.Go(c.heartbeatLoop)
	for range maxOrdersInFlight {
		sh.goroutines.Go(c.sendOrders)
	}
	return c
}

// enqueue queues an order for the worker.
func (c *workerClient) enqueue(o scheduler.Order) {
	c.mu.Lock()
	c.queue = append(c.queue, o)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // all carriers are awake
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

// sendOrders carries orders to the worker, one after the other.
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

// errOwnershipStale says that this entry may not be the owner any more.
var errOwnershipStale = errors.New("ownership not confirmed lately")

// execute carries out one order. Whether this entry may still give it is checked last.
func (c *workerClient) execute(o scheduler.Order) {
	now := time.Now()
	outcome := scheduler.OutcomeNotSent
	// The deadline is computed before the ownership is checked: however late the
	// order is sent after that, it counts from the check.
	until := c.workerDeadline(startWindow)
	switch {
	case o.Kind == scheduler.OrderStart && (until == 0 || !c.shard.service.ownership.MayOrder(time.Now()) || c.ctx.Err() != nil):
	case c.ctx.Err() != nil:
		return
	default:
		if o.Kind == scheduler.OrderStart {
			c.recordLease(startWindow)
		}
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		var clock unit.WorkerTime
		outcome, clock = c.worker.Do(ctx, o, c.shard.term.Epoch, until)
		cancel()
		c.recordClock(clock, 0)
		metric.OrderTime.Record(time.Since(now))
	}
	if o.FirstStart {
		metric.StartTime.Record(now.Sub(o.JobDue))
	}
	metric.Orders.Add(kindName(o.Kind)+" "+outcome.String(), 1)
	// Paces that were carried out are frequent and are counted only.
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

var kindNames = [...]string{scheduler.OrderStart: "start", scheduler.OrderStop: "stop", scheduler.OrderPace: "pace"}

func kindName(k scheduler.OrderKind) string { return kindNames[k] }

// workerDeadline returns the reading of the worker's clock that is surely reached
// within d, or 0 if nothing is known of the clock.
func (c *workerClient) workerDeadline(d time.Duration) unit.WorkerTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clockReadAt.IsZero() {
		return 0
	}
	return c.clock.Add(time.Since(c.clockReadAt) + d)
}

// recordLease notes in the core when a recordLease of length d given now has surely expired.
func (c *workerClient) recordLease(d time.Duration) {
	lapse := time.Now().Add(withMaxDrift(d) + responseSlack)
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.core.RecordLease(c.id, lapse)
}

// recordClock keeps the newest reading of the worker's clock.
func (c *workerClient) recordClock(clock unit.WorkerTime, born scheduler.Incarnation) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if born != 0 && born != c.incarnation {
		c.incarnation, c.clock = born, 0
	}
	if clock > c.clock {
		c.clock, c.clockReadAt = clock, time.Now()
	}
}

// heartbeatLoop renews the worker's lease and takes its reports, one order at a time.
func (c *workerClient) heartbeatLoop() {
	defer c.worker.Close()
	failures := 0
	for c.ctx.Err() == nil {
		if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
			wait.For(c.ctx, heartbeatRetryDelay)
			continue
		}
		// After a failure the lease is not extended until the worker answers: an
		// unanswered order may be carried out, and the tasks of a worker that is
		// gone could not start elsewhere.
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

func (c *workerClient) heartbeat(probe bool) error {
	c.shard.mu.Lock()
	born, cursor := c.shard.core.AckCursor(c.id)
	hold := idleHeartbeatWait
	if c.shard.core.HasRuns(c.id) {
		hold = busyHeartbeatWait
	}
	c.shard.mu.Unlock()
	c.mu.Lock()
	known := c.incarnation
	c.mu.Unlock()
	if born != known {
		cursor = 0 // the ends of another incarnation
	}
	until := c.workerDeadline(workerLeaseTTL)
	if probe {
		until = 0
	}
	if until == 0 {
		hold = 0
	} else {
		c.recordLease(workerLeaseTTL)
	}
	// Checked again after the deadline is known: the wait for the core may have been
	// long, and the lease must not outlast what the next owner counts on.
	if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
		return errOwnershipStale
	}
	ctx, cancel := context.WithTimeout(c.ctx, hold+responseSlack)
	defer cancel()
	report, clock, err := c.worker.Hold(ctx, c.shard.term.Epoch, until, cursor, hold)
	if err != nil {
		return errors.Errorf("hold: %w", err)
	}
	c.recordClock(clock, report.Incarnation)
	c.shard.update(func(core *scheduler.Core, now time.Time) { core.HandleReport(c.id, report, now) })
	for _, e := range report.Ended {
		if e.Number > cursor {
			metric.Ends.Add(e.Kind.String(), 1)
		}
	}
	if len(report.Ended) > 0 {
		wait.For(c.ctx, ackInterval)
	}
	return nil
}
