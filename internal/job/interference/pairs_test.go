package interference

import (
	"math"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestRestore guards against losing the estimates of all pairs at a takeover, after
// which the new owner would have to learn them again.
func TestRestore(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	model := NewWithPrior(Prior{Mean: 0.5, Deviation: 4})
	for i := range 200 {
		share := float64(i%5) / 10
		for _, c := range []struct {
			batch unit.ClassID
			rise  float64
		}{{"heavy", 6}, {"light", 0.2}} {
			model.Observe(Sample{
				Time: now.Add(time.Duration(i) * 10 * time.Millisecond), Class: "quotes", Band: 1, Requests: 50,
				Latency: time.Duration(20 * float64(time.Millisecond) * math.Exp(c.rise*share)),
				Shares:  map[unit.ClassID]float64{c.batch: share},
			})
		}
	}
	restored := NewWithPrior(Prior{Mean: 0.5, Deviation: 4})
	restored.Restore(model.Pairs(), now.Add(2*time.Second))
	for _, tt := range []struct {
		batch    unit.ClassID
		min, max float64 // bounds of the rise at a fifth of the cores
	}{
		{"heavy", 0.9, 1.5},
		{"light", 0, 0.2},
		{"unknown", 0.05, 0.15},
	} {
		t.Run(string(tt.batch), func(t *testing.T) {
			got := restored.Predict("quotes", 1, tt.batch, 0.2).Mean
			if got < tt.min || got > tt.max {
				t.Errorf("rise %.3f, want %.2f to %.2f", got, tt.min, tt.max)
			}
			if original := model.Predict("quotes", 1, tt.batch, 0.2).Mean; math.Abs(got-original) > 0.01 {
				t.Errorf("rise %.3f, want %.3f as in the original model", got, original)
			}
		})
	}
}
