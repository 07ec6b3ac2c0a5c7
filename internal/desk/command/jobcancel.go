package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newJobCancel builds the command that cancels a job.
func newJobCancel() command {
	sub := newSubcommand("cancel", "cancel a job; its running tasks are stopped", "monsoonfold job cancel takeoff-17")
	var c clientFlags
	var id string
	c.register(sub)
	sub.AddPositionalValue(&id, "id", 1, true, "job id")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		if err := apiClient.Cancel(ctx, unit.JobID(id)); err != nil {
			return callError(err)
		}
		fmt.Fprintln(s.Out, id)
		return nil
	}}
}
