package store

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// ServiceName is the name under which a kernel holds the store client.
const ServiceName registry.Name = "store"

// Service is a Client that a kernel starts and stops.
type Service struct {
	*Client
	done chan struct{}
}

// NewService returns a service for the store at address, which is an IP and a port.
func NewService(address string) *Service {
	return &Service{Client: NewClient(address), done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(context.Context, *registry.Kernel) error { return nil }

// Stop implements registry.Service.
func (s *Service) Stop(context.Context) error {
	s.Close()
	close(s.done)
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }
