package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// storedState is what a takeover reads from the store. Reads that have succeeded are kept
// when another one fails, so that an owner with a slow link gets to the end.
type storedState struct {
	progress, checkpoints, model storedItem
	workers, jobs                storedList
}

func newStoredState(workerPrefix kv.Key) *storedState {
	return &storedState{
		progress:    storedItem{key: record.ProgressKey},
		checkpoints: storedItem{key: record.CheckpointsKey},
		model:       storedItem{key: record.ModelKey},
		workers:     storedList{prefix: workerPrefix},
		jobs:        storedList{prefix: record.JobPrefix},
	}
}

// read reads what is missing. The job records, of which there are most, come after the
// rest: an answer behind a page of them on a slow link would count as stalled.
func (s *storedState) read(ctx context.Context, store kv.Client) error {
	var reads sync.WaitGroup
	var progressErr, workersErr error
	reads.Go(func() { progressErr = s.progress.read(ctx, store) })
	reads.Go(func() { workersErr = s.workers.read(ctx, store) })
	for _, optional := range []*storedItem{&s.checkpoints, &s.model} {
		reads.Go(func() { optional.err = optional.read(ctx, store) })
	}
	reads.Wait()
	if err := errors.Join(progressErr, workersErr); err != nil {
		return err
	}
	return s.jobs.read(ctx, store)
}

// decodeProgress returns the progress for the owner with the given epoch, and its revision.
func (s *storedState) decodeProgress(epoch unit.Epoch) (record.Progress, unit.Revision, error) {
	if s.progress.item.Revision == 0 {
		if epoch == 1 {
			return record.Progress{HandedOver: true, EarlierStartsLeft: new(time.Duration)}, 0, nil
		}
		return record.Progress{}, 0, nil
	}
	p, err := record.DecodeProgress(s.progress.item.Value)
	if err != nil {
		return record.Progress{}, 0, err
	}
	// A hand-over counts only for the next epoch: an owner in between may have
	// started tasks.
	p.HandedOver = p.HandedOver && p.Epoch+1 == epoch
	if p.Epoch+1 != epoch {
		p.Leases, p.EarlierRenewalsLeft = nil, nil // an owner in between may have extended leases
		p.Closed = nil                             // or started tasks
	}
	if !p.HandedOver {
		p.DropPlacements()
	}
	return p, s.progress.item.Revision, nil
}

// decodeCheckpoints returns the checkpoints that workers held at the time of the last
// write. Without them tasks whose worker is lost too begin again.
func (s *storedState) decodeCheckpoints(log logr.Logger) record.Checkpoints {
	c, err := decodeOptional(&s.checkpoints, record.DecodeCheckpoints)
	if err != nil {
		log.Info("checkpoints not read; tasks of lost workers begin again", "error", err.Error())
	}
	return c
}

// decodeModel returns the interference model of earlier owners. Without it the model
// starts empty.
func (s *storedState) decodeModel(log logr.Logger) record.Model {
	m, err := decodeOptional(&s.model, record.DecodeModel)
	if err != nil {
		log.Info("interference model not read; learning it again", "error", err.Error())
	}
	return m
}

// decodeOptional decodes an item that a takeover can do without. The value is empty if the
// item does not exist or was not read.
func decodeOptional[T any](i *storedItem, decode func([]byte) (T, error)) (T, error) {
	var none T
	if i.err != nil || i.item.Revision == 0 {
		return none, i.err
	}
	return decode(i.item.Value)
}

// storedItem is one item of the store, or its absence.
type storedItem struct {
	key  kv.Key
	done bool
	item kv.Item // revision 0: it does not exist
	err  error   // of the last read
}

// read reads the item unless that was done.
func (i *storedItem) read(ctx context.Context, store kv.Client) error {
	if i.done {
		return nil
	}
	item, err := guard.Value(func() (kv.Item, error) { return store.Get(ctx, i.key) })
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Errorf("read for takeover: %w", err)
	}
	i.item, i.done = item, true
	return nil
}

// storedList is all items under a prefix, read page by page.
type storedList struct {
	prefix      kv.Key
	listing     kv.Listing
	items       []kv.Item
	requestedAt time.Time // when the request for the first page was sent
}

// read reads the pages that are missing.
func (l *storedList) read(ctx context.Context, store kv.Client) error {
	for !l.listing.Complete {
		sentAt, first := time.Now(), l.listing.Revision == 0
		page, err := guard.Value(func() ([]kv.Item, error) { return store.NextPage(ctx, l.prefix, &l.listing) })
		if err != nil {
			return errors.Errorf("list for takeover: %w", err)
		}
		if first {
			l.requestedAt = sentAt
		}
		l.items = append(l.items, page...)
	}
	return nil
}
