// Package slot partitions the request slots and connections of workers among the
// entries of a membership view, without messages and without I/O.
//
// A slot belongs to the entry with the highest rendezvous hash of (entry, worker,
// slot). Entries learn of a new view at different times, so a computed owner may
// not use its slot at once. The rules, with T the time at which a view was
// written to the store:
//
//   - An entry uses a view for ViewLife after the send time of the read that
//     returned it. A view superseded at T is therefore out of use at T + ViewLife,
//     and the requests started under it have ended Longest later.
//   - An owner uses a gained slot Wait after it adopted the view, which is after T.
//     Wait covers ViewLife, Longest and an allowance for clock drift.
//   - An entry that gets a slot back within Regain of the last read that showed it
//     as the owner continues at once: an owner in between is still waiting and
//     stops before its wait ends.
//   - An owner uses a gained slot at once if every other entry of its view has
//     acknowledged that view, or a later one with the same entries, and no entry outside the view may
//     still hold slots. An entry acknowledges a view once it has adopted it and has
//     no request left on a slot that it lost; it then regains no lost slot at once.
package slot

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Timing are the spans that all entries of a deployment must share.
type Timing struct {
	ViewTTL        time.Duration // a view is used this long after it was read
	GainDelay      time.Duration // before a gained slot is used
	MaxRequestTime time.Duration // bound of one request, from its send to its end
	RegainWindow   time.Duration // at most Longest, so that an owner in between has stopped
}

// DefaultTiming returns the spans of the design page.
func DefaultTiming() Timing {
	return Timing{
		ViewTTL:        10 * time.Second,
		GainDelay:      12*time.Second + 30*time.Second,
		MaxRequestTime: 30 * time.Second,
		RegainWindow:   30 * time.Second,
	}
}

// generations is how many owners of one slot may have connections open at a
// time. The system of a paused entry keeps its connections open until the
// worker's keep-alive timeout, at the same time as the next owner's.
const generations = 2

// Index numbers the slots of one worker, from 0.
type Index uint8

// MaxSlots bounds the slots of one worker.
const MaxSlots = 64

// Worker is a worker with its limits over all entries together.
type Worker struct {
	ID          unit.InstanceID
	Slots       int
	Connections int
}

// Share is what an entry may use of one worker at one time.
type Share struct {
	Slots       int
	Connections int
}

// Partition is the part of all slots that one entry holds.
type Partition struct {
	self  unit.EntryID
	rules Timing

	entries  []member
	revision unit.Revision
	asOf     time.Time     // send time of the newest read of the view
	since    unit.Revision // of the view in which these entries were first seen
	settled  time.Time     // from here on no older view is in use anywhere
	complete bool          // no entry outside the view may still hold slots
	members  uint64        // fingerprint of the entries
	acks     map[unit.EntryID]roster.SettledView
	workers  map[unit.InstanceID]*shares
}

// View is a membership view as the partition needs it.
type View struct {
	Entries       []unit.EntryID // registered, sorted
	Revision      unit.Revision
	NoLostEntries bool // no entry ended without a graceful stop and may still hold slots
}

type member struct {
	id   unit.EntryID
	hash uint64
}

type shares struct {
	limits Worker
	hash   uint64  // of the worker's id
	rights []right // by slot
}

// right is the claim of this entry on one slot.
type right struct {
	owned  bool
	from   time.Time     // owned: usable from here on
	gained unit.Revision // owned: view of the gain
	held   time.Time     // lost: last read that showed a usable slot; zero if none
}

// New returns the partition of the entry self, which holds nothing.
func New(self unit.EntryID, rules Timing) *Partition {
	return &Partition{
		self: self, rules: rules, acks: map[unit.EntryID]roster.SettledView{}, workers: map[unit.InstanceID]*shares{},
	}
}

// AdoptView takes over a view that was read from the store by a call sent at asOf. A
// read that is older than the newest one has no effect.
func (p *Partition) AdoptView(v View, asOf, now time.Time) {
	if v.Revision < p.revision || asOf.Before(p.asOf) {
		return
	}
	lapsed := now.Sub(p.asOf) > p.rules.RegainWindow
	changed := !slices.EqualFunc(p.entries, v.Entries, func(m member, id unit.EntryID) bool { return m.id == id })
	previous := p.asOf
	p.revision, p.asOf, p.complete = v.Revision, asOf, v.NoLostEntries
	defer p.settle(now)
	if !changed && !lapsed {
		return
	}
	p.since, p.members = v.Revision, roster.Fingerprint(v.Entries)
	p.settled = now.Add(p.rules.GainDelay)
	p.entries = make([]member, len(v.Entries))
	for i, id := range v.Entries {
		p.entries[i] = member{id: id, hash: xxhash.Sum64String(string(id))}
	}
	for _, s := range p.workers {
		for i := range s.rights {
			r := &s.rights[i]
			if lapsed {
				*r = right{}
			}
			p.transfer(r, p.owner(s.hash, Index(i)) == p.self, previous, now)
		}
	}
}

// SetWorkers replaces the set of workers. An owner under a view uses the slots of
// a new worker once the view has settled.
func (p *Partition) SetWorkers(workers []Worker) {
	next := make(map[unit.InstanceID]*shares, len(workers))
	for _, w := range workers {
		w.Slots = min(max(w.Slots, 0), MaxSlots)
		s := p.workers[w.ID]
		if s == nil {
			s = &shares{hash: xxhash.Sum64String(string(w.ID))}
		}
		s.limits = w
		for i := len(s.rights); i < w.Slots; i++ {
			owned := p.owner(s.hash, Index(i)) == p.self
			s.rights = append(s.rights, right{owned: owned, from: p.settled, gained: p.since})
		}
		s.rights = s.rights[:w.Slots]
		next[w.ID] = s
	}
	p.workers = next
}

// Share returns what may be used of the worker at now. It is zero once the view
// is older than ViewLife.
func (p *Partition) Share(worker unit.InstanceID, now time.Time) Share {
	s := p.workers[worker]
	if s == nil {
		return Share{}
	}
	var share Share
	for i := range s.rights {
		if p.usable(&s.rights[i], now) {
			share.Slots++
		}
	}
	if share.Slots > 0 {
		each := max(s.limits.Connections/s.limits.Slots/generations, 1)
		share.Connections = share.Slots * each
	}
	return share
}

// RecordAck notes the view that a peer has settled on.
func (p *Partition) RecordAck(peer unit.EntryID, settled roster.SettledView, now time.Time) {
	if settled.Revision > p.acks[peer].Revision {
		p.acks[peer] = settled
		p.settle(now)
	}
}

// ReleaseLostSlots returns the adopted view as settled. The entry must have on no worker
// more requests in flight than its share. It gives up the right to regain lost
// slots at once, since their new owners may use them from now on.
func (p *Partition) ReleaseLostSlots() roster.SettledView {
	for _, s := range p.workers {
		for i := range s.rights {
			if r := &s.rights[i]; !r.owned {
				r.held = time.Time{}
			}
		}
	}
	return roster.SettledView{Revision: p.revision, MembersHash: p.members}
}

// Settled reports whether a view was adopted and its gained slots are in use.
func (p *Partition) Settled(now time.Time) bool { return !p.asOf.IsZero() && !now.Before(p.settled) }

// ValidUntil returns the time at which every slot of the present view ends unless
// a later read confirms the view.
func (p *Partition) ValidUntil() time.Time { return p.asOf.Add(p.rules.ViewTTL) }

// settle ends the wait for the slots gained under views that all others have
// acknowledged.
func (p *Partition) settle(now time.Time) {
	if !p.complete {
		return
	}
	acknowledged := p.revision
	for _, m := range p.entries {
		switch a := p.acks[m.id]; {
		case m.id == p.self:
		case a.MembersHash != p.members:
			return
		default:
			acknowledged = min(acknowledged, a.Revision)
		}
	}
	if acknowledged >= p.since && p.settled.After(now) {
		p.settled = now
	}
	for _, s := range p.workers {
		for i := range s.rights {
			if r := &s.rights[i]; r.owned && r.gained <= acknowledged && r.from.After(now) {
				r.from = now
			}
		}
	}
}

func (p *Partition) usable(r *right, now time.Time) bool {
	return r.owned && !now.Before(r.from) && now.Before(p.ValidUntil())
}

// transfer moves a right to the present view; previous is the time of the last
// read of the view before.
func (p *Partition) transfer(r *right, owned bool, previous, now time.Time) {
	switch {
	case r.owned && !owned:
		var held time.Time
		if !now.Before(r.from) {
			held = previous
		}
		*r = right{held: held}
	case !r.owned && owned:
		from := p.settled
		if !r.held.IsZero() && now.Sub(r.held) <= p.rules.RegainWindow {
			from = now
		}
		*r = right{owned: true, from: from, gained: p.revision}
	}
}

// owner returns the entry with the highest rendezvous hash, or none if the view
// is empty.
func (p *Partition) owner(worker uint64, slot Index) unit.EntryID {
	// The odd factor spreads the slots of a worker over all bits. Sixteen bytes
	// take the short path of xxhash.
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], worker+uint64(slot)*0x9e3779b97f4a7c15)
	best := -1
	var highest uint64
	for i := range p.entries {
		binary.LittleEndian.PutUint64(buffer[8:], p.entries[i].hash)
		// Equal hashes are decided by the order of ids, which all entries share.
		if h := xxhash.Sum64(buffer[:]); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	if best < 0 {
		return ""
	}
	return p.entries[best].id
}
