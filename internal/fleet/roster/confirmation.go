package roster

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Spans of the confirmation rules. Start and NotAfter keep every start within
// 4 s of the read that allowed it, one second below the 5 s of P4.
const (
	startSpan     = 3 * time.Second
	notAfterSpan  = 4 * time.Second
	serveSpan     = 10 * time.Second
	heartbeatSpan = 2 * time.Second
)

// DepartureGrace is the time after the end of a registration until its entry has
// certainly stopped serving: the 10 s of its last confirmation and 2 s for
// heartbeats that still counted at the end of the registration.
const DepartureGrace = 12 * time.Second

// MaxServeWithoutStore bounds how long the heartbeats of peers replace the store, from the
// last answered read: as long as the renewal bound of task leases, so that an
// hour of partition between regions is covered. Entries that are cut off
// together, and see each other only, stop after it.
const MaxServeWithoutStore = 75 * time.Minute

// Heartbeat is what a heartbeat of a peer says about the rules.
type Heartbeat struct {
	Configuration unit.Revision // that the peer has
	SeesReceiver  bool          // the peer's view has the receiver
}

// Confirmation is the state from which an entry derives its deadlines. The zero
// value allows nothing. All times are readings of the entry's monotonic clock.
type Confirmation struct {
	confirmed time.Time // send time of the last read that was answered
	beats     map[unit.EntryID]received
}

type received struct {
	sent time.Time
	beat Heartbeat
}

// Confirm takes an answered read of the configuration's head that was sent at a
// time. A read that was overtaken by a later one has no effect.
func (c *Confirmation) Confirm(sent time.Time) {
	if sent.After(c.confirmed) {
		c.confirmed = sent
	}
}

// ObserveHeartbeat takes a peer's answer to a heartbeat that this entry sent at a time. The
// answer is dated by that send time, since it may have been delayed on its way.
func (c *Confirmation) ObserveHeartbeat(peer unit.EntryID, sent time.Time, beat Heartbeat) {
	if old, ok := c.beats[peer]; ok && old.sent.After(sent) {
		return
	}
	if c.beats == nil {
		c.beats = map[unit.EntryID]received{}
	}
	c.beats[peer] = received{sent: sent, beat: beat}
}

// Retain forgets the peers that are not in the view.
func (c *Confirmation) Retain(v View) {
	for peer := range c.beats {
		if !v.Contains(peer) {
			delete(c.beats, peer)
		}
	}
}

// ConfirmedAt returns the send time of the last answered read, or the zero time.
func (c *Confirmation) ConfirmedAt() time.Time { return c.confirmed }

// StartUntil returns the time after which no task may be started.
func (c *Confirmation) StartUntil() time.Time { return after(c.confirmed, startSpan) }

// NotAfter returns the time after which workers must reject a start.
func (c *Confirmation) NotAfter() time.Time { return after(c.confirmed, notAfterSpan) }

// ServeUntil returns the time after which no request may be served: from the
// store, or from a majority of the view including self, whichever is later, and
// at most PeerSpan after the last answered read. A
// view of one has no peer to tell it that it was cut off, so it relies on the
// store alone.
func (c *Confirmation) ServeUntil(self unit.EntryID, v View, own unit.Revision) time.Time {
	until := after(c.confirmed, serveSpan)
	needed := len(v.Entries) / 2 // peers that make a majority together with self
	if needed == 0 || !v.Contains(self) || c.confirmed.IsZero() {
		return until
	}
	var sent []time.Time
	for peer, r := range c.beats {
		if peer != self && v.Contains(peer) && r.beat.SeesReceiver && r.beat.Configuration <= own {
			sent = append(sent, r.sent)
		}
	}
	if len(sent) < needed {
		return until
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	byPeers := sent[needed-1].Add(heartbeatSpan)
	if bound := c.confirmed.Add(MaxServeWithoutStore); byPeers.After(bound) {
		byPeers = bound
	}
	if byPeers.After(until) {
		return byPeers
	}
	return until
}

// after returns t + span, or the zero time for a zero t: what was never
// confirmed allows nothing.
func after(t time.Time, span time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(span)
}
