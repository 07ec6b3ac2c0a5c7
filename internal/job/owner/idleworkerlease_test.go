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
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// lateWorker is a leaseWorker on a link with a delay.
type lateWorker struct {
	*leaseWorker
	delay time.Duration
}

func (w lateWorker) Heartbeat(ctx context.Context, e unit.Epoch, r scheduler.Renewal, wait time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	sentAt := time.Now()
	report, clock, err := w.leaseWorker.Heartbeat(ctx, e, r, wait)
	time.Sleep(w.delay)
	report.RequestedAt = sentAt
	return report, clock, err
}

type lateFleet struct {
	leaseFleet
	worker lateWorker
}

func (f lateFleet) Connect(unit.InstanceID, string) Worker { return f.worker }

// countingStore counts the writes of the progress.
type countingStore struct {
	*memoryStore
	writes *atomic.Int64
}

func (s countingStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op == kv.OpCommit {
		for _, p := range r.Txn.Puts {
			if p.Key == record.ProgressKey {
				s.writes.Add(1)
			}
		}
	}
	return s.memoryStore.Do(ctx, r)
}

// TestIdleWorkerIsNotSilent guards against a worker without runs that answers each heartbeat
// and still counts as silent, as its report is as old as two heartbeats when the next one
// arrives: the progress is then written for nothing, and the worker takes no starts until
// another write is answered.
func TestIdleWorkerIsNotSilent(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration // of an answer
	}{
		{"5 ms", 5 * time.Millisecond},
		{"60 ms", 60 * time.Millisecond},
		{"200 ms", 200 * time.Millisecond},
		{"400 ms", 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var writes atomic.Int64
				store := &memoryStore{items: map[kv.Key]kv.Item{}}
				store.put(ownership.EpochKey, nil)
				epochRevision := store.revision
				store.put("workers/w1", nil)
				fleet := lateFleet{worker: lateWorker{&leaseWorker{bornAt: time.Now()}, tt.delay}}
				sh := newShard(t.Context(), serviceOver(fleet, countingStore{store, &writes}), ownership.Term{Epoch: 1, EpochRevision: epochRevision})
				go func() {
					defer close(sh.done)
					sh.run()
				}()
				defer func() {
					sh.cancel()
					<-sh.done
				}()
				time.Sleep(10 * time.Second)
				before, withoutLease, looks := writes.Load(), 0, 0
				for range 1200 {
					time.Sleep(50 * time.Millisecond)
					sh.mu.Lock()
					looks++
					if !sh.core.WantsLease("w1") {
						withoutLease++
					}
					sh.mu.Unlock()
				}
				if diff := cmp.Diff(int64(0), writes.Load()-before); diff != "" {
					t.Errorf("writes of the progress in 60 s (-want +got):\n%s", diff)
				}
				if withoutLease > 0 {
					t.Errorf("closed to starts and leases at %d of %d looks", withoutLease, looks)
				}
			})
		})
	}
}
