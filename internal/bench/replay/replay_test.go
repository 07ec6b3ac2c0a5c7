package replay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestGoal guards against missing the stated goals on one short trace of each
// firm: tail latency within target or at most half of the baseline's excess, no
// eviction of replicas, retained work in a zone that goes out of service, and
// batch work not much below the baseline's.
func TestGoal(t *testing.T) {
	tests := []struct {
		firm     string
		replicas unit.ClassID
		work     float64 // lower bound, as a fraction of the baseline's batch work
	}{
		{FirmSaurashtra, "cut-lists", 0.9},
		{FirmTenjin, "sync", 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.firm, func(t *testing.T) {
			project := Policies()[0].Name
			all, err := Measure(Options{Firms: []string{tt.firm}, Policies: []string{project, Baseline}, Seeds: []uint64{1}, Span: 3 * time.Minute, Scale: 0.5})
			if err != nil {
				t.Fatal(err)
			}
			got, base := find(all, tt.firm, project, 1), find(all, tt.firm, Baseline, 1)
			for i, c := range got.Classes {
				if allowed := base.Classes[i].Excess() / 2; c.Excess() > allowed {
					t.Errorf("%s: p99 %s exceeds %s by more than %s", c.Name, c.P99, c.Bound, allowed)
				}
			}
			if n := got.Evictions[tt.replicas]; n > 0 {
				t.Errorf("%d evictions of %s", n, tt.replicas)
			}
			if got.Work < tt.work*base.Work {
				t.Errorf("batch work %.2f core hours, below %.1f of the baseline's %.2f", got.Work, tt.work, base.Work)
			}
			if got.Retained < base.Retained {
				t.Errorf("retained %.2f of the work in the zone, the baseline %.2f", got.Retained, base.Retained)
			}
		})
	}
}

// TestTrace guards against a trace that changes when it is encoded and decoded,
// and against a replay that depends on more than its trace and policy.
func TestTrace(t *testing.T) {
	for _, firm := range []string{FirmSaurashtra, FirmTenjin} {
		made := Generate(TraceOptions{Firm: firm, Seed: 3, Span: 40 * time.Second, Scale: 0.2})
		var file bytes.Buffer
		if err := made.Encode(&file); err != nil {
			t.Fatal(err)
		}
		read, err := Decode(&file)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(made, read); diff != "" {
			t.Errorf("%s (-made +read):\n%s", firm, diff)
		}
		for _, p := range Policies() {
			a, err := Replay(made, p)
			if err != nil {
				t.Fatal(err)
			}
			b, err := Replay(read, p)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(summarize(made, p.Name, a), summarize(read, p.Name, b), cmpopts.IgnoreUnexported(Summary{}, ClassSummary{})); diff != "" {
				t.Errorf("%s under %s differs between replays:\n%s", firm, p.Name, diff)
			}
		}
	}
}

// TestRun guards against a table without the rows of a policy, and plots that
// are not written.
func TestRun(t *testing.T) {
	var out strings.Builder
	dir := t.TempDir()
	if err := Run(&out, Options{Seeds: []uint64{1}, Span: 30 * time.Second, Scale: 0.1, Plots: dir, Traces: dir}); err != nil {
		t.Fatal(err)
	}
	for _, p := range Policies() {
		if n := strings.Count(out.String(), p.Name+" "); n < 2 {
			t.Errorf("%d rows of %s in:\n%s", n, p.Name, out.String())
		}
	}
	if err := Run(&out, Options{Firms: []string{"none"}}); err == nil {
		t.Error("an unknown firm is accepted")
	}
}
