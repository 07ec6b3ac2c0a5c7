package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// cause is why a client was rejected or disconnected.
type cause string

// Causes, which logs and metrics show.
const (
	causeConnections cause = "connections"    // no room for another connection, or it was disconnected for one
	causeHeader      cause = "header"         // no memory for its header
	causeNoRoom      cause = "no memory"      // no memory for its body
	causeRevoked     cause = "revoked"        // its memory was taken for another client
	causeTooLarge    cause = "body too large" // larger than the configuration allows
	causeSlow        cause = "body too slow"
)

// rejectionInterval is the time between two log lines of one cause.
const rejectionInterval = 10 * time.Second

// rejections counts the rejections of each cause. One line for each interval and cause tells
// how many there were, with the first one as a sample.
type rejections struct {
	log logr.Logger

	mu    sync.Mutex
	since map[cause]*rejected // since the last line
}

// rejected is a number of rejections of one cause, and the first of them.
type rejected struct {
	count    int
	client   string
	openedAt time.Time
	held     unit.Bytes
}

func newRejections(log logr.Logger) *rejections {
	return &rejections{log: log, since: map[cause]*rejected{}}
}

// add counts a rejection.
func (r *rejections) add(why cause, c *conn) {
	metric.RejectedClients.Add(string(why), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.since[why]; known != nil {
		known.count++
		return
	}
	c.limiter.mu.Lock()
	held := c.limiter.budget.Held(c.id)
	c.limiter.mu.Unlock()
	r.since[why] = &rejected{count: 1, client: c.RemoteAddr().String(), openedAt: c.openedAt, held: held}
}

// run writes the log lines until the context ends.
func (r *rejections) run(ctx context.Context) {
	for wait.For(ctx, rejectionInterval) {
		r.report(time.Now())
	}
	r.report(time.Now())
}

func (r *rejections) report(now time.Time) {
	r.mu.Lock()
	since := r.since
	r.since = map[cause]*rejected{}
	r.mu.Unlock()
	for why, first := range since {
		r.log.Info("clients rejected", "cause", why, "count", first.count, "client", first.client,
			"age", now.Sub(first.openedAt), "held", first.held)
	}
}
