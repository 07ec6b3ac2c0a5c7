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
