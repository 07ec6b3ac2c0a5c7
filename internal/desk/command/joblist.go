package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// newJobList builds the command that lists the jobs.
func newJobList() command {
	sub := newSubcommand("list", "list jobs", "monsoonfold job list")
	return newQuery(sub, func(ctx context.Context, c *client.Client) ([]ledger.Record, error) {
		return c.Jobs(ctx)
	}, func(s Streams, records []ledger.Record) error {
		var rows []string
		for _, r := range records {
			rows = append(rows, jobRow(r))
		}
		return printTable(s.Out, jobHeader, rows)
	})
}

const jobHeader = "JOB\tCLASS\tTEAM\tTASKS\tDONE\tFAILED\tCANCELLED\tSTATE"

func jobRow(r ledger.Record) string {
	var done, failed, cancelled uint32
	for _, p := range r.Parts {
		if p.Outcome != nil {
			done += uint32(p.Outcome.Done)
			failed += uint32(p.Outcome.Failed)
			cancelled += uint32(p.Outcome.Cancelled)
		}
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s",
		r.Job.ID, r.Job.Class, r.Job.Team, r.Job.Tasks, done, failed, cancelled, jobState(r))
}

// jobState returns the state of a job, with the reason if it is parked.
func jobState(r ledger.Record) string {
	if r.Ended() {
		return "ended"
	}
	if r.Cancelled {
		return "cancelling"
	}
	for _, p := range r.Parts {
		if p.ParkedReason != "" {
			return "parked: " + p.ParkedReason
		}
	}
	return "active"
}
