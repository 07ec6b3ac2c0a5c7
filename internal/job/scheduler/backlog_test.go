package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// sortedPolicy is the default policy without its order for short capacity.
type sortedPolicy struct{ adaptivePolicy }

func (sortedPolicy) arrange(steps []*step, _ time.Time) []*step { return steps }

// wholeWorker is a step of one task that takes nearly a whole worker for a second.
var wholeWorker = graph.Step{Count: 1, Needs: unit.Resources{Cores: 60000, Memory: 1 << 30}, Estimate: time.Second}

// backlogFixture is a shard with one worker, on which one task of wholeWorker runs at a time.
type backlogFixture struct {
	*fixture
	busy *Order // the start of the task that runs
	ends EndNumber
}

func newBacklogFixture(t *testing.T) *backlogFixture {
	f := &backlogFixture{fixture: newFixture(t, 1, 0)}
	f.listWorkers("w1")
	return f
}

// next ends the task that runs and returns the job whose task starts then.
func (f *backlogFixture) next() (unit.JobID, bool) {
	f.advance(wholeWorker.Estimate / 2) // no worker for the others
	f.now = f.now.Add(wholeWorker.Estimate/2 - bestEffortInterval)
	var ended []End
	if f.busy != nil {
		f.ends++
		ended = []End{{Number: f.ends, Task: f.busy.Task, Run: f.busy.Run, Kind: EndDone}}
	}
	f.report("w1", nil, ended)
	f.busy = nil
	starts := f.takeStarts(OutcomeDone)
	if len(starts) == 0 {
		return "", false
	}
	f.busy = &starts[0]
	return f.busy.Task.Job, true
}

// TestBacklogOrder guards against a backlog that goes before the jobs that can still meet
// their objective on a full shard, and against another order for queues without an objective.
func TestBacklogOrder(t *testing.T) {
	type entry struct {
		id       unit.JobID
		age      time.Duration // the objective is 2.5 s
		tasks    int
		goalless bool
	}
	tests := []struct {
		name string
		jobs []entry
		want []unit.JobID
	}{
		{"backlog after a burst", []entry{{"late", 3 * time.Second, 1, false}, {"new", 0, 1, false}}, []unit.JobID{"new", "late"}},
		{"backlog with less time left than it needs", []entry{{"new", 0, 1, false}, {"old", time.Second, 1, false}}, []unit.JobID{"new", "old"}},
		{"no objective", []entry{
			{"late", 2400 * time.Millisecond, 1, false}, {"plain", time.Second, 1, true}, {"new", 0, 1, false},
		}, []unit.JobID{"plain", "new", "late"}},
		{"begun jobs are finished", []entry{{"old", time.Second / 2, 2, false}, {"new", 0, 2, false}}, []unit.JobID{"new", "new", "old", "old"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBacklogFixture(t)
			f.addJob("first", wholeWorker, true)
			f.next()
			for _, e := range tt.jobs {
				s := wholeWorker
				s.Count = e.tasks
				job := newJob(e.id, s)
				job.Accepted = f.now.Add(-e.age)
				if e.goalless {
					job.Queue.ID, job.Queue.Stretch, job.Queue.Target = "plain", 0, 0
				}
				f.core.AddJob(job, 0, true, f.now)
			}
			var got []unit.JobID
			for id, ok := f.next(); ok; id, ok = f.next() {
				got = append(got, id)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOverloadedDay guards against a day with 1.25 times as much work as capacity on which
// nearly all jobs are late, and against late jobs that are not delivered once capacity returns.
func TestOverloadedDay(t *testing.T) {
	tests := []struct {
		name          string
		policy        func(*Core) policy
		least, most   int // jobs in time of 50
		wantCompleted int
	}{
		{"by expected value", func(c *Core) policy { return adaptivePolicy{c} }, 30, 50, 50},
		{"by deadline", func(c *Core) policy { return sortedPolicy{adaptivePolicy{c}} }, 0, 15, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBacklogFixture(t)
			f.core.policy = tt.policy(f.core)
			accepted := map[unit.JobID]time.Time{}
			inTime, completed, arrived := 0, 0, 0
			for range 70 {
				for ; arrived < 50 && startTime.Add(time.Duration(arrived)*800*time.Millisecond).Before(f.now.Add(time.Second)); arrived++ {
					job := newJob(unit.JobID(fmt.Sprintf("j%02d", arrived)), wholeWorker)
					job.Accepted = f.now
					accepted[job.ID] = f.now
					f.core.AddJob(job, 0, true, f.now)
				}
				f.next()
				for _, s := range f.core.TakeFinalStates() {
					completed++
					if f.now.Sub(accepted[s.Job]) <= 2500*time.Millisecond {
						inTime++
					}
				}
			}
			if inTime < tt.least || inTime > tt.most || completed != tt.wantCompleted {
				t.Errorf("%d jobs in time and %d completed, want %d to %d and %d", inTime, completed, tt.least, tt.most, tt.wantCompleted)
			}
		})
	}
}

// TestRemainingWork guards against begun jobs that count as if nothing was done, so that on
// a full shard others are begun before they are finished.
func TestRemainingWork(t *testing.T) {
	tests := []struct {
		name          string
		running, done int // of 3 tasks of 60 core-seconds
		want          float64
	}{
		{"nothing begun", 0, 0, 180},
		{"one running", 1, 0, 150},
		{"one done, one running", 1, 1, 90},
		{"all done", 0, 3, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			s := wholeWorker
			s.Count = 3
			f.addJob("j", s, true)
			o := f.core.jobs["j"].occurrences[0]
			o.steps[0].remaining -= tt.done
			o.steps[0].waiting = o.steps[0].waiting[:3-tt.done-tt.running]
			if got := float64(o.remainingWork()); got != tt.want {
				t.Errorf("remaining work %v core-seconds, want %v", got, tt.want)
			}
		})
	}
}
