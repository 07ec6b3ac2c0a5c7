package policy

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// TestPreemptionBesideBlockedClass guards against a missing replica for which nothing is
// evicted, as another class, whose replica no eviction can help, is tried in its place each time.
func TestPreemptionBesideBlockedClass(t *testing.T) {
	size := unit.Resources{Cores: 4000, Memory: 1 << 30}
	tooLarge := unit.Resources{Cores: 99_000, Memory: 1 << 30}
	tests := []struct {
		name    string
		pending map[unit.ClassID]unit.Resources
		want    unit.ClassID // of the evicted task
	}{
		{"alone", map[unit.ClassID]unit.Resources{"sync": size}, "noisy"},
		{"beside one that fits on no worker", map[unit.ClassID]unit.Resources{"sync": size, "archive": tooLarge}, "noisy"},
		{"none can be helped", map[unit.ClassID]unit.Resources{"archive": tooLarge}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(1)
			d := document()
			d.Classes = append(d.Classes, spec.Class{Name: "archive", Kind: spec.KindStanding, Target: spec.Target{Replicas: 1}})
			c.Configure(start, d)
			for n := range 2 {
				c.Reserve(start, "w0", ref("j", n), "noisy", size)
			}
			for class, size := range tt.pending {
				if _, ok := c.Place(class, size); ok {
					t.Fatalf("a replica of %s fits", class)
				}
			}
			var evicted unit.ClassID
			for _, a := range c.preempt(c.at(30), c.runningTasks(c.at(30))) {
				evicted = a.Class
			}
			if diff := cmp.Diff(tt.want, evicted); diff != "" {
				t.Errorf("class of the evicted task (-want +got):\n%s", diff)
			}
		})
	}
}
