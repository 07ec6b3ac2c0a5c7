package intake

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// jobsPerCommit is the maximum number of jobs in one transaction. Each job takes a
// guard and a put, which both count against the store's limit.
const jobsPerCommit = kv.MaxTxnOps / 2

// maxQueuedBytes bounds the records of the submissions that wait or are being written, also
// those whose callers have left. It holds as many as are queued, of 32 KiB each.
const maxQueuedBytes unit.Bytes = 8 << 20

// specsPerCommit is the size of the texts from which on no further job is added to a
// transaction. All transactions in flight have to pass a small link within the time that a
// call of the store has, as each one that does not is sent again.
const specsPerCommit unit.Bytes = 32 << 10

// maxConcurrentCommits is the number of transactions in flight. With more than one,
// a transaction whose response is lost does not block the others.
const maxConcurrentCommits = 4

// writer writes job records to the store. It batches submissions that arrive
// together into one transaction.
type writer struct {
	store   kv.Client
	pending chan *submission

	mu     sync.Mutex
	queued unit.Bytes // size of the submissions that have no result yet
}

// submission is a job record to be written, and the channel for its result.
type submission struct {
	record record.Job
	size   unit.Bytes // about the bytes of the record as it was submitted
	// withdrawal is the revision of the record of the job's withdrawal, which the
	// submission replaces; 0 if there is none.
	withdrawal unit.Revision
	result     chan writeResult
}

// writeResult is the result of writing a submission.
type writeResult struct {
	revision unit.Revision
	existed  bool // the store already had a record with the same id, or with a final state
	err      error
}

// outcome returns the label of the result in the metrics.
func (r writeResult) outcome() string {
	switch {
	case r.err == nil && r.existed:
		return "repeated"
	case r.err == nil:
		return "accepted"
	case errors.Is(r.err, ErrUnknown):
		return "unknown"
	}
	return "refused"
}

func newWriter(store kv.Client) *writer {
	return &writer{store: store, pending: make(chan *submission, 256)}
}

// write queues a job record and waits for its result. If the context ends first,
// the outcome is unknown.
func (w *writer) write(ctx context.Context, r record.Job) writeResult {
	sub := &submission{record: r, size: r.Job.TextSize(), result: make(chan writeResult, 1)}
	if !w.enqueue(sub) {
		return writeResult{err: errors.Errorf("too many submissions at once: %w", ErrRefused)}
	}
	select {
	case result := <-sub.result:
		return result
	case <-ctx.Done():
		return writeResult{err: errors.Errorf("%v: %w", ctx.Err(), ErrUnknown)}
	}
}

// enqueue queues a submission, unless there are too many. A single one is always queued.
func (w *writer) enqueue(sub *submission) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued > 0 && w.queued+sub.size > maxQueuedBytes {
		return false
	}
	select {
	case w.pending <- sub:
		w.queued += sub.size
		return true
	default:
		return false
	}
}

// forget accounts for submissions that have a result.
func (w *writer) forget(batch []*submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, sub := range batch {
		w.queued -= sub.size
	}
}

// run commits pending submissions in batches until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case sub := <-w.pending:
			all := w.fillBatch(sub)
			for batch := all; len(batch) > 0; {
				var conflicting []*submission
				batch, conflicting = splitConflicting(batch)
				w.commit(ctx, batch)
				batch = conflicting
			}
			w.forget(all)
		}
	}
}

// fillBatch returns a submission with those that wait behind it, as many as one transaction
// may take.
func (w *writer) fillBatch(first *submission) []*submission {
	batch, size := []*submission{first}, first.size
	for len(batch) < jobsPerCommit && size < specsPerCommit {
		select {
		case sub := <-w.pending:
			batch, size = append(batch, sub), size+sub.size
		default:
			return batch
		}
	}
	return batch
}

// splitConflicting splits off the submissions whose ids another organisation submits in the same
// batch. In one transaction each record would replace the other.
func splitConflicting(batch []*submission) (first, conflicting []*submission) {
	for _, sub := range batch {
		if slices.ContainsFunc(first, sub.conflictsWith) {
			conflicting = append(conflicting, sub)
		} else {
			first = append(first, sub)
		}
	}
	return first, conflicting
}

// conflictsWith reports whether two submissions of different organisations have the same id.
func (s *submission) conflictsWith(other *submission) bool {
	a, b := &s.record.Job, &other.record.Job
	return a.ID == b.ID && a.Organisation != b.Organisation
}

// commit writes a batch in one transaction. If some of its records already exist,
// it answers those submissions and retries with the rest.
func (w *writer) commit(ctx context.Context, batch []*submission) {
	for len(batch) > 0 {
		txn, err := encodeBatch(batch)
		if err != nil {
			answerAll(batch, writeResult{err: errors.Errorf("%v: %w", err, ErrRefused)})
			return
		}
		revision, err := w.store.Commit(ctx, txn)
		conflict, isConflict := errors.Into[*kv.ConflictError](err)
		switch {
		case err == nil:
			answerAll(batch, writeResult{revision: revision})
			return
		case isConflict:
			remaining, resolved := answerExisting(batch, conflict)
			if !resolved {
				answerAll(batch, writeResult{err: errors.Errorf("conflict without a record: %w", ErrUnknown)})
				return
			}
			batch = remaining
		case errors.Is(err, kv.ErrUnavailable):
			answerAll(batch, writeResult{err: errors.Errorf("%v: %w", err, ErrRefused)})
			return
		default:
			w.resolveOutcomes(ctx, batch, err)
			return
		}
	}
}

// resolveOutcomes looks up the record of each submission after the response to the
// transaction was lost. The record of another submission of the batch proves
// nothing, since it may come from an earlier submission. Nor does a missing record,
// since the store may still execute the transaction.
func (w *writer) resolveOutcomes(ctx context.Context, batch []*submission, cause error) {
	for _, sub := range batch {
		i, err := w.store.Get(ctx, record.JobKey(sub.record.Job.ID))
		if err != nil {
			sub.result <- writeResult{err: errors.Errorf("%v: %w", cause, ErrUnknown)}
			continue
		}
		sub.result <- sub.resultOf(i, false)
	}
}

// encodeBatch returns a transaction that creates all records of the batch, or none
// if one of them exists.
func encodeBatch(batch []*submission) (kv.Txn, error) {
	var t kv.Txn
	for _, sub := range batch {
		value, err := record.Encode(sub.record)
		if err != nil {
			return kv.Txn{}, err
		}
		key := record.JobKey(sub.record.Job.ID)
		t.Guards = append(t.Guards, kv.Guard{Key: key, Revision: sub.withdrawal})
		t.Puts = append(t.Puts, kv.Put{Key: key, Value: value})
	}
	return t, nil
}

// answerExisting answers the submissions whose records are in the store already and
// returns the others. It reports whether the next transaction differs from the one that
// conflicted.
func answerExisting(batch []*submission, conflict *kv.ConflictError) (remaining []*submission, resolved bool) {
	for _, sub := range batch {
		i, ok := conflict.Item(record.JobKey(sub.record.Job.ID))
		if !ok || i.Revision == sub.withdrawal {
			remaining = append(remaining, sub)
			continue
		}
		resolved = true
		if sub.replaceWithdrawal(i) {
			remaining = append(remaining, sub)
			continue
		}
		sub.result <- sub.resultOf(i, true)
	}
	return remaining, resolved
}

// replaceWithdrawal turns a submission of which the store has the withdrawal in an item into
// that of a cancelled job, which callers see from then on. It returns false for any other item.
func (s *submission) replaceWithdrawal(i kv.Item) bool {
	stored, err := record.DecodeJob(i.Value)
	if err != nil || !s.withdrawnBy(stored) {
		return false
	}
	s.record, s.withdrawal = record.Final(&s.record.Job, graph.Cancelled), i.Revision
	return true
}

// withdrawnBy reports whether a record is that of a withdrawal by a caller who sees the job
// of the submission.
func (s *submission) withdrawnBy(r record.Job) bool {
	job := &s.record.Job
	caller := Caller{Organisation: r.Job.Organisation, Queue: r.Job.Queue.ID}
	return r.State == graph.Withdrawn && caller.sees(job.Organisation, job.Queue.ID)
}

// resultOf returns the result of a submission of which the store has the record in an item.
// A record that the caller does not see is no earlier submission of the same job, and one with
// a final state is not that of the submission, which the owner must not take for open.
func (s *submission) resultOf(i kv.Item, existed bool) writeResult {
	job := &s.record.Job
	caller := Caller{Organisation: job.Organisation, Queue: job.Queue.ID}
	stored, err := record.DecodeJob(i.Value)
	switch {
	case err != nil && job.Organisation != "":
		return writeResult{err: errors.Errorf("%v: %w", err, ErrUnknown)}
	case err == nil && s.withdrawnBy(stored):
		return writeResult{revision: i.Revision, err: errors.Errorf("withdrawn: %w", ErrUnknown)}
	case err == nil && (stored.State == graph.Withdrawn || !caller.sees(stored.Job.Organisation, stored.Job.Queue.ID)):
		return writeResult{revision: i.Revision, err: ErrOtherOrganisation}
	}
	return writeResult{revision: i.Revision, existed: existed || (err == nil && stored.State.Final())}
}

// answerAll sends the same result to all submissions of a batch.
func answerAll(batch []*submission, result writeResult) {
	for _, sub := range batch {
		result.existed = sub.withdrawal != 0
		sub.result <- result
	}
}
