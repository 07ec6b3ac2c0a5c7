package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// removalStore counts the records that are removed and the transactions.
type removalStore struct{ removed, calls int }

func (s *removalStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	s.removed += len(r.Txn.Removes)
	s.calls++
	return kv.Response{}, nil
}

// TestRemovalKeepsUp guards against records of ended jobs, and an owner's memory, that grow
// without end where more jobs end than are removed.
func TestRemovalKeepsUp(t *testing.T) {
	tests := []struct {
		name     string
		rate     int // of jobs that end, each second
		duration time.Duration
		maxCalls int // a billed write each
	}{
		{"no job", 0, time.Minute, 0},
		{"jobs of a small fleet", 13, 2 * time.Minute, 2 * 60},
		{"jobs of a large fleet", 65, 2 * time.Minute, 4 * 2 * 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &removalStore{}
				ctx, cancel := context.WithCancel(t.Context())
				sh := &shard{
					service: &Service{store: kv.Client{Doer: store}}, log: logr.Discard(), ctx: ctx,
					core: scheduler.New(scheduler.Limits{}, 1, time.Now()), jobRevisions: map[unit.JobID]unit.Revision{},
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					sh.removeEndedJobs()
				}()
				ended := 0
				for range tt.duration / time.Second {
					sh.mu.Lock()
					for range tt.rate {
						ended++
						sh.core.AddJob(&graph.Job{ID: unit.JobID(fmt.Sprint(ended))}, graph.Completed, true, time.Now())
					}
					sh.mu.Unlock()
					time.Sleep(time.Second)
				}
				time.Sleep(2 * removalInterval)
				cancel()
				<-done
				if diff := cmp.Diff(ended, store.removed); diff != "" {
					t.Errorf("removed records (-want +got):\n%s", diff)
				}
				if store.calls > tt.maxCalls {
					t.Errorf("%d transactions, want at most %d", store.calls, tt.maxCalls)
				}
			})
		})
	}
}
