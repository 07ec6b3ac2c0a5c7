package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// addJobOf adds an open job of an organisation with one step.
func (f *fixture) addJobOf(org unit.OrganisationID, id unit.JobID, s graph.Step, createdInTerm bool) {
	j := newJob(id, s)
	j.Organisation = org
	f.core.AddJob(j, 0, createdInTerm, f.now)
}

// setCaps gives organisations caps of cores, with weights for any number of jobs.
func (f *fixture) setCaps(caps map[unit.OrganisationID]unit.Millicores) {
	var list []organisation.Organisation
	for id, cores := range caps {
		list = append(list, organisation.Organisation{ID: id, Weight: 1000, Cap: unit.Resources{Cores: cores}})
	}
	f.core.SetOrganisations(list)
}

// jobsOf returns the jobs of orders, in their order.
func jobsOf(orders []Order) []unit.JobID {
	var ids []unit.JobID
	for _, o := range orders {
		ids = append(ids, o.Task.Job)
	}
	return ids
}

// TestQuota guards against starts beyond the cap of an organisation, and against a cap that
// holds back what it does not limit.
func TestQuota(t *testing.T) {
	four := graph.Step{Count: 4, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}, Estimate: time.Second}
	kind := func(change func(*graph.Step)) graph.Step {
		s := four
		change(&s)
		return s
	}
	tests := []struct {
		name   string
		limit  unit.Resources
		step   graph.Step
		known  bool // the configuration has been read
		held   bool // it is too old
		starts int
	}{
		{"no cap", unit.Resources{}, four, true, false, 4},
		{"cores", unit.Resources{Cores: 8000}, four, true, false, 2},
		{"memory", unit.Resources{Cores: 80000, Memory: 3 << 30}, four, true, false, 3},
		{"accelerators", unit.Resources{Accelerators: 1}, kind(func(s *graph.Step) { s.Needs.Accelerators = 1 }), true, false, 1},
		{"accelerators that are not needed", unit.Resources{Accelerators: 1}, four, true, false, 4},
		{"negative cap", unit.Resources{Cores: -1}, four, true, false, 0},
		{"best-effort tasks count with their cores", unit.Resources{Cores: 8000}, kind(func(s *graph.Step) { s.BestEffort = true }), true, false, 2},
		{"long-running", unit.Resources{Cores: 4000}, kind(func(s *graph.Step) { s.LongRunning = true }), true, false, 1},
		{"gang that fits", unit.Resources{Cores: 16000}, kind(func(s *graph.Step) { s.Gang = true }), true, false, 4},
		{"gang of which a part fits", unit.Resources{Cores: 15999}, kind(func(s *graph.Step) { s.Gang = true }), true, false, 0},
		{"configuration too old, with a cap", unit.Resources{Cores: 8000}, four, true, true, 0},
		{"configuration too old, without a cap", unit.Resources{}, four, true, true, 4},
		{"configuration never read", unit.Resources{}, four, false, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			list := newListing("w1")
			list.Capacity.Accelerators = 4
			f.listMany([]Listing{list})
			if tt.known {
				f.core.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: 100, Cap: tt.limit}})
			}
			f.core.HoldCapped(tt.held)
			f.addJobOf("a", "j", tt.step, true)
			starts := f.takeStarts(OutcomeDone)
			if diff := cmp.Diff(tt.starts, len(starts)); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			for _, o := range starts {
				if capped := tt.limit != (unit.Resources{}); o.Capped != capped {
					t.Errorf("start is marked as capped: %v, want %v", o.Capped, capped)
				}
			}
		})
	}
}

// TestQuotaUse guards against use that is given back while a run may go on, which lets an
// organisation exceed its cap, and against use that is never given back, which starves it.
// The cap has room for one task, which has started; another one waits.
func TestQuotaUse(t *testing.T) {
	running := func(run graph.RunNumber) []RunStatus {
		return []RunStatus{{Task: firstTask("j1"), Run: run, ProgressPercent: 10}}
	}
	ended := func(kind EndKind) func(*fixture, Order) {
		return func(f *fixture, o Order) {
			f.report("w1", nil, []End{{Number: 1, Task: o.Task, Run: o.Run, Kind: kind}})
		}
	}
	tests := []struct {
		name   string
		first  Outcome // of the first start
		then   func(f *fixture, o Order)
		starts []unit.JobID
	}{
		{"runs", OutcomeDone, func(f *fixture, o Order) { f.report("w1", running(o.Run), nil) }, nil},
		{"ended as done", OutcomeDone, ended(EndDone), []unit.JobID{"j2"}},
		{"ended with its lease", OutcomeDone, ended(EndLeaseExpired), []unit.JobID{"j1"}},
		{"start not sent", OutcomeNotSent, func(*fixture, Order) {}, []unit.JobID{"j2"}},
		{"start without an answer", OutcomeUnknown, func(*fixture, Order) {}, nil},
		{"start without an answer, run is absent, stop is not confirmed", OutcomeUnknown, func(f *fixture, _ Order) { f.report("w1", nil, nil) }, nil},
		{"cancelled, not stopped yet", OutcomeDone, func(f *fixture, o Order) {
			f.core.Cancel("j1", f.now)
			f.report("w1", running(o.Run), nil)
		}, nil},
		{"cancelled and stopped", OutcomeDone, func(f *fixture, o Order) {
			f.core.Cancel("j1", f.now)
			ended(EndStopped)(f, o)
		}, []unit.JobID{"j2"}},
		{"another run of the task is reported", OutcomeDone, func(f *fixture, o Order) {
			ended(EndDone)(f, o)
			f.report("w2", running(o.Run), nil)
		}, nil},
		{"another run of the task was reported and is gone", OutcomeDone, func(f *fixture, o Order) {
			ended(EndDone)(f, o)
			f.report("w2", running(o.Run), nil)
			f.now = f.now.Add(time.Millisecond)
			f.report("w2", nil, nil)
		}, []unit.JobID{"j2"}},
		{"another run of the task was reported by a worker that has restarted", OutcomeDone, func(f *fixture, o Order) {
			ended(EndDone)(f, o)
			f.report("w2", running(o.Run), nil)
			restarted := newListing("w2")
			restarted.Incarnation = 2
			f.core.SetWorkers([]Listing{newListing("w1"), restarted}, f.now)
		}, []unit.JobID{"j2"}},
		{"another run of the task was reported by a worker that has left", OutcomeDone, func(f *fixture, o Order) {
			ended(EndDone)(f, o)
			f.report("w2", running(o.Run), nil)
			f.core.SetWorkers([]Listing{newListing("w1")}, f.now)
		}, []unit.JobID{"j2"}},
		{"another run of the task was reported by a worker whose lease has expired", OutcomeDone, func(f *fixture, o Order) {
			ended(EndDone)(f, o)
			f.report("w2", running(o.Run), nil)
			f.core.RecordLease("w2", f.now.Add(time.Second))
			f.advance(2 * time.Second)
		}, []unit.JobID{"j2"}},
		{"worker restarted", OutcomeDone, func(f *fixture, o Order) {
			f.report("w1", running(o.Run), nil)
			f.core.HandleReport("w1", Report{Incarnation: 2, RequestedAt: f.now}, f.now)
		}, []unit.JobID{"j1"}},
		{"lease of the worker expired", OutcomeDone, func(f *fixture, _ Order) {
			f.core.RecordLease("w1", f.now.Add(time.Second))
			f.advance(2 * time.Second)
		}, []unit.JobID{"j1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 4000})
			f.addJobOf("a", "j1", smallStep, true)
			starts := f.takeStarts(tt.first)
			if len(starts) != 1 {
				t.Fatalf("%d starts, want 1", len(starts))
			}
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.report("w2", nil, nil)
			f.addJobOf("a", "j2", smallStep, true)
			f.now = f.now.Add(10 * time.Millisecond)
			tt.then(f, starts[0])
			f.now = f.now.Add(time.Millisecond)
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2"), newListing("w3")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.report("w3", nil, nil)
			got := jobsOf(f.takeStarts(OutcomeDone))
			slices.Sort(got)
			if diff := cmp.Diff(tt.starts, got); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestQuotaAfterTakeover guards against a new owner that starts tasks beyond the cap while
// tasks that an earlier owner has started run on workers which have not reported, and
// against one that waits for what cannot run any more.
func TestQuotaAfterTakeover(t *testing.T) {
	old := func(f *fixture) { f.addJobOf("a", "old", smallStep, false) }
	tests := []struct {
		name       string
		unresolved []unit.InstanceID
		progress   map[unit.JobID]Progress
		jobs       func(f *fixture)
		then       func(f *fixture)
		starts     []unit.JobID
	}{
		{"all workers have reported", nil, nil, old, nil, []unit.JobID{"old"}},
		{"may run on a silent worker", []unit.InstanceID{"w2"}, nil, old, nil, nil},
		{"may run in a step that is not ready", []unit.InstanceID{"w2"}, nil, func(f *fixture) {
			later := smallStep
			later.After = []graph.StepIndex{0}
			j := newJob("old", graph.Step{Count: 1}, later)
			j.Organisation = "a"
			f.core.AddJob(j, 0, false, f.now)
		}, nil, nil},
		{"has no run by the record of a hand-over", []unit.InstanceID{"w2"}, map[unit.JobID]Progress{"old": {Opened: 1}}, old, nil, []unit.JobID{"old"}},
		{"has a run by the record of a hand-over", []unit.InstanceID{"w2"},
			map[unit.JobID]Progress{"old": {Opened: 1, Placed: []TaskRange{{Count: 1}}}}, old, nil, nil},
		{"was cancelled by the record", []unit.InstanceID{"w2"}, nil, func(f *fixture) {
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Cancelled, false, f.now)
		}, nil, nil},
		{"was cancelled by the record, and the silent worker was closed without it", []unit.InstanceID{"w2"}, nil, func(f *fixture) {
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Cancelled, false, f.now)
			f.core.LoadClosed([]ClosedWorker{{Worker: "w2"}})
		}, nil, []unit.JobID{"new"}},
		{"was cancelled by the record, and the silent worker was closed with it", []unit.InstanceID{"w2"}, nil, func(f *fixture) {
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Cancelled, false, f.now)
			f.core.LoadClosed([]ClosedWorker{{Worker: "w2", Tasks: rangesByJob([]graph.Task{firstTask("old")})}})
		}, nil, nil},
		{"was completed by the record", []unit.InstanceID{"w2"}, nil, func(f *fixture) {
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Completed, false, f.now)
		}, nil, []unit.JobID{"new"}},
		{"is cancelled now", []unit.InstanceID{"w2"}, nil, old, func(f *fixture) { f.core.Cancel("old", f.now) }, nil},
		{"is of another organisation", []unit.InstanceID{"w2"}, nil, func(f *fixture) { f.addJobOf("b", "old", smallStep, false) }, nil, []unit.JobID{"new"}},
		{"worker reports without it", []unit.InstanceID{"w2"}, nil, old, func(f *fixture) { f.report("w2", nil, nil) }, []unit.JobID{"old"}},
		{"worker reports it", []unit.InstanceID{"w2"}, nil, old, func(f *fixture) {
			f.report("w2", []RunStatus{{Task: firstTask("old"), Run: 1}}, nil)
		}, nil},
		{"its worker reports it, and that it was cancelled is known", []unit.InstanceID{"w2"}, nil, old, func(f *fixture) {
			f.core.Cancel("old", f.now)
			f.report("w2", []RunStatus{{Task: firstTask("old"), Run: 1}}, nil)
		}, nil},
		{"worker reports a run of unknown size", []unit.InstanceID{"w2"}, nil, func(f *fixture) {
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Cancelled, false, f.now)
		}, func(f *fixture) {
			f.report("w2", []RunStatus{{Task: firstTask("old"), Run: 1}}, nil)
		}, nil},
		{"its job is read after the report", []unit.InstanceID{"w2"}, nil, func(*fixture) {}, func(f *fixture) {
			f.report("w2", []RunStatus{{Task: firstTask("old"), Run: 1}}, nil)
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Cancelled, false, f.now)
		}, nil},
		{"leases of earlier owners have expired", []unit.InstanceID{"w2"}, nil, old, func(f *fixture) { f.advance(16 * time.Second) }, []unit.JobID{"old"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 9*time.Second)
			f.core.LoadProgress(tt.progress, nil, tt.unresolved)
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 4000})
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			tt.jobs(f)
			f.addJobOf("a", "new", smallStep, true)
			if tt.then != nil {
				tt.then(f)
			}
			f.report("w1", nil, nil)
			if diff := cmp.Diff(tt.starts, jobsOf(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestChangedCap guards against a start that is sent after the cap was lowered, and against
// tasks that wait on after it was raised or its organisation was removed.
func TestChangedCap(t *testing.T) {
	tests := []struct {
		name   string
		before unit.Millicores
		after  map[unit.OrganisationID]unit.Millicores
		sent   int // of the starts that were placed before the change
		starts int // afterwards
	}{
		{"lowered", 8000, map[unit.OrganisationID]unit.Millicores{"a": 4000}, 1, 0},
		{"lowered to nothing", 8000, map[unit.OrganisationID]unit.Millicores{"a": -1}, 0, 0},
		{"raised", 8000, map[unit.OrganisationID]unit.Millicores{"a": 12000}, 2, 1},
		{"no limit", 8000, map[unit.OrganisationID]unit.Millicores{"a": 0}, 2, 2},
		{"organisation removed", 8000, nil, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": tt.before})
			step := smallStep
			step.Count = 4
			f.addJobOf("a", "j", step, true)
			f.advance(bestEffortInterval)
			placed := f.core.TakeOrders()
			f.setCaps(tt.after)
			sent := 0
			for _, o := range placed {
				if f.core.BeginOrder(o, f.now.Add(time.Second), f.now) {
					sent++
					f.core.HandleStartOutcome(o, OutcomeDone, f.now)
				}
			}
			if diff := cmp.Diff(tt.sent, sent); diff != "" {
				t.Errorf("sent (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts afterwards (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateKnowledge guards against a start that is sent although the owner has learned since
// it was placed that more of the organisation runs, or may run.
func TestLateKnowledge(t *testing.T) {
	tests := []struct {
		name   string
		learn  func(f *fixture)
		wanted bool
	}{
		{"nothing", func(*fixture) {}, true},
		{"a worker reports nothing", func(f *fixture) { f.report("w3", nil, nil) }, true},
		{"the record of a job that may run", func(f *fixture) { f.addJobOf("a", "old", smallStep, false) }, false},
		{"the record of a job of another organisation", func(f *fixture) { f.addJobOf("b", "old", smallStep, false) }, true},
		{"a run that no task needs", func(f *fixture) {
			f.core.AddJob(&graph.Job{ID: "old", Organisation: "a"}, graph.Completed, false, f.now)
			f.report("w3", []RunStatus{{Task: firstTask("old"), Run: 1}}, nil)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 9*time.Second)
			f.core.LoadProgress(nil, nil, []unit.InstanceID{"w2", "w3"})
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 4000})
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2"), newListing("w3")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.report("w1", nil, nil)
			f.addJobOf("a", "new", smallStep, true)
			f.advance(bestEffortInterval)
			placed := f.core.TakeOrders()
			if len(placed) != 1 {
				t.Fatalf("%d orders, want 1", len(placed))
			}
			tt.learn(f)
			if diff := cmp.Diff(tt.wanted, f.core.BeginOrder(placed[0], f.now.Add(time.Second), f.now)); diff != "" {
				t.Errorf("wanted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEarlyRunCountsOnce guards against a run that counts twice, as a worker has reported it
// before the record of its job was read.
func TestEarlyRunCountsOnce(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.listWorkers("w1")
	f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 8000})
	f.now = f.now.Add(time.Millisecond)
	f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1}}, nil)
	f.addJobOf("a", "j", smallStep, false)
	if diff := cmp.Diff(smallStep.Needs, f.core.organisations.accounts["a"].Running); diff != "" {
		t.Errorf("running (-want +got):\n%s", diff)
	}
}
