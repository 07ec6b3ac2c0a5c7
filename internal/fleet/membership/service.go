// Package membership registers this entry under a store lease and reads the view
// of all registered entries.
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

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "membership"

// Prefix is the prefix of the keys of registrations; the id of the entry follows.
const Prefix store.Key = "entry/"

// openSuffix ends the key of the lasting record of an entry. It is written before
// each registration and deleted after a graceful stop, so that others can tell an
// entry that was lost, and may still act, from one that has stopped.
const openSuffix = "/open"

// Times of the registration. The lease is certainly valid for leaseCertain from
// the send time of a successful renewal; the remaining second of the TTL covers
// clock drift of the store. A failed call is repeated after retryInterval: at
// renewInterval the third attempt would come when the lease has just ended.
const (
	leaseTTL      = 6 * time.Second
	leaseCertain  = 5 * time.Second
	renewInterval = 2 * time.Second
	readInterval  = time.Second
	retryInterval = 500 * time.Millisecond
)

// storeClient is the part of the store that the service uses.
type storeClient interface {
	List(ctx context.Context, prefix store.Key) (store.Snapshot, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	Renew(ctx context.Context, id store.LeaseID) error
	Revoke(ctx context.Context, id store.LeaseID) error
}

// Service keeps the registration and the view.
type Service struct {
	log    logr.Logger
	self   roster.Entry
	store  storeClient
	cancel context.CancelFunc
	done   chan struct{}

	losses roster.LossTracker // of the goroutine that reads the view

	mu         sync.Mutex
	view       roster.View
	lost       []roster.LostEntry // of the view; not changed
	viewed     time.Time          // send time of the read that returned the view
	lease      store.LeaseID      // empty while not registered
	abandoned  store.LeaseID      // of a registration whose outcome is unknown
	validUntil time.Time
	changed    chan struct{}
}

// New returns a service that will register self. Its id must be new for each
// process, since a registration stands for the state that the process holds.
func New(log logr.Logger, self roster.Entry) *Service {
	return &Service{log: log, self: self, done: make(chan struct{}), changed: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service. A store outage does not fail it: the entry
// registers once the store is back.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.store, err = registry.Find[storeClient](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	registration := s.renew(ctx)
	reading := s.read(ctx)
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { s.run(ctx, "registration", renewInterval, registration, s.renew) })
	wg.Go(func() { s.run(ctx, "view", readInterval, reading, s.read) })
	go func() {
		defer close(s.done)
		wg.Wait()
	}()
	return nil
}

// Stop implements registry.Service. It ends the registration, so that the others
// need not wait for the lease to expire.
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
		if err := certain(func() error { return s.store.Revoke(ctx, lease) }); err != nil {
			return errors.Errorf("end registration: %w", err)
		}
	}
	if err := s.revokeAbandoned(ctx); err != nil {
		return err
	}
	if err := certain(func() error { return s.store.Delete(ctx, openKey(s.self.ID), store.Always()) }); err != nil {
		return errors.Errorf("delete lasting record: %w", err)
	}
	return nil
}

// endTries is how often a removal is tried whose outcome is unknown.
const endTries = 3

// certain makes a removal again while its outcome is unknown. What is not there is
// removed already.
func certain(remove func() error) error {
	var err error
	for range endTries {
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

// View returns the view of the last read that was answered.
func (s *Service) View() roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Viewed returns the view and the send time of the read that returned it.
func (s *Service) Viewed() (roster.View, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.viewed
}

// Lost returns what is known of the lost entries of the view, sorted by id. The
// result is shared and must not be changed.
func (s *Service) Lost() []roster.LostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Lease returns the lease of the registration, empty while there is none.
func (s *Service) Lease() store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// ValidUntil returns the time up to which the registration certainly exists.
func (s *Service) ValidUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validUntil
}

// Changed returns a channel that is closed when the view's entries, its lost
// entries or the lease change next. The revision of the view changes with every read and does not count.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// run calls step at each interval until the context ends, and logs when it
// begins or ceases to fail. The first call was made at the start.
func (s *Service) run(ctx context.Context, what string, interval time.Duration, err error, step func(context.Context) error) {
	failing := false
	for {
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			s.log.Info("store access changed", "what", what, "working", !failed, "error", err)
		}
		pause := interval
		if err != nil {
			pause = min(interval, retryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		err = step(ctx)
	}
}

// renew renews the lease. It registers under a new lease if there is none or
// the old one has ended.
func (s *Service) renew(ctx context.Context) error {
	sent := time.Now()
	lease := s.Lease()
	if lease == "" {
		return s.register(ctx)
	}
	err := s.store.Renew(ctx, lease)
	if errors.Is(err, store.ErrNotFound) {
		s.log.Info("registration expired", "entry", s.self.ID)
		s.hold("", time.Time{})
		return s.register(ctx)
	}
	if err != nil {
		return errors.Errorf("renew registration: %w", err)
	}
	s.hold(lease, sent.Add(leaseCertain))
	return nil
}

// register writes the registration under a new lease. If the outcome of an
// earlier attempt is unknown, its lease is revoked first: a write under it that
// is still on its way would bind the record to a lease that nobody renews.
func (s *Service) register(ctx context.Context) error {
	if err := s.revokeAbandoned(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(s.self)
	if err != nil {
		return errors.Errorf("encode registration: %w", err)
	}
	// Written each time, so that its revision rises and nobody deletes it because
	// of an earlier loss.
	if _, err := s.store.Put(ctx, openKey(s.self.ID), value, store.Always(), ""); err != nil {
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
		s.abandoned = lease.ID
		s.mu.Unlock()
		return errors.Errorf("register: %w", err)
	}
	s.hold(lease.ID, sent.Add(leaseCertain))
	return nil
}

func (s *Service) revokeAbandoned(ctx context.Context) error {
	s.mu.Lock()
	lease := s.abandoned
	s.mu.Unlock()
	if lease == "" {
		return nil
	}
	if err := s.store.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrNotFound) {
		return errors.Errorf("revoke lease of a failed registration: %w", err)
	}
	s.mu.Lock()
	s.abandoned = ""
	s.mu.Unlock()
	return nil
}

func (s *Service) hold(lease store.LeaseID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved := s.lease != lease
	s.lease, s.validUntil = lease, until
	if moved {
		s.wake()
	}
}

func (s *Service) read(ctx context.Context) error {
	sent := time.Now()
	snapshot, err := s.store.List(ctx, Prefix)
	if err != nil {
		return errors.Errorf("read view: %w", err)
	}
	view, registered, lost, err := parse(snapshot)
	if err != nil {
		return err
	}
	if view.Revision < s.View().Revision {
		return nil // an old answer
	}
	known, due := s.losses.Observe(time.Now(), s.self.ID, view, registered, lost)
	for _, l := range known {
		if l.KeptServing {
			view.KeptServing = append(view.KeptServing, l.ID)
		}
	}
	s.adopt(view, known, sent)
	for _, l := range due {
		err := s.store.Delete(ctx, openKey(l.ID), store.IfRevision(l.StoreRevision))
		s.log.Info("lasting record of a lost entry deleted", "entry", l.ID, "error", err)
	}
	return nil
}

// adopt takes a view over. Only the goroutine that reads views calls it.
func (s *Service) adopt(view roster.View, lost []roster.LostEntry, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved := !view.SameEntries(s.view)
	s.view, s.lost, s.viewed = view, lost, sent
	if moved {
		s.wake()
	}
}

// wake tells the waiters of a change. The lock is held.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// parse returns the view, the records of its registrations, and the lasting
// records of its lost entries, all sorted by id.
func parse(snapshot store.Snapshot) (view roster.View, registered, lost []roster.Record, err error) {
	var entries []roster.Entry
	var open []roster.Record
	for _, r := range snapshot.Records {
		name := strings.TrimPrefix(string(r.Key), string(Prefix))
		if id, lasting := strings.CutSuffix(name, openSuffix); lasting {
			open = append(open, roster.Record{ID: unit.EntryID(id), StoreRevision: r.Revision})
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
	lost = slices.DeleteFunc(open, func(l roster.Record) bool { return view.Contains(l.ID) })
	slices.SortFunc(lost, func(a, b roster.Record) int { return cmp.Compare(a.ID, b.ID) })
	for _, l := range lost {
		view.Lost = append(view.Lost, l.ID)
	}
	return view, registered, lost, nil
}

func openKey(id unit.EntryID) store.Key { return Prefix + store.Key(id) + openSuffix }
