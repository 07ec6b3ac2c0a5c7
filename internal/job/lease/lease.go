// Package lease computes the times of task leases: the relation between the
// monotonic clocks of an entry and a worker, the last moment at which a worker may
// start a task, and the moment from which a lease has certainly expired.
package lease

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Lengths of task leases, from section 5.4 of docs/design.md.
const (
	// TTL is the length of a task lease.
	TTL = 15 * time.Second
	// RenewInterval is the time between two renewals. Two renewals in a row may be
	// lost before a lease expires.
	RenewInterval = 5 * time.Second
	// MaxDisconnected is how long after its last contact with the store an owner
	// keeps renewing the leases of running tasks (G in the design). It covers a
	// partition between regions of one hour.
	MaxDisconnected = 75 * time.Minute
)

// Limits of clock drift: two monotonic clocks differ by at most 1/driftDivisor of the
// measured span. minDriftAllowance also covers the delay of the worker's timer.
const (
	driftDivisor      = 1000
	minDriftAllowance = 100 * time.Millisecond
)

// DriftAllowance returns the margin to add to a span measured by one clock so that the
// span has certainly passed by another clock too.
func DriftAllowance(span time.Duration) time.Duration {
	return max(span/driftDivisor, minDriftAllowance)
}

// ClockReading relates the clock of one boot of a worker to the entry's clock, as
// measured by one exchange of messages. The zero value is not valid.
type ClockReading struct {
	Boot     string          // changes when the worker restarts
	Clock    unit.WorkerTime // read by the worker between Sent and Received
	Sent     time.Time
	Received time.Time
}

// Valid reports whether the reading was measured by an exchange.
func (r ClockReading) Valid() bool { return r.Boot != "" && !r.Received.IsZero() }

// Bounds returns the earliest and the latest possible reading of the worker's clock at
// the entry's time now, which must not be before Received.
func (r ClockReading) Bounds(now time.Time) (earliest, latest unit.WorkerTime) {
	elapsed, roundTrip := now.Sub(r.Received), now.Sub(r.Sent)
	return r.Clock.Add(elapsed - elapsed/driftDivisor), r.Clock.Add(roundTrip + roundTrip/driftDivisor)
}

// NotAfter converts a deadline of the entry to the worker's clock. The worker's clock
// shows the result at the deadline or earlier, never later.
func (r ClockReading) NotAfter(deadline time.Time) unit.WorkerTime {
	span := deadline.Sub(r.Received)
	if span > 0 {
		span -= span / driftDivisor
	}
	return r.Clock.Add(span)
}

// LeaseEnd returns the reading of the worker's clock at which a lease granted at now
// ends.
func (r ClockReading) LeaseEnd(now time.Time) unit.WorkerTime { return r.NotAfter(now.Add(TTL)) }

// ExpiryTime returns the entry's time from which a lease that ends at the given reading
// of the worker's clock has certainly expired.
func (r ClockReading) ExpiryTime(end unit.WorkerTime) time.Time {
	span := max(end.Sub(r.Clock), 0)
	return r.Received.Add(span + DriftAllowance(span))
}

// Best returns the reading to use after another exchange: the one of a new boot, or
// else the one whose bounds at now are closer together.
func (r ClockReading) Best(next ClockReading, now time.Time) ClockReading {
	if !r.Valid() || r.Boot != next.Boot {
		return next
	}
	oldEarliest, oldLatest := r.Bounds(now)
	newEarliest, newLatest := next.Bounds(now)
	if newLatest.Sub(newEarliest) <= oldLatest.Sub(oldEarliest) {
		return next
	}
	return r
}

// InheritedExpiry returns the time from which every lease granted by a previous owner
// has certainly expired. If the previous owner released the shard and had no inherited
// leases itself, it has renewed none since observed. Otherwise it may have renewed
// leases for MaxDisconnected after its last contact with the store, which is not after
// observed, when its registration was seen to be gone.
func InheritedExpiry(observed time.Time, released bool) time.Time {
	span := TTL
	if !released {
		span += MaxDisconnected
	}
	return observed.Add(span + DriftAllowance(span))
}
