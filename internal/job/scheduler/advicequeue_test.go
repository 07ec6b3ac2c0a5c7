package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// addAdvisedJob adds a job whose queue has placement advice.
func (f *fixture) addAdvisedJob(id unit.JobID, p graph.Priority, steps ...graph.Step) {
	job := newJob(id, steps...)
	job.Queue.ID, job.Queue.Priority = graph.QueueID(id), p
	job.Queue.Advice = &graph.Advice{TicketValidity: 3 * time.Second}
	f.core.AddJob(job, 0, true, f.now)
}

// answerAdvice answers the next request with tickets for the given workers, those that it
// names if there are none, and returns it.
func (f *fixture) answerAdvice(approved ...unit.InstanceID) AdviceRequest {
	request, ok := f.core.NextAdviceRequest(f.now)
	if !ok {
		return AdviceRequest{}
	}
	if len(approved) == 0 {
		approved = request.Workers
	}
	tickets := map[unit.InstanceID]Ticket{}
	for _, id := range approved {
		tickets[id] = "t"
	}
	f.core.HandleAdvice(request, tickets, 3*time.Second, f.now)
	return request
}

// runFirstSteps gets tickets for all tasks that wait, starts them and lets them work until 9 s of
// 10 s have passed.
func (f *fixture) runFirstSteps() {
	for f.answerAdvice().Workers != nil {
	}
	running := map[unit.InstanceID][]RunStatus{}
	for _, o := range f.takeStarts(OutcomeDone) {
		running[o.Worker] = append(running[o.Worker], RunStatus{Task: o.Task, Run: o.Run, ProgressPercent: 90})
	}
	f.advance(9 * time.Second)
	for _, id := range []unit.InstanceID{"w1", "w2"} {
		f.report(id, running[id], nil)
	}
}

// TestAdviceBesideBlockedStep guards against jobs that never get placement advice, as the most
// urgent step with advice has no worker to ask for and no other step is considered.
func TestAdviceBesideBlockedStep(t *testing.T) {
	small := smallStep
	small.Estimate = 10 * time.Second
	after := func(s graph.Step) graph.Step {
		s.After = []graph.StepIndex{0}
		return s
	}
	whole, tooLarge := small, small
	whole.Needs.Cores, tooLarge.Needs.Cores = 64_000, 99_000 // of workers with 64 cores
	lasting := tooLarge
	lasting.LongRunning = true

	tests := []struct {
		name    string
		prepare func(f *fixture)
		want    graph.Task
	}{
		{"larger than each worker", func(f *fixture) {
			f.addAdvisedJob("a", 0, tooLarge)
			f.addAdvisedJob("b", 2, small)
		}, graph.Task{Job: "b"}},
		{"larger than each worker, lasts", func(f *fixture) {
			f.addAdvisedJob("a", 0, lasting)
			f.addAdvisedJob("b", 2, small)
		}, graph.Task{Job: "b"}},
		{"no worker approved", func(f *fixture) {
			f.addAdvisedJob("a", 0, small)
			f.answerAdvice("w9")
			f.addAdvisedJob("b", 2, small)
		}, graph.Task{Job: "b"}},
		{"approved worker is full", func(f *fixture) {
			f.addAdvisedJob("a", 0, whole)
			f.addJob("c", small, true)
			taken := f.takeStarts(OutcomeDone)[0]
			f.answerAdvice(taken.Worker)
			for f.answerAdvice("w9").Step.Job == "a" {
			}
			f.addAdvisedJob("b", 2, small)
		}, graph.Task{Job: "b"}},
		{"later step of the other job", func(f *fixture) {
			f.addAdvisedJob("b", 2, small, after(small))
			f.runFirstSteps()
			f.addAdvisedJob("a", 0, tooLarge)
		}, graph.Task{Job: "b", Step: 1}},
		{"later steps of both jobs", func(f *fixture) {
			f.addAdvisedJob("a", 0, small, after(tooLarge))
			f.addAdvisedJob("b", 2, small, after(small))
			f.runFirstSteps()
		}, graph.Task{Job: "b", Step: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1", "w2")
			tt.prepare(f)
			request, ok := f.core.NextAdviceRequest(f.now)
			if diff := cmp.Diff(tt.want, request.Step); !ok || diff != "" {
				t.Errorf("request: %v, step (-want +got):\n%s", ok, diff)
			}
			if len(request.Workers) == 0 {
				t.Error("request without workers")
			}
		})
	}
}

// TestFailedAdviceRequest guards against a step whose requests fail each time, and that keeps
// less urgent steps from asking.
func TestFailedAdviceRequest(t *testing.T) {
	const took = 3 * time.Second // until the request fails
	tests := []struct {
		name string
		wait time.Duration // since the failure
		want unit.JobID
	}{
		{"at once", 0, "b"},
		{"before as much time has passed as the request took", took - time.Millisecond, "b"},
		{"afterwards", took, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addAdvisedJob("a", 0, smallStep)
			f.addAdvisedJob("b", 2, smallStep)
			request, _ := f.core.NextAdviceRequest(f.now)
			if diff := cmp.Diff(unit.JobID("a"), request.Step.Job); diff != "" {
				t.Fatalf("job of the first request (-want +got):\n%s", diff)
			}
			f.now = f.now.Add(took)
			f.core.HandleAdviceFailure(request, f.now)
			f.advance(tt.wait)
			f.report("w1", nil, nil)
			request, _ = f.core.NextAdviceRequest(f.now)
			if diff := cmp.Diff(tt.want, request.Step.Job); diff != "" {
				t.Errorf("job of the next request (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdviceAnswerTime guards against requests that are given up before the service has had
// the time that the queue's configuration says it needs.
func TestAdviceAnswerTime(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1", "w2")
	f.addAdvisedJob("a", 0, smallStep)
	f.core.jobs["a"].spec.Queue.Advice = &graph.Advice{AnswerTime: 4 * time.Second, TimePerWorker: 100 * time.Millisecond, TicketValidity: 3 * time.Second}
	request, _ := f.core.NextAdviceRequest(f.now)
	if diff := cmp.Diff(f.now.Add(4200*time.Millisecond), request.AnswerDue); diff != "" {
		t.Errorf("time of the answer (-want +got):\n%s", diff)
	}
}

// TestAdviceForGang guards against a gang that never starts, as the advice is not asked for
// more workers once one of its tasks could start, and against a gang that keeps others from
// asking although it fits on no set of workers that may be approved.
func TestAdviceForGang(t *testing.T) {
	tests := []struct {
		name        string
		workers     int
		members     int // each fills a worker
		refused     int // of the workers that the first request names
		wantStarts  int // of the gang
		wantRequest unit.JobID
	}{
		{"all approved, wider than one request", 50, 40, 0, 40, "b"},
		{"some refused", 10, 4, 5, 4, "b"},
		{"too many refused", 6, 4, 5, 0, "b"},
		{"wider than the fleet", 6, 7, 0, 0, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			var ids []unit.InstanceID
			for n := range tt.workers {
				ids = append(ids, unit.InstanceID(fmt.Sprintf("w%02d", n)))
			}
			f.listWorkers(ids...)
			gang := smallStep
			gang.Count, gang.Gang, gang.Needs.Cores = tt.members, true, 60_000
			f.addAdvisedJob("a", 0, gang)
			f.addAdvisedJob("b", 2, smallStep)
			refused, starts := tt.refused, 0
			var request AdviceRequest
			for range tt.workers {
				request, _ = f.core.NextAdviceRequest(f.now)
				if request.Step.Job != "a" {
					break
				}
				tickets := map[unit.InstanceID]Ticket{}
				for _, id := range request.Workers {
					if refused > 0 {
						refused--
						continue
					}
					tickets[id] = "t"
				}
				f.core.HandleAdvice(request, tickets, 3*time.Second, f.now)
				starts += len(f.takeStarts(OutcomeDone))
			}
			if diff := cmp.Diff(tt.wantStarts, starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.wantRequest, request.Step.Job); diff != "" {
				t.Errorf("job of the last request (-want +got):\n%s", diff)
			}
		})
	}
}
