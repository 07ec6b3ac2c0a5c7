package owner

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// heartbeatBytes is about what a heartbeat takes on the link: request, headers of its
	// packets, and its part in opening connections.
	heartbeatBytes unit.Bytes = 400
	// relayedHeartbeatBytes is that of a heartbeat that another entry sends.
	relayedHeartbeatBytes unit.Bytes = 120
)

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
	bytesPerSecond unit.Bytes // that heartbeats may take, or 0 for no bound
	limiter        *rate.Limiter

	mu      sync.Mutex
	workers int
	relayed float64 // share of the heartbeats that other entries send
}

func newHeartbeatPacer(link unit.BitRate) *heartbeatPacer {
	p := &heartbeatPacer{bytesPerSecond: shareOf(link, heartbeatShare), limiter: rate.NewLimiter(rate.Inf, 1)}
	p.updateLimit(time.Now())
	return p
}

// perSecond returns how many heartbeats the link may carry in a second if other entries
// send the given share of them.
func (p *heartbeatPacer) perSecond(relayed float64) float64 {
	size := relayed*float64(relayedHeartbeatBytes) + (1-relayed)*float64(heartbeatBytes)
	return float64(p.bytesPerSecond) / size
}

// updateLimit sets the rate at which heartbeats get their turns.
func (p *heartbeatPacer) updateLimit(now time.Time) {
	if p.bytesPerSecond == 0 {
		return
	}
	perSecond := p.perSecond(p.relayed)
	p.limiter.SetBurstAt(now, max(1, int(perSecond*heartbeatBurst.Seconds())))
	p.limiter.SetLimitAt(now, rate.Limit(max(perSecond, float64(p.workers)/maxTurnDelay.Seconds())))
}

// setWorkers sets the number of workers that get heartbeats. It is called before new ones
// get any, as turns that were reserved keep their times.
func (p *heartbeatPacer) setWorkers(n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n != p.workers {
		p.workers = n
		p.updateLimit(now)
	}
}

// setRelayed sets the share of the heartbeats that other entries send.
func (p *heartbeatPacer) setRelayed(share float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if share != p.relayed {
		p.relayed = share
		p.updateLimit(now)
	}
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
	return p.intervalOf(p.relayed)
}

// directInterval is interval while the owner sends all heartbeats itself.
func (p *heartbeatPacer) directInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.intervalOf(0)
}

// intervalOf returns the interval if other entries send the given share of the heartbeats.
// It is called with the lock held.
func (p *heartbeatPacer) intervalOf(relayed float64) time.Duration {
	if p.bytesPerSecond == 0 {
		return 0
	}
	seconds := float64(p.workers) / (p.perSecond(relayed) * regularShare / 100)
	return min(time.Duration(seconds*float64(time.Second)), maxHeartbeatInterval)
}
