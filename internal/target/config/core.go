package config

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// core holds the state of the configuration on one entry and the rules for it. It
// does no I/O and reads no clock: the caller passes the time of each event.
type core struct {
	self         unit.EntryID
	current      spec.Revision
	confirmation roster.Confirmation
	rollout      roster.RolloutTracker

	head                head                  // newest head that was read or written
	accepted            unit.Revision         // highest revision found to be in effect everywhere
	answeredPeers       map[unit.EntryID]bool // peers that have answered a heartbeat
	highestPeerRevision unit.Revision         // highest revision that a peer has reported
	firstViewAt         time.Time             // time of the first view that contains this entry
	confirmedRevision   unit.Revision         // current revision at the last confirmation
	caughtUp            bool                  // see updateCaughtUp
}

func newCore(self unit.EntryID) *core {
	return &core{self: self, answeredPeers: map[unit.EntryID]bool{}}
}

// adopt makes a revision from the store or a peer the current one if its number is
// higher, and reports whether it is. It ignores a lower one, so that the
// configuration never reverts.
func (c *core) adopt(r spec.Revision) bool {
	if r.Number <= c.current.Number {
		return false
	}
	c.current = r
	c.rollout.RecordRevision(c.self, r.Number)
	return true
}

// observeHead records an answered read of the head that was sent at the given time.
// The read is a confirmation only if it returned the current revision: a lower head
// is a stale answer, and a higher one has yet to be adopted.
func (c *core) observeHead(now, sent time.Time, h head) {
	if h.storeRevision >= c.head.storeRevision {
		c.head = h
	}
	if h.Number == c.current.Number {
		c.confirmation.Confirm(sent)
		c.confirmedRevision = h.Number
	}
	c.updateCaughtUp(now)
}

// observeView records the membership's view.
func (c *core) observeView(now time.Time, v roster.View) {
	c.rollout.Observe(now, v)
	c.rollout.RecordRevision(c.self, c.current.Number)
	c.confirmation.Retain(v)
	if c.firstViewAt.IsZero() && v.Contains(c.self) {
		c.firstViewAt = now
	}
	c.updateCaughtUp(now)
}

// observeHeartbeat records a peer's answer to a heartbeat that was sent at the given
// time. It reports whether the peer has a higher revision, which the caller must
// then fetch.
func (c *core) observeHeartbeat(now time.Time, peer unit.EntryID, sent time.Time, h message.Heartbeat) bool {
	c.confirmation.ObserveHeartbeat(peer, sent, roster.Heartbeat{Configuration: h.Configuration, SeesReceiver: h.Sees})
	c.rollout.RecordRevision(peer, h.Configuration)
	c.answeredPeers[peer] = true
	c.highestPeerRevision = max(c.highestPeerRevision, h.Configuration)
	c.updateCaughtUp(now)
	return h.Configuration > c.current.Number
}

// updateCaughtUp decides whether a newly started entry has the highest revision of
// the store and its peers. An answer of the store alone does not suffice, since it
// may be stale. An accepted revision is known to every registered entry, so any
// majority of the view includes an entry that knows it. After DepartureGrace, peers
// that have not answered are treated as departed.
func (c *core) updateCaughtUp(now time.Time) {
	if c.caughtUp || c.firstViewAt.IsZero() || c.confirmation.ConfirmedAt().IsZero() {
		return
	}
	if c.current.Number < c.highestPeerRevision || c.current.Number != c.confirmedRevision {
		return // the confirmation came from a stale answer
	}
	view := c.rollout.View()
	answered := 0
	for _, e := range view.Entries {
		if e.ID == c.self || c.answeredPeers[e.ID] {
			answered++
		}
	}
	c.caughtUp = 2*answered > len(view.Entries) || now.Sub(c.firstViewAt) > roster.DepartureGrace
}

// startUntil returns the deadline for starts, or the zero time until the entry has
// caught up.
func (c *core) startUntil() time.Time {
	if !c.caughtUp {
		return time.Time{}
	}
	return c.confirmation.StartUntil()
}

// notAfter returns the time after which workers must reject a start, or the zero time
// until the entry has caught up.
func (c *core) notAfter() time.Time {
	if !c.caughtUp {
		return time.Time{}
	}
	return c.confirmation.NotAfter()
}

// serveUntil returns the deadline for serving, or the zero time until the entry has
// caught up.
func (c *core) serveUntil() time.Time {
	if !c.caughtUp {
		return time.Time{}
	}
	return c.confirmation.ServeUntil(c.self, c.rollout.View(), c.current.Number)
}

// outcome returns whether a revision of the log is in effect everywhere and, if it
// is not, the entries that it waits for.
func (c *core) outcome(now time.Time, n unit.Revision) (change.Outcome, []unit.EntryID) {
	if n <= c.accepted {
		return change.Accepted, nil
	}
	missing, complete := c.rollout.Missing(now, n, c.head.storeRevision)
	if !complete || len(missing) > 0 || c.head.Number < n {
		return change.Pending, missing
	}
	c.accepted = n
	return change.Accepted, nil
}

// heartbeat returns the heartbeat for a peer. Its age is negative before the first
// confirmation.
func (c *core) heartbeat(now time.Time, to unit.EntryID) message.Heartbeat {
	view := c.rollout.View()
	h := message.Heartbeat{
		View:          view.Revision,
		Configuration: c.current.Number,
		Sees:          view.Contains(to),
		Ready:         now.Before(c.serveUntil()),
		Age:           -1,
	}
	if t := c.confirmation.ConfirmedAt(); !t.IsZero() {
		h.Age = now.Sub(t)
	}
	return h
}
