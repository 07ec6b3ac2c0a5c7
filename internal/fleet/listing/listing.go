// Package listing polls the platform's instance list and publishes the inventory.
package listing

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "fleet"

// readInterval is the time between two reads of the list. It is short compared with
// the 5 s after which a draining upstream must get no new work.
const readInterval = time.Second

// lister reads the platform's instance list.
type lister interface {
	InstanceChanges(ctx context.Context, after unit.Revision) (store.Listing, error)
}

// Service polls the instance list and holds the last snapshot.
type Service struct {
	*registry.Tasks
	log    logr.Logger
	lister lister

	mu      sync.Mutex
	current inventory.Snapshot
	changed chan struct{} // closed at the next change of current
}

// New returns a service that is not yet started.
func New(log logr.Logger) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log, changed: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service. It fails if the first read fails.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.lister, err = registry.Find[lister](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if err := s.read(ctx); err != nil {
		return err
	}
	s.Begin(ctx, s.poll)
	return nil
}

// Snapshot returns the inventory as of the last successful read.
func (s *Service) Snapshot() inventory.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed returns a channel that is closed at the next change of the snapshot.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// poll reads the list at each interval until the context ends, and logs each change
// between success and failure.
func (s *Service) poll(ctx context.Context) {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		err := s.read(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			s.log.Info("instance list state changed", "readable", !failed, "error", err)
		}
	}
}

// read applies the changes of the list since the current snapshot.
func (s *Service) read(ctx context.Context) error {
	l, err := s.lister.InstanceChanges(ctx, s.Snapshot().Revision)
	if err != nil {
		return errors.Errorf("refresh inventory: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision == s.current.Revision {
		return nil
	}
	next, ok := s.current.Apply(l)
	if !ok {
		return errors.Errorf("refresh inventory: difference from revision %d, want %d", l.After, s.current.Revision)
	}
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}
