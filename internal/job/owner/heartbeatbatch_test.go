package owner

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// recordingExchange is an entry that records the calls of a session and answers nothing.
type recordingExchange struct{ batches []HeartbeatBatch }

// ExchangeHeartbeats implements heartbeatRelay.
func (r *recordingExchange) ExchangeHeartbeats(ctx context.Context, _ unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error) {
	r.batches = append(r.batches, b)
	time.Sleep(exchangeSlack)
	return nil, ctx.Err()
}

// TestHeartbeatBatches guards against calls that an entry refuses as too large, heartbeats that
// it may send long after the owner has passed them on, and a session that grows while an entry
// answers nothing.
func TestHeartbeatBatches(t *testing.T) {
	tests := []struct {
		name       string
		heartbeats int
		sizes      []int // of the calls with heartbeats
		refused    int
	}{
		{"one", 1, []int{1}, 0},
		{"two calls", MaxHeartbeatBatch + 1, []int{MaxHeartbeatBatch, 1}, 0},
		{"too many under way", MaxHeartbeatsUnderWay + 3, slices.Repeat([]int{MaxHeartbeatBatch}, MaxHeartbeatsUnderWay/MaxHeartbeatBatch), 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), nil, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				relay := &recordingExchange{}
				s.ownership, s.heartbeatRelay = confirmedOwnership{}, relay
				sh := newSharedShard(t, s, &sharedFleet{}, 0)
				session := newHeartbeatSession(sh, "b")
				c := &workerClient{shard: sh, id: "w", address: "a:1", ctx: sh.ctx}
				refused := 0
				for range tt.heartbeats {
					if _, err := session.enqueue(c, heartbeat{sentAt: time.Now()}); errors.Is(err, errSessionEnded) {
						refused++
					}
				}
				beganAt := time.Now()
				sh.goroutines.Go(func() { _, _ = session.run(sh.ctx) })
				time.Sleep(maxHeartbeatDelay)
				sh.cancel()
				sh.goroutines.Wait()
				var sizes []int
				for i, b := range relay.batches {
					if len(b.Heartbeats) > 0 {
						sizes = append(sizes, len(b.Heartbeats))
					}
					sentAt := beganAt.Add(time.Duration(i) * exchangeSlack)
					if diff := cmp.Diff(HeartbeatBatch{Session: session.id, Call: uint64(i + 1), Fence: 1, Deadline: sentAt.Add(maxHeartbeatDelay), Heartbeats: b.Heartbeats}, b); diff != "" {
						t.Errorf("call %d (-want +got):\n%s", i+1, diff)
					}
				}
				if diff := cmp.Diff(tt.sizes, sizes); diff != "" {
					t.Errorf("heartbeats of the calls (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.refused, refused); diff != "" {
					t.Errorf("heartbeats that the session does not take (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestRelayedIncarnation guards against a heartbeat through another entry that does not name
// the incarnation which it is meant for, and against one that repeats it for nothing.
func TestRelayedIncarnation(t *testing.T) {
	tests := []struct {
		name         string
		incarnations []scheduler.Incarnation // of the heartbeats to a worker
		want         []scheduler.Incarnation
	}{
		{"not known yet", []scheduler.Incarnation{0, 5}, []scheduler.Incarnation{0, 5}},
		{"same", []scheduler.Incarnation{5, 5, 5}, []scheduler.Incarnation{5, 0, 0}},
		{"restarted", []scheduler.Incarnation{5, 6, 6}, []scheduler.Incarnation{5, 6, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			session := newHeartbeatSession(nil, "b")
			c := &workerClient{id: "w", address: "a:1"}
			var got []scheduler.Incarnation
			for _, i := range tt.incarnations {
				if _, err := session.enqueue(c, heartbeat{renewal: scheduler.Renewal{Incarnation: i}}); err != nil {
					t.Fatal(err)
				}
				got = append(got, session.queue[len(session.queue)-1].Incarnation)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("incarnations named (-want +got):\n%s", diff)
			}
		})
	}
}
