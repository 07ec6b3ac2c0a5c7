// Package ledger defines the durable records of the scheduler: the ledger of a
// shard, which stores the worker on which each attempt was placed, and the record
// of a job, which assigns the tasks of the job to shards.
package ledger

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// MaxSize is the maximum size of an encoded ledger in bytes. The store accepts
// values up to 1 MB; the difference is a reserve for the tasks whose attempts end
// between two checks of the size.
const MaxSize = 1_000_000

const (
	// maxItems is the maximum length of an array in a decoded ledger, so that a
	// corrupt value cannot allocate memory without limit.
	maxItems = 1 << 17
	// version is the version of the encoding.
	version = 1
)

// Errors of Encode and Decode.
var (
	ErrTooLarge = errors.New("ledger exceeds its size limit")
	ErrVersion  = errors.New("unknown version of the ledger")
	ErrInvalid  = errors.New("invalid ledger")
)

// Ledger is the durable state of one shard. For each job that has not ended it
// holds every task that has a State and the set of finished tasks.
type Ledger struct {
	Epoch unit.Epoch
	// Write is the sequence number of this write within the epoch. It lets the
	// owner recognize its own write if the response was lost.
	Write uint64
	Jobs  []Job
}

// Job is the durable state of one job in one shard.
type Job struct {
	ID       unit.JobID
	Finished TaskSet // tasks that need no further attempt
	Failed   uint32  // number of tasks in Finished that failed permanently
	Tasks    []Task
}

// State is the state of a task in the ledger.
type State uint8

// States of a task. A task that is not in the ledger is finished, or it has neither
// been placed nor selected for a move.
const (
	// StateWaiting means that the last attempt has ended and the next one is not
	// placed.
	StateWaiting State = iota + 1
	// StatePlaced means that the attempt may be running on the worker.
	StatePlaced
	// StateMoving means that all attempts have ended and the task is to be
	// assigned to another shard in the job record. Only the change of the job
	// record ends this state, so the next owner repeats a move whose response was
	// lost.
	StateMoving
)

// Task is the durable state of one task.
type Task struct {
	Index   unit.TaskIndex
	State   State
	Attempt unit.Attempt    // last attempt
	Worker  unit.InstanceID // set only in StatePlaced
	// Checkpoint is the checkpoint from which the attempt resumes if the task is
	// placed, and the next attempt otherwise. After is the attempt that wrote it.
	After      unit.Attempt
	Checkpoint unit.CheckpointID
	// FailedOn lists the distinct workers on which attempts failed.
	FailedOn []unit.InstanceID
	Hops     uint8 // number of moves between shards
}

// Key returns the store key of a shard's ledger.
func Key(id unit.ShardID) store.Key { return store.Key("ledger/" + id.String()) }

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxItems,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // unreachable, since the options are constants
	}
	return mode
}()

// Encode returns the stored form of a ledger.
func Encode(l Ledger) ([]byte, error) {
	data, err := cbor.Marshal(toWire(l))
	if err != nil {
		return nil, errors.Errorf("encode ledger: %w", err)
	}
	if len(data) > MaxSize {
		return nil, errors.Errorf("encode ledger of %d bytes: %w", len(data), ErrTooLarge)
	}
	return data, nil
}

// Decode parses and validates the stored form of a ledger. A different version is
// an error, since an older program could drop fields that it does not know.
func Decode(data []byte) (Ledger, error) {
	var header struct {
		Version uint8 `cbor:"1,keyasint"`
	}
	if err := decMode.Unmarshal(data, &header); err != nil {
		return Ledger{}, errors.Errorf("decode ledger: %v: %w", err, ErrInvalid)
	}
	if header.Version != version {
		return Ledger{}, errors.Errorf("decode ledger of version %d: %w", header.Version, ErrVersion)
	}
	var w wireLedger
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Ledger{}, errors.Errorf("decode ledger: %v: %w", err, ErrInvalid)
	}
	l, err := w.ledger()
	if err == nil {
		err = l.validate()
	}
	if err != nil {
		return Ledger{}, errors.Errorf("decode ledger: %w", err)
	}
	return l, nil
}

// validate returns an error if the ledger holds a job or a task that no owner
// writes.
func (l Ledger) validate() error {
	seenJobs := map[unit.JobID]bool{}
	for _, j := range l.Jobs {
		if j.ID == "" || seenJobs[j.ID] {
			return errors.Errorf("job %q empty or twice: %w", j.ID, ErrInvalid)
		}
		seenJobs[j.ID] = true
		seenTasks := map[unit.TaskIndex]bool{}
		for _, t := range j.Tasks {
			placed := t.State == StatePlaced
			switch {
			case t.State < StateWaiting || t.State > StateMoving,
				placed != (t.Worker != ""), placed && t.Attempt == 0,
				t.After > t.Attempt, placed && t.After == t.Attempt,
				seenTasks[t.Index], j.Finished.Has(t.Index):
				return errors.Errorf("task %s/%d: %w", j.ID, t.Index, ErrInvalid)
			}
			seenTasks[t.Index] = true
		}
	}
	return nil
}

// TaskSet is a bitmap of task indices.
type TaskSet []byte

// Has reports whether the set contains i.
func (s TaskSet) Has(i unit.TaskIndex) bool {
	return int(i/8) < len(s) && s[i/8]&(1<<(i%8)) != 0
}

// Add returns the set with i added. It may change s.
func (s TaskSet) Add(i unit.TaskIndex) TaskSet {
	if length := int(i/8) + 1; length > len(s) {
		s = append(s, bytes.Repeat([]byte{0}, length-len(s))...)
	}
	s[i/8] |= 1 << (i % 8)
	return s
}

// Remove returns the set without i. It may change s.
func (s TaskSet) Remove(i unit.TaskIndex) TaskSet {
	if s.Has(i) {
		s[i/8] &^= 1 << (i % 8)
	}
	return s
}
