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
	// sendTimeout bounds the way of a signal. Its window counts as having begun
	// that much earlier than it seems to, so that a slow message from before an
	// action is not taken for its effect.
	sendTimeout = time.Second
	// learnInterval is the window of the samples from which interference is
	// learned: the signals of an entry alone have few requests.
	learnInterval = 5 * time.Second
	// maxSpan bounds the window of a signal; entries send one every 2 s.
	maxSpan = 30 * time.Second
)

// merge joins the signals of all entries about one worker.
type merge struct {
	since   time.Time // zero if there is none
	busy    time.Duration
	classes map[unit.ClassID]*merged
}

// merged has the requests of one class. The median and the tail of several
// entries are joined as geometric means by requests, since the entries send alike
// requests to a worker.
type merged struct {
	requests     int
	median, tail float64 // sums of logarithms of seconds, weighted by requests
}

// ObserveSignals takes what an entry saw of the workers of the shard; others are left out.
func (c *Core) ObserveSignals(now time.Time, signals []message.Signal) {
	c.now = now
	for _, s := range signals {
		h := c.hosts[s.Worker]
		if h == nil || s.Span <= 0 || s.Span > maxSpan || s.Late > s.Requests || s.Busy < 0 {
			continue
		}
		c.loop.Observe(control.Signal{
			Worker: s.Worker, Class: s.Class, From: now.Add(-s.Span - sendTimeout), Until: now,
			Requests: int(s.Requests), Late: int(s.Late),
		})
		if c.classes[s.Class].Kind != spec.KindRequest {
			continue // removed from the document, or not yet known here
		}
		h.heard[s.Class] = now
		h.signals.add(now, s)
	}
}

func (m *merge) add(now time.Time, s message.Signal) {
	if m.since.IsZero() {
		*m = merge{since: now.Add(-s.Span), classes: map[unit.ClassID]*merged{}}
	}
	m.busy += s.Busy
	if s.Median <= 0 || s.Tail <= 0 {
		return
	}
	k, ok := m.classes[s.Class]
	if !ok {
		k = &merged{}
		m.classes[s.Class] = k
	}
	k.requests += int(s.Requests)
	k.median += float64(s.Requests) * math.Log(s.Median.Seconds())
	k.tail += float64(s.Requests) * math.Log(s.Tail.Seconds())
}

// learn gives the joined signals of a worker to the model once they span a window.
func (c *Core) learn(now time.Time, id unit.InstanceID) {
	m := &c.hosts[id].signals
	if m.since.IsZero() || now.Sub(m.since) < learnInterval {
		return
	}
	utilization := m.busy.Seconds() / (now.Sub(m.since).Seconds() * float64(max(c.fleet[id].Slots, 1)))
	shares := c.shares(id)
	for _, class := range slices.Sorted(maps.Keys(m.classes)) {
		k := m.classes[class]
		c.advisor.Observe(id, interference.Sample{
			Time: now, Class: class, Band: interference.BandOf(utilization), Requests: k.requests,
			Latency: k.mean(k.median), Shares: shares,
		}, k.mean(k.tail))
	}
	*m = merge{}
}

func (k *merged) mean(sum float64) time.Duration {
	return time.Duration(math.Exp(sum/float64(k.requests)) * float64(time.Second))
}
