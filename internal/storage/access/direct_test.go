package access

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// answeringStore answers each call at once.
type answeringStore struct{ calls int }

func (s *answeringStore) Do(context.Context, kv.Request) (kv.Response, error) {
	s.calls++
	return kv.Response{Revision: 7}, nil
}

// TestDoDirect guards against a call for another entry that goes through a third one, or that
// waits for a store which has not answered this entry lately.
func TestDoDirect(t *testing.T) {
	tests := []struct {
		name    string
		failing bool // the store has not answered this entry lately
		calls   int
		want    error
	}{
		{"store answers", false, 1, nil},
		{"store not reached", true, 0, kv.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &answeringStore{}
			s := New(logr.Discard(), store) // without a network to other entries
			s.directFailing, s.nextProbe = tt.failing, time.Now().Add(time.Minute)
			_, err := s.DoDirect(t.Context(), kv.Request{Op: kv.OpWatch, Key: "a/"})
			if !errors.Is(err, tt.want) {
				t.Errorf("failed with %v, want %v", err, tt.want)
			}
			if diff := cmp.Diff(tt.calls, store.calls); diff != "" {
				t.Errorf("calls of the store (-want +got):\n%s", diff)
			}
		})
	}
}
