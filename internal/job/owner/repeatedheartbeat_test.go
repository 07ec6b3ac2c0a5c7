package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// heldHeartbeat is what a recordingHeartbeats has got.
type heldHeartbeat struct {
	Renewal scheduler.Renewal
	Wait    time.Duration
}

// recordingHeartbeats is a worker that records its heartbeats.
type recordingHeartbeats struct {
	Worker
	got []heldHeartbeat
}

// Heartbeat implements Worker.
func (w *recordingHeartbeats) Heartbeat(_ context.Context, _ unit.Epoch, r scheduler.Renewal, d time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	w.got = append(w.got, heldHeartbeat{r, d})
	return scheduler.Report{Incarnation: 1, RequestedAt: time.Now()}, 1, nil
}

// TestRepeatedHeartbeat guards against a heartbeat that is sent again long after it was
// prepared: the worker may have restarted since, so that it would drop ends that the owner
// has not read, and hold the longest lease.
func TestRepeatedHeartbeat(t *testing.T) {
	renewal := scheduler.Renewal{Incarnation: 1, Until: 7000, Acked: 57}
	tests := []struct {
		name string
		ends time.Duration // when the session ends after the heartbeat was prepared
		want heldHeartbeat
	}{
		{"soon", 100 * time.Millisecond, heldHeartbeat{renewal, 300 * time.Millisecond}},
		{"late", maxHeartbeatDelay + time.Millisecond, heldHeartbeat{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &sharedFleet{workers: map[unit.InstanceID]*sharedWorker{}}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				s.ownership = confirmedOwnership{}
				sh := newSharedShard(t, s, f, 0)
				worker := &recordingHeartbeats{}
				c := &workerClient{shard: sh, id: "w", worker: worker, ctx: sh.ctx}
				session := newHeartbeatSession(sh, "b")
				time.AfterFunc(tt.ends, session.end)
				if _, err := c.exchange(heartbeat{renewal: renewal, wait: 400 * time.Millisecond, sentAt: time.Now(), via: session}); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff([]heldHeartbeat{tt.want}, worker.got); diff != "" {
					t.Errorf("heartbeats of the worker (-want +got):\n%s", diff)
				}
				sh.cancel()
				sh.goroutines.Wait()
			})
		})
	}
}
