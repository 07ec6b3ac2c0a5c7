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

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "policy"

// stepInterval is the time between two steps of the cores. Signals come every 2 s.
const stepInterval = time.Second

// The parts of partners that the service uses.
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

// Service runs a core for each shard that the dispatcher of the entry owns, and
// carries signals of the gateway to the owners of the workers' shards.
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

	// Of the goroutine that steps the cores.
	listing unit.Revision
	known   map[unit.InstanceID]Worker
}

// New returns a service that is not yet started, for so many shards of each zone.
// The time has a monotonic reading.
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
	s.peers.Handle(message.KindSignals, s.handle)
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

// NewPlacer returns the placer of a shard that was just claimed.
func (s *Service) NewPlacer(id unit.ShardID) dispatch.Placer {
	p := &Shard{now: s.now, core: NewCore()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[id] = p
	return p
}

// ObserveReport takes a report of a worker.
func (s *Service) ObserveReport(id unit.InstanceID, r worker.Report) {
	for _, p := range s.all() {
		p.report(id, r)
	}
}

func (s *Service) all() map[unit.ShardID]*Shard {
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

// step runs the cores of the shards that are still owned.
func (s *Service) step(ctx context.Context) {
	if snapshot := s.fleet.Snapshot(); s.known == nil || snapshot.Revision != s.listing {
		s.listing, s.known = snapshot.Revision, map[unit.InstanceID]Worker{}
		for _, w := range snapshot.Workers() {
			s.known[w.ID] = Worker{Service: w.Service, Cores: w.Capacity.Cores, Slots: w.Slots}
		}
	}
	revision := s.config.Current()
	for id, p := range s.all() {
		if !p.keep(s.dispatch.Owner(id) == s.members.Self()) {
			s.forget(id, p)
			continue
		}
		actions, events := p.step(&revision, s.listing, s.known)
		for _, e := range events {
			s.journal.Record(e)
		}
		for _, a := range actions {
			s.dispatch.Evict(ctx, dispatch.Evict{Ref: a.Ref, Action: a.Kind, Share: a.Share, Why: a.Reason, ForClass: a.ForClass})
		}
	}
}

func (s *Service) forget(id unit.ShardID, p *Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards[id] == p {
		delete(s.shards, id)
	}
}

// Send carries signals to the owners of the workers' shards, one message to each.
// Signals that cannot be delivered are dropped: the next ones come soon.
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
		if len(batch) > message.MaxSignals { // the busiest tell most
			slices.SortFunc(batch, func(a, b message.Signal) int { return cmp.Compare(b.Requests, a.Requests) })
			batch = batch[:message.MaxSignals]
		}
		if owner == s.members.Self() {
			s.receive(batch)
			continue
		}
		calls.Go(func() { _, _ = s.peers.Call(ctx, owner, message.Signals{Signals: batch}) })
	}
	calls.Wait()
}

func (s *Service) handle(_ context.Context, _ unit.EntryID, m message.Message) (message.Message, error) {
	batch, ok := m.(message.Signals)
	if !ok {
		return nil, errors.Errorf("signals expected, got %s", m.Kind())
	}
	s.receive(batch.Signals)
	return message.Done{}, nil
}

func (s *Service) receive(batch []message.Signal) {
	for _, p := range s.all() {
		p.signals(batch)
	}
}

// Shard is a Core that is safe for concurrent use. It implements dispatch.Placer
// and dispatch.PlacementPolicy.
type Shard struct {
	now func() time.Time

	mu       sync.Mutex
	core     *Core
	owned    bool          // the records have said so
	revision unit.Revision // of the document
	listing  unit.Revision
	listed   bool
}

var (
	_ dispatch.Placer          = (*Shard)(nil)
	_ dispatch.PlacementPolicy = (*Shard)(nil)
)

// keep reports whether the shard is owned, or was so recently claimed that the
// records read last don't show it.
func (p *Shard) keep(owned bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = p.owned || owned
	return owned || !p.owned
}

func (p *Shard) step(r *spec.Revision, listing unit.Revision, fleet map[unit.InstanceID]Worker) ([]control.Action, []journal.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if r.Number != p.revision {
		p.revision = r.Number
		p.core.Configure(now, &r.Document)
	}
	if !p.listed || listing != p.listing {
		p.listed, p.listing = true, listing
		p.core.SetFleet(fleet)
	}
	return p.core.Step(now), p.core.TakeEvents()
}

func (p *Shard) report(id unit.InstanceID, r worker.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ObserveReport(p.now(), id, r)
}

func (p *Shard) signals(batch []message.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ObserveSignals(p.now(), batch)
}

// Place implements dispatch.Placer.
func (p *Shard) Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Place(class, size)
}

// Reserve implements dispatch.Placer.
func (p *Shard) Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Reserve(p.now(), id, ref, class, size)
}

// Release implements dispatch.Placer.
func (p *Shard) Release(id unit.InstanceID, ref worker.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Release(id, ref)
}

// Upsert implements dispatch.Placer.
func (p *Shard) Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Upsert(id, rack, capacity, open)
}

// Remove implements dispatch.Placer.
func (p *Shard) Remove(id unit.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Remove(id)
}

// Describe implements dispatch.PlacementPolicy.
func (p *Shard) Describe(j *queue.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Describe(p.now(), j)
}

// Admit implements dispatch.PlacementPolicy.
func (p *Shard) Admit(j *queue.Job) (why string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Admit(p.now(), j)
}

// Size implements dispatch.PlacementPolicy.
func (p *Shard) Size(j *queue.Job) unit.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Size(j)
}

// Refusal implements dispatch.PlacementPolicy.
func (p *Shard) Refusal(j *queue.Job) (why string, nearest unit.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Refusal(j)
}
