package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// answeringWorkers are the runs on workers that answer every order and heartbeat.
type answeringWorkers struct {
	fixture *fixture
	runs    map[unit.InstanceID]map[graph.Task]graph.RunNumber
}

// newAnsweringWorkers returns workers with the runs that were reported last.
func newAnsweringWorkers(f *fixture) *answeringWorkers {
	a := &answeringWorkers{fixture: f, runs: map[unit.InstanceID]map[graph.Task]graph.RunNumber{}}
	for id, w := range f.core.workers {
		a.runs[id] = map[graph.Task]graph.RunNumber{}
		for task, r := range w.runs {
			if r.reported {
				a.runs[id][task] = r.number
			}
		}
		for unknown := range w.unknownRuns {
			a.runs[id][unknown.task] = unknown.run
		}
	}
	return a
}

// roundTrip lets the workers report and execute the orders that follow.
func (a *answeringWorkers) roundTrip() {
	f := a.fixture
	f.now = f.now.Add(simRoundTrip)
	f.core.ConfirmSnapshot(f.core.Snapshot())
	for id, runs := range a.runs {
		report := Report{Incarnation: 1, RequestedAt: f.now}
		for task, number := range runs {
			report.Running = append(report.Running, RunStatus{Task: task, Run: number, ProgressPercent: 100})
		}
		f.core.HandleReport(id, report, f.now)
	}
	f.advance(0)
	for _, o := range f.core.TakeOrders() {
		if !f.core.BeginOrder(o, f.now.Add(2*time.Second), f.now) {
			continue
		}
		switch o.Kind {
		case OrderStart:
			a.runs[o.Worker][o.Task] = o.Run
			f.core.HandleStartOutcome(o, OutcomeDone, f.now)
		case OrderStop:
			f.core.HandleStopOutcome(o, OutcomeDone, f.now)
			if a.runs[o.Worker][o.Task] == o.Run {
				delete(a.runs[o.Worker], o.Task)
			}
		}
	}
}

// run reports whether a worker runs the task.
func (a *answeringWorkers) run(task graph.Task) bool {
	for _, runs := range a.runs {
		if _, ok := runs[task]; ok {
			return true
		}
	}
	return false
}

// longRunningStep is a step of one long-running task that fits several times on a worker.
var longRunningStep = graph.Step{Count: 1, LongRunning: true, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}, Estimate: time.Second}

// startLongRunning starts job l on one of the workers, which reports it, and returns the
// worker.
func (f *fixture) startLongRunning() unit.InstanceID {
	f.addJob("l", longRunningStep, true)
	id := f.takeStarts(OutcomeDone)[0].Worker
	f.report(id, []RunStatus{{Task: firstTask("l"), Run: 1, ProgressPercent: 100}}, nil)
	return id
}

// failLongRunning starts job l and lets its run fail.
func (f *fixture) failLongRunning() unit.InstanceID {
	id := f.startLongRunning()
	f.report(id, nil, []End{{Number: 1, Task: firstTask("l"), Run: 1, Kind: EndFailed}})
	return id
}

// quarantineLongest lets workers refuse starts as unhealthy until their quarantines have
// the greatest length. The last one begins now.
func (f *fixture) quarantineLongest(ids ...unit.InstanceID) {
	for range 5 {
		f.now = f.now.Add(maxQuarantine)
		for _, id := range ids {
			f.core.workers[id].health.recordRefusal(f.now)
		}
	}
}

// TestLongRunningTaskStartsAgain guards against a long-running task without a run for
// more than simMaxWait while workers answer and one of them has room for it.
func TestLongRunningTaskStartsAgain(t *testing.T) {
	type test struct {
		name    string
		workers []unit.InstanceID
		prepare func(*fixture)
	}
	tests := []test{
		{"run failed", []unit.InstanceID{"w1", "w2"}, func(f *fixture) { f.failLongRunning() }},
		{"run failed on the only worker", []unit.InstanceID{"w1"}, func(f *fixture) { f.failLongRunning() }},
		{"run failed, the other worker on trial beside a long-running task", []unit.InstanceID{"w1", "w2"}, func(f *fixture) {
			first := f.startLongRunning()
			f.core.workers[first].listing.Draining = true
			f.addJob("m", longRunningStep, true)
			other := f.takeStarts(OutcomeDone)[0].Worker
			f.report(other, []RunStatus{{Task: firstTask("m"), Run: 1, ProgressPercent: 100}}, nil)
			f.core.workers[other].health.recordRefusal(f.now)
			f.report(first, nil, []End{{Number: 1, Task: firstTask("l"), Run: 1, Kind: EndFailed}})
		}},
		{"starts not sent to workers with long-running tasks", []unit.InstanceID{"w1", "w2"}, func(f *fixture) {
			others := longRunningStep
			others.Count, others.PerWorker = 2, 1
			f.addJob("others", others, true)
			running := map[unit.InstanceID][]RunStatus{}
			for _, o := range f.takeStarts(OutcomeDone) {
				running[o.Worker] = []RunStatus{{Task: o.Task, Run: o.Run, ProgressPercent: 100}}
				f.report(o.Worker, running[o.Worker], nil)
			}
			f.addJob("l", longRunningStep, true)
			first := f.takeStarts(OutcomeDone)[0].Worker
			backlog := smallStep
			backlog.Count = 28 // fills both workers
			f.addJob("backlog", backlog, true)
			f.takeStarts(OutcomeNotSent)
			f.core.Cancel("backlog", f.now)
			f.report(first, running[first], []End{{Number: 1, Task: firstTask("l"), Run: 1, Kind: EndFailed}})
		}},
		{"runs of other jobs failed on all workers", []unit.InstanceID{"w1", "w2"}, func(f *fixture) {
			f.failLongRunning()
			for _, w := range f.core.workers {
				for _, job := range []unit.JobID{"a", "b", "c"} {
					w.health.recordFailure(job, f.now)
				}
			}
		}},
		{"all workers in the longest quarantine", []unit.InstanceID{"w1", "w2"}, func(f *fixture) {
			f.failLongRunning()
			f.quarantineLongest("w1", "w2")
		}},
		{"the only worker with room in the longest quarantine", []unit.InstanceID{"w1", "w2"}, func(f *fixture) {
			first := f.failLongRunning()
			f.quarantineLongest(first)
			for id, w := range f.core.workers {
				if id != first {
					w.listing.Capacity = unit.Resources{}
				}
			}
		}},
		{"worker silent until its lease expired", []unit.InstanceID{"w1", "w2"}, func(f *fixture) {
			id := f.startLongRunning()
			f.core.RecordLease(id, f.now.Add(6*time.Second))
			f.advance(9 * time.Second)
		}},
		{"evacuated zone taken back", []unit.InstanceID{"w1"}, func(f *fixture) {
			f.failLongRunning()
			f.core.SetEvacuatedZones(map[unit.ZoneID]bool{"z1": true})
			f.advance(time.Minute)
			f.core.SetEvacuatedZones(nil)
		}},
		{"upkeep ended", []unit.InstanceID{"w1"}, func(f *fixture) {
			f.failLongRunning()
			f.core.Vacate([]unit.InstanceID{"w1"}, f.now)
			f.advance(time.Minute)
			f.core.Vacate(nil, f.now)
		}},
		{"stop without an answer", []unit.InstanceID{"w1"}, func(f *fixture) {
			f.startLongRunning()
			f.core.stopRun(f.core.workers["w1"].runs[firstTask("l")], ReasonUpkeep)
			o := f.core.TakeOrders()[0]
			f.core.BeginOrder(o, time.Time{}, f.now)
			f.core.HandleStopOutcome(o, OutcomeUnknown, f.now)
		}},
		{"unknown run on the only worker, stop without an answer", []unit.InstanceID{"w1"}, func(f *fixture) {
			f.failLongRunning()
			f.report("w1", []RunStatus{{Task: firstTask("x"), Run: 1}}, nil)
			for _, o := range f.core.TakeOrders() {
				if f.core.BeginOrder(o, time.Time{}, f.now) {
					f.core.HandleStopOutcome(o, OutcomeUnknown, f.now)
				}
			}
		}},
		{"many urgent tasks that fit nowhere", []unit.InstanceID{"w1"}, func(f *fixture) {
			f.failLongRunning()
			large := smallStep
			large.Count, large.Needs.Cores = 100, 65000
			f.addJob("large", large, true)
		}},
		{"start budget used up by a backlog", []unit.InstanceID{"w1"}, func(f *fixture) {
			f.failLongRunning()
			f.core.startBudget.perSecond = 10 * orderOverhead
			f.core.startBudget.balance = -20 * orderOverhead
		}},
	}
	for _, outcome := range []Outcome{
		OutcomeUnknown, OutcomeNotSent, OutcomeNoCapacity, OutcomeStaleRun, OutcomeDeadlineExceeded,
		OutcomeUnhealthy, OutcomeOtherIncarnation, OutcomeInvalid,
	} {
		for _, workers := range [][]unit.InstanceID{{"w1"}, {"w1", "w2"}} {
			name := fmt.Sprintf("outcome of the start: %s, workers: %d", outcome, len(workers))
			tests = append(tests, test{name, workers, func(f *fixture) {
				f.addJob("l", longRunningStep, true)
				f.takeStarts(outcome)
			}})
		}
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers(tt.workers...)
			tt.prepare(f)
			workers := newAnsweringWorkers(f)
			start := f.now
			for f.now.Sub(start) < 4*simMaxWait && !workers.run(firstTask("l")) {
				workers.roundTrip()
			}
			if waited := f.now.Sub(start); waited > simMaxWait || !workers.run(firstTask("l")) {
				t.Errorf("no run for %s", waited)
			}
		})
	}
}

// TestStartsDuringQuarantine guards against starts that a quarantined worker would fail:
// those of tasks with a limit of attempts, those that another worker can take, and those
// that follow one another without a pause.
func TestStartsDuringQuarantine(t *testing.T) {
	shortStep := longRunningStep
	shortStep.LongRunning = false
	tests := []struct {
		name    string
		workers []unit.InstanceID // w1 is quarantined
		step    graph.Step
		after   time.Duration // since the quarantine began
		want    []unit.InstanceID
	}{
		{"short task", []unit.InstanceID{"w1"}, shortStep, 2 * trialInterval, nil},
		{"long-running task at once", []unit.InstanceID{"w1"}, longRunningStep, 0, nil},
		{"long-running task", []unit.InstanceID{"w1"}, longRunningStep, trialInterval, []unit.InstanceID{"w1"}},
		{"long-running task with another worker", []unit.InstanceID{"w1", "w2"}, longRunningStep, trialInterval, []unit.InstanceID{"w2", "w2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers(tt.workers...)
			f.quarantineLongest("w1")
			f.now = f.now.Add(tt.after)
			for _, id := range tt.workers {
				f.report(id, nil, nil)
			}
			for _, id := range []unit.JobID{"j", "k"} {
				f.addJob(id, tt.step, true)
				f.core.lookupTask(firstTask(id)).avoidedWorker = "w2"
			}
			var started []unit.InstanceID
			for _, o := range f.takeStarts(OutcomeDone) {
				started = append(started, o.Worker)
			}
			if diff := cmp.Diff(tt.want, started); diff != "" {
				t.Errorf("workers of the starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestQueuedStartOfQuarantinedWorker guards against a start that is sent to a worker
// which has refused another one since the start was ordered.
func TestQueuedStartOfQuarantinedWorker(t *testing.T) {
	tests := []struct {
		name        string
		longRunning bool
	}{{"short task", false}, {"long-running task", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			step := longRunningStep
			step.LongRunning = tt.longRunning
			f.addJob("j", step, true)
			f.advance(bestEffortInterval)
			start := f.core.TakeOrders()[0]
			f.core.workers["w1"].health.recordRefusal(f.now)
			if f.core.BeginOrder(start, time.Time{}, f.now) {
				t.Error("the start is still wanted")
			}
		})
	}
}

// TestNoPreemptionDuringQuarantine guards against a run that is stopped for a long-running
// task on a worker where the task is likely to fail.
func TestNoPreemptionDuringQuarantine(t *testing.T) {
	tests := []struct {
		name        string
		quarantined bool
		stops       int
	}{{"healthy worker", false, 1}, {"quarantined worker", true, 0}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			batch := smallStep
			batch.Needs.Cores, batch.Checkpoints = 64000, true
			low := newJob("batch", batch)
			low.Queue.Priority = 1
			f.core.AddJob(low, 0, true, f.now)
			f.takeStarts(OutcomeDone)
			if tt.quarantined {
				f.quarantineLongest("w1")
				f.now = f.now.Add(trialInterval)
			}
			f.report("w1", []RunStatus{{Task: firstTask("batch"), Run: 1, ProgressPercent: 10}}, nil)
			f.addJob("l", longRunningStep, true)
			f.now = f.now.Add(preemptInterval)
			f.core.Place(f.now)
			if diff := cmp.Diff(tt.stops, len(f.core.TakeOrders())); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}
