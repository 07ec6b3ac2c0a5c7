package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Intervals, batch size and retention of the removal of ended jobs.
const (
	removalInterval = 5 * time.Second
	removalBatch    = kv.MaxTxnOps - 2
	// removalBacklogInterval is the time until the next batch after a full one. It removes 120
	// records a second, in 4 writes of the store.
	removalBacklogInterval = 250 * time.Millisecond
	// retentionFactor is how much longer than FinalStateRetention a final state is
	// kept.
	retentionFactor = 1.25
)

// removeEndedJobs removes the records of jobs whose retention has passed, until the
// term ends.
func (sh *shard) removeEndedJobs() {
	retention := time.Duration(retentionFactor * float64(sh.service.options.FinalStateRetention))
	for interval := removalInterval; sh.sleep(interval); {
		sh.mu.Lock()
		ids := sh.core.RemoveFinalJobs(time.Now().Add(-retention), removalBatch)
		for _, id := range ids {
			delete(sh.jobRevisions, id)
		}
		sh.mu.Unlock()
		interval = removalInterval
		if len(ids) == removalBatch {
			interval = removalBacklogInterval
		}
		if len(ids) == 0 {
			continue
		}
		txn := kv.Txn{Guards: []kv.Guard{{Key: ownership.EpochKey, Revision: sh.term.EpochRevision}}}
		for _, id := range ids {
			txn.Removes = append(txn.Removes, record.JobKey(id))
		}
		if _, err := sh.service.store.Commit(sh.ctx, txn); err != nil {
			// A later owner reads the records again and removes them.
			sh.log.Info("records of ended jobs not removed", "jobs", len(ids), "error", err)
		}
	}
}
