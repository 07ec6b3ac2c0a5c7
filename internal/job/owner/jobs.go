package owner

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// applyJobRecord decodes a job record from the store and applies it, unless it has been
// applied already, as most records of a list have. It is called with the lock held.
func (sh *shard) applyJobRecord(item kv.Item, now time.Time) {
	id := unit.JobID(strings.TrimPrefix(string(item.Key), string(record.JobPrefix)))
	if item.Deleted || item.Revision <= sh.jobRevisions[id] {
		return
	}
	r, err := guard.Value(func() (record.Job, error) { return record.DecodeJob(item.Value) })
	if err == nil && r.Job.ID != id {
		err = errors.Errorf("record of job %s under another key", r.Job.ID)
	}
	if err != nil {
		metric.AddSkippedItem(item.Key)
		sh.log.Error(err, "job record skipped", "key", item.Key, "revision", item.Revision)
		return
	}
	sh.applyJob(SubmittedJob{Record: r, Revision: item.Revision, Created: item.Created}, now)
}

// applyJob adds a job or its cancellation to the core. It is called with the lock
// held.
func (sh *shard) applyJob(job SubmittedJob, now time.Time) {
	id := job.Record.Job.ID
	if job.Revision < sh.jobRevisions[id] {
		return // a newer revision of the record has been applied
	}
	_, known := sh.core.JobState(id)
	sh.jobRevisions[id] = job.Revision
	fresh := sh.takeover.neverStarted(job.Created)
	sh.core.AddJob(&job.Record.Job, job.Record.State, fresh, now)
	switch {
	case job.Record.State == graph.Cancelled:
		sh.log.Info("job cancelled", "job", id, "revision", job.Revision)
	case !known && job.Record.State == 0:
		sh.log.Info("job taken", "job", id, "queue", job.Record.Job.Queue.ID, "revision", job.Revision, "fresh", fresh)
	}
}

func (sh *shard) accept(jobs []SubmittedJob) {
	sh.update(func(_ *scheduler.Core, now time.Time) {
		for _, job := range jobs {
			if err := job.Record.Validate(); err != nil {
				sh.log.Error(err, "notice of another entry skipped", "job", job.Record.Job.ID, "revision", job.Revision)
				continue
			}
			sh.applyJob(job, now)
		}
	})
}

func (sh *shard) state(id unit.JobID) JobStatus {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	status := JobStatus{}
	status.State, status.Known = sh.core.JobState(id)
	status.Organisation, status.Queue, _ = sh.core.JobOrganisation(id)
	return status
}

func (sh *shard) pending(q graph.QueueID) (int, error) {
	if !sh.knowsPending(time.Now()) {
		return 0, errJobsNotRead
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.PendingJobs(q), nil
}
