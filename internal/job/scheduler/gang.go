package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// placeGang starts all tasks of a gang under one run number, or none of them.
func (c *Core) placeGang(s *step, now time.Time) {
	if len(s.waiting) != s.remaining {
		return // members of an earlier run have not ended yet
	}
	if c.holdsBack(s, len(s.waiting), now) {
		return
	}
	chosen := c.chooseGang(s, now, c.eligible)
	if chosen == nil {
		c.reserve(s, s.waiting[0], now)
		return
	}
	c.startGang(s, chosen, now)
	c.countStart(s)
	c.releaseReserved(s)
}

// workerFilter reports whether a task may start on a worker, apart from its capacity.
type workerFilter func(w *worker, t *task, now time.Time) bool

// chooseGang returns a worker for each waiting task of a gang among those that pass a filter,
// or nil if not all fit.
func (c *Core) chooseGang(s *step, now time.Time, passes workerFilter) []*worker {
	return c.chooseGangByRoom(s, now, passes, (*worker).free)
}

// chooseGangByRoom is like chooseGang with another measure of the room that workers have.
func (c *Core) chooseGangByRoom(s *step, now time.Time, passes workerFilter, room func(*worker) unit.Resources) []*worker {
	if !s.spec.SameRack {
		return c.chooseGangOnRack(s, "", now, passes, room)
	}
	for _, rack := range c.racks(s.occurrence.job.spec.Queue.Service) {
		if chosen := c.chooseGangOnRack(s, rack, now, passes, room); chosen != nil {
			return chosen
		}
	}
	return nil
}

// startGang starts each waiting task of a gang on its chosen worker.
func (c *Core) startGang(s *step, chosen []*worker, now time.Time) {
	number := c.firstRunNumber()
	tasks := slices.Clone(s.waiting)
	for _, t := range tasks {
		number = max(number, t.lastRun+1)
	}
	// The checkpoint of one member is valid for all, and all must start from the same
	// one.
	checkpoint := ""
	for _, t := range tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range tasks {
		t.checkpoint = checkpoint
		c.startTask(chosen[i], t, number, now)
	}
}

// chooseGangOnRack is like chooseGangByRoom. A rack that is not empty restricts the choice to its
// workers.
func (c *Core) chooseGangOnRack(s *step, rack unit.RackID, now time.Time, passes workerFilter, room func(*worker) unit.Resources) []*worker {
	free := map[*worker]unit.Resources{}
	count := map[*worker]int{}
	var chosen []*worker
	for _, t := range s.waiting {
		var best *worker
		var bestScore float64
		for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
			if (rack != "" && w.listing.Rack != rack) || !passes(w, t, now) {
				continue
			}
			if s.spec.PerWorker > 0 && count[w] >= s.spec.PerWorker {
				continue
			}
			available, ok := free[w]
			if !ok {
				available = room(w)
			}
			if !reservedResources(s.spec).Fits(available) {
				continue
			}
			score := c.policy.score(w, t, now) - float64(count[w])
			if best == nil || score > bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		available, ok := free[best]
		if !ok {
			available = room(best)
		}
		free[best] = available.Sub(reservedResources(s.spec))
		count[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// racks returns the distinct racks of a service's workers.
func (c *Core) racks(service unit.ServiceID) []unit.RackID {
	var racks []unit.RackID
	for _, w := range c.workersByService[service] {
		if !slices.Contains(racks, w.listing.Rack) {
			racks = append(racks, w.listing.Rack)
		}
	}
	return racks
}
