package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

func (c *Core) fence() worker.Fence { return worker.Fence{Shard: c.Shard.String(), Epoch: c.Epoch} }

// sendOrders sends one batch if orders are due. Starts go in a batch of their
// own, since only they have a deadline.
func (c *Core) sendOrders(n *node) {
	tasks := n.sorted()
	var orders []worker.Order
	for _, t := range tasks {
		if o, due := c.orderAgainst(t); due && len(orders) < maxOrders {
			orders = append(orders, o)
			t.ordered = c.now
		}
	}
	for _, ref := range sortedRefs(n.unknowns) {
		if c.now.Sub(n.unknowns[ref]) >= orderInterval && len(orders) < maxOrders {
			n.unknowns[ref] = c.now
			orders = append(orders, worker.Order{Ref: ref, Action: worker.ActionStop})
		}
	}
	var deadline time.Time
	if len(orders) == 0 {
		if deadline = c.startDeadline(); deadline.IsZero() || !n.open {
			return
		}
		orders = c.startOrders(n, tasks)
	}
	if len(orders) == 0 {
		return
	}
	n.busy = true
	c.actions = append(c.actions, SendOrders{
		Worker: n.id, Deadline: deadline,
		Batch: worker.OrderBatch{Fence: c.fence(), Boot: n.reading.Boot, Orders: orders},
	})
}

// orderAgainst returns the order about an eviction or a throttle that is due.
func (c *Core) orderAgainst(t *task) (worker.Order, bool) {
	o := worker.Order{Ref: t.ref(), Action: t.push}
	if !t.sent || c.now.Sub(t.ordered) < orderInterval {
		return o, false
	}
	if t.push == "" && t.share != 0 && t.share != t.actual && t.seen {
		o.Action, o.Share = worker.ActionThrottle, t.share
	}
	return o, o.Action != ""
}

// startOrders returns the starts that are durable. From here on an attempt may be
// running until the worker or the expiry of its lease says otherwise.
func (c *Core) startOrders(n *node, tasks []*task) []worker.Order {
	var orders []worker.Order
	for _, t := range tasks {
		if t.sent || t.written > c.book.durable || len(orders) == maxOrders {
			continue
		}
		end := n.reading.LeaseEnd(c.now)
		t.sent, t.boot = true, n.reading.Boot
		t.notAfter = n.reading.NotAfter(c.notAfter())
		t.expires = n.reading.ExpiryTime(end)
		n.starts = append(n.starts, t.ref())
		declared := &t.job.record.Job
		orders = append(orders, worker.Order{
			Ref: t.ref(), Action: worker.ActionStart, Class: declared.Class, Size: t.size, Work: declared.Work,
			Payload: declared.Payload, Checkpoint: t.Checkpoint, LeaseEnd: end, NotAfter: t.notAfter,
		})
		c.note("starting", "", t.subjects()...)
	}
	return orders
}

func (c *Core) ordered(e OrdersSent) {
	n := c.nodes[e.Worker]
	if n == nil {
		return
	}
	n.busy = false
	starts := n.starts
	n.starts = nil
	switch e.Fault {
	case FaultNone:
		for _, r := range e.Reply.Results {
			c.result(n, r, slices.Contains(starts, r.Ref))
		}
		n.probe(c.now)
	case FaultNoEffect:
		n.retry = c.now.Add(probeInterval)
		for _, ref := range starts {
			t := n.tasks[ref]
			if t == nil {
				continue
			}
			evicted := t.push != ""
			t.attempt = attempt{reserved: t.reserved, size: t.size, written: t.written}
			if evicted {
				c.withdraw(t)
			}
		}
	case FaultStaleEpoch:
		n.stale = true
		c.lose("worker " + string(n.id) + " has seen a higher epoch")
	default:
		n.probe(c.now)
	}
}

// result takes the answer to one order. Only an accepted or a late start says
// anything final: after any other refusal a copy of the order that was delayed
// may still be accepted until NotAfter.
func (c *Core) result(n *node, r worker.Result, start bool) {
	t := n.tasks[r.Ref]
	if t == nil || !start {
		return
	}
	switch r.Code {
	case worker.CodeOK:
		c.running(t)
	case worker.CodeLate:
		c.over(t, worker.Status{Phase: worker.PhaseStopped})
	default:
		t.refused = string(r.Code)
		c.note("start refused", t.refused, t.subjects()...)
	}
}
