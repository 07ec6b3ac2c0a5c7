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

// TestMain guards against writers that outlive their service.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memory is a store in memory, which can delay, fail and lose.
type memory struct {
	mu       sync.Mutex
	records  map[store.Key]store.Record
	revision unit.Revision
	puts     atomic.Int64
	delay    time.Duration
	down     atomic.Bool
	lose     atomic.Int64 // the responses to this many writes
}

func (m *memory) Name() registry.Name                           { return store.ServiceName }
func (m *memory) Start(context.Context, *registry.Kernel) error { return nil }
func (m *memory) Stop(context.Context) error                    { return nil }
func (m *memory) Done() <-chan struct{}                         { return closed }

var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

func (m *memory) Get(_ context.Context, key store.Key) (store.Record, error) {
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

func (m *memory) Put(_ context.Context, key store.Key, value []byte, cond store.Condition, _ store.LeaseID) (unit.Revision, error) {
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.records[key]
	want := store.IfAbsent()
	if ok {
		want = store.IfRevision(old.Revision)
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
	if m.lose.Add(-1) >= 0 {
		return 0, store.ErrUnknown
	}
	return m.revision, nil
}

func (m *memory) Delete(context.Context, store.Key, store.Condition) error { return nil }

func begin(t *testing.T, m *memory) *claim.Service {
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

func newMemory() *memory { return &memory{records: map[store.Key]store.Record{}} }

// TestRace guards against an id that two entries are granted at the same time,
// and against a write for each claim of a burst.
func TestRace(t *testing.T) {
	m := newMemory()
	m.delay = time.Millisecond
	entries := []*claim.Service{begin(t, m), begin(t, m), begin(t, m)}
	const ids, repeats = 100, 2
	m.lose.Store(20)
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
			t.Errorf("id %d granted %d times", i, n)
		}
	}
	t.Logf("%d writes for %d ids", m.puts.Load(), ids)
}

// TestStore guards against a grant without the store, and against an id that a
// request which did not run keeps claimed.
func TestStore(t *testing.T) {
	m := newMemory()
	s := begin(t, m)
	m.delay = 5 * time.Millisecond
	gone, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	steps := []struct {
		name string
		ctx  context.Context
		down bool
		void bool // after a grant
		want claim.Outcome
	}{
		{name: "caller leaves early", ctx: gone, want: claim.Unavailable},
		{name: "store down", down: true, want: claim.Unavailable},
		{name: "voided", void: true, want: claim.Granted},
		{name: "again", want: claim.Granted},
		{name: "twice", want: claim.Taken},
		{name: "down again", down: true, want: claim.Unavailable},
	}
	for _, st := range steps {
		ctx := context.Background()
		if st.ctx != nil {
			ctx = st.ctx
		}
		m.down.Store(st.down)
		r, _ := s.Claim(ctx, "id")
		if diff := cmp.Diff(st.want, r.Outcome); diff != "" {
			t.Errorf("%s (-want +got):\n%s", st.name, diff)
		}
		if st.void {
			if err := s.Void(ctx, "id", r); err != nil {
				t.Errorf("%s: %v", st.name, err)
			}
		}
	}
}
