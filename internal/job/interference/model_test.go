package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
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
				if got := m.Predict("quotes", 1, class, 1); math.Abs(got.Mean-want) > tt.tolerance {
					t.Errorf("%s: got %+v, want mean %.2f", class, got, want)
				}
				if got := m.Confident("quotes", 1, class, 0.4); got != tt.confident {
					t.Errorf("%s: confident %v, want %v, %+v", class, got, tt.confident, m.Predict("quotes", 1, class, 1))
				}
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
		alike    int     // tasks of the same job among them
		low, top float64 // bounds of the estimated memory over the declared one
	}{
		{"none", 0, 1, false, false, 0, 1, 1},
		{"few stay at the declared size", 5, 0.3, false, false, 0, 1, 1},
		{"few above it raise it", 5, 2, false, false, 0, 2, 2.6},
		{"few of the same job lower it", 5, 0.3, false, true, 5, 0.3, 0.4},
		{"many lower it", 64, 0.3, false, true, 0, 0.3, 0.4},
		{"out of memory raises it", 0, 1, true, false, 0, 1.5, 1.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			s := NewSizeEstimator()
			var job JobPeak
			for i := range tt.ends {
				r := tt.real * (0.9 + 0.2*rng.Float64())
				peak := unit.Resources{Cores: unit.Millicores(8000 * r), Memory: unit.Bytes(r * (16 << 30))}
				s.Observe(TaskUsage{Class: "c", Declared: declared, Peak: peak, DeclaredWork: time.Hour, Work: time.Duration(r * float64(time.Hour))})
				if i < tt.alike {
					job.Add(peak)
				}
			}
			if tt.exceeded {
				s.ObserveOutOfMemory("c", declared, declared)
			}
			size, sure := s.Size("c", declared, job)
			got := float64(size.Memory) / float64(declared.Memory)
			if sure != tt.sure || got < tt.low || got > tt.top {
				t.Errorf("got ratio %.2f sure %v, want %.2f to %.2f sure %v", got, sure, tt.low, tt.top, tt.sure)
			}
			if _, bound, sure := s.Work("c", time.Hour); sure != (tt.ends == 64) || sure && (bound > 24*time.Minute || bound < 18*time.Minute) {
				t.Errorf("run time: got %v, sure %v", bound, sure)
			}
		})
	}
}

// TestHarm guards against an uncertain class that spreads over the fleet, a known
// bad one that is placed again, and replicas that are refused a worker.
func TestHarm(t *testing.T) {
	tests := []struct {
		name    string
		rise    float64 // of the latency when the class takes all cores
		reports int
		kind    spec.Kind
		allowed int // of 64 workers, for a class on half of the cores
	}{
		{"uncertain", 0, 0, spec.KindBatch, 8},
		{"known mild", 0.1, 200, spec.KindBatch, 64},
		{"known bad", 2, 200, spec.KindBatch, 0},
		{"replicas", 2, 200, spec.KindStanding, 64},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, size := NewAdvisor(), unit.Resources{Cores: 32000}
			a.SetTarget("quotes", spec.KindRequest, spec.Target{Percentile: 99, Bound: unit.Duration(100 * time.Millisecond)})
			a.SetTarget("c", tt.kind, spec.Target{})
			for i := range 64 {
				a.UpsertWorker(unit.InstanceID(fmt.Sprint("w", i)), 64000, []unit.ClassID{"quotes"})
			}
			for i := range tt.reports {
				s := Sample{Time: time.Unix(int64(i), 0), Class: "quotes", Band: 1, Requests: 100, Shares: map[unit.ClassID]float64{}}
				if i%2 == 0 {
					s.Shares["c"] = 0.5
				}
				s.Latency = time.Duration(25e6 * math.Exp(tt.rise*s.Shares["c"]))
				a.Observe("w0", s, 2*s.Latency)
			}
			allowed := 0
			for i := range 64 {
				id := unit.InstanceID(fmt.Sprint("w", i))
				if !math.IsInf(a.Harm(id, "c", size), 1) {
					a.AdjustLoad(id, "c", 1, size.Cores)
					allowed++
				}
			}
			if allowed != tt.allowed {
				t.Errorf("allowed on %d workers, want %d", allowed, tt.allowed)
			}
		})
	}
}

// BenchmarkHarm measures one judgement of a worker with 4 batch classes and 2
// classes of requests. Placement makes at most 24 for a start.
func BenchmarkHarm(b *testing.B) {
	a := NewAdvisor()
	serves := []unit.ClassID{"checks", "settlements"}
	a.UpsertWorker("w", 16000, serves)
	shares := map[unit.ClassID]float64{}
	for _, c := range []unit.ClassID{"a", "b", "c", "d"} {
		a.AdjustLoad("w", c, 1, 1000)
		shares[c] = 0.06
	}
	for i := range 100 {
		for _, c := range serves {
			a.SetTarget(c, spec.KindRequest, spec.Target{Percentile: 99, Bound: unit.Duration(time.Second)})
			a.Observe("w", Sample{Time: time.Unix(int64(i), 0), Class: c, Band: Band(i % BandCount), Requests: 100, Latency: 50 * time.Millisecond, Shares: shares}, 100*time.Millisecond)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Harm("w", "a", unit.Resources{Cores: 1000})
	}
}

// BenchmarkObserve measures one report of one class of requests.
func BenchmarkObserve(b *testing.B) {
	m, shares, at := New(), map[unit.ClassID]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}, time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(time.Millisecond)
		m.Observe(Sample{Time: at, Class: "checks", Band: 1, Requests: 100, Latency: 50 * time.Millisecond, Shares: shares})
	}
}
