package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/quota"
	"github.com/monsoonfold/monsoonfold/internal/job/share"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// organisations holds what the core knows of organisations. It is empty while neither the
// configuration nor a job names one.
type organisations struct {
	accounts      map[unit.OrganisationID]*account
	meter         share.Meter
	known         bool // the configuration has been read
	cappedHeld    bool // nothing starts for organisations with a cap
	hidden        bool // some account may have hidden use
	hiddenStale   bool // a report or a job has come since it was counted
	standingsDue  bool // the standings of steps may have changed
	sharesUpdated time.Time
	meterPruned   time.Time
	others        unit.Resources      // reserved by runs of jobs without an organisation
	claims        []share.Claim       // reused by updateShares
	heldByCause   [len(holdNames)]int // tasks that began to wait since the last TakeHoldCounts
}

// account is what the core knows of one organisation.
type account struct {
	quota.Account
	id         unit.OrganisationID
	weight     float64
	configured bool // the configuration names it
	jobs       int  // that the core holds
	// ended is what may still run of jobs that ended while workers were unresolved, and
	// endedUnsized are such jobs of which the steps are not known.
	ended        unit.Resources
	endedUnsized []unit.JobID
	unknownRuns  int            // unknown runs of which the steps are not known
	reservedFor  *step          // a step that has waited long for quota; nil: none
	reservedTill time.Time      // until when others of its organisation wait for it
	waiting      unit.Resources // of the waiting tasks within the rate, when the shares were updated
	hasWork      bool           // at that time
	share        float64        // of the capacity, by weight; 0: the organisations do not fill it
	aboveShare   bool
}

// charge is what an unknown run counts for.
type charge struct {
	account *account
	needs   unit.Resources
	unsized bool
}

// SetOrganisations replaces the organisations of the configuration. The jobs of one that is
// not named go on without a cap and with weight 1.
func (c *Core) SetOrganisations(list []organisation.Organisation) {
	c.organisations.known, c.organisations.standingsDue = true, true
	c.placementDue = true
	for _, a := range c.organisations.accounts {
		a.configured, a.Cap = false, unit.Resources{}
	}
	for _, o := range list {
		a := c.accountOf(o.ID)
		a.configured, a.Cap = true, o.Cap
	}
	if len(c.organisations.accounts) > 0 {
		c.organisations.meter.SetOrganisations(list)
	}
	for _, a := range c.organisations.accounts {
		a.weight = c.organisations.meter.Weight(a.id)
		c.dropUnused(a)
	}
}

// HoldCapped sets whether nothing starts for organisations with a cap, as the caller does not
// know the newest one.
func (c *Core) HoldCapped(held bool) { c.organisations.cappedHeld = held }

// accountOf returns the account of an organisation, which it opens if there is none.
func (c *Core) accountOf(id unit.OrganisationID) *account {
	a := c.organisations.accounts[id]
	if a == nil {
		if c.organisations.accounts == nil {
			c.organisations.accounts = map[unit.OrganisationID]*account{}
		}
		a = &account{id: id, weight: c.organisations.meter.Weight(id)}
		c.organisations.accounts[id] = a
	}
	return a
}

// dropUnused removes the account of an organisation that neither the configuration nor a job
// names and that has nothing running.
func (c *Core) dropUnused(a *account) {
	if !a.configured && a.jobs == 0 && a.Running == (unit.Resources{}) && a.unknownRuns == 0 {
		delete(c.organisations.accounts, a.id)
	}
}

// joinOrganisation adds a job to the account of its organisation. A job that was cancelled or
// has failed under an earlier owner may still run on workers that have not reported.
func (c *Core) joinOrganisation(j *job) {
	if j.spec.Organisation == "" {
		return
	}
	j.account = c.accountOf(j.spec.Organisation)
	j.account.jobs++
	c.organisations.hiddenStale = true
	j.arrival = c.organisations.meter.Record(j.spec.Organisation, j.spec.ID, j.spec.Accepted)
	if (j.final == graph.Cancelled || j.final == graph.Failed) && !c.safeToStart(j) {
		j.account.endedUnsized = append(j.account.endedUnsized, j.spec.ID)
	}
	for _, w := range c.reportingUnknown {
		c.chargeUnknownRuns(w)
	}
}

// leaveOrganisation removes a job from the account of its organisation.
func (c *Core) leaveOrganisation(j *job) {
	if j.account == nil {
		return
	}
	j.account.jobs--
	c.dropUnused(j.account)
}

// chargeStart counts a run of a task.
func (c *Core) chargeStart(t *task) {
	if a := t.job().account; a != nil {
		a.Start(t.step.spec.Needs)
		c.organisations.standingsDue = c.organisations.standingsDue || t.step.spec.LongRunning // see resumesService
	} else {
		c.organisations.others = c.organisations.others.Add(reservedResources(t.step.spec))
	}
}

// chargeEnd counts a run of a task no more.
func (c *Core) chargeEnd(t *task) {
	if a := t.job().account; a != nil {
		a.End(t.step.spec.Needs)
	} else {
		c.organisations.others = c.organisations.others.Sub(reservedResources(t.step.spec))
	}
}

// chargeUnknownRuns counts the unknown runs of a worker whose job is known, instead of those
// that were counted before.
func (c *Core) chargeUnknownRuns(w *worker) {
	c.releaseUnknownRuns(w)
	for id := range w.unknownRuns {
		j := c.jobs[id.task.Job]
		if j == nil || j.account == nil {
			continue
		}
		g := charge{account: j.account, unsized: true}
		if s := id.task.Step; s >= 0 && int(s) < len(j.spec.Steps) {
			g.needs, g.unsized = j.spec.Steps[s].Needs, false
		}
		g.account.Start(g.needs)
		if g.unsized {
			g.account.unknownRuns++
			g.account.Unsized++
		}
		w.unknownCharges = append(w.unknownCharges, g)
	}
}

// releaseUnknownRuns counts the unknown runs of a worker no more.
func (c *Core) releaseUnknownRuns(w *worker) {
	for _, g := range w.unknownCharges {
		g.account.End(g.needs)
		if g.unsized {
			g.account.unknownRuns--
			g.account.Unsized--
		}
		c.dropUnused(g.account)
		c.placementDue = true
	}
	w.unknownCharges = w.unknownCharges[:0]
}

// releaseExpiredUnknownRuns counts the unknown runs of workers no more whose lease has
// expired: their reports may never show the end.
func (c *Core) releaseExpiredUnknownRuns(now time.Time) {
	for _, w := range c.reportingUnknown {
		if len(w.unknownCharges) > 0 && now.After(c.leaseExpiry(w.id, c.inheritedLeaseOf(w).expiresAt)) {
			c.releaseUnknownRuns(w)
		}
	}
}

// keepHidden counts the waiting tasks of a job that ends as what may still run, until all
// workers are resolved.
func (c *Core) keepHidden(j *job) {
	if j.account != nil && !c.safeToStart(j) {
		j.account.ended = j.account.ended.Add(c.hiddenUse(j))
	}
}

// hiddenUse returns the resources of the waiting tasks of a job that an earlier owner may have
// started.
func (c *Core) hiddenUse(j *job) unit.Resources {
	var use unit.Resources
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.waiting {
				if c.mayHaveHiddenRun(t) {
					use = use.Add(s.spec.Needs)
				}
			}
		}
	}
	return use
}

// mayNotBeSent reports whether the cap of its organisation forbids to send the start of a run:
// the cap was lowered since it was placed, or more is known to run.
func (c *Core) mayNotBeSent(r *run) bool {
	a := r.task.job().account
	if a == nil || !a.Capped() {
		return false
	}
	if c.organisations.hiddenStale {
		c.updateHidden()
	}
	return r.exceedsQuota()
}

// countHidden returns how many of some jobs may have a run on an unresolved worker.
func (c *Core) countHidden(jobs []unit.JobID) int {
	n := 0
	for _, id := range jobs {
		if c.mayHideJob(id) {
			n++
		}
	}
	return n
}

// updateHidden counts what earlier owners may have started on workers that have not reported.
func (c *Core) updateHidden() {
	c.organisations.hiddenStale = false
	unresolved := len(c.unresolved) > 0
	if !unresolved && !c.organisations.hidden {
		return
	}
	c.organisations.hidden = unresolved
	for _, a := range c.organisations.accounts {
		if !unresolved {
			a.ended, a.endedUnsized = unit.Resources{}, nil
		}
		a.Hidden, a.Unsized = a.ended, a.unknownRuns+c.countHidden(a.endedUnsized)
	}
	if !unresolved {
		return
	}
	for _, j := range c.openJobs {
		if j.account != nil && !c.safeToStart(j) {
			j.account.Hidden = j.account.Hidden.Add(c.hiddenUse(j))
		}
	}
}
