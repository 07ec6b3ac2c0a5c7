package mesh

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/standin/relay"
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

// TestLateCall guards against a call without an answer in time that closes a connection
// which works: other calls on it then fail too, and each entry does a handshake with an
// owner whose link is full. It also guards against a silent connection that is kept.
func TestLateCall(t *testing.T) {
	const late, answered = Kind(1), Kind(2)
	tests := []struct {
		name     string
		others   bool // other calls are answered meanwhile
		silent   bool // the connection carries nothing from the second late call on
		wantOpen bool // the connection, after three late calls
	}{
		{"others are answered meanwhile", true, false, true},
		{"the peer is late", false, false, true},
		{"the connection is silent", false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller, callee := startPair(t)
			path, err := relay.NewUDP("127.0.0.1:0", callee.Self().Address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(path.Close)
			caller.SetPeers(map[unit.EntryID]Peer{"b": {Address: path.Address(), Fingerprint: callee.Self().Fingerprint}})
			callee.Handle(late, func(ctx context.Context, _ Fingerprint, _ []byte) ([]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
			callee.Handle(answered, func(_ context.Context, _ Fingerprint, request []byte) ([]byte, error) { return request, nil })
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if _, err := caller.Call(ctx, "b", answered, []byte("x")); err != nil {
				t.Fatal(err)
			}
			conn := caller.peers["b"].conn
			var others sync.WaitGroup
			othersCtx, stopOthers := context.WithCancel(ctx)
			for n := range 3 {
				if tt.others && n == 0 {
					others.Go(func() {
						for othersCtx.Err() == nil {
							_, _ = caller.Call(ctx, "b", answered, []byte("x"))
						}
					})
				}
				if tt.silent && n == 1 {
					path.Silence()
				}
				lateCtx, cancelLate := context.WithTimeout(ctx, 200*time.Millisecond)
				_, err := caller.Call(lateCtx, "b", late, []byte("x"))
				cancelLate()
				if err == nil {
					t.Error("a late call was answered")
				}
			}
			open := conn.Context().Err() == nil
			stopOthers()
			others.Wait()
			if diff := cmp.Diff(tt.wantOpen, open); diff != "" {
				t.Errorf("connection open (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRedial guards against entries that fill the link of one that does not answer with
// their handshakes, and against an entry that is reached late after its first failure.
func TestRedial(t *testing.T) {
	const period = 2 * time.Second
	tests := []struct {
		name               string
		otherKey           bool // the peer has another one, so that each dial fails
		minDials, maxDials int  // that fail
	}{
		{"peer with another key", true, 3, 6},
		{"peer answers", false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller, callee := startPair(t)
			var dials atomic.Int32
			caller.log = funcr.New(func(_, args string) {
				if strings.Contains(args, "peer not reached") {
					dials.Add(1)
				}
			}, funcr.Options{Verbosity: 1})
			target := Peer{Address: callee.Self().Address, Fingerprint: callee.Self().Fingerprint}
			if tt.otherKey {
				other, _ := startPair(t)
				target.Fingerprint = other.Self().Fingerprint
			}
			caller.SetPeers(map[unit.EntryID]Peer{"c": target})
			callee.Handle(1, func(_ context.Context, _ Fingerprint, request []byte) ([]byte, error) { return request, nil })
			for began := time.Now(); time.Since(began) < period; time.Sleep(time.Millisecond) {
				ctx, cancel := context.WithTimeout(t.Context(), period)
				_, _ = caller.Call(ctx, "c", 1, []byte("x"))
				cancel()
			}
			if n := int(dials.Load()); n < tt.minDials || n > tt.maxDials {
				t.Errorf("%d failed dials in %s, want %d to %d", n, period, tt.minDials, tt.maxDials)
			}
		})
	}
}
