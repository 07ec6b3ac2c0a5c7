package ownership

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// follow keeps the view up to date until the context ends.
func (s *Service) follow(ctx context.Context) {
	s.store.Follow(ctx, prefix, kv.Feed{Wait: s.watchTime, Listed: s.reset, Changed: s.update})
}

// watchTime returns how long the store may hold a watch.
func (s *Service) watchTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.epoch.Entry == s.self {
		return ownerWait
	}
	return watchWait
}

func (s *Service) reset(items []kv.Item, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ownerless := s.view.ownerless
	had := s.view.ownerRev != 0
	s.view = newView()
	s.view.ownerless = ownerless
	if had || ownerless.IsZero() {
		s.view.ownerless = time.Now()
	}
	s.take(items, sent)
}

func (s *Service) update(events []kv.Item, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(events, sent)
}

// take is called with the lock held.
func (s *Service) take(items []kv.Item, sent time.Time) {
	now := time.Now()
	s.seen = sent
	before := s.view.owner
	for _, i := range items {
		if err := s.view.apply(i, now); err != nil {
			s.log.Error(err, "record of an entry left aside", "key", i.Key, "revision", i.Revision)
		}
	}
	if s.view.owner != before {
		s.log.Info("owner changed", "owner", s.view.owner.Entry, "epoch", s.view.owner.Epoch, "before", before.Entry)
	}
	peers := map[unit.EntryID]mesh.Peer{}
	for id, p := range s.view.entries {
		if id != s.self {
			peers[id] = p
		}
	}
	s.peers.SetPeers(peers)
	s.signal()
}
