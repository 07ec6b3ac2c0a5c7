// Package queue is the pure part of job handling: jobs, their tasks and
// attempts, and the order in which pending tasks are placed.
package queue

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Job is what an operator submits. All its tasks are alike.
type Job struct {
	ID      unit.JobID     `json:"id"`
	Class   unit.ClassID   `json:"class"`
	Team    unit.TeamID    `json:"team"`
	Tasks   unit.TaskIndex `json:"tasks"`             // number of tasks, from 1
	Size    unit.Resources `json:"size"`              // declared, of one task
	Work    unit.Duration  `json:"work"`              // declared run time of one task; 0 runs until stopped
	Payload string         `json:"payload,omitempty"` // opaque to the system
	Author  unit.Operator  `json:"author"`
	Time    int64          `json:"time"` // Unix milliseconds of the submission
}
