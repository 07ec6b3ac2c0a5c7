package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// epoch0 is the start of the tests' clock.
var epoch0 = time.Unix(1_000_000, 0)

// fixture drives a core by hand: workers answer as the test says.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newFixture(t *testing.T, epoch unit.Epoch, safe time.Duration) *fixture {
	limits := Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}
	return &fixture{t: t, core: New(limits, epoch, epoch0.Add(safe)), now: epoch0}
}

// listing returns a worker of 64 cores.
func listing(id unit.InstanceID) Listing {
	return Listing{ID: id, Service: "orders", Zone: "z1", Rack: "r1", Incarnation: 1, Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30}}
}

// workers lists workers and lets each report that nothing runs.
func (b *fixture) workers(ids ...unit.InstanceID) {
	var list []Listing
	for _, id := range ids {
		list = append(list, listing(id))
	}
	b.core.SetWorkers(list, b.now)
	b.core.ConfirmSnapshot(b.core.Snapshot())
	for _, id := range ids {
		b.report(id, nil, nil)
	}
}

// report delivers a report that was asked for just now.
func (b *fixture) report(id unit.InstanceID, running []RunStatus, ended []End) {
	b.core.HandleReport(id, Report{Incarnation: 1, RequestedAt: b.now, Running: running, Ended: ended}, b.now)
}

// after moves the clock and lets the core act.
func (b *fixture) after(d time.Duration) {
	b.now = b.now.Add(d)
	b.core.Tick(b.now)
}

// starts returns the start orders since the last call and answers them.
func (b *fixture) starts(outcome Outcome) []Order {
	b.core.placementDue = true
	b.now = b.now.Add(bestEffortInterval)
	b.core.Place(b.now)
	var starts []Order
	for _, o := range b.core.TakeOrders() {
		if o.Kind == OrderStart {
			starts = append(starts, o)
			b.core.HandleStartOutcome(o, outcome, b.now)
		}
	}
	return starts
}

// job adds a job of one step.
func (b *fixture) job(id unit.JobID, s graph.Step, fresh bool) {
	b.core.AddJob(jobOf(id, s), 0, fresh, b.now)
}

func jobOf(id unit.JobID, steps ...graph.Step) *graph.Job {
	return &graph.Job{
		ID: id, Accepted: epoch0, Steps: steps,
		Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
	}
}

var small = graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}, Estimate: time.Second}

func taskOf(id unit.JobID) graph.Task { return graph.Task{Job: id} }

// TestTakeoverKeepsBudget guards against a further start of a task whose attempts
// were used up under an earlier owner that had not ended the job yet.
func TestTakeoverKeepsBudget(t *testing.T) {
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
			b := newFixture(t, 2, 0)
			b.core.LoadProgress(map[unit.JobID]Progress{"j": {Started: true, Tasks: []TaskProgress{{Failed: tt.failed}}}}, nil, nil)
			b.workers("w1")
			b.job("j", small, false)
			if diff := cmp.Diff(tt.starts, len(b.starts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.final, b.core.TakeFinalStates()); diff != "" {
				t.Errorf("final states (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnresolvedWorkers guards against a second run of a task that still runs on a
// worker from which the new owner has not heard, also after a second takeover in
// which that worker is missing from the instance list.
func TestUnresolvedWorkers(t *testing.T) {
	tests := []struct {
		name   string
		listed []unit.InstanceID // at the second takeover
		fresh  bool              // the job was created after it
		after  time.Duration
		starts int
	}{
		{"silent worker listed", []unit.InstanceID{"w1", "w2"}, false, 0, 0},
		{"silent worker not listed", []unit.InstanceID{"w1"}, false, 0, 0},
		{"lease surely expired", []unit.InstanceID{"w1"}, false, 9 * time.Second, 1},
		{"job is newer than the owner", []unit.InstanceID{"w1"}, true, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := newFixture(t, 2, 8*time.Second)
			first.core.SetWorkers([]Listing{listing("w1"), listing("w2")}, first.now)
			first.core.AwaitReports()
			progress := first.core.Snapshot() // before any worker has reported

			b := newFixture(t, 3, 8*time.Second)
			b.core.LoadProgress(progress.Jobs, progress.KnownWorkers, progress.KnownWorkers)
			var list []Listing
			for _, id := range tt.listed {
				list = append(list, listing(id))
			}
			b.core.SetWorkers(list, b.now)
			b.core.AwaitReports()
			b.job("j", small, tt.fresh)
			b.after(tt.after)
			b.report("w1", nil, nil)
			if diff := cmp.Diff(tt.starts, len(b.starts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTrialBesideLastingRuns guards against a worker that takes no starts for as
// long as a task that lasts runs there, after one failure of its own.
func TestTrialBesideLastingRuns(t *testing.T) {
	b := newFixture(t, 1, 0)
	b.workers("w1")
	lasting := small
	lasting.LongRunning = true
	b.job("l", lasting, true)
	b.starts(OutcomeDone)
	b.report("w1", []RunStatus{{Task: taskOf("l"), Run: 1, ProgressPercent: 100}}, nil)
	b.job("j", small, true)
	b.starts(OutcomeUnhealthy)
	b.after(2 * minQuarantine)
	b.report("w1", []RunStatus{{Task: taskOf("l"), Run: 1, ProgressPercent: 100}}, nil)
	if diff := cmp.Diff(1, len(b.starts(OutcomeDone))); diff != "" {
		t.Errorf("starts after the pause (-want +got):\n%s", diff)
	}
}

// TestLostWorker guards against tasks that never start again because each order
// without an answer extends the assumed lease of their worker, and against a start
// before that lease has expired.
func TestLostWorker(t *testing.T) {
	b := newFixture(t, 1, 0)
	b.workers("w1", "w2")
	b.job("j", small, true)
	first := b.starts(OutcomeDone)
	b.core.RecordLease(first[0].Worker, b.now.Add(6*time.Second))
	for _, tt := range []struct {
		after  time.Duration
		starts int
	}{
		{5 * time.Second, 0},
		{2 * time.Second, 1},
	} {
		b.after(tt.after)
		for _, id := range []unit.InstanceID{"w1", "w2"} {
			if id != first[0].Worker {
				b.report(id, nil, nil)
			}
		}
		if diff := cmp.Diff(tt.starts, len(b.starts(OutcomeDone))); diff != "" {
			t.Errorf("starts after another %s (-want +got):\n%s", tt.after, diff)
		}
	}
}

// TestUnansweredStart guards against a second start while the first one, whose
// answer was lost, may still be carried out.
func TestUnansweredStart(t *testing.T) {
	b := newFixture(t, 1, 0)
	b.workers("w1", "w2")
	b.job("j", small, true)
	first := b.starts(OutcomeUnknown)[0]
	b.after(100 * time.Millisecond)
	b.report(first.Worker, nil, nil)
	var stops []Order
	for _, o := range b.core.TakeOrders() {
		if o.Kind != OrderStop {
			t.Fatalf("order %+v before the first start is settled", o)
		}
		stops = append(stops, o)
	}
	want := []Order{{Kind: OrderStop, Worker: first.Worker, Incarnation: 1, Task: first.Task, Run: 1, Reason: ReasonUnanswered}}
	if diff := cmp.Diff(want, stops); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	b.core.HandleStopOutcome(stops[0], OutcomeDone, b.now)
	b.after(500 * time.Millisecond)
	b.report(first.Worker, nil, nil)
	if n := len(b.starts(OutcomeDone)); n != 0 {
		t.Fatalf("%d starts while the stop may take effect", n)
	}
	b.after(time.Second)
	b.report("w1", nil, nil)
	b.report("w2", nil, nil)
	again := b.starts(OutcomeDone)
	if len(again) != 1 || again[0].Run != 2 {
		t.Errorf("starts after the stop: %+v, want run 2", again)
	}
}

// TestEndOfUnknownStart guards against an end that is acknowledged and not in the
// progress, because the owner that started the task wrote none.
func TestEndOfUnknownStart(t *testing.T) {
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
			b := newFixture(t, 2, 0)
			b.core.SetWorkers([]Listing{listing("w1")}, b.now)
			later := small
			later.After = []graph.StepIndex{0}
			b.core.AddJob(jobOf("j", small, later), 0, false, b.now)
			b.report("w1", nil, []End{{Number: 1, Task: taskOf("j"), Run: 1, Kind: tt.kind}})
			if diff := cmp.Diff(tt.want, b.core.Snapshot().Jobs["j"]); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
		})
	}
}

// TestForget guards against final states that callers can no longer ask for, and
// against an owner whose memory grows with every job it has seen.
func TestForget(t *testing.T) {
	b := newFixture(t, 1, 0)
	b.workers("w1")
	b.job("open", small, true)
	b.core.AddJob(jobOf("old", small), graph.Completed, true, b.now)
	b.after(time.Minute)
	b.core.AddJob(jobOf("new", small), graph.Completed, true, b.now)
	if diff := cmp.Diff([]unit.JobID{"old"}, b.core.RemoveFinalJobs(b.now.Add(-30*time.Second), 10)); diff != "" {
		t.Errorf("forgotten (-want +got):\n%s", diff)
	}
	for _, tt := range []struct {
		id    unit.JobID
		known bool
	}{{"open", true}, {"old", false}, {"new", true}} {
		if _, known := b.core.JobState(tt.id); known != tt.known {
			t.Errorf("job %s known: %v, want %v", tt.id, known, tt.known)
		}
	}
}

// TestAdoptedPace guards against filling runs that stand still after a takeover
// because the new owner takes their pace for full and never raises it.
func TestAdoptedPace(t *testing.T) {
	raise := []Order{{Kind: OrderPace, Worker: "w1", Incarnation: 1, Task: taskOf("j"), Run: 1, PacePercent: 100, Reason: ReasonTailBelowTarget}}
	tests := []struct {
		name   string
		figure int // millicores in use, of 4,000
		orders []Order
	}{
		{"at full speed", 3900, nil},
		{"slowed", 1800, raise},
		{"standing", 0, raise},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 2, 0)
			b.core.SetWorkers([]Listing{listing("w1")}, b.now)
			fill := small
			fill.BestEffort, fill.Checkpoints = true, true
			b.core.AddJob(jobOf("j", fill), 0, false, b.now)
			b.report("w1", []RunStatus{{Task: taskOf("j"), Run: 1, ProgressPercent: 30, Metric: tt.figure}}, nil)
			if diff := cmp.Diff(tt.orders, b.core.TakeOrders()); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPaceRepeated guards against a pace that is believed and was never set.
func TestPaceRepeated(t *testing.T) {
	b := newFixture(t, 1, 0)
	b.workers("w1")
	fill := small
	fill.BestEffort = true
	b.job("j", fill, true)
	b.starts(OutcomeDone)
	r := b.core.workers["w1"].runs[taskOf("j")]
	b.core.setPace(r, 40, ReasonTailAboveTarget, b.now)
	want := b.core.TakeOrders()
	b.core.HandlePaceOutcome(want[0], OutcomeUnknown, b.now)
	if diff := cmp.Diff(want, b.core.TakeOrders()); diff != "" {
		t.Errorf("orders after no answer (-want +got):\n%s", diff)
	}
	b.core.HandlePaceOutcome(want[0], OutcomeDone, b.now)
	if got := b.core.TakeOrders(); len(got) > 0 {
		t.Errorf("orders after the answer: %+v", got)
	}
}
