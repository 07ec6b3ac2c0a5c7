package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// exchange sends one heartbeat, passes the report to the core and returns the number of
// ends in it.
func (c *workerClient) exchange(h heartbeat) (ends int, err error) {
	ctx, cancel := context.WithDeadline(c.ctx, h.sentAt.Add(lateAnswerLimit))
	defer cancel()
	if h.via == nil {
		ends, err = c.exchangeDirectly(ctx, h)
	} else if ends, err = c.exchangeThrough(ctx, h); errors.Is(err, errSessionEnded) {
		ends, err = c.exchangeDirectly(ctx, h.repeated(time.Now()))
	}
	if err != nil {
		c.settle(h)
		return 0, errors.Errorf("hold: %w", err)
	}
	return ends, nil
}

// exchangeThrough is exchange through another entry.
func (c *workerClient) exchangeThrough(ctx context.Context, h heartbeat) (ends int, err error) {
	ends, err = h.via.exchange(ctx, c, h)
	late := time.Since(h.sentAt) > h.wait+max(responseSlack, c.shard.heartbeats.interval())
	c.recordRelayed(err == nil && !late)
	return ends, err
}

// exchangeDirectly is exchange without another entry.
func (c *workerClient) exchangeDirectly(ctx context.Context, h heartbeat) (ends int, err error) {
	report, clock, err := c.worker.Heartbeat(ctx, c.shard.term.Epoch, h.renewal, h.wait)
	if err != nil {
		return 0, err
	}
	c.recordAnswer(h, report, clock)
	c.shard.update(func(core *scheduler.Core, now time.Time) {
		core.HandleReport(c.id, report, now)
		core.AnswerSettled(c.id, h.sentAt)
	})
	return len(report.Ended), nil
}

// recordAnswer records what the answer to a heartbeat shows beside the state of the runs.
func (c *workerClient) recordAnswer(h heartbeat, report scheduler.Report, clock unit.WorkerTime) {
	if time.Since(h.sentAt) > h.wait+responseSlack {
		metric.LateAnswers.Add(1)
	}
	metric.Reports.Add(1)
	if expected := h.renewal.Incarnation; expected != 0 && report.Incarnation != expected {
		c.log.Info("heartbeat answered by another incarnation", "expected", expected, "answered", report.Incarnation, "probe", h.probe,
			"via", h.route(), "until", h.renewal.Until, "acked", h.renewal.Acked, "ends", len(report.Ended), "after", time.Since(h.sentAt).String())
	}
	if !c.clockKnown() || report.Incarnation > c.knownIncarnation() {
		c.recordEarlierLease()
	}
	c.recordClock(clock, report.Incarnation)
	acked := h.renewal.For(report.Incarnation).Acked
	for _, e := range report.Ended {
		if e.Number > acked {
			metric.RunEnds.Add(e.Kind.String(), 1)
		}
	}
}

// recordEarlierLease records the lease that the worker may have from an earlier owner when an
// incarnation of it answers for the first time. From then on that one refuses those.
func (c *workerClient) recordEarlierLease() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.core.RecordLease(c.id, leaseExpiry(workerLeaseTTL))
}

// mustSendDirectly reports whether a heartbeat may not go through another entry.
func (c *workerClient) mustSendDirectly(probe bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return probe || now.Before(c.direct.until)
}

// avoidRelays makes heartbeats go directly for a while, as a probe was answered before the
// heartbeat that another entry has sent earlier. Where all answers are late that one's comes
// first, and direct heartbeats would only add to the load.
func (c *workerClient) avoidRelays(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct.begin(now)
}

// recordRelayed records whether a heartbeat that went through another entry was answered.
func (c *workerClient) recordRelayed(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct.recordRelayed(answered)
}
