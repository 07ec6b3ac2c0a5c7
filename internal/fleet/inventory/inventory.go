// Package inventory represents the platform's list of workers, which lags behind
// their actual state, and tells which of them may receive new work. Its functions
// are pure.
package inventory

import (
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Snapshot is an immutable copy of the worker list at one revision.
type Snapshot struct {
	Revision unit.Revision
	workers  []store.Instance
}

// NewSnapshot returns the snapshot of a complete listing.
func NewSnapshot(l store.Listing) Snapshot {
	return Snapshot{Revision: l.Revision, workers: l.Instances}
}

// Apply returns the snapshot after a listing, which is complete or the difference
// from an earlier revision. It reports false, and returns s, if the difference is
// from another revision than that of s.
func (s Snapshot) Apply(l store.Listing) (Snapshot, bool) {
	switch l.After {
	case 0:
		return NewSnapshot(l), true
	case s.Revision:
	default:
		return s, false
	}
	changed := map[unit.InstanceID]store.Instance{}
	for _, w := range l.Instances {
		changed[w.ID] = w
	}
	next := make([]store.Instance, 0, len(s.workers)+len(l.Instances))
	for _, w := range s.workers {
		if slices.Contains(l.Removed, w.ID) {
			continue
		}
		if c, ok := changed[w.ID]; ok {
			w = c
			delete(changed, w.ID)
		}
		next = append(next, w)
	}
	for _, w := range l.Instances {
		if _, added := changed[w.ID]; added {
			next = append(next, w)
		}
	}
	return Snapshot{Revision: l.Revision, workers: next}, true
}

// Workers returns all workers in the order of the list. The slice must not be
// modified.
func (s Snapshot) Workers() []store.Instance { return s.workers }

// Upstreams returns the live workers of a service, which may receive new requests.
func (s Snapshot) Upstreams(service unit.ServiceID) []store.Instance {
	var found []store.Instance
	for _, w := range s.workers {
		if w.Service == service && w.State == store.InstanceLive {
			found = append(found, w)
		}
	}
	return found
}
