package queue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

func newConfiguredQueue() *Queue {
	q := New()
	seconds := func(n int) unit.Duration { return unit.Duration(time.Duration(n) * time.Second) }
	q.Configure(&spec.Document{
		Classes: []spec.Class{
			{Name: "urgent", Kind: spec.KindBatch, Target: spec.Target{Start: seconds(3)}},
			{Name: "nightly", Kind: spec.KindBatch, Target: spec.Target{Finish: seconds(100)}},
			{Name: "free", Kind: spec.KindBatch},
			{Name: "sync", Kind: spec.KindStanding, Target: spec.Target{Replicas: 2}},
		},
		Teams: []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1000, Memory: 1000}}},
	})
	return q
}

// TestPlacementOrder guards against a job waiting behind one with more slack, and
// against placing jobs that are parked or have no pending tasks.
func TestPlacementOrder(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	job := func(id, class string, age, work int) Job {
		return Job{
			ID: unit.JobID(id), Class: unit.ClassID(class), Time: now.UnixMilli() - int64(age)*1000,
			Work: unit.Duration(time.Duration(work) * time.Second),
		}
	}
	tests := []struct {
		name    string
		jobs    []Job
		parked  unit.JobID
		runTime time.Duration // observed run time of class nightly; 0: none
		want    []unit.JobID
	}{
		{"urgent with less slack", []Job{job("n", "nightly", 50, 10), job("u", "urgent", 0, 1)}, "", 0, []unit.JobID{"u", "n"}},
		{"nightly with less slack", []Job{job("u", "urgent", 0, 1), job("n", "nightly", 50, 49)}, "", 0, []unit.JobID{"n", "u"}},
		{"standing class first", []Job{job("u", "urgent", 0, 1), job("s", "sync", 9, 0)}, "", 0, []unit.JobID{"s", "u"}},
		{"without a target last, by submission", []Job{job("f2", "free", 1, 1), job("f1", "free", 2, 1), job("n", "nightly", 0, 1)}, "", 0, []unit.JobID{"n", "f1", "f2"}},
		{"parked", []Job{job("u", "urgent", 0, 1), job("n", "nightly", 0, 1)}, "u", 0, []unit.JobID{"n"}},
		{"observed run time", []Job{job("u", "urgent", 0, 1), job("n", "nightly", 50, 1)}, "", 49 * time.Second, []unit.JobID{"n", "u"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newConfiguredQueue()
			for _, j := range tt.jobs {
				q.AddJob(j)
				q.AddTasks(j.ID, false, 0)
			}
			q.AddJob(job("idle", "urgent", 9, 1))
			q.Park(tt.parked, "for the test")
			if tt.runTime > 0 {
				q.ObserveRunTime("nightly", tt.runTime)
			}
			if diff := cmp.Diff(tt.want, q.PlacementOrder(now)); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPending guards against a resumed task waiting behind new ones, and against
// tasks of removed jobs that stay pending.
func TestPending(t *testing.T) {
	q := newConfiguredQueue()
	for _, id := range []unit.JobID{"a", "b", "c"} {
		q.AddJob(Job{ID: id, Class: "free"})
		q.AddTasks(id, false, 0, 1, 2)
	}
	q.RemoveTask(unit.TaskID{Job: "a", Index: 1})
	q.AddTasks("a", true, 7)
	q.RemoveJobs("b", "c", "unknown")
	got := [][]unit.TaskIndex{q.Pending("a"), q.Pending("b"), q.Pending("c")}
	if diff := cmp.Diff([][]unit.TaskIndex{{7, 0, 2}, nil, nil}, got); diff != "" {
		t.Errorf("pending tasks (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]unit.JobID{"a"}, q.PlacementOrder(time.UnixMilli(0))); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestOversizeReason guards against a job that can never be placed and has no reason for
// it, and against parking one that fits.
func TestOversizeReason(t *testing.T) {
	largest := LargestWorkers{}.Include("w1", unit.Resources{Cores: 64000, Memory: 10}).
		Include("w2", unit.Resources{Cores: 16000, Memory: 250})
	tests := []struct {
		name    string
		largest LargestWorkers
		size    unit.Resources
		want    string
	}{
		{"fits", largest, unit.Resources{Cores: 16000, Memory: 250}, ""},
		{"no workers known", LargestWorkers{}, unit.Resources{Cores: 1}, ""},
		{"cores", largest, unit.Resources{Cores: 65000}, "needs 65000 millicores; the largest worker, w1, has 64000"},
		{"memory", largest, unit.Resources{Memory: 251}, "needs 251 bytes of memory; the largest worker, w2, has 250"},
		{"accelerators", largest, unit.Resources{Accelerators: 1}, "needs 1 accelerators; no worker has any"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.largest.OversizeReason(tt.size); got != tt.want {
				t.Errorf("reason %q, want %q", got, tt.want)
			}
		})
	}
}

// TestWithinQuota guards against a team exceeding its quota, and against a team without
// a quota running any task.
func TestWithinQuota(t *testing.T) {
	size := unit.Resources{Cores: 600, Memory: 100}
	tests := []struct {
		name  string
		team  unit.TeamID
		usage unit.Resources
		want  bool
	}{
		{"first", "desk", unit.Resources{}, true},
		{"full", "desk", size, false},
		{"one resource exhausted", "desk", unit.Resources{Memory: 950}, false},
		{"unknown team", "other", unit.Resources{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := newConfiguredQueue().WithinQuota(&Job{Team: tt.team, Size: size}, tt.usage); got != tt.want {
				t.Errorf("within quota: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestShardReplicas guards against the shards of a zone together running more or fewer
// replicas than its target.
func TestShardReplicas(t *testing.T) {
	for _, shards := range []int{1, 2, 8} {
		for replicas := range 20 {
			sum := 0
			for position := range shards {
				sum += ShardReplicas(replicas, position, shards)
			}
			if sum != replicas {
				t.Errorf("%d shards run %d replicas, want %d", shards, sum, replicas)
			}
		}
	}
}
