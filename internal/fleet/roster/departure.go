package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Departures remembers entries that left the view, until they have certainly
// stopped serving, and which configuration each entry is known to have. From
// both follows whether a revision is in effect everywhere. The zero value is
// ready for use.
type Departures struct {
	view  View
	first time.Time // of the first view
	left  map[unit.EntryID]time.Time
	known map[unit.EntryID]unit.Revision
}

// Observe takes a view that was received at now.
func (d *Departures) Observe(now time.Time, v View) {
	if v.Revision < d.view.Revision {
		return // an old answer
	}
	if d.left == nil {
		d.first = now
		d.left = map[unit.EntryID]time.Time{}
		d.known = map[unit.EntryID]unit.Revision{}
	}
	for _, e := range d.view.Entries {
		if !v.Contains(e.ID) {
			d.left[e.ID] = now // its registration ended before now
		}
	}
	for _, e := range v.Entries {
		delete(d.left, e.ID)
	}
	d.view = v
	for id, t := range d.left {
		if now.Sub(t) > DepartureSpan {
			delete(d.left, id)
			delete(d.known, id)
		}
	}
}

// Learn takes the configuration revision that an entry reported.
func (d *Departures) Learn(id unit.EntryID, r unit.Revision) {
	if _, leaving := d.left[id]; leaving || d.view.Contains(id) {
		d.known[id] = max(d.known[id], r)
	}
}

// View returns the last view.
func (d *Departures) View() View { return d.view }

// Missing returns the entries that may serve and are not known to have the
// configuration revision, sorted. It reports false while that set is not
// complete: before a view that was read after the write of the revision (at
// store revision written), and before DepartureSpan has passed since the first
// view, because an entry that left before that view is not known here.
func (d *Departures) Missing(now time.Time, r, written unit.Revision) ([]unit.EntryID, bool) {
	complete := d.left != nil && d.view.Revision >= written && now.Sub(d.first) > DepartureSpan
	missing := map[unit.EntryID]bool{}
	for _, e := range d.view.Entries {
		if d.known[e.ID] < r {
			missing[e.ID] = true
		}
	}
	for id, t := range d.left {
		if d.known[id] < r && now.Sub(t) <= DepartureSpan {
			missing[id] = true
		}
	}
	return slices.Sorted(maps.Keys(missing)), complete
}
