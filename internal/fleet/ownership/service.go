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

// Lease lengths, watch timeouts and staleness limits.
const (
	entryTTL           = 10 * time.Second
	entryRenewInterval = 3 * time.Second
	ownerTTL           = 1600 * time.Millisecond
	ownerRenewInterval = 400 * time.Millisecond
	ownerWatchTimeout  = 900 * time.Millisecond // shorter, as an owner must keep confirming that it still owns the shard
	entryWatchTimeout  = 2 * time.Second
	retryDelay         = 150 * time.Millisecond
	// maxOrderStaleness is the age of its view up to which an owner may start tasks. A
	// watch takes up to ownerWatchTimeout, and a slow answer longer.
	maxOrderStaleness = 2500 * time.Millisecond
	// MaxOrderOverlap is how long after the claim of another entry the previous
	// owner may still start tasks.
	MaxOrderOverlap = maxOrderStaleness
	// maxRenewalStaleness is the age of its view up to which an owner may renew the
	// leases of workers.
	maxRenewalStaleness = maxOrderStaleness + time.Second
	// epochReadStaleness is the age of its view from which an owner also reads the epoch
	// record. The watch has then not returned when it should have.
	epochReadStaleness = ownerWatchTimeout + 200*time.Millisecond
	// MaxRenewalOverlap is how long after the claim of another entry the previous
	// owner may still renew the leases of workers. Its record may have been removed
	// right after its last view.
	MaxRenewalOverlap = maxRenewalStaleness
)

// peerNetwork connects this entry with the other entries.
type peerNetwork interface {
	Self() mesh.Peer
	SetPeers(map[unit.EntryID]mesh.Peer)
}

// storeAccess sends requests to the store and reports whether it is reachable.
type storeAccess interface {
	kv.Doer
	// Outage reports whether the store answers neither this entry nor its peers, most of
	// which it reaches.
	Outage() bool
	// LastOutageEnd returns when the last outage ended.
	LastOutageEnd() time.Time
}

// Term is a period in which this entry owns the shard under one epoch.
type Term struct {
	Epoch         unit.Epoch
	EpochRevision unit.Revision // revision of the epoch record; a guard on it fails once another entry claims
	// PreviousEndedAt is a time by which the process of the previous owner had ended, or
	// zero if none is known.
	PreviousEndedAt time.Time
}

// Service keeps this entry registered and claims the shard when it has no owner.
type Service struct {
	*registry.Tasks
	log         logr.Logger
	self        unit.EntryID
	capacity    Capacity
	ownerTTL    time.Duration // of the lease of the owner record
	store       kv.Client
	storeAccess storeAccess
	peers       peerNetwork
	renewals    sync.WaitGroup // of the owner's lease, and reads of the epoch, without an answer yet

	mu                sync.Mutex
	view              View
	viewRequestedAt   time.Time     // when the store request that yielded the view was sent
	epochConfirmedAt  time.Time     // when the last read was sent that showed the epoch of the view
	ownerLease        kv.LeaseID    // lease of the owner record; 0 while this entry does not own the shard
	claimPendingUntil time.Time     // until then the view may not show the last claim of this entry yet
	viewChanged       chan struct{} // closed and replaced at each change of the view
	resigned          bool
	claimedEpoch      unit.Epoch // that this entry has claimed last; 0: none
	previousEndedAt   time.Time  // when the process of the owner before claimedEpoch had ended; zero: unknown
	abandoned         unit.Epoch // this entry no longer owns the shard under that epoch; 0: none
	mayClaimAt        time.Time  // not before, after it has abandoned the shard
}

// New returns a service for the entry, which has the given capacity, that is not
// started. minTTL is the shortest
// lease that the store grants.
func New(log logr.Logger, self unit.EntryID, capacity Capacity, minTTL time.Duration) *Service {
	return &Service{
		log: log, self: self, capacity: capacity, ownerTTL: max(ownerTTL, minTTL),
		Tasks:       registry.NewTasks(),
		view:        newView(),
		viewChanged: make(chan struct{}),
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.storeAccess, err = registry.Find[storeAccess](k, kv.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if s.peers, err = registry.Find[peerNetwork](k, mesh.ServiceName); err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	s.store = kv.Client{Doer: s.storeAccess}
	s.Begin(ctx, s.followView, s.register, s.campaign)
	return nil
}

// Stop implements registry.Service. It also releases the shard, so that another entry
// can claim it without waiting for the lease to expire.
func (s *Service) Stop(ctx context.Context) error {
	err := s.Tasks.Stop(ctx)
	s.Release(ctx)
	return err
}

// Self returns the id of this entry.
func (s *Service) Self() unit.EntryID { return s.self }

// Owner returns the entry that owns the shard according to the view, or "".
func (s *Service) Owner() unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.owner.Entry
}

// ClaimRevision returns the revision of the store at which the owner has claimed the shard
// according to the view, or 0 without an owner.
func (s *Service) ClaimRevision() unit.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.claimRevision()
}

// StartRelays returns the other entries that send starts for the owner, those with most
// capacity first.
func (s *Service) StartRelays() []unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.startRelays(s.self)
}

// Term returns the current term of this entry, whether this entry owns the shard, and
// a channel that is closed when the view changes. A term continues while the owner
// record is missing, until another entry claims the shard.
func (s *Service) Term() (Term, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := s.owns()
	term := Term{Epoch: s.view.epoch.Epoch, EpochRevision: s.view.epochRevision}
	if term.Epoch == s.claimedEpoch {
		term.PreviousEndedAt = s.previousEndedAt
	}
	return term, owned, s.viewChanged
}

// owns reports whether this entry owns the shard according to the view. It is called
// with the lock held.
func (s *Service) owns() bool {
	return s.view.epoch.Entry == s.self && !s.resigned && s.view.epoch.Epoch != s.abandoned &&
		(s.view.ownerRevision == 0 || s.view.owner.Entry == s.self)
}

// confirmEpoch reads the epoch record. While it has the revision of the view, no other
// entry has claimed the shard, whether or not the owner record and its lease exist, so
// that the view is known to hold at the time the read was sent.
func (s *Service) confirmEpoch(ctx context.Context) {
	sentAt := time.Now()
	item, err := s.store.Get(ctx, EpochKey)
	if err != nil {
		return // storage/access logs that the store is unreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if item.Revision == s.view.epochRevision && sentAt.After(s.epochConfirmedAt) {
		s.epochConfirmedAt = sentAt
	}
}

// MayOrder reports whether the view is recent enough for an owner to start tasks.
func (s *Service) MayOrder(now time.Time) bool { return s.viewIsFresh(now, maxOrderStaleness) }

// MayRenewLeases reports whether the view is recent enough for an owner to renew the
// leases of workers.
func (s *Service) MayRenewLeases(now time.Time) bool { return s.viewIsFresh(now, maxRenewalStaleness) }

// viewIsFresh reports whether the view, or a later read of its epoch, is younger than
// maxAge, or no entry can have claimed the shard since because the store answers none
// of them.
func (s *Service) viewIsFresh(now time.Time, maxAge time.Duration) bool {
	return s.viewAge(now) < maxAge || s.storeAccess.Outage()
}

// viewAge returns for how long it has not been confirmed that no other entry has
// claimed the shard.
func (s *Service) viewAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(unit.Age(s.viewRequestedAt, now), unit.Age(s.epochConfirmedAt, now))
}

// Resign releases the shard and stops this entry from claiming it again.
func (s *Service) Resign(ctx context.Context) {
	s.mu.Lock()
	s.resigned = true
	s.notifyViewChanged()
	s.mu.Unlock()
	s.Release(ctx)
}

// abandonDelay is how long after it has abandoned the shard an entry may claim it again. By
// then each of the others has had its turn, and a fault that all of them hit does not
// become a loop without pause.
const abandonDelay = 3 * time.Second

// Abandon gives the shard up after a fault, so that another entry can claim it. This
// entry claims it again only after abandonDelay, and under a new epoch.
func (s *Service) Abandon(ctx context.Context) {
	s.mu.Lock()
	s.abandoned, s.mayClaimAt = s.view.epoch.Epoch, time.Now().Add(abandonDelay)
	s.notifyViewChanged()
	s.mu.Unlock()
	s.Release(ctx)
}

// Release revokes the lease of the owner record, which removes the record.
func (s *Service) Release(ctx context.Context) {
	s.mu.Lock()
	lease := s.ownerLease
	s.ownerLease = 0
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := s.store.Revoke(ctx, lease); err != nil {
		s.log.Info("ownership not released; its lease has to expire", "error", err.Error())
	}
}

// notifyViewChanged wakes the goroutines that wait for a change of the view. It is
// called with the lock held.
func (s *Service) notifyViewChanged() {
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
}
