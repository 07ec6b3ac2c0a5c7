package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/quota"
	"github.com/monsoonfold/monsoonfold/internal/job/share"
)

// holdCause says why a waiting step goes behind others or is held back.
type holdCause uint8

// Causes of waiting that lie with the organisation of a step.
const (
	holdNone          holdCause = iota
	holdQuota                   // its tasks would exceed the cap of the organisation
	holdConfiguration           // the organisation has a cap and the configuration is not known well enough
	holdRate                    // its job is beyond the rate of the organisation
	holdShare                   // the organisation runs more than its share
)

var holdNames = [...]string{holdNone: "", holdQuota: "quota", holdConfiguration: "configuration", holdRate: "rate", holdShare: "share"}

// standing is the place of a step among those of other organisations. Higher ones go later.
type standing uint8

// Standings are sums of these.
const (
	standingAbove  standing = 1 << iota // its organisation runs more than its share
	standingBeyond                      // its job is beyond the rate of its organisation
)

// reserveDelay is how long a step waits for quota until others of the same organisation wait
// for it as well. Otherwise small tasks would take the quota that a large one or a gang waits
// for.
const reserveDelay = 2 * time.Second

// beginPass prepares what a placement pass needs to know of organisations.
func (c *Core) beginPass() {
	if len(c.organisations.accounts) == 0 {
		return
	}
	c.updateHidden()
	if c.organisations.meter.Settle() || c.organisations.standingsDue {
		c.organisations.standingsDue = false
		for _, s := range c.readySteps {
			c.updateStanding(s)
		}
	}
}

// updateStanding finds the standing of a step by what is known now.
func (c *Core) updateStanding(s *step) {
	a := s.occurrence.job.account
	if a == nil {
		return
	}
	var now standing
	if a.aboveShare {
		now = standingAbove
	}
	if !s.occurrence.job.arrival.Within() {
		now |= standingBeyond
	}
	if now != 0 && s.resumesService() {
		now = 0
	}
	if now != s.standing {
		c.changeStanding(s, now)
	}
}

// changeStanding sets the standing of a step and counts its tasks if they now go behind others.
func (c *Core) changeStanding(s *step, now standing) {
	added := now &^ s.standing
	s.standing = now
	if added&standingBeyond != 0 {
		c.organisations.heldByCause[holdRate] += len(s.waiting)
	}
	if added&standingAbove != 0 {
		c.organisations.heldByCause[holdShare] += len(s.waiting)
	}
}

// resumesService reports whether the next task to place is a long-running one that has run
// before. It goes on with what has started, so that it goes behind no other organisation.
func (s *step) resumesService() bool {
	n := len(s.waiting)
	return s.spec.LongRunning && n > 0 && s.waiting[n-1].ranBefore
}

// compareStanding orders jobs beyond the rate of their organisation behind all others, and
// organisations above their share behind the others of the same priority.
func compareStanding(a, b *step) int {
	if a.standing == b.standing {
		return 0
	}
	return compareUnequalStanding(a, b)
}

// compareUnequalStanding is compareStanding for steps whose standing differs. It is apart, so
// that the usual case is inlined into the sort.
func compareUnequalStanding(a, b *step) int {
	if beyond := cmp.Compare(a.standing&standingBeyond, b.standing&standingBeyond); beyond != 0 {
		return beyond
	}
	if a.occurrence.job.spec.Queue.Priority != b.occurrence.job.spec.Queue.Priority {
		return 0
	}
	return cmp.Compare(a.standing, b.standing)
}

// beyondRate reports whether the job of a step is beyond the rate of its organisation.
func (s *step) beyondRate() bool { return s.standing&standingBeyond != 0 }

// awaitsFullPass reports whether a step is only placed in passes that include best-effort
// tasks: a job beyond its rate starts after all others, also after these.
func (s *step) awaitsFullPass() bool { return s.spec.BestEffort || s.beyondRate() }

// holdsBack reports whether a number of tasks of a step may not start now because of its
// organisation, and records the cause.
func (c *Core) holdsBack(s *step, tasks int, now time.Time) bool {
	a := s.occurrence.job.account
	if a == nil {
		return false
	}
	cause := c.holdCauseOf(s, tasks, now)
	if cause == holdNone {
		if s.held != holdNone {
			s.held, s.heldSince = holdNone, time.Time{}
		}
		return false
	}
	if s.held != cause {
		s.held = cause
		c.organisations.heldByCause[cause] += len(s.waiting)
	}
	if s.heldSince.IsZero() {
		s.heldSince = now
	}
	if cause == holdQuota && quota.Fits(a.Cap, s.spec.Needs, tasks) {
		a.reserve(s, now)
	}
	return true
}

// reserve lets other steps of the organisation wait for one that quota holds back for long, in
// turns with a time in which they go on. The turns begin after reserveDelay and double, so
// that one of them outlasts the runs that have to end. Without turns the others might wait
// for quota that long-running tasks never give back.
func (a *account) reserve(s *step, now time.Time) {
	if a.reservedFor != nil && a.reservedFor != s && a.isReserved(now) {
		return
	}
	turn := bits.Len64(uint64(now.Sub(s.heldSince) / reserveDelay)) // 1 from reserveDelay on, 2 from twice that on
	if turn%2 == 1 {
		a.reservedFor, a.reservedTill = s, s.heldSince.Add(reserveDelay<<turn)
	}
}

// isReserved reports whether some steps of the organisation wait for another one.
func (a *account) isReserved(now time.Time) bool {
	s := a.reservedFor
	if s == nil {
		return false
	}
	if !now.Before(a.reservedTill) || s.held != holdQuota || len(s.waiting) == 0 || s.occurrence.job.final != 0 {
		a.reservedFor = nil
		return false
	}
	return true
}

// waitsForOther reports whether a step waits for another one of its organisation. A more
// urgent priority does not.
func (a *account) waitsForOther(s *step, now time.Time) bool {
	return a.isReserved(now) && a.reservedFor != s && s.occurrence.job.spec.Queue.Priority >= a.reservedFor.occurrence.job.spec.Queue.Priority
}

// holdCauseOf returns why a number of tasks of a step may not start now because of its
// organisation.
func (c *Core) holdCauseOf(s *step, tasks int, now time.Time) holdCause {
	a := s.occurrence.job.account
	switch {
	case a == nil:
		return holdNone
	case c.organisations.cappedHeld && (a.Capped() || !c.organisations.known):
		return holdConfiguration
	case !a.Admits(s.spec.Needs, tasks), a.waitsForOther(s, now):
		return holdQuota
	}
	return holdNone
}

// isHeldBack is like holdsBack for the next start of a step, and records nothing.
func (c *Core) isHeldBack(s *step, now time.Time) bool {
	return c.holdCauseOf(s, s.startsTogether(), now) != holdNone
}

// startsTogether returns how many tasks of a step start together.
func (s *step) startsTogether() int {
	if s.spec.Gang {
		return len(s.waiting)
	}
	return 1
}

// exceedsQuota reports whether the organisation of a run has more running than its cap.
func (r *run) exceedsQuota() bool {
	a := r.task.job().account
	return a != nil && a.Exceeded(r.task.step.spec.Needs)
}

// isCapped reports whether the organisation of a job has a cap, or may have one.
func (c *Core) isCapped(j *job) bool {
	return j.account != nil && (j.account.Capped() || !c.organisations.known)
}

const (
	// shareInterval is the time between two updates of the shares.
	shareInterval = 250 * time.Millisecond
	// meterPruneInterval is the time between two removals of old jobs from the meter.
	meterPruneInterval = time.Minute
	// shareTolerance is how many times its share an organisation may run before it goes
	// behind the others.
	shareTolerance = 1.25
)

// updateShares finds the organisations that run more than their weighted share while the
// tasks within the rates exceed the capacity.
func (c *Core) updateShares(now time.Time) {
	o := &c.organisations
	if len(o.accounts) == 0 || now.Sub(o.sharesUpdated) < shareInterval {
		return
	}
	o.sharesUpdated, o.standingsDue = now, true
	if now.Sub(o.meterPruned) >= meterPruneInterval {
		o.meterPruned = now
		o.meter.Forget(now)
	}
	c.sumWaiting()
	capacity := c.capacityForShares()
	o.claims = o.claims[:0]
	for _, a := range o.accounts {
		if a.hasWork = a.Running != (unit.Resources{}) || a.waiting != (unit.Resources{}); a.hasWork {
			o.claims = append(o.claims, share.Claim{Weight: a.weight, Demand: share.Dominant(a.Running.Add(a.waiting), capacity)})
		}
	}
	level := share.Level(o.claims, 1-share.Dominant(o.others, capacity))
	for _, a := range o.accounts {
		a.share, a.aboveShare = 0, false
		if a.hasWork && !math.IsInf(level, 1) {
			a.share = a.weight * level
			a.aboveShare = share.Dominant(a.Running, capacity) > shareTolerance*a.share
		}
	}
}

// sumWaiting sums up, for each organisation, the waiting tasks that are within its rate.
func (c *Core) sumWaiting() {
	for _, a := range c.organisations.accounts {
		a.waiting = unit.Resources{}
	}
	for _, s := range c.readySteps {
		a := s.occurrence.job.account
		if a == nil || s.occurrence.job.final != 0 || s.beyondRate() {
			continue
		}
		n := len(s.waiting)
		needs := s.spec.Needs
		a.waiting = a.waiting.Add(unit.Resources{
			Cores: needs.Cores * unit.Millicores(n), Memory: needs.Memory * unit.Bytes(n), Accelerators: needs.Accelerators * unit.Accelerators(n),
		})
	}
}

// capacityForShares returns the capacity of the workers that stay.
func (c *Core) capacityForShares() unit.Resources {
	var capacity unit.Resources
	for _, w := range c.workers {
		if w.listed && !w.listing.Draining {
			capacity = capacity.Add(w.listing.Capacity)
		}
	}
	return capacity
}
