package policy

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/dispatch"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "policy"

// stepInterval is the time between two steps of a core. Signals arrive every 2 s.
const stepInterval = time.Second

// These are the methods of other services that the service uses.
type (
	members       interface{ Self() unit.EntryID }
	configuration interface{ Current() spec.Revision }
	workers       interface{ Snapshot() inventory.Snapshot }
	recorder      interface{ Record(journal.Event) }
	peers         interface {
		Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error)
		Handle(k message.Kind, handler message.Handler)
	}
	dispatcher interface {
		Evict(ctx context.Context, e dispatch.Evict)
		Owner(id unit.ShardID) unit.EntryID
	}
)

// Service runs a core for each shard that the dispatcher of the entry owns. It also
// sends the signals of the gateway to the owners of the workers' shards.
type Service struct {
	buckets uint16
	now     func() time.Time

	members  members
	config   configuration
	fleet    workers
	journal  recorder
	peers    peers
	dispatch dispatcher
	cancel   context.CancelFunc
	done     chan struct{}

	mu     sync.Mutex
	shards map[unit.ShardID]*Shard

	// Only the goroutine that steps the cores uses the fields below.
	fleetRevision unit.Revision
	fleetWorkers  map[unit.InstanceID]Worker
}

// New returns a service that is not started. Each zone has this many shards, and now
// must return times with a monotonic clock reading.
func New(buckets uint16, now func() time.Time) *Service {
	return &Service{
		buckets: max(buckets, 1), now: now, done: make(chan struct{}), shards: map[unit.ShardID]*Shard{},
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var faults [6]error
	s.members, faults[0] = registry.Find[members](k, "membership")
	s.config, faults[1] = registry.Find[configuration](k, "config")
	s.fleet, faults[2] = registry.Find[workers](k, "fleet")
	s.journal, faults[3] = registry.Find[recorder](k, journal.ServiceName)
	s.peers, faults[4] = registry.Find[peers](k, "peers")
	s.dispatch, faults[5] = registry.Find[dispatcher](k, dispatch.ServiceName)
	if err := errors.Join(faults[:]...); err != nil {
		return errors.Errorf("find partners: %w", err)
	}
	s.peers.Handle(message.KindSignals, s.handleSignals)
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go s.run(ctx)
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// NewPlacer returns a new placer for a shard that the entry has just claimed.
func (s *Service) NewPlacer(id unit.ShardID) dispatch.Placer {
	sh := &Shard{now: s.now, core: NewCore()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[id] = sh
	return sh
}

// ObserveReport passes a report of a worker to the cores.
func (s *Service) ObserveReport(id unit.InstanceID, r worker.Report) {
	for _, sh := range s.currentShards() {
		sh.observeReport(id, r)
	}
}

func (s *Service) currentShards() map[unit.ShardID]*Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.shards)
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.step(ctx)
	}
}

// step runs one step of the core of each shard that is still owned, and removes the
// other shards.
func (s *Service) step(ctx context.Context) {
	if snapshot := s.fleet.Snapshot(); s.fleetWorkers == nil || snapshot.Revision != s.fleetRevision {
		s.fleetRevision, s.fleetWorkers = snapshot.Revision, map[unit.InstanceID]Worker{}
		for _, w := range snapshot.Workers() {
			s.fleetWorkers[w.ID] = Worker{Service: w.Service, Cores: w.Capacity.Cores, Slots: w.Slots}
		}
	}
	revision := s.config.Current()
	for id, sh := range s.currentShards() {
		if !sh.stillOwned(s.dispatch.Owner(id) == s.members.Self()) {
			s.removeShard(id, sh)
			continue
		}
		actions, events := sh.step(&revision, s.fleetRevision, s.fleetWorkers)
		for _, e := range events {
			s.journal.Record(e)
		}
		for _, a := range actions {
			s.dispatch.Evict(ctx, dispatch.Evict{Ref: a.Ref, Action: a.Kind, Share: a.Share, Why: a.Reason, ForClass: a.ForClass})
		}
	}
}

func (s *Service) removeShard(id unit.ShardID, sh *Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards[id] == sh {
		delete(s.shards, id)
	}
}

// Send sends signals to the owners of the workers' shards, one message to each owner.
// Signals that cannot be delivered are dropped, since the next ones follow within
// seconds.
func (s *Service) Send(ctx context.Context, signals []message.Signal) {
	owners := map[unit.InstanceID]unit.EntryID{}
	for _, w := range s.fleet.Snapshot().Workers() {
		owners[w.ID] = s.dispatch.Owner(shard.ForRack(w.Zone, w.Rack, s.buckets))
	}
	batches := map[unit.EntryID][]message.Signal{}
	for _, g := range signals {
		if owner := owners[g.Worker]; owner != "" {
			batches[owner] = append(batches[owner], g)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for owner, batch := range batches {
		if len(batch) > message.MaxSignals { // keep those with the most requests
			slices.SortFunc(batch, func(a, b message.Signal) int { return cmp.Compare(b.Requests, a.Requests) })
			batch = batch[:message.MaxSignals]
		}
		if owner == s.members.Self() {
			s.observeSignals(batch)
			continue
		}
		calls.Go(func() { _, _ = s.peers.Call(ctx, owner, message.Signals{Signals: batch}) })
	}
	calls.Wait()
}

func (s *Service) handleSignals(_ context.Context, _ unit.EntryID, m message.Message) (message.Message, error) {
	batch, ok := m.(message.Signals)
	if !ok {
		return nil, errors.Errorf("signals expected, got %s", m.Kind())
	}
	s.observeSignals(batch.Signals)
	return message.Done{}, nil
}

func (s *Service) observeSignals(batch []message.Signal) {
	for _, sh := range s.currentShards() {
		sh.observeSignals(batch)
	}
}

// Shard is a Core that is safe for concurrent use. It implements dispatch.Placer
// and dispatch.PlacementPolicy.
type Shard struct {
	now func() time.Time

	mu   sync.Mutex
	core *Core
	// ownershipSeen is set once the ownership records have shown the entry as owner.
	ownershipSeen bool
	// revision is that of the target document in effect.
	revision unit.Revision
	// fleetRevision is the revision of the instance list, if fleetSet is set.
	fleetRevision unit.Revision
	fleetSet      bool
}

var (
	_ dispatch.Placer          = (*Shard)(nil)
	_ dispatch.PlacementPolicy = (*Shard)(nil)
)

// stillOwned reports whether the entry owns the shard, or claimed it so recently that
// the ownership records read last do not show it yet.
func (sh *Shard) stillOwned(owned bool) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ownershipSeen = sh.ownershipSeen || owned
	return owned || !sh.ownershipSeen
}

func (sh *Shard) step(r *spec.Revision, fleetRevision unit.Revision, fleet map[unit.InstanceID]Worker) ([]control.Action, []journal.Event) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := sh.now()
	if r.Number != sh.revision {
		sh.revision = r.Number
		sh.core.Configure(now, &r.Document)
	}
	if !sh.fleetSet || fleetRevision != sh.fleetRevision {
		sh.fleetSet, sh.fleetRevision = true, fleetRevision
		sh.core.SetFleet(fleet)
	}
	return sh.core.Step(now), sh.core.TakeEvents()
}

func (sh *Shard) observeReport(id unit.InstanceID, r worker.Report) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.ObserveReport(sh.now(), id, r)
}

func (sh *Shard) observeSignals(batch []message.Signal) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.ObserveSignals(sh.now(), batch)
}

// Place implements dispatch.Placer.
func (sh *Shard) Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.Place(class, size)
}

// Reserve implements dispatch.Placer.
func (sh *Shard) Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.Reserve(sh.now(), id, ref, class, size)
}

// Release implements dispatch.Placer.
func (sh *Shard) Release(id unit.InstanceID, ref worker.Ref) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Release(id, ref)
}

// Upsert implements dispatch.Placer.
func (sh *Shard) Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Upsert(id, rack, capacity, open)
}

// Remove implements dispatch.Placer.
func (sh *Shard) Remove(id unit.InstanceID) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Remove(id)
}

// Describe implements dispatch.PlacementPolicy.
func (sh *Shard) Describe(j *queue.Job) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Describe(sh.now(), j)
}

// Admit implements dispatch.PlacementPolicy.
func (sh *Shard) Admit(j *queue.Job) (why string, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.Admit(sh.now(), j)
}

// Size implements dispatch.PlacementPolicy.
func (sh *Shard) Size(j *queue.Job) unit.Resources {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.Size(j)
}

// Refusal implements dispatch.PlacementPolicy.
func (sh *Shard) Refusal(j *queue.Job) (why string, nearest unit.InstanceID) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.Refusal(j)
}
