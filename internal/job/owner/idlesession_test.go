package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// droppingRelay is an entry that answers heartbeats at once and drops a session that was
// not used for SessionIdleTimeout.
type droppingRelay struct {
	session SessionID
	usedAt  time.Time
}

// SendStarts implements startRelay.
func (*droppingRelay) SendStarts(context.Context, unit.EntryID, StartBatch) ([]scheduler.Outcome, error) {
	return nil, nil
}

// ExchangeHeartbeats implements heartbeatRelay.
func (r *droppingRelay) ExchangeHeartbeats(_ context.Context, _ unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error) {
	if b.Call > 1 && (b.Session != r.session || time.Since(r.usedAt) > SessionIdleTimeout) {
		return nil, &mesh.FaultError{Text: "session is not known"}
	}
	r.session, r.usedAt = b.Session, time.Now()
	answers := make([]RelayedAnswer, len(b.Heartbeats))
	for i, h := range b.Heartbeats {
		answers[i].Number = h.Number
	}
	return answers, nil
}

// TestIdleSession guards against an entry that gets no heartbeats for a long time because
// it has dropped a session that was idle.
func TestIdleSession(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration
	}{
		{"short", time.Second},
		{"as the entry drops it", SessionIdleTimeout},
		{"long", time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &sharedFleet{workers: map[unit.InstanceID]*sharedWorker{}}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				relay := &droppingRelay{}
				s.ownership, s.relay, s.heartbeatRelay = confirmedOwnership{}, relay, relay
				sh := newSharedShard(t, s, f, 0)
				c := &workerClient{shard: sh, id: "w", ctx: sh.ctx}
				r := newRelayClient(sh, "b")
				for range 2 {
					synctest.Wait()
					session := r.session.Load()
					if session == nil {
						t.Fatal("no heartbeats go through the entry")
					}
					if _, err := session.exchange(t.Context(), c, heartbeat{sentAt: time.Now()}); err != nil {
						t.Fatal(err)
					}
					time.Sleep(tt.idle + time.Millisecond)
				}
				sh.cancel()
				sh.goroutines.Wait()
			})
		})
	}
}
