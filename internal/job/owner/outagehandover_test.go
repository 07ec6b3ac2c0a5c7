package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// interruptedStore answers nobody while it is down. A commit that it gets just then has no
// known outcome.
type interruptedStore struct {
	*memoryStore
	down       atomic.Bool
	downAt     kv.Key // a commit that writes it takes the store down
	downFor    time.Duration
	interrupts int // that are left
}

func (s *interruptedStore) Outage() bool { return s.down.Load() }

func (s *interruptedStore) setDown(d time.Duration) {
	s.down.Store(true)
	time.AfterFunc(d, func() { s.down.Store(false) })
}

func (s *interruptedStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if s.down.Load() {
		return kv.Response{}, kv.ErrUnavailable
	}
	for _, p := range r.Txn.Puts {
		if p.Key != s.downAt || s.interrupts == 0 {
			continue
		}
		if progress, err := record.DecodeProgress(p.Value); err == nil && progress.HandedOver {
			s.interrupts--
			s.setDown(s.downFor)
			return kv.Response{}, kv.ErrUnknown
		}
	}
	return s.memoryStore.Do(ctx, r)
}

// TestHandOverAwaitsStore guards against a hand-over that is given up because the store
// answers nobody for longer than one attempt takes, against an owner that starts nothing while
// it waits for the store, and against one that waits on after another entry has claimed the shard.
func TestHandOverAwaitsStore(t *testing.T) {
	const handOverTime = 4 * time.Second
	type result struct{ HandedOver, StartedMeanwhile bool }
	tests := []struct {
		name       string
		outage     time.Duration // from 1 s before the hand-over on
		interrupts int           // outages of 2 s that begin during the hand-over
		claimAfter time.Duration // until another entry claims the shard; 0: none does
		took       time.Duration // at most
		want       result
	}{
		{"store answers", 0, 0, 0, 0, result{HandedOver: true}},
		{"outage", 3 * time.Second, 0, 0, 2100 * time.Millisecond, result{HandedOver: true, StartedMeanwhile: true}},
		{"outage begins during the hand-over", 0, 1, 0, 2200 * time.Millisecond, result{HandedOver: true}},
		{"outage, and another one", 2 * time.Second, 1, 0, 3300 * time.Millisecond, result{HandedOver: true, StartedMeanwhile: true}},
		{"outage does not end", time.Minute, 0, 0, handOverTime, result{StartedMeanwhile: true}},
		{"another entry claims", time.Minute, 0, time.Second, 1100 * time.Millisecond, result{StartedMeanwhile: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &interruptedStore{
					memoryStore: &memoryStore{items: map[kv.Key]kv.Item{}},
					downAt:      record.ProgressKey, downFor: 2 * time.Second, interrupts: tt.interrupts,
				}
				store.put("workers/w1", nil)
				store.put(ownership.EpochKey, nil)
				worker := &leaseWorker{bornAt: time.Now()}
				s := serviceOver(leaseFleet{workers: map[unit.InstanceID]*leaseWorker{"w1": worker}}, store)
				s.outage = store
				end := s.startTerm(t.Context(), ownership.Term{Epoch: 1, EpochRevision: store.revision})
				defer end()
				time.Sleep(5 * time.Second)
				if tt.outage > 0 {
					store.setDown(tt.outage)
				}
				time.Sleep(time.Second)
				time.AfterFunc(200*time.Millisecond, func() {
					job := record.Job{Format: record.Format, Job: graph.Job{
						ID: "j", Accepted: time.Now(), Queue: graph.Queue{ID: "sync", Service: "orders", MaxAttempts: 2},
						Steps: []graph.Step{{Count: 1, LongRunning: true, Needs: unit.Resources{Cores: 1000}, Estimate: time.Second}},
					}}
					_ = s.Accept(t.Context(), []SubmittedJob{{Record: job, Revision: 1000, Created: 1000}}) // fails once the term has ended
				})
				if tt.claimAfter > 0 {
					time.AfterFunc(tt.claimAfter, s.ofTerm.cancel)
				}
				ctx, cancel := context.WithTimeout(t.Context(), handOverTime)
				defer cancel()
				began := time.Now()
				s.HandOver(ctx)
				if diff := cmp.Diff(true, time.Since(began) <= tt.took); diff != "" {
					t.Errorf("took %s (-want +got):\n%s", time.Since(began), diff)
				}
				store.down.Store(false)
				var got result
				_, got.StartedMeanwhile = worker.lastStart()
				if item, ok := store.items[record.ProgressKey]; ok {
					progress, err := record.DecodeProgress(item.Value)
					if err != nil {
						t.Fatal(err)
					}
					got.HandedOver = progress.HandedOver
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("hand-over (-want +got):\n%s", diff)
				}
			})
		})
	}
}
