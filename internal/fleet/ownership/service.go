package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "ownership"

// Times of leases and watches.
const (
	entryTTL   = 10 * time.Second
	entryKeep  = 3 * time.Second
	ownerTTL   = 1600 * time.Millisecond
	ownerKeep  = 400 * time.Millisecond
	ownerWait  = 900 * time.Millisecond // of an owner, which must know that it still is
	watchWait  = 2 * time.Second
	retryPause = 150 * time.Millisecond
	// startLimit is how old the view of an owner may be for it to give orders. A
	// watch of the view takes up to ownerWait, and a slow answer more.
	startLimit = 2500 * time.Millisecond
	// MaxOrderOverlap is how long after another entry's claim an owner may still give
	// orders.
	MaxOrderOverlap = startLimit
	// holdLimit is how old it may be for it to renew the leases of workers.
	holdLimit = startLimit + time.Second
	// MaxRenewalOverlap is how long after a claim the owner before may still renew
	// leases of workers: its record may vanish right after it last saw it.
	MaxRenewalOverlap = holdLimit
)

// network reaches the other entries.
type network interface {
	Self() mesh.Peer
	SetPeers(map[unit.EntryID]mesh.Peer)
}

// reach tells how well this entry reaches the store.
type reach interface {
	kv.Doer
	// Outage reports whether neither this entry nor the peers that it reaches
	// have an answer of the store.
	Outage() bool
	// Back returns when the last outage ended.
	Back() time.Time
}

// Term is one ownership of the shard by this entry.
type Term struct {
	Epoch         unit.Epoch
	EpochRevision unit.Revision // of the epoch's record; a guard on it fails once somebody else claims
}

// Service implements the registration and the claims.
type Service struct {
	*registry.Tasks
	log   logr.Logger
	self  unit.EntryID
	ttl   time.Duration // of the owner's lease
	store kv.Client
	reach reach
	peers network

	mu      sync.Mutex
	view    View
	seen    time.Time  // when the request was sent whose answer gave the view
	lease   kv.LeaseID // of the owner's record, while this entry owns the shard
	pending time.Time  // until when a claim of this entry may be on its way into the view
	changed chan struct{}
	leaving bool
}

// New returns a service for the entry. minTTL is the shortest lease of the store.
func New(log logr.Logger, self unit.EntryID, minTTL time.Duration) *Service {
	return &Service{
		log: log, self: self, ttl: max(ownerTTL, minTTL),
		Tasks:   registry.NewTasks(),
		view:    newView(),
		changed: make(chan struct{}),
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.reach, err = registry.Find[reach](k, kv.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if s.peers, err = registry.Find[network](k, mesh.ServiceName); err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	s.store = kv.Client{Doer: s.reach}
	s.Begin(ctx, s.follow, s.register, s.contend)
	return nil
}

// Stop implements registry.Service. It gives up the shard first, so that another
// entry can claim it at once.
func (s *Service) Stop(ctx context.Context) error {
	err := s.Tasks.Stop(ctx)
	s.Release(ctx)
	return err
}

// Self returns the id of this entry.
func (s *Service) Self() unit.EntryID { return s.self }

// Owner returns the entry that is seen to own the shard, or "".
func (s *Service) Owner() unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.owner.Entry
}

// Term returns the present ownership of this entry, if it has one, and a channel
// that is closed when the view changes. An ownership goes on while its record is
// missing, until somebody else claims.
func (s *Service) Term() (Term, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mine := s.owns()
	return Term{Epoch: s.view.epoch.Epoch, EpochRevision: s.view.epochRev}, mine, s.changed
}

// owns is called with the lock held.
func (s *Service) owns() bool {
	return s.view.epoch.Entry == s.self && !s.leaving &&
		(s.view.ownerRev == 0 || s.view.owner.Entry == s.self)
}

// MayOrder reports whether an owner is current enough to start tasks.
func (s *Service) MayOrder(now time.Time) bool { return s.fresh(now, startLimit) }

// MayRenewLeases reports whether an owner is current enough to renew leases of workers.
func (s *Service) MayRenewLeases(now time.Time) bool { return s.fresh(now, holdLimit) }

// fresh reports whether the view is recent, or nobody can have claimed since
// because the store answers no entry.
func (s *Service) fresh(now time.Time, limit time.Duration) bool {
	s.mu.Lock()
	seen := s.seen
	s.mu.Unlock()
	return age(seen, now) < limit || s.reach.Outage()
}

// age returns the time since t by the steady clock or the time of day, whichever
// is longer: the steady clock stands still while an instance is suspended.
func age(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Resign makes this entry give up the shard for good; it claims no more.
func (s *Service) Resign(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.signal()
	s.mu.Unlock()
	s.Release(ctx)
}

// Release ends the lease of the shard, which removes the owner's record.
func (s *Service) Release(ctx context.Context) {
	s.mu.Lock()
	lease := s.lease
	s.lease = 0
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := s.store.Revoke(ctx, lease); err != nil {
		s.log.Info("ownership not released; it ends with its lease", "error", err.Error())
	}
}

// signal wakes those that follow the view. It is called with the lock held.
func (s *Service) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
