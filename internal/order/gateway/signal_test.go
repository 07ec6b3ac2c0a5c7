package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestSignalWindow guards against a median or tail that is wrong by more than one
// bucket, which the model would take for interference, and against failed requests
// that are counted as fast ones.
func TestSignalWindow(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name         string
		latencies    []time.Duration // of complete responses
		failed       int
		median, tail time.Duration
		late         uint32
	}{
		{"one", []time.Duration{20 * ms}, 0, 20 * ms, 20 * ms, 0},
		{"spread", []time.Duration{10 * ms, 20 * ms, 30 * ms, 40 * ms, 500 * ms}, 0, 30 * ms, 40 * ms, 1},
		{"beyond the buckets", []time.Duration{time.Microsecond}, 0, firstBucket, firstBucket, 0},
		{"failures only", nil, 3, 0, 0, 3},
		{"failures beside responses", []time.Duration{20 * ms}, 2, 20 * ms, 20 * ms, 2},
	}
	near := func(a, b time.Duration) bool { return a == b || math.Abs(math.Log(float64(a)/float64(b))) <= 0.1 }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			ws := newSignalWindows(start)
			for _, l := range tt.latencies {
				ws.observe(observation{worker: "w", class: "c", percentile: 99, latency: l, slotTime: l, complete: true, late: l > 100*ms})
			}
			for range tt.failed {
				ws.observe(observation{worker: "w", class: "c", percentile: 99, latency: ms, late: true})
			}
			got := ws.takeSignals(start.Add(2 * time.Second))
			if len(got) != 1 {
				t.Fatalf("%d signals", len(got))
			}
			s := got[0]
			if !near(s.Median, tt.median) || !near(s.Tail, tt.tail) || s.Late != tt.late || s.Span != 2*time.Second || int(s.Requests) != len(tt.latencies)+tt.failed {
				t.Errorf("signal %+v, want median %s, tail %s, late %d", s, tt.median, tt.tail, tt.late)
			}
			if again := ws.takeSignals(start.Add(4 * time.Second)); len(again) != 0 {
				t.Errorf("signals taken twice: %+v", again)
			}
		})
	}
}

// TestSignalWindowLimit guards against memory use that grows with the number of
// workers.
func TestSignalWindowLimit(t *testing.T) {
	ws := newSignalWindows(time.Now())
	for n := range maxWindows + 10 {
		ws.observe(observation{worker: unit.InstanceID(fmt.Sprint(n)), class: "c", complete: true})
	}
	if got := len(ws.takeSignals(time.Now())); got != maxWindows {
		t.Errorf("%d windows, limit %d", got, maxWindows)
	}
}
