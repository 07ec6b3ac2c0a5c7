package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestHeldBackStep guards against an organisation at its cap that keeps the tasks of others
// waiting, as it is first in line, counts as unplaceable or preempts what they run.
func TestHeldBackStep(t *testing.T) {
	tests := []struct {
		name string
		step graph.Step
	}{
		{"tasks", graph.Step{Count: 3, Needs: unit.Resources{Cores: 4000}, Estimate: time.Second}},
		{"gang", graph.Step{Count: 3, Needs: unit.Resources{Cores: 4000}, Estimate: time.Second, Gang: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 1000, "b": 0})
			low := newJob("low", graph.Step{Count: 12, Needs: unit.Resources{Cores: 4000}, Checkpoints: true})
			low.Queue.Priority, low.Organisation = 3, "b"
			f.core.AddJob(low, 0, true, f.now)
			if n := len(f.takeStarts(OutcomeDone)); n != 12 {
				t.Fatalf("%d starts, want 12", n)
			}
			f.addJobOf("a", "held", tt.step, true)
			f.addJobOf("b", "other", tt.step, true)
			f.now = f.now.Add(preemptInterval)
			f.core.Place(f.now)
			var got []string
			for _, o := range f.core.TakeOrders() {
				got = append(got, string(o.Task.Job)+" "+string(o.Reason))
			}
			if diff := cmp.Diff([]string{"other ready", "other ready", "other ready"}, got); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]int{"quota": 3}, f.core.TakeHoldCounts()); diff != "" {
				t.Errorf("held tasks by cause (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(3, f.core.Stats(f.now).HeldByQuota); diff != "" {
				t.Errorf("held tasks (-want +got):\n%s", diff)
			}
			if a := f.core.OrganisationStats(f.now)[0]; a.Held != 3 || a.Cause != "quota" {
				t.Errorf("organisation %s: %d tasks held, cause %q; want 3 for quota", a.ID, a.Held, a.Cause)
			}
		})
	}
}

// TestQuotaForLargeTask guards against a large task or a gang that never gets its quota, as
// smaller tasks of its organisation take it bit by bit, and against one that can never fit
// and keeps them waiting.
func TestQuotaForLargeTask(t *testing.T) {
	tests := []struct {
		name   string
		large  graph.Step
		waited time.Duration
		starts []unit.JobID
	}{
		{"large task, just come", graph.Step{Count: 1, Needs: unit.Resources{Cores: 8000}}, 0, []unit.JobID{"small"}},
		{"large task has waited", graph.Step{Count: 1, Needs: unit.Resources{Cores: 8000}}, reserveDelay + time.Second, nil},
		{"gang has waited", graph.Step{Count: 2, Needs: unit.Resources{Cores: 4000}, Gang: true}, reserveDelay + time.Second, nil},
		{"large task has waited, others have their turn", graph.Step{Count: 1, Needs: unit.Resources{Cores: 8000}}, 2*reserveDelay + time.Second, []unit.JobID{"small"}},
		{"large task waits again", graph.Step{Count: 1, Needs: unit.Resources{Cores: 8000}}, 4*reserveDelay + time.Second, nil},
		{"task that never fits has waited", graph.Step{Count: 1, Needs: unit.Resources{Cores: 8001}}, reserveDelay + time.Second, []unit.JobID{"small"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 8000})
			f.addJobOf("a", "first", smallStep, true)
			f.takeStarts(OutcomeDone)
			f.addJobOf("a", "large", tt.large, true)
			f.takeStarts(OutcomeDone)
			f.now = f.now.Add(tt.waited)
			f.report("w1", []RunStatus{{Task: firstTask("first"), Run: 1, ProgressPercent: 50}}, nil)
			f.takeStarts(OutcomeDone)
			j := newJob("small", smallStep)
			j.Organisation, j.Accepted = "a", f.now
			f.core.AddJob(j, 0, true, f.now)
			if diff := cmp.Diff(tt.starts, jobsOf(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeldBackAdvice guards against a step that quota holds back and that takes the requests
// for placement advice from the steps of others, and from its own earlier steps.
func TestHeldBackAdvice(t *testing.T) {
	tests := []struct {
		name  string
		limit unit.Millicores
		asked unit.JobID
	}{
		{"within the cap", 8000, "a"},
		{"held back", 1000, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": tt.limit})
			for priority, org := range []unit.OrganisationID{"a", "b"} {
				j := newJob(unit.JobID(org), smallStep)
				j.Organisation, j.Queue.Priority = org, graph.Priority(priority)
				j.Queue.Advice = &graph.Advice{TicketValidity: 3 * time.Second}
				f.core.AddJob(j, 0, true, f.now)
			}
			f.takeStarts(OutcomeDone)
			request, _ := f.core.NextAdviceRequest(f.now)
			if diff := cmp.Diff(tt.asked, request.Step.Job); diff != "" {
				t.Errorf("advice is asked for (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRelocationAboveCap guards against a slowed run that is stopped to continue elsewhere
// while the cap of its organisation, which was lowered, would not let it start again.
func TestRelocationAboveCap(t *testing.T) {
	tests := []struct {
		name  string
		limit unit.Millicores
		moves bool
	}{
		{"at the cap", 4000, true},
		{"above the cap", 3000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 4000})
			step := smallStep
			step.BestEffort, step.Checkpoints = true, true
			f.addJobOf("a", "j", step, true)
			f.takeStarts(OutcomeDone)
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": tt.limit})
			r := f.core.workers["w1"].runList[0]
			r.pacePercent = maxSlowedPace
			if diff := cmp.Diff(tt.moves, r.mayRelocate(minSlowedTime, f.now.Add(minSlowedTime))); diff != "" {
				t.Errorf("may move (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeldBackPreemption guards against a step that stops the runs of others although quota
// holds it back.
func TestHeldBackPreemption(t *testing.T) {
	tests := []struct {
		name  string
		limit unit.Millicores
		stops []unit.JobID
	}{
		{"within the cap", 8000, []unit.JobID{"low"}},
		{"held back", 1000, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": tt.limit})
			low := newJob("low", graph.Step{Count: 16, Needs: unit.Resources{Cores: 4000}, Checkpoints: true})
			low.Queue.Priority = 3
			f.core.AddJob(low, 0, true, f.now)
			f.takeStarts(OutcomeDone)
			f.addJobOf("a", "urgent", smallStep, true)
			f.advance(preemptInterval)
			if diff := cmp.Diff(tt.stops, jobsOf(f.core.TakeOrders())); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}
