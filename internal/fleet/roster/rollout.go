package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// RolloutTracker remembers lost entries until they have certainly stopped serving,
// and which configuration each entry is known to have. From both follows whether
// a revision is in effect everywhere. An entry that left and is not lost has
// stopped gracefully and serves no more. The zero value is ready for use.
type RolloutTracker struct {
	view  View
	any   bool // a view was observed
	left  map[unit.EntryID]time.Time
	known map[unit.EntryID]unit.Revision
}

// Observe takes a view that was received at now.
func (d *RolloutTracker) Observe(now time.Time, v View) {
	if v.Revision < d.view.Revision {
		return // an old answer
	}
	left := map[unit.EntryID]time.Time{}
	known := map[unit.EntryID]unit.Revision{}
	for _, id := range v.Lost {
		t, before := d.left[id]
		if !before {
			t = now // its registration ended before now
		}
		left[id], known[id] = t, d.known[id]
	}
	for _, e := range v.Entries {
		known[e.ID] = d.known[e.ID]
	}
	d.view, d.left, d.known, d.any = v, left, known, true
}

// RecordRevision takes the configuration revision that an entry reported.
func (d *RolloutTracker) RecordRevision(id unit.EntryID, r unit.Revision) {
	if _, member := d.known[id]; member {
		d.known[id] = max(d.known[id], r)
	}
}

// View returns the last view.
func (d *RolloutTracker) View() View { return d.view }

// Missing returns the entries that may serve and are not known to have the
// configuration revision, sorted. It reports false while that set is not
// complete: before a view that was read after the write of the revision, at
// store revision written.
func (d *RolloutTracker) Missing(now time.Time, r, written unit.Revision) ([]unit.EntryID, bool) {
	missing := map[unit.EntryID]bool{}
	for _, e := range d.view.Entries {
		if d.known[e.ID] < r {
			missing[e.ID] = true
		}
	}
	for id, t := range d.left {
		held := slices.Contains(d.view.KeptServing, id)
		if d.known[id] < r && (held || now.Sub(t) <= DepartureGrace) {
			missing[id] = true
		}
	}
	return slices.Sorted(maps.Keys(missing)), d.any && d.view.Revision >= written
}
