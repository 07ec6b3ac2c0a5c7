package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// applyJobRecord decodes a job record from the store and applies it. It is called with
// the lock held.
func (sh *shard) applyJobRecord(i kv.Item, now time.Time) {
	if i.Deleted {
		return
	}
	r, err := record.DecodeJob(i.Value)
	if err != nil {
		sh.log.Error(err, "job record skipped", "key", i.Key, "revision", i.Revision)
		return
	}
	sh.applyJob(SubmittedJob{Record: r, Revision: i.Revision, Created: i.Created}, now)
}

// applyJob adds a job or its cancellation to the core. It is called with the lock
// held.
func (sh *shard) applyJob(j SubmittedJob, now time.Time) {
	id := j.Record.Job.ID
	if j.Revision < sh.jobRevisions[id] {
		return // a newer revision of the record has been applied
	}
	_, known := sh.core.JobState(id)
	sh.jobRevisions[id] = j.Revision
	fresh := sh.takeover.neverStarted(j.Created, now)
	sh.core.AddJob(&j.Record.Job, j.Record.State, fresh, now)
	switch {
	case j.Record.State == graph.Cancelled:
		sh.log.Info("job cancelled", "job", id, "revision", j.Revision)
	case !known && j.Record.State == 0:
		sh.log.Info("job taken", "job", id, "queue", j.Record.Job.Queue.ID, "revision", j.Revision, "fresh", fresh)
	}
}

func (sh *shard) accept(jobs []SubmittedJob) {
	sh.update(func(_ *scheduler.Core, now time.Time) {
		for _, j := range jobs {
			sh.applyJob(j, now)
		}
	})
}

func (sh *shard) state(id unit.JobID) (graph.State, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.JobState(id)
}

func (sh *shard) pending(q graph.QueueID) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.core.PendingJobs(q)
}
