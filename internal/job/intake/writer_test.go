package intake

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// fakeStore returns err for every transaction and holds the records in items.
type fakeStore struct {
	err   error
	items map[kv.Key]bool
}

// Do implements kv.Doer.
func (f fakeStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	switch {
	case r.Op == kv.OpCommit:
		return kv.Response{Revision: 7}, f.err
	case f.items[r.Key]:
		return kv.Response{Items: []kv.Item{{Key: r.Key, Revision: 5}}}, nil
	}
	return kv.Response{}, kv.ErrNotFound
}

// TestCommit guards against reporting a job as stored because another job of its
// transaction is, and against refusing a job that may have been stored.
func TestCommit(t *testing.T) {
	tests := []struct {
		name  string
		store fakeStore
		want  map[unit.JobID]error // nil if accepted
	}{
		{"written", fakeStore{}, map[unit.JobID]error{"a": nil, "b": nil}},
		{"store unavailable", fakeStore{err: kv.ErrUnavailable}, map[unit.JobID]error{"a": ErrRefused, "b": ErrRefused}},
		{"response lost, both stored", fakeStore{err: kv.ErrUnknown, items: map[kv.Key]bool{"job/a": true, "job/b": true}},
			map[unit.JobID]error{"a": nil, "b": nil}},
		{"response lost, one stored by an earlier submission", fakeStore{err: kv.ErrUnknown, items: map[kv.Key]bool{"job/a": true}},
			map[unit.JobID]error{"a": nil, "b": ErrUnknown}},
		{"response lost, none stored yet", fakeStore{err: kv.ErrUnknown}, map[unit.JobID]error{"a": ErrUnknown, "b": ErrUnknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWriter(kv.Client{Doer: tt.store})
			var batch []*submission
			for _, id := range []unit.JobID{"a", "b"} {
				batch = append(batch, &submission{record: record.Job{Job: graph.Job{ID: id}}, result: make(chan writeResult, 1)})
			}
			w.commit(t.Context(), batch)
			got := map[unit.JobID]error{}
			for _, sub := range batch {
				err := (<-sub.result).err
				for _, kind := range []error{ErrRefused, ErrUnknown} {
					if errors.Is(err, kind) {
						err = kind
					}
				}
				got[sub.record.Job.ID] = err
			}
			if diff := cmp.Diff(tt.want, got, cmp.Comparer(func(a, b error) bool { return a == b })); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// linkStore receives transactions one after the other over one link. One that has not come
// whole within its time has to be sent again.
type linkStore struct {
	bytesPerSecond int
	limit          time.Duration

	mu     sync.Mutex
	freeAt time.Time // when the link has carried all that was sent
}

// Do implements kv.Doer.
func (s *linkStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	size := 0
	for _, p := range r.Txn.Puts {
		size += len(p.Value)
	}
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond))
	took := s.freeAt.Sub(now)
	s.mu.Unlock()
	time.Sleep(min(took, s.limit))
	if took > s.limit {
		return kv.Response{}, kv.ErrUnavailable
	}
	return kv.Response{Revision: 7}, nil
}

// TestBurstOnNarrowLink guards against submissions that are refused because they wait: the
// more there are, the larger their transactions, of which none passes the link in time.
func TestBurstOnNarrowLink(t *testing.T) {
	const jobs = 200
	tests := []struct {
		name           string
		bytesPerSecond int
		spec           int
	}{
		{"wide link", 100 << 20, 1200},
		{"2 Mbit/s", 250_000, 1200},
		{"2 Mbit/s, large specs", 250_000, 20_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newWriter(kv.Client{Doer: &linkStore{bytesPerSecond: tt.bytesPerSecond, limit: 800 * time.Millisecond}})
				var accepted atomic.Int32
				var submissions sync.WaitGroup
				for n := range jobs {
					submissions.Go(func() {
						job := graph.Job{ID: unit.JobID(fmt.Sprint(n)), Spec: strings.Repeat("s", tt.spec)}
						if w.write(ctx, record.Job{Job: job}).err == nil {
							accepted.Add(1)
						}
					})
				}
				synctest.Wait()
				for range maxConcurrentCommits {
					go w.run(ctx)
				}
				submissions.Wait()
				cancel()
				if diff := cmp.Diff(jobs, int(accepted.Load())); diff != "" {
					t.Errorf("submissions accepted (-want +got):\n%s", diff)
				}
			})
		})
	}
}
