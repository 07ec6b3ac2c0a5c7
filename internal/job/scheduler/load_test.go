package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/admission"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// halfStep is a step of one task of 10 s that takes half of a worker.
var halfStep = graph.Step{Count: 1, Needs: unit.Resources{Cores: 32000, Memory: 1 << 30}, Estimate: 10 * time.Second}

// with returns a changed copy of a step.
func with(s graph.Step, change func(*graph.Step)) graph.Step {
	change(&s)
	return s
}

// sampleLoad lets the workers report at intervals of 200 ms for d and returns the last of
// the loads that are computed then.
func (f *fixture) sampleLoad(d time.Duration, workers ...unit.InstanceID) overload.Load {
	var load overload.Load
	for range d / (200 * time.Millisecond) {
		for _, id := range workers {
			var running []RunStatus
			for task, r := range f.core.workers[id].runs {
				running = append(running, RunStatus{Task: task, Run: r.number})
			}
			f.report(id, running, nil)
		}
		f.advance(200 * time.Millisecond)
		f.takeStarts(OutcomeDone)
		load = f.core.Load(f.now)
	}
	return load
}

// TestLoadShort guards against rejections while tasks wait for another reason than capacity,
// or only for a moment, and against a full pool that does not count as short.
func TestLoadShort(t *testing.T) {
	two := []unit.InstanceID{"w1", "w2"}
	tests := []struct {
		name   string
		steps  []graph.Step // of one job each; four half steps fill the workers
		silent bool         // the workers report no more
		lasts  time.Duration
		want   bool
	}{
		{"full, nothing waits", []graph.Step{halfStep, halfStep, halfStep, halfStep}, false, 3 * time.Second, false},
		{"one task waits", []graph.Step{halfStep, halfStep, halfStep, halfStep, halfStep}, false, 3 * time.Second, true},
		{"one task waits, for a moment", []graph.Step{halfStep, halfStep, halfStep, halfStep, halfStep}, false, 600 * time.Millisecond, false},
		{"long-running tasks wait", []graph.Step{halfStep, halfStep, halfStep, halfStep, with(halfStep, func(s *graph.Step) { s.LongRunning = true })}, false, 3 * time.Second, true},
		{"fits no worker", []graph.Step{with(halfStep, func(s *graph.Step) { s.Needs.Cores = 100_000 })}, false, 3 * time.Second, false},
		{"label that no worker has", []graph.Step{with(halfStep, func(s *graph.Step) { s.Label = "ssd" })}, false, 3 * time.Second, false},
		{"workers not reached", []graph.Step{halfStep, halfStep, halfStep, halfStep, halfStep}, true, 5 * time.Second, false},
		{"best-effort tasks wait", []graph.Step{with(halfStep, func(s *graph.Step) { s.BestEffort, s.Count = true, 9 })}, false, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.listWorkers(two...)
			for i, s := range tt.steps {
				f.addJob(unit.JobID(fmt.Sprint(i)), s, true)
			}
			reporting := two
			if tt.silent {
				reporting = nil
			}
			load := f.sampleLoad(tt.lasts, reporting...)
			if diff := cmp.Diff(tt.want, load.Short); diff != "" {
				t.Errorf("short of capacity (-want +got):\n%s", diff)
			}
		})
	}
}

// TestShortage guards against a shortage that ends with each free place until the next task
// starts there, and against one that is made of samples long apart.
func TestShortage(t *testing.T) {
	tests := []struct {
		name    string
		samples string // each 200 ms: tasks find no place (x) or one (.), or no sample ( )
		want    bool
	}{
		{"lasts", "xxxxxx", true},
		{"begins", "..xxx", false},
		{"place for a moment", "xxx.xx", true},
		{"places for longer", "xxxx...xx", false},
		{"ends", "xxxxxx...", false},
		{"samples long apart", "x           x", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			short := false
			for _, sample := range tt.samples {
				f.now = f.now.Add(200 * time.Millisecond)
				if sample != ' ' {
					short = f.core.updateShortage(poolKey{service: "orders"}, sample == 'x', f.now)
				}
			}
			if diff := cmp.Diff(tt.want, short); diff != "" {
				t.Errorf("short of capacity (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadWork guards against jobs that are rejected because of work that does not go before
// them, or that may be far less than declared.
func TestLoadWork(t *testing.T) {
	tests := []struct {
		name          string
		step          graph.Step // that waits
		late          bool       // by more than three times its allowed time
		createdInTerm bool
		want          []overload.WaitingWork
	}{
		{"waits", halfStep, false, true, []overload.WaitingWork{{Work: 320 * time.Second, MinWork: 24615 * time.Millisecond}}},
		{"too late to be of use", halfStep, true, true, nil},
		{"may run already", halfStep, false, false, nil},
		{"long-running", with(halfStep, func(s *graph.Step) { s.LongRunning = true }), false, true, nil},
		{"for some of the workers", with(halfStep, func(s *graph.Step) { s.Rack = "r2" }), false, true, nil},
		{"gang", with(halfStep, func(s *graph.Step) { s.Gang = true }), false, true, nil},
		{"needs accelerators", with(halfStep, func(s *graph.Step) { s.Needs.Accelerators = 1 }), false, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, time.Hour)
			f.listWorkers("w1", "w2")
			f.core.unresolved["w3"] = inheritedLease{expiresAt: f.now.Add(time.Hour)}
			f.core.AddJob(newJob("full", with(halfStep, func(s *graph.Step) { s.Count = 4 })), 0, true, f.now)
			f.takeStarts(OutcomeDone)
			f.addJob("j", tt.step, tt.createdInTerm)
			if tt.late {
				f.now = f.now.Add(time.Minute)
			}
			pool, _ := f.core.poolLoad(poolKey{"orders", false}, f.now)
			for i := range pool.Waiting {
				pool.Waiting[i].MinWork = pool.Waiting[i].MinWork.Round(time.Millisecond)
			}
			if diff := cmp.Diff(tt.want, pool.Waiting); diff != "" {
				t.Errorf("waiting work (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]unit.Millicores{0, 128_000, 128_000}, []unit.Millicores{pool.Free, pool.Total, pool.Completing}); !tt.late && diff != "" {
				t.Errorf("free and total cores, and those of ending runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadOfOrganisations guards against jobs that are rejected because of work that waits for
// the cap or the rate of its own organisation, which need not go before them.
func TestLoadOfOrganisations(t *testing.T) {
	type result struct {
		Waiting []overload.WaitingWork
		Short   bool // no place is found at present
	}
	work, least := 320*time.Second, 24615*time.Millisecond
	tests := []struct {
		name   string
		weight float64
		cap    unit.Millicores
		want   result
	}{
		{"no cap", 10, 0, result{[]overload.WaitingWork{{Work: work, MinWork: least}}, true}},
		{"cap of the whole capacity", 10, 128_000, result{[]overload.WaitingWork{{Work: work, MinWork: least}}, true}},
		{"cap of half the capacity", 10, 64_000, result{[]overload.WaitingWork{{Work: work}}, true}},
		{"held by the cap", 10, 1000, result{[]overload.WaitingWork{{Work: work}}, false}},
		{"beyond the rate", 0.01, 0, result{nil, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.listWorkers("w1", "w2")
			f.core.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: tt.weight, Cap: unit.Resources{Cores: tt.cap}}})
			f.core.AddJob(newJob("full", with(halfStep, func(s *graph.Step) { s.Count = 4 })), 0, true, f.now)
			f.takeStarts(OutcomeDone)
			for _, id := range []unit.JobID{"done", "j"} {
				job := newJob(id, halfStep)
				job.Organisation = "a"
				f.core.AddJob(job, map[unit.JobID]graph.State{"done": graph.Completed}[id], true, f.now)
			}
			f.core.beginPass()
			pool, unmet := f.core.poolLoad(poolKey{"orders", false}, f.now)
			for i := range pool.Waiting {
				pool.Waiting[i].MinWork = pool.Waiting[i].MinWork.Round(time.Millisecond)
			}
			if diff := cmp.Diff(tt.want, result{pool.Waiting, unmet}); diff != "" {
				t.Errorf("load (-want +got):\n%s", diff)
			}
		})
	}
}

// fixedRates tells a fixed delay of each organisation.
type fixedRates map[unit.OrganisationID]time.Duration

func (r fixedRates) Delay(id unit.OrganisationID, _ time.Time) time.Duration { return r[id] }

// TestLoadBeyondRate guards against a load that names organisations while capacity is not
// short, or more of them than an answer to a notice should carry.
func TestLoadBeyondRate(t *testing.T) {
	tests := []struct {
		name  string
		count int // tasks of each organisation
		rates rateMeter
		want  []overload.OrganisationLoad
	}{
		{"capacity short", 3, fixedRates{"a": time.Second, "b": 2 * time.Second}, []overload.OrganisationLoad{{Organisation: "b", Delay: 2 * time.Second}, {Organisation: "a", Delay: time.Second}}},
		{"capacity not short", 1, fixedRates{"a": time.Second}, nil},
		{"no organisation beyond its rate", 3, fixedRates{"idle": time.Second}, nil},
		{"no organisations", 3, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.core.rates = tt.rates
			f.listWorkers("w1")
			for _, id := range []unit.OrganisationID{"a", "b"} {
				job := newJob(unit.JobID(id), with(halfStep, func(s *graph.Step) { s.Count = tt.count }))
				job.Organisation = id
				f.core.AddJob(job, 0, true, f.now)
			}
			if diff := cmp.Diff(tt.want, f.sampleLoad(3*time.Second, "w1").BeyondRate); diff != "" {
				t.Errorf("organisations beyond their rate (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDecisionByLoad guards against a load that does not lead to the rejection of a job that
// starts too late in any case, or that leads to one of a job that may start in time. The new
// job is of use for 3 * (1.5 * 13 * 1 s + 1 s) = 61.5 s at most.
func TestDecisionByLoad(t *testing.T) {
	tests := []struct {
		name     string
		waiting  int // tasks of a more urgent queue, two of which run at a time for 10/13 s at least
		priority graph.Priority
		want     admission.Cause
	}{
		{"little work ahead", 100, 1, ""},
		{"much work ahead", 200, 1, admission.TooLate},
		{"much work of the same priority", 200, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, job := newFixture(t, 2, 0), newJob("j", smallStep)
			f.listWorkers("w1")
			f.addJob("urgent", with(halfStep, func(s *graph.Step) { s.Count = tt.waiting }), true)
			job.Queue.Priority = tt.priority
			load := f.sampleLoad(3*time.Second, "w1")
			if r, _ := admission.Decide(job, &admission.Snapshot{Load: load, At: f.now}, f.now); r.Cause != tt.want {
				t.Errorf("cause of a rejection %q, want %q", r.Cause, tt.want)
			}
		})
	}
}

// TestExplain guards against an operator who is told a wrong reason why a job waits.
func TestExplain(t *testing.T) {
	job := func(s graph.Step) *graph.Job { return newJob("j", s) }
	tests := []struct {
		name   string
		job    *graph.Job
		before int // jobs that fill half of a worker each
		held   bool
		want   WaitReason
		jobs   int // before it
	}{
		{"room", job(halfStep), 0, false, WaitTurn, 0},
		{"full", job(halfStep), 3, false, WaitCapacity, 1},
		{"too large", job(with(halfStep, func(s *graph.Step) { s.Needs.Cores = 100_000 })), 0, false, WaitNoWorker, 0},
		{"label", job(with(halfStep, func(s *graph.Step) { s.Label = "ssd" })), 0, false, WaitNoWorker, 0},
		{"gang", job(with(halfStep, func(s *graph.Step) { s.Gang, s.Count = true, 3 })), 0, false, WaitGangFits, 0},
		{"may run already", job(halfStep), 0, true, WaitWorkers, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, time.Hour)
			f.listWorkers("w1")
			for i := range tt.before {
				f.addJob(unit.JobID(fmt.Sprint(i)), halfStep, true)
			}
			f.takeStarts(OutcomeDone)
			later := newJob("later", halfStep)
			later.Queue.Priority = 3
			f.core.AddJob(later, 0, true, f.now)
			if tt.held {
				f.core.unresolved["w3"] = inheritedLease{expiresAt: f.now.Add(time.Hour)}
			}
			tt.job.Accepted = f.now
			f.core.AddJob(tt.job, 0, false, f.now)
			e, known := f.core.Explain("j", f.now)
			if !known || len(e.Steps) != 1 {
				t.Fatalf("known %v, %d waiting steps, want one", known, len(e.Steps))
			}
			if diff := cmp.Diff([]any{tt.want, tt.jobs}, []any{e.Steps[0].Reason, e.Steps[0].JobsBefore}); diff != "" {
				t.Errorf("reason and jobs before (-want +got):\n%s", diff)
			}
		})
	}
}
