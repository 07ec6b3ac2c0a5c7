package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// conflictingStore rejects each commit with the given state of the guarded items. It
// cancels the caller's context after commitLimit, so that a loop without a pause ends.
type conflictingStore struct {
	items   []kv.Item
	commits int
	cancel  context.CancelFunc
}

const commitLimit = 100

func (s *conflictingStore) Do(context.Context, kv.Request) (kv.Response, error) {
	if s.commits++; s.commits == commitLimit {
		s.cancel()
	}
	return kv.Response{}, &kv.ConflictError{Items: s.items}
}

// TestHandOverConflict guards against a hand-over that repeats a write in a loop without
// a pause: after another entry has claimed the shard, or while nothing that the store
// returns tells why the guards do not hold.
func TestHandOverConflict(t *testing.T) {
	const handOverTime = time.Second
	tests := []struct {
		name       string
		items      []kv.Item
		maxCommits int
	}{
		{"claimed by another entry", []kv.Item{{Key: ownership.EpochKey, Revision: 8}}, 1},
		{"record of the epoch is gone", []kv.Item{{Key: ownership.EpochKey}}, int(handOverTime/retryDelay) + 1},
		{"cause unknown", []kv.Item{{Key: ownership.EpochKey, Revision: 7}}, int(handOverTime/retryDelay) + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), handOverTime)
				defer cancel()
				store := &conflictingStore{items: tt.items, cancel: cancel}
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: store}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1, EpochRevision: unit.Revision(7)})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				sh.handOver(ctx)
				if store.commits > tt.maxCommits {
					t.Errorf("%d commits, want at most %d", store.commits, tt.maxCommits)
				}
			})
		})
	}
}
