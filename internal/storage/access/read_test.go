package access

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// slowStore sends its answer in parts.
type slowStore struct {
	pauses []time.Duration // before each part
}

func (s slowStore) Do(ctx context.Context, _ kv.Request) (kv.Response, error) {
	for _, pause := range s.pauses {
		select {
		case <-ctx.Done():
			return kv.Response{}, errors.Errorf("read: %w", errors.Join(ctx.Err(), kv.ErrUnavailable))
		case <-time.After(pause):
			kv.ReportProgress(ctx)
		}
	}
	return kv.Response{}, nil
}

// TestSlowRead guards against a page of a list that a slow link never delivers because
// its transfer takes longer than the store may stay silent, and against a longer wait
// for a silent connection.
func TestSlowRead(t *testing.T) {
	const part = callTimeout * 3 / 4
	parts := func(n int) (pauses []time.Duration) {
		for range n {
			pauses = append(pauses, part)
		}
		return pauses
	}
	tests := []struct {
		name    string
		request kv.Request
		pauses  []time.Duration
		took    time.Duration
		want    error
	}{
		{"list arrives in parts", kv.Request{Op: kv.OpRange}, parts(5), 5 * part, nil},
		{"watch arrives in parts", kv.Request{Op: kv.OpWatch, Wait: time.Second}, parts(5), 5 * part, nil},
		{"list is silent", kv.Request{Op: kv.OpRange}, []time.Duration{time.Hour}, callTimeout, context.DeadlineExceeded},
		{"watch is silent", kv.Request{Op: kv.OpWatch, Wait: time.Second}, []time.Duration{time.Hour}, time.Second + watchGrace, context.DeadlineExceeded},
		{"list goes silent", kv.Request{Op: kv.OpRange}, []time.Duration{part, time.Hour}, part + callTimeout, context.DeadlineExceeded},
		{"list has no end", kv.Request{Op: kv.OpRange}, parts(100), callTimeout + maxReadDuration, context.DeadlineExceeded},
		{"write is slow", kv.Request{Op: kv.OpCommit}, parts(5), callTimeout, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), slowStore{tt.pauses})
				started := time.Now()
				_, err := s.callDirect(t.Context(), tt.request)
				if !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				if diff := cmp.Diff(tt.took, time.Since(started)); diff != "" {
					t.Errorf("took (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// lateStore answers each call after a latency, and then in one part.
type lateStore struct {
	latency time.Duration
	calls   int
}

func (s *lateStore) Do(ctx context.Context, _ kv.Request) (kv.Response, error) {
	s.calls++
	select {
	case <-ctx.Done():
		return kv.Response{}, errors.Errorf("late: %w", errors.Join(ctx.Err(), kv.ErrUnavailable))
	case <-time.After(s.latency):
		kv.ReportProgress(ctx)
		return kv.Response{}, nil
	}
}

// TestLateStore guards against an entry on a full link that gives each call up shortly
// before its answer arrives and sends it again, which makes the link fuller, and against a
// longer wait for a silent connection while the store answers fast.
func TestLateStore(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		op        kv.Op
		latencies []time.Duration // of one call after the other
		calls     int             // sent directly
		timeout   time.Duration   // of the next call
	}{
		{"fast", kv.OpWatch, []time.Duration{4 * ms, 240 * ms, 4 * ms}, 3, callTimeout},
		{"reads become late", kv.OpWatch, []time.Duration{300 * ms, 500 * ms, 700 * ms, 900 * ms, 1100 * ms}, 5, maxCallTimeout},
		{"writes become late", kv.OpCommit, []time.Duration{300 * ms, 500 * ms, 700 * ms, 900 * ms, 1100 * ms}, 5, maxCallTimeout},
		{"fast again", kv.OpWatch, []time.Duration{700 * ms, 1000 * ms, 4 * ms, 4 * ms}, 4, callTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, peers := &lateStore{}, &countingNetwork{}
				s := New(logr.Discard(), store)
				s.peers = peers
				for _, store.latency = range tt.latencies {
					if _, err := s.Do(t.Context(), kv.Request{Op: tt.op}); err != nil {
						t.Errorf("answer after %s: %v", store.latency, err)
					}
				}
				if diff := cmp.Diff([]int{tt.calls, 0}, []int{store.calls, peers.calls}); diff != "" {
					t.Errorf("direct and relayed calls (-want +got):\n%s", diff)
				}
				store.latency = time.Hour
				started := time.Now()
				_, _ = s.callDirect(t.Context(), kv.Request{Op: tt.op})
				if diff := cmp.Diff(tt.timeout, time.Since(started)); diff != "" {
					t.Errorf("silent call took (-want +got):\n%s", diff)
				}
			})
		})
	}
}
