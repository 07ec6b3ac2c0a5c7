package demo

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/standin/caller"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

// startGrace is how long tasks may still start in a zone after it was taken out.
const startGrace = 5 * time.Second

// report writes the outcomes that callers received and the runs that workers
// recorded, and returns an error if an invariant was violated.
func (s *demoRun) report() error {
	audits := s.fleet.audits()
	fmt.Fprintln(s.out, "\nRequests, as the callers saw them")
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTE\tDONE\tNOT RUN\tUNKNOWN\tOTHER\tP50\tP99")
	for _, k := range s.load.Kinds {
		done, notRun, unknown := k.Outcomes[caller.OutcomeDone], k.Outcomes[caller.OutcomeNotRun], k.Outcomes[caller.OutcomeUnknown]
		other := -done - notRun - unknown
		for _, n := range k.Outcomes {
			other += n
		}
		fmt.Fprintf(t, "%s %s\t%d\t%d\t%d\t%d\t%s\t%s\n", k.Method, k.Path, done, notRun, unknown, other,
			round(k.Latency.P50.Std()), round(k.Latency.P99.Std()))
	}
	if err := t.Flush(); err != nil {
		return errors.Errorf("write report: %w", err)
	}
	fmt.Fprintln(s.out, "\nTasks, as the workers recorded them")
	t = tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKER\tSTARTED\tDONE\tCHECKPOINTED\tMOST CORES\tOF")
	for _, a := range audits {
		done, checkpointed := count(a)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\n", a.Worker, len(a.Runs), done, checkpointed,
			float64(a.Committed.Cores)/1000, float64(a.Capacity.Cores)/1000)
	}
	if err := t.Flush(); err != nil {
		return errors.Errorf("write report: %w", err)
	}
	fmt.Fprintln(s.out, "\nJobs")
	for _, line := range s.lastJobs {
		fmt.Fprintln(s.out, line)
	}
	late := s.lateStarts(audits)
	fmt.Fprintf(s.out, "\nStarts in %s later than %s after it was taken out: %d\n", cycledZone, startGrace, late)
	if err := s.check(audits, late); err != nil {
		return err
	}
	fmt.Fprintln(s.out, "No worker overcommitted, no task in two places, no cut-list run twice, no wrong response.")
	return nil
}

// check returns an error for every violated invariant.
func (s *demoRun) check(audits []worker.Audit, late int) error {
	faults := []error{worker.CheckAudits(audits, s.load.NotRun)}
	if len(s.load.Wrong) > 0 {
		faults = append(faults, errors.Errorf("%d callers got a wrong response", len(s.load.Wrong)))
	}
	if late > 0 {
		faults = append(faults, errors.Errorf("%d tasks started in %s while it was out of service", late, cycledZone))
	}
	return errors.Join(faults...)
}

// lateStarts counts starts in the zone between the end of the grace period and
// the request to return the zone.
func (s *demoRun) lateStarts(audits []worker.Audit) int {
	late := 0
	for i, a := range audits {
		if s.fleet.workers[i].Instance().Zone != cycledZone {
			continue
		}
		for _, r := range a.Runs {
			if r.Start.After(s.outAt.Add(startGrace)) && r.Start.Before(s.inAt) {
				late++
			}
		}
	}
	return late
}

func count(a worker.Audit) (done, checkpointed int) {
	for _, r := range a.Runs {
		switch r.Phase {
		case protocol.PhaseDone:
			done++
		case protocol.PhaseCheckpointed:
			checkpointed++
		}
	}
	return done, checkpointed
}

// parkedReason returns the reason of the first parked part of a job, or "".
func parkedReason(parts []ledger.Part) string {
	for _, p := range parts {
		if p.ParkedReason != "" {
			return p.ParkedReason
		}
	}
	return ""
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
