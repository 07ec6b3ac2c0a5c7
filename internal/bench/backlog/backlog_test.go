package backlog

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func playOne(t *testing.T, load, policy string, span time.Duration) summary {
	t.Helper()
	for _, l := range Loads() {
		for _, p := range Policies() {
			if l.Name == load && p.Name == policy {
				return playAll(l, p, Options{Seeds: []uint64{1}, Span: span})[0]
			}
		}
	}
	t.Fatalf("no load %s or no policy %s", load, policy)
	return summary{}
}

// TestBestOrder guards against an order that loses value under overload, that exceeds the
// bound, or that serves the largest tenth of the jobs less than half as well as the class.
func TestBestOrder(t *testing.T) {
	tests := []struct {
		load string
		span time.Duration
		gain float64 // least gain over the order by deadline, in shares of the full value
	}{
		{"burst", 15 * time.Second, 0.1},
		{"all", 30 * time.Second, 0.15},
	}
	for _, tt := range tests {
		t.Run(tt.load, func(t *testing.T) {
			base, best := playOne(t, tt.load, "deadline", tt.span), playOne(t, tt.load, Best, tt.span)
			got, before := best.kinds[Batch].share(), base.kinds[Batch].share()
			if got < before+tt.gain || got > best.bound {
				t.Errorf("value %.3f, want at least %.3f and at most the bound %.3f", got, before+tt.gain, best.bound)
			}
			if largest := best.largest[Batch].share(); largest < got/2 {
				t.Errorf("value of the largest tenth %.3f, want at least half of %.3f", largest, got)
			}
			if urgent := best.kinds[Urgent].share(); urgent < base.kinds[Urgent].share()-0.01 {
				t.Errorf("value of urgent jobs %.3f, below %.3f", urgent, base.kinds[Urgent].share())
			}
		})
	}
}

// TestBound guards against a bound below what an order can reach.
func TestBound(t *testing.T) {
	newJobOf := func(due, objective time.Duration, coreSeconds, value float64) *job {
		s := shapeOf(Batch)
		took := time.Duration(coreSeconds / (float64(s.needs.Cores) / 1000) * float64(time.Second))
		return &job{Job: &Job{Kind: Batch, Due: due, Steps: []Step{{Took: []time.Duration{took}}}}, shape: s, objective: objective, value: value}
	}
	tests := []struct {
		name      string
		jobs      []*job
		available []float64
		want      float64
	}{
		{"all fit", []*job{newJobOf(0, time.Second, 10, 1)}, []float64{10, 10}, 1},
		{"half of the work fits", []*job{newJobOf(0, 900*time.Millisecond, 20, 1)}, []float64{10, 0, 0}, 0.15 + 0.85*0.5},
		{"one has to move for another", []*job{
			newJobOf(0, 1900*time.Millisecond, 10, 2), newJobOf(0, 900*time.Millisecond, 10, 1),
		}, []float64{10, 10}, 1},
		{"the more valuable one first", []*job{
			newJobOf(0, 900*time.Millisecond, 10, 1), newJobOf(0, 900*time.Millisecond, 10, 3),
		}, []float64{10}, 0.15 + 0.85*0.75},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := bound(tt.jobs, tt.available); math.Abs(got-tt.want) > 1e-3 {
				t.Errorf("bound %.4f, want %.4f", got, tt.want)
			}
		})
	}
}

// TestReadArrivals guards against recorded days with submissions that were not accepted, that
// repeat an earlier one, or of other queues.
func TestReadArrivals(t *testing.T) {
	const log = `
{"level":"info","time":"2026-12-06T08:00:00.500Z","msg":"submission","job":"a","queue":"quotes","existed":false,"error":null}
{"level":"info","time":"2026-12-06T08:00:00.700Z","msg":"submission","job":"a","queue":"quotes","existed":true,"error":null}
{"level":"info","time":"2026-12-06T08:00:00.800Z","msg":"submission","job":"b","queue":"reports","existed":false,"error":"store"}
{"level":"info","time":"2026-12-06T08:00:00.900Z","msg":"submission","job":"c","queue":"other","existed":false,"error":null}
{"level":"info","time":"2026-12-06T08:00:02.500Z","msg":"submission","job":"d","queue":"reports","existed":false,"error":null}
`
	queues, err := parseQueues("quotes=urgent,reports=batch")
	if err != nil {
		t.Fatal(err)
	}
	got, err := readArrivals(strings.NewReader(log), queues)
	if err != nil {
		t.Fatal(err)
	}
	want := &arrivals{kinds: []Kind{Urgent, Batch}, due: []time.Duration{0, 2 * time.Second}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(arrivals{})); diff != "" {
		t.Errorf("arrivals (-want +got):\n%s", diff)
	}
}
