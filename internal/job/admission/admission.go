// Package admission decides at an entry whether a job is accepted or rejected for want of
// capacity, by the load that the owner of the shard has computed. The package does no I/O
// and reads no clock.
package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/duration"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// MaxLoadAge is the age of a load above which no job is rejected by it.
const MaxLoadAge = 2 * time.Second

// Cause says why a job is rejected.
type Cause string

// Causes of rejections.
const (
	// BeyondRate means that the job's organisation is beyond its rate while capacity is short.
	BeyondRate Cause = "beyond rate"
	// TooLate means that the job could start only after the last time at which its end is of
	// use.
	TooLate Cause = "too late"
	// NoMemory means that the job takes too much of what the owner has left for jobs.
	NoMemory Cause = "job memory"
)

// Snapshot is the load of the shard at a time.
type Snapshot struct {
	Load overload.Load
	At   time.Time // when the load was computed, or earlier; zero: no load is known
}

// Age returns the age of the load.
func (s *Snapshot) Age(now time.Time) time.Duration { return unit.Age(s.At, now) }

// Full reports whether over half of the memory that the owner has for jobs is certainly taken.
func (s *Snapshot) Full(now time.Time) bool { return s.valid(now) && s.Load.Full }

// valid reports whether decisions may rest on the load.
func (s *Snapshot) valid(now time.Time) bool {
	return !s.At.IsZero() && s.Age(now) <= MaxLoadAge
}

// Rejection is a decision to reject a job, with the inputs that it rests on.
type Rejection struct {
	Cause Cause
	// ServedAt is when the same job would be accepted, as far as the load tells.
	ServedAt time.Time
	// StartsAt is when the job could start at the earliest, and UsefulUntil the last time at
	// which its end is of use. They are set if the cause is TooLate.
	StartsAt, UsefulUntil time.Time
}

// Decide returns the reason to reject a job that arrives now, or false if it is accepted.
func Decide(job *graph.Job, s *Snapshot, now time.Time) (Rejection, bool) {
	if !s.valid(now) {
		return Rejection{}, false
	}
	if r, ok := decideByMemory(job, s, now); ok {
		return r, true
	}
	if !s.Load.Short {
		return Rejection{}, false
	}
	pools := shortPools(job, &s.Load)
	if len(pools) == 0 {
		return Rejection{}, false
	}
	if r, ok := decideByRate(job, s, now); ok {
		return r, true
	}
	return decideByTime(job, s, pools, now)
}

// A job is accepted if it takes at most 1/roomDivisor of the memory that is left: large ones
// are rejected long before small ones, which still get in. Those that it waits for have to end,
// which takes some seconds at least.
const (
	roomDivisor = 8
	memoryDelay = 5 * time.Second
)

// decideByMemory rejects a job that takes too much of the memory that the owner has left.
func decideByMemory(job *graph.Job, s *Snapshot, now time.Time) (Rejection, bool) {
	if !s.Load.Full || job.Memory() <= s.Load.Room/roomDivisor {
		return Rejection{}, false
	}
	return Rejection{Cause: NoMemory, ServedAt: now.Add(memoryDelay)}, true
}

// shortPools returns the pools in which the first tasks of a job are placed, or nil if one
// of them is not short.
func shortPools(job *graph.Job, load *overload.Load) []overload.PoolLoad {
	var pools []overload.PoolLoad
	seen := map[bool]bool{}
	for i := range job.Steps {
		step := &job.Steps[i]
		if len(step.After) > 0 || seen[step.BestEffort] {
			continue
		}
		seen[step.BestEffort] = true
		p, ok := load.Pool(job.Queue.Service, step.BestEffort)
		if !ok || !p.Short {
			return nil
		}
		pools = append(pools, p)
	}
	return pools
}

// decideByRate rejects a job whose organisation is beyond its rate. The organisation is
// within it again after the delay in the load, of which the age of the load has passed.
func decideByRate(job *graph.Job, s *Snapshot, now time.Time) (Rejection, bool) {
	if job.Organisation == "" {
		return Rejection{}, false
	}
	within := s.At.Add(s.Load.BeyondRateFor(job.Organisation))
	if !now.Before(within) {
		return Rejection{}, false
	}
	return Rejection{Cause: BeyondRate, ServedAt: within}, true
}

// decideByTime rejects a job that could start only after its end is of no use any more.
// That compares the least work that can be ahead of it with the longest time that it may
// be allowed.
func decideByTime(job *graph.Job, s *Snapshot, pools []overload.PoolLoad, now time.Time) (Rejection, bool) {
	useful, ok := usefulLife(job, s.Load.Queue(job.Queue.ID).MaxRatio)
	if !ok {
		return Rejection{}, false
	}
	expected, least := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, p := range pools {
		e, l := p.UrgentWait(job.Queue.Priority)
		expected, least = min(expected, e), min(least, l)
	}
	startsAt, usefulUntil := s.At.Add(least), now.Add(useful)
	if least <= 0 || !startsAt.After(usefulUntil) {
		return Rejection{}, false
	}
	// What is ahead of the job shrinks as time passes. The part that has to go shrinks in
	// proportion to the whole, of which the load names the expected time.
	drain := (least - useful).Seconds() * max(float64(expected)/float64(least), 1)
	servedAt := s.At.Add(time.Duration(math.Min(drain, maxReturn.Seconds()) * float64(time.Second)))
	return Rejection{Cause: TooLate, ServedAt: servedAt, StartsAt: startsAt, UsefulUntil: usefulUntil}, true
}

// usefulLife returns the longest time from now for which the end of a job may be of use. It
// returns false if that has no bound or is not known: for a job with due times or with
// long-running tasks, in a queue without an objective, or with tasks of unknown duration.
// maxRatio is the largest ratio of actual to declared durations, or 0 if it is not known.
func usefulLife(job *graph.Job, maxRatio float64) (time.Duration, bool) {
	q := &job.Queue
	if job.Times > 0 || job.HasLongRunning() || (q.Stretch <= 0 && q.Target <= 0) {
		return 0, false
	}
	if known := maxRatio >= 1 && maxRatio <= duration.MaxDeclaredError; !known {
		maxRatio = duration.MaxDeclaredError
	}
	chain, ok := longestChain(job)
	if !ok {
		return 0, false
	}
	allowed := chain.Seconds()*maxRatio*max(q.Stretch, 1) + q.Target.Seconds()
	return time.Duration(math.Min(overload.UsefulFactor*allowed, maxUsefulLife.Seconds()) * float64(time.Second)), true
}

// maxUsefulLife bounds the time for which a job is of use, so that no sum overflows. It is
// longer than every wait that a load tells.
const maxUsefulLife = 48 * time.Hour

// longestChain returns the declared duration of the longest chain of steps, or false if
// that of a step is missing.
func longestChain(job *graph.Job) (time.Duration, bool) {
	ends := make([]time.Duration, len(job.Steps))
	var longest time.Duration
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.Estimate <= 0 {
			return 0, false
		}
		for _, dependency := range step.After {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += min(step.Estimate, maxUsefulLife)
		longest = max(longest, ends[i])
	}
	return longest, true
}

// Bounds of the time after which a rejected caller should come back.
const (
	minReturn = time.Second
	// maxReturn bounds the delay without its spread.
	maxReturn = time.Hour
	minSpread = 2 * time.Second
	// spreadDivisor is the inverse of the share of the delay over which callers are spread
	// at least: the longer the delay, the less certain it is.
	spreadDivisor = 4
)

// ReturnAt returns when the caller of a rejected job should come back: not before the job
// would be accepted, and spread over at least the given time by the job's id.
func (r *Rejection) ReturnAt(id unit.JobID, spread time.Duration, now time.Time) time.Time {
	delay := min(max(r.ServedAt.Sub(now), minReturn), maxReturn)
	spread = max(spread, minSpread, delay/spreadDivisor)
	const parts = 1 << 16
	part := xxhash.Sum64String(string(id)) % parts
	return now.Add(delay + spread*time.Duration(part)/parts)
}
