package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// orderRepeatDelay is the time after which a stop or pace order without a useful answer
// is repeated to a worker that has not reported meanwhile. Each unanswered order costs
// its connection.
const orderRepeatDelay = time.Second

// BeginOrder reports whether an order is still wanted. The caller calls it immediately
// before it sends the order, as the order may have waited since it was given, and
// passes the latest time at which a lease that the order grants ends. A start counts as
// sent from then on. An order that is not wanted must not be sent and has no outcome.
func (c *Core) BeginOrder(o Order, leaseExpiry, now time.Time) bool {
	r := c.runOfOrder(o)
	switch o.Kind {
	case OrderStart:
		if r == nil || r.phase != phaseQueued {
			return false
		}
		if !c.acceptsOrders(r.worker, now) || r.worker.health.quarantinedSince(r.orderedAt, now) || c.mayNotBeSent(r) {
			c.withdraw(r)
			return false
		}
		r.phase, r.orderedAt, r.progressedAt, r.paceSetAt = phaseStarting, now, now, now
		c.RecordLease(o.Worker, leaseExpiry)
		return true
	case OrderStop:
		if r == nil {
			w := c.workers[o.Worker]
			return w != nil && w.incarnation == o.Incarnation && w.unknownRuns[runID{o.Task, o.Run}]
		}
		return r.phase == phaseStopping
	case OrderPace:
		return r != nil && r.phase == phaseRunning && r.pacePercent == o.PacePercent
	}
	return false
}

// acceptsOrders reports whether a worker can be sent starts now, apart from its health and
// whatever the task.
func (c *Core) acceptsOrders(w *worker, now time.Time) bool {
	if !w.listed || w.listing.Draining || c.evacuatedZones[w.listing.Zone] || !w.vacatingSince.IsZero() || c.recordedLeases[w.id] || c.recordedClosed[w.id] {
		return false
	}
	return w.reportRequestedAt.After(w.misdirectedAt) && now.Sub(w.reportRequestedAt) <= maxReportAge
}

// withdraw removes a run whose start was not sent, and requeues its task. The other
// members of a gang cannot run without it.
func (c *Core) withdraw(r *run) {
	c.removeRun(r)
	if r.task.step.spec.Gang {
		c.stopGangRun(r.task.step, r.number)
	}
	c.requeue(r.task)
}

// stopRun orders a worker to stop a run, unless a stop was ordered before. A run whose
// start was not sent is withdrawn.
func (c *Core) stopRun(r *run, reason Reason) {
	switch r.phase {
	case phaseStopping:
	case phaseQueued:
		c.withdraw(r)
	default:
		r.phase, r.absenceConclusiveAt, r.stopReason = phaseStopping, time.Time{}, reason
		c.orderStop(r)
	}
}

func (c *Core) orderStop(r *run) {
	c.issueOrder(Order{Kind: OrderStop, Worker: r.worker.id, Incarnation: r.worker.incarnation, Task: r.task.id(), Run: r.number, Reason: r.stopReason})
}

func (c *Core) orderPace(r *run, reason Reason) {
	c.issueOrder(Order{
		Kind: OrderPace, Worker: r.worker.id, Incarnation: r.worker.incarnation, Task: r.task.id(), Run: r.number,
		PacePercent: r.pacePercent, Reason: reason,
	})
}

// issueOrder queues an order for the next TakeOrders.
func (c *Core) issueOrder(o Order) { c.orders = append(c.orders, o) }

// repeatOrders repeats the stop and pace orders to a worker that had no useful answer
// and are due again. After a report of the worker all of them are due.
func (c *Core) repeatOrders(w *worker, reported bool, now time.Time) {
	for _, r := range w.runList {
		if r.repeatOrderAt.IsZero() || (!reported && now.Before(r.repeatOrderAt)) || (r.phase != phaseStopping && r.phase != phaseRunning) {
			continue
		}
		r.repeatOrderAt = time.Time{}
		switch r.phase {
		case phaseStopping:
			c.orderStop(r)
		case phaseRunning:
			r.paceSetAt = now
			c.orderPace(r, ReasonRepeated)
		}
	}
}

// runID names a run of a task.
type runID struct {
	task graph.Task
	run  graph.RunNumber
}
