package admission

import (
	"maps"
	"math"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// tallyPeriod is the time constant with which earlier submissions count less.
	tallyPeriod = 10 * time.Second
	// maxSpread bounds the time over which the callers of an organisation are spread.
	maxSpread = time.Minute
	// maxTallies is the number of organisations above which those without a recent
	// submission are dropped.
	maxTallies = 2048
	// minTally is the count below which an organisation has no recent submission.
	minTally = 0.05
)

// Tally counts the submissions of organisations that an entry has lately accepted and
// rejected. From these follows over which time the callers of rejected jobs have to return
// for their jobs to be accepted at the same rate as before. Its zero value is empty. It is
// not safe for concurrent use.
type Tally struct {
	counts map[unit.OrganisationID]counts
}

// counts are decaying numbers of submissions.
type counts struct {
	accepted, rejected float64
	at                 time.Time
}

// decayed returns the counts at a later time.
func (c counts) decayed(now time.Time) counts {
	rest := math.Exp(-max(now.Sub(c.at), 0).Seconds() / tallyPeriod.Seconds())
	return counts{accepted: c.accepted * rest, rejected: c.rejected * rest, at: now}
}

// Accepted counts an accepted submission. Those without an organisation are not counted.
func (t *Tally) Accepted(id unit.OrganisationID, now time.Time) {
	if id == "" {
		return
	}
	c := t.counts[id].decayed(now)
	c.accepted++
	t.set(id, c)
}

// Rejected counts a submission that was rejected because its organisation is beyond its
// rate, and returns the time over which the organisation's callers have to be spread.
func (t *Tally) Rejected(id unit.OrganisationID, now time.Time) time.Duration {
	c := t.counts[id].decayed(now)
	c.rejected++
	t.set(id, c)
	return min(time.Duration(c.rejected/max(c.accepted, 1)*float64(tallyPeriod)), maxSpread)
}

// set replaces the counts of an organisation, and drops those without a recent submission if
// there are many.
func (t *Tally) set(id unit.OrganisationID, c counts) {
	if t.counts == nil {
		t.counts = map[unit.OrganisationID]counts{}
	}
	t.counts[id] = c
	if len(t.counts) <= maxTallies {
		return
	}
	maps.DeleteFunc(t.counts, func(_ unit.OrganisationID, other counts) bool {
		other = other.decayed(c.at)
		return other.accepted+other.rejected < minTally
	})
}
