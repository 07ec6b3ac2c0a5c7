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
	// settledRevision is a revision of the store from after previousOwnerStartWindow; 0
	// until one is known.
	settledRevision unit.Revision
}

// previousOwnerStartWindow is how long after a claim a start by a previous owner that
// has not seen the claim may still reach a worker.
const previousOwnerStartWindow = ownership.MaxOrderOverlap + startWindow + responseSlack

// recordRevision records the revision of a write that was sent at sentAt.
func (t *takeover) recordRevision(revision unit.Revision, sentAt time.Time) {
	if t.settledRevision == 0 && sentAt.Sub(t.claimedAt) > previousOwnerStartWindow {
		t.settledRevision = revision
	}
}

// needsWrite reports whether a write is due whose revision settles which jobs are new.
func (t *takeover) needsWrite(now time.Time) bool {
	return !t.handedOver && t.settledRevision == 0 && now.Sub(t.claimedAt) > previousOwnerStartWindow
}

// neverStarted reports whether no earlier owner can have started a job whose record
// was created at the given revision. When the record is read shows nothing, as it may
// be read long after the previous owner was notified of the job.
func (t *takeover) neverStarted(created unit.Revision) bool {
	if t.handedOver {
		return created > t.claimRevision
	}
	return t.settledRevision != 0 && created > t.settledRevision
}
