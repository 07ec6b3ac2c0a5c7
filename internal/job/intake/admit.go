package intake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/admission"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// Limits of the log lines about rejections of one cause.
const (
	rejectionLinesPerSecond = 20
	rejectionLineBurst      = 100
)

// RejectedError is the error for a job that is rejected for want of capacity. It matches
// ErrRefused, since nothing was written.
type RejectedError struct {
	Job      unit.JobID
	Cause    admission.Cause
	ReturnAt time.Time // when the job should be submitted again
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("job %s: %s: %v", e.Job, e.Cause, ErrRefused)
}

// Unwrap returns ErrRefused.
func (e *RejectedError) Unwrap() error { return ErrRefused }

// admissionState holds the load that the owner has sent, and what was accepted and rejected
// by it.
type admissionState struct {
	mu       sync.Mutex
	snapshot admission.Snapshot
	owner    unit.EntryID // that has sent the load
	tally    admission.Tally
	lines    map[admission.Cause]*lineLimit
}

// lineLimit limits the log lines of a cause.
type lineLimit struct {
	limiter *rate.Limiter
	omitted int // lines since the last one that was logged
}

// set replaces the load.
func (a *admissionState) set(snapshot admission.Snapshot, owner unit.EntryID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshot, a.owner = snapshot, owner
}

// ownerIsFull reports whether the last load says that the owner has little memory left.
func (a *admissionState) ownerIsFull() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshot.Load.Full
}

// from returns the load that an owner has sent, which is empty if the last one came from
// another owner.
func (a *admissionState) from(owner unit.EntryID) admission.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	if owner == "" || owner != a.owner {
		return admission.Snapshot{}
	}
	return a.snapshot
}

// countAccepted counts an accepted job of an organisation.
func (a *admissionState) countAccepted(id unit.OrganisationID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally.Accepted(id, now)
}

// countRejected counts a rejected job and returns the time over which the callers of such
// jobs are spread at least.
func (a *admissionState) countRejected(job *graph.Job, cause admission.Cause, now time.Time) time.Duration {
	if cause != admission.BeyondRate {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tally.Rejected(job.Organisation, now)
}

// allowLine reports whether a line about a rejection may be logged, and how many were
// omitted since the last one of the cause.
func (a *admissionState) allowLine(cause admission.Cause, now time.Time) (omitted int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lines == nil {
		a.lines = map[admission.Cause]*lineLimit{}
	}
	l := a.lines[cause]
	if l == nil {
		l = &lineLimit{limiter: rate.NewLimiter(rejectionLinesPerSecond, rejectionLineBurst)}
		a.lines[cause] = l
	}
	if !l.limiter.AllowN(now, 1) {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// admit returns a RejectedError if the job is rejected for want of capacity or memory.
// Otherwise the job has entered the window. A job that was accepted before, or may have been as
// the store does not tell, is not rejected.
func (s *Service) admit(ctx context.Context, job *graph.Job) error {
	now := job.Accepted
	snapshot := s.snapshot(now)
	rejection, ok := admission.Decide(job, &snapshot, now)
	if !ok {
		if s.window.enter(job, s.notifier.size()) {
			return nil
		}
		rejection = admission.Rejection{Cause: admission.NoMemory, ServedAt: now.Add(windowDelay)}
	}
	if !s.isNew(ctx, job) {
		s.window.add(job)
		return nil
	}
	spread := s.admission.countRejected(job, rejection.Cause, now)
	rejected := &RejectedError{Job: job.ID, Cause: rejection.Cause, ReturnAt: rejection.ReturnAt(job.ID, spread, now)}
	metric.Submissions.Add("rejected", 1)
	metric.Rejections.Add(string(rejection.Cause), 1)
	s.logRejection(job, &rejection, rejected, &snapshot)
	return rejected
}

// isNew reports whether the store certainly has no record of a job.
func (s *Service) isNew(ctx context.Context, job *graph.Job) bool {
	_, _, err := s.readRecord(ctx, Caller{Organisation: job.Organisation, Queue: job.Queue.ID}, job.ID)
	return errors.Is(err, ErrNoJob)
}

// logRejection logs a rejection with the inputs of the decision, unless there are too many.
func (s *Service) logRejection(job *graph.Job, r *admission.Rejection, rejected *RejectedError, snapshot *admission.Snapshot) {
	now := job.Accepted
	omitted, ok := s.admission.allowLine(r.Cause, now)
	if !ok {
		return
	}
	fields := []any{
		"job", job.ID, "queue", job.Queue.ID, "organisation", job.Organisation, "cause", r.Cause,
		"back", rejected.ReturnAt.Sub(now).String(), "served", r.ServedAt.Sub(now).String(),
		"loadage", snapshot.Age(now).String(), "free", snapshot.Load.Free, "total", snapshot.Load.Total, "omitted", omitted,
	}
	if r.Cause == admission.TooLate {
		fields = append(fields, "startsin", r.StartsAt.Sub(now).String(), "usefulfor", r.UsefulUntil.Sub(now).String())
	}
	s.log.Info("submission rejected", fields...)
}
