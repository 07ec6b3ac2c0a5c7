// Package metric has the counters and latency histograms of an entry. They are
// served as JSON text by expvar.
package metric

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-chi/chi/v5"
)

// Counters by outcome or kind.
var (
	Submissions      = expvar.NewMap("submissions") // of jobs, by outcome
	Orders           = expvar.NewMap("orders")      // to workers, by kind and outcome
	RunEnds          = expvar.NewMap("ends")        // of runs, by kind
	FinalStates      = expvar.NewMap("finals")      // final states of jobs
	OwnershipChanges = expvar.NewMap("terms")       // of ownership: taken over, given up
	ExpiredLeases    = expvar.NewInt("lapses")      // workers whose lease expired with runs on it
	StoreCalls       = expvar.NewMap("kv_calls")    // direct ones, by operation
)

// Histograms of latencies in microseconds.
var (
	SubmitLatency     = NewHistogram("submit_us")      // from the arrival of a job to its answer
	FirstStartLatency = NewHistogram("first_start_us") // from the arrival of a job to the order of its first start
	StoreLatency      = NewHistogram("kv_us")          // of direct store calls other than watches
	OrderLatency      = NewHistogram("order_us")       // of orders to workers other than holds
)

// Range and precision of the histograms.
const (
	lowest  = 1
	highest = int64(2 * time.Minute / time.Microsecond)
	digits  = 2
)

// Histogram is a latency histogram. Its memory does not grow with its use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns a histogram that is published under a name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(lowest, highest, digits)}
	expvar.Publish(name, expvar.Func(h.summary))
	return h
}

// Record adds a latency; one beyond the range counts as its bound.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowest), highest)) // within the range
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P95   int64 `json:"p95"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{h.h.TotalCount(), h.h.ValueAtQuantile(50), h.h.ValueAtQuantile(95), h.h.ValueAtQuantile(99), h.h.Max()}
}

// Handler serves all metrics under /metrics.
func Handler() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", expvar.Handler())
	return r
}
