package owner

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// Adviser asks the placement advice which workers may run the tasks of a step. It
// returns a ticket for each approved worker and how long the tickets are valid.
type Adviser interface {
	Advise(ctx context.Context, q scheduler.AdviceRequest) (map[unit.InstanceID]scheduler.Ticket, time.Duration, error)
}

// Interval and timeouts of requests to the placement advice.
const (
	adviceInterval = 20 * time.Millisecond
	// adviceResponseSlack and adviceTimePerWorker, for each worker named, are what an answer
	// may take beyond the time that the configuration of the queue gives it.
	adviceResponseSlack = 1500 * time.Millisecond
	adviceTimePerWorker = 50 * time.Millisecond
)

// advisePlacement sends the requests of the core to the placement advice, one at a
// time, since the service answers the requests of an instance in turn.
func (sh *shard) advisePlacement() {
	for sh.sleep(adviceInterval) {
		if !sh.service.ownership.MayOrder(time.Now()) {
			continue
		}
		sh.mu.Lock()
		request, ok := sh.core.NextAdviceRequest(time.Now())
		sh.mu.Unlock()
		if !ok {
			continue
		}
		slack := adviceResponseSlack + time.Duration(len(request.Workers))*adviceTimePerWorker
		ctx, cancel := context.WithDeadline(sh.ctx, request.AnswerDue.Add(slack))
		tickets, validFor, err := sh.service.adviser.Advise(ctx, request)
		cancel()
		sh.log.Info("placement advice", "job", request.Step.Job, "occurrence", request.Step.Occurrence, "step", request.Step.Step,
			"asked", len(request.Workers), "approved", len(tickets), "took", time.Since(request.RequestedAt).String(), "error", err)
		if err != nil {
			sh.update(func(c *scheduler.Core, now time.Time) { c.HandleAdviceFailure(request, now) })
			sh.sleep(retryDelay)
			continue
		}
		sh.update(func(c *scheduler.Core, now time.Time) { c.HandleAdvice(request, tickets, validFor, now) })
	}
}
