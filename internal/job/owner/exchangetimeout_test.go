package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// slowExchange is an entry that answers a call of a session after a delay.
type slowExchange struct{ delay time.Duration }

// ExchangeHeartbeats implements heartbeatRelay.
func (r slowExchange) ExchangeHeartbeats(ctx context.Context, _ unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error) {
	if !wait.For(ctx, r.delay) {
		return nil, ctx.Err()
	}
	return []RelayedAnswer{{Number: b.Heartbeats[0].Number}}, nil
}

// TestExchangeTimeout guards against sessions that all end at once while a small link is
// full, so that all heartbeats are sent again on it, and against an entry that falls
// silent and is waited for longer than for a late worker.
func TestExchangeTimeout(t *testing.T) {
	tests := []struct {
		name    string
		link    unit.BitRate
		workers int
		delay   time.Duration
		ended   bool
	}{
		{"answered", 0, 100, responseSlack, false},
		{"late", 0, 100, responseSlack + 200*time.Millisecond, true},
		{"full link", 2_000_000, 200, maxHeartbeatInterval, false},
		{"full link, late", 2_000_000, 200, maxHeartbeatInterval + 200*time.Millisecond, true},
		{"large link, late", 200_000_000, 200, responseSlack + 200*time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &sharedFleet{workers: map[unit.InstanceID]*sharedWorker{}}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}, Link: tt.link})
				s.ownership, s.heartbeatRelay = confirmedOwnership{}, slowExchange{tt.delay}
				sh := newSharedShard(t, s, f, 0)
				sh.heartbeats.setWorkers(tt.workers, time.Now())
				session := newHeartbeatSession(sh, "b")
				sh.goroutines.Go(func() { _, _ = session.run(sh.ctx) })
				_, err := session.exchange(t.Context(), &workerClient{shard: sh, id: "w", ctx: sh.ctx}, heartbeat{sentAt: time.Now()})
				if diff := cmp.Diff(tt.ended, errors.Is(err, errSessionEnded)); diff != "" {
					t.Errorf("session ended, error %v (-want +got):\n%s", err, diff)
				}
				sh.cancel()
				sh.goroutines.Wait()
			})
		})
	}
}
