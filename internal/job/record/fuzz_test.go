package record

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// addRecords adds malformed documents and the stored form of some values.
func addRecords(f *testing.F, values ...any) {
	f.Helper()
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	for _, v := range values {
		body, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
}

var now = time.Unix(1_000_000, 0)

// oddJobs are records that decode and that no release writes.
var oddJobs = []Job{
	{Format: Format, Job: graph.Job{ID: "j", Steps: []graph.Step{{Count: -1}}}},
	{Format: Format, Job: graph.Job{ID: "j", Steps: []graph.Step{{Count: math.MaxInt}}}},
	{Format: Format, Job: graph.Job{ID: "j", Steps: []graph.Step{{Count: 1, After: []graph.StepIndex{7}}}}},
	{Format: Format, Job: graph.Job{ID: "j", Steps: []graph.Step{{Count: 1, After: []graph.StepIndex{0}}}}},
	{Format: Format, Job: graph.Job{ID: "j"}},
	{Format: Format, Job: graph.Job{ID: "j", Times: -1, Steps: []graph.Step{{Count: 1}}}},
	{Format: Format, Job: graph.Job{ID: "j"}, State: graph.Running},
	{Format: Format, Job: graph.Job{ID: "j"}, State: 200},
}

// TestOddJobs guards against a record that ends the process of each owner in turn when it
// is applied, as it is read again at each takeover.
func TestOddJobs(t *testing.T) {
	for _, j := range oddJobs {
		body, err := Encode(j)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeJob(body); err == nil {
			t.Errorf("accepted %+v", got)
		}
	}
}

// FuzzJob guards against a record of a job that ends the process when it is decoded or
// applied to the scheduler.
func FuzzJob(f *testing.F) {
	addRecords(f,
		Job{Format: Format, Job: graph.Job{ID: "j", Queue: graph.Queue{ID: "q", Stretch: 2}, Steps: []graph.Step{{Count: 2}, {Count: 1, After: []graph.StepIndex{0}}}}},
		Job{Format: Format, Job: graph.Job{ID: "j"}, State: graph.Completed})
	for _, j := range oddJobs {
		addRecords(f, j)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		j, err := DecodeJob(body)
		if err != nil {
			return
		}
		core := scheduler.New(scheduler.Limits{}, 1, now)
		core.AddJob(&j.Job, j.State, true, now)
		core.Tick(now.Add(time.Second))
		core.Place(now.Add(time.Second))
	})
}

// FuzzProgress guards against a record of the progress that ends the process at a
// takeover.
func FuzzProgress(f *testing.F) {
	tasks := []scheduler.TaskProgress{{Step: 1, Index: 2, Checkpoint: "c"}, {Occurrence: -1, Step: -1, Index: math.MaxUint32, Done: true, Failed: []graph.RunNumber{-1}}}
	addRecords(f, Progress{Format: Format, Epoch: 3, KnownWorkers: []unit.InstanceID{"w", ""}, Jobs: map[unit.JobID]scheduler.Progress{"j": {Started: true, Tasks: tasks}},
		Closed: []scheduler.ClosedWorker{{Worker: "w", Address: "10.0.0.1:80", Tasks: map[unit.JobID][]scheduler.TaskRange{"j": {{Step: -1, Count: math.MaxUint32}}}}, {}}})
	f.Fuzz(func(_ *testing.T, body []byte) {
		p, err := DecodeProgress(body)
		if err != nil {
			return
		}
		core := scheduler.New(scheduler.Limits{}, 1, now)
		core.LoadProgress(p.Jobs, p.KnownWorkers, slices.Concat(p.KnownWorkers, p.BusyWorkers))
		core.LoadLeases(p.Leases, now)
		core.LoadClosed(p.Closed)
		core.SetWorkers([]scheduler.Listing{{ID: "other", Address: "10.0.0.1:80"}}, now)
		for id := range p.Jobs {
			core.AddJob(&graph.Job{ID: id, Steps: []graph.Step{{Count: 3}, {Count: 3, Gang: true}}}, 0, false, now)
		}
		core.HandleReport("other", scheduler.Report{RequestedAt: now}, now)
		core.Tick(now)
		core.Snapshot()
	})
}

// FuzzCheckpoints guards against a record of checkpoints that ends the process at a
// takeover.
func FuzzCheckpoints(f *testing.F) {
	addRecords(f, Checkpoints{Format: Format, Jobs: map[unit.JobID][]scheduler.TaskProgress{"j": {{Step: 1, Index: math.MaxUint32, Checkpoint: "c"}}}})
	f.Fuzz(func(_ *testing.T, body []byte) {
		c, err := DecodeCheckpoints(body)
		if err != nil {
			return
		}
		p := Progress{Jobs: map[unit.JobID]scheduler.Progress{"j": {Tasks: []scheduler.TaskProgress{{Step: 1}}}}}
		p.AddCheckpoints(c)
	})
}

// FuzzModel guards against a record of the interference model that ends the process, and
// against estimates that are no finite numbers, which would spread to all others.
func FuzzModel(f *testing.F) {
	addRecords(f, Model{Format: ModelFormat, Pairs: []interference.Pair{
		{Requests: "a", Batch: "b", Rise: 1, Deviation: 1},
		{Requests: "a", Batch: "c", Rise: float32(math.NaN()), Deviation: 1},
		{Requests: "a", Batch: "d", Rise: 1, Deviation: float32(math.Inf(1)), Band: 255},
	}})
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := DecodeModel(body)
		if err != nil {
			return
		}
		model := interference.NewWithPrior(interference.Prior{Mean: 1, Deviation: 6})
		model.Restore(m.Pairs, now)
		for _, p := range m.Pairs {
			if e := model.AddedPressure(p.Requests, p.Batch); math.IsNaN(e.Mean) || math.IsInf(e.Mean, 0) {
				t.Errorf("pair %+v has estimate %+v", p, e)
			}
		}
	})
}
