// Package membership registers this entry under a store lease and polls the store
// for the view of all registered entries.
package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "membership"

// Prefix is the key prefix of registrations. The entry id follows it.
const Prefix store.Key = "entry/"

// lastingSuffix ends the key of the lasting record of an entry, which is bound to
// no lease. The record is written before each registration and deleted after a
// graceful stop, so that other entries can tell a lost entry, which may still act,
// from a stopped one.
const lastingSuffix = "/open"

// Timing of the registration. The lease is certainly valid for certainValidity
// after the send time of a successful renewal; the remaining second of the TTL
// covers clock drift of the store. A failed call is retried after retryInterval:
// at renewInterval, the third attempt would be sent just after the lease expired.
const (
	leaseTTL        = 6 * time.Second
	certainValidity = 5 * time.Second
	renewInterval   = 2 * time.Second
	readInterval    = time.Second
	retryInterval   = 500 * time.Millisecond
)

// storeClient is the store API that the service uses.
type storeClient interface {
	List(ctx context.Context, prefix store.Key) (store.Snapshot, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	Renew(ctx context.Context, id store.LeaseID) error
	Revoke(ctx context.Context, id store.LeaseID) error
}

// Service maintains the registration of this entry and the current view.
type Service struct {
	log    logr.Logger
	self   roster.Entry
	store  storeClient
	cancel context.CancelFunc
	done   chan struct{}

	tracker roster.LossTracker // used only by the goroutine that reads the view

	mu               sync.Mutex
	view             roster.View
	lost             []roster.LostEntry // lost entries of the view; never modified in place
	viewReadAt       time.Time          // send time of the read that returned the view
	lease            store.LeaseID      // lease of the registration; empty while not registered
	unconfirmedLease store.LeaseID      // lease of a registration attempt with unknown outcome
	validUntil       time.Time          // the registration certainly exists until then
	changed          chan struct{}      // closed at the next change
}

// New returns a service that registers self once it is started. The id of self
// must be unique to the process, since a registration represents the state that
// the process holds in memory.
func New(log logr.Logger, self roster.Entry) *Service {
	return &Service{log: log, self: self, done: make(chan struct{}), changed: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service. It succeeds during a store outage; the entry
// registers once the store is reachable.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.store, err = registry.Find[storeClient](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	registerErr := s.renew(ctx)
	readErr := s.readView(ctx)
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { s.runPeriodically(ctx, "registration", renewInterval, registerErr, s.renew) })
	wg.Go(func() { s.runPeriodically(ctx, "view", readInterval, readErr, s.readView) })
	go func() {
		defer close(s.done)
		wg.Wait()
	}()
	return nil
}

// Stop implements registry.Service. It ends the registration, so that other
// entries need not wait for the lease to expire.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
		return errors.Errorf("wait for renewal to end: %w", ctx.Err())
	}
	s.mu.Lock()
	lease := s.lease
	s.lease, s.validUntil = "", time.Time{}
	s.mu.Unlock()
	if lease != "" {
		if err := retryUnknown(func() error { return s.store.Revoke(ctx, lease) }); err != nil {
			return errors.Errorf("end registration: %w", err)
		}
	}
	if err := s.revokeUnconfirmed(ctx); err != nil {
		return err
	}
	if err := retryUnknown(func() error { return s.store.Delete(ctx, lastingKey(s.self.ID), store.Always()) }); err != nil {
		return errors.Errorf("delete lasting record: %w", err)
	}
	return nil
}

// maxRemoveAttempts bounds the attempts of a removal whose outcome stays unknown.
const maxRemoveAttempts = 3

// retryUnknown retries a removal while its outcome is unknown. It treats
// store.ErrNotFound as success, since an earlier attempt may have taken effect.
func retryUnknown(remove func() error) error {
	var err error
	for range maxRemoveAttempts {
		if err = remove(); !errors.Is(err, store.ErrUnknown) {
			break
		}
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Self returns the id of this entry.
func (s *Service) Self() unit.EntryID { return s.self.ID }

// View returns the view of the last successful read.
func (s *Service) View() roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Viewed returns the view and the send time of the read that returned it.
func (s *Service) Viewed() (roster.View, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.viewReadAt
}

// Lost returns the lost entries of the view, sorted by id. The result is shared
// and must not be modified.
func (s *Service) Lost() []roster.LostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Lease returns the lease of the registration, or an empty id while there is none.
func (s *Service) Lease() store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// ValidUntil returns the time until which the registration certainly exists.
func (s *Service) ValidUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validUntil
}

// Changed returns a channel that is closed at the next change of the view's
// entries, its lost entries or the lease. A new revision alone, which every read
// returns, does not close it.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// runPeriodically calls step at each interval until the context ends, and logs
// each change between success and failure. err is the result of the first call,
// which Start made.
func (s *Service) runPeriodically(ctx context.Context, activity string, interval time.Duration, err error, step func(context.Context) error) {
	failing := false
	for {
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			s.log.Info("store access changed", "what", activity, "working", !failed, "error", err)
		}
		delay := interval
		if err != nil {
			delay = min(interval, retryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		err = step(ctx)
	}
}

// renew renews the lease. It registers under a new lease if there is none or the
// old one has expired.
func (s *Service) renew(ctx context.Context) error {
	sent := time.Now()
	lease := s.Lease()
	if lease == "" {
		return s.register(ctx)
	}
	err := s.store.Renew(ctx, lease)
	if errors.Is(err, store.ErrNotFound) {
		s.log.Info("registration expired", "entry", s.self.ID)
		s.setLease("", time.Time{})
		return s.register(ctx)
	}
	if err != nil {
		return errors.Errorf("renew registration: %w", err)
	}
	s.setLease(lease, sent.Add(certainValidity))
	return nil
}

// register writes the registration under a new lease. If the outcome of an
// earlier attempt is unknown, it revokes that attempt's lease first: a delayed
// write under it would bind the record to a lease that nobody renews.
func (s *Service) register(ctx context.Context) error {
	if err := s.revokeUnconfirmed(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(s.self)
	if err != nil {
		return errors.Errorf("encode registration: %w", err)
	}
	// Rewriting the record raises its revision, so that no other entry deletes it
	// because of an earlier loss.
	if _, err := s.store.Put(ctx, lastingKey(s.self.ID), value, store.Always(), ""); err != nil {
		return errors.Errorf("write lasting record: %w", err)
	}
	sent := time.Now()
	lease, err := s.store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Errorf("register: %w", err)
	}
	key := Prefix + store.Key(s.self.ID)
	if _, err := s.store.Put(ctx, key, value, store.IfAbsent(), lease.ID); err != nil {
		s.mu.Lock()
		s.unconfirmedLease = lease.ID
		s.mu.Unlock()
		return errors.Errorf("register: %w", err)
	}
	s.setLease(lease.ID, sent.Add(certainValidity))
	return nil
}

// revokeUnconfirmed revokes the lease of a registration attempt with unknown
// outcome, if there is one.
func (s *Service) revokeUnconfirmed(ctx context.Context) error {
	s.mu.Lock()
	lease := s.unconfirmedLease
	s.mu.Unlock()
	if lease == "" {
		return nil
	}
	if err := s.store.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrNotFound) {
		return errors.Errorf("revoke lease of a failed registration: %w", err)
	}
	s.mu.Lock()
	s.unconfirmedLease = ""
	s.mu.Unlock()
	return nil
}

// setLease records the lease of the registration and the end of its certain
// validity.
func (s *Service) setLease(lease store.LeaseID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.lease != lease
	s.lease, s.validUntil = lease, until
	if changed {
		s.notifyChanged()
	}
}

// readView reads the view, updates the lost entries, and deletes the lasting
// records that this entry may delete.
func (s *Service) readView(ctx context.Context) error {
	sent := time.Now()
	snapshot, err := s.store.List(ctx, Prefix)
	if err != nil {
		return errors.Errorf("read view: %w", err)
	}
	view, registered, lost, err := parseRegistrations(snapshot)
	if err != nil {
		return err
	}
	if view.Revision < s.View().Revision {
		return nil // stale answer
	}
	lostEntries, deletable := s.tracker.Observe(time.Now(), s.self.ID, view, registered, lost)
	for _, l := range lostEntries {
		if l.KeptServing {
			view.KeptServing = append(view.KeptServing, l.ID)
		}
	}
	s.setView(view, lostEntries, sent)
	for _, l := range deletable {
		err := s.store.Delete(ctx, lastingKey(l.ID), store.IfRevision(l.StoreRevision))
		s.log.Info("lasting record of a lost entry deleted", "entry", l.ID, "error", err)
	}
	return nil
}

// setView replaces the view. Only the goroutine that reads views calls it.
func (s *Service) setView(view roster.View, lost []roster.LostEntry, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !view.SameEntries(s.view)
	s.view, s.lost, s.viewReadAt = view, lost, sent
	if changed {
		s.notifyChanged()
	}
}

// notifyChanged wakes the waiters of Changed. The caller holds the lock.
func (s *Service) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// parseRegistrations returns the view, the registration records of its entries,
// and the lasting records of its lost entries. The view and the lost records are
// sorted by id.
func parseRegistrations(snapshot store.Snapshot) (view roster.View, registered, lost []roster.Record, err error) {
	var entries []roster.Entry
	var lasting []roster.Record
	for _, r := range snapshot.Records {
		name := strings.TrimPrefix(string(r.Key), string(Prefix))
		if id, isLasting := strings.CutSuffix(name, lastingSuffix); isLasting {
			lasting = append(lasting, roster.Record{ID: unit.EntryID(id), StoreRevision: r.Revision})
			continue
		}
		var e roster.Entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return roster.View{}, nil, nil, errors.Errorf("decode %s: %w", r.Key, err)
		}
		e.ID = unit.EntryID(name)
		entries = append(entries, e)
		registered = append(registered, roster.Record{ID: e.ID, StoreRevision: r.Revision})
	}
	view = roster.NewView(entries, snapshot.Revision)
	lost = slices.DeleteFunc(lasting, func(l roster.Record) bool { return view.Contains(l.ID) })
	slices.SortFunc(lost, func(a, b roster.Record) int { return cmp.Compare(a.ID, b.ID) })
	for _, l := range lost {
		view.Lost = append(view.Lost, l.ID)
	}
	return view, registered, lost, nil
}

func lastingKey(id unit.EntryID) store.Key { return Prefix + store.Key(id) + lastingSuffix }
