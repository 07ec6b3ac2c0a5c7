package membership

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// ErrRegistered is returned by Forget for an entry that is registered, and
// therefore not lost.
var ErrRegistered = errors.New("the entry is registered")

// Forget deletes the lasting record of a lost entry, which then counts as
// stopped. It is safe only if the process of the entry has certainly ended. It
// returns store.ErrNotFound for an entry without a lasting record.
func (s *Service) Forget(ctx context.Context, id unit.EntryID) error {
	snapshot, err := s.store.List(ctx, Prefix)
	if err != nil {
		return errors.Errorf("forget entry %s: %w", id, err)
	}
	view, _, lost, err := parseRegistrations(snapshot)
	if err != nil {
		return errors.Errorf("forget entry %s: %w", id, err)
	}
	if view.Contains(id) {
		return errors.Errorf("forget entry %s: %w", id, ErrRegistered)
	}
	record, ok := findRecord(lost, id)
	if !ok {
		return errors.Errorf("forget entry %s: %w", id, store.ErrNotFound)
	}
	// A registration rewrites the lasting record first, so the condition fails if
	// the entry has registered since the read.
	err = s.store.Delete(ctx, lastingKey(id), store.IfRevision(record.StoreRevision))
	if errors.Is(err, store.ErrConflict) {
		return errors.Errorf("forget entry %s: %w since", id, ErrRegistered)
	}
	if err != nil {
		return errors.Errorf("forget entry %s: %w", id, err)
	}
	return nil
}

func findRecord(records []roster.Record, id unit.EntryID) (roster.Record, bool) {
	for _, r := range records {
		if r.ID == id {
			return r, true
		}
	}
	return roster.Record{}, false
}
