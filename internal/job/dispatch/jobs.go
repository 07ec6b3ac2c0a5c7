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

// Errors of the methods for operators. Use errors.Is.
var (
	// ErrInvalid says that a job was refused; the text has the reason.
	ErrInvalid = errors.New("invalid job")
	// ErrExists says that the id belongs to another job.
	ErrExists = errors.New("job id is taken")
)

const (
	// watchWait is the time that a watch of the job records waits for a change.
	watchWait = 30 * time.Second
	// watchRetry is the wait after a failed watch.
	watchRetry = time.Second
	// maxReplicas is the room for replicas that each shard gets in the tasks of a
	// standing job.
	maxReplicas = 1024
	// watchPause is the least time between two watches. Without it each change of
	// a job record, of which there are over 100 a second at the peak, would be an
	// answer of its own to every entry.
	watchPause = 500 * time.Millisecond
	// maxParts bounds the parts of a job. Each end of a part writes the whole
	// record, which every entry reads.
	maxParts = 8
	// wholeTasks is the number of tasks up to which a job goes to one shard.
	wholeTasks = 8
	// cancelTries bounds the attempts to change a record that others change too.
	cancelTries = 8
)

// Submit writes the record of a job. A job without a team belongs to the team of
// its class. A repeated submission of the same job has
// no further effect. After store.ErrUnknown the job may or may not be there.
func (s *Service) Submit(ctx context.Context, j queue.Job) error {
	document := s.config.Current().Document
	if class, ok := document.Class(j.Class); ok && j.Team == "" {
		j.Team = class.Team
	}
	class, err := check(j, &document)
	if err != nil {
		return err
	}
	r := ledger.Record{Job: j, Standing: class.Kind == spec.KindStanding}
	if r.Standing {
		r.Parts = standingParts(s.shards())
	} else {
		r.Parts = batchParts(j, s.able(j, &document))
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

// confirmSubmit decides by reading back whether a submission took effect.
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

// Cancel marks jobs as cancelled. Their owners stop what runs of them.
func (s *Service) Cancel(ctx context.Context, ids ...unit.JobID) error {
	var faults []error
	for _, id := range ids {
		if err := s.cancelOne(ctx, id); err != nil {
			faults = append(faults, errors.Errorf("cancel job %s: %w", id, err))
		}
	}
	return errors.Join(faults...)
}

func (s *Service) cancelOne(ctx context.Context, id unit.JobID) error {
	var last error
	for range cancelTries {
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

// Job returns the record of a job, also of one that ended within a day.
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

// Jobs returns the records of all jobs but those ended some minutes ago, by id.
func (s *Service) Jobs(ctx context.Context) ([]ledger.Record, error) {
	listed, err := s.listJobs(ctx)
	if err != nil {
		return nil, err
	}
	all := make([]ledger.Record, 0, len(listed.changed))
	for _, j := range listed.changed {
		all = append(all, j.Record)
	}
	return all, nil
}

func check(j queue.Job, d *spec.Document) (spec.Class, error) {
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

// able returns the shards in service that have a worker large enough for a task
// of the job, or, if none has, all in service: the owner then parks the job.
func (s *Service) able(j queue.Job, d *spec.Document) []unit.ShardID {
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

// batchParts assigns the tasks of a job: a small job to one shard, which spreads
// jobs by hash, and a large one to maxParts of them in equal shares. Tasks that
// find no room are moved by the owners.
func batchParts(j queue.Job, shards []unit.ShardID) []ledger.Part {
	sortByScore(shards, string(j.ID))
	most := maxParts
	if j.Tasks <= wholeTasks {
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

// sortByScore puts shards into the order of their rendezvous score for a key.
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

// listed is a read of all job records.
type listed struct {
	changed  []JobChanged
	revision unit.Revision
}

func (s *Service) listJobs(ctx context.Context) (listed, error) {
	snapshot, err := s.records.List(ctx, ledger.RecordPrefix)
	if err != nil {
		return listed{}, errors.Errorf("list jobs: %w", err)
	}
	l := listed{revision: snapshot.Revision}
	for _, r := range snapshot.Records {
		changed, err := parseJob(r)
		if err != nil {
			// One damaged record must not keep all other jobs from running.
			s.log.Info("job record not readable", "key", r.Key, "error", err)
			continue
		}
		l.changed = append(l.changed, changed)
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

// follow passes changes of job records to the owned shards until the context
// ends. It lists all records at the start and after a failed watch.
func (s *Service) follow(ctx context.Context) {
	var after unit.Revision
	complete := false // all changes up to after were passed on
	for ctx.Err() == nil {
		var changes []JobChanged
		var err error
		if complete {
			changes, after, err = s.watchJobs(ctx, after)
		} else {
			var l listed
			l, err = s.listJobs(ctx)
			changes, after = l.changed, l.revision
		}
		if complete = err == nil; !complete {
			select {
			case <-time.After(watchRetry):
			case <-ctx.Done():
			}
			continue
		}
		s.mu.Lock()
		hosts := s.all()
		s.mu.Unlock()
		for _, h := range hosts {
			for _, c := range changes {
				h.deliver(ctx, c)
			}
		}
		select {
		case <-time.After(watchPause):
		case <-ctx.Done():
		}
	}
}

func (s *Service) watchJobs(ctx context.Context, after unit.Revision) ([]JobChanged, unit.Revision, error) {
	changes, err := s.records.Watch(ctx, ledger.RecordPrefix, after, watchWait)
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
			s.log.Info("job record not readable", "key", e.Record.Key, "error", err)
			continue
		}
		found = append(found, changed)
	}
	return found, changes.Revision, nil
}
