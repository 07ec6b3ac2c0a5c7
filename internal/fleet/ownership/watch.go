package ownership

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// followView keeps the view up to date with the store until the context ends.
func (s *Service) followView(ctx context.Context) {
	s.store.Follow(ctx, keyPrefix, kv.WatchHandler{MaxWait: s.watchTimeout, OnList: s.replaceView, OnChange: s.applyEvents})
}

// watchTimeout returns how long the store may hold a watch open without events.
func (s *Service) watchTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.epoch.Entry == s.self {
		return ownerWatchTimeout
	}
	return entryWatchTimeout
}

// replaceView replaces the view by a listing of the store. The time since when the
// shard has no owner is kept if it had none before.
func (s *Service) replaceView(items []kv.Item, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ownerlessSince := s.view.ownerlessSince
	hadOwner, ownerSeen := s.view.ownerRevision != 0, s.view.ownerSeen
	s.view = newView()
	s.view.ownerlessSince, s.view.ownerSeen = ownerlessSince, ownerSeen
	if hadOwner || ownerlessSince.IsZero() {
		s.view.ownerlessSince = time.Now()
	}
	s.applyItems(items, requestedAt)
}

// applyEvents applies events of a watch to the view.
func (s *Service) applyEvents(events []kv.Item, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyItems(events, requestedAt)
}

// applyItems applies items to the view, passes the registered entries on to the mesh
// and wakes the goroutines that wait for the view. It is called with the lock held.
func (s *Service) applyItems(items []kv.Item, requestedAt time.Time) {
	now := time.Now()
	s.viewRequestedAt = requestedAt
	previousOwner := s.view.owner
	for _, item := range items {
		if err := guard.Call(func() error { return s.view.apply(item, now) }); err != nil {
			metric.AddSkippedItem(item.Key)
			s.log.Error(err, "ownership record skipped", "key", item.Key, "revision", item.Revision)
		}
	}
	if s.view.owner != previousOwner {
		s.log.Info("owner changed", "owner", s.view.owner.Entry, "epoch", s.view.owner.Epoch, "before", previousOwner.Entry)
	}
	peers := map[unit.EntryID]mesh.Peer{}
	for id, entry := range s.view.entries {
		if id != s.self {
			peers[id] = entry.Peer
		}
	}
	s.peers.SetPeers(peers)
	s.notifyViewChanged()
}
