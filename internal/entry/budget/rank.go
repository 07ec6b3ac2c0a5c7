package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// rank orders connections by how early they lose what they hold. Many callers may share an
// address or belong to one organisation, so what these hold together is no limit and decides
// only between them.
type rank struct {
	share       unit.Bytes // of its organisation, or of its source while none is known
	source      unit.Bytes
	byteSeconds float64 // the largest and slowest holder has most
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.share, o.share),
		cmp.Compare(r.source, o.source),
		cmp.Compare(r.byteSeconds, o.byteSeconds),
	)
}

func (h *holder) rank(now time.Time) rank {
	r := rank{source: h.source.used, byteSeconds: float64(h.bytes) * now.Sub(h.since).Seconds()}
	r.share = r.source
	if h.organisation != nil {
		r.share = h.organisation.used
	}
	return r
}

// ranksAbove reports whether a connection may lose what it holds to another one with a
// rank. A connection never displaces one that ranks below it.
func (h *holder) ranksAbove(other *holder, r rank, now time.Time) bool {
	return h != other && !h.revoked && h.phase != Deciding && h.rank(now).compare(r) >= 0
}

// revocable returns what could be taken for a connection.
func (b *Budget) revocable(other *holder, now time.Time) unit.Bytes {
	r := other.rank(now)
	var total unit.Bytes
	for _, h := range b.holders {
		if h.ranksAbove(other, r, now) {
			total += h.bytes
		}
	}
	return total
}

// worst returns the connection that is the first to lose what it holds to another one, or
// nil.
func (b *Budget) worst(other *holder, now time.Time) *holder {
	most := other.rank(now)
	var victim *holder
	for _, h := range b.holders {
		if h.ranksAbove(other, most, now) {
			victim, most = h, h.rank(now)
		}
	}
	return victim
}

// firstRevoked returns the connection that was revoked first of those that are not closed
// yet, besides some, or nil. One whose request became complete is left to its handler.
func (b *Budget) firstRevoked(besides []ConnectionID) *holder {
	var first *holder
	for _, h := range b.holders {
		if h.revoked && !h.disconnected && h.phase != Deciding && !slices.Contains(besides, h.id) && (first == nil || h.since.Before(first.since)) {
			first = h
		}
	}
	return first
}

// alone reports whether no other connection has a request.
func (b *Budget) alone(one *holder) bool {
	for _, h := range b.holders {
		if h != one && !h.revoked && h.phase != Idle {
			return false
		}
	}
	return true
}
