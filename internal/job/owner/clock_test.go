package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestRecordClock guards against deadlines computed from the clock of an earlier
// incarnation, which are too late, and against deadlines computed from the old reading
// in a late answer, which have passed when an order arrives.
func TestRecordClock(t *testing.T) {
	type reading struct {
		after       time.Duration // since the previous reading
		clock       time.Duration
		incarnation scheduler.Incarnation
	}
	tests := []struct {
		name     string
		readings []reading
		after    time.Duration // since the last reading
		min, max time.Duration // of the reading that the client expects
	}{
		{"one reading", []reading{{0, time.Minute, 1}}, 4 * time.Second, 63800 * time.Millisecond, 64 * time.Second},
		{"no incarnation with the answer to an order", []reading{{0, time.Minute, 1}, {0, 61 * time.Second, 0}}, 0, 61 * time.Second, 61 * time.Second},
		{"late answer", []reading{{0, time.Minute, 1}, {5 * time.Second, 61 * time.Second, 1}}, 0, 64800 * time.Millisecond, 65 * time.Second},
		{"new incarnation", []reading{{0, time.Minute, 1}, {0, time.Second, 2}}, 0, time.Second, time.Second},
		{"late answer of an earlier incarnation", []reading{{0, time.Second, 2}, {0, time.Minute, 1}}, 0, time.Second, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c workerClient
				for _, r := range tt.readings {
					time.Sleep(r.after)
					c.recordClock(unit.WorkerTime(r.clock), r.incarnation)
				}
				time.Sleep(tt.after)
				got := time.Duration(c.workerDeadline(0))
				if got < tt.min || got > tt.max {
					t.Errorf("the clock of the worker is taken to be %s, want %s to %s", got, tt.min, tt.max)
				}
			})
		})
	}
}
