package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Times and size of the removal of jobs that have ended.
const (
	removalInterval = 5 * time.Second
	removalBatch    = kv.MaxEntries - 2
	// retentionFactor is how much longer than it must be shown a final state is kept.
	retentionFactor = 1.25
)

// removeEndedJobs removes the records of jobs whose final state has been shown for long
// enough, until the term ends.
func (sh *shard) removeEndedJobs() {
	keep := time.Duration(retentionFactor * float64(sh.service.options.FinalStateRetention))
	for sh.sleep(removalInterval) {
		sh.mu.Lock()
		ids := sh.core.RemoveFinalJobs(time.Now().Add(-keep), removalBatch)
		for _, id := range ids {
			delete(sh.jobRevisions, id)
		}
		sh.mu.Unlock()
		if len(ids) == 0 {
			continue
		}
		t := kv.Txn{Guards: []kv.Guard{{Key: ownership.EpochKey, Revision: sh.term.EpochRevision}}}
		for _, id := range ids {
			t.Removes = append(t.Removes, record.JobKey(id))
		}
		if _, err := sh.service.store.Commit(sh.ctx, t); err != nil {
			// A later owner finds the records again.
			sh.log.Info("records of ended jobs not removed", "jobs", len(ids), "error", err)
		}
	}
}
