package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// settledOrder is an order with its outcome.
type settledOrder struct {
	scheduler.Order
	outcome scheduler.Outcome
}

// admitBatch returns the starts of a batch that is sent at sentAt which are still wanted and
// may be sent, and those that may not be sent now. Waiting for the lock of the core may take
// long, so each is decided by the time then.
func (sh *shard) admitBatch(orders []scheduler.Order, sentAt time.Time) (b StartBatch, admitted, refused []settledOrder) {
	b = StartBatch{Job: orders[0].Task.Job, Spec: orders[0].Spec, Fence: sh.term.Epoch, Deadline: sentAt.Add(maxStartWindow)}
	for _, o := range orders {
		sh.mu.Lock()
		client := sh.workerClients[o.Worker]
		sh.mu.Unlock()
		if client == nil {
			refused = append(refused, settledOrder{o, scheduler.OutcomeNotSent})
			continue
		}
		switch until, verdict := client.admit(o); verdict {
		case orderWithdrawn:
			metric.Orders.Add(kindName(o.Kind)+" withdrawn", 1)
		case orderRefused:
			refused = append(refused, settledOrder{o, scheduler.OutcomeNotSent})
		case orderAdmitted:
			admitted = append(admitted, settledOrder{Order: o})
			b.Starts = append(b.Starts, RelayedStart{
				Worker: o.Worker, Address: client.address, Occurrence: o.Task.Occurrence, Step: o.Task.Step, Index: o.Task.Index,
				Run: o.Run, Until: until, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
			})
		}
	}
	return b, admitted, refused
}

// queueOrders passes orders on to the clients of their workers, and relayed starts to the
// relays. It is called with the lock held.
func (sh *shard) queueOrders(orders []scheduler.Order) {
	for len(orders) > 0 {
		n := relayBatch(orders)
		if n > 0 && sh.relays.offer(orders[:n]) {
			orders = orders[n:]
			continue
		}
		if c := sh.workerClients[orders[0].Worker]; c != nil {
			c.enqueue(orders[0])
		}
		orders = orders[1:]
	}
}

// relayBatch returns how many of the first orders are relayed starts of one job.
func relayBatch(orders []scheduler.Order) int {
	n := 0
	for n < min(len(orders), scheduler.MaxStartBatch) && orders[n].Relayed && orders[n].Task.Job == orders[0].Task.Job {
		n++
	}
	return n
}
