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
	type write struct {
		revision   unit.Revision
		sinceClaim time.Duration
	}
	tests := []struct {
		name       string
		handedOver bool
		writes     []write
		created    unit.Revision // the claim has revision 10
		want       bool
	}{
		{"created before the claim", false, []write{{20, time.Minute}}, 9, false},
		{"created before a hand-over", true, nil, 9, false},
		{"created after a hand-over", true, nil, 11, true},
		{"nothing written yet", false, nil, 11, false},
		{"previous owner may not know of the claim", false, []write{{20, time.Second}}, 21, false},
		{"start by the previous owner may be in flight", false, []write{{20, 4 * time.Second}}, 21, false},
		{"previous owner has stopped for certain", false, []write{{20, 6 * time.Second}}, 21, true},
		{"created before it had, read afterwards", false, []write{{20, 6 * time.Second}}, 19, false},
		{"created between two later writes", false, []write{{15, 4 * time.Second}, {20, 6 * time.Second}, {30, 7 * time.Second}}, 25, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			newOwner := takeover{claimedAt: claimedAt, claimRevision: 10, handedOver: tt.handedOver}
			for _, w := range tt.writes {
				newOwner.recordRevision(w.revision, claimedAt.Add(w.sinceClaim))
			}
			if diff := cmp.Diff(tt.want, newOwner.neverStarted(tt.created)); diff != "" {
				t.Errorf("neverStarted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWriteAfterTakeover guards against new jobs that wait for workers which are not
// reached, because nothing else calls for a write that shows the jobs to be new.
func TestWriteAfterTakeover(t *testing.T) {
	claimedAt := time.Unix(1_000_000, 0)
	tests := []struct {
		name       string
		handedOver bool
		sinceClaim time.Duration
		wrote      bool // after previousOwnerStartWindow
		want       bool
	}{
		{"previous owner may still act", false, 4 * time.Second, false, false},
		{"previous owner has stopped", false, 6 * time.Second, false, true},
		{"written since", false, 6 * time.Second, true, false},
		{"handed over", true, 6 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			newOwner := takeover{claimedAt: claimedAt, claimRevision: 10, handedOver: tt.handedOver}
			if tt.wrote {
				newOwner.recordRevision(20, claimedAt.Add(previousOwnerStartWindow+time.Millisecond))
			}
			if diff := cmp.Diff(tt.want, newOwner.needsWrite(claimedAt.Add(tt.sinceClaim))); diff != "" {
				t.Errorf("needsWrite (-want +got):\n%s", diff)
			}
		})
	}
}
