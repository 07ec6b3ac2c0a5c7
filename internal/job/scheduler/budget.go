package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// orderOverhead is about what a start order takes on the link beside its spec and its
// checkpoint: headers, names and acknowledgements.
const orderOverhead unit.Bytes = 400

// MaxStartBatch is the largest number of relayed starts that are sent in one call. The
// entry that relays them may have a small link too.
const MaxStartBatch = 16

// Bytes of relayed starts on the owner's link. The spec is sent once for the starts of a job
// that are ordered one after the other.
const (
	relayedOrderOverhead unit.Bytes = 120 // of each start beside its checkpoint
	relayedBatchOverhead unit.Bytes = 300 // of each call beside the spec
)

// maxStartBurst is the time whose budget starts may use at once. A longer burst
// would delay the heartbeats behind it.
const maxStartBurst = 300 * time.Millisecond

// minStartBatch is the time whose budget accrues before the next placement pass if the
// last one has used the budget up. Each pass sorts the whole backlog.
const minStartBatch = 40 * time.Millisecond

// StartRelays counts the other entries that send starts for the owner.
type StartRelays struct {
	Registered int
	Reachable  int // of these, those that answer
	// Preferred says that starts go through these entries while they answer, as the
	// processor of the owner is short.
	Preferred bool
}

// relayHop is about how much longer a start takes through another entry.
const relayHop = 20 * time.Millisecond

// directShare is the share of the budget for starts that the owner sends itself while no
// relay answers. The link is full then, and would stay so.
const directShare = 1.0 / 3

// startBudget bounds the bytes of start orders, so that a backlog of tasks does not
// fill the owner's link and delay the heartbeats to all workers.
type startBudget struct {
	perSecond  unit.Bytes // 0: no bound
	balance    unit.Bytes // below 0 after a step with many tasks
	relays     StartRelays
	refilledAt time.Time
	deferred   bool       // the last placement pass ended because the budget was used up
	charged    unit.Bytes // in total, less what was given back
}

// refill adds what has accrued since the last call, up to maxStartBurst.
func (b *startBudget) refill(now time.Time) {
	elapsed := maxStartBurst
	if !b.refilledAt.IsZero() {
		elapsed = now.Sub(b.refilledAt)
	}
	b.refilledAt = now
	b.balance = min(b.balance+b.accrued(elapsed), b.accrued(maxStartBurst))
}

// allowsPass reports whether a placement pass is worth its cost.
func (b *startBudget) allowsPass() bool {
	return !b.deferred || b.balance >= b.accrued(minStartBatch)
}

func (b *startBudget) accrued(d time.Duration) unit.Bytes {
	share := 1.0
	if b.relays.Registered > 0 && b.relays.Reachable == 0 {
		share = directShare
	}
	return unit.Bytes(share * float64(b.perSecond) * d.Seconds())
}

// allows reports whether another step may be placed.
func (b *startBudget) allows() bool {
	b.deferred = b.perSecond > 0 && b.balance <= 0
	return !b.deferred
}

// prefersRelay reports whether the next starts are sent through another entry, which takes
// a fraction of the owner's link: if the budget runs short, or the link is so small that
// a batch takes longer on it than a further hop does, or the processor is short.
func (b *startBudget) prefersRelay() bool {
	switch {
	case b.relays.Reachable == 0:
		return false
	case b.relays.Preferred:
		return true
	case b.perSecond == 0:
		return false
	}
	return b.accrued(relayHop) < MaxStartBatch*orderOverhead || b.balance < b.accrued(maxStartBurst)/2
}

// charge takes the bytes of start orders from the balance.
func (b *startBudget) charge(orders []Order) {
	bytes := orderBytes(orders)
	b.balance -= bytes
	b.charged += bytes
}

// refund gives bytes that were charged back to the balance.
func (b *startBudget) refund(bytes unit.Bytes) {
	b.balance += bytes
	b.charged -= bytes
}

// orderBytes returns the bytes that start orders take on the link.
func orderBytes(orders []Order) unit.Bytes {
	var bytes unit.Bytes
	batch := 0 // relayed starts of the current call
	for i, o := range orders {
		if o.Kind != OrderStart {
			continue
		}
		bytes += unit.Bytes(len(o.Checkpoint))
		if !o.Relayed {
			bytes += unit.Bytes(len(o.Spec)) + orderOverhead
			continue
		}
		if i == 0 || !orders[i-1].Relayed || orders[i-1].Task.Job != o.Task.Job {
			batch = 0
		}
		if batch%MaxStartBatch == 0 {
			bytes += unit.Bytes(len(o.Spec)) + relayedBatchOverhead
		}
		bytes += relayedOrderOverhead
		batch++
	}
	return bytes
}

// RefundStarts gives bytes of relayed starts back that were not sent, as the entry that
// relays them holds their spec already.
func (c *Core) RefundStarts(bytes unit.Bytes) {
	c.startBudget.refund(bytes)
}
