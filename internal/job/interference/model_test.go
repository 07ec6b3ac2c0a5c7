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

// TestModel guards against estimates that miss the interference of a pair, confuse
// classes that run together, follow outliers, or stay confident without new reports.
func TestModel(t *testing.T) {
	start := time.Unix(0, 0)
	trueRises := map[unit.ClassID]float64{"noisy": 1.2, "mild": 0.2}
	tests := []struct {
		name       string
		reports    int
		outliers   float64       // part of the reports whose latency is ten times too high
		concurrent bool          // both classes run at the same time
		idle       time.Duration // pause after the reports, before a last one without batch work
		confident  bool
		tolerance  float64
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
			model, now := New(), start
			report := func(shares map[unit.ClassID]float64) {
				latency := math.Log(0.020) + 0.05*rng.NormFloat64()
				for c, s := range shares {
					latency += trueRises[c] * s
				}
				if rng.Float64() < tt.outliers {
					latency += math.Log(10)
				}
				model.Observe(Sample{Time: now, Class: "quotes", Band: 1, Requests: 100,
					Latency: time.Duration(math.Exp(latency) * 1e9), Shares: shares})
			}
			for i := range tt.reports {
				now = now.Add(time.Second)
				shares := map[unit.ClassID]float64{"noisy": rng.Float64(), "mild": rng.Float64()}
				if !tt.concurrent {
					delete(shares, []unit.ClassID{"noisy", "mild"}[i%2])
				}
				report(shares)
			}
			if tt.idle > 0 {
				now = now.Add(tt.idle)
				report(nil)
			}
			for class, want := range trueRises {
				if got := model.Predict("quotes", 1, class, 1); math.Abs(got.Mean-want) > tt.tolerance {
					t.Errorf("%s: got %+v, want mean %.2f", class, got, want)
				}
				if got := model.Confident("quotes", 1, class, 0.4); got != tt.confident {
					t.Errorf("%s: confident %v, want %v, %+v", class, got, tt.confident, model.Predict("quotes", 1, class, 1))
				}
			}
		})
	}
}

// TestSize guards against reservations that follow a declared size after enough
// tasks have completed, or that follow too few completed tasks.
func TestSize(t *testing.T) {
	declared := unit.Resources{Cores: 8000, Memory: 16 << 30}
	tests := []struct {
		name               string
		completed          int
		usageRatio         float64 // ratio of used to declared size, within 10%
		outOfMemory        bool
		confident          bool
		jobTasks           int     // number of completed tasks that belong to the same job
		minRatio, maxRatio float64 // bounds of the ratio of estimated to declared memory
	}{
		{"none", 0, 1, false, false, 0, 1, 1},
		{"few smaller tasks keep the declared size", 5, 0.3, false, false, 0, 1, 1},
		{"few larger tasks raise the size", 5, 2, false, false, 0, 2, 2.6},
		{"few smaller tasks of the same job lower the size", 5, 0.3, false, true, 5, 0.3, 0.4},
		{"many smaller tasks lower the size", 64, 0.3, false, true, 0, 0.3, 0.4},
		{"out of memory raises the size", 0, 1, true, false, 0, 1.5, 1.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			estimator := NewSizeEstimator()
			var job JobPeak
			for i := range tt.completed {
				ratio := tt.usageRatio * (0.9 + 0.2*rng.Float64())
				peak := unit.Resources{Cores: unit.Millicores(8000 * ratio), Memory: unit.Bytes(ratio * (16 << 30))}
				estimator.Observe(TaskUsage{Class: "c", Declared: declared, Peak: peak, DeclaredWork: time.Hour, Work: time.Duration(ratio * float64(time.Hour))})
				if i < tt.jobTasks {
					job.Add(peak)
				}
			}
			if tt.outOfMemory {
				estimator.ObserveOutOfMemory("c", declared, declared)
			}
			size, confident := estimator.Size("c", declared, job)
			got := float64(size.Memory) / float64(declared.Memory)
			if confident != tt.confident || got < tt.minRatio || got > tt.maxRatio {
				t.Errorf("ratio %.2f, confident %v; want %.2f to %.2f, confident %v", got, confident, tt.minRatio, tt.maxRatio, tt.confident)
			}
			if _, bound, confident := estimator.Work("c", time.Hour); confident != (tt.completed == 64) || confident && (bound > 24*time.Minute || bound < 18*time.Minute) {
				t.Errorf("run time: bound %v, confident %v", bound, confident)
			}
		})
	}
}

// TestHarm guards against placing a class with an uncertain estimate on many
// workers, placing a class that is known to be harmful, and refusing a worker to
// replicas of a standing class.
func TestHarm(t *testing.T) {
	tests := []struct {
		name    string
		rise    float64 // rise of the logarithm of the latency when the class takes all cores
		reports int
		kind    spec.Kind
		allowed int // number of the 64 workers on which the class may take half of the cores
	}{
		{"uncertain", 0, 0, spec.KindBatch, 8},
		{"known mild", 0.1, 200, spec.KindBatch, 64},
		{"known harmful", 2, 200, spec.KindBatch, 0},
		{"replicas", 2, 200, spec.KindStanding, 64},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			advisor, size := NewAdvisor(), unit.Resources{Cores: 32000}
			advisor.SetTarget("quotes", spec.KindRequest, spec.Target{Percentile: 99, Bound: unit.Duration(100 * time.Millisecond)})
			advisor.SetTarget("c", tt.kind, spec.Target{})
			for i := range 64 {
				advisor.UpsertWorker(unit.InstanceID(fmt.Sprint("w", i)), 64000, []unit.ClassID{"quotes"})
			}
			for i := range tt.reports {
				sample := Sample{Time: time.Unix(int64(i), 0), Class: "quotes", Band: 1, Requests: 100, Shares: map[unit.ClassID]float64{}}
				if i%2 == 0 {
					sample.Shares["c"] = 0.5
				}
				sample.Latency = time.Duration(25e6 * math.Exp(tt.rise*sample.Shares["c"]))
				advisor.Observe("w0", sample, 2*sample.Latency)
			}
			allowed := 0
			for i := range 64 {
				id := unit.InstanceID(fmt.Sprint("w", i))
				if !math.IsInf(advisor.Harm(id, "c", size), 1) {
					advisor.AdjustLoad(id, "c", 1, size.Cores)
					allowed++
				}
			}
			if allowed != tt.allowed {
				t.Errorf("allowed on %d workers, want %d", allowed, tt.allowed)
			}
		})
	}
}

// BenchmarkHarm measures one evaluation of a worker with 4 batch classes and 2
// classes of requests. Placement makes at most 24 of them per start.
func BenchmarkHarm(b *testing.B) {
	advisor := NewAdvisor()
	serves := []unit.ClassID{"checks", "settlements"}
	advisor.UpsertWorker("w", 16000, serves)
	shares := map[unit.ClassID]float64{}
	for _, c := range []unit.ClassID{"a", "b", "c", "d"} {
		advisor.AdjustLoad("w", c, 1, 1000)
		shares[c] = 0.06
	}
	for i := range 100 {
		for _, c := range serves {
			advisor.SetTarget(c, spec.KindRequest, spec.Target{Percentile: 99, Bound: unit.Duration(time.Second)})
			advisor.Observe("w", Sample{Time: time.Unix(int64(i), 0), Class: c, Band: Band(i % BandCount), Requests: 100, Latency: 50 * time.Millisecond, Shares: shares}, 100*time.Millisecond)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		advisor.Harm("w", "a", unit.Resources{Cores: 1000})
	}
}

// BenchmarkObserve measures the update from one report of one class of requests.
func BenchmarkObserve(b *testing.B) {
	model, shares, now := New(), map[unit.ClassID]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}, time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		model.Observe(Sample{Time: now, Class: "checks", Band: 1, Requests: 100, Latency: 50 * time.Millisecond, Shares: shares})
	}
}
