package owner

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// HandOverTimeout bounds the last writes of an owner that stops, from when the store answers.
const HandOverTimeout = 1500 * time.Millisecond

// HandOver writes the progress to the store and resigns ownership for the rest of
// the process, so that another entry can claim the shard without waiting for a
// lease to expire. While the store answers no entry, the owner goes on with starts and
// renewals until the first attempt, and waits for the store until the context ends.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	sh := s.ofTerm
	s.mu.Unlock()
	deadline := time.Now().Add(HandOverTimeout)
	if sh != nil {
		deadline = sh.handOver(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.ownership.Resign(ctx)
}

// handOver waits until the store answers, hands the shard over and ends the term. After an
// attempt that an outage of the store interrupts it waits again. It returns the deadline of
// the last attempt.
func (sh *shard) handOver(ctx context.Context) (deadline time.Time) {
	defer sh.cancel()
	began := time.Now()
	written := false
	for {
		storeAnswers := sh.awaitStore(ctx)
		deadline = time.Now().Add(HandOverTimeout)
		written = storeAnswers && sh.tryHandOver(ctx, deadline)
		if !storeAnswers || written || !sh.service.outage.Outage() {
			break
		}
	}
	sh.log.Info("hand-over ended", "written", written, "took", time.Since(began).String())
	return deadline
}

// awaitStore waits while the store answers no entry. A write that may be executed late ends
// the renewal of all leases, so none is sent then. It returns false if the context or the
// term ends first: another entry has claimed the shard, or the core has failed.
func (sh *shard) awaitStore(ctx context.Context) bool {
	if sh.service.outage.Outage() {
		deadline, _ := ctx.Deadline()
		sh.log.Info("hand-over waits for the store", "left", time.Until(deadline).String())
	}
	for sh.service.outage.Outage() && sh.ctx.Err() == nil {
		if !wait.For(ctx, tickInterval) {
			return false
		}
	}
	return ctx.Err() == nil && sh.ctx.Err() == nil
}

// tryHandOver stops sending orders and writes the progress marked as handed over, so that the
// next owner need not wait for leases to expire. It returns false if that fails before the
// deadline, or the store answers no entry any more.
func (sh *shard) tryHandOver(ctx context.Context, deadline time.Time) (written bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sh.mu.Lock()
	ready := sh.core != nil
	sh.handingOver = true
	sh.mu.Unlock()
	if !ready {
		return sh.passOn(ctx)
	}
	for ctx.Err() == nil && sh.ctx.Err() == nil && !sh.service.outage.Outage() {
		more, err := sh.commitOnce(ctx, true)
		if err == nil && !more {
			return true
		}
		if err != nil {
			sh.log.Info("progress not written during the hand-over", "error", err)
			wait.For(ctx, retryDelay)
		}
	}
	return false
}
