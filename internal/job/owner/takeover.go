package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
)

// takeover holds what a new owner knows about its own claim and the earlier owners.
type takeover struct {
	claimedAt          time.Time
	claimRevision      unit.Revision
	earlierStartsEndAt time.Time // by then no earlier owner decides to start a task any more
	// earlierRenewalsEndAt is when no earlier owner extends the lease of a worker any more.
	earlierRenewalsEndAt time.Time
	overlapEnded         bool // that time has passed
	// startsEnded is a revision of the store from a time when no start by an earlier
	// owner could reach a worker any more, or 0 while none is known.
	startsEnded unit.Revision
}

// earlierStartsEnd returns by when no earlier owner decides to start a task any more. One that
// has handed over decides nothing afterwards, but those before it may not know of its claim.
func earlierStartsEnd(p record.Progress, claimedAt time.Time) time.Time {
	left := ownership.MaxOrderOverlap
	if p.HandedOver && p.EarlierStartsLeft != nil {
		left = min(max(*p.EarlierStartsLeft, 0), left)
	}
	return claimedAt.Add(left)
}

// endOverlap reports, once, that no earlier owner extends the lease of a worker any more. The
// next owner reads that from the progress.
func (t *takeover) endOverlap(now time.Time) bool {
	ended := !t.overlapEnded && !now.Before(t.earlierRenewalsEndAt)
	t.overlapEnded = t.overlapEnded || ended
	return ended
}

// earlierRenewalsEnd returns by when no earlier owner extends the lease of a worker any more. A
// previous owner that has handed over, or whose process has ended, extends none, but those
// before it may not know of its claim.
func earlierRenewalsEnd(p record.Progress, previousEndedAt, claimedAt time.Time) time.Time {
	stopped := p.HandedOver || !previousEndedAt.IsZero()
	if !stopped || p.EarlierRenewalsLeft == nil {
		return claimedAt.Add(ownership.MaxRenewalOverlap)
	}
	left := min(max(*p.EarlierRenewalsLeft, 0), ownership.MaxRenewalOverlap)
	if left == 0 && !previousEndedAt.IsZero() {
		return previousEndedAt
	}
	return claimedAt.Add(left)
}

// maxStartDelay is how long after it was decided a start may reach a worker.
const maxStartDelay = maxStartWindow + responseSlack

// recordRead records that the answer to a read that was sent at sentAt has shown the
// store at a revision.
func (t *takeover) recordRead(revision unit.Revision, sentAt time.Time) {
	if t.startsEnded == 0 && sentAt.After(t.earlierStartsEndAt.Add(maxStartDelay)) {
		t.startsEnded = revision
	}
}

// neverStarted reports whether no earlier owner can have started a job whose record
// was created at the given revision.
func (t takeover) neverStarted(created unit.Revision) bool {
	if !t.earlierStartsEndAt.After(t.claimedAt) && created > t.claimRevision {
		return true
	}
	return t.startsEnded != 0 && created > t.startsEnded
}
