package mesh

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
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

// TestLateCall guards against a call without an answer in time that closes the connection
// under other calls: each of them then fails too, and costs a handshake.
func TestLateCall(t *testing.T) {
	const late, answered = Kind(1), Kind(2)
	tests := []struct {
		name     string
		delay    time.Duration // of the answers to the other calls
		timeout  time.Duration // of the late call
		wantConn bool          // that the connection stays open
	}{
		{"others are answered meanwhile", 20 * time.Millisecond, 300 * time.Millisecond, true},
		{"no other answer", time.Minute, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller, callee := startPair(t)
			callee.Handle(late, func(ctx context.Context, _ Fingerprint, _ []byte) ([]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
			callee.Handle(answered, func(ctx context.Context, _ Fingerprint, request []byte) ([]byte, error) {
				wait.For(ctx, tt.delay)
				return request, nil
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if _, err := caller.Call(ctx, "b", Kind(3), nil); err == nil { // connects
				t.Fatal("a call without a handler was answered")
			}
			conn := caller.peers["b"].conn
			lateCtx, cancelLate := context.WithTimeout(ctx, tt.timeout)
			defer cancelLate()
			var calls sync.WaitGroup
			calls.Go(func() {
				for lateCtx.Err() == nil {
					_, _ = caller.Call(ctx, "b", answered, []byte("x"))
				}
			})
			_, err := caller.Call(lateCtx, "b", late, []byte("x"))
			if diff := cmp.Diff(true, errors.Is(err, ErrUnknown)); diff != "" {
				t.Errorf("late call: %v (-want +got):\n%s", err, diff)
			}
			if diff := cmp.Diff(tt.wantConn, conn.Context().Err() == nil); diff != "" {
				t.Errorf("connection open (-want +got):\n%s", diff)
			}
			cancel()
			calls.Wait()
		})
	}
}
