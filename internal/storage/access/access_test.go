package access

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// hungStore gives no answer.
type hungStore struct{}

func (hungStore) Do(ctx context.Context, _ kv.Request) (kv.Response, error) {
	<-ctx.Done()
	return kv.Response{}, errors.Errorf("hung: %w", errors.Join(ctx.Err(), kv.ErrUnknown))
}

// hungNetwork has one peer, to which there is no connection.
type hungNetwork struct{}

func (hungNetwork) Peers() []unit.EntryID          { return []unit.EntryID{"b"} }
func (hungNetwork) Handle(mesh.Kind, mesh.Handler) {}
func (hungNetwork) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, errors.Errorf("no connection: %w", errors.Join(ctx.Err(), mesh.ErrUnreachable))
}

// TestCallGivenUp guards against taking the end of a caller's context for an outage of
// the store, during which the calls of all callers fail at once.
func TestCallGivenUp(t *testing.T) {
	tests := []struct {
		name    string
		givenUp time.Duration // after the call was sent
		outage  bool
	}{
		{"during the direct call", callTimeout / 2, false},
		{"during the relayed call", callTimeout + watchGrace/2, false},
		{"not given up", time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), hungStore{})
				s.peers = hungNetwork{}
				ctx, cancel := context.WithTimeout(t.Context(), tt.givenUp)
				defer cancel()
				if _, err := s.Do(ctx, kv.Request{Op: kv.OpRenew, Lease: 7}); !errors.Is(err, kv.ErrUnknown) {
					t.Errorf("got %v, want ErrUnknown", err)
				}
				if diff := cmp.Diff(tt.outage, s.OutageDuration() > 0 || s.outage); diff != "" {
					t.Errorf("outage (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// selectiveStore answers gets, and gives each renewal the answer of its turn.
type selectiveStore struct {
	renewals []error // nil: answered; errHung: no answer
	sent     int
}

var errHung = errors.New("hung")

func (s *selectiveStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op == kv.OpGet {
		return kv.Response{}, kv.ErrNotFound
	}
	err := s.renewals[s.sent]
	s.sent++
	if errors.Is(err, errHung) {
		return hungStore{}.Do(ctx, r)
	}
	return kv.Response{}, err
}

// countingNetwork counts the calls to its one peer, which does not answer.
type countingNetwork struct {
	hungNetwork
	calls int
}

func (n *countingNetwork) Call(ctx context.Context, to unit.EntryID, k mesh.Kind, body []byte) ([]byte, error) {
	n.calls++
	return n.hungNetwork.Call(ctx, to, k, body)
}

// TestLateAnswer guards against an overloaded entry that sends each call that timed out
// through peers, to which it first has to connect, although the store answers it.
func TestLateAnswer(t *testing.T) {
	tests := []struct {
		name            string
		renewals        []error
		othersAnswered  bool // the store answers another call meanwhile
		direct, relayed int  // attempts
		want            error
	}{
		{"answered", []error{nil}, true, 1, 0, nil},
		{"answer lost, others answered", []error{errHung, nil}, true, 2, 0, nil},
		{"answer lost twice, others answered", []error{errHung, errHung}, true, 2, 1, kv.ErrUnknown},
		{"answer lost, then refused", []error{errHung, kv.ErrUnavailable}, true, 2, 1, kv.ErrUnknown},
		{"no call answered", []error{errHung}, false, 1, 1, kv.ErrUnknown},
		{"refused, others answered", []error{kv.ErrUnavailable}, true, 1, 1, kv.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, peers := &selectiveStore{renewals: tt.renewals}, &countingNetwork{}
				s := New(logr.Discard(), store)
				s.peers = peers
				if tt.othersAnswered {
					time.AfterFunc(callTimeout/2, func() { _, _ = s.Do(t.Context(), kv.Request{Op: kv.OpGet}) })
				}
				if _, err := s.Do(t.Context(), kv.Request{Op: kv.OpRenew, Lease: 7}); !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				if diff := cmp.Diff([]int{tt.direct, tt.relayed}, []int{store.sent, peers.calls}); diff != "" {
					t.Errorf("direct and relayed attempts (-want +got):\n%s", diff)
				}
				time.Sleep(callTimeout) // until the other call has ended
			})
		})
	}
}

// TestUnansweredWatch guards against a read of the latest changes that ends with its first
// late answer, although a peer gets one, and against an outage that is taken from a
// watch on which the store only waited for a change.
func TestUnansweredWatch(t *testing.T) {
	tests := []struct {
		name    string
		wait    time.Duration
		took    time.Duration
		relayed int
		outage  bool
	}{
		{"waits for a change", time.Second, time.Second + watchGrace, 0, false},
		{"does not wait", 0, callTimeout + callTimeout + watchGrace, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &countingNetwork{}
				s := New(logr.Discard(), hungStore{})
				s.peers = peers
				started := time.Now()
				if _, err := s.Do(t.Context(), kv.Request{Op: kv.OpWatch, Wait: tt.wait}); !noAnswer(err) {
					t.Errorf("got %v, want no answer", err)
				}
				if diff := cmp.Diff(tt.took, time.Since(started)); diff != "" {
					t.Errorf("took (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.relayed, peers.calls); diff != "" {
					t.Errorf("relayed attempts (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.outage, s.outage); diff != "" {
					t.Errorf("outage (-want +got):\n%s", diff)
				}
			})
		})
	}
}
