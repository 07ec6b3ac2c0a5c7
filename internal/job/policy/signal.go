package policy

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// sendTimeout bounds the delivery of a signal. The window of a signal is taken to
	// begin earlier by this much, so that a delayed message from before an action is
	// not mistaken for the effect of the action.
	sendTimeout = time.Second
	// sampleInterval is the window of the samples for the interference model. The
	// signals of all entries within it are combined, since those of a single entry
	// have few requests.
	sampleInterval = 5 * time.Second
	// maxSignalSpan bounds the window of a signal; entries send one every 2 s.
	maxSignalSpan = 30 * time.Second
)

// signalWindow combines the signals of all entries about one worker.
type signalWindow struct {
	// start is zero if the window has no signal.
	start   time.Time
	busy    time.Duration
	classes map[unit.ClassID]*classLatency
}

// classLatency has the latency of the requests of one class. The medians and tails of
// several entries are combined as geometric means weighted by requests, since the
// entries send similar requests to a worker.
type classLatency struct {
	requests int
	// median and tail are sums of logarithms of seconds, weighted by requests.
	median, tail float64
}

// ObserveSignals processes the signals of an entry. Malformed signals and those about
// workers of other shards are ignored.
func (c *Core) ObserveSignals(now time.Time, signals []message.Signal) {
	c.now = now
	for _, s := range signals {
		w := c.workers[s.Worker]
		if w == nil || s.Span <= 0 || s.Span > maxSignalSpan || s.Late > s.Requests || s.Busy < 0 {
			continue
		}
		c.loop.Observe(control.Signal{
			Worker: s.Worker, Class: s.Class, From: now.Add(-s.Span - sendTimeout), Until: now,
			Requests: int(s.Requests), Late: int(s.Late),
		})
		if c.classes[s.Class].Kind != spec.KindRequest {
			continue // removed from the document, or not yet in the one known here
		}
		w.lastSignal[s.Class] = now
		w.signals.add(now, s)
	}
}

func (w *signalWindow) add(now time.Time, s message.Signal) {
	if w.start.IsZero() {
		*w = signalWindow{start: now.Add(-s.Span), classes: map[unit.ClassID]*classLatency{}}
	}
	w.busy += s.Busy
	if s.Median <= 0 || s.Tail <= 0 {
		return
	}
	latency, ok := w.classes[s.Class]
	if !ok {
		latency = &classLatency{}
		w.classes[s.Class] = latency
	}
	latency.requests += int(s.Requests)
	latency.median += float64(s.Requests) * math.Log(s.Median.Seconds())
	latency.tail += float64(s.Requests) * math.Log(s.Tail.Seconds())
}

// recordSample passes the combined signals of a worker to the interference model once
// they span a sampleInterval.
func (c *Core) recordSample(now time.Time, id unit.InstanceID) {
	w := &c.workers[id].signals
	if w.start.IsZero() || now.Sub(w.start) < sampleInterval {
		return
	}
	utilization := w.busy.Seconds() / (now.Sub(w.start).Seconds() * float64(max(c.fleet[id].Slots, 1)))
	shares := c.batchShares(id)
	for _, class := range slices.Sorted(maps.Keys(w.classes)) {
		latency := w.classes[class]
		c.advisor.Observe(id, interference.Sample{
			Time: now, Class: class, Band: interference.BandOf(utilization), Requests: latency.requests,
			Latency: latency.geometricMean(latency.median), Shares: shares,
		}, latency.geometricMean(latency.tail))
	}
	*w = signalWindow{}
}

func (l *classLatency) geometricMean(sum float64) time.Duration {
	return time.Duration(math.Exp(sum/float64(l.requests)) * float64(time.Second))
}
