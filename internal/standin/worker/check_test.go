package worker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

// TestCheckAudits guards against a breach of an invariant that the check of
// end-to-end tests overlooks, and against a false alarm.
func TestCheckAudits(t *testing.T) {
	capacity := unit.Resources{Cores: 4000, Memory: 400}
	origin := time.Now()
	run := func(index unit.TaskIndex, attempt unit.Attempt, from, to int) worker.Run {
		r := worker.Run{Ref: protocol.Ref{Task: unit.TaskID{Job: "j", Index: index}, Attempt: attempt}}
		r.Start = origin.Add(time.Duration(from) * time.Second)
		if to > 0 {
			r.End = origin.Add(time.Duration(to) * time.Second)
		}
		return r
	}
	audit := func(name unit.InstanceID, change func(*worker.Audit)) worker.Audit {
		a := worker.Audit{Worker: name, Capacity: capacity, Committed: capacity}
		change(&a)
		return a
	}
	runs := func(all ...worker.Run) func(*worker.Audit) { return func(a *worker.Audit) { a.Runs = all } }
	keys := func(counts map[string]int) func(*worker.Audit) { return func(a *worker.Audit) { a.Keys = counts } }
	tests := []struct {
		name   string
		audits []worker.Audit
		notRun []string
		want   []string // one part of each fault
	}{
		{name: "full but not over", audits: []worker.Audit{audit("w1", func(*worker.Audit) {})}},
		{name: "overcommitted", audits: []worker.Audit{
			audit("w1", func(a *worker.Audit) { a.Committed.Memory++ }),
		}, want: []string{"P1: w1"}},
		{name: "resumed elsewhere", audits: []worker.Audit{audit("w1", runs(run(0, 1, 1, 2))), audit("w2", runs(run(0, 2, 2, 0)))}},
		{name: "two places", audits: []worker.Audit{
			audit("w1", runs(run(0, 1, 1, 3))), audit("w2", runs(run(0, 2, 2, 4))),
		}, want: []string{"P2: task j/0: attempt 2 on w2"}},
		{name: "begun while another still runs", audits: []worker.Audit{
			audit("w1", runs(run(0, 1, 1, 0))), audit("w2", runs(run(0, 2, 9, 10))),
		}, want: []string{"P2: task j/0: attempt 2 on w2"}},
		{name: "two runs within a long one", audits: []worker.Audit{
			audit("w1", runs(run(0, 1, 1, 9), run(0, 2, 2, 3), run(0, 3, 4, 5))),
		}, want: []string{"attempt 2", "attempt 3"}},
		{name: "other tasks at a time", audits: []worker.Audit{audit("w1", runs(run(0, 1, 1, 0), run(1, 1, 1, 0)))}},
		{name: "key run once on each of two", audits: []worker.Audit{
			audit("w1", keys(map[string]int{"k1": 1, "k2": 1})), audit("w2", keys(map[string]int{"k1": 1})),
		}, want: []string{"P7: request with key k1 ran 2 times"}},
		{name: "false report", audits: []worker.Audit{
			audit("w1", func(a *worker.Audit) { a.Checks = map[string]int{"c1": 1} }),
		}, notRun: []string{"c1", "c2"}, want: []string{"P6: request c1"}},
		{name: "audit with gaps", audits: []worker.Audit{
			audit("w1", func(a *worker.Audit) { a.Dropped = 3 }),
		}, want: []string{"lacks 3 entries"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var lines []string
			if err := worker.CheckAudits(test.audits, test.notRun); err != nil {
				lines = strings.Split(err.Error(), "\n")
			}
			if len(lines) != len(test.want) {
				t.Fatalf("got faults %q, want %d", lines, len(test.want))
			}
			for i, part := range test.want {
				if !strings.Contains(lines[i], part) {
					t.Errorf("fault %d: got %q, want one with %q", i, lines[i], part)
				}
			}
		})
	}
}
