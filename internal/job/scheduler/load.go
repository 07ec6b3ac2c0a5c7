package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/quota"
)

// Bounds of a load, which the owner sends to every entry with each answer to its notices.
const (
	maxLoadQueues        = 16
	maxLoadOrganisations = 64
)

// A pool is short of capacity once its tasks have found no place for minShortage. A sample
// that finds one ends that only if none has found the opposite for shortageMemory, since
// each end of a task frees a place for a moment.
const (
	minShortage    = time.Second
	shortageMemory = 500 * time.Millisecond
	// maxLoadGap is the time between two samples beyond which a shortage begins anew.
	maxLoadGap = 2 * time.Second
)

// rateMeter tells how long it takes until the next job of an organisation is within the
// organisation's rate, or 0 if it is.
type rateMeter interface {
	Delay(org unit.OrganisationID, now time.Time) time.Duration
}

// poolKey names a pool; see overload.PoolLoad.
type poolKey struct {
	service    unit.ServiceID
	bestEffort bool
}

// poolOf returns the pool in which the tasks of a step are placed.
func poolOf(s *step) poolKey {
	return poolKey{s.occurrence.job.spec.Queue.Service, s.spec.BestEffort}
}

// shortage is a period in which tasks of a pool find no place.
type shortage struct{ since, seenAt time.Time }

// Load summarizes how full the shard is at a time.
func (c *Core) Load(now time.Time) overload.Load {
	var load overload.Load
	for service := range c.workersByService {
		for _, bestEffort := range []bool{false, true} {
			key := poolKey{service, bestEffort}
			if bestEffort && !c.hasWaiting(key) {
				continue
			}
			pool, unmet := c.poolLoad(key, now)
			pool.Short = c.updateShortage(key, unmet, now)
			load.Pools = append(load.Pools, pool)
		}
	}
	slices.SortFunc(load.Pools, func(a, b overload.PoolLoad) int { return cmp.Compare(a.Service, b.Service) })
	for i := range load.Pools {
		p := &load.Pools[i]
		load.Short = load.Short || p.Short
		if !p.BestEffort {
			load.Free += p.Free
			load.Total += p.Total
		}
	}
	load.Queues = c.queueLoads()
	if load.Short {
		load.BeyondRate = c.beyondRate(now)
	}
	return load
}

// hasWaiting reports whether a task of a pool waits.
func (c *Core) hasWaiting(key poolKey) bool {
	return slices.ContainsFunc(c.readySteps, func(s *step) bool { return poolOf(s) == key && len(s.waiting) > 0 })
}

// poolLoad returns the load of one pool, and whether its tasks find no place at present.
func (c *Core) poolLoad(key poolKey, now time.Time) (p overload.PoolLoad, unmet bool) {
	p = overload.PoolLoad{Service: key.service, BestEffort: key.bestEffort}
	smallest := c.addWaitingWork(&p, now)
	var listed unit.Millicores
	for _, w := range c.workersByService[key.service] {
		c.addWorkerLoad(&p, w, now)
		listed += w.listing.Capacity.Cores
	}
	// If most workers take no starts, such as those that are not reached, what is short is not
	// capacity.
	return p, smallest != nil && 2*p.Total >= listed && !c.findsPlace(smallest, now)
}

// addWaitingWork adds the waiting work of a pool and returns the smallest task that could
// start, or nil if none waits. It leaves out what need not keep a new task from starting:
// tasks that only some of the workers can take, that may run already, that are too late to be
// of use, or that are beyond the rate of their organisation.
func (c *Core) addWaitingWork(p *overload.PoolLoad, now time.Time) (smallest *task) {
	capacity := c.capacityForShares()
	for _, s := range c.readySteps {
		if poolOf(s) != (poolKey{p.Service, p.BestEffort}) || !c.countsAsWaiting(s) {
			continue
		}
		if t := s.nextTask(now); t != nil && !c.isHeldBack(s, now) && (smallest == nil || s.spec.Needs.Cores < smallest.step.spec.Needs.Cores) {
			smallest = t
		}
		if s.spec.LongRunning || s.occurrence.tooLate(now) || s.beyondRate() {
			continue
		}
		c.addWork(p, s, capacity)
	}
	slices.SortFunc(p.Waiting, func(a, b overload.WaitingWork) int { return cmp.Compare(a.Priority, b.Priority) })
	return smallest
}

// countsAsWaiting reports whether the tasks of a ready step wait and any worker can take
// them.
func (c *Core) countsAsWaiting(s *step) bool {
	return len(s.waiting) > 0 && s.occurrence.job.final == 0 && !s.constrained() && !s.spec.Gang &&
		s.spec.Needs.Accelerators == 0 && c.countHeldBack(s) == 0
}

// nextTask returns the waiting task of a step that is placed first, or nil if none may start
// yet.
func (s *step) nextTask(now time.Time) *task {
	for _, t := range slices.Backward(s.waiting) {
		if !now.Before(t.earliestStart) {
			return t
		}
	}
	return nil
}

// addWork adds the work of the waiting tasks of a step to that of its priority. Work of an
// organisation whose cap is below the capacity may leave cores to others, so that nothing of
// it is ahead of a new task for certain.
func (c *Core) addWork(p *overload.PoolLoad, s *step, capacity unit.Resources) {
	queue := &s.occurrence.job.spec.Queue
	i := slices.IndexFunc(p.Waiting, func(w overload.WaitingWork) bool { return w.Priority == queue.Priority })
	if i < 0 {
		i = len(p.Waiting)
		p.Waiting = append(p.Waiting, overload.WaitingWork{Priority: queue.Priority})
	}
	least := s.fastestTask
	if least == 0 {
		low, _ := c.durations.RatioBounds(queue.ID)
		least = min(time.Duration(float64(s.spec.Estimate)*low), c.expectedDuration(s))
	}
	w := &p.Waiting[i]
	w.Work = addCoreTime(w.Work, s, c.expectedDuration(s))
	if a := s.occurrence.job.account; a == nil || quota.Fits(a.Cap, capacity, 1) {
		w.MinWork = addCoreTime(w.MinWork, s, least)
	}
}

// addCoreTime adds the time that one core takes for the waiting tasks of a step.
func addCoreTime(sum time.Duration, s *step, each time.Duration) time.Duration {
	added := float64(len(s.waiting)) * float64(s.spec.Needs.Cores) / 1000 * float64(each)
	return time.Duration(math.Min(float64(sum)+added, math.MaxInt64/2))
}

// addWorkerLoad adds the cores of a worker to a pool. The tasks of one pool use the same
// cores as those of the other of its service.
func (c *Core) addWorkerLoad(p *overload.PoolLoad, w *worker, now time.Time) {
	var completing, held unit.Millicores
	for _, r := range w.runList {
		spec := r.task.step.spec
		switch {
		case spec.BestEffort != p.BestEffort:
		case spec.BestEffort:
			completing += spec.Needs.Cores * unit.Millicores(r.pacePercent) / 100
		case spec.LongRunning:
			held += spec.Needs.Cores
		default:
			completing += spec.Needs.Cores
		}
	}
	p.Completing += completing
	total := w.listing.Capacity.Cores
	if !w.listing.Draining && !c.evacuatedZones[w.listing.Zone] {
		p.MaxUsable += max(total-held, 0)
	}
	if !c.isOpen(w, now) {
		return
	}
	p.Total += total
	if !p.BestEffort {
		p.Usable += max(total-held, 0)
		p.Free += max(total-w.used.Cores, 0)
		return
	}
	view := c.bestEffortViewOf(w, now)
	p.Usable += max(view.available, 0)
	p.Free += max(view.available-view.used, 0)
}

// findsPlace reports whether some worker takes a task, or none could ever take it.
func (c *Core) findsPlace(t *task, now time.Time) bool {
	possible := false
	for _, w := range c.workersByService[t.job().spec.Queue.Service] {
		if _, ok := c.scoreIfFit(w, t, now); ok {
			return true
		}
		possible = possible || w.couldTake(t.step.spec)
	}
	return !possible
}

// couldTake reports whether a worker without any run has what a task of a step needs.
func (w *worker) couldTake(s *graph.Step) bool {
	return reservedResources(s).Fits(w.listing.Capacity) && (s.Label == "" || slices.Contains(w.listing.Labels, s.Label))
}

// updateShortage records whether tasks of a pool find no place and reports whether the pool
// is short of capacity.
func (c *Core) updateShortage(key poolKey, unmet bool, now time.Time) bool {
	s, known := c.shortages[key]
	switch {
	case unmet && (!known || now.Sub(s.seenAt) > maxLoadGap):
		s = shortage{since: now, seenAt: now}
	case unmet:
		s.seenAt = now
	case !known || now.Sub(s.seenAt) > shortageMemory:
		delete(c.shortages, key)
		return false
	}
	c.shortages[key] = s
	return now.Sub(s.since) >= minShortage
}

// queueLoads returns the queues with most waiting jobs.
func (c *Core) queueLoads() []overload.QueueLoad {
	jobs := map[graph.QueueID]map[*job]bool{}
	for _, s := range c.readySteps {
		j := s.occurrence.job
		if len(s.waiting) == 0 || j.final != 0 {
			continue
		}
		if jobs[j.spec.Queue.ID] == nil {
			jobs[j.spec.Queue.ID] = map[*job]bool{}
		}
		jobs[j.spec.Queue.ID][j] = true
	}
	var queues []overload.QueueLoad
	for id, waiting := range jobs {
		_, high := c.durations.RatioBounds(id)
		queues = append(queues, overload.QueueLoad{Queue: id, Waiting: len(waiting), MaxRatio: high})
	}
	slices.SortFunc(queues, func(a, b overload.QueueLoad) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Queue, b.Queue))
	})
	return queues[:min(len(queues), maxLoadQueues)]
}

// beyondRate returns the organisations with open jobs that are beyond their rate, those
// that are farthest beyond it first.
func (c *Core) beyondRate(now time.Time) []overload.OrganisationLoad {
	if c.rates == nil {
		return nil
	}
	seen := map[unit.OrganisationID]bool{"": true}
	var beyond []overload.OrganisationLoad
	for _, j := range c.openJobs {
		id := j.spec.Organisation
		if seen[id] {
			continue
		}
		seen[id] = true
		if delay := c.rates.Delay(id, now); delay > 0 {
			beyond = append(beyond, overload.OrganisationLoad{Organisation: id, Delay: delay})
		}
	}
	slices.SortFunc(beyond, func(a, b overload.OrganisationLoad) int {
		return cmp.Or(cmp.Compare(b.Delay, a.Delay), cmp.Compare(a.Organisation, b.Organisation))
	})
	return beyond[:min(len(beyond), maxLoadOrganisations)]
}
