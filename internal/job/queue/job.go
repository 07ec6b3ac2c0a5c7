// Package queue holds the jobs of a shard with their pending tasks and decides the
// order in which these are placed. It does no I/O; the time is an argument.
package queue

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Job is a job as submitted by an operator. All its tasks have the same size,
// declared run time and payload.
type Job struct {
	ID      unit.JobID     `json:"id"`
	Class   unit.ClassID   `json:"class"`
	Team    unit.TeamID    `json:"team"`
	Tasks   unit.TaskIndex `json:"tasks"`             // number of tasks, at least 1
	Size    unit.Resources `json:"size"`              // declared size of one task
	Work    unit.Duration  `json:"work"`              // declared run time of one task; 0 means until stopped
	Payload string         `json:"payload,omitempty"` // opaque to the system
	Author  unit.Operator  `json:"author"`
	Time    int64          `json:"time"` // of the submission, in Unix milliseconds
}
