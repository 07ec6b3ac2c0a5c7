package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// progressInterval is the time between two writes of the progress. Ends are
// acknowledged only after it.
const progressInterval = 250 * time.Millisecond

// finishesPerCommit keeps a transaction within the store's bound: each finish
// takes a guard and a put, beside those of the epoch and the progress.
const finishesPerCommit = (kv.MaxEntries - 4) / 2

// learnedInterval is the time between two writes of what was learned.
const learnedInterval = 3 * time.Second

// commit makes final states and progress durable until the term ends.
func (sh *shard) commit() {
	for {
		select {
		case <-sh.ctx.Done():
			return
		case <-sh.dirty:
		}
		for sh.ctx.Err() == nil {
			more, err := sh.commitOnce(sh.ctx, false)
			if err != nil {
				sh.pause(retryPause)
				continue
			}
			if !more {
				break
			}
		}
	}
}

// batch is one transaction of the shard.
type batch struct {
	txn      kv.Txn
	finishes []scheduler.FinalState
	snapshot *scheduler.Snapshot
}

// commitOnce writes what is due and reports whether more is.
func (sh *shard) commitOnce(ctx context.Context, clean bool) (more bool, err error) {
	sh.writing.Lock()
	defer sh.writing.Unlock()
	b, err := sh.collect(clean)
	if err != nil || b == nil {
		return false, err
	}
	revision, err := sh.service.store.Commit(ctx, b.txn)
	if conflict, ok := errors.Into[*kv.ConflictError](err); ok {
		sh.repeat(b)
		return true, sh.resolve(ctx, b, conflict)
	}
	if errors.Is(err, kv.ErrUnknown) {
		sh.reread(ctx)
	}
	if err != nil {
		sh.repeat(b)
		return true, errors.Errorf("write progress: %w", err)
	}
	sh.applied(b, revision)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.finishes) > 0, nil
}

// collect builds the next transaction, or none if nothing is due.
func (sh *shard) collect(clean bool) (*batch, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := &batch{finishes: sh.finishes[:min(len(sh.finishes), finishesPerCommit)]}
	now := time.Now()
	due := clean || (sh.core.ProgressChanged() && now.Sub(sh.last) >= progressInterval)
	if len(b.finishes) == 0 && !due {
		return nil, nil
	}
	b.txn.Guards = []kv.Guard{{Key: ownership.EpochKey, Revision: sh.term.EpochRevision}}
	for _, f := range b.finishes {
		key := record.JobKey(f.Job)
		value, err := record.Encode(record.Final(&graph.Job{ID: f.Job}, f.State))
		if err != nil {
			return nil, err
		}
		b.txn.Guards = append(b.txn.Guards, kv.Guard{Key: key, Revision: sh.revs[f.Job]})
		b.txn.Puts = append(b.txn.Puts, kv.Put{Key: key, Value: value})
	}
	if due {
		if err := sh.collectProgress(b, clean, now); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (sh *shard) collectProgress(b *batch, clean bool, now time.Time) error {
	snapshot := sh.core.Snapshot()
	value, err := record.Encode(record.Progress{
		Format: record.Format, Epoch: sh.term.Epoch,
		Jobs: snapshot.Jobs, KnownWorkers: snapshot.KnownWorkers, BusyWorkers: snapshot.BusyWorkers, HandedOver: clean,
	})
	if err != nil {
		return err
	}
	b.snapshot = &snapshot
	b.txn.Guards = append(b.txn.Guards, kv.Guard{Key: record.ProgressKey, Revision: sh.progress})
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.ProgressKey, Value: value})
	sh.last = now
	if !clean && now.Sub(sh.learned) < learnedInterval {
		return nil
	}
	model, err := record.Encode(record.Model{Format: record.ModelFormat, Pairs: sh.core.InterferencePairs()})
	if err != nil {
		return err
	}
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.ModelKey, Value: model})
	sh.learned = now
	return nil
}

// repeat makes the progress of a failed transaction due again.
func (sh *shard) repeat(b *batch) {
	if b.snapshot == nil {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.MarkProgressChanged()
	sh.last = time.Time{}
}

// applied notes that a transaction is in the store.
func (sh *shard) applied(b *batch, revision unit.Revision) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	sh.finishes = sh.finishes[len(b.finishes):]
	for _, f := range b.finishes {
		sh.revs[f.Job] = revision
		sh.core.ConfirmFinalState(f.Job, now)
	}
	if b.snapshot != nil {
		sh.progress = revision
		sh.core.ConfirmSnapshot(*b.snapshot)
	}
}

// resolve takes the present state of the records that a transaction expected
// otherwise: a job was cancelled meanwhile, or an earlier write whose answer was
// lost has taken effect.
func (sh *shard) resolve(ctx context.Context, b *batch, conflict *kv.ConflictError) error {
	if i, ok := conflict.Item(ownership.EpochKey); ok && i.Revision != sh.term.EpochRevision {
		sh.log.Info("another entry has claimed the shard", "revision", i.Revision)
		sh.cancel()
		return nil
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	if i, ok := conflict.Item(record.ProgressKey); ok && b.snapshot != nil {
		sh.progress = i.Revision
	}
	var open []scheduler.FinalState
	for _, f := range sh.finishes {
		i, ok := conflict.Item(record.JobKey(f.Job))
		if !ok || i.Revision == sh.revs[f.Job] {
			open = append(open, f)
			continue
		}
		r, err := record.DecodeJob(i.Value)
		if err != nil {
			sh.log.Error(err, "job record left aside", "job", f.Job)
			continue
		}
		sh.revs[f.Job] = i.Revision
		switch r.State {
		case f.State:
			sh.core.ConfirmFinalState(f.Job, now)
		case graph.Cancelled:
			sh.core.Cancel(f.Job, now)
		default:
			open = append(open, f)
		}
	}
	sh.finishes = open
	return ctx.Err()
}

// reread learns whether a progress write whose answer was lost took effect.
func (sh *shard) reread(ctx context.Context) {
	item, err := sh.service.store.Get(ctx, record.ProgressKey)
	if err != nil {
		return // the next write finds out by its guard
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.progress = item.Revision
}

// handOver ends all orders and writes the progress, so that the next owner need
// not wait for leases to expire.
func (sh *shard) handOver(ctx context.Context) {
	sh.mu.Lock()
	ready := sh.core != nil
	sh.closing = true
	sh.mu.Unlock()
	if !ready {
		return
	}
	for ctx.Err() == nil {
		more, err := sh.commitOnce(ctx, true)
		if err == nil && !more {
			break
		}
		if err != nil {
			sh.log.Info("progress not written at the hand-over", "error", err)
			wait.For(ctx, retryPause)
		}
	}
	sh.cancel()
}
