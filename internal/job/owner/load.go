package owner

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
)

// loadInterval is the least time between two computations of the load, each of which goes
// over all workers and waiting steps.
const loadInterval = 200 * time.Millisecond

// minLoadTerm is the time after a takeover for which an owner tells no load: most workers
// have not reported yet, and their capacity looks as if it were missing.
const minLoadTerm = time.Second

// loadCache holds the last load that was computed.
type loadCache struct {
	notBefore time.Time // when the first load may be computed; zero: the takeover is not complete
	at        time.Time // when load was computed; zero: never
	load      overload.Load
}

// beginLoads records that the takeover is complete.
func (sh *shard) beginLoads(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.load.notBefore = now.Add(minLoadTerm)
}

// currentLoad returns the load of the shard and when it was computed, or false while this
// owner has none of its own.
func (sh *shard) currentLoad(now time.Time) (overload.Load, time.Time, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := &sh.load
	if l.notBefore.IsZero() || now.Before(l.notBefore) || sh.abandoned || sh.handingOver {
		return overload.Load{}, time.Time{}, false
	}
	if now.Sub(l.at) < loadInterval {
		return l.load, l.at, true
	}
	load, err := guard.Value(func() (overload.Load, error) { return sh.core.Load(now), nil })
	if err != nil {
		l.notBefore = now.Add(minLoadTerm)
		sh.log.Error(err, "load of the shard not computed")
		return overload.Load{}, time.Time{}, false
	}
	l.load, l.at = load, now
	return load, now, true
}

// Load returns the load of the shard and when it was computed, or false while this entry
// has none.
func (s *Service) Load(now time.Time) (overload.Load, time.Time, bool) {
	sh := s.currentShard()
	if sh == nil {
		return overload.Load{}, time.Time{}, false
	}
	return sh.currentLoad(now)
}

// Explain tells why a job waits, and returns false if the owner does not know the job.
func (s *Service) Explain(_ context.Context, id unit.JobID) (scheduler.Explanation, bool, error) {
	sh := s.currentShard()
	if sh == nil {
		return scheduler.Explanation{}, false, ErrNotOwner
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	explanation, known := sh.core.Explain(id, time.Now())
	explanation.StartsHeld = sh.startsHeld
	return explanation, known, nil
}
