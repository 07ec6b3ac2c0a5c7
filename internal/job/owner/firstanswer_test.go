package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestLeaseAtFirstAnswer guards against an owner that counts no lease for a worker whose
// clock it does not know yet, although the previous owner may have renewed one: what the next
// owner reads of the lease then ends before the run that was started since.
func TestLeaseAtFirstAnswer(t *testing.T) {
	renewed := withMaxDrift(workerLeaseTTL) + responseSlack
	tests := []struct {
		name    string
		clockOf scheduler.Incarnation // that is known; 0: none
		probe   bool
		want    time.Duration // left of the lease at a hand-over
	}{
		{"clock not known", 0, false, renewed},
		{"clock known", 2, false, renewed},
		{"probe", 2, true, 0},
		{"probe, clock of an earlier incarnation known", 1, true, renewed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), nil, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				s.ownership = confirmedOwnership{}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 2})
				sh.core = scheduler.New(s.options.Limits, 2, time.Now())
				sh.core.SetWorkers([]scheduler.Listing{{ID: "w", Incarnation: 2}}, time.Now())
				c := &workerClient{shard: sh, id: "w", ctx: sh.ctx}
				if tt.clockOf != 0 {
					c.recordClock(1, tt.clockOf)
				}
				h := c.prepareHeartbeat(tt.probe, 0)
				if diff := cmp.Diff(tt.clockOf != 0 && !tt.probe, h.renewal.Until != 0); diff != "" {
					t.Errorf("renews the lease (-want +got):\n%s", diff)
				}
				answer := scheduler.Report{Incarnation: 2, RequestedAt: h.sentAt, Running: []scheduler.RunStatus{{Task: graph.Task{Job: "j"}, Run: 1}}}
				c.recordAnswer(h, answer, 2)
				sh.core.HandleReport("w", answer, time.Now())
				snapshot := sh.core.Snapshot()
				sh.core.AddLeases(&snapshot, true, time.Now())
				want := []scheduler.WorkerLease{{Worker: unit.InstanceID("w"), Incarnation: 2, Left: tt.want}}
				if diff := cmp.Diff(want, snapshot.Leases); diff != "" {
					t.Errorf("leases (-want +got):\n%s", diff)
				}
			})
		})
	}
}
