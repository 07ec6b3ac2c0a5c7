// Package record defines the stored form of jobs, of their progress and of the
// interference model, and the keys of these records.
package record

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Format is the version of job, progress and checkpoints records. A reader accepts its own and
// earlier versions.
const Format = 1

// ModelFormat is the version of model records. In version 1 the pairs held rises of
// the logarithm of a tail latency.
const ModelFormat = 2

// Keys of the records. JobPrefix is followed by the job id.
const (
	JobPrefix      kv.Key = "job/"
	ProgressKey    kv.Key = "progress/0"
	ModelKey       kv.Key = "model/0"
	CheckpointsKey kv.Key = "checkpoints/0"
)

// Job is the record of a submitted job, and of its final state once it has ended.
type Job struct {
	Format int         `cbor:"1,keyasint"`
	Job    graph.Job   `cbor:"2,keyasint"` // without its spec and steps once the state is final
	State  graph.State `cbor:"3,keyasint,omitempty"`
}

// Progress is the record of the progress of all open jobs of a shard.
type Progress struct {
	Format       int                               `cbor:"1,keyasint"`
	Epoch        unit.Epoch                        `cbor:"2,keyasint"` // epoch of the owner that wrote the record
	Jobs         map[unit.JobID]scheduler.Progress `cbor:"3,keyasint,omitempty"`
	KnownWorkers []unit.InstanceID                 `cbor:"4,keyasint,omitempty"` // workers on which the owner may start tasks
	HandedOver   bool                              `cbor:"5,keyasint,omitempty"` // set if the owner handed over and gave no orders afterwards
	BusyWorkers  []unit.InstanceID                 `cbor:"6,keyasint,omitempty"` // workers on which tasks may run or that list ends which Jobs lacks; only at a hand-over
	// Leases are those of silent workers, and at a hand-over of all BusyWorkers, which the
	// owner does not extend. Only the owner with the next epoch may rely on them.
	Leases []scheduler.WorkerLease `cbor:"7,keyasint,omitempty"`
	// Closed are the workers that take no more starts. Only the owner with the next epoch
	// may rely on them.
	Closed []scheduler.ClosedWorker `cbor:"10,keyasint,omitempty"`
	// EarlierRenewalsLeft is the time until no owner before this one extends the lease of a
	// worker any more. Entries of earlier releases do not set it.
	EarlierRenewalsLeft *time.Duration `cbor:"9,keyasint,omitempty"`
	// EarlierStartsLeft is, at a hand-over, the time until no owner before this one decides
	// to start a task any more. Entries of earlier releases do not set it.
	EarlierStartsLeft *time.Duration `cbor:"8,keyasint,omitempty"`
}

// Elapse takes a time that has passed since the claim of a later owner from what was left of
// leases and of the starts of earlier owners.
func (p *Progress) Elapse(d time.Duration) {
	for i := range p.Leases {
		p.Leases[i].Left = max(p.Leases[i].Left-d, 0)
	}
	for _, left := range []**time.Duration{&p.EarlierStartsLeft, &p.EarlierRenewalsLeft} {
		if *left != nil {
			*left = new(max(**left-d, 0))
		}
	}
}

// DropPlacements drops what a hand-over says of the tasks that may have a run.
func (p *Progress) DropPlacements() {
	for id, job := range p.Jobs {
		job.Opened, job.Placed = 0, nil
		p.Jobs[id] = job
	}
}

// Checkpoints is the record of the checkpoints that the workers hold and the progress
// leaves out. It is written less often than the progress, and each of its checkpoints
// is valid but may not be the latest.
type Checkpoints struct {
	Format int                                     `cbor:"1,keyasint"`
	Jobs   map[unit.JobID][]scheduler.TaskProgress `cbor:"2,keyasint,omitempty"`
}

// AddCheckpoints adds checkpoints to the tasks that have none and are not done. Jobs
// that the progress does not name have ended.
func (p *Progress) AddCheckpoints(c Checkpoints) {
	for id, saved := range c.Jobs {
		job, ok := p.Jobs[id]
		if !ok {
			continue
		}
		for _, s := range saved {
			i := slices.IndexFunc(job.Tasks, func(t scheduler.TaskProgress) bool {
				return t.Occurrence == s.Occurrence && t.Step == s.Step && t.Index == s.Index
			})
			switch {
			case i < 0:
				job.Tasks = append(job.Tasks, scheduler.TaskProgress{
					Occurrence: s.Occurrence, Step: s.Step, Index: s.Index, Checkpoint: s.Checkpoint,
				})
			case !job.Tasks[i].Done && job.Tasks[i].Checkpoint == "":
				job.Tasks[i].Checkpoint = s.Checkpoint
			}
		}
		p.Jobs[id] = job
	}
}

// Model is the record of an owner's estimates of the interference between images.
type Model struct {
	Format int                 `cbor:"1,keyasint"`
	Pairs  []interference.Pair `cbor:"2,keyasint,omitempty"`
}

// JobKey returns the key of a job's record.
func JobKey(id unit.JobID) kv.Key { return JobPrefix + kv.Key(id) }

// Final returns the record of a job that has ended. It keeps only what identifies
// the job and who may see it, since the spec and the steps are no longer needed.
func Final(j *graph.Job, s graph.State) Job {
	return Job{Format: Format, State: s, Job: graph.Job{
		ID: j.ID, Queue: graph.Queue{ID: j.Queue.ID}, Accepted: j.Accepted, Organisation: j.Organisation,
	}}
}

// encMode keeps the nanoseconds of times, since a new owner compares deadlines
// after a takeover.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(errors.Errorf("CBOR encoder options: %w", err)) // the options are constants
	}
	return mode
}()

// Encode returns the stored form of a record.
func Encode[T Job | Progress | Checkpoints | Model](v T) ([]byte, error) {
	return Marshal(v)
}

// Marshal encodes a value that contains records, such as a message between entries.
// cbor.Marshal would cut times to whole seconds.
func Marshal(v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Errorf("encode record: %w", err)
	}
	return body, nil
}

// DecodeJob decodes the record of a job.
func DecodeJob(body []byte) (Job, error) {
	var j Job
	if err := cbor.Unmarshal(body, &j); err != nil {
		return Job{}, errors.Errorf("decode job record: %w", err)
	}
	if j.Format < 1 || j.Format > Format {
		return Job{}, errors.Errorf("decode job record: format %d, want 1 to %d", j.Format, Format)
	}
	if err := j.Validate(); err != nil {
		return Job{}, errors.Errorf("decode job record: %w", err)
	}
	return j, nil
}

// Validate returns an error for the content of a record that no entry writes. A job with a
// final state has no steps.
func (j *Job) Validate() error {
	switch {
	case j.State == 0:
		return j.Job.Validate()
	case !j.State.Final() || j.State > graph.Withdrawn:
		return errors.Errorf("state %d is not final", j.State)
	}
	return nil
}

// DecodeProgress decodes the record of a shard's progress.
func DecodeProgress(body []byte) (Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(body, &p); err != nil {
		return Progress{}, errors.Errorf("decode progress record: %w", err)
	}
	if p.Format < 1 || p.Format > Format {
		return Progress{}, errors.Errorf("decode progress record: format %d, want 1 to %d", p.Format, Format)
	}
	return p, nil
}

// DecodeCheckpoints decodes the record of the checkpoints.
func DecodeCheckpoints(body []byte) (Checkpoints, error) {
	var c Checkpoints
	if err := cbor.Unmarshal(body, &c); err != nil {
		return Checkpoints{}, errors.Errorf("decode checkpoints record: %w", err)
	}
	if c.Format < 1 || c.Format > Format {
		return Checkpoints{}, errors.Errorf("decode checkpoints record: format %d, want 1 to %d", c.Format, Format)
	}
	return c, nil
}

// DecodeModel decodes the record of a model. It drops pairs of an earlier version,
// since their scale differs.
func DecodeModel(body []byte) (Model, error) {
	var m Model
	if err := cbor.Unmarshal(body, &m); err != nil {
		return Model{}, errors.Errorf("decode model record: %w", err)
	}
	if m.Format < 1 || m.Format > ModelFormat {
		return Model{}, errors.Errorf("decode model record: format %d, want 1 to %d", m.Format, ModelFormat)
	}
	if m.Format < ModelFormat {
		m.Pairs = nil
	}
	// One estimate that is not finite would spread to all pairs of its class.
	m.Pairs = slices.DeleteFunc(m.Pairs, func(p interference.Pair) bool { return !p.Finite() })
	return m, nil
}
