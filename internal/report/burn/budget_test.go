package burn

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

var quotes = spec.Document{Classes: []spec.Class{{
	Name: "quote", Kind: spec.KindRequest, Target: spec.Target{Percentile: 99},
}}}

// TestReport guards against wrong burn rates, samples that are counted after their
// window, and a forecast that misses an imminent exhaustion.
func TestReport(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	type load struct {
		age       time.Duration // of all samples of the load
		good, bad int
		zone      unit.ZoneID // zone of the bad samples
	}
	tests := []struct {
		name        string
		loads       []load
		short, long float64
		exhausted   time.Duration // from now; 0: not forecast
		cause       string        // first reported cause
	}{
		{"no samples", nil, 0, 0, 0, ""},
		{"all good", []load{{0, 100, 0, ""}}, 0, 0, 0, ""},
		{"burn rate of 1", []load{{0, 99, 1, "guj-morbi"}}, 1, 1, 0, "guj-morbi"},
		{"old samples count in the long window only", []load{{30 * time.Minute, 990, 5, "guj-hazira"}, {0, 5, 0, ""}}, 0, 0.5, 0, "guj-hazira"},
		{"samples over an hour old do not count", []load{{61 * time.Minute, 0, 100, ""}, {0, 10, 0, ""}}, 0, 0, 0, ""},
		{"exhaustion forecast after a sudden burn", []load{{30 * time.Minute, 9_900, 0, ""}, {0, 90, 10, "guj-morbi"}}, 10, 0.1, 324 * time.Second, "guj-morbi"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewBudgets()
			for _, l := range tt.loads {
				at := now.Add(-l.age)
				for range l.good {
					a.Observe(Sample{Time: at, Class: "quote", Good: true})
				}
				for range l.bad {
					a.Observe(Sample{Time: at, Class: "quote", Zone: l.zone})
				}
			}
			line := a.Report(now, &quotes).Lines[0]
			got := []float64{line.Short, line.Long}
			if diff := cmp.Diff([]float64{tt.short, tt.long}, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("short and long burn (-want +got):\n%s", diff)
			}
			var timeToExhaustion time.Duration
			if line.ExhaustedAt != nil {
				timeToExhaustion = line.ExhaustedAt.Sub(now).Round(time.Second)
			}
			if diff := cmp.Diff(tt.exhausted, timeToExhaustion); diff != "" {
				t.Errorf("time to exhaustion (-want +got):\n%s", diff)
			}
			var cause string
			if len(line.Causes) > 0 {
				cause = line.Causes[0].Name
			}
			if diff := cmp.Diff(tt.cause, cause); diff != "" {
				t.Errorf("first cause (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCausesAreBounded guards against memory use that grows with the number of
// workers that miss a target.
func TestCausesAreBounded(t *testing.T) {
	a := NewBudgets()
	now := time.Unix(1_800_000_000, 0)
	for i := range 10_000 {
		worker := unit.InstanceID("w" + strconv.Itoa(i))
		a.Observe(Sample{Time: now, Class: "quote", Worker: worker})
	}
	if n := len(a.classes["quote"].causes); n > maxCauses {
		t.Errorf("%d causes kept, want at most %d", n, maxCauses)
	}
}

// TestHTML guards against a page in which a class name injects markup, and against
// one that loads external resources.
func TestHTML(t *testing.T) {
	a := NewBudgets()
	now := time.Unix(1_800_000_000, 0)
	doc := spec.Document{Classes: []spec.Class{{Name: "<script>x</script>", Kind: spec.KindBatch}}}
	a.Observe(Sample{Time: now, Class: doc.Classes[0].Name})
	var b strings.Builder
	if err := a.Report(now, &doc).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	for _, banned := range []string{"<script", "http://", "https://"} {
		if strings.Contains(b.String(), banned) {
			t.Errorf("page contains %q", banned)
		}
	}
}

// TestTallies guards against a report over several entries that loses samples or
// counts them twice.
func TestTallies(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name      string
		entries   [][2]int // numbers of good and bad samples of each entry
		age       time.Duration
		good, bad uint64
	}{
		{"none", nil, 0, 0, 0},
		{"one", [][2]int{{9, 1}}, 0, 9, 1},
		{"three", [][2]int{{9, 1}, {5, 0}, {0, 4}}, 30 * time.Minute, 14, 5},
		{"outside the window", [][2]int{{9, 1}}, 61 * time.Minute, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := NewBudgets()
			for _, e := range tt.entries {
				one := NewBudgets()
				for i := range e[0] + e[1] {
					one.Observe(Sample{Time: now.Add(-tt.age), Class: "quote", Good: i < e[0], Zone: "guj-morbi"})
				}
				all.Add(one.Tallies(now))
			}
			l := all.Report(now, &quotes).Lines[0]
			if diff := cmp.Diff([]uint64{tt.good, tt.bad}, []uint64{l.Good, l.Bad}); diff != "" {
				t.Errorf("good and bad (-want +got):\n%s", diff)
			}
		})
	}
}
