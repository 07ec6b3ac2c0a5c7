package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// takeover is what a new owner knows of the one before.
type takeover struct {
	claimedAt     time.Time
	claimRevision unit.Revision // of the claim
	cleanHandOver bool          // the owner before has handed over and gives no orders
}

// previousOwnerStartWindow is how long after a claim an owner that does not know of it may still
// start jobs, and its starts may still arrive.
const previousOwnerStartWindow = ownership.MaxOrderOverlap + startWindow + responseSlack

// neverStarted reports whether no earlier owner can have started a job that was created
// at a revision and that this owner learns of now.
func (t takeover) neverStarted(created unit.Revision, now time.Time) bool {
	if created <= t.claimRevision {
		return false
	}
	return t.cleanHandOver || now.Sub(t.claimedAt) > previousOwnerStartWindow
}
