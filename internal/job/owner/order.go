package owner

import (
	"context"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// maxOrdersInFlight is the largest number of unanswered orders to one worker.
const maxOrdersInFlight = 2

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

// dequeue removes the next order from the queue: the oldest stop, or the oldest order. A
// start in front of a stop may take maxOrderTimeout.
func (c *workerClient) dequeue() (scheduler.Order, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return scheduler.Order{}, false
	}
	next := max(0, slices.IndexFunc(c.queue, func(o scheduler.Order) bool { return o.Kind == scheduler.OrderStop }))
	o := c.queue[next]
	c.queue = slices.Delete(c.queue, next, next+1)
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

// admission says whether an order is sent.
type admission uint8

// Verdicts on an order.
const (
	orderAdmitted  admission = iota + 1
	orderWithdrawn           // the core does not want it any more; it has no outcome
	orderRefused             // it may not be sent now
)

// admit decides whether an order is sent now, and returns by when a worker may accept a
// start. Whether this entry may still start tasks is checked last.
func (c *workerClient) admit(o scheduler.Order) (until unit.WorkerTime, verdict admission) {
	// The deadline is computed before the ownership is checked, so that it is no
	// later than maxStartWindow after the check however late the order is sent.
	until, window := c.startDeadline(o)
	start := o.Kind == scheduler.OrderStart
	switch {
	case c.ctx.Err() != nil, start && (until == 0 || window < minStartWindow):
		return 0, orderRefused
	case !c.beginOrder(o):
		return 0, orderWithdrawn
	case start && !c.shard.service.ownership.MayOrder(time.Now()):
		return 0, orderRefused
	}
	return until, orderAdmitted
}

// startDeadline returns by when the worker may accept a start that is sent now, or 0 if no
// reading of its clock is known, and how long that is from now. The clock is read before the
// ages of the views, so that a delay in between makes the deadline earlier and not later than
// the views allow.
func (c *workerClient) startDeadline(o scheduler.Order) (until unit.WorkerTime, window time.Duration) {
	reading := c.workerDeadline(0)
	window = c.shard.startWindowOf(o, time.Now())
	if reading == 0 {
		return 0, window
	}
	return reading.Add(window), window
}

// execute sends one order, unless the core does not want it any more, and passes its
// outcome to the core.
func (c *workerClient) execute(o scheduler.Order) {
	now := time.Now()
	incarnation := c.knownIncarnation() // the answer does not name the one that gave it
	until, verdict := c.admit(o)
	if verdict == orderWithdrawn {
		metric.Orders.Add(kindName(o.Kind)+" withdrawn", 1)
		return
	}
	outcome := scheduler.OutcomeNotSent
	if verdict == orderAdmitted {
		ctx, cancel := context.WithTimeout(c.ctx, c.orderTimeout())
		var clock unit.WorkerTime
		outcome, clock = c.worker.Do(ctx, o, c.shard.term.Epoch, until)
		cancel()
		c.recordClock(clock, incarnation)
		c.recordOrderTime(time.Since(now))
		metric.OrderLatency.Record(time.Since(now))
	}
	c.shard.settleOrders([]settledOrder{{o, outcome}}, now, "")
}

// settleOrders logs the outcomes of orders that were sent at sentAt, through the entry via
// if that is not empty, and passes them to the core.
func (sh *shard) settleOrders(orders []settledOrder, sentAt time.Time, via unit.EntryID) {
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		if o.FirstStart {
			metric.FirstStartLatency.Record(sentAt.Sub(o.JobDue))
		}
		metric.Orders.Add(kindName(o.Kind)+" "+o.outcome.String(), 1)
		// Successful pace orders are frequent, so they are counted but not logged.
		if o.outcome != scheduler.OutcomeDone || o.Kind != scheduler.OrderPace {
			// Values of the type string take a fraction of the time of those of other types.
			sh.log.Info("order", "worker", string(o.Worker), "kind", kindName(o.Kind), "job", string(o.Task.Job), "occurrence", o.Task.Occurrence, "step", o.Task.Step,
				"task", o.Task.Index, "run", o.Run, "reason", string(o.Reason), "percent", o.PacePercent, "via", string(via), "outcome", o.outcome.String())
		}
	}
	sh.update(func(core *scheduler.Core, now time.Time) {
		for _, o := range orders {
			switch o.Kind {
			case scheduler.OrderStart:
				core.HandleStartOutcome(o.Order, o.outcome, now)
			case scheduler.OrderStop:
				core.HandleStopOutcome(o.Order, o.outcome, now)
			case scheduler.OrderPace:
				core.HandlePaceOutcome(o.Order, o.outcome, now)
			}
		}
	})
}

// orderTimeout returns the timeout of the next order.
func (c *workerClient) orderTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(minOrderTimeout, 2*c.orderTime), maxOrderTimeout)
}

// recordOrderTime records how long an order took. That of one without an answer is its
// timeout.
func (c *workerClient) recordOrderTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderTime = d
}

// beginOrder reports whether the core still wants an order, and records the lease that
// it grants.
func (c *workerClient) beginOrder(o scheduler.Order) bool {
	leaseExpiresAt := leaseExpiry(maxStartWindow)
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	return c.shard.core.BeginOrder(o, leaseExpiresAt, time.Now())
}

var kindNames = [...]string{scheduler.OrderStart: "start", scheduler.OrderStop: "stop", scheduler.OrderPace: "pace"}

func kindName(k scheduler.OrderKind) string { return kindNames[k] }
