package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // fixes the seed unless -rapid.seed sets another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// workerClock is the clock of a worker that drifts from the entry's clock.
type workerClock struct {
	zeroAt   time.Time
	start    unit.WorkerTime
	driftPPM int64 // drift in parts per million; positive runs fast
}

func (c workerClock) at(now time.Time) unit.WorkerTime {
	d := now.Sub(c.zeroAt)
	return c.start.Add(d + time.Duration(int64(d)/1000*c.driftPPM/1000))
}

func drawClockReading(t *rapid.T) (workerClock, ClockReading) {
	zero := time.Unix(1000, 0)
	c := workerClock{
		zeroAt:   zero,
		start:    unit.WorkerTime(rapid.Int64Range(0, 1e15).Draw(t, "start")),
		driftPPM: rapid.Int64Range(-900, 900).Draw(t, "ppm"),
	}
	requestDelay := rapid.Int64Range(0, 5e9).Draw(t, "there")
	responseDelay := rapid.Int64Range(0, 5e9).Draw(t, "back")
	read := zero.Add(time.Duration(requestDelay))
	return c, ClockReading{Boot: "b", Clock: c.at(read), Sent: zero, Received: read.Add(time.Duration(responseDelay))}
}

// TestBoundsContainClock guards against bounds that do not contain the worker's clock,
// for any message delays and any allowed drift.
func TestBoundsContainClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, r := drawClockReading(t)
		now := r.Received.Add(time.Duration(rapid.Int64Range(0, 4e12).Draw(t, "later")))
		earliest, latest := r.Bounds(now)
		if at := c.at(now); at < earliest || at > latest {
			t.Fatalf("clock %d outside [%d, %d]", at, earliest, latest)
		}
	})
}

// TestNotAfterIsNeverLate guards against a worker that accepts a start after the entry's
// deadline, which violates property P4.
func TestNotAfterIsNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, r := drawClockReading(t)
		deadline := r.Received.Add(time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "deadline")))
		if limit, at := r.NotAfter(deadline), c.at(deadline); limit > at {
			t.Fatalf("worker reads the limit %d after the deadline, at which it reads %d", limit, at)
		}
	})
}

// TestExpiryTimeIsSafe guards against a task that counts as ended while its worker still
// runs it, which violates property P2.
func TestExpiryTimeIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, r := drawClockReading(t)
		granted := r.Received.Add(time.Duration(rapid.Int64Range(0, 4e12).Draw(t, "granted")))
		end := r.LeaseEnd(granted)
		expired := r.ExpiryTime(end)
		if at := c.at(expired); at < end {
			t.Fatalf("worker reads %d, lease ends at %d", at, end)
		}
		if latest := granted.Add(TTL + DriftAllowance(expired.Sub(r.Received))); expired.After(latest) {
			t.Fatalf("expiry %v is later than %v", expired, latest)
		}
	})
}

// TestBest guards against comparing readings of two boots, and against replacing a
// precise reading by that of a slow exchange.
func TestBest(t *testing.T) {
	at := time.Unix(1000, 0)
	reading := func(boot string, sent, received time.Duration) ClockReading {
		return ClockReading{Boot: boot, Clock: 5, Sent: at.Add(sent), Received: at.Add(received)}
	}
	old := reading("a", 0, time.Millisecond)
	tests := []struct {
		name string
		old  ClockReading
		next ClockReading
		want bool // the next reading is used
	}{
		{"first", ClockReading{}, reading("a", 0, time.Second), true},
		{"restarted, slow exchange", old, reading("b", time.Second, 9*time.Second), true},
		{"same boot, slow exchange", old, reading("a", time.Second, 9*time.Second), false},
		{"same boot, fast exchange", old, reading("a", time.Second, time.Second), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.old.Best(tt.next, at.Add(10*time.Second)) == tt.next; got != tt.want {
				t.Errorf("next used: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestInheritedExpiry guards against an owner that starts a task again while the previous
// owner, disconnected from the store, may still renew its lease.
func TestInheritedExpiry(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name     string
		released bool
		want     time.Duration
	}{
		{"released", true, 15*time.Second + 100*time.Millisecond},
		{"not released", false, 75*time.Minute + 15*time.Second + 4515*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := InheritedExpiry(at, tt.released).Sub(at); got != tt.want {
				t.Errorf("expired after %v, want %v", got, tt.want)
			}
		})
	}
}
