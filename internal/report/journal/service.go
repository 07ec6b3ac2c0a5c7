package journal

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "journal"

// Service holds the Journal of this entry and is safe for concurrent use.
type Service struct {
	done chan struct{}

	mu      sync.Mutex
	journal *Journal
}

// NewService returns a service whose journal starts at now.
func NewService(now time.Time) *Service {
	return &Service{journal: New(now), done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(context.Context, *registry.Kernel) error { return nil }

// Stop implements registry.Service.
func (s *Service) Stop(context.Context) error {
	close(s.done)
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Record adds an event.
func (s *Service) Record(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.Record(e)
}

// Explain returns the recorded events about a subject, oldest first.
func (s *Service) Explain(subject Subject) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.journal.Explain(subject)
}

// Since returns the start of the period that the journal covers.
func (s *Service) Since() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.journal.Since()
}
