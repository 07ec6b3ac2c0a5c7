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

// ServiceName is the name of the service in the kernel.
const ServiceName registry.Name = "dispatch"

// Names of the services that this service uses.
const (
	membershipName registry.Name = "membership"
	configName     registry.Name = "config"
	fleetName      registry.Name = "fleet"
)

// ownershipInterval is the time between two reviews of the shard records. It adds
// directly to the duration of a takeover, during which the shard starts nothing.
const ownershipInterval = time.Second

// recordStore is the part of the store that the service uses.
type recordStore interface {
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

// eventRecorder is the part of the journal that the service uses.
type eventRecorder interface {
	Record(journal.Event)
}

// Client calls one worker. Its errors are those of package worker.
type Client interface {
	Orders(ctx context.Context, b worker.OrderBatch) (worker.OrderReply, error)
	Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.Report, error)
	Close()
}

// Options configures a Service.
type Options struct {
	Buckets   uint16                          // number of shards of each zone
	Regions   map[unit.ZoneID]shard.Region    // missing zones belong to one common region
	Connect   func(address string) Client     // returns a client for the control address of a worker
	NewPlacer func(shard unit.ShardID) Placer // returns the placer of a shard that was taken over
	Now       func() time.Time                // current time, with a monotonic clock reading
	// OnReport, if not nil, is called with each report of a worker, on the
	// goroutine that makes the calls to that worker.
	OnReport func(unit.InstanceID, worker.Report)
}

// Service owns shards and runs a Core for each.
type Service struct {
	log     logr.Logger
	options Options
	records recordStore
	members members
	config  configuration
	fleet   workers
	journal eventRecorder
	cancel  context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}

	mu            sync.Mutex
	runners       map[unit.ShardID]*runner
	formerRunners map[*runner]bool // lost their shard and only renew leases
	draining      bool
	owners        map[unit.ShardID]unit.EntryID // from the last read of the shard records

	// Used only by the goroutine that runs runOwnership.
	startedEpochs map[unit.ShardID]unit.Epoch // last epoch for which a core was created
	rankings      map[unit.ShardID]rankingState
}

// rankingState is the input of the ownership rules for a shard, and the time
// since which it is unchanged.
type rankingState struct {
	ranking   []unit.EntryID
	claimable bool
	since     time.Time
}

// NewService returns a service that is not yet started.
func NewService(log logr.Logger, o Options) *Service {
	o.Buckets = max(o.Buckets, 1)
	return &Service{
		log: log, options: o, done: make(chan struct{}),
		runners: map[unit.ShardID]*runner{}, formerRunners: map[*runner]bool{},
		startedEpochs: map[unit.ShardID]unit.Epoch{}, rankings: map[unit.ShardID]rankingState{},
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.records, err = registry.Find[recordStore](k, store.ServiceName); err != nil {
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
	if s.journal, err = registry.Find[eventRecorder](k, journal.ServiceName); err != nil {
		return errors.Errorf("find journal: %w", err)
	}
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.running.Go(func() { s.runOwnership(ctx) })
	s.running.Go(func() { s.followJobRecords(ctx) })
	s.running.Go(func() { s.runArchive(ctx) })
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

// Drain releases all shards and waits until successors may claim them or the
// context ends. The service claims no shard afterwards.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	runners := slices.Collect(maps.Values(s.runners)) // former runners have nothing to release
	s.mu.Unlock()
	for _, r := range runners {
		r.deliver(ctx, ReleaseRequested{})
	}
	for _, r := range runners {
		select {
		case <-r.done:
		case <-ctx.Done():
			return errors.Errorf("release shards: %w", ctx.Err())
		}
	}
	return nil
}

// Evict requests an action against an attempt that may run on a worker of an
// owned shard. It has no effect on other attempts.
func (s *Service) Evict(ctx context.Context, e Evict) {
	s.mu.Lock()
	runners := slices.Collect(maps.Values(s.runners))
	s.mu.Unlock()
	for _, r := range runners {
		r.deliver(ctx, e)
	}
}

// Owner returns the owner of a shard from the last read of its record, or "" if
// it had none.
func (s *Service) Owner(id unit.ShardID) unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[id]
}

// allRunners returns all runners, including former ones. The caller holds s.mu.
func (s *Service) allRunners() []*runner {
	runners := make([]*runner, 0, len(s.runners)+len(s.formerRunners))
	for _, r := range s.runners {
		runners = append(runners, r)
	}
	for r := range s.formerRunners {
		runners = append(runners, r)
	}
	return runners
}

// runOwnership claims and releases shards until the context ends.
func (s *Service) runOwnership(ctx context.Context) {
	tick := time.NewTicker(ownershipInterval)
	defer tick.Stop()
	failing := false
	for {
		changed := s.members.Changed()
		err := s.reviewShards(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			s.log.Info("readability of the shard records changed", "readable", !failed, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		}
	}
}

// reviewShards reads the shard records and takes the next ownership step for each
// shard.
func (s *Service) reviewShards(ctx context.Context) error {
	view := shard.View{Regions: s.options.Regions}
	members := s.members.View() // read before the records, as shard.Decide requires
	view.Revision = members.Revision
	for _, e := range members.Entries {
		view.Entries = append(view.Entries, shard.Entry{ID: e.ID, Zone: e.Zone})
	}
	snapshot, err := s.records.List(ctx, "shard/")
	if err != nil {
		return errors.Errorf("read shard records: %w", err)
	}
	stored := map[unit.ShardID]shard.StoredRecord{}
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
		stored[id] = shard.StoredRecord{Record: record, Revision: r.Revision}
		owners[id] = record.Owner
	}
	s.mu.Lock()
	s.owners = owners
	s.mu.Unlock()
	var errs []error
	for _, id := range s.shards() {
		if err := s.reviewShard(ctx, id, stored[id], view); err != nil {
			errs = append(errs, errors.Errorf("shard %s: %w", id, err))
		}
	}
	return errors.Join(errs...)
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

// reviewShard takes the next ownership step for one shard.
func (s *Service) reviewShard(ctx context.Context, id unit.ShardID, stored shard.StoredRecord, view shard.View) error {
	now := s.options.Now()
	ranking, claimable := shard.Ranking(id, view), shard.Claimable(stored, view)
	if old, ok := s.rankings[id]; !ok || old.claimable != claimable || !slices.Equal(old.ranking, ranking) {
		s.rankings[id] = rankingState{ranking, claimable, now}
	}
	self := shard.LocalEntry{ID: s.members.Self(), Session: s.members.Lease(), Since: s.rankings[id].since}
	if self.Session == "" {
		return nil
	}
	r, draining := s.currentRunner(id, stored)
	if r != nil {
		self.Epoch = r.epoch
	}
	switch shard.Decide(id, self, stored, view, now) {
	case shard.ActionAdopt:
		if draining {
			return nil
		}
		if s.startedEpochs[id] == stored.Record.Epoch {
			// A core already ran under this epoch. Its late writes must not be taken for
			// writes of a new core, so the shard is claimed under a new epoch.
			return s.claim(ctx, id, self, stored)
		}
		s.startRunner(ctx, id, stored, false)
	case shard.ActionClaim:
		if !draining {
			return s.claim(ctx, id, self, stored)
		}
	case shard.ActionRenew:
		if r == nil {
			return nil
		}
		return s.renew(ctx, id, r, self, stored)
	case shard.ActionRelease:
		r.deliver(ctx, ReleaseRequested{})
	case shard.ActionLost:
		s.mu.Lock()
		delete(s.runners, id)
		s.formerRunners[r] = true
		s.mu.Unlock()
		r.deliver(ctx, OwnershipLost{})
	}
	return nil
}

// currentRunner returns the runner of a shard, if any, after updating its shard
// record. It also reports whether the service is draining.
func (s *Service) currentRunner(id unit.ShardID, stored shard.StoredRecord) (r *runner, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r = s.runners[id]
	if r != nil && stored.Record.Owner == s.members.Self() && stored.Record.Epoch == r.epoch {
		r.storedRecord = stored
	}
	return r, s.draining
}

// claim claims a shard and starts its core, unless another entry was faster.
func (s *Service) claim(ctx context.Context, id unit.ShardID, self shard.LocalEntry, stored shard.StoredRecord) error {
	record := shard.ClaimRecord(self, stored)
	revision, err := s.writeShardRecord(ctx, id, record, stored)
	if errors.Is(err, store.ErrConflict) {
		return nil // the record was changed by another entry
	}
	if err != nil {
		return errors.Errorf("claim: %w", err)
	}
	s.startRunner(ctx, id, shard.StoredRecord{Record: record, Revision: revision}, stored.Record.CleanlyReleased())
	return nil
}

// renew writes the present registration into the record of an owned shard.
func (s *Service) renew(ctx context.Context, id unit.ShardID, r *runner, self shard.LocalEntry, stored shard.StoredRecord) error {
	record := shard.RenewRecord(self, stored)
	revision, err := s.writeShardRecord(ctx, id, record, stored)
	if errors.Is(err, store.ErrConflict) {
		return nil // the record was changed concurrently; the next review reads it
	}
	if err != nil {
		return errors.Errorf("renew: %w", err)
	}
	s.mu.Lock()
	r.storedRecord = shard.StoredRecord{Record: record, Revision: revision}
	s.mu.Unlock()
	return nil
}

func (s *Service) writeShardRecord(ctx context.Context, id unit.ShardID, r shard.Record, stored shard.StoredRecord) (unit.Revision, error) {
	value, err := shard.Encode(r)
	if err != nil {
		return 0, err
	}
	writeCount.Add("shard", 1)
	return s.records.Put(ctx, shard.Key(id), value, unchangedSince(stored.Revision), "")
}

// startRunner starts the core of a shard that was just claimed. Clean means that
// the previous owner left only leases of at most one lease.TTL.
func (s *Service) startRunner(ctx context.Context, id unit.ShardID, stored shard.StoredRecord, clean bool) {
	core := NewCore(Settings{
		Shard: id, Epoch: stored.Record.Epoch, Placer: s.options.NewPlacer(id),
		InheritedExpiry: lease.InheritedExpiry(s.options.Now(), clean),
	})
	s.startedEpochs[id] = stored.Record.Epoch
	r := newRunner(s, core, stored)
	s.mu.Lock()
	s.runners[id] = r
	if s.draining { // Drain was called after the claim was sent
		r.events <- ReleaseRequested{}
	}
	s.mu.Unlock()
	claimCount.Add(1)
	s.log.Info("shard claimed", "shard", id.String(), "epoch", stored.Record.Epoch)
	s.running.Go(func() { r.run(ctx) })
}

// removeRunner removes a runner whose core has ended.
func (s *Service) removeRunner(r *runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runners[r.id] == r {
		delete(s.runners, r.id)
	}
	delete(s.formerRunners, r)
	s.log.Info("shard given up", "shard", r.id.String(), "epoch", r.epoch)
}

// unchangedSince returns the condition that a record is still at a revision.
// Revision 0 means that it does not exist.
func unchangedSince(r unit.Revision) store.Condition {
	if r == 0 {
		return store.IfAbsent()
	}
	return store.IfRevision(r)
}
