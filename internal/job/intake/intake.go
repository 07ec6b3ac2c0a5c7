// Package intake accepts jobs and answers queries about them on every entry,
// whichever entry owns the shard. A job is accepted only once its record is durable
// in the store.
package intake

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Errors of the service, to be matched with errors.Is.
var (
	// ErrNoJob means that the job does not exist.
	ErrNoJob = errors.New("no such job")
	// errNoRecord is an ErrNoJob of which the store has no record, not even one that the
	// caller does not see.
	errNoRecord = errors.Errorf("no record: %w", ErrNoJob)
	// ErrRefused means that a job was definitely not accepted.
	ErrRefused = errors.New("job not accepted")
	// ErrUnknown means that a change may or may not have taken effect. The caller
	// can safely repeat the same request.
	ErrUnknown = errors.New("outcome unknown")
	// ErrOtherOrganisation means that a job was not accepted since its id belongs to a job of
	// another organisation.
	ErrOtherOrganisation = errors.New("job id of another organisation")
	// ErrUnavailable means that a query cannot be answered at present.
	ErrUnavailable = errors.New("not available now")
)

// Limits of calls. submitTimeout also bounds a cancellation, and ownerTimeout each
// call to the owner of the shard.
const (
	submitTimeout = 2500 * time.Millisecond
	ownerTimeout  = 600 * time.Millisecond
)

// Bounds of the delay before a refused caller should retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
)

// RetryAfter returns the delay before a refused caller should retry: the duration
// of the store's outage so far, within bounds. An outage is expected to last about
// as long again, and callers retry only a few times.
func (s *Service) RetryAfter() time.Duration {
	return min(max(s.access.OutageDuration(), minRetryAfter), maxRetryAfter)
}

// Caller is who asks about a job: an organisation, or a caller without one that came over a
// public route.
type Caller struct {
	Organisation unit.OrganisationID
	Queue        graph.QueueID // of the route
}

// sees reports whether a job of an organisation and a queue is visible to the caller. A job
// without an organisation is visible to all.
func (c Caller) sees(organisation unit.OrganisationID, queue graph.QueueID) bool {
	switch {
	case organisation == "":
		return true
	case c.Organisation == "":
		return c.Queue == queue
	}
	return c.Organisation == organisation
}

// Submit writes a job to the store and returns once it is durable. It is
// idempotent: a repeated submission with the same id changes nothing. A job that is
// rejected for want of capacity has a RejectedError.
func (s *Service) Submit(ctx context.Context, job graph.Job) error {
	if err := job.Validate(); err != nil {
		return errors.Errorf("job %s: %w", job.ID, errors.Join(err, ErrRefused))
	}
	job.Accepted = time.Now()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := s.admit(ctx, &job); err != nil {
		return err
	}
	defer s.window.leave(&job)
	r := record.Job{Format: record.Format, Job: job}
	result := s.writer.write(ctx, r)
	log := s.log
	if job.Organisation != "" {
		log = log.WithValues("organisation", job.Organisation)
	}
	log.Info("submission", "job", job.ID, "queue", job.Queue.ID, "steps", len(job.Steps), "revision", result.revision,
		"existed", result.existed, "took", time.Since(job.Accepted).String(), "error", result.err)
	metric.Submissions.Add(result.outcome(), 1)
	metric.SubmitLatency.Record(time.Since(job.Accepted))
	if result.err != nil {
		return errors.Errorf("job %s: %w", job.ID, result.err)
	}
	if !result.existed {
		s.admission.countAccepted(job.Organisation, job.Accepted)
		s.notifier.notify(Notice{Record: r, Revision: result.revision, Created: result.revision})
	}
	return nil
}

// State returns the state of a job that the caller sees, as the owner of the shard has it,
// or else as the store has it.
func (s *Service) State(ctx context.Context, c Caller, id unit.JobID) (graph.State, error) {
	job, askErr := s.askState(ctx, id)
	if askErr == nil && job.Known && job.State != graph.Withdrawn { // the record of a withdrawn job may be newer
		if !c.sees(job.Organisation, job.Queue) {
			return 0, errors.Errorf("job %s: %w", id, ErrNoJob)
		}
		return job.State, nil
	}
	i, r, err := s.readRecord(ctx, c, id)
	if err != nil {
		return 0, err
	}
	if r.State.Final() {
		return r.State, nil
	}
	if askErr == nil { // the owner answered, but does not know the job yet
		s.notifier.notify(Notice{Record: r, Revision: i.Revision, Created: i.Created})
	}
	return graph.Queued, nil
}

// readRecord reads the record of a job that the caller sees from the store.
func (s *Service) readRecord(ctx context.Context, c Caller, id unit.JobID) (kv.Item, record.Job, error) {
	i, err := s.store.Get(ctx, record.JobKey(id))
	if errors.Is(err, kv.ErrNotFound) {
		return kv.Item{}, record.Job{}, errors.Errorf("job %s: %w", id, errNoRecord)
	}
	if err != nil {
		return kv.Item{}, record.Job{}, errors.Errorf("job %s: %v: %w", id, err, ErrUnavailable)
	}
	r, err := record.DecodeJob(i.Value)
	if err != nil {
		s.log.Error(err, "job record not readable", "job", id, "revision", i.Revision)
		return kv.Item{}, record.Job{}, errors.Errorf("job %s: %v: %w", id, err, ErrUnavailable)
	}
	if r.State == graph.Withdrawn || !c.sees(r.Job.Organisation, r.Job.Queue.ID) {
		return kv.Item{}, record.Job{}, errors.Errorf("job %s: %w", id, ErrNoJob)
	}
	return i, r, nil
}
