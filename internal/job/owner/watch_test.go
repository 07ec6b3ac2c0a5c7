package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// scriptedStore answers watches with one error after the other, and lists at once.
type scriptedStore struct {
	watchErrors []error
	sent        []kv.Op
}

func (s *scriptedStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	s.sent = append(s.sent, r.Op)
	if r.Op != kv.OpWatch {
		return kv.Response{Revision: 9}, nil
	}
	err := s.watchErrors[0]
	s.watchErrors = s.watchErrors[1:]
	return kv.Response{Revision: 8}, err
}

// TestWatchOrList guards against an overloaded owner that reads all jobs each time a
// watch gets a late answer, and against one that waits for a history that is gone.
func TestWatchOrList(t *testing.T) {
	timeout := errors.Join(context.DeadlineExceeded, kv.ErrUnavailable)
	tests := []struct {
		name        string
		watchErrors []error
		want        []kv.Op
		listed      bool
	}{
		{"answered", []error{nil}, []kv.Op{kv.OpWatch}, false},
		{"late once", []error{timeout, nil}, []kv.Op{kv.OpWatch, kv.OpWatch}, false},
		{"late twice", []error{timeout, timeout}, []kv.Op{kv.OpWatch, kv.OpWatch, kv.OpRange}, true},
		{"refused", []error{kv.ErrUnavailable}, []kv.Op{kv.OpWatch, kv.OpRange}, true},
		{"history gone", []error{kv.ErrCompacted}, []kv.Op{kv.OpWatch, kv.OpRange}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &scriptedStore{watchErrors: tt.watchErrors}
			sh := &shard{ctx: t.Context(), service: &Service{store: kv.Client{Doer: store}}}
			_, _, listed, err := sh.watchOrList(record.JobPrefix, 7)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, store.sent); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.listed, listed); diff != "" {
				t.Errorf("listed (-want +got):\n%s", diff)
			}
		})
	}
}

// compactedStore has no history for the first watches and lists one job on each page.
// The given pages fail once.
type compactedStore struct {
	jobs    []unit.JobID
	failing map[kv.Key]bool
	listed  []kv.Key
	since   []unit.Revision
}

func (s *compactedStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op == kv.OpWatch {
		s.since = append(s.since, r.Since)
		if r.Since < 9 {
			return kv.Response{}, kv.ErrCompacted
		}
		<-ctx.Done()
		return kv.Response{}, ctx.Err()
	}
	s.listed = append(s.listed, r.After)
	if s.failing[r.After] {
		delete(s.failing, r.After)
		return kv.Response{}, kv.ErrUnavailable
	}
	for i, id := range s.jobs {
		if key := record.JobKey(id); key > r.After {
			value, err := record.Encode(record.Final(&graph.Job{ID: id}, graph.Cancelled))
			item := kv.Item{Key: key, Value: value, Revision: 5}
			return kv.Response{Items: []kv.Item{item}, More: i+1 < len(s.jobs), Revision: unit.Revision(9 + i)}, err
		}
	}
	return kv.Response{Revision: 99}, nil
}

// TestListJobs guards against an owner on a slow link that lists all jobs again from the
// start whenever one page fails, applies none of them and so sees no cancellation.
func TestListJobs(t *testing.T) {
	tests := []struct {
		name    string
		failing map[kv.Key]bool
		listed  []kv.Key
		applied []int           // jobs, after each second
		since   []unit.Revision // of the watches
	}{
		{"no page fails", nil, []kv.Key{"", "job/a", "job/b"}, []int{3, 3}, []unit.Revision{7, 9}},
		{
			"last page fails", map[kv.Key]bool{"job/b": true},
			[]kv.Key{"", "job/a", "job/b", "job/b"}, []int{2, 3}, []unit.Revision{7, 7},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &compactedStore{jobs: []unit.JobID{"a", "b", "c"}, failing: tt.failing}
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: store}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				sh.goroutines.Go(func() { sh.watchJobs(7) })
				var applied []int
				for range tt.applied {
					time.Sleep(jobWatchInterval + time.Millisecond)
					synctest.Wait()
					n := 0
					for _, id := range store.jobs {
						if state, ok := sh.state(id); ok && state == graph.Cancelled {
							n++
						}
					}
					applied = append(applied, n)
				}
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(tt.applied, applied); diff != "" {
					t.Errorf("jobs applied (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.listed, store.listed); diff != "" {
					t.Errorf("pages listed (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.since, store.since); diff != "" {
					t.Errorf("watches since (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// emptiedStore has lost the history of the instance list, which has become empty.
type emptiedStore struct{}

func (emptiedStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	if r.Op == kv.OpWatch && r.Since < 9 {
		return kv.Response{}, kv.ErrCompacted
	}
	return kv.Response{Revision: 9}, nil
}

// TestEmptyInstanceList guards against an owner that goes on with workers that have left,
// since the list that it reads after a broken watch has no items.
func TestEmptyInstanceList(t *testing.T) {
	tests := []struct {
		name   string
		since  unit.Revision
		listed int // workers afterwards
	}{
		{"history gone, list empty", 7, 0},
		{"no change", 9, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{}
				f.workers = map[unit.InstanceID]*scriptedWorker{"w1": {fleet: f, bornAt: time.Now()}}
				s := New(logr.Discard(), f, nil, Options{})
				s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: emptiedStore{}}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				sh.listings["w1"] = scheduler.Listing{ID: "w1", Service: "orders"}
				sh.update(func(c *scheduler.Core, now time.Time) { c.SetWorkers(sh.currentListings(), now) })
				sh.goroutines.Go(func() { sh.watchWorkers(tt.since) })
				time.Sleep(workerWatchInterval + time.Millisecond)
				synctest.Wait()
				sh.mu.Lock()
				listed := sh.core.Stats(time.Now()).Workers
				sh.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(tt.listed, listed); diff != "" {
					t.Errorf("workers listed (-want +got):\n%s", diff)
				}
			})
		})
	}
}
