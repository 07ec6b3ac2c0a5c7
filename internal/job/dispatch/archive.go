package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

const (
	// archiveInterval is the time between two runs of the archive. At 18,000 jobs
	// per day a run finds about 125 ended jobs, which until then stay in the list
	// that every new owner reads.
	archiveInterval = 10 * time.Minute
	// archivePause limits a run to about 40 of the several hundred writes per
	// second that the store allows.
	archivePause = 50 * time.Millisecond
	// archiveRetention is how long after its submission the record of an ended job
	// is kept. The 18,000 jobs of a day take about 8 MB without their parts, which
	// fits into one answer of the store. With 8 parts each they would not fit.
	archiveRetention = 24 * time.Hour
)

// archivePrefix is the key prefix of the records of ended jobs.
const archivePrefix store.Key = "done/"

func archiveKey(id unit.JobID) store.Key { return archivePrefix + store.Key(id) }

// runArchive moves the records of ended jobs from the job list to the archive
// until the context ends. Only the first entry of the view does so.
func (s *Service) runArchive(ctx context.Context) {
	tick := time.NewTicker(archiveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		view := s.members.View()
		if len(view.Entries) == 0 || view.Entries[0].ID != s.members.Self() {
			continue
		}
		if err := s.archiveEnded(ctx, s.options.Now()); err != nil && ctx.Err() == nil {
			s.log.Info("archiving ended jobs failed", "error", err)
		}
	}
}

// archiveEnded archives the records of ended jobs. It deletes archived records
// that are older than archiveRetention or not readable. It is safe to run on two
// entries at once or to interrupt: a record is deleted only if it has not changed
// since it was read.
func (s *Service) archiveEnded(ctx context.Context, now time.Time) error {
	jobs, err := s.records.List(ctx, ledger.RecordPrefix)
	if err != nil {
		return errors.Errorf("list jobs: %w", err)
	}
	for _, stored := range jobs.Records {
		changed, err := parseJob(stored)
		if err != nil || !changed.Record.Ended() {
			continue
		}
		value, err := ledger.EncodeRecord(changed.Record.Condensed())
		if err != nil {
			return errors.Errorf("archive job %s: %w", changed.Job, err)
		}
		if _, err := s.records.Put(ctx, archiveKey(changed.Job), value, store.Always(), ""); err != nil {
			return errors.Errorf("archive job %s: %w", changed.Job, err)
		}
		if err := s.removeRecord(ctx, stored); err != nil {
			return err
		}
	}
	archived, err := s.records.List(ctx, archivePrefix)
	if err != nil {
		return errors.Errorf("list archive: %w", err)
	}
	for _, stored := range archived.Records {
		r, err := ledger.DecodeRecord(stored.Value)
		if err == nil && now.Sub(time.UnixMilli(r.Job.Time)) < archiveRetention {
			continue
		}
		if err := s.removeRecord(ctx, stored); err != nil {
			return err
		}
	}
	return nil
}

// removeRecord deletes a record if it has not changed, and then pauses.
func (s *Service) removeRecord(ctx context.Context, r store.Record) error {
	err := s.records.Delete(ctx, r.Key, store.IfRevision(r.Revision))
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
		return errors.Errorf("delete %s: %w", r.Key, err)
	}
	select {
	case <-time.After(archivePause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
