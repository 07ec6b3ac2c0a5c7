// Package metric defines the counters and latency histograms of an entry. Expvar
// serves them as JSON.
package metric

import (
	"expvar"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-chi/chi/v5"
)

// Counters; the maps count by the stated keys.
var (
	Submissions      = expvar.NewMap("submissions")  // submissions of jobs, by outcome
	Rejections       = expvar.NewMap("rejections")   // jobs rejected for want of capacity, by cause
	Orders           = expvar.NewMap("orders")       // orders to workers, by kind and outcome
	RunEnds          = expvar.NewMap("ends")         // ended runs, by kind of end
	FinalStates      = expvar.NewMap("finals")       // jobs that reached a final state, by state
	OwnershipChanges = expvar.NewMap("terms")        // changes of ownership of a shard: taken over or given up
	ExpiredLeases    = expvar.NewInt("lapses")       // workers whose lease expired while they had runs
	LateAnswers      = expvar.NewInt("late_answers") // answers to heartbeats that arrived after the worker counted as not reached
	RelayedStarts    = expvar.NewInt("relayed")      // starts that were sent through another entry
	// RelayedBatches counts the calls that carried RelayedStarts, and RelayedBytes what these
	// calls took before encryption.
	RelayedBatches = expvar.NewInt("relayedbatches")
	RelayedBytes   = expvar.NewInt("relayedbytes")
	// RelayedHeartbeats counts the answers to heartbeats that were sent through another entry.
	RelayedHeartbeats = expvar.NewInt("relayedheartbeats")
	StoreCalls        = expvar.NewMap("kv_calls")         // direct store calls, by operation
	SkippedItems      = expvar.NewMap("skipped")          // items of the store that cannot be used, by the first part of the key
	RejectedKeys      = expvar.NewMap("rejected_keys")    // requests that were not authenticated, by cause
	KeyOutages        = expvar.NewInt("key_outages")      // times that the configuration became too old to accept keys
	RejectedClients   = expvar.NewMap("rejected_clients") // clients rejected or disconnected by the limits, by cause
	// ClientBytes and ClientConnections are what clients of the HTTP listeners hold now.
	ClientBytes       = expvar.NewInt("client_bytes")
	ClientConnections = expvar.NewInt("client_conns")
)

// AddSkippedItem counts an item of the store that cannot be used, by its key.
func AddSkippedItem[Key ~string](key Key) {
	record, _, _ := strings.Cut(string(key), "/")
	SkippedItems.Add(record, 1)
}

// Latency histograms, in microseconds.
var (
	SubmitLatency     = NewHistogram("submit_us")      // from the arrival of a job to its answer
	FirstStartLatency = NewHistogram("first_start_us") // from the arrival of a job to the order of its first start
	StoreLatency      = NewHistogram("kv_us")          // direct store calls other than watches
	OrderLatency      = NewHistogram("order_us")       // orders to workers other than heartbeats
)

// Range and precision, in significant significantDigits, of the histograms.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Histogram is a latency histogram of constant size.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns a histogram and publishes it in expvar under a name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
	expvar.Publish(name, expvar.Func(h.summary))
	return h
}

// Record adds a latency. A latency outside the range is clamped to it.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)) // cannot fail: the value is within the range
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
