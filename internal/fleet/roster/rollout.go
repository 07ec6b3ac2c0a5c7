package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// RolloutTracker tracks lost entries until they have certainly stopped serving,
// and the configuration revision that each entry is known to have. Both together
// tell whether a revision is in effect everywhere. An entry that has left and is
// not lost has stopped gracefully and no longer serves. The zero value is ready
// for use.
type RolloutTracker struct {
	view      View
	hasView   bool                           // whether a view was observed
	lostSince map[unit.EntryID]time.Time     // when each lost entry was first seen lost
	revisions map[unit.EntryID]unit.Revision // highest known revision of each entry
}

// Observe records a view that was received at now.
func (t *RolloutTracker) Observe(now time.Time, v View) {
	if v.Revision < t.view.Revision {
		return // stale answer
	}
	lostSince := map[unit.EntryID]time.Time{}
	revisions := map[unit.EntryID]unit.Revision{}
	for _, id := range v.Lost {
		since, known := t.lostSince[id]
		if !known {
			since = now // its registration ended before now
		}
		lostSince[id], revisions[id] = since, t.revisions[id]
	}
	for _, e := range v.Entries {
		revisions[e.ID] = t.revisions[e.ID]
	}
	t.view, t.lostSince, t.revisions, t.hasView = v, lostSince, revisions, true
}

// RecordRevision records the configuration revision that an entry reported.
func (t *RolloutTracker) RecordRevision(id unit.EntryID, r unit.Revision) {
	if _, member := t.revisions[id]; member {
		t.revisions[id] = max(t.revisions[id], r)
	}
}

// View returns the last view.
func (t *RolloutTracker) View() View { return t.view }

// Missing returns the entries that may serve and are not known to have
// configuration revision r, sorted. It reports false while the set may be
// incomplete, which is until a view was read at or after store revision written,
// at which r was written.
func (t *RolloutTracker) Missing(now time.Time, r, written unit.Revision) ([]unit.EntryID, bool) {
	missing := map[unit.EntryID]bool{}
	for _, e := range t.view.Entries {
		if t.revisions[e.ID] < r {
			missing[e.ID] = true
		}
	}
	for id, since := range t.lostSince {
		keptServing := slices.Contains(t.view.KeptServing, id)
		if t.revisions[id] < r && (keptServing || now.Sub(since) <= DepartureGrace) {
			missing[id] = true
		}
	}
	return slices.Sorted(maps.Keys(missing)), t.hasView && t.view.Revision >= written
}
