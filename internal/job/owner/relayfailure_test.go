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
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// losingRelay is an entry that answers all starts and the first calls of each session.
type losingRelay struct {
	answered uint64 // calls of each session that are answered
	err      error  // of the call after them
	sessions int    // that have begun
}

// SendStarts implements startRelay.
func (r *losingRelay) SendStarts(context.Context, unit.EntryID, StartBatch) ([]scheduler.Outcome, error) {
	return nil, nil
}

// ExchangeHeartbeats implements heartbeatRelay.
func (r *losingRelay) ExchangeHeartbeats(_ context.Context, _ unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error) {
	if b.Call == 1 {
		r.sessions++
	}
	if b.Call > r.answered {
		return nil, r.err
	}
	answers := make([]RelayedAnswer, len(b.Heartbeats))
	for i, h := range b.Heartbeats {
		answers[i].Number = h.Number
	}
	return answers, nil
}

// TestRelayFailure guards against starts that are queued at an entry whose heartbeats have
// shown that it does not answer, and against an entry that has answered many heartbeats and
// is left out for as long as one that never does.
func TestRelayFailure(t *testing.T) {
	const (
		interval = 100 * time.Millisecond // of heartbeats
		duration = time.Minute
	)
	tests := []struct {
		name        string
		relay       losingRelay
		reachable   bool // after the failure
		least, most int  // sessions in the duration
	}{
		// The eleventh heartbeat of a session fails after 1 s, and a pause of 1 s follows, so
		// that a round takes 2 s, or an interval longer.
		{"call without an answer", losingRelay{answered: 10, err: mesh.ErrUnknown}, false, 60 * 10 / 21, 60/2 + 1},
		// The pauses are 1, 4, 16 and 30 s long.
		{"no answer to the first call", losingRelay{err: mesh.ErrUnknown}, false, 4, 5},
		{"entry of an earlier release", losingRelay{err: &mesh.FaultError{Text: "no handler"}}, true, 2, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), nil, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				s.ownership, s.relay, s.heartbeatRelay = confirmedOwnership{}, &tt.relay, &tt.relay
				sh := newSharedShard(t, s, &sharedFleet{}, 0)
				c := &workerClient{shard: sh, id: "w", ctx: sh.ctx}
				r := newRelayClient(sh, "b")
				failed := false
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
					synctest.Wait()
					session := r.session.Load()
					if session == nil {
						continue
					}
					if _, err := session.exchange(t.Context(), c, heartbeat{sentAt: time.Now()}); err != nil && !failed {
						failed = true
						synctest.Wait()
						if diff := cmp.Diff(tt.reachable, r.reachable.Load()); diff != "" {
							t.Errorf("reachable after a failure (-want +got):\n%s", diff)
						}
					}
				}
				sh.cancel()
				sh.goroutines.Wait()
				if n := tt.relay.sessions; n < tt.least || n > tt.most {
					t.Errorf("%d sessions, want %d to %d", n, tt.least, tt.most)
				}
			})
		})
	}
}
