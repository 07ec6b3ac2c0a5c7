package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestModel guards against estimates that miss the interference of a pair, mix
// up classes that run together, follow outliers, or never forget.
func TestModel(t *testing.T) {
	start := time.Unix(0, 0)
	truth := map[unit.ClassID]float64{"noisy": 1.2, "mild": 0.2}
	tests := []struct {
		name      string
		reports   int
		outliers  float64       // part of the reports that are ten times too high
		together  bool          // both classes run on every worker
		idle      time.Duration // without reports at the end, then one without batch work
		confident bool
		tolerance float64
	}{
		{"few reports", 3, 0, false, 0, false, 1.2},
		{"many reports", 300, 0, false, 0, true, 0.15},
		{"outliers", 300, 0.05, false, 0, true, 0.3},
		{"together", 600, 0, true, 0, true, 0.3},
		{"forgotten", 300, 0, false, 3 * time.Hour, false, 1.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			m, now := New(), start
			report := func(shares map[unit.ClassID]float64) {
				latency := math.Log(0.020) + 0.05*rng.NormFloat64()
				for c, s := range shares {
					latency += truth[c] * s
				}
				if rng.Float64() < tt.outliers {
					latency += math.Log(10)
				}
				m.Observe(Sample{Time: now, Class: "quotes", Band: 1, Requests: 100,
					Latency: time.Duration(math.Exp(latency) * 1e9), Shares: shares})
			}
			for i := range tt.reports {
				now = now.Add(time.Second)
				shares := map[unit.ClassID]float64{"noisy": rng.Float64(), "mild": rng.Float64()}
				if !tt.together {
					delete(shares, []unit.ClassID{"noisy", "mild"}[i%2])
				}
				report(shares)
			}
			if tt.idle > 0 {
				now = now.Add(tt.idle)
				report(nil)
			}
			for class, want := range truth {
				if got := m.Expect("quotes", 1, class, 1); math.Abs(got.Mean-want) > tt.tolerance {
					t.Errorf("%s: got %+v, want mean %.2f", class, got, want)
				}
				if got := m.Confident("quotes", 1, class); got != tt.confident {
					t.Errorf("%s: confident %v, want %v, %+v", class, got, tt.confident, m.Expect("quotes", 1, class, 1))
				}
			}
			if !m.MayTry("quotes", 1, "unseen", 1, 64) || m.MayTry("quotes", 1, "unseen", 4, 64) {
				t.Error("an unseen class is not limited to 4 of 64 workers")
			}
		})
	}
}

// TestSize guards against reservations that trust a declared size after enough
// tasks have ended, or trust too few of them.
func TestSize(t *testing.T) {
	declared := unit.Resources{Cores: 8000, Memory: 16 << 30}
	tests := []struct {
		name     string
		ends     int
		real     float64 // ratio of real to declared size, give or take 10%
		exceeded bool
		sure     bool
		low, top float64 // bounds of the estimated memory over the declared one
	}{
		{"none", 0, 1, false, false, 1, 1},
		{"few stay at the declared size", 5, 0.3, false, false, 1, 1},
		{"few above it raise it", 5, 2, false, false, 2, 2.6},
		{"many lower it", 64, 0.3, false, true, 0.3, 0.4},
		{"out of memory raises it", 0, 1, true, false, 1.5, 1.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			s := NewSizes()
			for range tt.ends {
				r := tt.real * (0.9 + 0.2*rng.Float64())
				s.Observe(End{Class: "c", Declared: declared, DeclaredWork: time.Hour, Work: time.Duration(r * float64(time.Hour)),
					Peak: unit.Resources{Cores: unit.Millicores(8000 * r), Memory: unit.Bytes(r * (16 << 30))}})
			}
			if tt.exceeded {
				s.Exceeded("c", declared, declared)
			}
			size, sure := s.Size("c", declared)
			got := float64(size.Memory) / float64(declared.Memory)
			if sure != tt.sure || got < tt.low || got > tt.top {
				t.Errorf("got ratio %.2f sure %v, want %.2f to %.2f sure %v", got, sure, tt.low, tt.top, tt.sure)
			}
			if _, bound, sure := s.Work("c", time.Hour); sure != tt.sure || tt.sure && (bound > 24*time.Minute || bound < 18*time.Minute) {
				t.Errorf("run time: got %v, sure %v", bound, sure)
			}
		})
	}
}
