package roster

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Times after which the lasting record of a lost entry is deleted. They exceed
// all spans for which a lost entry may still act: 10 s to serve and 30 s for its
// longest request. One entry of the view deletes it, the others only if that one
// did not.
const (
	lossSpan   = 60 * time.Second
	lossOthers = 10 * time.Second
)

const (
	// holdSpan is how long a lost entry may be kept serving by others that are
	// lost too. It was seen lost at least 3 s after its last answered read; the
	// rest of DepartureSpan covers 4.5 s of clock drift over PeerSpan.
	holdSpan = MaxServeWithoutStore + DepartureGrace
	// viewLag bounds the age of an entry's view when its registration is last
	// seen: 6 s of the lease, 1 s between reads, and the time of two store calls.
	viewLag = 10 * time.Second
)

// Record is the store record of a registration, or the lasting record of an entry.
type Record struct {
	ID            unit.EntryID
	StoreRevision unit.Revision // store revision of the record; a new registration rewrites it
}

// LostEntry is what is known of a lost entry.
type LostEntry struct {
	ID          unit.EntryID
	Since       time.Time // when it was first seen lost
	KeptServing bool      // as of View.Held
}

// LossTracker remembers since when entries are lost, and which others were registered
// before that. The zero value is ready for use.
type LossTracker struct {
	since      map[Record]time.Time       // lost entries, by lasting record
	registered map[Record]time.Time       // when a registration was first seen
	last       map[unit.EntryID]time.Time // when a registration was last seen
	majority   time.Time                  // when lost entries could last form a majority
}

// Observe takes the registrations and the lost entries of a view that was
// received at now. It returns what is known of the lost entries, in their order,
// and the records that self may delete.
func (l *LossTracker) Observe(now time.Time, self unit.EntryID, v View, registered, lost []Record) (known []LostEntry, due []Record) {
	l.remember(now, registered, lost)
	if l.majorityLost(now) {
		l.majority = now
	}
	for _, x := range lost {
		// Heartbeats that arrived while there was a majority count for a while.
		held := !l.majority.IsZero() && now.Sub(l.majority) <= DepartureGrace && !l.expired(now, x)
		known = append(known, LostEntry{ID: x.ID, Since: l.since[x], KeptServing: held})
		wait := lossSpan
		if e, ok := v.First(string(x.ID), nil); !ok || e.ID != self {
			wait += lossOthers
		}
		if now.Sub(l.since[x]) >= wait && now.Sub(l.majority) >= wait {
			due = append(due, x)
		}
	}
	return known, due
}

func (l *LossTracker) remember(now time.Time, registered, lost []Record) {
	since := make(map[Record]time.Time, len(lost))
	seen := make(map[Record]time.Time, len(registered))
	last := make(map[unit.EntryID]time.Time, len(registered)+len(lost))
	for _, x := range lost {
		since[x] = now
		if first, known := l.since[x]; known {
			since[x] = first
		}
		if t, known := l.last[x.ID]; known {
			last[x.ID] = t
		}
	}
	for _, r := range registered {
		seen[r] = now
		if first, known := l.registered[r]; known {
			seen[r] = first
		}
		last[r.ID] = now
	}
	l.since, l.registered, l.last = since, seen, last
}

// majorityLost reports whether the lost entries may be a majority of the view
// that one of them still holds. That view has at least those entries that were
// registered well before the loss and still are. An entry whose registration was
// never seen here may hold any view. One entry alone has nobody to answer its
// heartbeats.
func (l *LossTracker) majorityLost(now time.Time) bool {
	lost := len(l.since)
	if lost < 2 {
		return false
	}
	for x := range l.since {
		if l.expired(now, x) {
			continue
		}
		view := lost
		if t, known := l.last[x.ID]; known {
			for _, first := range l.registered {
				if t.Sub(first) >= viewLag {
					view++
				}
			}
		}
		if lost >= view/2+1 {
			return true
		}
	}
	return false
}

// expired reports whether a lost entry has certainly stopped serving.
func (l *LossTracker) expired(now time.Time, x Record) bool { return now.Sub(l.since[x]) > holdSpan }
