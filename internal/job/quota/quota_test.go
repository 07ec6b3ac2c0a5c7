package quota

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestAdmits guards against a start that brings an organisation above its cap in any
// resource, and against a task that is held back by a resource which it does not use.
func TestAdmits(t *testing.T) {
	need := unit.Resources{Cores: 4, Memory: 10}
	tests := []struct {
		name     string
		account  Account
		needs    unit.Resources
		tasks    int
		admits   bool
		exceeded bool // once the tasks are counted
	}{
		{"no cap", Account{Running: unit.Resources{Cores: 1 << 40}}, need, 1000, true, false},
		{"fills the cap", Account{Cap: unit.Resources{Cores: 8}, Running: unit.Resources{Cores: 4}}, need, 1, true, false},
		{"cores above", Account{Cap: unit.Resources{Cores: 7}, Running: unit.Resources{Cores: 4}}, need, 1, false, true},
		{"memory above", Account{Cap: unit.Resources{Cores: 80, Memory: 19}, Running: unit.Resources{Memory: 10}}, need, 1, false, true},
		{"accelerators above", Account{Cap: unit.Resources{Accelerators: 1}, Running: unit.Resources{Accelerators: 1}}, unit.Resources{Accelerators: 1}, 1, false, true},
		{"hidden above", Account{Cap: unit.Resources{Cores: 8}, Hidden: unit.Resources{Cores: 5}}, need, 1, false, true},
		{"gang fills the cap", Account{Cap: unit.Resources{Cores: 12}}, need, 3, true, false},
		{"gang above", Account{Cap: unit.Resources{Cores: 11}}, need, 3, false, true},
		{"resource not needed is above", Account{Cap: unit.Resources{Cores: 8, Accelerators: 1}, Running: unit.Resources{Accelerators: 3}}, need, 1, true, false},
		{"negative cap", Account{Cap: unit.Resources{Memory: -1}}, need, 1, false, true},
		{"negative cap of another resource", Account{Cap: unit.Resources{Accelerators: -1}}, need, 1, true, false},
		{"size of a run is unknown", Account{Cap: unit.Resources{Cores: 800}, Unsized: 1}, need, 1, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.admits, tt.account.Admits(tt.needs, tt.tasks)); diff != "" {
				t.Errorf("admits (-want +got):\n%s", diff)
			}
			for range tt.tasks {
				tt.account.Start(tt.needs)
			}
			if diff := cmp.Diff(tt.exceeded, tt.account.Exceeded(tt.needs)); diff != "" {
				t.Errorf("exceeded (-want +got):\n%s", diff)
			}
		})
	}
}
