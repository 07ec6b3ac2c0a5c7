package roster

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Delays until the lasting record of a lost entry is deleted. They exceed the time
// for which a lost entry may still act: 10 s to serve and 30 s for its longest
// request. One entry of the view deletes the record; the others delete it only if
// that entry has not done so after otherDeleterDelay.
const (
	lostRecordRetention = 60 * time.Second
	otherDeleterDelay   = 10 * time.Second
)

const (
	// maxKeptServing bounds how long a lost entry may be kept serving by other
	// lost entries. It was seen lost at least 3 s after its last answered read; the
	// rest of DepartureGrace covers 4.5 s of clock drift over MaxServeWithoutStore.
	maxKeptServing = MaxServeWithoutStore + DepartureGrace
	// maxViewAge bounds the age of an entry's view when its registration is last
	// seen: 6 s of the lease, 1 s between reads, and the time of two store calls.
	maxViewAge = 10 * time.Second
)

// Record is the store record of a registration, or the lasting record of an entry.
type Record struct {
	ID            unit.EntryID
	StoreRevision unit.Revision // store revision of the last write; each registration rewrites the record
}

// LostEntry describes a lost entry.
type LostEntry struct {
	ID          unit.EntryID
	Since       time.Time // when it was first seen lost
	KeptServing bool      // see View.KeptServing
}

// LossTracker tracks since when entries are lost, and which other entries were
// registered before that. The zero value is ready for use.
type LossTracker struct {
	since      map[Record]time.Time       // when an entry was first seen lost, by lasting record
	registered map[Record]time.Time       // when a registration was first seen
	lastSeen   map[unit.EntryID]time.Time // when a registration was last seen
	majorityAt time.Time                  // when lost entries could last form a majority
}

// Observe records the registrations and the lost entries of a view that was
// received at now. It returns the lost entries, in their order, and the lasting
// records that self may delete now.
func (l *LossTracker) Observe(now time.Time, self unit.EntryID, v View, registered, lost []Record) (entries []LostEntry, deletable []Record) {
	l.update(now, registered, lost)
	if l.majorityLost(now) {
		l.majorityAt = now
	}
	for _, x := range lost {
		// Heartbeats that arrived while there was a majority still count for up to
		// DepartureGrace.
		kept := !l.majorityAt.IsZero() && now.Sub(l.majorityAt) <= DepartureGrace && !l.stoppedServing(now, x)
		entries = append(entries, LostEntry{ID: x.ID, Since: l.since[x], KeptServing: kept})
		wait := lostRecordRetention
		if e, ok := v.First(string(x.ID), nil); !ok || e.ID != self {
			wait += otherDeleterDelay
		}
		if now.Sub(l.since[x]) >= wait && now.Sub(l.majorityAt) >= wait {
			deletable = append(deletable, x)
		}
	}
	return entries, deletable
}

// update carries the known times over to the present records and drops those of
// all others.
func (l *LossTracker) update(now time.Time, registered, lost []Record) {
	since := make(map[Record]time.Time, len(lost))
	firstSeen := make(map[Record]time.Time, len(registered))
	lastSeen := make(map[unit.EntryID]time.Time, len(registered)+len(lost))
	for _, x := range lost {
		since[x] = now
		if first, known := l.since[x]; known {
			since[x] = first
		}
		if t, known := l.lastSeen[x.ID]; known {
			lastSeen[x.ID] = t
		}
	}
	for _, r := range registered {
		firstSeen[r] = now
		if first, known := l.registered[r]; known {
			firstSeen[r] = first
		}
		lastSeen[r.ID] = now
	}
	l.since, l.registered, l.lastSeen = since, firstSeen, lastSeen
}

// majorityLost reports whether the lost entries may be a majority of the view that
// one of them still uses. That view contains at least those entries that were
// registered well before the loss and still are. An entry whose registration was
// never seen here may use any view. A single lost entry has no peer that answers
// its heartbeats.
func (l *LossTracker) majorityLost(now time.Time) bool {
	lost := len(l.since)
	if lost < 2 {
		return false
	}
	for x := range l.since {
		if l.stoppedServing(now, x) {
			continue
		}
		viewSize := lost
		if t, known := l.lastSeen[x.ID]; known {
			for _, first := range l.registered {
				if t.Sub(first) >= maxViewAge {
					viewSize++
				}
			}
		}
		if lost >= viewSize/2+1 {
			return true
		}
	}
	return false
}

// stoppedServing reports whether a lost entry has certainly stopped serving.
func (l *LossTracker) stoppedServing(now time.Time, x Record) bool {
	return now.Sub(l.since[x]) > maxKeptServing
}
