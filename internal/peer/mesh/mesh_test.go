package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var errRefused = errors.New("refused")

// TestHandlerFault guards against a call of another entry whose handling ends the process,
// or the connection that carries other calls.
func TestHandlerFault(t *testing.T) {
	tests := []struct {
		name    string
		handler Handler
		fault   string // that the caller is told of; empty for an answer
	}{
		{"answer", func(_ context.Context, _ Fingerprint, request []byte) ([]byte, error) { return request, nil }, ""},
		{"error", func(context.Context, Fingerprint, []byte) ([]byte, error) { return nil, errRefused }, "refused"},
		{"panic", func(_ context.Context, _ Fingerprint, request []byte) ([]byte, error) { return request[100:], nil }, "fault in the handler"},
	}
	caller, callee := startPair(t)
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			callee.Handle(Kind(n), tt.handler)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for range 2 { // the second call uses the same connection
				answer, err := caller.Call(ctx, "b", Kind(n), []byte("x"))
				var fault string
				if failure, ok := errors.Into[*FaultError](err); ok {
					fault = failure.Text
				} else if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tt.fault, fault); diff != "" {
					t.Errorf("fault (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.fault == "", string(answer) == "x"); diff != "" {
					t.Errorf("answered %q (-want +got):\n%s", answer, diff)
				}
			}
		})
	}
}

// startPair starts two services on loopback that know each other.
func startPair(t *testing.T) (caller, callee *Service) {
	t.Helper()
	caller, callee = New(logr.Discard(), "127.0.0.1", [2]int{0, 0}), New(logr.Discard(), "127.0.0.1", [2]int{0, 0})
	for _, s := range []*Service{caller, callee} {
		if err := s.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := s.Stop(context.Background()); err != nil {
				t.Error(err)
			}
			<-s.Done()
		})
	}
	peers := map[unit.EntryID]Peer{"a": caller.Self(), "b": callee.Self()}
	caller.SetPeers(peers)
	callee.SetPeers(peers)
	return caller, callee
}
