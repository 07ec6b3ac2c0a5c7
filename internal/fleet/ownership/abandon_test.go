package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// claimStore records when and under which epoch the shard is claimed.
type claimStore struct {
	delayedStore
	claimedAt []time.Duration
	epochs    []unit.Epoch
}

func (s *claimStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	switch r.Op {
	case kv.OpGrant:
		return kv.Response{Lease: 8, TTL: ownerTTL}, nil
	case kv.OpCommit:
		s.claimedAt = append(s.claimedAt, time.Since(s.started))
		for _, p := range r.Txn.Puts {
			var claimed epochRecord
			if p.Key == EpochKey && cbor.Unmarshal(p.Value, &claimed) == nil {
				s.epochs = append(s.epochs, claimed.Epoch)
			}
		}
	}
	return s.delayedStore.Do(ctx, r)
}

// TestAbandon guards against an entry that goes on under an epoch whose state it has lost,
// and against one that takes the shard from the others after each of its faults.
func TestAbandon(t *testing.T) {
	tests := []struct {
		name    string
		abandon bool
		owned   bool
		claimAt time.Duration // after the removal of the owner record
		epochs  []unit.Epoch  // new ones
	}{
		{"record removed by the store", false, true, 0, nil},
		{"abandoned", true, false, abandonDelay, []unit.Epoch{4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &claimStore{delayedStore: delayedStore{delay: func(time.Duration) time.Duration { return 4 * time.Millisecond }}}
				s := ownerOver(t, &store.delayedStore)
				s.store, s.storeAccess = kv.Client{Doer: store}, store
				if tt.abandon {
					s.Abandon(t.Context())
				}
				if err := s.view.apply(kv.Item{Key: ownerKey, Revision: 11, Deleted: true}, time.Now()); err != nil {
					t.Fatal(err)
				}
				store.started = time.Now()
				_, owned, _ := s.Term()
				if diff := cmp.Diff(tt.owned, owned); diff != "" {
					t.Errorf("owned (-want +got):\n%s", diff)
				}
				ctx, cancel := context.WithTimeout(t.Context(), tt.claimAt+500*time.Millisecond)
				defer cancel()
				s.mu.Lock()
				s.ownerLease = 0
				s.mu.Unlock()
				s.campaign(ctx)
				if len(store.claimedAt) == 0 {
					t.Fatal("never claimed")
				}
				if diff := cmp.Diff(true, store.claimedAt[0] >= tt.claimAt-10*time.Millisecond && store.claimedAt[0] < tt.claimAt+retryDelay); diff != "" {
					t.Errorf("claimed after %s, want %s", store.claimedAt[0], tt.claimAt)
				}
				if diff := cmp.Diff(tt.epochs, store.epochs[:min(1, len(store.epochs))]); diff != "" && tt.epochs != nil {
					t.Errorf("epochs (-want +got):\n%s", diff)
				}
				if tt.epochs == nil && len(store.epochs) > 0 {
					t.Errorf("new epochs %v", store.epochs)
				}
			})
		})
	}
}

// FuzzView guards against a registration or a record of the ownership that ends the process.
func FuzzView(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add("coord/entry/x", []byte(text))
		f.Add("coord/owner", []byte(text))
		f.Add("coord/epoch", []byte(text))
		f.Add("coord/entry/", []byte(text))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v := newView()
		err := v.apply(kv.Item{Key: kv.Key(key), Revision: 7, Value: value}, ownerGoneAt)
		if err != nil && len(v.entries) > 0 {
			t.Errorf("entry of a record that is not readable: %v", err)
		}
		v.claimTime("self", time.Time{})
	})
}
