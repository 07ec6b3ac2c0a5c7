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
	// startsEnded is a revision of the store from a time when no start by a previous
	// owner could reach a worker any more, or 0 while none is known.
	startsEnded unit.Revision
}

// previousOwnerStartWindow is how long after a claim a start by a previous owner that
// has not seen the claim may still reach a worker.
const previousOwnerStartWindow = ownership.MaxOrderOverlap + maxStartWindow + responseSlack

// recordRead records that the answer to a read that was sent at sentAt has shown the
// store at a revision.
func (t *takeover) recordRead(revision unit.Revision, sentAt time.Time) {
	if t.startsEnded == 0 && sentAt.Sub(t.claimedAt) > previousOwnerStartWindow {
		t.startsEnded = revision
	}
}

// neverStarted reports whether no earlier owner can have started a job whose record
// was created at the given revision.
func (t takeover) neverStarted(created unit.Revision) bool {
	if t.handedOver && created > t.claimRevision {
		return true
	}
	return t.startsEnded != 0 && created > t.startsEnded
}
