// Package inventory holds what is known of the workers: the platform's lagging
// list, and which of them may receive new work. It is pure.
package inventory

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
)

// Snapshot is an immutable view of the workers.
type Snapshot struct {
	Revision unit.Revision
	workers  []store.Instance
}

// NewSnapshot returns a snapshot of a listing.
func NewSnapshot(l store.Listing) Snapshot {
	return Snapshot{Revision: l.Revision, workers: l.Instances}
}

// Workers returns all workers in the order of the list. The slice must not be
// changed.
func (s Snapshot) Workers() []store.Instance { return s.workers }

// Upstreams returns the live workers of a service.
func (s Snapshot) Upstreams(service unit.ServiceID) []store.Instance {
	var found []store.Instance
	for _, w := range s.workers {
		if w.Service == service && w.State == store.InstanceLive {
			found = append(found, w)
		}
	}
	return found
}
