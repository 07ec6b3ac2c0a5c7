package owner

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// progressInterval is the time between two writes of the progress, if the link carries
// them faster; see progressPacer. The ends of runs are acknowledged to their workers only
// after such a write.
const progressInterval = 250 * time.Millisecond

// finalStatesPerCommit keeps a transaction within the limit of the store: each final
// state takes a guard and a put. The guards of the epoch and the progress and the
// puts of the progress, the model and the checkpoints take the other five entries.
const finalStatesPerCommit = (kv.MaxTxnOps - 5) / 2

// estimatesInterval is the time between two writes of the interference model and of the
// checkpoints that workers hold. A task that is lost with its worker and the owner
// repeats at most that much work beside the time since its last checkpoint.
const estimatesInterval = 3 * time.Second

// commitLoop writes final states and progress to the store until the term ends.
func (sh *shard) commitLoop() {
	for {
		select {
		case <-sh.ctx.Done():
			return
		case <-sh.commitDue:
		}
		for sh.ctx.Err() == nil {
			more, err := sh.commitOnce(sh.ctx, false)
			if err != nil {
				sh.sleep(retryDelay)
				continue
			}
			if !more {
				break
			}
		}
	}
}

// commitBatch is one transaction with the final states and the progress that it
// writes.
type commitBatch struct {
	txn         kv.Txn
	finalStates []scheduler.FinalState
	snapshot    *scheduler.Snapshot // nil if the progress is not written
	estimates   bool                // the model and the checkpoints are written
}

// size returns the bytes of the values that the transaction writes.
func (b *commitBatch) size() unit.Bytes {
	var n unit.Bytes
	for _, p := range b.txn.Puts {
		n += unit.Bytes(len(p.Value))
	}
	return n
}

// commitOnce writes the final states and progress that are due and reports whether
// more are. With handOver it writes the progress at once and marks it as handed over.
func (sh *shard) commitOnce(ctx context.Context, handOver bool) (more bool, err error) {
	sh.commitMu.Lock()
	defer sh.commitMu.Unlock()
	b, err := sh.buildBatch(handOver)
	if err != nil || b == nil {
		return false, err
	}
	revision, err := sh.service.store.Commit(ctx, b.txn)
	if conflict, ok := errors.Into[*kv.ConflictError](err); ok {
		sh.markProgressUnwritten(b, err)
		return true, sh.resolveConflict(ctx, b, conflict)
	}
	if errors.Is(err, kv.ErrUnknown) {
		sh.readProgressRevision(ctx)
	}
	if err != nil {
		sh.markProgressUnwritten(b, err)
		return true, errors.Errorf("write progress: %w", err)
	}
	sh.recordCommit(b, revision)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.finalStates) > 0, nil
}

// buildBatch returns the next transaction, or nil if nothing is due.
func (sh *shard) buildBatch(handOver bool) (*commitBatch, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.abandoned {
		return nil, nil
	}
	// The store already has a final state of these jobs: that of a write whose answer was
	// lost, or a cancellation, which must not be overwritten.
	sh.finalStates = slices.DeleteFunc(sh.finalStates, func(f scheduler.FinalState) bool {
		state, _ := sh.core.JobState(f.Job)
		return state.Final()
	})
	b := &commitBatch{finalStates: sh.finalStates[:min(len(sh.finalStates), finalStatesPerCommit)]}
	now := time.Now()
	due := handOver || (sh.core.ProgressChanged() && sh.progress.due(now))
	if len(b.finalStates) == 0 && !due {
		return nil, nil
	}
	b.txn.Guards = []kv.Guard{{Key: ownership.EpochKey, Revision: sh.term.EpochRevision}}
	for _, f := range b.finalStates {
		key := record.JobKey(f.Job)
		job := graph.Job{ID: f.Job}
		job.Organisation, job.Queue.ID, job.Accepted = sh.core.JobOrganisation(f.Job)
		value, err := record.Encode(record.Final(&job, f.State))
		if err != nil {
			return nil, err
		}
		b.txn.Guards = append(b.txn.Guards, kv.Guard{Key: key, Revision: sh.jobRevisions[f.Job]})
		b.txn.Puts = append(b.txn.Puts, kv.Put{Key: key, Value: value})
	}
	if due {
		if err := sh.addProgress(b, handOver, now); err != nil {
			return nil, err
		}
		sh.progress.sent(b.size(), now)
	}
	return b, nil
}

// addProgress adds the progress to a transaction, and the model and the checkpoints if
// they are due. It is called with the lock held.
func (sh *shard) addProgress(b *commitBatch, handOver bool, now time.Time) error {
	defer metric.RecordTimer.Since(time.Now())
	snapshot := sh.core.Snapshot()
	sh.core.AddLeases(&snapshot, handOver, now)
	if handOver {
		sh.core.AddPlacements(&snapshot)
	}
	progress := record.Progress{
		Format: record.Format, Epoch: sh.term.Epoch,
		Jobs: snapshot.Jobs, KnownWorkers: snapshot.KnownWorkers, HandedOver: handOver,
		Leases: snapshot.Leases, Closed: snapshot.Closed, EarlierRenewalsLeft: new(max(sh.takeover.earlierRenewalsEndAt.Sub(now), 0)),
	}
	if handOver {
		progress.BusyWorkers = snapshot.BusyWorkers
		progress.EarlierStartsLeft = new(sh.core.EarlierStartsLeft(now))
	}
	value, err := record.Encode(progress)
	if err != nil {
		return err
	}
	b.snapshot = &snapshot
	b.txn.Guards = append(b.txn.Guards, kv.Guard{Key: record.ProgressKey, Revision: sh.progressRevision})
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.ProgressKey, Value: value})
	if !handOver && now.Sub(sh.lastEstimatesWrite) < estimatesInterval {
		return nil
	}
	checkpoints, err := record.Encode(record.Checkpoints{Format: record.Format, Jobs: sh.core.HeldCheckpoints()})
	if err != nil {
		return err
	}
	model, err := record.Encode(record.Model{Format: record.ModelFormat, Pairs: sh.core.InterferencePairs()})
	if err != nil {
		return err
	}
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.ModelKey, Value: model}, kv.Put{Key: record.CheckpointsKey, Value: checkpoints})
	b.estimates, sh.lastEstimatesWrite = true, now
	return nil
}

// markProgressUnwritten makes the progress of a transaction that failed with err due again.
func (sh *shard) markProgressUnwritten(b *commitBatch, err error) {
	if b.snapshot == nil {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if errors.Is(err, kv.ErrUnavailable) && !errors.Is(err, kv.ErrUnknown) {
		sh.core.RejectSnapshot(*b.snapshot)
	} else {
		sh.core.MarkProgressChanged() // the store may have executed the write, also before a conflict with it
	}
	sh.progress.failed()
	if b.estimates {
		sh.lastEstimatesWrite = time.Time{}
	}
}

// recordCommit records that a transaction is in the store.
func (sh *shard) recordCommit(b *commitBatch, revision unit.Revision) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	sh.finalStates = sh.finalStates[len(b.finalStates):]
	for _, f := range b.finalStates {
		sh.jobRevisions[f.Job] = revision
		sh.core.ConfirmFinalState(f.Job, now)
	}
	if b.snapshot != nil {
		sh.progressRevision = revision
		sh.core.ConfirmSnapshot(*b.snapshot)
	}
}

// errConflictUnresolved means that the guards of a write did not hold and that the
// store's answer does not tell which record has changed.
var errConflictUnresolved = errors.New("write rejected although no guarded record has changed")

// resolveConflict adopts the current revisions of the records whose guards failed:
// a job was cancelled in the meantime, or an earlier write whose answer was lost took
// effect. If another entry has claimed the shard, it ends the term. It returns
// errConflictUnresolved if no revision differs from the one that the guard had.
func (sh *shard) resolveConflict(ctx context.Context, b *commitBatch, conflict *kv.ConflictError) error {
	if item, ok := conflict.Item(ownership.EpochKey); ok && item.Revision != sh.term.EpochRevision {
		sh.log.Info("another entry has claimed the shard", "revision", item.Revision)
		sh.cancel()
		return nil
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	resolved := false
	if item, ok := conflict.Item(record.ProgressKey); ok && b.snapshot != nil && item.Revision != sh.progressRevision {
		sh.progressRevision, resolved = item.Revision, true
	}
	var unwritten []scheduler.FinalState
	for _, f := range sh.finalStates {
		item, ok := conflict.Item(record.JobKey(f.Job))
		if !ok || item.Revision == sh.jobRevisions[f.Job] {
			unwritten = append(unwritten, f)
			continue
		}
		resolved = true
		r, err := record.DecodeJob(item.Value)
		if err != nil {
			sh.log.Error(err, "job record skipped", "job", f.Job)
			continue
		}
		sh.jobRevisions[f.Job] = item.Revision
		switch r.State {
		case f.State:
			sh.core.ConfirmFinalState(f.Job, now)
		case graph.Cancelled:
			sh.core.Cancel(f.Job, now)
		default:
			unwritten = append(unwritten, f)
		}
	}
	sh.finalStates = unwritten
	if !resolved {
		return errConflictUnresolved
	}
	return ctx.Err()
}

// readProgressRevision reads the revision of the progress record after a write whose
// answer was lost, which may have taken effect.
func (sh *shard) readProgressRevision(ctx context.Context) {
	item, err := sh.service.store.Get(ctx, record.ProgressKey)
	if err != nil {
		return // the guard of the next write then fails and returns the revision
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.progressRevision = item.Revision
}
