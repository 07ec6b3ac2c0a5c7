package organisation

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

func entry(id unit.OrganisationID, weight float64, keys ...string) Entry {
	return Entry{Organisation: Organisation{ID: id, Weight: weight}, Keys: keys}
}

// TestNew guards against a key that admits an organisation that does not have it, and
// against a faulty organisation that affects the others.
func TestNew(t *testing.T) {
	type holders map[string]unit.OrganisationID // by key; empty for an unknown key
	tests := []struct {
		name    string
		entries []Entry
		weights map[unit.OrganisationID]float64
		holders holders
		faults  int
	}{
		{"several keys", []Entry{entry("b", 2, "k2", "k3"), entry("a", 13, "k1")},
			map[unit.OrganisationID]float64{"a": 13, "b": 2}, holders{"k1": "a", "k2": "b", "k3": "b", "k": "", "k11": "", "": ""}, 0},
		{"key of two organisations", []Entry{entry("b", 1, "k", "k2"), entry("a", 1, "k")},
			map[unit.OrganisationID]float64{"a": 1, "b": 1}, holders{"k": "a", "k2": "b"}, 1},
		{"key listed twice", []Entry{entry("a", 1, "k", "k")}, map[unit.OrganisationID]float64{"a": 1}, holders{"k": "a"}, 0},
		{"empty key", []Entry{entry("a", 1, "")}, map[unit.OrganisationID]float64{"a": 1}, holders{"": ""}, 0},
		{"weights that are not positive", []Entry{entry("a", 0), entry("b", -3), entry("c", 0.5)},
			map[unit.OrganisationID]float64{"a": 1, "b": 1, "c": 0.5}, nil, 2},
		{"no name", []Entry{entry("", 1, "k"), entry("a", 1, "k1")}, map[unit.OrganisationID]float64{"a": 1}, holders{"k": "", "k1": "a"}, 1},
		{"listed twice", []Entry{entry("a", 1, "k1"), entry("a", 2, "k2")}, map[unit.OrganisationID]float64{"a": 1}, holders{"k1": "a", "k2": ""}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			organisations, keys, faults := New(tt.entries)
			weights := map[unit.OrganisationID]float64{}
			for _, o := range organisations {
				weights[o.ID] = o.Weight
			}
			if diff := cmp.Diff(tt.weights, weights); diff != "" {
				t.Errorf("weights (-want +got):\n%s", diff)
			}
			for key, want := range tt.holders {
				o, ok := keys.Lookup(key)
				if o.ID != want || ok != (want != "") {
					t.Errorf("key %q belongs to %q (%v), want %q", key, o.ID, ok, want)
				}
			}
			if diff := cmp.Diff(tt.faults, len(faults)); diff != "" {
				t.Errorf("faults %v (-want +got):\n%s", faults, diff)
			}
		})
	}
}

// TestCheckJob guards against accepting a job that can never run under the cap of its
// organisation, and against rejecting one that can.
func TestCheckJob(t *testing.T) {
	step := func(count int, gang bool, needs unit.Resources) graph.Step {
		return graph.Step{Count: count, Gang: gang, Needs: needs}
	}
	small, large := unit.Resources{Cores: 1000, Memory: 1 << 30}, unit.Resources{Cores: 1 << 62, Memory: 1 << 62, Accelerators: 1 << 30}
	tests := []struct {
		name  string
		cap   unit.Resources
		step  graph.Step
		fails bool
	}{
		{"no cap", unit.Resources{}, step(10_000, true, large), false},
		{"task as large as the cap", small, step(1, false, small), false},
		{"many tasks", small, step(50, false, small), false},
		{"core too many", small, step(1, false, unit.Resources{Cores: 1001}), true},
		{"memory too large", small, step(1, false, unit.Resources{Memory: 1<<30 + 1}), true},
		{"accelerator too many", unit.Resources{Accelerators: 1}, step(1, false, unit.Resources{Accelerators: 2}), true},
		{"best-effort task", small, graph.Step{Count: 1, BestEffort: true, Needs: unit.Resources{Cores: 1001}}, true},
		{"gang as large as the cap", unit.Resources{Cores: 3000}, step(3, true, small), false},
		{"gang too large", unit.Resources{Cores: 3000}, step(4, true, small), true},
		{"gang that overflows", unit.Resources{Accelerators: 3}, step(10_000, true, large), true},
		{"resource that is not admitted", unit.Resources{Accelerators: -1}, step(1, false, unit.Resources{Accelerators: 1}), true},
		{"nothing of a resource that is not admitted", unit.Resources{Accelerators: -1}, step(1, false, small), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := Organisation{ID: "a", Cap: tt.cap}
			err := o.CheckJob(&graph.Job{Steps: []graph.Step{step(1, false, unit.Resources{}), tt.step}})
			if diff := cmp.Diff(tt.fails, err != nil); diff != "" {
				t.Errorf("error %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

// BenchmarkLookup measures the check of a key among those of 1,000 organisations.
func BenchmarkLookup(b *testing.B) {
	var entries []Entry
	for i := range 1000 {
		entries = append(entries, entry(unit.OrganisationID(fmt.Sprintf("o%d", i)), 1, fmt.Sprintf("gkcuyj8pjbvk9m68k%03d", i)))
	}
	_, keys, _ := New(entries)
	for _, bb := range []struct{ name, key string }{{"known", entries[500].Keys[0]}, {"unknown", "gkcuyj8pjbvk9m68kxyz"}} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				keys.Lookup(bb.key)
			}
		})
	}
}
