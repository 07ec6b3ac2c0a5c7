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

// Loss is the lasting record of an entry that has no registration.
type Loss struct {
	ID      unit.EntryID
	Written unit.Revision // store revision of the record; a new registration rewrites it
}

// Losses remembers since when entries are lost. The zero value is ready for use.
type Losses struct {
	since map[Loss]time.Time
}

// Observe takes the lost entries of a view that was received at now and returns
// those whose records self may delete.
func (l *Losses) Observe(now time.Time, self unit.EntryID, v View, lost []Loss) []Loss {
	since := make(map[Loss]time.Time, len(lost))
	var due []Loss
	for _, x := range lost {
		first, known := l.since[x]
		if !known {
			first = now
		}
		since[x] = first
		wait := lossSpan
		if e, ok := v.First(string(x.ID), nil); !ok || e.ID != self {
			wait += lossOthers
		}
		if now.Sub(first) >= wait {
			due = append(due, x)
		}
	}
	l.since = since
	return due
}
