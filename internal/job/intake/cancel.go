package intake

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// maxCancelAttempts is the number of times that a cancellation reads the record and writes.
const maxCancelAttempts = 5

// Cancel cancels a job that the caller sees and returns once the cancellation is durable.
// A job without a record is withdrawn before ErrNoJob is returned, since the store may still
// execute the write of a submission, and a submission may still arrive.
func (s *Service) Cancel(ctx context.Context, c Caller, id unit.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for range maxCancelAttempts {
		done, err := s.tryCancel(ctx, c, id)
		if done || err != nil {
			return err
		}
	}
	return errors.Errorf("cancel %s: record keeps changing: %w", id, ErrUnknown)
}

// tryCancel reads the record of a job and cancels or withdraws the job. It returns false if
// the record changed in the meantime, or if the outcome of the write is unknown.
func (s *Service) tryCancel(ctx context.Context, c Caller, id unit.JobID) (done bool, err error) {
	i, r, err := s.readRecord(ctx, c, id)
	switch {
	case errors.Is(err, errNoRecord):
		return s.writeWithdrawal(ctx, c, id)
	case err != nil:
		return false, err
	case r.State.Final():
		return true, nil
	}
	done, err = s.writeCancel(ctx, i, r)
	if err != nil || done {
		s.log.Info("cancellation", "job", id, "revision", i.Revision, "error", err)
	}
	return done, err
}

// writeCancel replaces the record that was read by one with the state Cancelled. It
// returns false if the record changed in the meantime, or if the outcome of the
// write is unknown; the caller then reads the record again.
func (s *Service) writeCancel(ctx context.Context, i kv.Item, r record.Job) (done bool, err error) {
	final := record.Final(&r.Job, graph.Cancelled)
	value, err := record.Encode(final)
	if err != nil {
		return false, err
	}
	revision, err := s.store.Commit(ctx, kv.Txn{
		Guards: []kv.Guard{{Key: i.Key, Revision: i.Revision}},
		Puts:   []kv.Put{{Key: i.Key, Value: value}},
	})
	switch {
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrUnknown):
		return false, nil // reading the record again shows what happened
	case err != nil:
		return false, errors.Errorf("cancel %s: %v: %w", r.Job.ID, err, ErrUnavailable)
	}
	s.notifier.notify(Notice{Record: final, Revision: revision, Created: i.Created})
	return true, nil
}

// writeWithdrawal creates a record with the state Withdrawn, after which no submission of the
// job can create one, and returns ErrNoJob. It returns false if there is a record by now, or
// if the outcome of the write is unknown. The owner keeps such a record like that of a job, so
// it is not written while the owner has little memory left: the rest is for jobs.
func (s *Service) writeWithdrawal(ctx context.Context, c Caller, id unit.JobID) (done bool, err error) {
	if snapshot := s.snapshot(time.Now()); snapshot.Full(time.Now()) {
		return false, errors.Errorf("withdraw %s: the owner has too many jobs: %w", id, ErrUnavailable)
	}
	job := graph.Job{ID: id, Organisation: c.Organisation, Queue: graph.Queue{ID: c.Queue}, Accepted: time.Now()}
	key := record.JobKey(id)
	value, err := record.Encode(record.Final(&job, graph.Withdrawn))
	if err != nil {
		return false, err
	}
	revision, err := s.store.Commit(ctx, kv.Txn{
		Guards: []kv.Guard{{Key: key}},
		Puts:   []kv.Put{{Key: key, Value: value}},
	})
	s.log.Info("withdrawal of a job without a record", "job", id, "queue", c.Queue, "revision", revision, "error", err)
	switch {
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrUnknown):
		return false, nil
	case err != nil:
		return false, errors.Errorf("withdraw %s: %v: %w", id, err, ErrUnavailable)
	}
	return true, errors.Errorf("job %s: %w", id, ErrNoJob)
}
