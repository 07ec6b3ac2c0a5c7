package owner

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// errOwnershipStale means that the view of the ownership is too old to renew leases:
// another entry may own the shard.
var errOwnershipStale = errors.New("ownership not confirmed lately")

// heartbeat is one heartbeat to the worker.
type heartbeat struct {
	number  int // counts the heartbeats of the client
	probe   bool
	renewal scheduler.Renewal
	wait    time.Duration // how long the worker may delay its answer
	sentAt  time.Time
	via     *heartbeatSession // through another entry; nil: directly
}

// route returns the entry that sends the heartbeat, or "" for the owner itself.
func (h heartbeat) route() unit.EntryID {
	if h.via == nil {
		return ""
	}
	return h.via.entry
}

// repeated returns the heartbeat as it is sent again at a time. Soon after the first time it
// has the same effect. Later it only asks for a report: the incarnation that the renewal is
// meant for may have ended long ago.
func (h heartbeat) repeated(now time.Time) heartbeat {
	age := now.Sub(h.sentAt)
	h.wait = max(0, h.wait-age)
	if age > maxHeartbeatDelay {
		h.renewal = scheduler.Renewal{}
	}
	return h
}

// nextHeartbeat returns the next heartbeat to send, which has waited for its turn for the
// given time. A probe does not extend the lease.
func (c *workerClient) nextHeartbeat(probe bool, turn time.Duration) (heartbeat, error) {
	if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
		return heartbeat{}, errOwnershipStale
	}
	h := c.prepareHeartbeat(probe, turn)
	// Checked again after the deadline is computed: waiting for the lock of the core
	// may have taken long, and the lease must end before the next owner assumes
	// that it has expired.
	if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
		c.settle(h)
		return heartbeat{}, errOwnershipStale
	}
	return h, nil
}

// prepareHeartbeat decides what the next heartbeat says, and tells the core of it.
func (c *workerClient) prepareHeartbeat(probe bool, turn time.Duration) heartbeat {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	core := c.shard.core
	extension := c.extension(workerLeaseTTL)
	h := heartbeat{probe: probe, renewal: scheduler.Renewal{Incarnation: extension.Incarnation}, wait: idleHeartbeatWait}
	if core.HasRuns(c.id) {
		h.wait = max(busyHeartbeatWait, c.shard.heartbeats.interval())
	}
	h.wait = max(0, h.wait-turn) // so that the report is no older than without a turn
	// The cursor may count the ends of another incarnation than that of the known clock.
	if incarnation, cursor := core.AckCursor(c.id); incarnation == h.renewal.Incarnation {
		h.renewal.Acked = cursor
	}
	if probe || extension.Until == 0 {
		h.wait = 0
	}
	if !probe && extension.Until != 0 && core.WantsLease(c.id) {
		h.renewal.Until = extension.Until
		core.RecordLease(c.id, leaseExpiry(workerLeaseTTL))
	}
	h.sentAt = time.Now()
	core.AwaitAnswer(c.id, h.sentAt)
	if !c.mustSendDirectly(probe, h.sentAt) {
		h.via = c.shard.relays.heartbeatSession(c.id)
	}
	return h
}

// settle tells the core that no answer to a heartbeat will come.
func (c *workerClient) settle(h heartbeat) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.core.AnswerSettled(c.id, h.sentAt)
}
