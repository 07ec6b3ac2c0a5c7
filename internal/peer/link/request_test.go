package link

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// TestLargeMessages guards against large messages of peers that are all held in memory at once,
// against small ones that wait for them, and against room that is not given back.
func TestLargeMessages(t *testing.T) {
	push := func(size int) []byte {
		frame, err := message.Encode(message.Push{Revision: spec.Revision{Author: "a", Operation: unit.OperationID(strings.Repeat("x", size))}})
		if err != nil {
			t.Fatal(err)
		}
		return frame
	}
	tests := []struct {
		name     string
		handled  int // large messages that are being handled
		released int // of these, before the message arrives
		size     int
		read     bool
	}{
		{"large", maxLargeMessages - 1, 0, 1 << 20, true},
		{"one too many", maxLargeMessages, 0, smallMessage, false},
		{"after another one", maxLargeMessages, 1, smallMessage, true},
		{"small", maxLargeMessages, 0, smallMessage / 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), handleTimeout)
				defer cancel()
				s := New(logr.Discard(), Options{})
				for n := range tt.handled {
					_, _, release, err := s.read(ctx, bytes.NewReader(push(smallMessage)))
					if err != nil {
						t.Fatal(err)
					}
					if n < tt.released {
						release()
					}
				}
				began := time.Now()
				_, _, release, err := s.read(ctx, bytes.NewReader(push(tt.size)))
				release()
				if diff := cmp.Diff(tt.read, err == nil); diff != "" {
					t.Errorf("read, error %v (-want +got):\n%s", err, diff)
				}
				if waited := time.Since(began) > 0; waited == tt.read {
					t.Errorf("waited: %v", waited)
				}
			})
		})
	}
}
