package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// storeLatency is the time that a slowStore takes for an answer.
const storeLatency = 100 * time.Millisecond

// slowStore holds one item on each of two pages. Its calls fail as their turn says.
type slowStore struct {
	mu       sync.Mutex
	failures []error // by call; nil or none: answered
	calls    []kv.Op
	revision unit.Revision
}

func (s *slowStore) DoDirect(_ context.Context, r kv.Request) (kv.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, r.Op)
	var failure error
	if len(s.failures) > 0 {
		failure, s.failures = s.failures[0], s.failures[1:]
	}
	answer := kv.Response{Revision: s.revision}
	s.mu.Unlock()
	time.Sleep(storeLatency)
	switch {
	case failure != nil:
		return kv.Response{}, failure
	case r.Op == kv.OpRange && r.After == "":
		answer.Items, answer.More = []kv.Item{put("workers/a", "x 1", 3)}, true
	case r.Op == kv.OpRange:
		answer.Items = []kv.Item{put("workers/b", "x 1", 4)}
	}
	return answer, nil
}

func (s *slowStore) setRevision(r unit.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = r
}

// localNetwork passes calls to a service of the same process.
type localNetwork struct{ handler mesh.Handler }

func (n *localNetwork) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, request []byte) ([]byte, error) {
	answer, err := n.handler(ctx, "", request)
	if err != nil {
		return nil, &mesh.FaultError{Text: err.Error()}
	}
	return answer, nil
}

func (n *localNetwork) Handle(_ mesh.Kind, h mesh.Handler) { n.handler = h }

// newService returns a service that answers its own calls, and begins to follow the list.
func newService(ctx context.Context, store *slowStore) *Service {
	s := New(logr.Discard(), textDecoder{})
	s.store = kv.Client{Doer: directDoer{store}}
	s.peers = &localNetwork{s.handleChanges}
	s.Begin(ctx, s.follow)
	return s
}

// TestReadChanges guards against answers that rest on a read which began before the request,
// and against an entry that reads the list without need, or not when it has to.
func TestReadChanges(t *testing.T) {
	const list = 3 * storeLatency // both pages and the changes since
	tests := []struct {
		name     string
		failures []error
		requests []time.Duration // when they are sent
		want     []bool          // which of them are answered
		took     []time.Duration // by each of them
		calls    []kv.Op
	}{
		{"one", nil, []time.Duration{0}, []bool{true}, []time.Duration{list}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpWatch}},
		{
			"during a read", nil, []time.Duration{0, time.Second, time.Second + storeLatency/2, time.Second + storeLatency*3/4}, []bool{true, true, true, true},
			[]time.Duration{list, storeLatency, storeLatency * 3 / 2, storeLatency * 5 / 4}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpWatch, kv.OpWatch, kv.OpWatch},
		},
		{
			"list goes on after an error", []error{nil, kv.ErrUnavailable}, []time.Duration{0, time.Second}, []bool{false, true},
			[]time.Duration{2 * storeLatency, 2 * storeLatency}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpRange, kv.OpWatch},
		},
		{
			"changes not read", []error{nil, nil, nil, kv.ErrUnavailable}, []time.Duration{0, time.Second, 2 * time.Second}, []bool{true, false, true},
			[]time.Duration{list, storeLatency, storeLatency}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpWatch, kv.OpWatch, kv.OpWatch},
		},
		{
			"history gone", []error{nil, nil, nil, kv.ErrCompacted}, []time.Duration{0, time.Second}, []bool{true, true},
			[]time.Duration{list, storeLatency + list}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpWatch, kv.OpWatch, kv.OpRange, kv.OpRange, kv.OpWatch},
		},
		{
			"history too long", []error{nil, nil, nil, kv.ErrOversized}, []time.Duration{0, time.Second}, []bool{true, true},
			[]time.Duration{list, storeLatency + list}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpWatch, kv.OpWatch, kv.OpRange, kv.OpRange, kv.OpWatch},
		},
		{
			"long pause", nil, []time.Duration{0, idleTimeout - time.Second, 3 * idleTimeout}, []bool{true, true, true},
			[]time.Duration{list, storeLatency, list}, []kv.Op{kv.OpRange, kv.OpRange, kv.OpWatch, kv.OpWatch, kv.OpRange, kv.OpRange, kv.OpWatch},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{failures: tt.failures, revision: 9}
				s := newService(t.Context(), store)
				answered, took := make([]bool, len(tt.requests)), make([]time.Duration, len(tt.requests))
				var requests sync.WaitGroup
				for i, at := range tt.requests {
					requests.Go(func() {
						time.Sleep(at)
						sentAt := time.Now()
						c, err := s.ReadChanges(t.Context(), "a", 4)
						answered[i], took[i] = err == nil, time.Since(sentAt)
						if err == nil && c.Revision != 9 {
							t.Errorf("changes up to %d, want 9", c.Revision)
						}
					})
				}
				requests.Wait()
				s.cancel(t)
				if diff := cmp.Diff(tt.want, answered); diff != "" {
					t.Errorf("answered (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.took, took); diff != "" {
					t.Errorf("took (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.calls, store.calls); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// cancel stops the service and waits for its end.
func (s *Service) cancel(t *testing.T) {
	t.Helper()
	if err := s.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	<-s.Done()
}

// TestStaleAnswer guards against an owner that takes the answer of an entry behind its own
// view for the latest state.
func TestStaleAnswer(t *testing.T) {
	tests := []struct {
		name     string
		revision unit.Revision // that the entry reads
		since    unit.Revision
		fails    bool
	}{
		{"later", 9, 8, false},
		{"same", 9, 9, false},
		{"earlier", 9, 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{}
				store.setRevision(tt.revision)
				s := newService(t.Context(), store)
				if err := s.Prepare(t.Context(), "a"); err != nil {
					t.Error(err)
				}
				_, err := s.ReadChanges(t.Context(), "a", tt.since)
				s.cancel(t)
				if diff := cmp.Diff(tt.fails, err != nil); diff != "" {
					t.Errorf("failed with %v (-want +got):\n%s", err, diff)
				}
			})
		})
	}
}

// TestLateRead guards against a call that waits longer than its caller for a read.
func TestLateRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t.Context(), &slowStore{})
		ctx, cancel := context.WithTimeout(t.Context(), storeLatency)
		defer cancel()
		body, err := record.Marshal(request{Since: 3})
		if err != nil {
			t.Error(err)
		}
		began := time.Now()
		_, err = s.handleChanges(ctx, "", body)
		if diff := cmp.Diff(true, errors.Is(err, context.DeadlineExceeded)); diff != "" {
			t.Errorf("failed with %v (-want +got):\n%s", err, diff)
		}
		if diff := cmp.Diff(storeLatency, time.Since(began)); diff != "" {
			t.Errorf("took (-want +got):\n%s", diff)
		}
		s.cancel(t)
	})
}

// TestMessages guards against answers that lose a part of the changes on the way, and
// against those of other releases that end the process or fill its memory.
func TestMessages(t *testing.T) {
	tests := []struct {
		name    string
		changes Changes
	}{
		{"nothing changed", Changes{Revision: 9}},
		{"changes", Changes{Revision: 9, Items: []kv.Item{put("a", "x 1", 8), removed("b", 9)}}},
		{"whole list", Changes{Revision: 9, Complete: true, Items: []kv.Item{put("a", "x 1", 8)}}},
		{"empty list", Changes{Revision: 9, Complete: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := encodeAnswer(tt.changes)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeAnswer(body)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.changes, got); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
	oversized, err := compress([]kv.Item{{Key: "a", Value: make([]byte, maxItemBytes)}})
	if err != nil {
		t.Fatal(err)
	}
	for _, items := range append(malformed.CBOR(), string(oversized)) {
		body, err := record.Marshal(answer{Revision: 9, Items: []byte(items)})
		if err != nil {
			t.Fatal(err)
		}
		if c, err := decodeAnswer(body); err == nil && len(items) > 0 {
			t.Errorf("items %.20q accepted as %+v", items, c)
		}
	}
	for _, text := range malformed.CBOR() {
		_, _ = decodeAnswer([]byte(text)) // must not panic
	}
}
