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
