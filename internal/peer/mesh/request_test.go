package mesh

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
)

// TestLargeRequests guards against large requests of peers that are all held in memory at
// once, against small ones that wait for them, and against room that is not given back.
func TestLargeRequests(t *testing.T) {
	tests := []struct {
		name     string
		handled  int // large requests that are being handled
		released int // of these, before the request arrives
		size     int
		read     bool
	}{
		{"large", maxLargeRequests - 1, 0, MaxMessage, true},
		{"one too many", maxLargeRequests, 0, smallRequest, false},
		{"after another one", maxLargeRequests, 1, smallRequest, true},
		{"small", maxLargeRequests, 0, smallRequest - 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), handleTimeout)
				defer cancel()
				s := New(logr.Discard(), "", [2]int{})
				for n := range tt.handled {
					_, release, err := s.readRequest(ctx, bytes.NewReader(make([]byte, smallRequest)))
					if err != nil {
						t.Fatal(err)
					}
					if n < tt.released {
						release()
					}
				}
				began := time.Now()
				message, release, err := s.readRequest(ctx, bytes.NewReader(make([]byte, tt.size)))
				release()
				if diff := cmp.Diff(tt.read, err == nil && len(message) == tt.size); diff != "" {
					t.Errorf("read %d bytes, error %v (-want +got):\n%s", len(message), err, diff)
				}
				if waited := time.Since(began) > 0; waited == tt.read {
					t.Errorf("waited: %v", waited)
				}
			})
		})
	}
}
