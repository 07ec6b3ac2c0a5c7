package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

func (c *Core) fence() worker.Fence { return worker.Fence{Shard: c.Shard.String(), Epoch: c.Epoch} }

// sendOrders sends a batch of orders that are due, if any. Starts are sent in
// separate batches, since only they have a deadline.
func (c *Core) sendOrders(w *workerState) {
	tasks := w.sortedTasks()
	var orders []worker.Order
	for _, t := range tasks {
		if o, due := c.dueOrder(t); due && len(orders) < maxOrders {
			orders = append(orders, o)
			t.lastOrder = c.now
		}
	}
	for _, ref := range sortedRefs(w.unknownAttempts) {
		if c.now.Sub(w.unknownAttempts[ref]) >= orderRetryInterval && len(orders) < maxOrders {
			w.unknownAttempts[ref] = c.now
			orders = append(orders, worker.Order{Ref: ref, Action: worker.ActionStop})
		}
	}
	var deadline time.Time
	if len(orders) == 0 {
		if deadline = c.startDeadline(); deadline.IsZero() || !w.open {
			return
		}
		orders = c.startOrders(w, tasks)
	}
	if len(orders) == 0 {
		return
	}
	w.callInFlight = true
	c.actions = append(c.actions, SendOrders{
		Worker: w.id, Deadline: deadline,
		Batch: worker.OrderBatch{Fence: c.fence(), Boot: w.reading.Boot, Orders: orders},
	})
}

// dueOrder returns the checkpoint, stop or throttle order that is due for an
// attempt, if any.
func (c *Core) dueOrder(t *task) (worker.Order, bool) {
	o := worker.Order{Ref: t.ref(), Action: t.eviction}
	if !t.startSent || c.now.Sub(t.lastOrder) < orderRetryInterval {
		return o, false
	}
	if t.eviction == "" && t.throttleShare != 0 && t.throttleShare != t.reportedShare && t.seenRunning {
		o.Action, o.Share = worker.ActionThrottle, t.throttleShare
	}
	return o, o.Action != ""
}

// startOrders returns the starts of the attempts that are durable. From then on
// an attempt may be running until its worker reports its end or its lease
// expires.
func (c *Core) startOrders(w *workerState, tasks []*task) []worker.Order {
	var orders []worker.Order
	for _, t := range tasks {
		if t.startSent || t.placedByChange > c.commit.durableChange || len(orders) == maxOrders {
			continue
		}
		end := w.reading.LeaseEnd(c.now)
		t.startSent, t.startBoot = true, w.reading.Boot
		t.notAfter = w.reading.NotAfter(c.notAfter())
		t.leaseExpiry = w.reading.ExpiryTime(end)
		w.startsInFlight = append(w.startsInFlight, t.ref())
		declared := &t.job.record.Job
		orders = append(orders, worker.Order{
			Ref: t.ref(), Action: worker.ActionStart, Class: declared.Class, Size: t.size, Work: declared.Work,
			Payload: declared.Payload, Checkpoint: t.Checkpoint, LeaseEnd: end, NotAfter: t.notAfter,
		})
		c.recordEvent("starting", "", t.subjects()...)
	}
	return orders
}

func (c *Core) handleOrdersSent(e OrdersSent) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.callInFlight = false
	starts := w.startsInFlight
	w.startsInFlight = nil
	switch e.Fault {
	case FaultNone:
		for _, r := range e.Reply.Results {
			c.handleOrderResult(w, r, slices.Contains(starts, r.Ref))
		}
		w.pollSoon(c.now)
	case FaultNoEffect:
		w.nextOrders = c.now.Add(pollInterval)
		for _, ref := range starts {
			t := w.tasks[ref]
			if t == nil {
				continue
			}
			evicted := t.eviction != ""
			t.attempt = attempt{reserved: t.reserved, size: t.size, placedByChange: t.placedByChange}
			if evicted {
				c.withdrawAttempt(t)
			}
		}
	case FaultStaleEpoch:
		w.staleEpoch = true
		c.loseShard("worker " + string(w.id) + " has seen a higher epoch")
	default:
		w.pollSoon(c.now)
	}
}

// handleOrderResult applies the result of one order. For a start, only CodeOK and
// CodeLate are final: after any other refusal the worker may still accept a
// delayed copy of the order until NotAfter.
func (c *Core) handleOrderResult(w *workerState, r worker.Result, start bool) {
	t := w.tasks[r.Ref]
	if t == nil || !start {
		return
	}
	switch r.Code {
	case worker.CodeOK:
		c.markRunning(t)
	case worker.CodeLate:
		c.endAttempt(t, worker.Status{Phase: worker.PhaseStopped})
	default:
		t.startRefusal = string(r.Code)
		c.recordEvent("start refused", t.startRefusal, t.subjects()...)
	}
}
