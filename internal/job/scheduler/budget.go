package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// orderOverhead is about what a start order takes on the link beside its spec and its
// checkpoint: headers, names and acknowledgements.
const orderOverhead unit.Bytes = 400

// maxStartBurst is the time whose budget starts may use at once. A longer burst
// would delay the heartbeats behind it.
const maxStartBurst = 300 * time.Millisecond

// minStartBatch is the time whose budget accrues before the next placement pass if the
// last one has used the budget up. Each pass sorts the whole backlog.
const minStartBatch = 40 * time.Millisecond

// startBudget bounds the bytes of start orders, so that a backlog of tasks does not
// fill the owner's link and delay the heartbeats to all workers.
type startBudget struct {
	perSecond  unit.Bytes // 0: no bound
	balance    unit.Bytes // below 0 after a step with many tasks
	refilledAt time.Time
	deferred   bool // the last placement pass ended because the budget was used up
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
	return unit.Bytes(float64(b.perSecond) * d.Seconds())
}

// allows reports whether another step may be placed.
func (b *startBudget) allows() bool {
	b.deferred = b.perSecond > 0 && b.balance <= 0
	return !b.deferred
}

// charge takes the bytes of start orders from the balance.
func (b *startBudget) charge(orders []Order) {
	for _, o := range orders {
		if o.Kind == OrderStart {
			b.balance -= unit.Bytes(len(o.Spec)+len(o.Checkpoint)) + orderOverhead
		}
	}
}
