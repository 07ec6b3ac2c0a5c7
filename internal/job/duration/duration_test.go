package duration

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestEstimate guards against estimates that follow declared durations although
// they are inaccurate, or ignore them although they are accurate.
func TestEstimate(t *testing.T) {
	tests := []struct {
		name              string
		observed          int
		durationDeviation float64 // standard deviation of the logarithm of actual durations
		declaredDeviation float64 // standard deviation of the logarithm of declared over actual durations
		declared          time.Duration
		min, max          time.Duration
	}{
		{"nothing observed", 0, 0, 0, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"nothing observed nor declared", 0, 0, 0, 0, 0, 0},
		{"inaccurate declarations", 100, 0.4, 1.2, 20 * time.Second, 2 * time.Second, 3500 * time.Millisecond},
		{"accurate declarations", 100, 1, 0.1, 20 * time.Second, 14 * time.Second, 22 * time.Second},
		{"nothing declared", 100, 0.4, 1.2, 0, 1700 * time.Millisecond, 2300 * time.Millisecond},
		{"few observed", 2, 0.4, 0.4, 20 * time.Second, 4 * time.Second, 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(11, 1))
			e := New()
			for range tt.observed {
				actual := 2 * time.Second.Seconds() * math.Exp(tt.durationDeviation*rng.NormFloat64())
				declared := actual * math.Exp(tt.declaredDeviation*rng.NormFloat64())
				e.Observe("quotes", seconds(declared), seconds(actual))
			}
			got := e.Estimate("quotes", tt.declared)
			if got < tt.min || got > tt.max {
				t.Errorf("estimate %v, want %v to %v", got, tt.min, tt.max)
			}
			if other := e.Estimate("other", tt.declared); other != tt.declared {
				t.Errorf("queue without observations: estimate %v, want the declared duration %v", other, tt.declared)
			}
		})
	}
}

// TestEstimateAdapts guards against estimates that do not adapt to a new release of
// the tasks' program.
func TestEstimateAdapts(t *testing.T) {
	e := New()
	for range 10 * maxObservations {
		e.Observe("quotes", time.Second, time.Second)
	}
	for range 4 * maxObservations {
		e.Observe("quotes", time.Second, 8*time.Second)
	}
	if got := e.Estimate("quotes", time.Second); got < 6*time.Second {
		t.Errorf("estimate %v after the change, want nearly 8 s", got)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
