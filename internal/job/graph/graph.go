// Package graph has the job model: a job is a graph of steps, a step is a number
// of equal tasks, and a job with occurrences runs its graph several times.
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

// Occurrence counts the repetitions of a job's graph, from 0.
type Occurrence int

// RunNumber numbers the starts of one task. It rises, also across owners.
type RunNumber int64

// Priority orders queues; 0 is the most urgent and may preempt others.
type Priority int

// Queue is what the configuration says of a queue. A job keeps the queue's
// parameters of its submission, since the queue may be removed while it runs.
type Queue struct {
	ID          QueueID        `cbor:"1,keyasint"`
	Service     unit.ServiceID `cbor:"2,keyasint"` // whose workers run the tasks
	Priority    Priority       `cbor:"3,keyasint,omitempty"`
	MaxAttempts int            `cbor:"4,keyasint,omitempty"` // failed runs of a task, after which the job fails; 0: no limit
	Stretch     float64        `cbor:"5,keyasint,omitempty"` // factor of the longest chain of work within which a job should end
	Target      time.Duration  `cbor:"6,keyasint,omitempty"` // allowed beside the stretched chain
	Advice      *Advice        `cbor:"7,keyasint,omitempty"` // nil: tasks may run on any worker
}

// Advice is how the placement advice of a queue works: it alone knows which workers
// may run a step.
type Advice struct {
	AnswerTime     time.Duration `cbor:"1,keyasint,omitempty"` // of one answer
	TimePerWorker  time.Duration `cbor:"2,keyasint,omitempty"` // more for each worker named
	TicketValidity time.Duration `cbor:"3,keyasint,omitempty"` // of a ticket
}

// Step is a number of equal tasks.
type Step struct {
	Count          int            `cbor:"1,keyasint"`
	Needs          unit.Resources `cbor:"2,keyasint"`            // of one task
	Estimate       time.Duration  `cbor:"3,keyasint,omitempty"`  // rough duration of a task
	After          []StepIndex    `cbor:"4,keyasint,omitempty"`  // steps that must be done before
	Checkpoints    bool           `cbor:"5,keyasint,omitempty"`  // tasks save progress and can resume from it
	Gang           bool           `cbor:"6,keyasint,omitempty"`  // tasks work only while all of one run are present
	SameRack       bool           `cbor:"7,keyasint,omitempty"`  // slower when spread over racks
	Label          string         `cbor:"8,keyasint,omitempty"`  // that the worker must have
	Rack           unit.RackID    `cbor:"9,keyasint,omitempty"`  // of the data; slower elsewhere
	PerWorker      int            `cbor:"10,keyasint,omitempty"` // most tasks of the step on one worker; 0: no limit
	Speculative    bool           `cbor:"11,keyasint,omitempty"` // a task may run several times at once
	LongRunning    bool           `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string         `cbor:"13,keyasint,omitempty"` // tasks of one image behave alike
	TailTarget     time.Duration  `cbor:"14,keyasint,omitempty"` // of the response times of a lasting task
	BestEffort     bool           `cbor:"15,keyasint,omitempty"` // tasks use the cores that others leave
	MaxUnavailable int            `cbor:"16,keyasint,omitempty"` // lasting tasks that planned actions may keep away at a time
}

// Job is what a caller submitted.
type Job struct {
	ID       unit.JobID    `cbor:"1,keyasint"`
	Queue    Queue         `cbor:"2,keyasint"`
	Spec     string        `cbor:"3,keyasint,omitempty"` // opaque; passed on to the workers
	Steps    []Step        `cbor:"4,keyasint"`
	Times    int           `cbor:"5,keyasint,omitempty"` // occurrences; 0: the graph runs once, at once
	FirstDue time.Time     `cbor:"6,keyasint,omitempty"` // of occurrence 0
	Interval time.Duration `cbor:"7,keyasint,omitempty"` // between due times
	Accepted time.Time     `cbor:"8,keyasint,omitempty"` // when the submission arrived
}

// Task names one task of one occurrence.
type Task struct {
	Job        unit.JobID
	Occurrence Occurrence
	Step       StepIndex
	Index      unit.TaskIndex
}

// State is the state of a job as callers see it.
type State uint8

// States of a job. Completed, Failed and Cancelled are final.
const (
	Queued State = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{Queued: "queued", Running: "running", Completed: "completed", Failed: "failed", Cancelled: "cancelled"}

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
	MaxSteps = 256
	MaxTasks = 10_000 // of one step
	MaxTimes = 10_000
)

// Validate returns the first fault of a job.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Errorf("steps: have %d, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Times < 0 || j.Times > MaxTimes {
		return errors.Errorf("times: have %d, want 0 to %d", j.Times, MaxTimes)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(StepIndex(i)); err != nil {
			return errors.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) validate(self StepIndex) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("count: have %d, want 1 to %d", s.Count, MaxTasks)
	}
	if s.Needs.Cores < 0 || s.Needs.Memory < 0 || s.Needs.Accelerators < 0 {
		return errors.New("resources: negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= self {
			return errors.Errorf("after: step %d is not an earlier step", a)
		}
	}
	return nil
}

// Due returns when an occurrence may start.
func (j *Job) Due(k Occurrence) time.Time {
	if j.Times == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(k) * j.Interval)
}

// Occurrences returns how often the graph runs.
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
