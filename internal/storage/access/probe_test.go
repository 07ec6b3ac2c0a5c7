package access

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// silentStore answers nothing until a time, and then everything.
type silentStore struct {
	mu    sync.Mutex
	until time.Time
	sent  map[kv.Op]int
}

func (s *silentStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	s.mu.Lock()
	s.sent[r.Op]++
	silent := time.Now().Before(s.until)
	s.mu.Unlock()
	if silent {
		return hungStore{}.Do(ctx, r)
	}
	return kv.Response{Revision: 7}, nil
}

// TestTransactionsInOutage guards against submissions whose outcome is unknown because they
// were sent to a store that was known not to answer: their callers may not repeat them. It also
// guards against submissions that are rejected although the store has come back.
func TestTransactionsInOutage(t *testing.T) {
	const silence = 4 * time.Second
	tests := []struct {
		name    string
		at      time.Duration // of the transaction, after the store fell silent
		want    error         // nil: executed
		unknown bool
	}{
		{"first call", 0, kv.ErrUnknown, true},
		{"outage is known", 2500 * time.Millisecond, kv.ErrUnavailable, false},
		{"a second later", 3500 * time.Millisecond, kv.ErrUnavailable, false},
		{"store is back", silence + outageProbeInterval + probeTimeout, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &silentStore{until: time.Now().Add(silence), sent: map[kv.Op]int{}}
				s := New(logr.Discard(), store)
				s.peers = hungNetwork{}
				s.Begin(t.Context(), s.probeOutages)
				if tt.at > 0 {
					go func() { _, _ = s.Do(t.Context(), kv.Request{Op: kv.OpRenew, Lease: 7}) }()
				}
				time.Sleep(tt.at)
				_, err := s.Do(t.Context(), kv.Request{Op: kv.OpCommit})
				if !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				if diff := cmp.Diff(tt.unknown, errors.Is(err, kv.ErrUnknown)); diff != "" {
					t.Errorf("outcome unknown (-want +got):\n%s", diff)
				}
				_ = s.Tasks.Stop(t.Context()) // returns nil
				<-s.Done()
			})
		})
	}
}
