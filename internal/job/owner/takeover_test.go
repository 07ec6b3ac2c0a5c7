package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestNeverStarted guards against a second run of a job that was created after a claim
// but started by the previous owner, which had not seen the claim yet.
func TestNeverStarted(t *testing.T) {
	claimedAt := time.Unix(1_000_000, 0)
	tests := []struct {
		name       string
		handedOver bool
		created    unit.Revision // the claim has revision 10
		sinceClaim time.Duration
		want       bool
	}{
		{"created before the claim", false, 9, time.Minute, false},
		{"created before a hand-over", true, 9, time.Minute, false},
		{"created after a hand-over", true, 11, 0, true},
		{"previous owner may not know of the claim", false, 11, time.Second, false},
		{"start by the previous owner may be in flight", false, 11, 4 * time.Second, false},
		{"previous owner has stopped for certain", false, 11, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			newOwner := takeover{claimedAt: claimedAt, claimRevision: 10, handedOver: tt.handedOver}
			if diff := cmp.Diff(tt.want, newOwner.neverStarted(tt.created, claimedAt.Add(tt.sinceClaim))); diff != "" {
				t.Errorf("neverStarted (-want +got):\n%s", diff)
			}
		})
	}
}
