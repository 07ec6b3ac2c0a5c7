package roster

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Limits of staleness for the confirmation rules. StartUntil and NotAfter keep
// every start within 4 s of the read that allowed it, one second below the 5 s of
// P4.
const (
	maxStartStaleness     = 3 * time.Second
	maxOrderStaleness     = 4 * time.Second
	maxServeStaleness     = 10 * time.Second
	maxHeartbeatStaleness = 2 * time.Second
)

// DepartureGrace is the time after the end of a registration until its entry has
// certainly stopped serving: the 10 s of its last confirmation and 2 s for
// heartbeats that still counted at the end of the registration.
const DepartureGrace = 12 * time.Second

// MaxServeWithoutStore bounds how long heartbeats of peers replace the store,
// counted from the last answered read. It equals the renewal bound of task leases,
// which covers a partition of one hour between regions. Entries that are cut off
// together, and see only each other, stop serving after it.
const MaxServeWithoutStore = 75 * time.Minute

// Heartbeat is the part of a peer's heartbeat that the confirmation rules use.
type Heartbeat struct {
	Configuration unit.Revision // revision that the peer has
	SeesReceiver  bool          // whether the peer's view contains the receiver
}

// Confirmation is the state from which an entry derives its deadlines. The zero
// value allows nothing. All times are readings of the entry's monotonic clock.
type Confirmation struct {
	confirmed  time.Time // send time of the last answered read
	heartbeats map[unit.EntryID]receivedHeartbeat
}

type receivedHeartbeat struct {
	sent      time.Time
	heartbeat Heartbeat
}

// Confirm records an answered read of the configuration's head, by its send time.
// A read that was sent before the last confirmed one has no effect.
func (c *Confirmation) Confirm(sent time.Time) {
	if sent.After(c.confirmed) {
		c.confirmed = sent
	}
}

// ObserveHeartbeat records a peer's answer to a heartbeat that this entry sent at
// the given time. The answer counts from that send time, since it may have been
// delayed on its way.
func (c *Confirmation) ObserveHeartbeat(peer unit.EntryID, sent time.Time, heartbeat Heartbeat) {
	if old, ok := c.heartbeats[peer]; ok && old.sent.After(sent) {
		return
	}
	if c.heartbeats == nil {
		c.heartbeats = map[unit.EntryID]receivedHeartbeat{}
	}
	c.heartbeats[peer] = receivedHeartbeat{sent: sent, heartbeat: heartbeat}
}

// Retain removes the heartbeats of peers that are not in the view.
func (c *Confirmation) Retain(v View) {
	for peer := range c.heartbeats {
		if !v.Contains(peer) {
			delete(c.heartbeats, peer)
		}
	}
}

// ConfirmedAt returns the send time of the last answered read, or the zero time.
func (c *Confirmation) ConfirmedAt() time.Time { return c.confirmed }

// StartUntil returns the time after which no task may be started.
func (c *Confirmation) StartUntil() time.Time { return deadline(c.confirmed, maxStartStaleness) }

// NotAfter returns the time after which workers must reject a start.
func (c *Confirmation) NotAfter() time.Time { return deadline(c.confirmed, maxOrderStaleness) }

// ServeUntil returns the time after which no request may be served. It derives
// from the store or from a majority of the view that includes self, whichever
// gives the later time, and is at most MaxServeWithoutStore after the last
// answered read. In a view of one entry, no peer can tell that entry that it was
// cut off, so only the store counts. Peers whose configuration is newer than the
// current revision do not count.
func (c *Confirmation) ServeUntil(self unit.EntryID, v View, current unit.Revision) time.Time {
	until := deadline(c.confirmed, maxServeStaleness)
	needed := len(v.Entries) / 2 // peers that form a majority together with self
	if needed == 0 || !v.Contains(self) || c.confirmed.IsZero() {
		return until
	}
	var sent []time.Time
	for peer, r := range c.heartbeats {
		if peer != self && v.Contains(peer) && r.heartbeat.SeesReceiver && r.heartbeat.Configuration <= current {
			sent = append(sent, r.sent)
		}
	}
	if len(sent) < needed {
		return until
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	byPeers := sent[needed-1].Add(maxHeartbeatStaleness)
	if bound := c.confirmed.Add(MaxServeWithoutStore); byPeers.After(bound) {
		byPeers = bound
	}
	if byPeers.After(until) {
		return byPeers
	}
	return until
}

// deadline returns t + staleness, or the zero time for a zero t: without a
// confirmation nothing is allowed.
func deadline(t time.Time, staleness time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(staleness)
}
