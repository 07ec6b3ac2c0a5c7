package config

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// core is the state of the configuration on one entry and its rules. It is pure:
// the time comes with each event.
type core struct {
	self         unit.EntryID
	current      spec.Revision
	confirmation roster.Confirmation
	departures   roster.RolloutTracker

	head     head                  // the highest one that was read or written
	accepted unit.Revision         // the highest revision found to be in effect everywhere
	heard    map[unit.EntryID]bool // peers that answered a heartbeat
	highest  unit.Revision         // that a peer reported
	first    time.Time             // of the first view with this entry
	checked  unit.Revision         // that was current at the last confirmation
	joined   bool
}

func newCore(self unit.EntryID) *core {
	return &core{self: self, heard: map[unit.EntryID]bool{}}
}

// adopt takes a revision from the store or a peer and reports whether it is
// higher than the current one. A lower one is ignored, so that the configuration
// never reverts.
func (c *core) adopt(r spec.Revision) bool {
	if r.Number <= c.current.Number {
		return false
	}
	c.current = r
	c.departures.RecordRevision(c.self, r.Number)
	return true
}

// readHead takes an answered read of the head that was sent at a time. It counts
// as a confirmation only if the current revision is the one read: a lower head
// is an old answer, and a higher one has yet to be adopted.
func (c *core) readHead(now, sent time.Time, h head) {
	if h.written >= c.head.written {
		c.head = h
	}
	if h.Number == c.current.Number {
		c.confirmation.Confirm(sent)
		c.checked = h.Number
	}
	c.join(now)
}

// observe takes the view of the membership.
func (c *core) observe(now time.Time, v roster.View) {
	c.departures.Observe(now, v)
	c.departures.RecordRevision(c.self, c.current.Number)
	c.confirmation.Retain(v)
	if c.first.IsZero() && v.Contains(c.self) {
		c.first = now
	}
	c.join(now)
}

// hear takes a peer's answer to a heartbeat that was sent at a time. It reports
// whether the peer has a higher revision, which is then to be fetched.
func (c *core) hear(now time.Time, peer unit.EntryID, sent time.Time, h message.Heartbeat) bool {
	c.confirmation.ObserveHeartbeat(peer, sent, roster.Heartbeat{Configuration: h.Configuration, SeesReceiver: h.Sees})
	c.departures.RecordRevision(peer, h.Configuration)
	c.heard[peer] = true
	c.highest = max(c.highest, h.Configuration)
	c.join(now)
	return h.Configuration > c.current.Number
}

// join decides whether a started entry has the highest revision of store and
// peers. The store alone does not do: its answer may be old. A revision that was
// accepted is known to every registered entry, so a majority of the view has at
// least one that knows it. After DepartureSpan the peers that did not answer are
// treated as gone.
func (c *core) join(now time.Time) {
	if c.joined || c.first.IsZero() || c.confirmation.ConfirmedAt().IsZero() {
		return
	}
	if c.current.Number < c.highest || c.current.Number != c.checked {
		return // the confirmation came from an old answer
	}
	view := c.departures.View()
	answered := 0
	for _, e := range view.Entries {
		if e.ID == c.self || c.heard[e.ID] {
			answered++
		}
	}
	c.joined = 2*answered > len(view.Entries) || now.Sub(c.first) > roster.DepartureGrace
}

func (c *core) startUntil() time.Time {
	if !c.joined {
		return time.Time{}
	}
	return c.confirmation.StartUntil()
}

func (c *core) notAfter() time.Time {
	if !c.joined {
		return time.Time{}
	}
	return c.confirmation.NotAfter()
}

func (c *core) serveUntil() time.Time {
	if !c.joined {
		return time.Time{}
	}
	return c.confirmation.ServeUntil(c.self, c.departures.View(), c.current.Number)
}

// effect reports whether a revision of the log is in effect everywhere, and if
// not, which entries it waits for.
func (c *core) effect(now time.Time, n unit.Revision) (change.Outcome, []unit.EntryID) {
	if n <= c.accepted {
		return change.Accepted, nil
	}
	missing, complete := c.departures.Missing(now, n, c.head.written)
	if !complete || len(missing) > 0 || c.head.Number < n {
		return change.Pending, missing
	}
	c.accepted = n
	return change.Accepted, nil
}

func (c *core) heartbeat(now time.Time, to unit.EntryID) message.Heartbeat {
	view := c.departures.View()
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
