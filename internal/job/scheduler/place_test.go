package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// TestPlacement guards against starts on workers that must not run the task or lack
// the capacity.
func TestPlacement(t *testing.T) {
	step := func(change func(*graph.Step)) graph.Step {
		s := graph.Step{Count: 1, Needs: unit.Resources{Cores: 20000, Memory: 1 << 30}, Estimate: time.Second}
		change(&s)
		return s
	}
	tests := []struct {
		name      string
		listing   func(*Listing)
		evacuated map[unit.ZoneID]bool
		step      graph.Step
		starts    int
	}{
		{name: "plain", step: step(func(*graph.Step) {}), starts: 1},
		{name: "draining", listing: func(l *Listing) { l.Draining = true }, step: step(func(*graph.Step) {})},
		{name: "zone out of service", evacuated: map[unit.ZoneID]bool{"z1": true}, step: step(func(*graph.Step) {})},
		{name: "another zone out of service", evacuated: map[unit.ZoneID]bool{"z2": true}, step: step(func(*graph.Step) {}), starts: 1},
		{name: "another service", listing: func(l *Listing) { l.Service = "other" }, step: step(func(*graph.Step) {})},
		{name: "label missing", step: step(func(s *graph.Step) { s.Label = "b" })},
		{name: "label present", listing: func(l *Listing) { l.Labels = []string{"b"} }, step: step(func(s *graph.Step) { s.Label = "b" }), starts: 1},
		{name: "capacity for three", step: step(func(s *graph.Step) { s.Count = 5 }), starts: 3},
		{name: "two on one worker", step: step(func(s *graph.Step) { s.Count, s.PerWorker = 5, 2 }), starts: 2},
		{name: "memory for one", step: step(func(s *graph.Step) { s.Count, s.Needs.Memory = 3, 200<<30 }), starts: 1},
		{name: "best-effort tasks reserve no cores", step: step(func(s *graph.Step) { s.Count, s.BestEffort, s.Needs.Cores = 3, true, 20000 }), starts: 3},
		{name: "gang that fits", step: step(func(s *graph.Step) { s.Count, s.Gang = 3, true }), starts: 3},
		{name: "gang that does not fit", step: step(func(s *graph.Step) { s.Count, s.Gang = 4, true })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			l := newListing("w1")
			if tt.listing != nil {
				tt.listing(&l)
			}
			f.core.SetWorkers([]Listing{l}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.core.SetEvacuatedZones(tt.evacuated)
			f.report("w1", nil, nil)
			f.addJob("j", tt.step, true)
			starts := f.takeStarts(OutcomeDone)
			if diff := cmp.Diff(tt.starts, len(starts)); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			for _, o := range starts {
				if tt.step.Gang && o.Run != starts[0].Run {
					t.Errorf("members of one gang have runs %d and %d", starts[0].Run, o.Run)
				}
			}
		})
	}
}

// TestPlacementOrder guards against urgent short jobs that wait behind others, and
// against late jobs that delay those that can still be of use.
func TestPlacementOrder(t *testing.T) {
	type entry struct {
		id          unit.JobID
		priority    graph.Priority
		age         time.Duration // since its submission
		longRunning bool
	}
	tests := []struct {
		name     string
		jobs     []entry
		baseline bool
		want     unit.JobID
	}{
		{"priority first", []entry{{"batch", 2, 2 * time.Second, false}, {"urgent", 0, 0, false}}, false, "urgent"},
		{"baseline by arrival", []entry{{"batch", 2, 2 * time.Second, false}, {"urgent", 0, 0, false}}, true, "batch"},
		{"earliest soft deadline", []entry{{"new", 0, 0, false}, {"old", 0, time.Second, false}}, false, "old"},
		{"too late to be of use", []entry{{"late", 0, time.Minute, false}, {"new", 0, 0, false}}, false, "new"},
		{"short before long-running", []entry{{"lasting", 0, time.Second, true}, {"short", 0, 0, false}}, false, "short"},
		{"long-running before too late", []entry{{"late", 0, time.Minute, false}, {"lasting", 0, 0, true}}, false, "lasting"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			if tt.baseline {
				f.core.policy = firstFitPolicy{}
			}
			for _, e := range tt.jobs {
				job := newJob(e.id, graph.Step{Count: 1, Needs: unit.Resources{Cores: 60000}, Estimate: time.Second, LongRunning: e.longRunning})
				job.Queue.Priority, job.Accepted = e.priority, f.now.Add(-e.age)
				f.core.AddJob(job, 0, true, f.now)
			}
			f.listWorkers("w1")
			starts := f.takeStarts(OutcomeDone)
			if len(starts) != 1 || starts[0].Task.Job != tt.want {
				t.Errorf("starts %+v, want one of %s", starts, tt.want)
			}
		})
	}
}

// TestAcknowledgedEnds guards against ends that are acknowledged before the progress
// that includes them is durable: the next owner would run their tasks again.
func TestAcknowledgedEnds(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.addJob("j", smallStep, true)
	f.takeStarts(OutcomeDone)
	done := End{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndDone}
	f.report("w1", nil, []End{done})
	before := f.core.Snapshot()
	f.report("w1", nil, []End{done, {Number: 2, Task: firstTask("unknown"), Run: 1, Kind: EndDone}})
	for _, step := range []struct {
		name string
		act  func()
		want EndNumber
	}{
		{"listed", func() {}, 0},
		{"first snapshot durable", func() { f.core.ConfirmSnapshot(before) }, 1},
		{"second snapshot durable", func() { f.core.ConfirmSnapshot(f.core.Snapshot()) }, 2},
	} {
		step.act()
		if _, got := f.core.AckCursor("w1"); got != step.want {
			t.Errorf("%s: acknowledged up to %d, want %d", step.name, got, step.want)
		}
	}
	if !before.Jobs["j"].Tasks[0].Done {
		t.Errorf("progress %+v does not include the end", before.Jobs["j"])
	}
}

// TestPauseBestEffort guards against serving tasks that stay over their target because
// the interference model expects no effect of the best-effort runs beside them. Those
// must be paused all the same.
func TestPauseBestEffort(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration // between two reports
		reports  int           // with a tail over the target
		want     int           // pace
	}{
		{"first report", 400 * time.Millisecond, 1, 100},
		{"over the target for 2 s", 400 * time.Millisecond, 6, 0},
		{"over the target for 0.8 s", 400 * time.Millisecond, 3, 100},
		{"rare reports, the first", 1400 * time.Millisecond, 1, 100},
		{"rare reports, the third would come after 2.8 s", 1400 * time.Millisecond, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			serving := graph.Step{Count: 1, Needs: unit.Resources{Cores: 30000}, LongRunning: true, Image: "s", TailTarget: 50 * time.Millisecond}
			bestEffort := graph.Step{Count: 1, Needs: unit.Resources{Cores: 8000}, BestEffort: true, Checkpoints: true, Image: "f", Estimate: time.Minute}
			f.core.RestoreInterference([]interference.Pair{{Requests: "s", Batch: "f", Rise: 0, Deviation: 0.01}}, f.now) // no effect
			f.addJob("s", serving, true)
			f.addJob("f", bestEffort, true)
			f.takeStarts(OutcomeDone)
			for range tt.reports {
				f.advance(tt.interval)
				f.report("w1", []RunStatus{
					{Task: firstTask("s"), Run: 1, ProgressPercent: 100, Metric: 80},
					{Task: firstTask("f"), Run: 1, ProgressPercent: 5, Metric: 8000},
				}, nil)
			}
			if diff := cmp.Diff(tt.want, f.core.workers["w1"].runs[firstTask("f")].pacePercent); diff != "" {
				t.Errorf("pace (-want +got):\n%s", diff)
			}
		})
	}
}

// TestInterruptedLongRunningTask guards against a long-running task that has failed and
// does not run again while short tasks take each free place, and against a new
// long-running task that takes the place of short ones.
func TestInterruptedLongRunningTask(t *testing.T) {
	needs := unit.Resources{Cores: 32000, Memory: 1 << 30}
	short := graph.Step{Count: 1, Needs: needs, Estimate: time.Second}
	longRunning := graph.Step{Count: 2, Needs: needs, LongRunning: true}
	tests := []struct {
		name  string
		epoch unit.Epoch
		ran   int            // tasks of the long-running job that have run and failed
		tasks []TaskProgress // of the long-running job under earlier owners
		want  []unit.JobID
	}{
		{"new", 1, 0, nil, []unit.JobID{"s1", "s2"}},
		{"one task interrupted", 1, 1, nil, []unit.JobID{"l", "s1"}},
		{"both tasks interrupted", 1, 2, nil, []unit.JobID{"l", "l"}},
		{"new, later owner", 3, 0, nil, []unit.JobID{"s1", "s2"}},
		{"one task interrupted, later owner", 3, 1, nil, []unit.JobID{"l", "s1"}},
		{"second task failed under an earlier owner", 3, 0, []TaskProgress{{Index: 1, Failed: []graph.RunNumber{1}}}, []unit.JobID{"l", "s1"}},
		{"second task ran under an earlier owner", 3, 0, []TaskProgress{{Index: 1}}, []unit.JobID{"l", "s1"}},
		{"both tasks ran under an earlier owner", 3, 0, []TaskProgress{{}, {Index: 1}}, []unit.JobID{"l", "l"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.epoch, 0)
			f.core.LoadProgress(map[unit.JobID]Progress{"l": {Started: tt.tasks != nil, Tasks: tt.tasks}}, nil, nil)
			f.listWorkers("w1")
			other := short
			other.Count = 2 - tt.ran
			f.addJob("o", other, true)
			f.takeStarts(OutcomeDone)
			f.addJob("l", longRunning, true)
			starts := f.takeStarts(OutcomeDone)
			if len(starts) != tt.ran {
				t.Fatalf("%d starts beside job o, want %d", len(starts), tt.ran)
			}
			for _, id := range []unit.JobID{"s1", "s2"} {
				f.addJob(id, short, true)
			}
			var ended []End
			for n := range other.Count {
				ended = append(ended, End{Number: EndNumber(n + 1), Task: graph.Task{Job: "o", Index: unit.TaskIndex(n)}, Run: f.core.firstRunNumber(), Kind: EndDone})
			}
			for _, o := range starts {
				ended = append(ended, End{Number: EndNumber(len(ended) + 1), Task: o.Task, Run: o.Run, Kind: EndFailed})
			}
			f.report("w1", nil, ended)
			var got []unit.JobID
			for _, o := range f.takeStarts(OutcomeDone) {
				got = append(got, o.Task.Job)
			}
			slices.Sort(got)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("jobs of the next starts (-want +got):\n%s", diff)
			}
		})
	}
}
