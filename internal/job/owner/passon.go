package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// errHandingOver means that the shard is handed over before its takeover is complete.
var errHandingOver = errors.New("shard is handed over")

// passOn renews the record of the progress for the next owner, who may rely only on one of
// the epoch before its own. This owner has no core and gets none any more: it has given no
// orders and no leases, so that all that the record says still holds. It returns false if the
// context or the term ends first, or the store answers no entry any more.
func (sh *shard) passOn(ctx context.Context) (written bool) {
	for ctx.Err() == nil && sh.ctx.Err() == nil && !sh.service.outage.Outage() {
		err := sh.writePassedOn(ctx)
		if err == nil {
			return true
		}
		sh.log.Info("progress not passed on during the hand-over", "error", err.Error())
		if errors.Is(err, kv.ErrConflict) {
			return false // another entry has claimed the shard
		}
		wait.For(ctx, retryDelay)
	}
	return false
}

// writePassedOn writes the record of the previous owner under the epoch of this one. It does
// nothing if an earlier write took effect, or if the record is older.
func (sh *shard) writePassedOn(ctx context.Context) error {
	item, err := sh.service.store.Get(ctx, record.ProgressKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Errorf("read progress: %w", err)
	}
	progress, err := record.DecodeProgress(item.Value)
	if err != nil {
		return err
	}
	if progress.Epoch+1 != sh.term.Epoch {
		return nil
	}
	progress.Epoch = sh.term.Epoch
	progress.Elapse(time.Since(sh.claimedAt))
	if !progress.HandedOver {
		progress.EarlierRenewalsLeft = nil // its writer may run on, which is now an owner before the previous one
	}
	value, err := record.Encode(progress)
	if err != nil {
		return err
	}
	_, err = sh.service.store.Commit(ctx, kv.Txn{
		Guards: []kv.Guard{{Key: ownership.EpochKey, Revision: sh.term.EpochRevision}, {Key: record.ProgressKey, Revision: item.Revision}},
		Puts:   []kv.Put{{Key: record.ProgressKey, Value: value}},
	})
	if err != nil {
		return errors.Errorf("write progress: %w", err)
	}
	return nil
}
