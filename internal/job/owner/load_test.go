package owner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestLoadOfTerm guards against a new owner that tells a load before its workers have
// reported, against a load that is computed at each tick or while nobody asks for it, and
// against one that is told after the term.
func TestLoadOfTerm(t *testing.T) {
	tests := []struct {
		name     string
		takeover bool          // is complete
		handOver bool          // after 2 s
		askFrom  time.Duration // loads are asked for every 50 ms from then until askUntil
		askUntil time.Duration
		want     []int64 // milliseconds after the takeover at which loads were computed
	}{
		{"takeover not complete", false, false, 0, 3 * time.Second, nil},
		{"just taken over", true, false, 0, 950 * time.Millisecond, nil},
		{"later", true, false, 0, 1500 * time.Millisecond, []int64{1000, 1200, 1400}},
		{"nobody asks", true, false, 4 * time.Second, 4500 * time.Millisecond, []int64{4050, 4250, 4450}},
		{"handing over", true, true, 1800 * time.Millisecond, 3 * time.Second, []int64{1850}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				defer sh.cancel()
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				s.setShard(sh)
				began := time.Now()
				if tt.takeover {
					sh.load.drop(began)
				}
				var got []int64
				for time.Since(began) <= tt.askUntil {
					sh.handingOver = tt.handOver && time.Since(began) >= 2*time.Second
					sh.refreshLoad(time.Now())
					if time.Since(began) >= tt.askFrom {
						_, at, ok := s.Load(time.Now())
						if ms := at.Sub(began).Milliseconds(); ok && !slices.Contains(got, ms) {
							got = append(got, ms)
						}
					}
					time.Sleep(tickInterval)
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("milliseconds at which loads were computed (-want +got):\n%s", diff)
				}
				if _, _, ok := s.Load(time.Now()); ok && tt.handOver {
					t.Error("a load is told after the hand-over")
				}
			})
		})
	}
}
