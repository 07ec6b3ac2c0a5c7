package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// explainer tells why a job waits while this entry owns the shard.
type explainer interface {
	Explain(ctx context.Context, id unit.JobID) (scheduler.Explanation, bool, error)
}

// ownerView returns the entry that owns the shard, or "".
type ownerView interface{ Owner() unit.EntryID }

// newMetricsHandler returns the handler of the metrics address: the metrics, and under
// /explain?job=ID why a job waits.
func newMetricsHandler(k *registry.Kernel) (http.Handler, error) {
	jobs, err := registry.Find[explainer](k, owner.ServiceName)
	if err != nil {
		return nil, errors.Errorf("find owner: %w", err)
	}
	view, err := registry.Find[ownerView](k, ownership.ServiceName)
	if err != nil {
		return nil, errors.Errorf("find ownership: %w", err)
	}
	r := chi.NewRouter()
	r.Get("/explain", explainHandler(jobs, view))
	r.Mount("/", metric.Handler())
	return r, nil
}

// explainHandler returns a handler that writes an explanation as text. Only the owner of the
// shard has one: another entry names the owner.
func explainHandler(jobs explainer, view ownerView) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := unit.JobID(r.URL.Query().Get("job"))
		if id == "" {
			http.Error(w, "name a job: /explain?job=ID", http.StatusBadRequest)
			return
		}
		e, known, err := jobs.Explain(r.Context(), id)
		switch {
		case errors.Is(err, owner.ErrNotOwner):
			http.Error(w, fmt.Sprintf("%v; the owner is %q", err, view.Owner()), http.StatusMisdirectedRequest)
		case err != nil:
			http.Error(w, err.Error(), http.StatusInternalServerError)
		case !known:
			http.Error(w, "the owner does not know the job", http.StatusNotFound)
		default:
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			_ = writeExplanation(w, &e, time.Now()) // an error means that the client disconnected
		}
	}
}

// writeExplanation writes an explanation as text.
func writeExplanation(out io.Writer, e *scheduler.Explanation, now time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "job\t%s\nstate\t%s\nqueue\t%s, priority %d, of service %s\n", e.Job, e.State, e.Queue, e.Priority, e.Service)
	if e.Organisation != "" {
		fmt.Fprintf(w, "organisation\t%s\n", e.Organisation)
	}
	fmt.Fprintf(w, "due\t%s ago\nruns on workers\t%d\n", now.Sub(e.Due).Round(time.Millisecond), e.Runs)
	if !e.SoftDeadline.IsZero() {
		fmt.Fprintf(w, "should be complete in\t%s\n", e.SoftDeadline.Sub(now).Round(time.Millisecond))
	}
	if e.TooLate {
		fmt.Fprintln(w, "too late\tit is placed after all others, as its end is of no use any more")
	}
	if e.StartsHeld {
		fmt.Fprintln(w, "starts held\tnothing starts, as a view of the store is too old")
	}
	if len(e.Steps) == 0 {
		fmt.Fprintln(w, "waiting\tno task waits")
	}
	for _, s := range e.Steps {
		writeWaitingStep(w, &s)
	}
	return w.Flush()
}

// writeWaitingStep writes why the tasks of one step wait.
func writeWaitingStep(w io.Writer, s *scheduler.WaitingStep) {
	fmt.Fprintf(w, "\noccurrence %d, step %d\t%d tasks wait: %s\n", s.Occurrence, s.Step, s.Tasks, s.Reason)
	fmt.Fprintf(w, "  each needs\t%d millicores, %d MiB, %d accelerators\n", s.Needs.Cores, s.Needs.Memory>>20, s.Needs.Accelerators)
	fmt.Fprintf(w, "  jobs before it\t%d\n", s.JobsBefore)
	kind := "reserved by no run"
	if s.BestEffort {
		kind = "that other tasks leave idle"
	}
	fmt.Fprintf(w, "  cores %s\t%d of %d millicores\n", kind, s.Free, s.Total)
	fmt.Fprintf(w, "  expected wait of a new task\t%s\n", s.StartWait.Round(time.Millisecond))
}
