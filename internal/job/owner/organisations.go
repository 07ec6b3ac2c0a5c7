package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/target/directory"
)

// documentDirectory returns the newest configuration, or nil before one is known.
type documentDirectory interface {
	Current() *directory.Document
}

// applyOrganisations passes the organisations of a new configuration to the core. It is called
// with the lock held, after applyZones: the configuration is then at least as new as its
// confirmation.
func (sh *shard) applyOrganisations(c *scheduler.Core) {
	if sh.service.documents == nil {
		return
	}
	d := sh.service.documents.Current()
	if d == nil || d == sh.configuration {
		return
	}
	sh.configuration = d
	c.SetOrganisations(d.Organisations)
}

// cappedWindow returns how long a start for an organisation with a cap that is sent now may
// take to be executed, at most maxStartWindow. Later a version of the configuration with a
// lower cap may be in force that this owner does not know. While the store answers no entry
// there is no such version. The zones out of service are read with the configuration.
func (sh *shard) cappedWindow(now time.Time) time.Duration {
	delay := sh.service.options.Delays.Configuration
	if delay == 0 {
		return maxStartWindow
	}
	window := min(delay-sh.zonesConfirmed.age(now), maxStartWindow)
	if window < maxStartWindow && sh.service.outage.Outage() {
		return maxStartWindow
	}
	return window
}

// startWindowOf is startWindow for an order.
func (sh *shard) startWindowOf(o scheduler.Order, now time.Time) time.Duration {
	window := sh.startWindow(now)
	if o.Capped {
		window = min(window, sh.cappedWindow(now))
	}
	return window
}

// mayStartCapped reports whether tasks of organisations with a cap may start now, and logs
// when that changes. It is called with the lock held.
func (sh *shard) mayStartCapped(now time.Time) bool {
	recent := sh.cappedWindow(now) >= minStartWindow && (sh.service.documents == nil || sh.configuration != nil)
	if recent == sh.cappedHeld {
		sh.cappedHeld = !recent
		if sh.configuration != nil && len(sh.configuration.Organisations) > 0 {
			sh.log.Info("configuration checked for starts of organisations with a cap", "recent", recent, "age", sh.zonesConfirmed.age(now).String())
		}
	}
	return recent
}

const (
	// organisationInterval is the time between two log lines of an organisation.
	organisationInterval = 10 * time.Second
	// organisationLogTime is the time over which the lines of all organisations are spread,
	// as the volume of the log is bounded.
	organisationLogTime = organisationInterval / 2
)

// organisationSummary logs a line for each organisation with work.
type organisationSummary struct {
	last    time.Time // when the summaries were taken
	pending []scheduler.OrganisationStats
	perTick int
}

// log takes the summaries of the organisations once per organisationInterval and logs some of
// them. It also counts what began to wait because of an organisation.
func (s *organisationSummary) log(sh *shard) {
	if s.take(sh, time.Now()) {
		s.perTick = 1 + len(s.pending)/int(organisationLogTime/tickInterval)
		publishOrganisations(s.pending)
	}
	n := min(s.perTick, len(s.pending))
	for _, o := range s.pending[:n] {
		logOrganisation(sh, o)
	}
	s.pending = s.pending[n:]
}

// take counts what began to wait, and takes the summaries if they are due. The lock is also
// released after a panic, so that the shard can end.
func (s *organisationSummary) take(sh *shard, now time.Time) (due bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for cause, n := range sh.core.TakeHoldCounts() {
		metric.Holds.Add(cause, int64(n))
	}
	if now.Sub(s.last) < organisationInterval {
		return false
	}
	s.last, s.pending = now, sh.core.OrganisationStats(now)
	return true
}

// publishOrganisations sets the metrics of the organisations.
func publishOrganisations(list []scheduler.OrganisationStats) {
	published := make(map[string]metric.Organisation, len(list))
	for _, o := range list {
		published[string(o.ID)] = metric.Organisation{
			Cores: o.Running.Cores, Memory: o.Running.Memory, Accelerators: o.Running.Accelerators,
			CapCores: o.Cap.Cores, CapMemory: o.Cap.Memory, CapAccelerators: o.Cap.Accelerators,
			Share: o.Share, Waiting: o.Waiting, Held: o.Held, Beyond: o.Beyond,
		}
	}
	metric.SetOrganisations(published)
}

func logOrganisation(sh *shard, o scheduler.OrganisationStats) {
	sh.log.Info("organisation", "organisation", string(o.ID), "weight", o.Weight, "share", o.Share, "aboveshare", o.AboveShare,
		"cores", o.Running.Cores, "memory", o.Running.Memory, "accelerators", o.Running.Accelerators,
		"capcores", o.Cap.Cores, "capmemory", o.Cap.Memory, "capaccelerators", o.Cap.Accelerators, "hiddencores", o.Hidden.Cores,
		"waiting", o.Waiting, "held", o.Held, "beyond", o.Beyond, "heldfor", o.HeldFor.String(), "cause", o.Cause)
}
