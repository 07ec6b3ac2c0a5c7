package owner

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// staleOwnership is an ownership whose view is too old for orders until a given time.
type staleOwnership struct {
	confirmedOwnership
	until time.Time
}

func (o staleOwnership) MayOrder(now time.Time) bool { return !now.Before(o.until) }

// TestPlacementNeedsOwnership guards against starts that are placed, refused for want of
// a recent view of the ownership and placed again at each tick, which uses up run
// numbers and processor time.
func TestPlacementNeedsOwnership(t *testing.T) {
	tests := []struct {
		name  string
		stale time.Duration
		runs  int
	}{
		{"view is recent", 0, 1},
		{"view is stale", time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
			s.ownership = staleOwnership{until: time.Now().Add(tt.stale)}
			sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
			defer sh.cancel()
			sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
			sh.update(func(c *scheduler.Core, now time.Time) {
				c.SetWorkers([]scheduler.Listing{{ID: "w1", Service: "orders", Incarnation: 1, Capacity: unit.Resources{Cores: 64000}}}, now)
				c.ConfirmSnapshot(c.Snapshot())
				c.HandleReport("w1", scheduler.Report{Incarnation: 1, RequestedAt: now}, now)
				c.AddJob(&graph.Job{ID: "j", Queue: graph.Queue{Service: "orders", MaxAttempts: 1}, Steps: []graph.Step{{Count: 1}}}, 0, true, now)
				c.Tick(now)
			})
			if diff := cmp.Diff(tt.runs, sh.core.Stats(time.Now()).Runs); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
