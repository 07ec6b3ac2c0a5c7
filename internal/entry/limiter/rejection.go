package limiter

import (
	"context"
	"strings"
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

// causeServer is the metric of what a server would log about single connections, such as a
// failed TLS handshake.
const causeServer cause = "server error"

// rejectionInterval is the time between two log lines of one cause.
const rejectionInterval = 10 * time.Second

// rejections counts the rejections of each cause. One line for each interval and cause tells
// how many there were, with the first one as a sample.
type rejections struct {
	log logr.Logger

	mu     sync.Mutex
	since  map[cause]*rejected // since the last line
	errors serverErrors        // since the last line
}

// serverErrors is a number of messages of servers, and the first of them.
type serverErrors struct {
	count int
	first string
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

// Write implements io.Writer. It counts a message that a server would log.
func (r *rejections) Write(message []byte) (int, error) {
	metric.RejectedClients.Add(string(causeServer), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.errors.count++; r.errors.count == 1 {
		r.errors.first = strings.TrimSpace(string(message))
	}
	return len(message), nil
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
	since, errors := r.since, r.errors
	r.since, r.errors = map[cause]*rejected{}, serverErrors{}
	r.mu.Unlock()
	if errors.count > 0 {
		r.log.Info("errors of HTTP servers", "count", errors.count, "first", errors.first)
	}
	for why, first := range since {
		r.log.Info("clients rejected", "cause", why, "count", first.count, "client", first.client,
			"age", now.Sub(first.openedAt), "held", first.held)
	}
}
