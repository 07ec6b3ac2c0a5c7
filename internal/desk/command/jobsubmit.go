package command

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
)

// newJobSubmit builds the command that submits a job.
func newJobSubmit() command {
	sub := newSubcommand("submit", "submit a job of a batch or standing class", "monsoonfold job submit --class takeoff --tasks 20 --cores 2 --memory 4096 --work 90s")
	var c clientFlags
	var id, class, team, payload string
	var work time.Duration
	tasks, memory, accelerators := 1, 512, 0
	cores := 1.0
	c.register(sub)
	sub.String(&id, "", "id", "job id; the same id never makes two jobs; default a new one")
	sub.String(&class, "c", "class", "class of work")
	sub.String(&team, "", "team", "team whose quota the job counts against; default that of the class")
	sub.Int(&tasks, "n", "tasks", "number of tasks")
	sub.Float64(&cores, "", "cores", "cores of one task")
	sub.Int(&memory, "", "memory", "MiB of one task")
	sub.Int(&accelerators, "", "accelerators", "accelerators of one task")
	sub.Duration(&work, "", "work", "expected run time of one task; 0 runs until stopped")
	sub.String(&payload, "", "payload", "text for the tasks")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		if class == "" || tasks < 1 {
			return usageError("job submit: name the class with --class, and at least one task")
		}
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		j, err := apiClient.Submit(ctx, queue.Job{
			ID: unit.JobID(id), Class: unit.ClassID(class), Team: unit.TeamID(team), Tasks: unit.TaskIndex(tasks),
			Size: unit.Resources{
				Cores:        unit.Millicores(cores * 1000),
				Memory:       unit.Bytes(memory) << 20,
				Accelerators: unit.Accelerators(accelerators),
			},
			Work: unit.Duration(work), Payload: payload,
		})
		if err != nil {
			return callError(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, j)
		}
		fmt.Fprintln(s.Out, j.ID)
		return nil
	}}
}
