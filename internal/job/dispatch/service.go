package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "dispatch"

// Names under which the service finds its partners.
const (
	membershipName registry.Name = "membership"
	configName     registry.Name = "config"
	fleetName      registry.Name = "fleet"
)

// ownershipInterval is the time between two looks at the shard records. A shard
// without an owner starts nothing, so it adds directly to the time of a takeover.
const ownershipInterval = time.Second

// records is the part of the store that the service uses.
type records interface {
	Get(ctx context.Context, key store.Key) (store.Record, error)
	List(ctx context.Context, prefix store.Key) (store.Snapshot, error)
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
	Watch(ctx context.Context, prefix store.Key, after unit.Revision, wait time.Duration) (store.Changes, error)
}

// members is the part of the membership that the service uses.
type members interface {
	Self() unit.EntryID
	View() roster.View
	Lease() store.LeaseID
	ValidUntil() time.Time
	Changed() <-chan struct{}
}

// configuration is the part of the configuration that the service uses.
type configuration interface {
	Current() spec.Revision
	StartUntil() time.Time
	NotAfter() time.Time
}

// workers is the part of the inventory that the service uses.
type workers interface {
	Snapshot() inventory.Snapshot
}

// recorder takes events for explain.
type recorder interface {
	Record(journal.Event)
}

// Client calls one worker. Its errors are those of package worker.
type Client interface {
	Orders(ctx context.Context, b worker.OrderBatch) (worker.OrderReply, error)
	Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.Report, error)
	Close()
}

// Options are what a Service is created with.
type Options struct {
	Buckets   uint16                          // shards of each zone
	Regions   map[unit.ZoneID]shard.Region    // zones that are missing are in one region
	Connect   func(address string) Client     // to the control address of a worker
	NewPlacer func(shard unit.ShardID) Placer // for a shard that was taken over
	Now       func() time.Time                // with a monotonic reading
	// OnReport, if not nil, gets each report of a worker, from the goroutine of
	// that worker.
	OnReport func(unit.InstanceID, worker.Report)
}

// Service owns shards and runs a Core for each.
type Service struct {
	log     logr.Logger
	options Options
	records records
	members members
	config  configuration
	fleet   workers
	journal recorder
	cancel  context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}

	mu       sync.Mutex
	hosts    map[unit.ShardID]*host
	former   map[*host]bool // lost their shard and only renew leases
	draining bool
	owners   map[unit.ShardID]unit.EntryID // by the last read of the records

	// Of the goroutine that runs ownership.
	used   map[unit.ShardID]unit.Epoch // last epoch for which a core was made
	ranked map[unit.ShardID]ranked
}

// ranked is what the ownership rules last saw of a shard, and since when.
type ranked struct {
	ranking   []unit.EntryID
	claimable bool
	since     time.Time
}

// NewService returns a service that is not yet started.
func NewService(log logr.Logger, o Options) *Service {
	o.Buckets = max(o.Buckets, 1)
	return &Service{
		log: log, options: o, done: make(chan struct{}),
		hosts: map[unit.ShardID]*host{}, former: map[*host]bool{},
		used: map[unit.ShardID]unit.Epoch{}, ranked: map[unit.ShardID]ranked{},
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.records, err = registry.Find[records](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if s.members, err = registry.Find[members](k, membershipName); err != nil {
		return errors.Errorf("find membership: %w", err)
	}
	if s.config, err = registry.Find[configuration](k, configName); err != nil {
		return errors.Errorf("find configuration: %w", err)
	}
	if s.fleet, err = registry.Find[workers](k, fleetName); err != nil {
		return errors.Errorf("find inventory: %w", err)
	}
	if s.journal, err = registry.Find[recorder](k, journal.ServiceName); err != nil {
		return errors.Errorf("find journal: %w", err)
	}
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.running.Go(func() { s.own(ctx) })
	s.running.Go(func() { s.follow(ctx) })
	s.running.Go(func() { s.archive(ctx) })
	s.running.Go(func() { s.shareUsage(ctx) })
	go func() {
		defer close(s.done)
		s.running.Wait()
	}()
	return nil
}

// Stop implements registry.Service. Call Drain first for a quick takeover.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Drain gives up all shards and waits until successors may claim them, or until
// the context ends. The service claims none afterwards.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	hosts := slices.Collect(maps.Values(s.hosts)) // former ones have nothing to release
	s.mu.Unlock()
	for _, h := range hosts {
		h.deliver(ctx, ReleaseRequested{})
	}
	for _, h := range hosts {
		select {
		case <-h.done:
		case <-ctx.Done():
			return errors.Errorf("release shards: %w", ctx.Err())
		}
	}
	return nil
}

// Evict asks for a step against an attempt that may run on a worker of an owned
// shard; otherwise it has no effect.
func (s *Service) Evict(ctx context.Context, e Evict) {
	s.mu.Lock()
	hosts := slices.Collect(maps.Values(s.hosts))
	s.mu.Unlock()
	for _, h := range hosts {
		h.deliver(ctx, e)
	}
}

// Owner returns the entry that owns a shard by the last read of its record, or ""
// if that had none.
func (s *Service) Owner(id unit.ShardID) unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[id]
}

// all returns the hosts, former ones too; s.mu is held.
func (s *Service) all() []*host {
	hosts := make([]*host, 0, len(s.hosts)+len(s.former))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	for h := range s.former {
		hosts = append(hosts, h)
	}
	return hosts
}

// own claims and releases shards until the context ends.
func (s *Service) own(ctx context.Context) {
	tick := time.NewTicker(ownershipInterval)
	defer tick.Stop()
	failing := false
	for {
		changed := s.members.Changed()
		err := s.look(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			s.log.Info("shard ownership state changed", "readable", !failed, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		}
	}
}

// look reads the shard records and takes the next step about each shard.
func (s *Service) look(ctx context.Context) error {
	view := shard.View{Regions: s.options.Regions}
	members := s.members.View() // before the records, as shard.Decide wants it
	view.Revision = members.Revision
	for _, e := range members.Entries {
		view.Entries = append(view.Entries, shard.Entry{ID: e.ID, Zone: e.Zone})
	}
	snapshot, err := s.records.List(ctx, "shard/")
	if err != nil {
		return errors.Errorf("read shard records: %w", err)
	}
	held := map[unit.ShardID]shard.StoredRecord{}
	owners := map[unit.ShardID]unit.EntryID{}
	for _, r := range snapshot.Records {
		id, err := unit.ParseShardID(string(r.Key[len("shard/"):]))
		if err != nil {
			return errors.Errorf("read shard records: %w", err)
		}
		record, err := shard.Decode(r.Value)
		if err != nil {
			return errors.Errorf("read shard record %s: %w", id, err)
		}
		held[id] = shard.StoredRecord{Record: record, Revision: r.Revision}
		owners[id] = record.Owner
	}
	s.mu.Lock()
	s.owners = owners
	s.mu.Unlock()
	var faults []error
	for _, id := range s.shards() {
		if err := s.decide(ctx, id, held[id], view); err != nil {
			faults = append(faults, errors.Errorf("shard %s: %w", id, err))
		}
	}
	return errors.Join(faults...)
}

// shards returns all shards of zones that are configured or have workers.
func (s *Service) shards() []unit.ShardID {
	var zones []unit.ZoneID
	for _, z := range s.config.Current().Document.Zones {
		zones = append(zones, z.Name)
	}
	for _, w := range s.fleet.Snapshot().Workers() {
		if !slices.Contains(zones, w.Zone) {
			zones = append(zones, w.Zone)
		}
	}
	slices.Sort(zones)
	return shard.All(zones, s.options.Buckets)
}

func (s *Service) decide(ctx context.Context, id unit.ShardID, held shard.StoredRecord, view shard.View) error {
	now := s.options.Now()
	ranking, claimable := shard.Ranking(id, view), shard.Claimable(held, view)
	if old, ok := s.ranked[id]; !ok || old.claimable != claimable || !slices.Equal(old.ranking, ranking) {
		s.ranked[id] = ranked{ranking, claimable, now}
	}
	self := shard.LocalEntry{ID: s.members.Self(), Session: s.members.Lease(), Since: s.ranked[id].since}
	if self.Session == "" {
		return nil
	}
	h, draining := s.hold(id, held)
	if h != nil {
		self.Epoch = h.epoch
	}
	switch shard.Decide(id, self, held, view, now) {
	case shard.ActionAdopt:
		if draining {
			return nil
		}
		if s.used[id] == held.Record.Epoch {
			return s.claim(ctx, id, self, held) // that epoch had a core, whose writes must not be mistaken for ours
		}
		s.host(ctx, id, held, false)
	case shard.ActionClaim:
		if !draining {
			return s.claim(ctx, id, self, held)
		}
	case shard.ActionRenew:
		if h == nil {
			return nil
		}
		return s.renew(ctx, id, h, self, held)
	case shard.ActionRelease:
		h.deliver(ctx, ReleaseRequested{})
	case shard.ActionLost:
		s.mu.Lock()
		delete(s.hosts, id)
		s.former[h] = true
		s.mu.Unlock()
		h.deliver(ctx, OwnershipLost{})
	}
	return nil
}

// hold returns the host of a shard, brought up to date with the record.
func (s *Service) hold(id unit.ShardID, held shard.StoredRecord) (h *host, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h = s.hosts[id]
	if h != nil && held.Record.Owner == s.members.Self() && held.Record.Epoch == h.epoch {
		h.held = held
	}
	return h, s.draining
}

func (s *Service) claim(ctx context.Context, id unit.ShardID, self shard.LocalEntry, held shard.StoredRecord) error {
	record := shard.ClaimRecord(self, held)
	revision, err := s.write(ctx, id, record, held)
	if errors.Is(err, store.ErrConflict) {
		return nil // another entry was first
	}
	if err != nil {
		return errors.Errorf("claim: %w", err)
	}
	s.host(ctx, id, shard.StoredRecord{Record: record, Revision: revision}, held.Record.CleanlyReleased())
	return nil
}

func (s *Service) renew(ctx context.Context, id unit.ShardID, h *host, self shard.LocalEntry, held shard.StoredRecord) error {
	record := shard.RenewRecord(self, held)
	revision, err := s.write(ctx, id, record, held)
	if errors.Is(err, store.ErrConflict) {
		return nil // the next look says by whom
	}
	if err != nil {
		return errors.Errorf("renew: %w", err)
	}
	s.mu.Lock()
	h.held = shard.StoredRecord{Record: record, Revision: revision}
	s.mu.Unlock()
	return nil
}

func (s *Service) write(ctx context.Context, id unit.ShardID, r shard.Record, held shard.StoredRecord) (unit.Revision, error) {
	value, err := shard.Encode(r)
	if err != nil {
		return 0, err
	}
	writeCount.Add("shard", 1)
	return s.records.Put(ctx, shard.Key(id), value, condition(held.Revision), "")
}

// host starts the scheduler of a shard that was just claimed. Clean says that the
// previous owner left no leases but those of one term.
func (s *Service) host(ctx context.Context, id unit.ShardID, held shard.StoredRecord, clean bool) {
	core := NewCore(Settings{
		Shard: id, Epoch: held.Record.Epoch, Placer: s.options.NewPlacer(id),
		InheritedExpiry: lease.InheritedExpiry(s.options.Now(), clean),
	})
	s.used[id] = held.Record.Epoch
	h := newHost(s, core, held)
	s.mu.Lock()
	s.hosts[id] = h
	if s.draining { // since the claim was sent
		h.events <- ReleaseRequested{}
	}
	s.mu.Unlock()
	claimCount.Add(1)
	s.log.Info("shard claimed", "shard", id.String(), "epoch", held.Record.Epoch)
	s.running.Go(func() { h.run(ctx) })
}

// ended removes a host whose core has ended.
func (s *Service) ended(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[h.id] == h {
		delete(s.hosts, h.id)
	}
	delete(s.former, h)
	s.log.Info("shard given up", "shard", h.id.String(), "epoch", h.epoch)
}

// condition returns the condition that a record was not changed since a read; 0
// stands for a record that did not exist.
func condition(r unit.Revision) store.Condition {
	if r == 0 {
		return store.IfAbsent()
	}
	return store.IfRevision(r)
}
