package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// TestExplainOrganisation guards against an operator who looks for free capacity although a
// job waits because of its organisation, and against a cap that is named after it was lifted.
func TestExplainOrganisation(t *testing.T) {
	tests := []struct {
		name string
		cap  unit.Resources
		held bool // the configuration is not known well enough
		lift bool // after the last pass
		want WaitReason
	}{
		{"above the cap", unit.Resources{Cores: 1}, false, false, WaitQuota},
		{"old configuration", unit.Resources{Cores: 1_000_000}, true, false, WaitConfig},
		{"cap was lifted", unit.Resources{Cores: 1}, false, true, WaitTurn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.core.SetOrganisations([]organisation.Organisation{{ID: "o", Weight: 1, Cap: tt.cap}})
			f.core.HoldCapped(tt.held)
			j := newJob("j", smallStep)
			j.Organisation, j.Accepted = "o", f.now
			f.core.AddJob(j, 0, true, f.now)
			f.advance(bestEffortInterval)
			if tt.lift {
				f.core.SetOrganisations([]organisation.Organisation{{ID: "o", Weight: 1}})
			}
			e, known := f.core.Explain("j", f.now.Add(time.Second))
			if !known || len(e.Steps) != 1 {
				t.Fatalf("known %v, %d waiting steps, want one", known, len(e.Steps))
			}
			if diff := cmp.Diff(tt.want, e.Steps[0].Reason); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
		})
	}
}
