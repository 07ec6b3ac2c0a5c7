package ledger

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Record is the durable record of a job. It is created on submission, and the owners
// of the shards in Parts change it by compare-and-swap.
type Record struct {
	Job       queue.Job `json:"job"`
	Cancelled bool      `json:"cancelled,omitempty"`
	// Standing marks a job of a standing class. Each of its parts is large enough
	// for the replicas of one shard; the target document sets how many of them run.
	Standing   bool        `json:"standing,omitempty"`
	Parts      []Part      `json:"parts"`
	MovedTasks []MovedTask `json:"carry,omitempty"`
}

// Part assigns a range of tasks to a shard.
type Part struct {
	Shard        unit.ShardID   `json:"shard"`
	First        unit.TaskIndex `json:"first"`
	Count        unit.TaskIndex `json:"count"`
	ParkedReason string         `json:"parked,omitempty"` // why the tasks of the part cannot run; empty if they can
	Outcome      *Outcome       `json:"end,omitempty"`    // set when all tasks of the part have ended
}

// Outcome counts the tasks of a part by final state.
type Outcome struct {
	Done      unit.TaskIndex `json:"done"`
	Failed    unit.TaskIndex `json:"failed,omitempty"`
	Cancelled unit.TaskIndex `json:"cancelled,omitempty"`
}

// MovedTask is the state of a moved task that its new shard needs.
type MovedTask struct {
	Index      unit.TaskIndex    `json:"index"`
	Attempt    unit.Attempt      `json:"attempt"`         // last attempt
	After      unit.Attempt      `json:"after,omitempty"` // attempt that wrote the checkpoint
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"`
	Hops       uint8             `json:"hops,omitempty"` // number of moves between shards
}

// RecordPrefix is the prefix of the store keys of job records.
const RecordPrefix store.Key = "job/"

// RecordKey returns the store key of a job's record.
func RecordKey(id unit.JobID) store.Key { return RecordPrefix + store.Key(id) }

// EncodeRecord returns the stored form of a job record.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Errorf("encode job record: %w", err)
	}
	return data, nil
}

// DecodeRecord parses the stored form of a job record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Errorf("decode job record: %w", err)
	}
	return r, nil
}

// Ended reports whether all tasks of the job have ended.
func (r Record) Ended() bool {
	return !slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Outcome == nil })
}

// Condensed returns the record of an ended job with its parts merged into one, which
// sums up their outcomes. The assignment to shards is dropped, since it has no use
// after the end of the job.
func (r Record) Condensed() Record {
	var total Outcome
	for _, p := range r.Parts {
		if p.Outcome != nil {
			total.Done += p.Outcome.Done
			total.Failed += p.Outcome.Failed
			total.Cancelled += p.Outcome.Cancelled
		}
	}
	r.Parts, r.MovedTasks = []Part{{Count: r.Job.Tasks, Outcome: &total}}, nil
	return r
}

// ActiveParts returns the parts of a shard that have not ended.
func (r Record) ActiveParts(shard unit.ShardID) []Part {
	var parts []Part
	for _, p := range r.Parts {
		if p.Shard == shard && p.Outcome == nil {
			parts = append(parts, p)
		}
	}
	return parts
}

// MovedTask returns the state of task i if it was moved.
func (r Record) MovedTask(i unit.TaskIndex) (MovedTask, bool) {
	n, found := slices.BinarySearchFunc(r.MovedTasks, i, func(m MovedTask, i unit.TaskIndex) int {
		return int(m.Index) - int(i)
	})
	if !found {
		return MovedTask{}, false
	}
	return r.MovedTasks[n], true
}

// Has reports whether the part contains task i.
func (p Part) Has(i unit.TaskIndex) bool { return i >= p.First && i-p.First < p.Count }

// Move returns the record with the tasks assigned to another shard. It skips tasks
// that are not assigned to from, so a repeated move has no further effect.
func (r Record) Move(from, to unit.ShardID, tasks []MovedTask) Record {
	r.Parts, r.MovedTasks = slices.Clone(r.Parts), slices.Clone(r.MovedTasks)
	for _, t := range tasks {
		n := slices.IndexFunc(r.Parts, func(p Part) bool {
			return p.Shard == from && p.Outcome == nil && p.Has(t.Index)
		})
		if n < 0 {
			continue
		}
		r.unassign(n, t.Index)
		r.assign(to, t.Index)
		r.setMovedTask(t)
	}
	return r
}

// unassign splits part n so that it no longer contains task i.
func (r *Record) unassign(n int, i unit.TaskIndex) {
	p := r.Parts[n]
	before, after := p, p
	before.Count = i - p.First
	after.First, after.Count = i+1, p.First+p.Count-i-1
	var remaining []Part
	for _, q := range []Part{before, after} {
		if q.Count > 0 {
			remaining = append(remaining, q)
		}
	}
	r.Parts = slices.Replace(r.Parts, n, n+1, remaining...)
}

// assign adds task i to a part of the shard, or to a new part.
func (r *Record) assign(to unit.ShardID, i unit.TaskIndex) {
	for n := range r.Parts {
		p := &r.Parts[n]
		if p.Shard == to && p.Outcome == nil && p.First+p.Count == i {
			p.Count++
			return
		}
	}
	r.Parts = append(r.Parts, Part{Shard: to, First: i, Count: 1})
}

// setMovedTask adds or replaces the state of a moved task.
func (r *Record) setMovedTask(t MovedTask) {
	n, found := slices.BinarySearchFunc(r.MovedTasks, t.Index, func(m MovedTask, i unit.TaskIndex) int {
		return int(m.Index) - int(i)
	})
	if found {
		r.MovedTasks[n] = t
	} else {
		r.MovedTasks = slices.Insert(r.MovedTasks, n, t)
	}
}
