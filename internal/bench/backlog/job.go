package backlog

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/duration"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// job is a job of the fleet.
type job struct {
	*Job
	shape     *shape
	current   *step // that is worked on; nil once the job is complete
	steps     []*step
	completed time.Duration
	runs      int
	value     float64       // within its objective
	objective time.Duration // by the actual durations
	useful    time.Duration
	class     overload.Class
	place     overload.Place
	served    int // of a serving job: periods of a task in which it was running
	owed      int // and those in which it should have been
}

// step is a step of a job of the fleet.
type step struct {
	job       *job
	declared  time.Duration
	tasks     []*task
	remaining int
	waiting   []*task // the last one is placed first
	measured  bool    // a task shows how long they take
}

// task is a task of a step.
type task struct {
	step      *step
	took      time.Duration
	saved     time.Duration // work at the latest checkpoint
	ranBefore bool
}

func newJob(j *Job) *job {
	r := &job{Job: j, shape: shapeOf(j.Kind)}
	var longest time.Duration
	for i := range j.Steps {
		s := &step{job: r, declared: j.Steps[i].Declared, remaining: len(j.Steps[i].Took)}
		var longestTask time.Duration
		for _, took := range j.Steps[i].Took {
			t := &task{step: s, took: took}
			s.tasks = append(s.tasks, t)
			s.waiting = append(s.waiting, t)
			longestTask = max(longestTask, took)
		}
		longest += longestTask
		r.steps = append(r.steps, s)
	}
	r.current = r.steps[0]
	allowed := r.allowed(longest)
	r.objective, r.useful = j.Due+allowed, j.Due+overload.UsefulFactor*allowed
	return r
}

// allowed returns the time that a job with a chain of the given duration may take.
func (j *job) allowed(chain time.Duration) time.Duration {
	return time.Duration(j.shape.stretch*float64(chain)) + j.shape.target
}

// work returns the work of all tasks.
func (j *Job) work() overload.CoreSeconds {
	var sum time.Duration
	for _, s := range j.Steps {
		for _, took := range s.Took {
			sum += took
		}
	}
	return workOf(shapeOf(j.Kind), sum)
}

func workOf(s *shape, d time.Duration) overload.CoreSeconds {
	return overload.CoreSeconds(d.Seconds() * float64(s.needs.Cores) / 1000)
}

// estimates is what the owner knows of durations.
type estimates struct{ learned *duration.Estimator }

// of returns the expected duration of a task of a step.
func (e estimates) of(s *step) (expected time.Duration, spread float64) {
	if s.measured {
		return longest(s), measuredSpread
	}
	return e.learned.Expect(graph.QueueID(s.job.Kind), s.declared)
}

// measuredSpread is the deviation of the logarithm of actual over measured durations.
const measuredSpread = 0.05

func longest(s *step) time.Duration {
	var most time.Duration
	for _, t := range s.tasks {
		most = max(most, t.took)
	}
	return most
}

// describe returns the work of a job as its owner knows it. The given share of the work of
// its runs does not count as remaining.
func (e estimates) describe(j *job, mean overload.CoreSeconds, uncounted float64) overload.Work {
	var chain, whole time.Duration
	var remaining, done, all float64 // task time
	var spread float64
	begun := false
	for _, s := range j.steps {
		took, deviation := e.of(s)
		whole += took
		if s == j.current {
			begun = true
		}
		if begun {
			chain += took
			remaining += took.Seconds() * float64(s.remaining)
			if s == j.current {
				remaining -= took.Seconds() * float64(j.runs) * uncounted
			}
			spread = max(spread, deviation)
		}
		all += took.Seconds() * float64(len(s.tasks))
		done += took.Seconds() * float64(len(s.tasks)-s.remaining)
	}
	cores := float64(j.shape.needs.Cores) / 1000
	allowed := j.allowed(whole)
	w := overload.Work{
		Priority: j.shape.priority, Due: dayStart.Add(j.Due), Objective: dayStart.Add(j.Due + allowed),
		Useful: dayStart.Add(j.Due + overload.UsefulFactor*allowed), Chain: chain, Spread: spread,
		Remaining: overload.CoreSeconds(remaining * cores), Done: overload.CoreSeconds(done * cores),
		LongRunning: j.Kind == Serving, Class: j.class,
	}
	w.Value = overload.Value(overload.CoreSeconds(all*cores), mean)
	return w
}
