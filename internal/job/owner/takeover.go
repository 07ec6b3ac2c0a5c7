package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// takeover is what a new owner knows of the one before.
type takeover struct {
	claimed  time.Time
	revision unit.Revision // of the claim
	clean    bool          // the owner before has handed over and gives no orders
}

// freshAfter is how long after a claim an owner that does not know of it may still
// start jobs, and its starts may still arrive.
const freshAfter = ownership.MaxOrderOverlap + startWindow + answerSlack

// fresh reports whether no earlier owner can have started a job that was created
// at a revision and that this owner learns of now.
func (t takeover) fresh(created unit.Revision, now time.Time) bool {
	if created <= t.revision {
		return false
	}
	return t.clean || now.Sub(t.claimed) > freshAfter
}
