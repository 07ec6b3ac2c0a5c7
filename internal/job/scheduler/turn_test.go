package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// busyFleet is workers on which tasks end after their time, and jobs that arrive for ever.
type busyFleet struct {
	*fixture
	runs    map[unit.InstanceID][]busyRun
	ends    map[unit.InstanceID]EndNumber
	random  *rand.Rand
	tail    int // in milliseconds, that serving tasks report
	arrived int // jobs that arrived beside those of a test
	starts  map[unit.JobID]int
	running map[unit.JobID]int
}

// busyRun is a run on a worker of a busyFleet.
type busyRun struct {
	order  Order
	spec   *graph.Step
	endsAt time.Time
}

func newBusyFleet(t *testing.T, workers int) *busyFleet {
	f := &busyFleet{
		fixture: newFixture(t, 1, 0), runs: map[unit.InstanceID][]busyRun{}, ends: map[unit.InstanceID]EndNumber{},
		random: rand.New(rand.NewPCG(1, 2)), starts: map[unit.JobID]int{}, running: map[unit.JobID]int{},
	}
	var ids []unit.InstanceID
	for i := range workers {
		ids = append(ids, unit.InstanceID(fmt.Sprintf("w%d", i)))
	}
	f.listWorkers(ids...)
	return f
}

// step lets 50 ms pass.
func (f *busyFleet) step() {
	f.advance(50 * time.Millisecond)
	for _, o := range f.core.TakeOrders() {
		if !f.core.BeginOrder(o, f.now.Add(6*time.Second), f.now) {
			continue
		}
		switch o.Kind {
		case OrderStart:
			f.start(o)
		case OrderStop:
			f.core.HandleStopOutcome(o, OutcomeDone, f.now)
			f.end(o.Worker, EndStopped, func(r busyRun) bool { return r.order.Task == o.Task })
		}
	}
	for id := range f.core.workers {
		f.core.RecordLease(id, f.now.Add(6*time.Second))
		f.end(id, EndDone, func(r busyRun) bool { return !f.now.Before(r.endsAt) })
	}
}

func (f *busyFleet) start(o Order) {
	spec := f.core.lookupTask(o.Task).step.spec
	r := busyRun{order: o, spec: spec, endsAt: f.now.Add(24 * time.Hour)}
	if !spec.LongRunning {
		// Tasks take between half and one and a half of their estimate, so that cores become
		// free a few at a time.
		r.endsAt = f.now.Add(spec.Estimate/2 + time.Duration(f.random.Int64N(int64(spec.Estimate))))
	}
	f.runs[o.Worker] = append(f.runs[o.Worker], r)
	f.starts[o.Task.Job]++
	f.running[o.Task.Job]++
	f.core.HandleStartOutcome(o, OutcomeDone, f.now)
}

// end ends some runs on a worker, which then reports.
func (f *busyFleet) end(id unit.InstanceID, kind EndKind, ends func(busyRun) bool) {
	var running []RunStatus
	var ended []End
	var rest []busyRun
	for _, r := range f.runs[id] {
		if ends(r) {
			f.ends[id]++
			f.running[r.order.Task.Job]--
			ended = append(ended, End{Number: f.ends[id], Task: r.order.Task, Run: r.order.Run, Kind: kind})
			continue
		}
		status := RunStatus{Task: r.order.Task, Run: r.order.Run, ProgressPercent: 50, Metric: int(r.spec.Needs.Cores)}
		if r.spec.TailTarget > 0 {
			status.ProgressPercent, status.Metric = 100, f.tail
		}
		rest, running = append(rest, r), append(running, status)
	}
	f.runs[id] = rest
	f.report(id, running, ended)
	f.core.TakeFinalStates()
}

// arrive adds a job that is due now.
func (f *busyFleet) arrive(s graph.Step) {
	f.arrived++
	job := newJob(unit.JobID(fmt.Sprintf("arrived%06d", f.arrived)), s)
	job.Accepted = f.now
	f.core.AddJob(job, 0, true, f.now)
}

// timely returns how many waiting tasks of jobs that have arrived can still be of use.
func (f *busyFleet) timely() int {
	n := 0
	for _, s := range f.core.readySteps {
		if !s.occurrence.tooLate(f.now) && strings.HasPrefix(string(s.occurrence.job.spec.ID), "arrived") {
			n += len(s.waiting)
		}
	}
	return n
}

// maxTurnWait bounds the wait for a turn in a test: starvationTime of the design page, the
// longest run that has to end on a worker, and nine starts of others.
const maxTurnWait = 25 * time.Second

// TestTurnBehindArrivals guards against a task that never starts since others, which arrive for
// ever, take each core that becomes free.
func TestTurnBehindArrivals(t *testing.T) {
	reserved := func(tasks int, cores unit.Millicores) graph.Step {
		s := fillingStep(tasks, cores)
		s.Image, s.BestEffort = "", false
		return s
	}
	change := func(s graph.Step, change func(*graph.Step)) graph.Step {
		change(&s)
		return s
	}
	gang := func(s *graph.Step) { s.Gang = true }
	sameRack := func(s *graph.Step) { s.Gang, s.SameRack = true, true }
	none := func(*graph.Job) {}
	tests := []struct {
		name     string
		arriving graph.Step
		step     graph.Step // of the job that waits
		job      func(*graph.Job)
	}{
		{"wide, fills", fillingStep(1, 4000), fillingStep(1, 40000), none},
		{"wide and too late, fills", fillingStep(1, 4000), fillingStep(1, 40000), func(j *graph.Job) { j.Accepted = j.Accepted.Add(-time.Hour) }},
		{"wide and less urgent, fills", fillingStep(1, 4000), fillingStep(1, 40000), func(j *graph.Job) { j.Queue.Priority = 3 }},
		{"wide, of an organisation beyond its rate, fills", fillingStep(1, 4000), fillingStep(1, 40000), func(j *graph.Job) { j.Organisation = "beyond" }},
		{"as narrow and too late, fills", fillingStep(1, 4000), fillingStep(1, 4000), func(j *graph.Job) { j.Accepted = j.Accepted.Add(-time.Hour) }},
		{"of more cores than any worker has, fills", fillingStep(1, 4000), fillingStep(1, 90000), none},
		{"wide", reserved(1, 4000), reserved(1, 60000), none},
		{"wide and too late", reserved(1, 4000), reserved(1, 60000), func(j *graph.Job) { j.Accepted = j.Accepted.Add(-time.Hour) }},
		{"gang", reserved(1, 4000), change(reserved(3, 40000), gang), none},
		{"gang on one rack", reserved(1, 4000), change(reserved(3, 40000), sameRack), none},
		{"gang, fills", fillingStep(1, 4000), change(fillingStep(3, 40000), gang), none},
		{"gang of two members a worker", reserved(1, 4000), change(reserved(8, 30000), gang), none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBusyFleet(t, 4)
			f.core.SetOrganisations([]organisation.Organisation{{ID: "beyond", Weight: 1}})
			pass := func() {
				for f.timely() < 20 {
					f.arrive(tt.arriving)
				}
				f.step()
			}
			for range 100 {
				pass()
			}
			job := newJob("waiting", tt.step)
			job.Accepted = f.now
			tt.job(job)
			since := f.now
			f.core.AddJob(job, 0, true, f.now)
			for f.starts["waiting"] < tt.step.Count && f.now.Sub(since) < 4*maxTurnWait {
				pass()
			}
			if wait := f.now.Sub(since); f.starts["waiting"] < tt.step.Count || wait > maxTurnWait {
				t.Errorf("%d of %d tasks have started after %s, want all within %s", f.starts["waiting"], tt.step.Count, wait, maxTurnWait)
			}
		})
	}
}

// TestTurnBesideBusyServices guards against tasks that fill and never start, although the fleet
// is nearly idle, since each worker has a serving task whose tail is above the bound for
// placement and below its target.
func TestTurnBesideBusyServices(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.tail = 85
	serving := graph.Step{Count: 4, PerWorker: 1, Needs: unit.Resources{Cores: 4000}, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond}
	f.addJob("serving", serving, true)
	for range 100 {
		f.step()
	}
	since := f.now
	job := newJob("waiting", fillingStep(1, 4000))
	job.Accepted = f.now
	f.core.AddJob(job, 0, true, f.now)
	for f.starts["waiting"] == 0 && f.now.Sub(since) < 4*maxTurnWait {
		f.step()
	}
	if wait := f.now.Sub(since); f.starts["waiting"] == 0 || wait > maxTurnWait {
		t.Errorf("%d tasks have started after %s, want 1 within %s", f.starts["waiting"], wait, maxTurnWait)
	}
}

// TestTurnsOfLateJobs guards against late jobs that have nothing running, since those that were
// accepted before them take places for several of their tasks.
func TestTurnsOfLateJobs(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration // of the jobs; their objective is 2.5 s and they are of use for 7.5 s
		step graph.Step
	}{
		{"late, fills", 5 * time.Second, fillingStep(40, 8000)},
		{"too late, fills", time.Minute, fillingStep(40, 8000)},
		{"too late", time.Minute, graph.Step{Count: 40, Needs: unit.Resources{Cores: 8000, Memory: 1 << 30}, Estimate: time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const jobs = 10 // two workers have room for 16 tasks, or 18 that fill
			f := newBusyFleet(t, 2)
			idle := map[unit.JobID]time.Duration{}
			for i := range jobs {
				job := newJob(unit.JobID(fmt.Sprintf("late%d", i)), tt.step)
				job.Accepted = f.now.Add(-tt.age + time.Duration(i)*time.Millisecond)
				f.core.AddJob(job, 0, true, f.now)
				idle[job.ID] = 0
			}
			for range 200 { // all tasks take 25 s
				f.step()
				for id := range idle {
					if idle[id] += 50 * time.Millisecond; f.running[id] > 0 {
						idle[id] = 0
					}
					if idle[id] > 3*time.Second {
						t.Fatalf("%s has had nothing running for %s, with room for more tasks than jobs", id, idle[id])
					}
				}
			}
		})
	}
}

// TestShareOfTurns guards against turns of jobs that have waited for long which take most of the
// starts from those that can still be in time.
func TestShareOfTurns(t *testing.T) {
	f := newBusyFleet(t, 4)
	for i := range 40 {
		job := newJob(unit.JobID(fmt.Sprintf("late%d", i)), fillingStep(100, 4000))
		job.Accepted = f.now.Add(-time.Hour)
		f.core.AddJob(job, 0, true, f.now)
	}
	for range 1200 {
		for f.timely() < 20 {
			f.arrive(fillingStep(1, 4000))
		}
		f.step()
	}
	late, all := 0, 0
	for id, n := range f.starts {
		all += n
		if id < "arrived" || id >= "b" {
			late += n
		}
	}
	// One start of nine is a turn.
	if late == 0 || late > all/8 {
		t.Errorf("%d of %d starts are of jobs that are too late, want some and at most an eighth", late, all)
	}
}
