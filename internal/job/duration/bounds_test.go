package duration

import (
	"testing"
	"time"
)

// TestRatioBounds guards against bounds that exclude what tasks of a queue took, or that are
// narrow after a few observations.
func TestRatioBounds(t *testing.T) {
	tests := []struct {
		name             string
		ratios           []float64 // of actual to declared durations, over and over
		count            int
		minLow, maxLow   float64
		minHigh, maxHigh float64
	}{
		{"nothing known", nil, 0, 1.0 / 13, 1.0 / 13, 13, 13},
		{"few observations", []float64{1}, 4, 1.0 / 13, 1.0 / 13, 13, 13},
		{"as declared", []float64{1}, 100, 0.6, 1, 1, 1.6},
		{"always five times", []float64{5}, 100, 2.5, 5, 5, 8},
		{"wide spread", []float64{0.25, 1, 4}, 100, 1.0 / 13, 0.25, 4, 13},
		{"beyond the largest error", []float64{40}, 100, 1, 13, 13, 13},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New()
			for i := range tt.count {
				e.Observe("q", time.Second, time.Duration(tt.ratios[i%len(tt.ratios)]*float64(time.Second)))
			}
			low, high := e.RatioBounds("q")
			if low < tt.minLow || low > tt.maxLow || high < tt.minHigh || high > tt.maxHigh {
				t.Errorf("bounds %.3f and %.3f, want %.3f to %.3f and %.3f to %.3f", low, high, tt.minLow, tt.maxLow, tt.minHigh, tt.maxHigh)
			}
		})
	}
}
