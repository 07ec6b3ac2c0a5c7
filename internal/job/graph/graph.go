// Package graph defines the job model. A job is a graph of steps, and a step is a
// number of identical tasks. A job with occurrences runs its graph several times.
package graph

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// QueueID names a queue of jobs.
type QueueID string

// StepIndex is the position of a step within its job, from 0.
type StepIndex int

// Occurrence is the number of one repetition of a job's graph, from 0.
type Occurrence int

// RunNumber is the number of one start of a task. It increases with each start, also
// across changes of the owner.
type RunNumber int64

// Priority is the priority of a queue. 0 is the most urgent and may preempt others.
type Priority int

// Queue holds the configured parameters of a queue. A job keeps a copy from its
// submission, since the queue may be removed while the job runs.
type Queue struct {
	ID          QueueID        `cbor:"1,keyasint"`
	Service     unit.ServiceID `cbor:"2,keyasint"` // service whose workers run the tasks
	Priority    Priority       `cbor:"3,keyasint,omitempty"`
	MaxAttempts int            `cbor:"4,keyasint,omitempty"` // number of failed runs of a task after which the job fails; 0 for no limit
	Stretch     float64        `cbor:"5,keyasint,omitempty"` // target duration of a job as a multiple of its longest chain of steps
	Target      time.Duration  `cbor:"6,keyasint,omitempty"` // time that a job may take beyond that multiple
	Advice      *Advice        `cbor:"7,keyasint,omitempty"` // nil if tasks may run on any worker
}

// Advice holds the parameters of a queue's placement advice, an outside service that
// decides which workers may run a step.
type Advice struct {
	AnswerTime     time.Duration `cbor:"1,keyasint,omitempty"` // time that an answer takes
	TimePerWorker  time.Duration `cbor:"2,keyasint,omitempty"` // additional time for each worker in the request
	TicketValidity time.Duration `cbor:"3,keyasint,omitempty"` // time for which a ticket is valid
}

// Step is a number of identical tasks.
type Step struct {
	Count          int            `cbor:"1,keyasint"`
	Needs          unit.Resources `cbor:"2,keyasint"`            // resources of one task
	Estimate       time.Duration  `cbor:"3,keyasint,omitempty"`  // declared duration of a task
	After          []StepIndex    `cbor:"4,keyasint,omitempty"`  // steps that must be completed first
	Checkpoints    bool           `cbor:"5,keyasint,omitempty"`  // tasks save checkpoints and can resume from them
	Gang           bool           `cbor:"6,keyasint,omitempty"`  // tasks make progress only while all of them run
	SameRack       bool           `cbor:"7,keyasint,omitempty"`  // tasks are slower when spread over several racks
	Label          string         `cbor:"8,keyasint,omitempty"`  // label that the worker must have
	Rack           unit.RackID    `cbor:"9,keyasint,omitempty"`  // rack of the data; tasks are slower on others
	PerWorker      int            `cbor:"10,keyasint,omitempty"` // maximum number of the step's tasks on one worker; 0 for no limit
	Speculative    bool           `cbor:"11,keyasint,omitempty"` // a task may have several runs at the same time
	LongRunning    bool           `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string         `cbor:"13,keyasint,omitempty"` // tasks of one image behave alike
	TailTarget     time.Duration  `cbor:"14,keyasint,omitempty"` // target of the tail latency of a long-running task
	BestEffort     bool           `cbor:"15,keyasint,omitempty"` // tasks use the cores that other tasks leave idle
	MaxUnavailable int            `cbor:"16,keyasint,omitempty"` // maximum number of long-running tasks that planned actions may stop at the same time
}

// Job is a job as a caller submitted it.
type Job struct {
	ID       unit.JobID    `cbor:"1,keyasint"`
	Queue    Queue         `cbor:"2,keyasint"`
	Spec     string        `cbor:"3,keyasint,omitempty"` // opaque to the scheduler; passed on to the workers
	Steps    []Step        `cbor:"4,keyasint"`
	Times    int           `cbor:"5,keyasint,omitempty"` // number of occurrences; 0 runs the graph once, without delay
	FirstDue time.Time     `cbor:"6,keyasint,omitempty"` // due time of occurrence 0
	Interval time.Duration `cbor:"7,keyasint,omitempty"` // interval between due times
	Accepted time.Time     `cbor:"8,keyasint,omitempty"` // time when the submission arrived
	// Organisation is the owner of the job, or empty for a job of a public route.
	Organisation unit.OrganisationID `cbor:"9,keyasint,omitempty"`
}

// Memory that a job and each of its steps take beside their texts and lists.
const (
	jobMemory  unit.Bytes = 1 << 10
	stepMemory unit.Bytes = 256
	indexSize  unit.Bytes = 8
)

// Memory returns the memory that a job takes, without the state of its tasks.
func (j *Job) Memory() unit.Bytes {
	return jobMemory + stepMemory*unit.Bytes(len(j.Steps)) + j.TextSize()
}

// TextSize returns the bytes of the texts and lists that a caller has chosen, by far the largest
// part of a large job.
func (j *Job) TextSize() unit.Bytes {
	n := unit.Bytes(len(j.Spec))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += indexSize*unit.Bytes(len(s.After)) + unit.Bytes(len(s.Label)+len(s.Rack)+len(s.Image))
	}
	return n
}

// Task identifies one task of one occurrence.
type Task struct {
	Job        unit.JobID
	Occurrence Occurrence
	Step       StepIndex
	Index      unit.TaskIndex
}

// State is the state of a job that callers see.
type State uint8

// States of a job. Completed and those after it are final.
const (
	Queued State = iota + 1
	Running
	Completed
	Failed
	Cancelled
	Withdrawn // cancelled before a submission was stored; callers see no such job
)

var stateNames = [...]string{Queued: "queued", Running: "running", Completed: "completed", Failed: "failed", Cancelled: "cancelled", Withdrawn: "withdrawn"}

// String returns the name of the state.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Final reports whether the state cannot change any more.
func (s State) Final() bool { return s >= Completed }

// Limits of a job, so that one submission cannot exhaust an entry's memory.
const (
	MaxSteps    = 256
	MaxTasks    = 10_000 // per step
	MaxJobTasks = 20_000 // per occurrence
	MaxTimes    = 10_000
)

// Validate returns an error that describes the first invalid field of a job.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Errorf("steps: have %d, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Times < 0 || j.Times > MaxTimes {
		return errors.Errorf("times: have %d, want 0 to %d", j.Times, MaxTimes)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(StepIndex(i)); err != nil {
			return errors.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Count
	}
	if total > MaxJobTasks {
		return errors.Errorf("steps: have %d tasks, want at most %d", total, MaxJobTasks)
	}
	return nil
}

// validate returns an error that describes the first invalid field of the step at an
// index.
func (s *Step) validate(index StepIndex) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("count: have %d, want 1 to %d", s.Count, MaxTasks)
	}
	if s.Needs.Cores < 0 || s.Needs.Memory < 0 || s.Needs.Accelerators < 0 {
		return errors.New("resources: negative")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errors.Errorf("after: step %d is not an earlier step", dependency)
		}
	}
	return nil
}

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence Occurrence) time.Time {
	if j.Times == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// Occurrences returns the number of times that the graph runs.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// HasLongRunning reports whether the job has tasks that run until it is cancelled.
func (j *Job) HasLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
