package ledger

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Record is the durable record of a job. Submitters create it, and the owners of
// the shards in Parts change it by compare-and-swap.
type Record struct {
	Job       queue.Job `json:"job"`
	Cancelled bool      `json:"cancelled,omitempty"`
	// Standing says that each part has room for the replicas of one shard, of
	// which the target document says how many run.
	Standing   bool        `json:"standing,omitempty"`
	Parts      []Part      `json:"parts"`
	MovedTasks []MovedTask `json:"carry,omitempty"`
}

// Part assigns a range of tasks to a shard.
type Part struct {
	Shard        unit.ShardID   `json:"shard"`
	First        unit.TaskIndex `json:"first"`
	Count        unit.TaskIndex `json:"count"`
	ParkedReason string         `json:"parked,omitempty"` // why its tasks cannot run
	Outcome      *Outcome       `json:"end,omitempty"`    // all its tasks are over
}

// Outcome counts the tasks of a part by how they ended.
type Outcome struct {
	Done      unit.TaskIndex `json:"done"`
	Failed    unit.TaskIndex `json:"failed,omitempty"`
	Cancelled unit.TaskIndex `json:"cancelled,omitempty"`
}

// MovedTask is what the next shard must know of a task that was moved.
type MovedTask struct {
	Index      unit.TaskIndex    `json:"index"`
	Attempt    unit.Attempt      `json:"attempt"`         // the last one
	After      unit.Attempt      `json:"after,omitempty"` // that wrote the checkpoint
	Checkpoint unit.CheckpointID `json:"checkpoint,omitempty"`
	Hops       uint8             `json:"hops,omitempty"`
}

// RecordPrefix is the prefix of the store keys of job records.
const RecordPrefix store.Key = "job/"

// RecordKey returns the store key of a job's record.
func RecordKey(id unit.JobID) store.Key { return RecordPrefix + store.Key(id) }

// EncodeRecord returns the stored form.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Errorf("encode job record: %w", err)
	}
	return data, nil
}

// DecodeRecord parses the stored form.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Errorf("decode job record: %w", err)
	}
	return r, nil
}

// Ended reports whether all tasks are over.
func (r Record) Ended() bool {
	return !slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Outcome == nil })
}

// Condensed returns the record of an ended job with one part that has the outcome
// of all. The shards of the parts are of no use any more.
func (r Record) Condensed() Record {
	var all Outcome
	for _, p := range r.Parts {
		if p.Outcome != nil {
			all.Done += p.Outcome.Done
			all.Failed += p.Outcome.Failed
			all.Cancelled += p.Outcome.Cancelled
		}
	}
	r.Parts, r.MovedTasks = []Part{{Count: r.Job.Tasks, Outcome: &all}}, nil
	return r
}

// ActiveParts returns the parts of a shard that are not ended.
func (r Record) ActiveParts(shard unit.ShardID) []Part {
	var parts []Part
	for _, p := range r.Parts {
		if p.Shard == shard && p.Outcome == nil {
			parts = append(parts, p)
		}
	}
	return parts
}

// MovedTask returns what is known of a task that was moved.
func (r Record) MovedTask(i unit.TaskIndex) (MovedTask, bool) {
	n, found := slices.BinarySearchFunc(r.MovedTasks, i, func(c MovedTask, i unit.TaskIndex) int {
		return int(c.Index) - int(i)
	})
	if !found {
		return MovedTask{}, false
	}
	return r.MovedTasks[n], true
}

// Has reports whether the part contains task i.
func (p Part) Has(i unit.TaskIndex) bool { return i >= p.First && i-p.First < p.Count }

// Move returns the record with the tasks assigned to another shard. Tasks that
// are not assigned to from are left as they are, so a repeated move has no
// further effect.
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

// unassign splits part n so that it no longer has task i.
func (r *Record) unassign(n int, i unit.TaskIndex) {
	p := r.Parts[n]
	before, after := p, p
	before.Count = i - p.First
	after.First, after.Count = i+1, p.First+p.Count-i-1
	var rest []Part
	for _, q := range []Part{before, after} {
		if q.Count > 0 {
			rest = append(rest, q)
		}
	}
	r.Parts = slices.Replace(r.Parts, n, n+1, rest...)
}

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

func (r *Record) setMovedTask(c MovedTask) {
	n, found := slices.BinarySearchFunc(r.MovedTasks, c.Index, func(a MovedTask, i unit.TaskIndex) int {
		return int(a.Index) - int(i)
	})
	if found {
		r.MovedTasks[n] = c
	} else {
		r.MovedTasks = slices.Insert(r.MovedTasks, n, c)
	}
}
