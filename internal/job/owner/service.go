// Package owner runs the scheduler core while this entry owns the shard: it renews
// the leases of the workers, sends them the orders of the core and writes progress
// and final states to the store.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/follower"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "owner"

// ErrNotOwner is returned for calls that need the shard owner while this entry
// does not own the shard.
var ErrNotOwner = errors.New("this entry does not own the shard")

// shardOwnership reports whether this entry owns the shard and whether its view of
// that is recent enough to start tasks or renew leases.
type shardOwnership interface {
	Term() (ownership.Term, bool, <-chan struct{})
	MayOrder(now time.Time) bool
	MayRenewLeases(now time.Time) bool
	Resign(ctx context.Context)
	Abandon(ctx context.Context)
	// StartRelays returns the other entries that send starts for the owner, those with
	// most capacity first.
	StartRelays() []unit.EntryID
}

// zoneDirectory reports which zones are out of service, and when the last read of them
// was sent.
type zoneDirectory interface {
	Evacuated() (zones map[unit.ZoneID]bool, confirmedAt time.Time)
}

// outageDetector reports whether the store answers no entry.
type outageDetector interface{ Outage() bool }

// Fleet decodes the instance list and connects to workers.
type Fleet interface {
	// Prefix returns the key prefix of the instance list.
	Prefix() kv.Key
	// Worker returns the id of the worker whose item has the key.
	Worker(kv.Key) unit.InstanceID
	// Listing decodes an item of the instance list.
	Listing(kv.Item) (scheduler.Listing, error)
	// Connect returns a client of the worker at the address.
	Connect(id unit.InstanceID, address string) Worker
}

// Worker sends requests to one worker.
type Worker interface {
	// Heartbeat sends a heartbeat and returns the worker's report and a reading of its
	// clock. With nothing new to report the worker answers after wait. It gets the part
	// of the renewal for the incarnation that has answered on the same connection before
	// (see Renewal.For), and none on a new connection: its address and id do not tell one
	// incarnation from the next, but a connection ends with its process.
	Heartbeat(ctx context.Context, fence unit.Epoch, r scheduler.Renewal, wait time.Duration) (scheduler.Report, unit.WorkerTime, error)
	// Do sends an order and returns its outcome and a reading of the worker's clock,
	// or 0 without one. A start is refused once the worker's clock has passed until,
	// and extends the lease of the worker to it.
	Do(ctx context.Context, o scheduler.Order, fence unit.Epoch, until unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime)
	Close()
}

// StartBytesPerSecond returns the bytes of start orders that an owner with a link of the
// given capacity may send in a second, or 0 for no bound if the capacity is not known.
func StartBytesPerSecond(link unit.BitRate) unit.Bytes {
	return shareOf(link, startShare)
}

// Shares of the memory of an entry that the jobs may take while it owns the shard: their open
// occurrences, some 100,000 tasks on the smallest instances, and what callers have submitted,
// some 3,000 jobs there.
const (
	openMemoryShare = 0.1
	jobMemoryShare  = 0.1
)

// OpenMemory returns the memory that open occurrences may take on an entry with a memory
// limit, or 0 for no bound if there is none.
func OpenMemory(limit unit.Bytes) unit.Bytes {
	return unit.Bytes(openMemoryShare * float64(limit))
}

// JobMemory is like OpenMemory for what callers have submitted.
func JobMemory(limit unit.Bytes) unit.Bytes {
	return unit.Bytes(jobMemoryShare * float64(limit))
}

// Options configures a Service.
type Options struct {
	Limits scheduler.Limits
	Link   unit.BitRate // capacity of this entry's link, or 0 if it is not known
	// Processor is what this entry may use of a processor, or 0 if that is not known.
	Processor unit.Millicores
	// FinalStateRetention is the least time for which the final state of a job
	// can be read.
	FinalStateRetention time.Duration
	Delays              Delays
}

// Service runs the shard owner of this entry.
type Service struct {
	*registry.Tasks
	log       logr.Logger
	options   Options
	fleet     Fleet
	adviser   Adviser // nil if no queue has placement advice
	ownership shardOwnership
	zones     zoneDirectory
	documents documentDirectory // nil: no job has an organisation
	outage    outageDetector
	store     kv.Client
	relay     startRelay
	follower  listFollower // nil if the instance list is always read directly

	heartbeatRelay heartbeatRelay

	mu     sync.Mutex
	ofTerm *shard // nil while this entry does not own the shard
	shard  *shard // nil until a takeover is complete and after the term ends
}

// New returns a service that is not started. The adviser may be nil.
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
	if s.documents, err = registry.Find[documentDirectory](k, "directory"); err != nil {
		return errors.Errorf("find directory: %w", err)
	}
	if s.outage, err = registry.Find[outageDetector](k, kv.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if s.store, err = kv.Find(k); err != nil {
		return err
	}
	if s.relay, err = registry.Find[startRelay](k, relayServiceName); err != nil {
		return errors.Errorf("find relay of starts: %w", err)
	}
	if s.heartbeatRelay, err = registry.Find[heartbeatRelay](k, relayServiceName); err != nil {
		return errors.Errorf("find relay of heartbeats: %w", err)
	}
	if s.follower, err = registry.Find[listFollower](k, follower.ServiceName); err != nil {
		return errors.Errorf("find follower of the instance list: %w", err)
	}
	s.Begin(ctx, s.runTerms)
	return nil
}

// runTerms runs a shard during each term in which this entry owns it.
func (s *Service) runTerms(ctx context.Context) { ownership.EachTerm(ctx, s.ownership, s.startTerm) }

// startTerm runs the shard of a term in a goroutine and returns the function that
// stops it.
func (s *Service) startTerm(ctx context.Context, t ownership.Term) (end func()) {
	sh := newShard(ctx, s, t)
	s.setOfTerm(sh)
	go func() {
		defer close(sh.done)
		sh.run()
	}()
	return func() {
		s.setOfTerm(nil)
		s.setShard(nil)
		sh.cancel()
		<-sh.done
		metric.OwnershipChanges.Add("given up", 1)
		s.log.Info("shard given up", "epoch", sh.term.Epoch)
	}
}

// setOfTerm sets the shard of the present term, or nil for none.
func (s *Service) setOfTerm(sh *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ofTerm = sh
}

// setShard sets the shard that answers calls about jobs, or nil for none.
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

// Accept adds jobs whose records are already in the store.
func (s *Service) Accept(_ context.Context, jobs []SubmittedJob) error {
	sh := s.currentShard()
	if sh == nil {
		return ErrNotOwner
	}
	sh.accept(jobs)
	return nil
}

// SubmittedJob is a job record with the store revisions of its last write and its
// creation.
type SubmittedJob struct {
	Record   record.Job    `cbor:"1,keyasint"`
	Revision unit.Revision `cbor:"2,keyasint"`
	Created  unit.Revision `cbor:"3,keyasint"`
}

// JobStatus is what the owner of the shard knows of a job.
type JobStatus struct {
	State        graph.State         `cbor:"1,keyasint"`
	Known        bool                `cbor:"2,keyasint"` // false: the owner does not know the job
	Organisation unit.OrganisationID `cbor:"3,keyasint,omitempty"`
	Queue        graph.QueueID       `cbor:"4,keyasint,omitempty"` // set only with an organisation
}

// State returns what the owner knows of a job.
func (s *Service) State(_ context.Context, id unit.JobID) (JobStatus, error) {
	sh := s.currentShard()
	if sh == nil {
		return JobStatus{}, ErrNotOwner
	}
	return sh.state(id), nil
}

// Pending returns the number of jobs of a queue of which no task has started. It fails
// while jobs may be missing, as their records have not been read lately.
func (s *Service) Pending(_ context.Context, q graph.QueueID) (int, error) {
	sh := s.currentShard()
	if sh == nil {
		return 0, ErrNotOwner
	}
	return sh.pending(q)
}
