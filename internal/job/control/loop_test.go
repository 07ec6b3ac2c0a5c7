package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// modelStub has the relief per core of each batch class.
type modelStub map[unit.ClassID]float64

func (m modelStub) Relief(_ unit.ClassID, _ unit.InstanceID, batch unit.ClassID, cores unit.Millicores) float64 {
	return m[batch] * float64(cores) / 1000
}

func ref(n int) worker.Ref {
	return worker.Ref{Task: unit.TaskID{Job: "j", Index: unit.TaskIndex(n)}, Attempt: 1}
}

// TestStep guards against an action without a cause or before the effect of the last
// one is visible, a skipped escalation step, the eviction of a replica at its target,
// the choice of a victim that is close to its deadline, and raising a share too early.
func TestStep(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		at int // in seconds
		// late counts the late requests among 200 in the 5 s before; -1 for no report.
		late int
	}
	noisy := Task{Ref: ref(1), Worker: "w", Class: "noisy", Size: unit.Resources{Cores: 1000}, Share: 1, Checkpointable: true}
	mild := Task{Ref: ref(2), Worker: "w", Class: "mild", Size: unit.Resources{Cores: 1000}, Share: 1, Checkpointable: true}
	standing := Task{Ref: ref(3), Worker: "w", Class: "sync", Size: unit.Resources{Cores: 1000}, Share: 1, Checkpointable: true, Standing: true}
	urgent := Task{Ref: ref(4), Worker: "w", Class: "noisy", Size: unit.Resources{Cores: 1000}, Share: 1, Checkpointable: true, Remaining: 55 * time.Minute, Deadline: start.Add(time.Hour)}
	unsaved := Task{Ref: ref(5), Worker: "w", Class: "noisy", Size: unit.Resources{Cores: 1000}, Share: 1}
	tests := []struct {
		name  string
		tasks []Task
		steps []step
		want  []string
	}{
		{"within target", []Task{noisy}, []step{{5, 1}, {10, 2}, {15, 0}}, nil},
		{"significantly over target", []Task{noisy, mild}, []step{{5, 10}}, []string{"5 throttle 1"}},
		{"waits for a report after the action", []Task{noisy, mild}, []step{{5, 10}, {8, 10}, {11, 10}, {14, 10}},
			[]string{"5 throttle 1", "14 throttle 1"}},
		{"waits for the settle timeout without reports", []Task{noisy, mild}, []step{{5, 10}, {24, -1}, {26, -1}}, []string{"5 throttle 1"}},
		{"throttle, checkpoint", []Task{noisy}, []step{{5, 10}, {15, 10}, {25, 10}},
			[]string{"5 throttle 1", "15 throttle 1", "25 checkpoint 1"}},
		{"stops a task without checkpoints only at severe burn", []Task{unsaved}, []step{{5, 10}, {15, 10}, {25, 10}, {35, 40}},
			[]string{"5 throttle 5", "15 throttle 5", "35 stop 5"}},
		{"severe burn throttles all", []Task{noisy, mild}, []step{{5, 40}}, []string{"5 throttle 1", "5 throttle 2"}},
		{"extreme burn throttles to the minimum at once", []Task{noisy}, []step{{5, 40}, {15, 40}}, []string{"5 throttle 1", "15 checkpoint 1"}},
		{"replica at its target is not evicted", []Task{standing}, []step{{5, 20}, {15, 20}, {25, 40}, {35, 40}},
			[]string{"5 throttle 3", "15 throttle 3"}},
		{"task close to its deadline is not chosen", []Task{urgent, noisy}, []step{{5, 10}}, []string{"5 throttle 1"}},
		{"share raised after headroom", []Task{noisy}, []step{{5, 10}, {15, 0}, {20, 0}, {26, 0}},
			[]string{"5 throttle 1", "26 throttle 1"}},
		{"share raised without requests", []Task{noisy}, []step{{5, 10}, {15, 2}, {36, -1}, {47, -1}},
			[]string{"5 throttle 1", "47 throttle 1"}},
		{"relapse doubles the unthrottle delay", []Task{noisy}, []step{{5, 10}, {15, 0}, {26, 0}, {36, 10}, {46, 0}, {57, 0}, {67, 0}},
			[]string{"5 throttle 1", "26 throttle 1", "36 throttle 1", "67 throttle 1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(modelStub{"noisy": 1, "mild": 0.1, "sync": 0.2})
			l.SetTarget("quotes", spec.Target{Percentile: 99, Bound: unit.Duration(100 * time.Millisecond)})
			tasks := append([]Task(nil), tt.tasks...)
			var got []string
			for _, s := range tt.steps {
				now := start.Add(time.Duration(s.at) * time.Second)
				if s.late >= 0 {
					l.Observe(Signal{Worker: "w", Class: "quotes", From: now.Add(-5 * time.Second), Until: now, Requests: 200, Late: s.late})
				}
				for _, a := range l.Step(now, tasks) {
					got = append(got, fmt.Sprint(s.at, " ", a.Kind, " ", a.Ref.Task.Index))
					if a.Reason == "" {
						t.Errorf("%s: no reason", got[len(got)-1])
					}
					for i := range tasks {
						if tasks[i].Ref == a.Ref && a.Kind == worker.ActionThrottle {
							tasks[i].Share = a.Share
						}
					}
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPreempt guards against a replica that waits although batch tasks could be
// evicted for it, and against evictions that cost more than the limit or free too
// little.
func TestPreempt(t *testing.T) {
	now := time.Unix(1000, 0)
	cores := func(n unit.Millicores) unit.Resources { return unit.Resources{Cores: n} }
	batch := func(n int, size unit.Millicores) Task {
		return Task{Ref: ref(n), Class: "batch", Size: cores(size), Share: 1, Checkpointable: true}
	}
	urgent := batch(9, 4000)
	urgent.Remaining, urgent.Deadline = 59*time.Minute, now.Add(time.Hour)
	replica := Task{Ref: ref(8), Class: "sync", Size: cores(4000), Share: 1, Checkpointable: true, Standing: true}
	tests := []struct {
		name       string
		pending    PendingTask
		candidates []Candidate
		want       []unit.TaskIndex
	}{
		{"replica", PendingTask{Size: cores(4000), Standing: true}, []Candidate{{"a", cores(0), []Task{batch(1, 4000)}}}, []unit.TaskIndex{1}},
		{"fits already", PendingTask{Size: cores(4000), Standing: true}, []Candidate{{"a", cores(0), []Task{batch(1, 4000)}}, {"b", cores(4000), nil}}, nil},
		{"fewest", PendingTask{Size: cores(4000), Standing: true}, []Candidate{{"a", cores(0), []Task{batch(1, 2000), batch(2, 2000)}}, {"b", cores(0), []Task{batch(3, 4000)}}}, []unit.TaskIndex{3}},
		{"unnecessary victim is not evicted", PendingTask{Size: cores(4000), Standing: true}, []Candidate{{"a", cores(0), []Task{batch(1, 1000), batch(2, 4000)}}}, []unit.TaskIndex{2}},
		{"task close to its deadline is not evicted", PendingTask{Size: cores(4000), Standing: true}, []Candidate{{"a", cores(0), []Task{urgent}}}, nil},
		{"replica is not evicted", PendingTask{Size: cores(4000), Standing: true}, []Candidate{{"a", cores(0), []Task{replica}}}, nil},
		{"too large", PendingTask{Size: cores(9000), Standing: true}, []Candidate{{"a", cores(0), []Task{batch(1, 4000)}}}, nil},
		{"batch task that is not due", PendingTask{Size: cores(4000), Due: now.Add(time.Minute)}, []Candidate{{"a", cores(0), []Task{batch(1, 4000)}}}, nil},
		{"batch task that is due", PendingTask{Size: cores(4000), Due: now}, []Candidate{{"a", cores(0), []Task{batch(1, 4000)}}}, []unit.TaskIndex{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []unit.TaskIndex
			for _, a := range Preempt(now, tt.pending, tt.candidates) {
				got = append(got, a.Ref.Task.Index)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("victims (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkStep measures one step of a shard at the scale target: 79 workers
// with 810 tasks, none of which needs an action.
func BenchmarkStep(b *testing.B) {
	l, now := New(modelStub{"batch": 1}), time.Unix(1000, 0)
	l.SetTarget("quotes", spec.Target{Percentile: 99, Bound: unit.Duration(100 * time.Millisecond)})
	var tasks []Task
	for w := range 79 {
		id := unit.InstanceID(fmt.Sprint("w", w))
		l.Observe(Signal{Worker: id, Class: "quotes", From: now.Add(-5 * time.Second), Until: now, Requests: 200, Late: 2})
		for n := range 810 / 79 {
			tasks = append(tasks, Task{Ref: ref(n), Worker: id, Class: "batch", Size: unit.Resources{Cores: 1000}, Share: 1, Checkpointable: true})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		l.Step(now, tasks)
	}
}

// TestInvariants guards, with random reports and steps, against an action before the
// effect of the last one is visible, the eviction of a replica that is not surplus,
// and a share outside its bounds.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(modelStub{"noisy": 1, "mild": 0.1, "sync": 0.3}), time.Unix(1000, 0)
		l.SetTarget("quotes", spec.Target{Percentile: 99, Bound: unit.Duration(100 * time.Millisecond)})
		tasks := []Task{
			{Ref: ref(1), Worker: "w", Class: "noisy", Size: unit.Resources{Cores: 4000}, Share: 1, Checkpointable: true},
			{Ref: ref(2), Worker: "w", Class: "mild", Size: unit.Resources{Cores: 2000}, Share: 1},
			{Ref: ref(3), Worker: "w", Class: "sync", Size: unit.Resources{Cores: 1000}, Share: 1, Checkpointable: true, Standing: true},
		}
		var lastAction, window time.Time // window is the start of the newest one reported since
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "report") {
				until := now.Add(-time.Duration(rapid.IntRange(0, 8).Draw(t, "lag")) * time.Second)
				from := until.Add(-5 * time.Second)
				if from.After(window) {
					window = from
				}
				l.Observe(Signal{Worker: "w", Class: "quotes", From: from, Until: until, Requests: 200, Late: rapid.IntRange(0, 60).Draw(t, "late")})
			}
			actions := l.Step(now, tasks)
			if len(actions) > 0 && !lastAction.IsZero() && now.Sub(lastAction) < settleTimeout && window.Before(lastAction.Add(settleDelay)) {
				t.Fatalf("acts after %s without a report of a later window: %s", now.Sub(lastAction), actions[0].Reason)
			}
			if len(actions) > 0 {
				lastAction, window = now, time.Time{}
			}
			for _, a := range actions {
				i := slices.IndexFunc(tasks, func(t Task) bool { return t.Ref == a.Ref })
				switch {
				case a.Kind != worker.ActionThrottle && tasks[i].Standing:
					t.Fatalf("evicts a replica: %s", a.Reason)
				case a.Kind != worker.ActionThrottle:
					tasks = slices.Delete(tasks, i, i+1)
				case a.Share < minShare || a.Share > 1 || a.Share == tasks[i].Share:
					t.Fatalf("share %.2f after %.2f", a.Share, tasks[i].Share)
				default:
					tasks[i].Share = a.Share
				}
			}
		}
	})
}
