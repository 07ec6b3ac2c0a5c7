package site

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// Heap growth between two collections of garbage, in percent. The owner of the shard
// allocates with each report and each order, and collecting as often as other entries
// would take a fifth of its processor time. The memory limit bounds the heap of either.
const (
	entryHeapGrowth = 60
	ownerHeapGrowth = 200
)

// collectorServiceName is the name of the service in a kernel.
const collectorServiceName registry.Name = "collector"

// ownershipTerms reports whether this entry owns the shard.
type ownershipTerms interface {
	Term() (ownership.Term, bool, <-chan struct{})
}

// collectorService sets how far the heap grows between two collections, by whether this
// entry owns the shard.
type collectorService struct {
	*registry.Tasks
	terms         ownershipTerms
	setHeapGrowth func(percent int) int // debug.SetGCPercent
}

func newCollectorService(setHeapGrowth func(percent int) int) *collectorService {
	return &collectorService{Tasks: registry.NewTasks(), setHeapGrowth: setHeapGrowth}
}

// Name implements registry.Service.
func (s *collectorService) Name() registry.Name { return collectorServiceName }

// Start implements registry.Service.
func (s *collectorService) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.terms, err = registry.Find[ownershipTerms](k, ownership.ServiceName); err != nil {
		return errors.Errorf("find ownership: %w", err)
	}
	s.setHeapGrowth(entryHeapGrowth)
	s.Begin(ctx, func(ctx context.Context) { ownership.EachTerm(ctx, s.terms, s.startTerm) })
	return nil
}

// startTerm sets the heap growth of the owner. The returned function sets that of other
// entries again.
func (s *collectorService) startTerm(context.Context, ownership.Term) (end func()) {
	s.setHeapGrowth(ownerHeapGrowth)
	return func() { s.setHeapGrowth(entryHeapGrowth) }
}
