package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestRead guards against a model that takes the swing of a serving task's own
// load for the effect of batch work, or the other way round.
func TestRead(t *testing.T) {
	const base = 0.2 // tail without load, as a share of the target
	truth := map[unit.ClassID]float64{"heavy": 1.2, "light": 0}
	tests := []struct {
		name  string
		swing float64 // of the own utilization, around 0.45
		noise float64 // deviation of the logarithm of a figure
	}{
		{"steady", 0, 0},
		{"noisy", 0, 0.1},
		{"swinging", 0.2, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 3))
			m := NewWithPrior(Prior{Mean: 1, Deviation: 6})
			owns := make([]BasePressure, 20)
			now := time.Unix(1_000_000, 0)
			var lastOwn float64
			for i := range 100 {
				now = now.Add(400 * time.Millisecond)
				for n := range owns {
					load := 0.45 + tt.swing*math.Sin(2*math.Pi*float64(i)/50+float64(n))
					lastOwn = load
					shares := map[unit.ClassID]float64{}
					if (i/5+n)%3 == 1 {
						shares["heavy"] = 0.15
					}
					if (i/7+n)%2 == 0 {
						shares["light"] = 0.2
					}
					tail := base / (1 - load - truth["heavy"]*shares["heavy"]) * math.Exp(tt.noise*rng.NormFloat64())
					m.ObserveTail(&owns[n], TailSample{Time: now, Class: "serving", Pressure: PressureOf(tail), Shares: shares})
				}
			}
			for batch, press := range truth {
				want := press / base
				if got := m.AddedPressure("serving", batch); math.Abs(got.Mean-want) > 1 {
					t.Errorf("%s: adds %.2f (deviation %.2f), want %.2f", batch, got.Mean, got.Deviation, want)
				}
			}
			want := -(1 - lastOwn) / base
			if got, known := owns[len(owns)-1].Estimated(); !known || math.Abs(float64(got)-want) > 0.8 {
				t.Errorf("own pressure %.2f, known %v, want %.2f", got, known, want)
			}
		})
	}
}

// TestReadRestore guards against a takeover after which readings teach nothing.
func TestReadRestore(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	read := func(m *Model, own *BasePressure, share float64) {
		now = now.Add(400 * time.Millisecond)
		m.ObserveTail(own, TailSample{Time: now, Class: "serving", Pressure: Pressure(-3 + 6*share), Shares: map[unit.ClassID]float64{"heavy": share}})
	}
	prior := Prior{Mean: 1, Deviation: 6}
	before, own := NewWithPrior(prior), BasePressure{}
	for i := range 50 {
		read(before, &own, float64(i%3)/10)
	}
	after, own := NewWithPrior(prior), BasePressure{}
	after.Restore(before.Pairs(), now)
	if got, want := after.AddedPressure("serving", "heavy").Mean, before.AddedPressure("serving", "heavy").Mean; math.Abs(got-want) > 0.01 {
		t.Errorf("adds %.3f after the takeover, before %.3f", got, want)
	}
	for range 5 {
		read(after, &own, 0.2)
	}
	if got, known := own.Estimated(); !known || math.Abs(float64(got)+3) > 0.3 {
		t.Errorf("own pressure %.2f, known %v, want -3", got, known)
	}
}
