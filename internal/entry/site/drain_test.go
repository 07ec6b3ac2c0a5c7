package site

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/follower"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/relay"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
	"github.com/monsoonfold/monsoonfold/internal/target/directory"
	"github.com/monsoonfold/monsoonfold/platform"
)

// idleService is a service without goroutines.
type idleService struct {
	*registry.Tasks
	name registry.Name
}

func newIdleService(name registry.Name) idleService {
	return idleService{registry.NewTasks(), name}
}

func (s idleService) Name() registry.Name { return s.name }

func (s idleService) Start(ctx context.Context, _ *registry.Kernel) error {
	s.Begin(ctx)
	return nil
}

// outageStore is a store in memory that answers nobody between two times.
type outageStore struct {
	idleService
	outFrom, outUntil time.Time

	mu       sync.Mutex
	items    map[kv.Key]kv.Item
	revision unit.Revision
	revoked  bool // a lease was revoked
}

func (s *outageStore) Outage() bool {
	now := time.Now()
	return !now.Before(s.outFrom) && now.Before(s.outUntil)
}

func (s *outageStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if s.Outage() {
		return kv.Response{}, kv.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := kv.Response{Revision: s.revision}
	switch r.Op {
	case kv.OpGet:
		item, ok := s.items[r.Key]
		if !ok {
			return kv.Response{}, kv.ErrNotFound
		}
		response.Items = []kv.Item{item}
	case kv.OpRange, kv.OpWatch:
		response.Items = slices.DeleteFunc(slices.Collect(maps.Values(s.items)), func(i kv.Item) bool {
			return !strings.HasPrefix(string(i.Key), string(r.Key)) || i.Revision <= r.Since
		})
	case kv.OpCommit:
		s.revision++
		for _, p := range r.Txn.Puts {
			s.items[p.Key] = kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
		}
		response.Revision = s.revision
	case kv.OpRevoke:
		s.revoked = true
	}
	return response, nil
}

// ownedShard is an ownership service of an entry that owns the shard until it resigns.
type ownedShard struct {
	idleService
	store   kv.Client
	mu      sync.Mutex
	changed chan struct{} // closed once the entry has resigned
}

func (o *ownedShard) Term() (ownership.Term, bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.changed:
		return ownership.Term{}, false, nil
	default:
		return ownership.Term{Epoch: 1}, true, o.changed
	}
}

func (o *ownedShard) Resign(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	_ = o.store.Revoke(ctx, 1) // the test looks at what the store has executed
}

func (*ownedShard) MayOrder(time.Time) bool       { return true }
func (*ownedShard) MayRenewLeases(time.Time) bool { return true }
func (*ownedShard) Abandon(context.Context)       {}
func (*ownedShard) StartRelays() []unit.EntryID   { return nil }

// emptyDirectory is a directory without zones out of service and organisations.
type emptyDirectory struct{ idleService }

func (emptyDirectory) Evacuated() (map[unit.ZoneID]bool, time.Time) { return nil, time.Now() }
func (emptyDirectory) Current() *directory.Document                 { return nil }

// noRelay relays nothing.
type noRelay struct{ idleService }

func (noRelay) SendStarts(context.Context, unit.EntryID, owner.StartBatch) ([]scheduler.Outcome, error) {
	return nil, kv.ErrUnavailable
}

func (noRelay) ExchangeHeartbeats(context.Context, unit.EntryID, owner.HeartbeatBatch) ([]owner.RelayedAnswer, error) {
	return nil, kv.ErrUnavailable
}

// noFollower reads no list for others.
type noFollower struct{ idleService }

func (noFollower) Prepare(context.Context, unit.EntryID) error { return kv.ErrUnavailable }

func (noFollower) ReadChanges(context.Context, unit.EntryID, unit.Revision) (follower.Changes, error) {
	return follower.Changes{}, kv.ErrUnavailable
}

// TestDrainDuringOutage guards against an owner that is stopped while the store answers
// nobody and gives its hand-over up although its process lives on until the store answers
// again. It also guards against a stop that does not end within the termination grace, and
// against one that takes longer without an outage.
func TestDrainDuringOutage(t *testing.T) {
	const (
		grace    = 6 * time.Second
		awaiting = 100 * time.Millisecond // from when the store answers until the hand-over is written
	)
	type result struct{ HandedOver, Released, Draining, InTime bool }
	written := result{HandedOver: true, Released: true, Draining: true, InTime: true}
	tests := []struct {
		name     string
		takeover bool // the outage begins before the entry has taken the shard over
		grace    time.Duration
		outage   time.Duration // that is left when the entry is told to stop; 0: none
		drain    time.Duration // that the drain may take
		want     result
	}{
		{"no outage", false, grace, 0, drainTime, written},
		{"store is back at once", false, grace, 500 * time.Millisecond, drainTime, written},
		{"store is back just after an attempt", false, grace, 1520 * time.Millisecond, drainTime, written},
		{"store is back after the drain", false, grace, 3 * time.Second, 3*time.Second + awaiting, written},
		{"store is back after the grace", false, grace, time.Minute, grace - grace/3, result{Draining: true, InTime: true}},
		{"takeover not complete", true, grace, 3 * time.Second, 3*time.Second + awaiting, written},
		{"long grace", false, 30 * time.Second, 15 * time.Second, 15*time.Second + awaiting, written},
		{"short grace", false, 2 * time.Second, time.Second, drainTime, written},
		{"no grace", false, 0, time.Second, drainTime, written},
		{"no grace, store is not back", false, 0, time.Minute, drainTime, result{Draining: true, InTime: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const beforeStop = 2 * time.Second
				now := time.Now()
				store := &outageStore{
					idleService: newIdleService(kv.ServiceName), items: map[kv.Key]kv.Item{},
					outFrom: now.Add(beforeStop / 2), outUntil: now.Add(beforeStop + tt.outage),
				}
				if tt.outage == 0 {
					store.outUntil = store.outFrom
				}
				if tt.takeover {
					store.outFrom = now
				}
				previous, err := record.Encode(record.Progress{Format: record.Format, HandedOver: true})
				if err != nil {
					t.Fatal(err)
				}
				store.items[record.ProgressKey] = kv.Item{Key: record.ProgressKey, Value: previous}
				e := &entry{log: logr.Discard(), kernel: registry.New(), grace: tt.grace}
				e.owner = owner.New(logr.Discard(), platform.Fleet{}, nil, owner.Options{Limits: scheduler.Limits{MaxLease: 10 * time.Second}})
				for _, s := range []registry.Service{
					store, emptyDirectory{newIdleService(directory.ServiceName)},
					&ownedShard{idleService: newIdleService(ownership.ServiceName), store: kv.Client{Doer: store}, changed: make(chan struct{})},
					noRelay{newIdleService(relay.ServiceName)}, noFollower{newIdleService(follower.ServiceName)}, e.owner,
				} {
					if err := e.kernel.Register(s); err != nil {
						t.Fatal(err)
					}
				}
				if err := e.kernel.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(beforeStop)
				var draining atomic.Bool
				began := time.Now()
				time.AfterFunc(time.Millisecond, func() { draining.Store(e.draining.Load()) })
				e.drain()
				took := time.Since(began)
				if err := e.kernel.Stop(t.Context()); err != nil {
					t.Fatal(err)
				}
				got := result{Released: store.revoked, Draining: draining.Load(), InTime: took <= tt.drain}
				progress, err := record.DecodeProgress(store.items[record.ProgressKey].Value)
				if err != nil {
					t.Fatal(err)
				}
				got.HandedOver = progress.HandedOver && progress.Epoch == 1
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("drain took %s (-want +got):\n%s", took, diff)
				}
			})
		})
	}
}
