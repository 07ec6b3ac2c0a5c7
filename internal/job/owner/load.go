package owner

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
)

// loadInterval is the least time between two computations of the load, each of which goes
// over all workers, their runs and the waiting steps. With a large fleet it is longer, so that
// this takes no more than 1/loadTimeDivisor of the time, up to maxLoadInterval.
const (
	loadInterval    = 200 * time.Millisecond
	loadTimeDivisor = 50
	maxLoadInterval = time.Second
)

// loadDemand is for how long loads are computed after one was asked for.
const loadDemand = 2 * time.Second

// minLoadTerm is the time after a takeover for which an owner tells no load: most workers
// have not reported yet, and their capacity looks as if it were missing.
const minLoadTerm = time.Second

// loadCache holds the last load that was computed. It has a lock of its own, as those who ask
// for the load must not wait for the core.
type loadCache struct {
	mu        sync.Mutex
	notBefore time.Time // when the next load may be computed; zero: the takeover is not complete
	askedAt   time.Time // when a load was last asked for
	at        time.Time // when load was computed; zero: there is none
	load      overload.Load
}

// due reports whether a load is to be computed.
func (l *loadCache) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.notBefore.IsZero() && !now.Before(l.notBefore) && now.Sub(l.askedAt) <= loadDemand
}

// set replaces the load by one whose computation began at a time and took some time.
func (l *loadCache) set(load overload.Load, at time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.at = load, at
	l.notBefore = at.Add(min(max(loadTimeDivisor*took, loadInterval), maxLoadInterval))
}

// drop forgets the load, if there is one. The next one may be computed in minLoadTerm, as
// after a takeover.
func (l *loadCache) drop(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.at, l.notBefore = overload.Load{}, time.Time{}, now.Add(minLoadTerm)
}

// ask returns the load and when it was computed, or false if there is none. While loads are
// asked for, they are computed.
func (l *loadCache) ask(now time.Time) (overload.Load, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.askedAt = now
	return l.load, l.at, !l.at.IsZero()
}

// refreshLoad computes the load of the shard if that is due. It is called with the lock held.
func (sh *shard) refreshLoad(now time.Time) {
	if sh.handingOver {
		sh.load.drop(now)
		return
	}
	if !sh.load.due(now) {
		return
	}
	load, err := guard.Value(func() (overload.Load, error) { return sh.core.Load(now), nil })
	if err != nil {
		sh.load.drop(now)
		sh.log.Error(err, "load of the shard not computed")
		return
	}
	sh.load.set(load, now, time.Since(now))
}

// Load returns the load of the shard and when it was computed, or false while this entry
// has none.
func (s *Service) Load(now time.Time) (overload.Load, time.Time, bool) {
	sh := s.currentShard()
	if sh == nil {
		return overload.Load{}, time.Time{}, false
	}
	load, at, ok := sh.load.ask(now)
	if room := sh.room.Load(); room != nil {
		load.Full, load.Room = room.full, room.left
	}
	return load, at, ok
}

// jobRoom is what is left of the memory for jobs; see overload.Load.
type jobRoom struct {
	full bool
	left unit.Bytes
}

// JobMemory returns what the jobs may take on this entry while it owns the shard, or 0 for no
// bound. The entries of a deployment are alike.
func (s *Service) JobMemory() unit.Bytes { return s.options.Limits.JobMemory }

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
