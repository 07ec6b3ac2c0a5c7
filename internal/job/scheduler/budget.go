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

// Bytes of relayed starts on the owner's link beside the spec; see chargeStarts.
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
// a batch takes longer on it than a further hop does.
func (b *startBudget) prefersRelay() bool {
	if b.relays.Reachable == 0 || b.perSecond == 0 {
		return false
	}
	return b.accrued(relayHop) < MaxStartBatch*orderOverhead || b.balance < b.accrued(maxStartBurst)/2
}

// chargeStarts takes the bytes of start orders from the budget. The spec of a job is counted
// once for the tasks that are relayed together, as the entry that relays them holds it then.
func (c *Core) chargeStarts(orders []Order) {
	for i, o := range orders {
		if o.Kind != OrderStart {
			continue
		}
		if !o.Relayed {
			c.startBudget.chargeDirect(o)
			continue
		}
		if i == 0 || !orders[i-1].Relayed || orders[i-1].RelayGroup() != o.RelayGroup() {
			c.startBudget.balance -= relayedBatchOverhead + c.relayedSpec(o)
		}
		c.startBudget.balance -= relayedOrderOverhead + unit.Bytes(len(o.Checkpoint))
	}
}

// RelayGroup is tasks of a job whose starts are relayed by the same entry while it answers.
type RelayGroup struct {
	Job    unit.JobID
	Number unit.TaskIndex
}

// RelayGroup returns the group of the order's task.
func (o Order) RelayGroup() RelayGroup { return RelayGroup{o.Task.Job, o.Task.Index / MaxStartBatch} }

// relayedSpec returns the bytes of the spec that a relayed start needs, which are 0 if one of
// its group was relayed before.
func (c *Core) relayedSpec(o Order) unit.Bytes {
	j := c.jobs[o.Task.Job]
	group := o.RelayGroup().Number
	if j == nil || j.specRelayed[group] {
		return 0
	}
	if j.specRelayed == nil {
		j.specRelayed = map[unit.TaskIndex]bool{}
	}
	j.specRelayed[group] = true
	return unit.Bytes(len(o.Spec))
}

// refundRelayed gives the bytes of relayed starts back that no other entry takes. Their spec
// is counted again when a start of their group is relayed next.
func (c *Core) refundRelayed(orders []Order) {
	for i, o := range orders {
		c.startBudget.balance += relayedOrderOverhead + unit.Bytes(len(o.Checkpoint))
		if i > 0 && orders[i-1].RelayGroup() == o.RelayGroup() {
			continue
		}
		c.startBudget.balance += relayedBatchOverhead
		group := o.RelayGroup().Number
		if j := c.jobs[o.Task.Job]; j != nil && j.specRelayed[group] {
			delete(j.specRelayed, group)
			c.startBudget.balance += unit.Bytes(len(o.Spec))
		}
	}
}

// chargeDirect takes the bytes of a start that the owner sends itself.
func (b *startBudget) chargeDirect(o Order) {
	b.balance -= unit.Bytes(len(o.Spec)+len(o.Checkpoint)) + orderOverhead
}
