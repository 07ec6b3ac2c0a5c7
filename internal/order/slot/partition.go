// Package slot partitions the request slots and connections of workers among the
// entries of a membership view, without messages and without I/O.
//
// A slot belongs to the entry with the highest rendezvous hash of (entry, worker,
// slot). Entries read a new view at different times, so the new owner of a slot may
// not use it at once. The rules are as follows, where T is the time at which a view is
// written to the store:
//
//   - An entry uses a view for ViewTTL after the send time of the read that returned
//     it. A view that is superseded at T is therefore not used after T + ViewTTL, and
//     the requests sent under it have ended MaxRequestTime later.
//   - An owner uses a gained slot GainDelay after it adopted the view, which is after
//     T. GainDelay covers ViewTTL, MaxRequestTime and an allowance for clock drift.
//   - An entry that regains a slot within RegainWindow of the last read that showed it
//     as the owner uses the slot at once: any owner in between is still waiting, and
//     loses the slot before its delay ends.
//   - An owner uses a gained slot at once if every other entry of its view has
//     acknowledged that view, or a later one with the same entries, and no entry
//     outside the view may still hold slots. An entry acknowledges a view once it has
//     adopted the view and has no request left on a slot that it lost. After that it
//     no longer regains a lost slot at once.
package slot

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Timing holds the durations of the rules. They must be the same for all entries of a
// deployment.
type Timing struct {
	ViewTTL        time.Duration // time for which a view is used after it was read
	GainDelay      time.Duration // delay before a gained slot is used
	MaxRequestTime time.Duration // maximum time of a request from its send to its end
	RegainWindow   time.Duration // at most MaxRequestTime, so that an owner in between has lost the slot
}

// DefaultTiming returns the durations given on the design page.
func DefaultTiming() Timing {
	return Timing{
		ViewTTL:        10 * time.Second,
		GainDelay:      12*time.Second + 30*time.Second,
		MaxRequestTime: 30 * time.Second,
		RegainWindow:   30 * time.Second,
	}
}

// ownersWithConnections is the number of owners of a slot that may have connections
// open at the same time. The operating system of a paused entry keeps its connections
// open until the keep-alive timeout of the worker, when the next owner may already
// have opened its own.
const ownersWithConnections = 2

// Index is the number of a slot of a worker, from 0.
type Index uint8

// MaxSlots is the maximum number of slots of a worker.
const MaxSlots = 64

// Worker is a worker with its limits, which apply to all entries together.
type Worker struct {
	ID          unit.InstanceID
	Slots       int
	Connections int
}

// Share is the number of slots and connections of a worker that an entry may use.
type Share struct {
	Slots       int
	Connections int
}

// Partition holds the state of one entry in the partitioning: the slots that it owns
// and the times from which it may use them.
type Partition struct {
	self   unit.EntryID
	timing Timing

	entries       []viewEntry
	revision      unit.Revision
	readAt        time.Time     // send time of the latest read of the view
	entriesSince  unit.Revision // revision of the first adopted view with these entries
	settledAt     time.Time     // time from which no entry uses an older view
	noLostEntries bool          // no entry outside the view may still hold slots
	membersHash   uint64        // fingerprint of the entries
	acks          map[unit.EntryID]roster.SettledView
	workers       map[unit.InstanceID]*workerSlots
}

// View is the part of a membership view that the partition needs.
type View struct {
	Entries       []unit.EntryID // registered, sorted
	Revision      unit.Revision
	NoLostEntries bool // no entry may still hold slots after it ended without a graceful stop
}

// viewEntry is an entry of the adopted view with the hash of its id.
type viewEntry struct {
	id   unit.EntryID
	hash uint64
}

// workerSlots holds the slots of a worker.
type workerSlots struct {
	limits Worker
	hash   uint64      // of the worker id
	slots  []slotState // by Index
}

// slotState is the state of a slot from the point of view of this entry.
type slotState struct {
	owned      bool
	usableFrom time.Time     // if owned: time from which the slot may be used
	gainedIn   unit.Revision // if owned: revision of the view in which it was gained
	lastUsable time.Time     // if lost: send time of the last read under which it was usable, or zero
}

// New returns the partition of the entry self, which owns no slots yet.
func New(self unit.EntryID, timing Timing) *Partition {
	return &Partition{
		self: self, timing: timing, acks: map[unit.EntryID]roster.SettledView{}, workers: map[unit.InstanceID]*workerSlots{},
	}
}

// AdoptView adopts a view that was read from the store by a call sent at readAt. It has
// no effect if a later view or a later read was adopted before.
func (p *Partition) AdoptView(v View, readAt, now time.Time) {
	if v.Revision < p.revision || readAt.Before(p.readAt) {
		return
	}
	expired := now.Sub(p.readAt) > p.timing.RegainWindow
	changed := !slices.EqualFunc(p.entries, v.Entries, func(e viewEntry, id unit.EntryID) bool { return e.id == id })
	previousRead := p.readAt
	p.revision, p.readAt, p.noLostEntries = v.Revision, readAt, v.NoLostEntries
	defer p.applyAcks(now)
	if !changed && !expired {
		return
	}
	p.entriesSince, p.membersHash = v.Revision, roster.Fingerprint(v.Entries)
	p.settledAt = now.Add(p.timing.GainDelay)
	p.entries = make([]viewEntry, len(v.Entries))
	for i, id := range v.Entries {
		p.entries[i] = viewEntry{id: id, hash: xxhash.Sum64String(string(id))}
	}
	for _, s := range p.workers {
		for i := range s.slots {
			state := &s.slots[i]
			if expired {
				*state = slotState{}
			}
			p.reassign(state, p.owner(s.hash, Index(i)) == p.self, previousRead, now)
		}
	}
}

// SetWorkers replaces the set of workers. The owner of a slot of a new worker uses it
// once the view has settled.
func (p *Partition) SetWorkers(workers []Worker) {
	next := make(map[unit.InstanceID]*workerSlots, len(workers))
	for _, w := range workers {
		w.Slots = min(max(w.Slots, 0), MaxSlots)
		s := p.workers[w.ID]
		if s == nil {
			s = &workerSlots{hash: xxhash.Sum64String(string(w.ID))}
		}
		s.limits = w
		for i := len(s.slots); i < w.Slots; i++ {
			owned := p.owner(s.hash, Index(i)) == p.self
			s.slots = append(s.slots, slotState{owned: owned, usableFrom: p.settledAt, gainedIn: p.entriesSince})
		}
		s.slots = s.slots[:w.Slots]
		next[w.ID] = s
	}
	p.workers = next
}

// Share returns the share of the worker that may be used at now. It is zero once the
// view is older than ViewTTL.
func (p *Partition) Share(worker unit.InstanceID, now time.Time) Share {
	s := p.workers[worker]
	if s == nil {
		return Share{}
	}
	var share Share
	for i := range s.slots {
		if p.usable(&s.slots[i], now) {
			share.Slots++
		}
	}
	if share.Slots > 0 {
		connectionsPerSlot := max(s.limits.Connections/s.limits.Slots/ownersWithConnections, 1)
		share.Connections = share.Slots * connectionsPerSlot
	}
	return share
}

// RecordAck records the view that a peer has acknowledged.
func (p *Partition) RecordAck(peer unit.EntryID, settled roster.SettledView, now time.Time) {
	if settled.Revision > p.acks[peer].Revision {
		p.acks[peer] = settled
		p.applyAcks(now)
	}
}

// ReleaseLostSlots returns the acknowledgement of the adopted view. The caller must have
// checked that the entry has no more requests in flight to any worker than its share.
// Lost slots can no longer be regained at once, since their new owners may use them
// from now on.
func (p *Partition) ReleaseLostSlots() roster.SettledView {
	for _, s := range p.workers {
		for i := range s.slots {
			if state := &s.slots[i]; !state.owned {
				state.lastUsable = time.Time{}
			}
		}
	}
	return roster.SettledView{Revision: p.revision, MembersHash: p.membersHash}
}

// Settled reports whether a view was adopted and the slots gained under it are usable.
func (p *Partition) Settled(now time.Time) bool {
	return !p.readAt.IsZero() && !now.Before(p.settledAt)
}

// ValidUntil returns the time until which the slots owned under the adopted view may be
// used, unless a later read confirms the view.
func (p *Partition) ValidUntil() time.Time { return p.readAt.Add(p.timing.ViewTTL) }

// applyAcks ends the delay of the slots that were gained under views acknowledged by
// all other entries.
func (p *Partition) applyAcks(now time.Time) {
	if !p.noLostEntries {
		return
	}
	acknowledged := p.revision
	for _, e := range p.entries {
		switch a := p.acks[e.id]; {
		case e.id == p.self:
		case a.MembersHash != p.membersHash:
			return
		default:
			acknowledged = min(acknowledged, a.Revision)
		}
	}
	if acknowledged >= p.entriesSince && p.settledAt.After(now) {
		p.settledAt = now
	}
	for _, s := range p.workers {
		for i := range s.slots {
			if state := &s.slots[i]; state.owned && state.gainedIn <= acknowledged && state.usableFrom.After(now) {
				state.usableFrom = now
			}
		}
	}
}

// usable reports whether this entry may use a slot at now.
func (p *Partition) usable(state *slotState, now time.Time) bool {
	return state.owned && !now.Before(state.usableFrom) && now.Before(p.ValidUntil())
}

// reassign updates a slot for a newly adopted view. The last read of the previous view
// was sent at previousRead.
func (p *Partition) reassign(state *slotState, owned bool, previousRead, now time.Time) {
	switch {
	case state.owned && !owned:
		var lastUsable time.Time
		if !now.Before(state.usableFrom) {
			lastUsable = previousRead
		}
		*state = slotState{lastUsable: lastUsable}
	case !state.owned && owned:
		usableFrom := p.settledAt
		if !state.lastUsable.IsZero() && now.Sub(state.lastUsable) <= p.timing.RegainWindow {
			usableFrom = now
		}
		*state = slotState{owned: true, usableFrom: usableFrom, gainedIn: p.revision}
	}
}

// owner returns the entry with the highest rendezvous hash for a slot, or an empty id if
// the view has no entries.
func (p *Partition) owner(worker uint64, slot Index) unit.EntryID {
	// Multiplying by an odd constant spreads the slot numbers of a worker over all
	// bits. A key of 16 bytes takes the short path of xxhash.
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], worker+uint64(slot)*0x9e3779b97f4a7c15)
	best := -1
	var highest uint64
	for i := range p.entries {
		binary.LittleEndian.PutUint64(buffer[8:], p.entries[i].hash)
		// If hashes are equal, the first id wins; all entries sort the ids alike.
		if h := xxhash.Sum64(buffer[:]); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	if best < 0 {
		return ""
	}
	return p.entries[best].id
}
