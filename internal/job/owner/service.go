// Package owner runs the scheduler core while this entry owns the shard: it keeps
// contact with the workers, carries out the orders of the core and makes progress
// durable.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "owner"

// ErrNotOwner says that this entry does not own the shard at present.
var ErrNotOwner = errors.New("this entry does not own the shard")

// shardOwnership tells whether this entry owns the shard.
type shardOwnership interface {
	Term() (ownership.Term, bool, <-chan struct{})
	MayOrder(now time.Time) bool
	MayRenewLeases(now time.Time) bool
	Resign(ctx context.Context)
}

// zoneDirectory tells which zoneDirectory are out of service.
type zoneDirectory interface {
	Evacuated() (map[unit.ZoneID]bool, <-chan struct{})
}

// Fleet reads the instance list and reaches workers.
type Fleet interface {
	Prefix() kv.Key
	Worker(kv.Key) unit.InstanceID
	Listing(kv.Item) (scheduler.Listing, error)
	Connect(id unit.InstanceID, address string) Worker
}

// Worker carries orders to one worker.
type Worker interface {
	Hold(ctx context.Context, fence unit.Epoch, until unit.WorkerTime, acked scheduler.EndNumber, wait time.Duration) (scheduler.Report, unit.WorkerTime, error)
	Do(ctx context.Context, o scheduler.Order, fence unit.Epoch, until unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime)
	Close()
}

// Options are the settings of the service.
type Options struct {
	Limits              scheduler.Limits
	FinalStateRetention time.Duration // how long a final state must be shown
}

// Service implements the shard owner.
type Service struct {
	*registry.Tasks
	log       logr.Logger
	options   Options
	fleet     Fleet
	adviser   Adviser // nil: no queue has placement advice
	ownership shardOwnership
	zones     zoneDirectory
	store     kv.Client

	mu    sync.Mutex
	shard *shard // nil while this entry does not own the shard
}

// New returns the service. The adviser may be nil.
func New(log logr.Logger, fleet Fleet, adviser Adviser, o Options) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log, options: o, fleet: fleet, adviser: adviser}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.ownership, err = registry.Find[shardOwnership](k, ownership.ServiceName); err != nil {
		return errors.Errorf("find ownership: %w", err)
	}
	if s.zones, err = registry.Find[zoneDirectory](k, "directory"); err != nil {
		return errors.Errorf("find directory: %w", err)
	}
	if s.store, err = kv.Find(k); err != nil {
		return err
	}
	s.Begin(ctx, s.runTerms)
	return nil
}

// HandOver makes progress durable and gives up the shard for good, so that
// another entry can claim it at once.
func (s *Service) HandOver(ctx context.Context) {
	if sh := s.currentShard(); sh != nil {
		sh.handOver(ctx)
	}
	s.ownership.Resign(ctx)
}

// runTerms runs a shard for each term of this entry.
func (s *Service) runTerms(ctx context.Context) { ownership.EachTerm(ctx, s.ownership, s.startTerm) }

// startTerm starts the shard of a term, and returns what ends it.
func (s *Service) startTerm(ctx context.Context, t ownership.Term) (end func()) {
	sh := newShard(ctx, s, t)
	go func() {
		defer close(sh.done)
		sh.run()
	}()
	return func() {
		s.setShard(nil)
		sh.cancel()
		<-sh.done
		metric.Terms.Add("given up", 1)
		s.log.Info("shard given up", "epoch", sh.term.Epoch)
	}
}

// setShard makes a shard that has taken over answer for jobs.
func (s *Service) setShard(sh *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard = sh
}

func (s *Service) currentShard() *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shard
}

// Accept takes jobs that are durable in the store.
func (s *Service) Accept(_ context.Context, jobs []SubmittedJob) error {
	sh := s.currentShard()
	if sh == nil {
		return ErrNotOwner
	}
	sh.accept(jobs)
	return nil
}

// SubmittedJob is a job with the revision of its record.
type SubmittedJob struct {
	Record   record.Job    `cbor:"1,keyasint"`
	Revision unit.Revision `cbor:"2,keyasint"`
	Created  unit.Revision `cbor:"3,keyasint"`
}

// State returns the state of a job, if the owner knows it.
func (s *Service) State(_ context.Context, id unit.JobID) (graph.State, bool, error) {
	sh := s.currentShard()
	if sh == nil {
		return 0, false, ErrNotOwner
	}
	state, ok := sh.state(id)
	return state, ok, nil
}

// Pending returns the number of jobs of a queue without a started task.
func (s *Service) Pending(_ context.Context, q graph.QueueID) (int, error) {
	sh := s.currentShard()
	if sh == nil {
		return 0, ErrNotOwner
	}
	return sh.pending(q), nil
}
