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
	// busyWait and idleWait bound how old the report of a worker gets.
	busyWait = 400 * time.Millisecond
	idleWait = 1200 * time.Millisecond
	// ackPause is the time between two orders while the worker lists ends that are
	// not acknowledged yet: it does not wait then.
	ackPause = 100 * time.Millisecond
	// answerSlack is how long after its wait an answer is overdue.
	answerSlack  = 500 * time.Millisecond
	orderTimeout = 500 * time.Millisecond
	// startWindow is how late a start may arrive at a worker.
	startWindow = 2 * time.Second
	// failPause is the pause after a hold order that failed.
	failPause = 200 * time.Millisecond
)

// ordersPerWorker is the number of orders that are under way to a worker at a time.
const ordersPerWorker = 2

// contact keeps in touch with one worker: one goroutine holds, others carry orders.
type contact struct {
	shard   *shard
	log     logr.Logger
	id      unit.InstanceID
	address string
	worker  Worker
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mu     sync.Mutex
	orders []scheduler.Order
	clock  unit.WorkerTime // reading of the worker's clock
	read   time.Time       // when the answer with the reading arrived
	born   scheduler.Incarnation
}

func newContact(sh *shard, l scheduler.Listing) *contact {
	ctx, cancel := context.WithCancel(sh.ctx)
	c := &contact{
		shard: sh, log: sh.log.WithValues("worker", l.ID), id: l.ID, address: l.Address,
		worker: sh.service.fleet.Connect(l.ID, l.Address),
		ctx:    ctx, cancel: cancel,
		wake: make(chan struct{}, ordersPerWorker),
	}
	sh.tasks.Go(c.hold)
	for range ordersPerWorker {
		sh.tasks.Go(c.carry)
	}
	return c
}

// send queues an order for the worker.
func (c *contact) send(o scheduler.Order) {
	c.mu.Lock()
	c.orders = append(c.orders, o)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // all carriers are awake
	}
}

func (c *contact) next() (scheduler.Order, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.orders) == 0 {
		return scheduler.Order{}, false
	}
	o := c.orders[0]
	c.orders = c.orders[1:]
	return o, true
}

// carry carries orders to the worker, one after the other.
func (c *contact) carry() {
	for {
		o, ok := c.next()
		if ok {
			c.do(o)
			continue
		}
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
	}
}

// errStale says that this entry may not be the owner any more.
var errStale = errors.New("ownership not confirmed lately")

// do carries out one order. Whether this entry may still give it is checked last.
func (c *contact) do(o scheduler.Order) {
	now := time.Now()
	outcome := scheduler.OutcomeNotSent
	// The deadline is computed before the ownership is checked: however late the
	// order is sent after that, it counts from the check.
	until := c.deadline(startWindow)
	switch {
	case o.Kind == scheduler.OrderStart && (until == 0 || !c.shard.service.tenure.MayOrder(time.Now()) || c.ctx.Err() != nil):
	case c.ctx.Err() != nil:
		return
	default:
		if o.Kind == scheduler.OrderStart {
			c.lease(startWindow)
		}
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		var clock unit.WorkerTime
		outcome, clock = c.worker.Do(ctx, o, c.shard.term.Epoch, until)
		cancel()
		c.note(clock, 0)
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

// deadline returns the reading of the worker's clock that is surely reached
// within d, or 0 if nothing is known of the clock.
func (c *contact) deadline(d time.Duration) unit.WorkerTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read.IsZero() {
		return 0
	}
	return c.clock.Add(time.Since(c.read) + d)
}

// lease notes in the core when a lease of length d given now has surely expired.
func (c *contact) lease(d time.Duration) {
	lapse := time.Now().Add(longest(d) + answerSlack)
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.core.RecordLease(c.id, lapse)
}

// note keeps the newest reading of the worker's clock.
func (c *contact) note(clock unit.WorkerTime, born scheduler.Incarnation) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if born != 0 && born != c.born {
		c.born, c.clock = born, 0
	}
	if clock > c.clock {
		c.clock, c.read = clock, time.Now()
	}
}

// hold renews the worker's lease and takes its reports, one order at a time.
func (c *contact) hold() {
	defer c.worker.Close()
	failures := 0
	for c.ctx.Err() == nil {
		if !c.shard.service.tenure.MayRenewLeases(time.Now()) {
			wait.For(c.ctx, failPause)
			continue
		}
		// After a failure the lease is not extended until the worker answers: an
		// unanswered order may be carried out, and the tasks of a worker that is
		// gone could not start elsewhere.
		err := c.holdOnce(failures > 0)
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
		wait.For(c.ctx, failPause)
	}
}

func (c *contact) holdOnce(probe bool) error {
	c.shard.mu.Lock()
	born, cursor := c.shard.core.AckCursor(c.id)
	hold := idleWait
	if c.shard.core.HasRuns(c.id) {
		hold = busyWait
	}
	c.shard.mu.Unlock()
	c.mu.Lock()
	known := c.born
	c.mu.Unlock()
	if born != known {
		cursor = 0 // the ends of another incarnation
	}
	until := c.deadline(leaseLength)
	if probe {
		until = 0
	}
	if until == 0 {
		hold = 0
	} else {
		c.lease(leaseLength)
	}
	// Checked again after the deadline is known: the wait for the core may have been
	// long, and the lease must not outlast what the next owner counts on.
	if !c.shard.service.tenure.MayRenewLeases(time.Now()) {
		return errStale
	}
	ctx, cancel := context.WithTimeout(c.ctx, hold+answerSlack)
	defer cancel()
	report, clock, err := c.worker.Hold(ctx, c.shard.term.Epoch, until, cursor, hold)
	if err != nil {
		return errors.Errorf("hold: %w", err)
	}
	c.note(clock, report.Incarnation)
	c.shard.update(func(core *scheduler.Core, now time.Time) { core.HandleReport(c.id, report, now) })
	for _, e := range report.Ended {
		if e.Number > cursor {
			metric.Ends.Add(e.Kind.String(), 1)
		}
	}
	if len(report.Ended) > 0 {
		wait.For(c.ctx, ackPause)
	}
	return nil
}
