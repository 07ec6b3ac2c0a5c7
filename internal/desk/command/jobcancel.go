package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newJobCancel builds the command that cancels a job.
func newJobCancel() action {
	sub := newSubcommand("cancel", "cancel a job; its running tasks are stopped", "monsoonfold job cancel takeoff-17")
	var c connection
	var id string
	c.attach(sub)
	sub.AddPositionalValue(&id, "id", 1, true, "job id")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		if err := dialed.Cancel(ctx, unit.JobID(id)); err != nil {
			return called(err)
		}
		fmt.Fprintln(s.Out, id)
		return nil
	}}
}
