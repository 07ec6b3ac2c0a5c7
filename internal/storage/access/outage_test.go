package access

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// partitionedNetwork has peers that report that the store does not answer them, and
// others to which there is no connection.
type partitionedNetwork struct{ reached, unreached int }

func (n partitionedNetwork) Peers() []unit.EntryID {
	var ids []unit.EntryID
	for _, i := range rand.Perm(n.reached + n.unreached) {
		ids = append(ids, unit.EntryID(fmt.Sprintf("%02d", i)))
	}
	return ids
}

func (partitionedNetwork) Handle(mesh.Kind, mesh.Handler) {}

func (n partitionedNetwork) Call(ctx context.Context, to unit.EntryID, _ mesh.Kind, _ []byte) ([]byte, error) {
	if to >= unit.EntryID(fmt.Sprintf("%02d", n.reached)) {
		time.Sleep(500 * time.Millisecond)
		return nil, errors.Errorf("dial: %w", mesh.ErrUnreachable)
	}
	return cbor.Marshal(relayAnswer{Status: statusUnavailable, Text: "not reached lately"})
}

// TestOutageBesideUnreachedPeers guards against entries that are cut off together, take
// that for an outage of the store and go on as the owner, although an entry that they do
// not reach has taken over.
func TestOutageBesideUnreachedPeers(t *testing.T) {
	tests := []struct {
		name    string
		network partitionedNetwork
		outage  bool
	}{
		{"no peer is reached", partitionedNetwork{0, 5}, false},
		{"only peers of the own zone are reached", partitionedNetwork{2, 3}, false},
		{"one zone of four is cut off", partitionedNetwork{7, 24}, false},
		{"one of two peers is not reached", partitionedNetwork{1, 1}, false},
		{"the only peer is reached", partitionedNetwork{1, 0}, true},
		{"all peers are reached", partitionedNetwork{5, 0}, true},
		{"two of five peers are down", partitionedNetwork{3, 2}, true},
		{"many peers are reached", partitionedNetwork{31, 0}, true},
		{"a few of many peers are down", partitionedNetwork{28, 3}, true},
	}
	const callers = 6
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), hungStore{})
				s.peers = tt.network
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				for range callers {
					group.Go(func() {
						for ctx.Err() == nil {
							_, _ = s.Do(ctx, kv.Request{Op: kv.OpGet})
							time.Sleep(100 * time.Millisecond)
						}
					})
				}
				time.Sleep(3 * time.Second) // until the views of the store are too old to act on
				for range 70 {
					time.Sleep(100 * time.Millisecond)
					if diff := cmp.Diff(tt.outage, s.Outage()); diff != "" {
						t.Fatalf("outage (-want +got):\n%s", diff)
					}
				}
			})
		})
	}
}
