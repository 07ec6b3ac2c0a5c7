package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestObserveTail guards against attributing a change of a serving task's own load
// to batch work, or the reverse.
func TestObserveTail(t *testing.T) {
	const baseTail = 0.2 // tail latency without load, as a part of the target
	addedLoad := map[unit.ClassID]float64{"heavy": 1.2, "light": 0}
	tests := []struct {
		name      string
		amplitude float64 // amplitude of the utilization by the own load, around 0.45
		noise     float64 // standard deviation of the logarithm of a reported tail latency
	}{
		{"steady", 0, 0},
		{"noisy", 0, 0.1},
		{"swinging", 0.2, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 3))
			m := NewWithPrior(Prior{Mean: 1, Deviation: 6})
			bases := make([]BasePressure, 20)
			now := time.Unix(1_000_000, 0)
			var lastLoad float64
			for i := range 100 {
				now = now.Add(400 * time.Millisecond)
				for n := range bases {
					load := 0.45 + tt.amplitude*math.Sin(2*math.Pi*float64(i)/50+float64(n))
					lastLoad = load
					shares := map[unit.ClassID]float64{}
					if (i/5+n)%3 == 1 {
						shares["heavy"] = 0.15
					}
					if (i/7+n)%2 == 0 {
						shares["light"] = 0.2
					}
					tail := baseTail / (1 - load - addedLoad["heavy"]*shares["heavy"]) * math.Exp(tt.noise*rng.NormFloat64())
					m.ObserveTail(&bases[n], TailSample{Time: now, Class: "serving", Pressure: PressureOf(tail), Shares: shares})
				}
			}
			for batch, added := range addedLoad {
				want := added / baseTail
				if got := m.AddedPressure("serving", batch); math.Abs(got.Mean-want) > 1 {
					t.Errorf("%s: added pressure %.2f (deviation %.2f), want %.2f", batch, got.Mean, got.Deviation, want)
				}
			}
			want := -(1 - lastLoad) / baseTail
			if got, known := bases[len(bases)-1].Estimated(); !known || math.Abs(float64(got)-want) > 0.8 {
				t.Errorf("base pressure %.2f, known %v, want %.2f", got, known, want)
			}
		})
	}
}

// TestObserveTailAfterRestore guards against estimates that are lost at a takeover,
// or that samples no longer update after it.
func TestObserveTailAfterRestore(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	observe := func(m *Model, base *BasePressure, share float64) {
		now = now.Add(400 * time.Millisecond)
		m.ObserveTail(base, TailSample{Time: now, Class: "serving", Pressure: Pressure(-3 + 6*share), Shares: map[unit.ClassID]float64{"heavy": share}})
	}
	prior := Prior{Mean: 1, Deviation: 6}
	before, base := NewWithPrior(prior), BasePressure{}
	for i := range 50 {
		observe(before, &base, float64(i%3)/10)
	}
	after, base := NewWithPrior(prior), BasePressure{}
	after.Restore(before.Pairs(), now)
	if got, want := after.AddedPressure("serving", "heavy").Mean, before.AddedPressure("serving", "heavy").Mean; math.Abs(got-want) > 0.01 {
		t.Errorf("added pressure %.3f after the takeover, %.3f before", got, want)
	}
	for range 5 {
		observe(after, &base, 0.2)
	}
	if got, known := base.Estimated(); !known || math.Abs(float64(got)+3) > 0.3 {
		t.Errorf("base pressure %.2f, known %v, want -3", got, known)
	}
}

// TestManyBatchClasses guards against estimates that are dropped while their pairs are
// still in use: with more batch classes than rows, each sample would replace a class that
// other workers run, and every pair would stay at its prior.
func TestManyBatchClasses(t *testing.T) {
	tests := []struct {
		name    string
		classes int
	}{
		{"few", 9},
		{"a large fleet", 30},
		{"as many as the model keeps", maxClasses},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(5, 5))
			m := NewWithPrior(Prior{Mean: 1, Deviation: 6})
			bases := make([]BasePressure, 100)
			class := func(n int) unit.ClassID { return unit.ClassID(fmt.Sprintf("batch-%02d", n)) }
			added := func(n int) float64 { return float64(n%3) * 3 } // pressure by a class that takes all cores
			now := time.Unix(1_000_000, 0)
			for range 100 {
				now = now.Add(400 * time.Millisecond)
				for n := range bases {
					shares, pressure := map[unit.ClassID]float64{}, -3.0
					for range rng.IntN(5) { // a constant number would be confounded with the own load
						c := rng.IntN(tt.classes)
						shares[class(c)] += 0.1
						pressure += 0.1 * added(c)
					}
					m.ObserveTail(&bases[n], TailSample{Time: now, Class: "serving", Pressure: Pressure(pressure), Shares: shares})
				}
			}
			for n := range tt.classes {
				got := m.AddedPressure("serving", class(n))
				if want := added(n); math.Abs(got.Mean-want) > 0.75 {
					t.Errorf("%s: added pressure %.2f (deviation %.2f), want %.2f", class(n), got.Mean, got.Deviation, want)
				}
			}
		})
	}
}

// TestSamplesAreSeparate guards against a sample that takes up the shares of the one before
// it, whose buffer it uses: the model would learn of classes that did not run.
func TestSamplesAreSeparate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	both := map[unit.ClassID]float64{"b1": 0.3, "b2": 0.4}
	tests := []struct {
		name   string
		shares map[unit.ClassID]float64
		want   []float64
	}{
		{"both", both, []float64{0, 0.3, 0.4}},
		{"one", map[unit.ClassID]float64{"b2": 0.2}, []float64{0, 0, 0.2}},
		{"none", nil, []float64{0, 0, 0}},
		{"a new class", map[unit.ClassID]float64{"b3": 0.1}, []float64{0, 0, 0, 0.1}},
		{"both again", both, []float64{0, 0.3, 0.4, 0}},
	}
	m := New()
	var base BasePressure
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now = now.Add(time.Second)
			m.ObserveTail(&base, TailSample{Time: now, Class: "s", Pressure: -2, Shares: tt.shares})
			f := m.filters["s"][tailBand]
			if diff := cmp.Diff(tt.want, f.inputs); diff != "" {
				t.Errorf("inputs of the sample (-want +got):\n%s", diff)
			}
		})
	}
}
