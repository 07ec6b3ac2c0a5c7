package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// slowCommits executes each commit after a delay. While it is down it executes none, and gives
// no answer.
type slowCommits struct {
	*memoryStore
	commitTime          time.Duration
	downFrom, downUntil time.Time
}

func (s slowCommits) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op == kv.OpCommit {
		if now := time.Now(); now.After(s.downFrom) && now.Before(s.downUntil) {
			time.Sleep(800 * time.Millisecond)
			return kv.Response{}, kv.ErrUnknown
		}
		time.Sleep(s.commitTime)
	}
	return s.memoryStore.Do(ctx, r)
}

// cutWorker is a leaseWorker that is cut off for some time and then answers again.
type cutWorker struct {
	*leaseWorker
	cutMu    sync.Mutex
	cutUntil time.Time
}

func (w *cutWorker) cut(d time.Duration) {
	w.cutMu.Lock()
	defer w.cutMu.Unlock()
	w.cutUntil = time.Now().Add(d)
}

func (w *cutWorker) Heartbeat(ctx context.Context, e unit.Epoch, r scheduler.Renewal, wait time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	w.cutMu.Lock()
	held := time.Until(w.cutUntil)
	w.cutMu.Unlock()
	if held > 0 {
		select {
		case <-ctx.Done():
			return scheduler.Report{}, 0, ctx.Err()
		case <-time.After(held):
		}
	}
	return w.leaseWorker.Heartbeat(ctx, e, r, wait)
}

// cutFleet has one worker.
type cutFleet struct {
	leaseFleet
	worker *cutWorker
}

func (f cutFleet) Connect(unit.InstanceID, string) Worker { return f.worker }

// TestLeaseOfReturningWorker guards against tasks that lapse on a worker that answers again
// well before its lease ends: the owner, whose term goes on, does not extend the lease as
// long as no write of the progress without the worker has been answered.
func TestLeaseOfReturningWorker(t *testing.T) {
	const (
		cut    = 3 * time.Second
		outage = 20 * time.Second
	)
	tests := []struct {
		name       string
		commitTime time.Duration
		downFrom   time.Duration // after the begin of the cut, for the length of an outage; 0: never
	}{
		{"store answers in 4 ms", 4 * time.Millisecond, 0},
		{"store answers in 240 ms", 240 * time.Millisecond, 0},
		{"writes take 1 s", time.Second, 0},
		{"writes take 2 s", 2 * time.Second, 0},
		{"store is down from before the worker counts as silent", 4 * time.Millisecond, 2 * time.Second},
		{"store is down from when the worker is back", 4 * time.Millisecond, cut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &memoryStore{items: map[kv.Key]kv.Item{}}
				store.put(ownership.EpochKey, nil)
				epochRevision := store.revision
				store.put("workers/w1", nil)
				job, err := record.Encode(record.Job{Format: record.Format, Job: graph.Job{
					ID: "j", Accepted: time.Now(), Queue: graph.Queue{ID: "sync", Service: "orders", MaxAttempts: 2},
					Steps: []graph.Step{{Count: 1, LongRunning: true, Needs: unit.Resources{Cores: 1000}, Estimate: time.Second}},
				}})
				if err != nil {
					t.Fatal(err)
				}
				store.put(record.JobKey("j"), job)
				w := &cutWorker{leaseWorker: &leaseWorker{bornAt: time.Now()}}
				cutAt := time.Now().Add(10 * time.Second)
				slow := slowCommits{memoryStore: store, commitTime: tt.commitTime}
				if tt.downFrom > 0 {
					slow.downFrom = cutAt.Add(tt.downFrom)
					slow.downUntil = slow.downFrom.Add(outage)
				}
				sh := newShard(t.Context(), serviceOver(cutFleet{worker: w}, slow), ownership.Term{Epoch: 1, EpochRevision: epochRevision})
				go func() {
					defer close(sh.done)
					sh.run()
				}()
				defer func() {
					sh.cancel()
					<-sh.done
				}()
				time.Sleep(time.Until(cutAt))
				if _, started := w.lastStart(); !started {
					t.Fatal("the task was not started")
				}
				w.cut(cut)
				for time.Since(cutAt) < 20*time.Second {
					time.Sleep(50 * time.Millisecond)
					w.mu.Lock()
					left := time.Duration(w.lease - w.clock())
					w.mu.Unlock()
					if left <= 0 {
						t.Fatalf("the lease lapsed %s after the cut had begun, %s after the worker answered again", time.Since(cutAt), time.Since(cutAt)-cut)
					}
				}
			})
		})
	}
}
