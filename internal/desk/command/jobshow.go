package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// newJobShow builds the command that shows one job with its parts.
func newJobShow() command {
	sub := newSubcommand("show", "show one job and where its tasks are", "monsoonfold job show takeoff-17")
	var id string
	sub.AddPositionalValue(&id, "id", 1, true, "job id")
	return newQuery(sub, func(ctx context.Context, c *client.Client) (ledger.Record, error) {
		return c.Job(ctx, unit.JobID(id))
	}, func(s Streams, r ledger.Record) error {
		if err := printTable(s.Out, jobHeader, []string{jobRow(r)}); err != nil {
			return err
		}
		if r.Ended() {
			return nil // the archive keeps one outcome for all parts together
		}
		var rows []string
		for _, p := range r.Parts {
			state := "active"
			switch {
			case p.Outcome != nil:
				state = "ended"
			case p.ParkedReason != "":
				state = "parked: " + p.ParkedReason
			}
			rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%s", p.Shard, p.First, p.Count, state))
		}
		return printTable(s.Out, "SHARD\tFIRST\tTASKS\tSTATE", rows)
	})
}
