package ownership

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// register keeps the registration of this entry in the store and removes it when the
// context ends.
func (s *Service) register(ctx context.Context) {
	var lease kv.LeaseID
	for ctx.Err() == nil {
		err := errors.New("no lease yet")
		if lease != 0 {
			err = s.store.Renew(ctx, lease)
		}
		if lease == 0 || errors.Is(err, kv.ErrLeaseEnded) || s.registrationMissing() {
			lease, err = s.writeRegistration(ctx)
		}
		if err != nil {
			wait.For(ctx, retryDelay)
			continue
		}
		s.awaitRenewal(ctx, entryRenewInterval)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := s.store.Revoke(ctx, lease); err != nil {
			s.log.Info("registration not removed; its lease has to expire", "error", err.Error())
		}
	}
}

// awaitRenewal waits for d, after which the registration has to be renewed, or until
// the registration is missing from a recent view.
func (s *Service) awaitRenewal(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.viewChanged
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
			if s.registrationMissing() && s.viewWithinWatchTimeout() {
				return
			}
		}
	}
}

// registrationMissing reports whether there is a view and it lacks the registration
// of this entry.
func (s *Service) registrationMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.view.entries[s.self]
	return !ok && !s.viewRequestedAt.IsZero()
}

// viewWithinWatchTimeout reports whether the view is younger than one watch may last.
func (s *Service) viewWithinWatchTimeout() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return unit.Age(s.viewRequestedAt, time.Now()) < entryWatchTimeout
}

// writeRegistration writes the registration of this entry under a new lease.
func (s *Service) writeRegistration(ctx context.Context) (kv.LeaseID, error) {
	lease, _, err := s.store.Grant(ctx, entryTTL)
	if err != nil {
		return 0, err
	}
	value, err := cbor.Marshal(entryRecord{Peer: s.peers.Self(), Capacity: s.capacity, RelaysStarts: true})
	if err != nil {
		return 0, errors.Errorf("encode entry record: %w", err)
	}
	_, err = s.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: entryPrefix + kv.Key(s.self), Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}
