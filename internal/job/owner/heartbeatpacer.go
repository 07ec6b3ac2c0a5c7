package owner

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// heartbeatBytes is about what a heartbeat takes on the link: request, headers of its
// packets, and its part in opening connections.
const heartbeatBytes unit.Bytes = 400

// regularShare is the share of the bound on heartbeats, in percent, that those take by
// which all workers are heard once in an interval. The rest is for acknowledgements of
// ends and for probes.
const regularShare = 80

const (
	// heartbeatBurst is the time whose heartbeats may be sent at once.
	heartbeatBurst = 100 * time.Millisecond
	// maxHeartbeatInterval bounds the interval that a narrow link asks for. A report is
	// as old as two of them when the next one arrives; see scheduler.maxReportAge.
	maxHeartbeatInterval = time.Second
	// maxTurnDelay bounds the time that a heartbeat waits for its turn, whatever the link
	// can carry: two must be sent within workerLeaseTTL.
	maxTurnDelay = 2 * time.Second
)

// heartbeatPacer spreads the heartbeats to all workers over time, so that they take no
// more than heartbeatShare of the owner's link.
type heartbeatPacer struct {
	perSecond float64 // heartbeats that the link may carry, or 0 for no bound

	limiter *rate.Limiter

	mu      sync.Mutex
	workers int
}

func newHeartbeatPacer(link unit.BitRate) *heartbeatPacer {
	p := &heartbeatPacer{perSecond: float64(shareOf(link, heartbeatShare)) / float64(heartbeatBytes)}
	limit := rate.Inf
	if p.perSecond > 0 {
		limit = rate.Limit(p.perSecond)
	}
	p.limiter = rate.NewLimiter(limit, max(1, int(p.perSecond*heartbeatBurst.Seconds())))
	return p
}

// setWorkers sets the number of workers that get heartbeats. It is called before new ones
// get any, as turns that were reserved keep their times.
func (p *heartbeatPacer) setWorkers(n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.workers || p.perSecond == 0 {
		return
	}
	p.workers = n
	p.limiter.SetLimitAt(now, rate.Limit(max(p.perSecond, float64(n)/maxTurnDelay.Seconds())))
}

// turn reserves the next heartbeat and returns the time until it may be sent.
func (p *heartbeatPacer) turn(now time.Time) time.Duration {
	return p.limiter.ReserveN(now, 1).DelayFrom(now)
}

// interval returns the time in which the link carries a regular heartbeat to each worker,
// or maxHeartbeatInterval if that is less.
func (p *heartbeatPacer) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perSecond == 0 {
		return 0
	}
	seconds := float64(p.workers) / (p.perSecond * regularShare / 100)
	return min(time.Duration(seconds*float64(time.Second)), maxHeartbeatInterval)
}
