package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestAdvice guards against starts without a valid ticket, and against questions
// that are repeated for workers of which the answer is known.
func TestAdvice(t *testing.T) {
	tests := []struct {
		name     string
		approved map[unit.InstanceID]Ticket
		wait     time.Duration     // until the placement
		ticket   Ticket            // of the start; empty: no start
		asked    []unit.InstanceID // afterwards; nil: no question
	}{
		{"approved", map[unit.InstanceID]Ticket{"w1": "t1"}, 0, "t1", nil},
		{"refused by both", nil, 0, "", nil},
		{"expired", map[unit.InstanceID]Ticket{"w2": "t2"}, 4 * time.Second, "", []unit.InstanceID{"w2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1", "w2")
			job := jobOf("j", small)
			job.Queue.Advice = &graph.Advice{TicketValidity: 3 * time.Second}
			b.core.AddJob(job, 0, true, b.now)
			if starts := b.starts(OutcomeDone); len(starts) > 0 {
				t.Fatalf("starts without a ticket: %+v", starts)
			}
			ask, ok := b.core.NextAdviceRequest(b.now)
			if !ok || len(ask.Workers) != 2 {
				t.Fatalf("question %+v, want one for both workers", ask)
			}
			b.core.HandleAdvice(ask, tt.approved, 3*time.Second, b.now)
			b.after(tt.wait)
			b.report("w1", nil, nil)
			b.report("w2", nil, nil)
			var ticket Ticket
			for _, o := range b.starts(OutcomeDone) {
				ticket = o.Ticket
			}
			if diff := cmp.Diff(tt.ticket, ticket); diff != "" {
				t.Errorf("ticket of the start (-want +got):\n%s", diff)
			}
			again, _ := b.core.NextAdviceRequest(b.now)
			if diff := cmp.Diff(tt.asked, again.Workers); diff != "" {
				t.Errorf("workers asked for afterwards (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdviceAhead guards against steps that wait for the placement advice although
// it could have been asked while the step before ran, and against tickets that are
// asked for so early that they expire before they are needed.
func TestAdviceAhead(t *testing.T) {
	tests := []struct {
		name    string
		percent int // progress of the step before, which takes 10 s
		ahead   bool
	}{
		{"step before has just begun", 10, false},
		{"step before ends soon", 90, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1")
			first := small
			first.Estimate = 10 * time.Second
			second := small
			second.After = []graph.StepIndex{0}
			job := jobOf("j", first, second)
			job.Queue.Advice = &graph.Advice{TicketValidity: 3 * time.Second}
			b.core.AddJob(job, 0, true, b.now)
			ask, _ := b.core.NextAdviceRequest(b.now)
			b.core.HandleAdvice(ask, map[unit.InstanceID]Ticket{"w1": "t0"}, 3*time.Second, b.now)
			b.starts(OutcomeDone)
			b.after(first.Estimate * time.Duration(tt.percent) / 100)
			b.report("w1", []RunStatus{{Task: taskOf("j"), Run: 1, ProgressPercent: tt.percent}}, nil)
			ask, ok := b.core.NextAdviceRequest(b.now)
			if ok != tt.ahead || (ok && ask.Step.Step != 1) {
				t.Fatalf("question %+v, want one for step 1: %v", ask, tt.ahead)
			}
			if !ok {
				return
			}
			b.core.HandleAdvice(ask, map[unit.InstanceID]Ticket{"w1": "t1"}, 3*time.Second, b.now)
			if _, again := b.core.NextAdviceRequest(b.now); again {
				t.Error("asked again for a step with a ticket")
			}
			b.report("w1", nil, []End{{Number: 1, Task: taskOf("j"), Run: 1, Kind: EndDone}})
			starts := b.starts(OutcomeDone)
			if len(starts) != 1 || starts[0].Ticket != "t1" {
				t.Errorf("starts %+v, want one with ticket t1", starts)
			}
		})
	}
}
