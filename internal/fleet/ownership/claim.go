package ownership

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// campaign claims the shard when it has no owner, and renews the lease of the owner
// record while this entry owns it.
func (s *Service) campaign(ctx context.Context) {
	defer s.renewals.Wait()
	for ctx.Err() == nil {
		delay := s.campaignStep(ctx)
		s.mu.Lock()
		changed := s.viewChanged
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		case <-changed:
		}
	}
}

// campaignStep claims the shard or renews the lease if that is due, and returns after
// how long it has to be called again unless the view changes first.
func (s *Service) campaignStep(ctx context.Context) time.Duration {
	s.mu.Lock()
	now := time.Now()
	v, lease, resigned := s.view, s.ownerLease, s.resigned
	requestedAt, claimPendingUntil := s.viewRequestedAt, s.claimPendingUntil
	claimAt := s.view.claimTime(s.self, s.storeAccess.LastOutageEnd())
	if s.mayClaimAt.After(claimAt) {
		claimAt = s.mayClaimAt
	}
	_, registered := s.view.entries[s.self]
	s.mu.Unlock()
	switch {
	case requestedAt.IsZero() || resigned:
		return time.Minute
	case v.ownerRevision != 0 && v.owner.Entry != s.self:
		return time.Minute
	case v.ownerRevision != 0 && lease != 0:
		return s.renewOwnerLease(ctx, lease)
	case v.ownerRevision != 0:
		return ownerRenewInterval // a claim of this entry whose answer was lost, so that its lease is not known
	case lease != 0 && now.Before(claimPendingUntil):
		return s.renewOwnerLease(ctx, lease) // the view does not show the claim yet
	case !registered:
		return retryDelay
	case now.Before(claimAt):
		return claimAt.Sub(now)
	}
	s.claim(ctx, v)
	return retryDelay
}

// lateRenewal is the time after which the answer to a renewal is logged as late. The lease
// lasts for ownerTTL, so an owner with such answers is about to lose the shard.
const lateRenewal = 2 * ownerRenewInterval

// renewOwnerLease sends a renewal of the lease of the owner record, waits for the rest
// of the renewal interval, and returns the further delay until the next step. The
// next renewal is sent even if this one has no answer yet: a call may hang longer than
// the lease lasts, and a late renewal still extends it. With a stale view it also reads
// the epoch record.
func (s *Service) renewOwnerLease(ctx context.Context, lease kv.LeaseID) time.Duration {
	interval := time.NewTimer(ownerRenewInterval)
	defer interval.Stop()
	failed := make(chan struct{})
	s.renewals.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, s.ownerTTL)
		defer cancel()
		sentAt := time.Now()
		err := s.store.Renew(ctx, lease)
		if took := time.Since(sentAt); err != nil || took > lateRenewal {
			s.log.Info("renewal of the ownership late or failed", "lease", lease, "took", took.String(), "view", s.viewAge(time.Now()).String(), "error", err)
		}
		if err == nil {
			return
		}
		close(failed)
		if !errors.Is(err, kv.ErrLeaseEnded) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ownerLease == lease {
			s.ownerLease = 0
		}
	})
	if s.viewAge(time.Now()) > epochReadStaleness {
		s.renewals.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, s.ownerTTL)
			defer cancel()
			s.confirmEpoch(ctx)
		})
	}
	// Waits here, as changes of the view wake the caller more often than a renewal is
	// due.
	select {
	case <-ctx.Done():
	case <-failed:
		return retryDelay
	case <-interval.C:
	}
	return 0
}

// recordClaim keeps what is known of the owner before an epoch that is about to be claimed.
func (s *Service) recordClaim(epoch unit.Epoch, v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimedEpoch = epoch
	s.previousEndedAt, _ = v.previousOwnerEnded()
}

// claim writes the owner record. The previous owner keeps its epoch when it claims
// again, as no other entry has claimed since, unless it has abandoned the shard.
func (s *Service) claim(ctx context.Context, v View) {
	lease, _, err := s.store.Grant(ctx, s.ownerTTL)
	if err != nil {
		s.log.Info("claim failed", "error", err.Error())
		return
	}
	epoch := v.epoch.Epoch
	txn := kv.Txn{Guards: []kv.Guard{{Key: ownerKey}, {Key: EpochKey, Revision: v.epochRevision}}}
	s.mu.Lock()
	abandoned := s.abandoned
	s.mu.Unlock()
	if v.epoch.Entry != s.self || v.epoch.Epoch == abandoned {
		epoch++
		value, err := cbor.Marshal(epochRecord{Entry: s.self, Epoch: epoch, Address: s.peers.Self().Address})
		if err != nil {
			s.log.Error(err, "encode epoch record")
			return
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: EpochKey, Value: value})
		s.recordClaim(epoch, &v)
	}
	value, err := cbor.Marshal(ownerRecord{Entry: s.self, Epoch: epoch})
	if err != nil {
		s.log.Error(err, "encode owner record")
		return
	}
	txn.Puts = append(txn.Puts, kv.Put{Key: ownerKey, Value: value, Lease: lease})
	if !s.setClaimLease(lease) {
		return
	}
	_, err = s.store.Commit(ctx, txn)
	s.log.Info("claimed ownership", "epoch", epoch, "lease", lease, "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && !errors.Is(err, kv.ErrUnknown) {
		s.ownerLease = 0
		return
	}
	s.claimPendingUntil = time.Now().Add(s.ownerTTL)
}

// setClaimLease sets the lease of the owner record before the record is written, as the watch
// may show it before the write is answered. It returns false if this entry has resigned since
// the claim began: it would hold the shard and not own it.
func (s *Service) setClaimLease(lease kv.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resigned {
		return false
	}
	s.ownerLease = lease
	return true
}
