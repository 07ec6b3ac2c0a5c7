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
	// signalInterval is the window that one signal covers. The control loop waits for
	// two signals after an action, so a longer interval slows it down.
	signalInterval = 2 * time.Second
	// maxWindows limits memory; one window takes about 600 bytes.
	maxWindows = 8192

	// Latencies are counted in buckets, each 10 % wider than the previous one, starting
	// at 0.2 ms. The last begins at 36 s, beyond the longest request.
	firstBucket  = 200 * time.Microsecond
	bucketGrowth = 1.1
	bucketCount  = 128
)

type signalWindowKey struct {
	worker unit.InstanceID
	class  unit.ClassID
}

// signalWindow aggregates the requests of one class on one worker.
type signalWindow struct {
	percentile     float64
	requests, late uint32
	slotTime       time.Duration
	complete       uint32 // requests with a complete response
	buckets        [bucketCount]uint32
}

// signalWindows aggregates the requests of this entry since the last signals were
// taken. It is safe for concurrent use.
type signalWindows struct {
	mu    sync.Mutex
	since time.Time
	byKey map[signalWindowKey]*signalWindow
}

// observation describes one request for which a worker was chosen.
type observation struct {
	worker     unit.InstanceID
	class      unit.ClassID
	percentile float64       // of the latency target of the class
	latency    time.Duration // as the caller sees it
	slotTime   time.Duration // how long the last attempt held a slot of the worker
	complete   bool          // the caller got a complete response
	late       bool          // over the latency target, or incomplete
}

func newSignalWindows(now time.Time) *signalWindows {
	return &signalWindows{since: now, byKey: map[signalWindowKey]*signalWindow{}}
}

func (ws *signalWindows) observe(o observation) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	key := signalWindowKey{o.worker, o.class}
	w, ok := ws.byKey[key]
	if !ok {
		if len(ws.byKey) >= maxWindows {
			return
		}
		w = &signalWindow{percentile: o.percentile}
		ws.byKey[key] = w
	}
	w.requests++
	w.slotTime += o.slotTime
	if o.late {
		w.late++
	}
	if o.complete {
		w.complete++
		w.buckets[bucketOf(o.latency)]++
	}
}

// takeSignals returns the signals since the previous call and starts new windows.
func (ws *signalWindows) takeSignals(now time.Time) []message.Signal {
	ws.mu.Lock()
	all, span := ws.byKey, now.Sub(ws.since)
	ws.byKey, ws.since = map[signalWindowKey]*signalWindow{}, now
	ws.mu.Unlock()
	signals := make([]message.Signal, 0, len(all))
	for key, w := range all {
		signals = append(signals, message.Signal{
			Worker: key.worker, Class: key.class, Span: span, Requests: w.requests, Late: w.late,
			Median: w.quantile(0.5), Tail: w.quantile(w.percentile / 100), Busy: w.slotTime,
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

// quantile returns the middle of the bucket that holds the quantile q, or 0 without
// responses.
func (w *signalWindow) quantile(q float64) time.Duration {
	if w.complete == 0 {
		return 0
	}
	rank := uint32(q * float64(w.complete-1))
	seen := uint32(0)
	for n, count := range w.buckets {
		if seen += count; seen > rank {
			return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(n)+0.5))
		}
	}
	return 0
}

// sendSignals sends the signals of each interval until the context ends.
func (g *Gateway) sendSignals(ctx context.Context) {
	tick := time.NewTicker(signalInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if signals := g.windows.takeSignals(time.Now()); len(signals) > 0 {
			g.signalSender.Send(ctx, signals)
		}
	}
}
