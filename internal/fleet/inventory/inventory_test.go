package inventory

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// TestApply guards against an inventory that misses a change of the list, keeps a
// removed worker, or applies a difference from a revision that it does not have.
func TestApply(t *testing.T) {
	worker := func(id unit.InstanceID, state store.InstanceState) store.Instance {
		return store.Instance{ID: id, State: state, Service: "order-desk"}
	}
	a, b := worker("a", store.InstanceLive), worker("b", store.InstanceLive)
	tests := []struct {
		name    string
		listing store.Listing
		want    []store.Instance
		ok      bool
	}{
		{"complete list", store.Listing{Instances: []store.Instance{b}, Revision: 9}, []store.Instance{b}, true},
		{"no change", store.Listing{After: 1, Revision: 1}, []store.Instance{a, b}, true},
		{"added", store.Listing{Instances: []store.Instance{worker("c", store.InstanceLive)}, After: 1, Revision: 2},
			[]store.Instance{a, b, worker("c", store.InstanceLive)}, true},
		{"changed", store.Listing{Instances: []store.Instance{worker("a", store.InstanceLeaving)}, After: 1, Revision: 2},
			[]store.Instance{worker("a", store.InstanceLeaving), b}, true},
		{"removed", store.Listing{Removed: []unit.InstanceID{"a"}, After: 1, Revision: 2}, []store.Instance{b}, true},
		{"from another revision", store.Listing{Removed: []unit.InstanceID{"a"}, After: 3, Revision: 4}, []store.Instance{a, b}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := NewSnapshot(store.Listing{Instances: []store.Instance{a, b}, Revision: 1})
			got, ok := before.Apply(tt.listing)
			if ok != tt.ok {
				t.Errorf("applied: %v, want %v", ok, tt.ok)
			}
			if diff := cmp.Diff(tt.want, got.Workers()); diff != "" {
				t.Errorf("workers (-want +got):\n%s", diff)
			}
		})
	}
}
