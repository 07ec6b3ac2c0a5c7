package owner

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// Adviser is the placement advice.
type Adviser interface {
	Advise(ctx context.Context, q scheduler.AdviceRequest) (map[unit.InstanceID]scheduler.Ticket, time.Duration, error)
}

// Times of the placement advice.
const (
	adviceInterval = 20 * time.Millisecond
	// adviceResponseSlack is how long after its own times an answer is overdue.
	adviceResponseSlack = 1500 * time.Millisecond
	// adviceTimePerWorker bounds the time for each worker named.
	adviceTimePerWorker = 50 * time.Millisecond
)

// advisePlacement asks the placement advice what the core needs to know, one question at a
// time, since the service answers an instance in turn.
func (sh *shard) advisePlacement() {
	for sh.sleep(adviceInterval) {
		if !sh.service.ownership.MayOrder(time.Now()) {
			continue
		}
		sh.mu.Lock()
		ask, ok := sh.core.NextAdviceRequest(time.Now())
		sh.mu.Unlock()
		if !ok {
			continue
		}
		limit := adviceResponseSlack + time.Duration(len(ask.Workers))*adviceTimePerWorker
		ctx, cancel := context.WithTimeout(sh.ctx, limit)
		started := time.Now()
		tickets, valid, err := sh.service.adviser.Advise(ctx, ask)
		cancel()
		sh.log.Info("placement advice", "job", ask.Step.Job, "occurrence", ask.Step.Occurrence, "step", ask.Step.Step,
			"asked", len(ask.Workers), "approved", len(tickets), "took", time.Since(started).String(), "error", err)
		if err != nil {
			sh.sleep(retryDelay)
			continue
		}
		sh.update(func(c *scheduler.Core, now time.Time) { c.HandleAdvice(ask, tickets, valid, now) })
	}
}
