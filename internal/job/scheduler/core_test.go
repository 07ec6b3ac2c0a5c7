package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// startTime is the initial time of the test clock.
var startTime = time.Unix(1_000_000, 0)

// fixture drives a core with a manual clock and scripted answers of workers.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Time
}

// newFixture returns a core of the given epoch. Leases of earlier owners expire after
// leasesExpireIn.
func newFixture(t *testing.T, epoch unit.Epoch, leasesExpireIn time.Duration) *fixture {
	limits := Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}
	return &fixture{t: t, core: New(limits, epoch, startTime.Add(leasesExpireIn)), now: startTime}
}

// newListing returns the listing of a worker with 64 cores.
func newListing(id unit.InstanceID) Listing {
	return Listing{ID: id, Service: "orders", Zone: "z1", Rack: "r1", Incarnation: 1, Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30}}
}

// listWorkers sets the listed workers and lets each report that nothing runs there.
func (f *fixture) listWorkers(ids ...unit.InstanceID) {
	var list []Listing
	for _, id := range ids {
		list = append(list, newListing(id))
	}
	f.listMany(list)
}

// listMany is like listWorkers with the given listings.
func (f *fixture) listMany(list []Listing) {
	f.core.SetWorkers(list, f.now)
	f.core.ConfirmSnapshot(f.core.Snapshot())
	for _, l := range list {
		f.report(l.ID, nil, nil)
	}
}

// report delivers a report that was requested at the current time.
func (f *fixture) report(id unit.InstanceID, running []RunStatus, ended []End) {
	f.core.HandleReport(id, Report{Incarnation: 1, RequestedAt: f.now, Running: running, Ended: ended}, f.now)
}

// advance moves the clock and calls Tick and Place.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.core.Tick(f.now)
	f.core.Place(f.now)
}

// takeStarts runs a placement pass, answers all pending start orders with the outcome
// and returns them. Other orders are dropped.
func (f *fixture) takeStarts(outcome Outcome) []Order {
	f.core.placementDue = true
	f.now = f.now.Add(bestEffortInterval)
	f.core.Place(f.now)
	var starts []Order
	for _, o := range f.core.TakeOrders() {
		if o.Kind == OrderStart && f.core.BeginOrder(o, time.Time{}, f.now) {
			starts = append(starts, o)
			f.core.HandleStartOutcome(o, outcome, f.now)
		}
	}
	return starts
}

// addJob adds an open job with one step.
func (f *fixture) addJob(id unit.JobID, s graph.Step, createdInTerm bool) {
	f.core.AddJob(newJob(id, s), 0, createdInTerm, f.now)
}

// newJob returns a job of queue quotes with the given steps, accepted at startTime.
func newJob(id unit.JobID, steps ...graph.Step) *graph.Job {
	return &graph.Job{
		ID: id, Accepted: startTime, Steps: steps,
		Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
	}
}

// smallStep is a step of one short task that fits many times on a worker.
var smallStep = graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}, Estimate: time.Second}

// firstTask returns the id of the first task of a job.
func firstTask(id unit.JobID) graph.Task { return graph.Task{Job: id} }

// TestTakeoverKeepsAttemptLimit guards against another start of a task that had used
// up its attempts under an earlier owner, which had not yet failed the job.
func TestTakeoverKeepsAttemptLimit(t *testing.T) {
	tests := []struct {
		name   string
		failed []graph.RunNumber
		starts int
		final  []FinalState
	}{
		{"no failed run", nil, 1, nil},
		{"one attempt left", []graph.RunNumber{1}, 1, nil},
		{"no attempt left", []graph.RunNumber{1, 2}, 0, []FinalState{
			{Job: "j", State: graph.Failed, Cause: "a task failed as often as its queue allows"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.core.LoadProgress(map[unit.JobID]Progress{"j": {Started: true, Tasks: []TaskProgress{{Failed: tt.failed}}}}, nil, nil)
			f.listWorkers("w1")
			f.addJob("j", smallStep, false)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.final, f.core.TakeFinalStates()); diff != "" {
				t.Errorf("final states (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnresolvedWorkers guards against a second run of a task that still runs on a
// worker which has not reported to the new owner. This includes a second takeover
// at which that worker is missing from the instance list.
func TestUnresolvedWorkers(t *testing.T) {
	tests := []struct {
		name          string
		listed        []unit.InstanceID // at the second takeover
		createdInTerm bool              // the job was created after the second takeover
		after         time.Duration
		starts        int
	}{
		{"silent worker listed", []unit.InstanceID{"w1", "w2"}, false, 0, 0},
		{"silent worker not listed", []unit.InstanceID{"w1"}, false, 0, 0},
		{"lease certainly expired", []unit.InstanceID{"w1"}, false, 9 * time.Second, 1},
		{"job is newer than the owner", []unit.InstanceID{"w1"}, true, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := newFixture(t, 2, 8*time.Second)
			first.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, first.now)
			first.core.AwaitReports()
			progress := first.core.Snapshot() // before any worker has reported

			f := newFixture(t, 3, 8*time.Second)
			f.core.LoadProgress(progress.Jobs, progress.KnownWorkers, progress.KnownWorkers)
			var list []Listing
			for _, id := range tt.listed {
				list = append(list, newListing(id))
			}
			f.core.SetWorkers(list, f.now)
			f.core.AwaitReports()
			f.addJob("j", smallStep, tt.createdInTerm)
			f.advance(tt.after)
			f.report("w1", nil, nil)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTrialBesideLongRunningTask guards against a worker that gets no starts after a
// quarantine for as long as a long-running task, which never ends as done, runs there.
func TestTrialBesideLongRunningTask(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	longRunning := smallStep
	longRunning.LongRunning = true
	f.addJob("l", longRunning, true)
	f.takeStarts(OutcomeDone)
	f.report("w1", []RunStatus{{Task: firstTask("l"), Run: 1, ProgressPercent: 100}}, nil)
	f.addJob("j", smallStep, true)
	f.takeStarts(OutcomeUnhealthy)
	f.advance(2 * minQuarantine)
	f.report("w1", []RunStatus{{Task: firstTask("l"), Run: 1, ProgressPercent: 100}}, nil)
	if diff := cmp.Diff(1, len(f.takeStarts(OutcomeDone))); diff != "" {
		t.Errorf("starts after the quarantine (-want +got):\n%s", diff)
	}
}

// TestExpiredLease guards against tasks of a lost worker that never start again because
// unanswered orders keep extending its assumed lease, and against a start elsewhere
// before that lease has expired.
func TestExpiredLease(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1", "w2")
	f.addJob("j", smallStep, true)
	first := f.takeStarts(OutcomeDone)
	f.core.RecordLease(first[0].Worker, f.now.Add(6*time.Second))
	for _, tt := range []struct {
		after  time.Duration
		starts int
	}{
		{5 * time.Second, 0},
		{2 * time.Second, 1},
	} {
		f.advance(tt.after)
		for _, id := range []unit.InstanceID{"w1", "w2"} {
			if id != first[0].Worker {
				f.report(id, nil, nil)
			}
		}
		if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
			t.Errorf("starts after another %s (-want +got):\n%s", tt.after, diff)
		}
	}
}

// TestUnansweredStart guards against a second start of a task while an earlier start
// without an answer may still be executed.
func TestUnansweredStart(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1", "w2")
	f.addJob("j", smallStep, true)
	first := f.takeStarts(OutcomeUnknown)[0]
	f.advance(100 * time.Millisecond)
	f.report(first.Worker, nil, nil)
	var stops []Order
	for _, o := range f.core.TakeOrders() {
		if o.Kind != OrderStop {
			t.Fatalf("order %+v before the outcome of the first start is known", o)
		}
		stops = append(stops, o)
	}
	want := []Order{{Kind: OrderStop, Worker: first.Worker, Incarnation: 1, Task: first.Task, Run: 1, Reason: ReasonUnanswered}}
	if diff := cmp.Diff(want, stops); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	f.core.HandleStopOutcome(stops[0], OutcomeDone, f.now)
	f.advance(500 * time.Millisecond)
	f.report(first.Worker, nil, nil)
	if n := len(f.takeStarts(OutcomeDone)); n != 0 {
		t.Fatalf("%d starts while the stop may still be in progress", n)
	}
	f.advance(time.Second)
	f.report("w1", nil, nil)
	f.report("w2", nil, nil)
	again := f.takeStarts(OutcomeDone)
	if len(again) != 1 || again[0].Run != 2 {
		t.Errorf("starts after the stop: %+v, want run 2", again)
	}
}

// TestEndOfUnrecordedStart guards against an end that is acknowledged but missing from
// the progress, because the owner that started the task wrote no progress for it.
func TestEndOfUnrecordedStart(t *testing.T) {
	tests := []struct {
		name string
		kind EndKind
		want Progress
	}{
		{"done", EndDone, Progress{Started: true, Tasks: []TaskProgress{{Done: true}}}},
		{"failed", EndFailed, Progress{Started: true, Tasks: []TaskProgress{{Failed: []graph.RunNumber{1}}}}},
		{"stopped", EndStopped, Progress{Started: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.core.SetWorkers([]Listing{newListing("w1")}, f.now)
			later := smallStep
			later.After = []graph.StepIndex{0}
			f.core.AddJob(newJob("j", smallStep, later), 0, false, f.now)
			f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: tt.kind}})
			if diff := cmp.Diff(tt.want, f.core.Snapshot().Jobs["j"]); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRemoveFinalJobs guards against final states that are removed before callers can
// ask for them, and against memory that grows with every job ever seen.
func TestRemoveFinalJobs(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.addJob("open", smallStep, true)
	f.core.AddJob(newJob("old", smallStep), graph.Completed, true, f.now)
	f.advance(time.Minute)
	f.core.AddJob(newJob("new", smallStep), graph.Completed, true, f.now)
	if diff := cmp.Diff([]unit.JobID{"old"}, f.core.RemoveFinalJobs(f.now.Add(-30*time.Second), 10)); diff != "" {
		t.Errorf("removed jobs (-want +got):\n%s", diff)
	}
	for _, tt := range []struct {
		id    unit.JobID
		known bool
	}{{"open", true}, {"old", false}, {"new", true}} {
		if _, known := f.core.JobState(tt.id); known != tt.known {
			t.Errorf("job %s known: %v, want %v", tt.id, known, tt.known)
		}
	}
}

// TestAdoptedPace guards against best-effort runs that stay slowed after a takeover
// because the new owner assumes full pace and never restores it.
func TestAdoptedPace(t *testing.T) {
	raise := []Order{{Kind: OrderPace, Worker: "w1", Incarnation: 1, Task: firstTask("j"), Run: 1, PacePercent: 100, Reason: ReasonTailBelowTarget}}
	tests := []struct {
		name   string
		metric int // millicores in use, of 4,000
		orders []Order
	}{
		{"at full speed", 3900, nil},
		{"slowed", 1800, raise},
		{"standing", 0, raise},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.core.SetWorkers([]Listing{newListing("w1")}, f.now)
			bestEffort := smallStep
			bestEffort.BestEffort, bestEffort.Checkpoints = true, true
			f.core.AddJob(newJob("j", bestEffort), 0, false, f.now)
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: 30, Metric: tt.metric}}, nil)
			if diff := cmp.Diff(tt.orders, f.core.TakeOrders()); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnansweredPaceIsRepeated guards against a pace that the core assumes but the
// worker never received.
func TestUnansweredPaceIsRepeated(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	bestEffort := smallStep
	bestEffort.BestEffort = true
	f.addJob("j", bestEffort, true)
	f.takeStarts(OutcomeDone)
	r := f.core.workers["w1"].runs[firstTask("j")]
	f.core.setPace(r, 40, ReasonTailAboveTarget, f.now)
	first := f.core.TakeOrders()[0]
	f.core.HandlePaceOutcome(first, OutcomeUnknown, f.now)
	if got := f.core.TakeOrders(); len(got) > 0 {
		t.Errorf("orders before a report or orderRepeatDelay: %+v", got)
	}
	f.advance(orderRepeatDelay)
	again := first
	again.Reason = ReasonRepeated
	if diff := cmp.Diff([]Order{again}, f.core.TakeOrders()); diff != "" {
		t.Errorf("orders after an unknown outcome (-want +got):\n%s", diff)
	}
	f.core.HandlePaceOutcome(again, OutcomeDone, f.now)
	f.advance(2 * orderRepeatDelay)
	if got := f.core.TakeOrders(); len(got) > 0 {
		t.Errorf("orders after the answer: %+v", got)
	}
}
