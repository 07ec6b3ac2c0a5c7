package owner

import (
	"context"
	"strings"
	"sync"
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

// countingHandler counts what a changeReader has read.
type countingHandler struct{ changes, pages int }

func (h *countingHandler) applyChanges([]kv.Item, unit.Revision, time.Time) { h.changes++ }
func (h *countingHandler) applyPage(listPage)                               { h.pages++ }

// TestReadChanges guards against an overloaded owner that reads all jobs each time a
// read of the changes gets a late answer, and against one that waits for a history that
// is gone.
func TestReadChanges(t *testing.T) {
	timeout := errors.Join(context.DeadlineExceeded, kv.ErrUnavailable)
	tests := []struct {
		name        string
		watchErrors []error // of one read after the other
		want        []kv.Op
		applied     countingHandler
	}{
		{"answered", []error{nil}, []kv.Op{kv.OpWatch}, countingHandler{changes: 1}},
		{"late once", []error{timeout, nil}, []kv.Op{kv.OpWatch, kv.OpWatch}, countingHandler{changes: 1}},
		{"late twice", []error{timeout, timeout}, []kv.Op{kv.OpWatch, kv.OpWatch}, countingHandler{}},
		{"refused", []error{kv.ErrUnavailable}, []kv.Op{kv.OpWatch}, countingHandler{}},
		{"history too long for one answer", []error{kv.ErrOversized}, []kv.Op{kv.OpWatch, kv.OpRange}, countingHandler{pages: 1}},
		{"history gone", []error{kv.ErrCompacted}, []kv.Op{kv.OpWatch, kv.OpRange}, countingHandler{pages: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &scriptedStore{watchErrors: tt.watchErrors}
			sh := &shard{ctx: t.Context(), service: &Service{store: kv.Client{Doer: store}}}
			var applied countingHandler
			r := &changeReader{shard: sh, prefix: record.JobPrefix, handler: &applied, confirmed: &confirmation{}, since: 7}
			for range tt.watchErrors {
				r.read()
			}
			if diff := cmp.Diff(tt.want, store.sent); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.applied, applied, cmp.AllowUnexported(countingHandler{})); diff != "" {
				t.Errorf("applied (-want +got):\n%s", diff)
			}
		})
	}
}

// timedStore answers reads of changes after a latency. The answer to the first one may
// take longer, or never come.
type timedStore struct {
	latency  time.Duration
	first    time.Duration // what the first read takes longer
	silent   bool          // the connection of the first read
	mu       sync.Mutex
	reads    int
	revision unit.Revision
}

func (s *timedStore) Do(ctx context.Context, _ kv.Request) (kv.Response, error) {
	s.mu.Lock()
	s.reads++
	s.revision++
	first, answer := s.reads == 1, kv.Response{Revision: s.revision}
	s.mu.Unlock()
	if first && s.silent {
		<-ctx.Done()
		return kv.Response{}, errors.Join(ctx.Err(), kv.ErrUnavailable)
	}
	if first {
		time.Sleep(s.first)
	}
	time.Sleep(s.latency)
	return answer, nil
}

// ageHandler records the largest age of a view at the time of its confirmation.
type ageHandler struct {
	confirmedAt time.Time // when the last read was sent that was answered
	oldest      time.Duration
}

func (h *ageHandler) applyChanges(_ []kv.Item, _ unit.Revision, sentAt time.Time) {
	h.oldest = max(h.oldest, time.Since(h.confirmedAt))
	if sentAt.After(h.confirmedAt) {
		h.confirmedAt = sentAt
	}
}

func (h *ageHandler) applyPage(listPage) {}

// TestViewAge guards against an owner that acts on a view of the workers that is older
// than two seconds while the store takes long or one connection is silent.
func TestViewAge(t *testing.T) {
	tests := []struct {
		name   string
		store  *timedStore
		oldest time.Duration // at first, while the latency is not known
		later  time.Duration // oldest afterwards
	}{
		{"4 ms", &timedStore{latency: 4 * time.Millisecond}, 320 * time.Millisecond, 320 * time.Millisecond},
		{"240 ms", &timedStore{latency: 240 * time.Millisecond}, 550 * time.Millisecond, 550 * time.Millisecond},
		{"1 s", &timedStore{latency: time.Second}, 1750 * time.Millisecond, 1550 * time.Millisecond},
		{"first answer takes 8 s", &timedStore{latency: 4 * time.Millisecond, first: 8 * time.Second}, 850 * time.Millisecond, 320 * time.Millisecond},
		{"connection silent", &timedStore{latency: 4 * time.Millisecond, silent: true}, 650 * time.Millisecond, 320 * time.Millisecond},
		{"240 ms, connection silent", &timedStore{latency: 240 * time.Millisecond, silent: true}, 850 * time.Millisecond, 550 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sh := newShard(t.Context(), &Service{store: kv.Client{Doer: tt.store}}, ownership.Term{Epoch: 1})
				view := ageHandler{confirmedAt: time.Now()}
				r := &changeReader{shard: sh, handler: &view, confirmed: &confirmation{}, pace: readPace{interval: workerReadInterval}}
				r.start(0)
				for _, limit := range []time.Duration{tt.oldest, tt.later} {
					time.Sleep(10*time.Second + time.Millisecond)
					r.mu.Lock()
					if view.oldest > limit {
						t.Errorf("view was up to %s old, want at most %s", view.oldest, limit)
					}
					view.oldest = 0
					r.mu.Unlock()
				}
				sh.cancel()
				sh.goroutines.Wait()
			})
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
		applied []int           // jobs, at once and after the delay before a retry
		since   []unit.Revision // of the watches
	}{
		{"no page fails", nil, []kv.Key{"", "job/a", "job/b"}, []int{3, 3}, []unit.Revision{7}},
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
				sh.newJobReader().start(7)
				var applied []int
				for range tt.applied {
					synctest.Wait()
					n := 0
					for _, id := range store.jobs {
						if job := sh.state(id); job.Known && job.State == graph.Cancelled {
							n++
						}
					}
					applied = append(applied, n)
					time.Sleep(retryDelay + time.Millisecond)
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
				sh.newWorkerReader().start(tt.since)
				time.Sleep(workerReadInterval + time.Millisecond)
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

// namedFleet has a worker for each key below its prefix, which drains if its item says so.
type namedFleet struct{ *scriptedFleet }

func (f namedFleet) Worker(k kv.Key) unit.InstanceID {
	return unit.InstanceID(strings.TrimPrefix(string(k), string(f.Prefix())))
}

func (f namedFleet) Listing(i kv.Item) (scheduler.Listing, error) {
	room := unit.Resources{Cores: 4000, Memory: 1 << 30}
	return scheduler.Listing{ID: f.Worker(i.Key), Address: "a:1", Service: "orders", Capacity: room, Draining: string(i.Value) == "draining"}, nil
}

// drainedStore lists two workers on a page each. The second page fails once, and then worker
// a drains. Some reads of the changes are refused as too long.
type drainedStore struct {
	refused  []bool // by read of the changes
	draining bool
}

func (s *drainedStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	if r.Op == kv.OpWatch {
		refused := s.refused[0]
		s.refused = s.refused[1:]
		switch {
		case refused:
			return kv.Response{}, kv.ErrOversized
		case !s.draining:
			return kv.Response{Revision: 8}, nil
		}
		return kv.Response{Items: []kv.Item{{Key: "workers/a", Value: []byte("draining"), Revision: 9}}, Revision: 9}, nil
	}
	switch {
	case r.After == "" && s.draining:
		return kv.Response{Items: []kv.Item{{Key: "workers/a", Value: []byte("draining"), Revision: 9}}, Revision: 10, More: true}, nil
	case r.After == "":
		return kv.Response{Items: []kv.Item{{Key: "workers/a", Revision: 5}}, Revision: 8, More: true}, nil
	case !s.draining:
		s.draining = true
		return kv.Response{}, kv.ErrUnavailable
	}
	return kv.Response{Items: []kv.Item{{Key: "workers/b", Revision: 6}}, Revision: 10}, nil
}

// TestStaleList guards against starts on a worker that drains or has left, since a list goes
// on with its first pages of some time ago although later changes have been read meanwhile.
func TestStaleList(t *testing.T) {
	tests := []struct {
		name    string
		refused []bool
		want    map[unit.InstanceID]bool // workers listed, with whether they drain
	}{
		{"list goes on", []bool{true, true}, map[unit.InstanceID]bool{"a": false, "b": false}}, // the next read brings the change
		{"changes read before the list goes on", []bool{true, false, true}, map[unit.InstanceID]bool{"a": true, "b": false}},
		{"changes read after the list", []bool{true, true, false}, map[unit.InstanceID]bool{"a": true, "b": false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{workers: map[unit.InstanceID]*scriptedWorker{}}
				for _, id := range []unit.InstanceID{"a", "b"} {
					f.workers[id] = &scriptedWorker{fleet: f, bornAt: time.Now()}
				}
				s := New(logr.Discard(), namedFleet{f}, nil, Options{})
				s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: &drainedStore{refused: tt.refused}}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				r := sh.newWorkerReader()
				r.since = 7
				for range tt.refused {
					r.read()
				}
				got := map[unit.InstanceID]bool{}
				sh.mu.Lock()
				for id, l := range sh.listings {
					got[id] = l.Draining
				}
				sh.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("workers that drain (-want +got):\n%s", diff)
				}
			})
		})
	}
}
