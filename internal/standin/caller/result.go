package caller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes. The first three are those of the header Monsoonfold-Outcome.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeMissing Outcome = "missing" // a response without the header
	OutcomeAborted Outcome = "aborted" // the response ended early with an error
	OutcomeLost    Outcome = "lost"    // no response arrived
	OutcomeUnsent  Outcome = "unsent"  // too many requests were in flight
	OutcomeCut     Outcome = "cut"     // the response ended without an error but is truncated
	OutcomeForeign Outcome = "foreign" // the response belongs to another request
)

// Result is the result of a load.
type Result struct {
	Elapsed unit.Duration `json:"elapsed"`
	Sent    int           `json:"sent"` // including repeats
	Kinds   []KindResult  `json:"kinds"`
	// Workers counts the complete responses by the worker that ran the request.
	Workers map[unit.InstanceID]int `json:"workers"`
	// NotRun contains the check ids of requests reported as not run. A worker whose
	// audit counts a run of one of them proves that report false.
	NotRun []string `json:"notrun,omitempty"`
	// Wrong contains the check ids of responses that were cut or foreign.
	Wrong []string `json:"wrong,omitempty"`
}

// KindResult is the result of one kind of request.
type KindResult struct {
	Method   string          `json:"method"`
	Path     string          `json:"path"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Latency is that of the requests with outcome done, from the time at which
	// each was due to the end of its response.
	Latency Latency `json:"latency"`
}

// Latency is a summary of a histogram.
type Latency struct {
	Count int64         `json:"count"`
	Mean  unit.Duration `json:"mean"`
	P50   unit.Duration `json:"p50"`
	P90   unit.Duration `json:"p90"`
	P99   unit.Duration `json:"p99"`
	P999  unit.Duration `json:"p999"`
	Max   unit.Duration `json:"max"`
}

// Resolution and range of the histograms, in microseconds.
const (
	minLatency         = 1
	maxLatency         = int64(2 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// completion is the end of one request.
type completion struct {
	arrival arrival
	outcome Outcome
	latency time.Duration
	worker  unit.InstanceID
}

// tally sums up endings. It has no I/O.
type tally struct {
	result     Result
	histograms []*hdrhistogram.Histogram // by kind
}

func newTally(kinds []Kind) *tally {
	t := &tally{result: Result{Workers: map[unit.InstanceID]int{}}}
	for _, kind := range kinds {
		t.result.Kinds = append(t.result.Kinds, KindResult{
			Method: kind.Method, Path: kind.Path, Outcomes: map[Outcome]int{},
		})
		t.histograms = append(t.histograms, hdrhistogram.New(minLatency, maxLatency, significantFigures))
	}
	return t
}

func (t *tally) add(e completion) {
	t.result.Kinds[e.arrival.kind].Outcomes[e.outcome]++
	if e.outcome != OutcomeUnsent {
		t.result.Sent++
	}
	switch e.outcome {
	case OutcomeDone:
		t.result.Workers[e.worker]++
		value := min(max(int64(e.latency/time.Microsecond), minLatency), maxLatency)
		_ = t.histograms[e.arrival.kind].RecordValue(value) // the value is within the range
	case OutcomeNotRun:
		t.result.NotRun = append(t.result.NotRun, e.arrival.check)
	case OutcomeCut, OutcomeForeign:
		t.result.Wrong = append(t.result.Wrong, e.arrival.check)
	}
}

func (t *tally) computeResult(elapsed time.Duration) Result {
	t.result.Elapsed = unit.Duration(elapsed)
	for i, h := range t.histograms {
		at := func(percentile float64) unit.Duration {
			return unit.Duration(time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond)
		}
		t.result.Kinds[i].Latency = Latency{
			Count: h.TotalCount(), Mean: unit.Duration(h.Mean() * float64(time.Microsecond)),
			P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100),
		}
	}
	return t.result
}
