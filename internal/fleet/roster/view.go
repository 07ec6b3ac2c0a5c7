// Package roster has the pure functions of membership: the view of registered
// entries, rendezvous hashing over it, and the deadlines until which an entry may
// start tasks and serve requests. The caller passes the time of each event.
package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Entry is one registered entry.
type Entry struct {
	ID      unit.EntryID `json:"id"`
	Zone    unit.ZoneID  `json:"zone"`
	Address string       `json:"address"` // IP and UDP port of its peer link
}

// View is the set of registered entries as of one store revision. It is immutable
// once membership has published it and may be shared.
type View struct {
	Entries  []Entry       // sorted by id, without duplicates
	Revision unit.Revision // store revision of the read; it may rise while the entries stay the same
	// Lost are the entries that have a lasting record and no registration, sorted:
	// the registration ended without a graceful stop, or is about to be made. They
	// may still hold slots and serve for a while.
	Lost []unit.EntryID
	// KeptServing are those lost entries that may serve for up to
	// MaxServeWithoutStore, since lost entries may be a majority of a view that one
	// of them still uses. Sorted.
	KeptServing []unit.EntryID
}

// NewView returns a view of the entries, sorted and without duplicate ids.
func NewView(entries []Entry, revision unit.Revision) View {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Entry) bool { return a.ID == b.ID })
	return View{Entries: sorted, Revision: revision}
}

// Entry returns the entry with the id.
func (v View) Entry(id unit.EntryID) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v.Entries, id, func(e Entry, id unit.EntryID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return Entry{}, false
	}
	return v.Entries[i], true
}

// Contains reports whether the entry is registered.
func (v View) Contains(id unit.EntryID) bool {
	_, ok := v.Entry(id)
	return ok
}

// SameEntries reports whether two views have equal Entries, Lost and KeptServing,
// whatever their revisions.
func (v View) SameEntries(o View) bool {
	return slices.Equal(v.Entries, o.Entries) && slices.Equal(v.Lost, o.Lost) && slices.Equal(v.KeptServing, o.KeptServing)
}

// Rank returns the entries by their rendezvous score for the key, highest first.
// An entry that joins or leaves does not change the order of the others.
func (v View) Rank(key string) []Entry {
	type scored struct {
		entry Entry
		score uint64
	}
	all := make([]scored, len(v.Entries))
	for i, e := range v.Entries {
		all[i] = scored{e, Score(key, e.ID)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	ranked := make([]Entry, len(all))
	for i, s := range all {
		ranked[i] = s.entry
	}
	return ranked
}

// First returns the highest-ranked entry for the key that accept allows. A nil
// accept allows all entries.
func (v View) First(key string, accept func(Entry) bool) (Entry, bool) {
	var best Entry
	var bestScore uint64
	found := false
	for _, e := range v.Entries {
		if accept != nil && !accept(e) {
			continue
		}
		// Entries are sorted by id, so a tie goes to the lower id as in Rank.
		if score := Score(key, e.ID); !found || score > bestScore {
			best, bestScore, found = e, score, true
		}
	}
	return best, found
}

// Score returns the rendezvous score of an entry for a key. The zero byte separates
// the key from the id, so that ("a", "bc") and ("ab", "c") differ.
func Score(key string, id unit.EntryID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a Digest never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
