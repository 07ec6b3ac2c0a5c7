// Package lease has the pure arithmetic of task leases: the relation between an
// entry's monotonic clock and a worker's, the last moment at which a worker may
// start a task, and the moment from which a lease has surely expired.
package lease

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Terms of task leases, from section 5.4 of docs/design.md.
const (
	// TTL is the length of a task lease.
	TTL = 15 * time.Second
	// RenewInterval is the time between two renewals. Two renewals may be lost before
	// a lease ends.
	RenewInterval = 5 * time.Second
	// MaxDisconnected is G: for this long after its last store contact an owner keeps
	// renewing the leases of running tasks. It covers an hour of partition
	// between regions.
	MaxDisconnected = 75 * time.Minute
)

// Drift of clocks: two monotonic clocks differ by at most one in driftDivisor of
// the span measured. minAllowance also covers the delay of the worker's timer.
const (
	driftDivisor = 1000
	minAllowance = 100 * time.Millisecond
)

// DriftAllowance returns the drift allowance added to a span before something is
// taken as surely past.
func DriftAllowance(span time.Duration) time.Duration {
	return max(span/driftDivisor, minAllowance)
}

// ClockReading relates the clock of one boot of a worker to the entry's clock, from
// one exchange. The zero value relates nothing.
type ClockReading struct {
	Boot     string          // a restarted worker has a new one
	Clock    unit.WorkerTime // read by the worker between Sent and Received
	Sent     time.Time
	Received time.Time
}

// Valid reports whether the reading comes from an exchange.
func (r ClockReading) Valid() bool { return r.Boot != "" && !r.Received.IsZero() }

// Bounds returns the earliest and the latest reading of the worker's clock at
// the entry's time now, which is not before Received.
func (r ClockReading) Bounds(now time.Time) (earliest, latest unit.WorkerTime) {
	since, span := now.Sub(r.Received), now.Sub(r.Sent)
	return r.Clock.Add(since - since/driftDivisor), r.Clock.Add(span + span/driftDivisor)
}

// NotAfter translates a deadline of the entry to the worker's clock. The worker
// reads the result before the deadline or at it, never later.
func (r ClockReading) NotAfter(deadline time.Time) unit.WorkerTime {
	span := deadline.Sub(r.Received)
	if span > 0 {
		span -= span / driftDivisor
	}
	return r.Clock.Add(span)
}

// LeaseEnd returns the end of a lease granted at now for one term.
func (r ClockReading) LeaseEnd(now time.Time) unit.WorkerTime { return r.NotAfter(now.Add(TTL)) }

// ExpiryTime returns the entry's time from which a lease that ends at end has
// surely expired.
func (r ClockReading) ExpiryTime(end unit.WorkerTime) time.Time {
	span := max(end.Sub(r.Clock), 0)
	return r.Received.Add(span + DriftAllowance(span))
}

// Best returns the reading to use after a further exchange: that of a new boot,
// or the one that leaves the smaller uncertainty at now.
func (r ClockReading) Best(next ClockReading, now time.Time) ClockReading {
	if !r.Valid() || r.Boot != next.Boot {
		return next
	}
	lowOld, highOld := r.Bounds(now)
	lowNew, highNew := next.Bounds(now)
	if highNew.Sub(lowNew) <= highOld.Sub(lowOld) {
		return next
	}
	return r
}

// InheritedExpiry returns the time from which every lease granted by a previous
// owner has surely expired. For an owner that released the shard and had no
// inherited leases itself, noRenewal is the time from which it has not renewed.
// For any other, renewals may have gone on for Bound after its last store
// contact, which is not after the observation that its registration is gone.
func InheritedExpiry(observed time.Time, released bool) time.Time {
	span := TTL
	if !released {
		span += MaxDisconnected
	}
	return observed.Add(span + DriftAllowance(span))
}
