// Package ledger has the durable records of job handling: the ledger of a shard,
// which says where each attempt was placed, and the record of a job, which
// assigns its tasks to shards.
package ledger

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// MaxSize bounds the encoded form. The store takes values up to 1 MB; the rest is
// room for entries that end between two checks of the size.
const MaxSize = 1_000_000

// Bounds of a decoded ledger; they keep a damaged value from taking memory
// without limit.
const (
	maxItems = 1 << 17
	version  = 1
)

// Errors of the codec.
var (
	ErrTooLarge = errors.New("ledger exceeds its size limit")
	ErrVersion  = errors.New("unknown version of the ledger")
	ErrInvalid  = errors.New("invalid ledger")
)

// Ledger is the durable state of one shard: every task that is neither untouched
// nor finished, and which tasks are finished, of each job that is not yet ended.
type Ledger struct {
	Epoch unit.Epoch
	// Write numbers the writes of one epoch, so that the owner recognizes its
	// own write when the answer was lost.
	Write uint64
	Jobs  []Job
}

// Job is what a shard has to remember of one job.
type Job struct {
	ID       unit.JobID
	Finished TaskSet // tasks that need no further attempt
	Failed   uint32  // those of Finished that failed for good
	Tasks    []Task
}

// State is the state of a task in the ledger.
type State uint8

// States. A task without an entry is untouched or finished.
const (
	// StateWaiting: the last attempt is over, and the next one is not placed.
	StateWaiting State = iota + 1
	// StatePlaced: the attempt may run on the worker.
	StatePlaced
	// StateMoving: all attempts are over, and the job record is about to assign
	// the task to another shard. Only the change of the job record ends the
	// state, so a successor repeats a move whose answer was lost.
	StateMoving
)

// Task is the entry of one task.
type Task struct {
	Index   unit.TaskIndex
	State   State
	Attempt unit.Attempt    // the last one
	Worker  unit.InstanceID // StatePlaced only
	// Checkpoint is where the attempt resumes, or, unless it is placed, the next
	// one; After is the attempt that wrote it.
	After      unit.Attempt
	Checkpoint unit.CheckpointID
	// FailedOn has the distinct workers on which attempts failed.
	FailedOn []unit.InstanceID
	Hops     uint8 // moves between shards
}

// Key returns the store key of a shard's ledger.
func Key(id unit.ShardID) store.Key { return store.Key("ledger/" + id.String()) }

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxItems,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode returns the stored form.
func Encode(b Ledger) ([]byte, error) {
	data, err := cbor.Marshal(toWire(b))
	if err != nil {
		return nil, errors.Errorf("encode ledger: %w", err)
	}
	if len(data) > MaxSize {
		return nil, errors.Errorf("encode ledger of %d bytes: %w", len(data), ErrTooLarge)
	}
	return data, nil
}

// Decode parses and checks the stored form. A later version is an error, since
// an older program could drop entries that it does not know.
func Decode(data []byte) (Ledger, error) {
	var head struct {
		Version uint8 `cbor:"1,keyasint"`
	}
	if err := decoding.Unmarshal(data, &head); err != nil {
		return Ledger{}, errors.Errorf("decode ledger: %v: %w", err, ErrInvalid)
	}
	if head.Version != version {
		return Ledger{}, errors.Errorf("decode ledger of version %d: %w", head.Version, ErrVersion)
	}
	var w wireLedger
	if err := decoding.Unmarshal(data, &w); err != nil {
		return Ledger{}, errors.Errorf("decode ledger: %v: %w", err, ErrInvalid)
	}
	b, err := w.ledger()
	if err == nil {
		err = b.validate()
	}
	if err != nil {
		return Ledger{}, errors.Errorf("decode ledger: %w", err)
	}
	return b, nil
}

// validate reports the first entry that no owner writes.
func (b Ledger) validate() error {
	jobs := map[unit.JobID]bool{}
	for _, j := range b.Jobs {
		if j.ID == "" || jobs[j.ID] {
			return errors.Errorf("job %q empty or twice: %w", j.ID, ErrInvalid)
		}
		jobs[j.ID] = true
		tasks := map[unit.TaskIndex]bool{}
		for _, t := range j.Tasks {
			placed := t.State == StatePlaced
			switch {
			case t.State < StateWaiting || t.State > StateMoving,
				placed != (t.Worker != ""), placed && t.Attempt == 0,
				t.After > t.Attempt, placed && t.After == t.Attempt,
				tasks[t.Index], j.Finished.Has(t.Index):
				return errors.Errorf("task %s/%d: %w", j.ID, t.Index, ErrInvalid)
			}
			tasks[t.Index] = true
		}
	}
	return nil
}

// TaskSet is a set of task indices, one bit each.
type TaskSet []byte

// Has reports whether the set contains i.
func (s TaskSet) Has(i unit.TaskIndex) bool {
	return int(i/8) < len(s) && s[i/8]&(1<<(i%8)) != 0
}

// Add returns the set with i.
func (s TaskSet) Add(i unit.TaskIndex) TaskSet {
	if need := int(i/8) + 1; need > len(s) {
		s = append(s, bytes.Repeat([]byte{0}, need-len(s))...)
	}
	s[i/8] |= 1 << (i % 8)
	return s
}

// Remove returns the set without i.
func (s TaskSet) Remove(i unit.TaskIndex) TaskSet {
	if s.Has(i) {
		s[i/8] &^= 1 << (i % 8)
	}
	return s
}
