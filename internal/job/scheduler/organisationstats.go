package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// OrganisationStats summarizes one organisation for logs and metrics.
type OrganisationStats struct {
	ID         unit.OrganisationID
	Weight     float64
	Running    unit.Resources // of what runs or may run
	Hidden     unit.Resources // of what may run on workers that have not reported since the takeover
	Cap        unit.Resources
	Share      float64       // of the capacity, by weight; 0 while the organisations do not fill it
	AboveShare bool          // it goes behind the others of the same priority
	Waiting    int           // tasks
	Held       int           // of these, tasks that the cap holds back, or that wait for a newer configuration
	Cause      string        // why, for the last of them: quota or configuration
	Beyond     int           // of these, tasks of jobs beyond the rate
	HeldFor    time.Duration // longest time for which the cap has held a step back
}

// OrganisationStats returns a summary of each organisation that has tasks, sorted by id.
func (c *Core) OrganisationStats(now time.Time) []OrganisationStats {
	byAccount := map[*account]*OrganisationStats{}
	for _, a := range c.organisations.accounts {
		byAccount[a] = &OrganisationStats{
			ID: a.id, Weight: a.weight, Running: a.Running, Hidden: a.Hidden, Cap: a.Cap, Share: a.share, AboveShare: a.aboveShare,
		}
	}
	for _, s := range c.readySteps {
		if o := byAccount[s.occurrence.job.account]; o != nil {
			o.addStep(s, c.holdCauseOf(s, s.startsTogether(), now), now)
		}
	}
	var list []OrganisationStats
	for _, o := range byAccount {
		if o.Waiting > 0 || o.Running != (unit.Resources{}) {
			list = append(list, *o)
		}
	}
	slices.SortFunc(list, func(a, b OrganisationStats) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (o *OrganisationStats) addStep(s *step, cause holdCause, now time.Time) {
	n := len(s.waiting)
	o.Waiting += n
	if s.beyondRate() {
		o.Beyond += n
	}
	if n > 0 && cause != holdNone {
		o.Held += n
		o.Cause = holdNames[cause]
	}
	if n > 0 && s.held != holdNone {
		o.HeldFor = max(o.HeldFor, now.Sub(s.heldSince))
	}
}

// TakeHoldCounts returns the number of tasks that have begun to wait since the last call
// because of their organisation, by cause.
func (c *Core) TakeHoldCounts() map[string]int {
	var counts map[string]int
	for cause, n := range c.organisations.heldByCause {
		if n > 0 {
			if counts == nil {
				counts = map[string]int{}
			}
			counts[holdNames[cause]] = n
		}
	}
	clear(c.organisations.heldByCause[:])
	return counts
}
