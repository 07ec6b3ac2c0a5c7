package burn

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "burn"

// config provides the classes and their targets.
type config interface {
	Current() spec.Revision
}

// Service holds the Budgets of this entry and is safe for concurrent use.
type Service struct {
	config config
	done   chan struct{}

	mu      sync.Mutex
	budgets *Budgets
}

// NewService returns a service without samples.
func NewService() *Service {
	return &Service{budgets: NewBudgets(), done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(_ context.Context, k *registry.Kernel) error {
	var err error
	if s.config, err = registry.Find[config](k, "config"); err != nil {
		return errors.Errorf("find configuration: %w", err)
	}
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(context.Context) error {
	close(s.done)
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Observe adds a sample.
func (s *Service) Observe(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets.Observe(sample)
}

// Report returns the report at now over this entry and the tallies of other entries.
func (s *Service) Report(now time.Time, others ...[]Tally) Report {
	doc := s.config.Current().Document
	all := NewBudgets()
	all.Add(s.Tallies(now))
	for _, tallies := range others {
		all.Add(tallies)
	}
	return all.Report(now, &doc)
}

// Tallies returns the tallies of this entry, one per class.
func (s *Service) Tallies(now time.Time) []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgets.Tallies(now)
}
