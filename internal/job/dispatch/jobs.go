package dispatch

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Errors of Submit. Use errors.Is.
var (
	// ErrInvalid means that a job was rejected. The error text has the reason.
	ErrInvalid = errors.New("invalid job")
	// ErrExists means that the id belongs to another job.
	ErrExists = errors.New("job id is taken")
)

const (
	// watchTimeout is how long a watch of the job records waits for a change.
	watchTimeout = 30 * time.Second
	// watchRetryDelay is the delay after a failed watch or read of job records.
	watchRetryDelay = time.Second
	// maxReplicas is the number of task indices of a standing job that each shard
	// gets for its replicas.
	maxReplicas = 1024
	// watchInterval is the minimum time between two watches. Without it, every
	// change of a job record would be a separate answer to every entry, and there
	// are over 100 changes per second at the peak.
	watchInterval = 500 * time.Millisecond
	// maxParts bounds the parts of a job. Each time a part ends, the whole record
	// is written, and every entry reads it.
	maxParts = 8
	// maxUnsplitTasks is the number of tasks up to which a job is assigned to a
	// single shard.
	maxUnsplitTasks = 8
	// maxCancelTries bounds the tries to change a record that others change
	// concurrently.
	maxCancelTries = 8
)

// Submit writes the record of a job. A job without a team belongs to the team of
// its class. Submitting the same job again has no further effect. After
// store.ErrUnknown the job may or may not have been accepted.
func (s *Service) Submit(ctx context.Context, j queue.Job) error {
	document := s.config.Current().Document
	if class, ok := document.Class(j.Class); ok && j.Team == "" {
		j.Team = class.Team
	}
	class, err := validateJob(j, &document)
	if err != nil {
		return err
	}
	r := ledger.Record{Job: j, Standing: class.Kind == spec.KindStanding}
	if r.Standing {
		r.Parts = standingParts(s.shards())
	} else {
		r.Parts = batchParts(j, s.eligibleShards(j, &document))
	}
	if len(r.Parts) == 0 {
		return errors.Errorf("no zone in service has workers: %w", store.ErrUnavailable)
	}
	value, err := ledger.EncodeRecord(r)
	if err != nil {
		return err
	}
	if _, err := s.records.Get(ctx, archiveKey(j.ID)); !errors.Is(err, store.ErrNotFound) {
		return s.confirmSubmit(ctx, r, err)
	}
	_, err = s.records.Put(ctx, ledger.RecordKey(j.ID), value, store.IfAbsent(), "")
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		return s.confirmSubmit(ctx, r, err)
	}
	if err != nil {
		return errors.Errorf("submit job %s: %w", j.ID, err)
	}
	return nil
}

// confirmSubmit reads the record back to find out whether a submission took
// effect.
func (s *Service) confirmSubmit(ctx context.Context, r ledger.Record, cause error) error {
	found, err := s.Job(ctx, r.Job.ID)
	switch {
	case err != nil:
		return errors.Errorf("submit job %s: %w", r.Job.ID, errors.Join(cause, err))
	case found.Job != r.Job:
		return errors.Errorf("submit job %s: %w", r.Job.ID, ErrExists)
	}
	return nil
}

// Cancel marks jobs as cancelled. The owners of their shards stop the running
// tasks.
func (s *Service) Cancel(ctx context.Context, ids ...unit.JobID) error {
	var errs []error
	for _, id := range ids {
		if err := s.cancelOne(ctx, id); err != nil {
			errs = append(errs, errors.Errorf("cancel job %s: %w", id, err))
		}
	}
	return errors.Join(errs...)
}

func (s *Service) cancelOne(ctx context.Context, id unit.JobID) error {
	var last error
	for range maxCancelTries {
		stored, err := s.records.Get(ctx, ledger.RecordKey(id))
		if err != nil {
			return err
		}
		r, err := ledger.DecodeRecord(stored.Value)
		if err != nil || r.Cancelled || r.Ended() {
			return err
		}
		r.Cancelled = true
		value, err := ledger.EncodeRecord(r)
		if err != nil {
			return err
		}
		_, last = s.records.Put(ctx, stored.Key, value, store.IfRevision(stored.Revision), "")
		if !errors.Is(last, store.ErrConflict) && !errors.Is(last, store.ErrUnknown) {
			return last
		}
	}
	return last
}

// Job returns the record of a job, including an ended job that is still in the
// archive.
func (s *Service) Job(ctx context.Context, id unit.JobID) (ledger.Record, error) {
	stored, err := s.records.Get(ctx, ledger.RecordKey(id))
	if errors.Is(err, store.ErrNotFound) {
		stored, err = s.records.Get(ctx, archiveKey(id))
	}
	if err != nil {
		return ledger.Record{}, errors.Errorf("read job %s: %w", id, err)
	}
	return ledger.DecodeRecord(stored.Value)
}

// Jobs returns the records of all jobs by id, without the ended ones that are
// already archived.
func (s *Service) Jobs(ctx context.Context) ([]ledger.Record, error) {
	listed, err := s.listJobs(ctx)
	if err != nil {
		return nil, err
	}
	all := make([]ledger.Record, 0, len(listed.jobs))
	for _, j := range listed.jobs {
		all = append(all, j.Record)
	}
	return all, nil
}

func validateJob(j queue.Job, d *spec.Document) (spec.Class, error) {
	class, ok := d.Class(j.Class)
	team := slices.ContainsFunc(d.Teams, func(t spec.Team) bool { return t.Name == j.Team })
	var reason string
	switch {
	case j.ID == "" || bytes.ContainsRune([]byte(j.ID), '/'):
		reason = "id is empty or has a slash"
	case !ok:
		reason = "class " + string(j.Class) + " is not in the target document"
	case class.Kind == spec.KindRequest:
		reason = "class " + string(j.Class) + " is for requests"
	case !team:
		reason = "team " + string(j.Team) + " has no quota"
	case !j.Size.Valid():
		reason = "size is empty or negative"
	case j.Work < 0:
		reason = "work is negative"
	case class.Kind == spec.KindBatch && (j.Tasks < 1 || j.Tasks > queue.MaxTasks):
		reason = "number of tasks is not from 1 to 65536"
	default:
		return class, nil
	}
	return spec.Class{}, errors.Errorf("job %q: %s: %w", j.ID, reason, ErrInvalid)
}

// eligibleShards returns the shards in service with a worker large enough for a
// task of the job. If there is none, it returns all shards in service, and the
// owner parks the job.
func (s *Service) eligibleShards(j queue.Job, d *spec.Document) []unit.ShardID {
	var fitting, all []unit.ShardID
	for _, w := range s.fleet.Snapshot().Workers() {
		if w.Control == "" || w.State != store.InstanceLive || d.ZoneOut(w.Zone) {
			continue
		}
		id := shard.ForRack(w.Zone, w.Rack, s.options.Buckets)
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
		if j.Size.Fits(w.Capacity) && !slices.Contains(fitting, id) {
			fitting = append(fitting, id)
		}
	}
	if len(fitting) > 0 {
		return fitting
	}
	return all
}

// batchParts assigns the tasks of a job to shards: all tasks of a small job to
// one shard, chosen by hash, and those of a large job in equal shares to up to
// maxParts shards. The owners later move tasks that cannot be placed.
func batchParts(j queue.Job, shards []unit.ShardID) []ledger.Part {
	sortByScore(shards, string(j.ID))
	most := maxParts
	if j.Tasks <= maxUnsplitTasks {
		most = 1
	}
	shards = shards[:min(len(shards), most)]
	var parts []ledger.Part
	var first unit.TaskIndex
	for n, id := range shards {
		left := unit.TaskIndex(len(shards) - n)
		count := (j.Tasks - first + left - 1) / left
		if count > 0 {
			parts = append(parts, ledger.Part{Shard: id, First: first, Count: count})
		}
		first += count
	}
	return parts
}

// sortByScore sorts shards by their rendezvous hash score for a key.
func sortByScore(shards []unit.ShardID, key string) {
	score := func(id unit.ShardID) uint64 { return xxhash.Sum64String(key + "\x00" + id.String()) }
	slices.SortFunc(shards, func(a, b unit.ShardID) int { return cmp.Compare(score(a), score(b)) })
}

func standingParts(shards []unit.ShardID) []ledger.Part {
	parts := make([]ledger.Part, 0, len(shards))
	for n, id := range shards {
		parts = append(parts, ledger.Part{Shard: id, First: unit.TaskIndex(n * maxReplicas), Count: maxReplicas})
	}
	return parts
}

// jobList is the result of reading all job records.
type jobList struct {
	jobs     []JobChanged
	revision unit.Revision
}

func (s *Service) listJobs(ctx context.Context) (jobList, error) {
	snapshot, err := s.records.List(ctx, ledger.RecordPrefix)
	if err != nil {
		return jobList{}, errors.Errorf("list jobs: %w", err)
	}
	l := jobList{revision: snapshot.Revision}
	for _, r := range snapshot.Records {
		changed, err := parseJob(r)
		if err != nil {
			// A damaged record must not keep all other jobs from running.
			s.log.Info("skipped unreadable job record", "key", r.Key, "error", err)
			continue
		}
		l.jobs = append(l.jobs, changed)
	}
	return l, nil
}

func parseJob(r store.Record) (JobChanged, error) {
	record, err := ledger.DecodeRecord(r.Value)
	if err != nil {
		return JobChanged{}, err
	}
	return JobChanged{Job: unit.JobID(r.Key[len(ledger.RecordPrefix):]), Record: record, Revision: r.Revision}, nil
}

// followJobRecords delivers changes of job records to the owned shards until the
// context ends. It lists all records at the start and after a failed watch.
func (s *Service) followJobRecords(ctx context.Context) {
	var after unit.Revision
	complete := false // all changes up to after were delivered
	for ctx.Err() == nil {
		var changes []JobChanged
		var err error
		if complete {
			changes, after, err = s.watchJobs(ctx, after)
		} else {
			var l jobList
			l, err = s.listJobs(ctx)
			changes, after = l.jobs, l.revision
		}
		if complete = err == nil; !complete {
			select {
			case <-time.After(watchRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		s.mu.Lock()
		runners := s.allRunners()
		s.mu.Unlock()
		for _, r := range runners {
			for _, c := range changes {
				r.deliver(ctx, c)
			}
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) watchJobs(ctx context.Context, after unit.Revision) ([]JobChanged, unit.Revision, error) {
	changes, err := s.records.Watch(ctx, ledger.RecordPrefix, after, watchTimeout)
	if err != nil {
		return nil, 0, errors.Errorf("watch jobs: %w", err)
	}
	var found []JobChanged
	for _, e := range changes.Events {
		id := unit.JobID(e.Record.Key[len(ledger.RecordPrefix):])
		if e.Deleted {
			found = append(found, JobChanged{Job: id, Deleted: true})
			continue
		}
		changed, err := parseJob(e.Record)
		if err != nil {
			s.log.Info("skipped unreadable job record", "key", e.Record.Key, "error", err)
			continue
		}
		found = append(found, changed)
	}
	return found, changes.Revision, nil
}
