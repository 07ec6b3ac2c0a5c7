// Package budget accounts for the memory and the connections that clients hold on an entry,
// and chooses which client loses while either is short. The package does no I/O and reads no
// clock.
package budget

import (
	"net/netip"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// ConnectionID names a connection of a client within one process.
type ConnectionID uint64

// Source is the address of the host that a client connects from.
type Source netip.Addr

// Phase is what a connection is used for.
type Phase int

// Phases of a connection. Only a connection that is deciding cannot be revoked, as its
// request may already have had an effect.
const (
	Idle      Phase = iota // no request has begun
	Receiving              // the header or the body of a request is being received
	Deciding               // the request is complete and being handled
)

// Limits are what all connections together may hold.
type Limits struct {
	Bytes       unit.Bytes
	Connections int
}

// Budget is the account of all connections. It is for use by one goroutine at a time.
type Budget struct {
	limits        Limits
	used          unit.Bytes // by connections that are not revoked
	lingering     unit.Bytes // held by revoked connections, which have not released it yet
	open          int        // connections that are not disconnected
	holders       []*holder
	byID          map[ConnectionID]*holder
	sources       map[Source]*group
	organisations map[unit.OrganisationID]*group
}

// group is the account of all connections of one source or organisation.
type group struct {
	used        unit.Bytes // as in Budget
	connections int
}

// holder is the account of a connection.
type holder struct {
	id           ConnectionID
	index        int // in Budget.holders
	sourceID     Source
	source       *group
	owner        unit.OrganisationID // empty until it is known
	organisation *group              // nil until it is known
	bytes        unit.Bytes
	phase        Phase
	since        time.Time // when the phase began, or the connection was revoked
	revoked      bool      // its bytes count as free
	disconnected bool      // its descriptor is closed, and what it holds is not released yet
}

// New returns a budget without connections.
func New(l Limits) *Budget {
	return &Budget{
		limits: l, byID: map[ConnectionID]*holder{},
		sources: map[Source]*group{}, organisations: map[unit.OrganisationID]*group{},
	}
}

// Used returns what the connections that are not revoked hold.
func (b *Budget) Used() unit.Bytes { return b.used }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return b.open }

// Held returns what a connection holds.
func (b *Budget) Held(id ConnectionID) unit.Bytes {
	if h := b.byID[id]; h != nil {
		return h.bytes
	}
	return 0
}

// Open adds an idle connection that holds a number of bytes. It fails if there is no room.
// The caller has to disconnect those that were revoked before it opens another. A
// connection that was revoked before is disconnected first, as it only sends a response.
func (b *Budget) Open(id ConnectionID, s Source, cost unit.Bytes, now time.Time) (revoked []ConnectionID, ok bool) {
	h := &holder{id: id, sourceID: s, source: join(b.sources, s), since: now}
	// More than one is disconnected if others, whose requests became complete, are still open.
	for b.open-len(revoked) >= b.limits.Connections {
		victim := b.firstRevoked(revoked)
		if victim == nil {
			victim = b.worst(h, now)
		}
		if victim == nil {
			leave(b.sources, s)
			return revoked, false
		}
		b.revoke(victim, now)
		revoked = append(revoked, victim.id)
	}
	b.open++
	h.index = len(b.holders)
	b.holders = append(b.holders, h)
	b.byID[id] = h
	more, ok := b.Reserve(id, cost, now)
	if !ok {
		b.Close(id)
	}
	return append(revoked, more...), ok
}

// Disconnect records that the descriptor of a connection, which was revoked, is closed. What
// it holds is released by its goroutine, or by Close.
func (b *Budget) Disconnect(id ConnectionID) {
	if h := b.byID[id]; h != nil && !h.disconnected {
		h.disconnected = true
		b.open--
	}
}

// Close removes a connection with all that it holds.
func (b *Budget) Close(id ConnectionID) {
	h := b.byID[id]
	if h == nil {
		return
	}
	b.Disconnect(id)
	b.revoke(h, h.since)
	b.lingering -= h.bytes
	leave(b.sources, h.sourceID)
	if h.organisation != nil {
		leave(b.organisations, h.owner)
	}
	delete(b.byID, id)
	last := b.holders[len(b.holders)-1]
	b.holders[h.index], last.index = last, h.index
	b.holders[len(b.holders)-1] = nil
	b.holders = b.holders[:len(b.holders)-1]
}

// Reserve adds to what a connection holds. If the budget is short, it revokes connections
// that rank above this one, and fails if that does not suffice, or if revoked connections
// would hold more than the whole budget: all connections together hold at most twice as
// much. A connection that is the only one with a request always gets what it asks for.
func (b *Budget) Reserve(id ConnectionID, n unit.Bytes, now time.Time) (revoked []ConnectionID, ok bool) {
	h := b.byID[id]
	if h == nil || h.revoked {
		return nil, false
	}
	shortage := b.used + n - b.limits.Bytes
	switch {
	case shortage <= 0:
	case b.lingering+shortage <= b.limits.Bytes && b.revocable(h, now) >= shortage:
		for shortage > 0 {
			victim := b.worst(h, now)
			if victim == nil { // the sources above this one's have come down to its share
				return revoked, false
			}
			shortage -= victim.bytes
			b.revoke(victim, now)
			revoked = append(revoked, victim.id)
		}
	case h.phase == Idle || !b.alone(h):
		return nil, false
	}
	b.charge(h, n)
	return revoked, true
}

// Release takes from what a connection holds.
func (b *Budget) Release(id ConnectionID, n unit.Bytes) {
	h := b.byID[id]
	if h == nil {
		return
	}
	n = min(n, h.bytes)
	if h.revoked {
		h.bytes -= n
		b.lingering -= n
		return
	}
	b.charge(h, -n)
}

// SetPhase records that a phase of a connection begins.
func (b *Budget) SetPhase(id ConnectionID, p Phase, now time.Time) {
	h := b.byID[id]
	if h == nil || h.phase == p {
		return
	}
	h.phase = p
	if !h.revoked {
		h.since = now
	}
}

// SetOrganisation records on whose behalf a connection's request was sent.
func (b *Budget) SetOrganisation(id ConnectionID, o unit.OrganisationID) {
	h := b.byID[id]
	if h == nil || h.revoked || h.owner == o {
		return
	}
	held := h.bytes
	b.charge(h, -held)
	if h.organisation != nil {
		leave(b.organisations, h.owner)
	}
	h.owner, h.organisation = o, nil
	if o != "" {
		h.organisation = join(b.organisations, o)
	}
	b.charge(h, held)
}

// charge changes what a connection, which is not revoked, holds.
func (b *Budget) charge(h *holder, n unit.Bytes) {
	h.bytes += n
	b.used += n
	h.source.used += n
	if h.organisation != nil {
		h.organisation.used += n
	}
}

// join adds a connection to a group.
func join[K comparable](groups map[K]*group, key K) *group {
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	g.connections++
	return g
}

// leave removes a connection from a group, and the last one its group.
func leave[K comparable](groups map[K]*group, key K) {
	g := groups[key]
	if g.connections--; g.connections == 0 {
		delete(groups, key)
	}
}

// revoke counts what a connection holds as free. It stays open until Close.
func (b *Budget) revoke(h *holder, now time.Time) {
	if h.revoked {
		return
	}
	held := h.bytes
	b.charge(h, -held)
	b.lingering += held
	h.bytes, h.revoked, h.since = held, true, now
}
