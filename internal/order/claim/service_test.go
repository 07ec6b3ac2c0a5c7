package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// TestMain guards against goroutines that outlive their service.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memoryStore is a store in memory that can delay calls, fail, and lose responses.
type memoryStore struct {
	mu       sync.Mutex
	records  map[store.Key]store.Record
	revision unit.Revision
	puts     atomic.Int64
	delay    time.Duration
	down     atomic.Bool
	toLose   atomic.Int64 // number of writes whose responses are still to be lost
}

func (m *memoryStore) Name() registry.Name                           { return store.ServiceName }
func (m *memoryStore) Start(context.Context, *registry.Kernel) error { return nil }
func (m *memoryStore) Stop(context.Context) error                    { return nil }
func (m *memoryStore) Done() <-chan struct{}                         { return closed }

// closed is the Done channel of a service without goroutines.
var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

func (m *memoryStore) Get(_ context.Context, key store.Key) (store.Record, error) {
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	switch {
	case m.down.Load():
		return r, store.ErrUnavailable
	case !ok:
		return r, store.ErrNotFound
	}
	return r, nil
}

func (m *memoryStore) Put(_ context.Context, key store.Key, value []byte, cond store.Condition, _ store.LeaseID) (unit.Revision, error) {
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, ok := m.records[key]
	want := store.IfAbsent()
	if ok {
		want = store.IfRevision(stored.Revision)
	}
	switch {
	case m.down.Load():
		return 0, store.ErrUnavailable
	case cond != want:
		return 0, store.ErrConflict
	}
	m.puts.Add(1)
	m.revision++
	m.records[key] = store.Record{Key: key, Value: value, Revision: m.revision}
	if m.toLose.Add(-1) >= 0 {
		return 0, store.ErrUnknown
	}
	return m.revision, nil
}

func (m *memoryStore) Delete(context.Context, store.Key, store.Condition) error { return nil }

func startService(t *testing.T, m *memoryStore) *claim.Service {
	t.Helper()
	s, k := claim.New(), registry.New()
	if err := errors.Join(k.Register(m), k.Register(s), k.Start(context.Background())); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		<-s.Done()
	})
	return s
}

func newMemoryStore() *memoryStore { return &memoryStore{records: map[store.Key]store.Record{}} }

// TestRace guards against an id that is granted to two concurrent calls. It logs the
// number of writes, which concurrent claims share.
func TestRace(t *testing.T) {
	m := newMemoryStore()
	m.delay = time.Millisecond
	entries := []*claim.Service{startService(t, m), startService(t, m), startService(t, m)}
	const ids, repeats = 100, 2
	m.toLose.Store(20)
	granted := make([]atomic.Int64, ids)
	var wg sync.WaitGroup
	for i := range ids * repeats * len(entries) {
		wg.Go(func() {
			r, err := entries[i%len(entries)].Claim(context.Background(), unit.RequestID(fmt.Sprint(i%ids)))
			if err != nil {
				t.Error(err)
			}
			if r.Outcome == claim.Granted {
				granted[i%ids].Add(1)
			}
		})
	}
	wg.Wait()
	for i := range granted {
		if n := granted[i].Load(); n != 1 {
			t.Errorf("id %d was granted %d times", i, n)
		}
	}
	t.Logf("%d writes for %d ids", m.puts.Load(), ids)
}

// TestStore guards against a claim that is granted without the store, and against an
// id that stays claimed although its request did not run.
func TestStore(t *testing.T) {
	m := newMemoryStore()
	s := startService(t, m)
	m.delay = 5 * time.Millisecond
	expiring, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	steps := []struct {
		name string
		ctx  context.Context
		down bool
		void bool // void the claim after the grant
		want claim.Outcome
	}{
		{name: "caller stops waiting", ctx: expiring, want: claim.Unavailable},
		{name: "store down", down: true, want: claim.Unavailable},
		{name: "voided", void: true, want: claim.Granted},
		{name: "again", want: claim.Granted},
		{name: "twice", want: claim.Taken},
		{name: "down again", down: true, want: claim.Unavailable},
	}
	for _, step := range steps {
		ctx := context.Background()
		if step.ctx != nil {
			ctx = step.ctx
		}
		m.down.Store(step.down)
		r, _ := s.Claim(ctx, "id")
		if diff := cmp.Diff(step.want, r.Outcome); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
		if step.void {
			if err := s.Void(ctx, "id", r); err != nil {
				t.Errorf("%s: %v", step.name, err)
			}
		}
	}
}
