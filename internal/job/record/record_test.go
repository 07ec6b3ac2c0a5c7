package record

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestJobRoundTrip guards against a job that changes when it is stored and read
// again, in particular a deadline truncated to seconds.
func TestJobRoundTrip(t *testing.T) {
	want := Job{Format: Format, Job: graph.Job{ID: "5c0e7a21d94b36f8", Spec: "text", Steps: []graph.Step{{Count: 1}}, Accepted: time.Unix(1_700_000_000, 123_456_789).UTC()}}
	body, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeJob(body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("job (-want +got):\n%s", diff)
	}
}

// TestDecodeModel guards against reading the pairs of an earlier release as current
// ones, and against accepting a record of a later release.
func TestDecodeModel(t *testing.T) {
	pairs := []interference.Pair{{Requests: "quotes", Batch: "takeoffs", Rise: 2, Deviation: 0.5}}
	tests := []struct {
		name   string
		format int
		pairs  []interference.Pair
		failed bool
	}{
		{"no format", 0, nil, true},
		{"earlier release", 1, nil, false},
		{"this release", ModelFormat, pairs, false},
		{"later release", ModelFormat + 1, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := Encode(Model{Format: tt.format, Pairs: pairs})
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeModel(body)
			if (err != nil) != tt.failed {
				t.Fatalf("error %v, want an error: %v", err, tt.failed)
			}
			if diff := cmp.Diff(tt.pairs, got.Pairs); diff != "" {
				t.Errorf("pairs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAddCheckpoints guards against tasks that repeat work, or are done again, because
// a checkpoint of an earlier write is lost or replaces newer progress.
func TestAddCheckpoints(t *testing.T) {
	checkpoints := Checkpoints{Format: Format, Jobs: map[unit.JobID][]scheduler.TaskProgress{"j": {{Step: 1, Index: 2, Checkpoint: "c1"}}}}
	tests := []struct {
		name        string
		checkpoints Checkpoints
		tasks, want []scheduler.TaskProgress
	}{
		{"no record", Checkpoints{}, nil, nil},
		{"no progress of the task", checkpoints,
			[]scheduler.TaskProgress{{Step: 1, Index: 3, Done: true}},
			[]scheduler.TaskProgress{{Step: 1, Index: 3, Done: true}, {Step: 1, Index: 2, Checkpoint: "c1"}}},
		{"failed once", checkpoints,
			[]scheduler.TaskProgress{{Step: 1, Index: 2, Failed: []graph.RunNumber{1}}},
			[]scheduler.TaskProgress{{Step: 1, Index: 2, Failed: []graph.RunNumber{1}, Checkpoint: "c1"}}},
		{"later checkpoint", checkpoints,
			[]scheduler.TaskProgress{{Step: 1, Index: 2, Checkpoint: "c2"}},
			[]scheduler.TaskProgress{{Step: 1, Index: 2, Checkpoint: "c2"}}},
		{"done", checkpoints,
			[]scheduler.TaskProgress{{Step: 1, Index: 2, Done: true}},
			[]scheduler.TaskProgress{{Step: 1, Index: 2, Done: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := Encode(tt.checkpoints)
			if err != nil {
				t.Fatal(err)
			}
			stored := tt.checkpoints
			if stored.Format != 0 {
				if stored, err = DecodeCheckpoints(body); err != nil {
					t.Fatal(err)
				}
			}
			p := Progress{Jobs: map[unit.JobID]scheduler.Progress{"j": {Started: true, Tasks: tt.tasks}}}
			p.AddCheckpoints(stored)
			want := map[unit.JobID]scheduler.Progress{"j": {Started: true, Tasks: tt.want}}
			if diff := cmp.Diff(want, p.Jobs); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
			ended := Progress{}
			ended.AddCheckpoints(stored)
			if diff := cmp.Diff(Progress{}, ended); diff != "" {
				t.Errorf("progress without the job (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFinalOrganisation guards against the record of an ended job that is shown to other
// organisations, or whose runs do not count for its own.
func TestFinalOrganisation(t *testing.T) {
	r := Final(&graph.Job{ID: "j", Organisation: "a", Spec: "s"}, graph.Cancelled)
	if diff := cmp.Diff(unit.OrganisationID("a"), r.Job.Organisation); diff != "" {
		t.Errorf("organisation (-want +got):\n%s", diff)
	}
}
