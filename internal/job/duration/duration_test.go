package duration

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestExpect guards against estimates that trust declared durations which tell
// little, or ignore those which tell a lot.
func TestExpect(t *testing.T) {
	tests := []struct {
		name     string
		observed int
		spread   float64 // deviation of the logarithm of what tasks take
		off      float64 // deviation of the logarithm of what is declared
		declared time.Duration
		min, max time.Duration
	}{
		{"nothing known", 0, 0, 0, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"nothing known nor declared", 0, 0, 0, 0, 0, 0},
		{"rough declarations", 100, 0.4, 1.2, 20 * time.Second, 2 * time.Second, 3500 * time.Millisecond},
		{"good declarations", 100, 1, 0.1, 20 * time.Second, 14 * time.Second, 22 * time.Second},
		{"nothing declared", 100, 0.4, 1.2, 0, 1700 * time.Millisecond, 2300 * time.Millisecond},
		{"few observed", 2, 0.4, 0.4, 20 * time.Second, 4 * time.Second, 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(11, 1))
			e := New()
			for range tt.observed {
				taken := 2 * time.Second.Seconds() * math.Exp(tt.spread*rng.NormFloat64())
				declared := taken * math.Exp(tt.off*rng.NormFloat64())
				e.Observe("quotes", seconds(declared), seconds(taken))
			}
			got := e.Estimate("quotes", tt.declared)
			if got < tt.min || got > tt.max {
				t.Errorf("expected %v, want %v to %v", got, tt.min, tt.max)
			}
			if other := e.Estimate("other", tt.declared); other != tt.declared {
				t.Errorf("queue without tasks: expected %v, want what is declared, %v", other, tt.declared)
			}
		})
	}
}

// TestFollow guards against estimates that never forget what tasks took before a
// new release of their program.
func TestFollow(t *testing.T) {
	e := New()
	for range 10 * memory {
		e.Observe("quotes", time.Second, time.Second)
	}
	for range 4 * memory {
		e.Observe("quotes", time.Second, 8*time.Second)
	}
	if got := e.Estimate("quotes", time.Second); got < 6*time.Second {
		t.Errorf("expected %v after the change, want nearly 8 s", got)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
