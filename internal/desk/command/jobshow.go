package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newJobShow builds the command that shows one job with its parts.
func newJobShow() action {
	sub := newSubcommand("show", "show one job and where its tasks are", "monsoonfold job show takeoff-17")
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
		r, err := dialed.Job(ctx, unit.JobID(id))
		if err != nil {
			return called(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, r)
		}
		if err := printTable(s.Out, jobHeader, []string{jobRow(r)}); err != nil {
			return err
		}
		var rows []string
		for _, p := range r.Parts {
			state := "active"
			switch {
			case p.End != nil:
				state = "ended"
			case p.Parked != "":
				state = "parked: " + p.Parked
			}
			rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%s", p.Shard, p.First, p.Count, state))
		}
		return printTable(s.Out, "SHARD\tFIRST\tTASKS\tSTATE", rows)
	}}
}
