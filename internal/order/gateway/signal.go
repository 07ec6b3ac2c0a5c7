package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

const (
	// signalInterval is the window of a signal. The control loop waits for two
	// after an action, so a longer one delays it.
	signalInterval = 2 * time.Second
	// maxWindows bounds the memory: a window takes about 600 bytes.
	maxWindows = 8192

	// Latencies are counted in buckets each a tenth wider than the one before,
	// from 0.2 ms; the last begins at 36 s, beyond the longest request.
	firstBucket  = 200 * time.Microsecond
	bucketGrowth = 1.1
	bucketCount  = 128
)

type windowKey struct {
	worker unit.InstanceID
	class  unit.ClassID
}

// window counts the requests of one class on one worker.
type window struct {
	percentile     float64
	requests, late uint32
	busy           time.Duration
	done           uint32 // with a whole response
	buckets        [bucketCount]uint32
}

// windows has what the requests of this entry showed of the workers since the
// last signals. It is safe for concurrent use.
type windows struct {
	mu    sync.Mutex
	since time.Time
	all   map[windowKey]*window
}

// passage is one request that reached a worker.
type passage struct {
	worker     unit.InstanceID
	class      unit.ClassID
	percentile float64       // of the class's target
	latency    time.Duration // as the caller sees it
	busy       time.Duration // in which it held a slot of the worker
	done       bool          // with a whole response
	late       bool
}

func newWindows(now time.Time) *windows {
	return &windows{since: now, all: map[windowKey]*window{}}
}

func (ws *windows) add(p passage) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	key := windowKey{p.worker, p.class}
	w, ok := ws.all[key]
	if !ok {
		if len(ws.all) >= maxWindows {
			return
		}
		w = &window{percentile: p.percentile}
		ws.all[key] = w
	}
	w.requests++
	w.busy += p.busy
	if p.late {
		w.late++
	}
	if p.done {
		w.done++
		w.buckets[bucketOf(p.latency)]++
	}
}

// take returns the signals of the window that ends now, and begins another.
func (ws *windows) take(now time.Time) []message.Signal {
	ws.mu.Lock()
	all, span := ws.all, now.Sub(ws.since)
	ws.all, ws.since = map[windowKey]*window{}, now
	ws.mu.Unlock()
	signals := make([]message.Signal, 0, len(all))
	for key, w := range all {
		signals = append(signals, message.Signal{
			Worker: key.worker, Class: key.class, Span: span, Requests: w.requests, Late: w.late,
			Median: w.quantile(0.5), Tail: w.quantile(w.percentile / 100), Busy: w.busy,
		})
	}
	return signals
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	n := math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketGrowth)
	return min(int(n), bucketCount-1)
}

// quantile returns the middle of the bucket of a quantile, or 0 without responses.
func (w *window) quantile(q float64) time.Duration {
	if w.done == 0 {
		return 0
	}
	rank := uint32(q * float64(w.done-1))
	seen := uint32(0)
	for n, count := range w.buckets {
		if seen += count; seen > rank {
			return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(n)+0.5))
		}
	}
	return 0
}

// signal sends what was seen of the workers until the context ends.
func (g *Gateway) signal(ctx context.Context) {
	tick := time.NewTicker(signalInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if signals := g.windows.take(time.Now()); len(signals) > 0 {
			g.signals.Send(ctx, signals)
		}
	}
}
