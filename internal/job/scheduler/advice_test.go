package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestAdvice guards against starts without a valid ticket, and against repeated
// requests for workers whose answer is known.
func TestAdvice(t *testing.T) {
	tests := []struct {
		name     string
		approved map[unit.InstanceID]Ticket
		wait     time.Duration     // between the answer and the placement
		ticket   Ticket            // of the start; empty if none is expected
		asked    []unit.InstanceID // workers of the next request; nil if none is expected
	}{
		{"approved", map[unit.InstanceID]Ticket{"w1": "t1"}, 0, "t1", nil},
		{"refused by both", nil, 0, "", nil},
		{"expired", map[unit.InstanceID]Ticket{"w2": "t2"}, 4 * time.Second, "", []unit.InstanceID{"w2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1", "w2")
			job := newJob("j", smallStep)
			job.Queue.Advice = &graph.Advice{TicketValidity: 3 * time.Second}
			f.core.AddJob(job, 0, true, f.now)
			if starts := f.takeStarts(OutcomeDone); len(starts) > 0 {
				t.Fatalf("starts without a ticket: %+v", starts)
			}
			request, ok := f.core.NextAdviceRequest(f.now)
			if !ok || len(request.Workers) != 2 {
				t.Fatalf("request %+v, want one for both workers", request)
			}
			f.core.HandleAdvice(request, tt.approved, 3*time.Second, f.now)
			f.advance(tt.wait)
			f.report("w1", nil, nil)
			f.report("w2", nil, nil)
			var ticket Ticket
			for _, o := range f.takeStarts(OutcomeDone) {
				ticket = o.Ticket
			}
			if diff := cmp.Diff(tt.ticket, ticket); diff != "" {
				t.Errorf("ticket of the start (-want +got):\n%s", diff)
			}
			next, _ := f.core.NextAdviceRequest(f.now)
			if diff := cmp.Diff(tt.asked, next.Workers); diff != "" {
				t.Errorf("workers of the next request (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdviceForUpcomingStep guards against steps that wait for the placement advice
// although it could have been requested while the preceding step ran, and against
// tickets requested so early that they expire before they are needed.
func TestAdviceForUpcomingStep(t *testing.T) {
	tests := []struct {
		name    string
		percent int // progress of the preceding step, which takes 10 s
		ahead   bool
	}{
		{"preceding step has just begun", 10, false},
		{"preceding step ends soon", 90, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			first := smallStep
			first.Estimate = 10 * time.Second
			second := smallStep
			second.After = []graph.StepIndex{0}
			job := newJob("j", first, second)
			job.Queue.Advice = &graph.Advice{TicketValidity: 3 * time.Second}
			f.core.AddJob(job, 0, true, f.now)
			request, _ := f.core.NextAdviceRequest(f.now)
			f.core.HandleAdvice(request, map[unit.InstanceID]Ticket{"w1": "t0"}, 3*time.Second, f.now)
			f.takeStarts(OutcomeDone)
			f.advance(first.Estimate * time.Duration(tt.percent) / 100)
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: tt.percent}}, nil)
			request, ok := f.core.NextAdviceRequest(f.now)
			if ok != tt.ahead || (ok && request.Step.Step != 1) {
				t.Fatalf("request %+v, want one for step 1: %v", request, tt.ahead)
			}
			if !ok {
				return
			}
			f.core.HandleAdvice(request, map[unit.InstanceID]Ticket{"w1": "t1"}, 3*time.Second, f.now)
			if _, again := f.core.NextAdviceRequest(f.now); again {
				t.Error("another request for a step with a usable ticket")
			}
			f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndDone}})
			starts := f.takeStarts(OutcomeDone)
			if len(starts) != 1 || starts[0].Ticket != "t1" {
				t.Errorf("starts %+v, want one with ticket t1", starts)
			}
		})
	}
}
