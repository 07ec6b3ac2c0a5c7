package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// takeover holds what a new owner knows about its own claim and the previous owner.
type takeover struct {
	claimedAt     time.Time
	claimRevision unit.Revision
	handedOver    bool // the previous owner handed over and sends no more orders
}

// previousOwnerStartWindow is how long after a claim a start by a previous owner that
// has not seen the claim may still reach a worker.
const previousOwnerStartWindow = ownership.MaxOrderOverlap + startWindow + responseSlack

// neverStarted reports whether no earlier owner can have started a job whose record
// was created at the given revision and reached this owner at now.
func (t takeover) neverStarted(created unit.Revision, now time.Time) bool {
	if created <= t.claimRevision {
		return false
	}
	return t.handedOver || now.Sub(t.claimedAt) > previousOwnerStartWindow
}
