package scheduler

import (
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestBestEffortBesideLoad guards against a best-effort task that pushes a busy serving
// task over its target: near saturation the same best-effort task adds far more to the
// tail latency than at low load.
func TestBestEffortBesideLoad(t *testing.T) {
	const target = 100 * time.Millisecond
	serving := graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000}, LongRunning: true, Image: "s", TailTarget: target}
	bestEffort := func(cores unit.Millicores) graph.Step {
		return graph.Step{Count: 1, Needs: unit.Resources{Cores: cores}, BestEffort: true, Checkpoints: true, Image: "f", Estimate: time.Minute}
	}
	tests := []struct {
		name   string
		tail   int // reported in milliseconds when the second best-effort task is added
		starts int
	}{
		{"idle", 25, 1},
		{"busy", 56, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("s", serving, true)
			f.addJob("f", bestEffort(12800), true) // a fifth of the cores
			f.takeStarts(OutcomeDone)
			// The best-effort task works in turns of 1.6 s. It raises the tail from 25 to
			// 33 ms.
			for i := range 40 {
				tail, used := 25, 0
				if i/4%2 == 1 {
					tail, used = 33, 12800
				}
				f.advance(400 * time.Millisecond)
				f.report("w1", []RunStatus{
					{Task: firstTask("s"), Run: 1, ProgressPercent: 100, Metric: tail},
					{Task: firstTask("f"), Run: 1, ProgressPercent: 5, Metric: used},
				}, nil)
			}
			f.core.Cancel("f", f.now)
			for range 10 {
				f.advance(400 * time.Millisecond)
				f.report("w1", []RunStatus{{Task: firstTask("s"), Run: 1, ProgressPercent: 100, Metric: tt.tail}}, nil)
			}
			f.addJob("g", bestEffort(9000), true) // would raise the tail from 56 ms to 92 ms
			if got := len(f.takeStarts(OutcomeDone)); got != tt.starts {
				t.Errorf("%d starts beside a tail of %d ms, want %d", got, tt.tail, tt.starts)
			}
		})
	}
}

// TestServingAffinity guards against serving tasks of all images spread over every
// worker: then nearly every best-effort task disturbs one of them wherever it runs.
func TestServingAffinity(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1", "w2", "w3", "w4")
	serving := func(image string) graph.Step {
		return graph.Step{
			Count: 2, Needs: unit.Resources{Cores: 12000}, LongRunning: true, Image: image,
			TailTarget: 100 * time.Millisecond, Estimate: time.Second,
		}
	}
	for _, id := range []unit.JobID{"a1", "b1", "a2", "b2"} {
		f.addJob(id, serving(string(id[:1])), true)
		f.takeStarts(OutcomeDone)
	}
	images := map[unit.InstanceID]map[string]bool{}
	for id, w := range f.core.workers {
		for _, r := range w.runs {
			if images[id] == nil {
				images[id] = map[string]bool{}
			}
			images[id][r.task.step.spec.Image] = true
		}
	}
	for id, mix := range images {
		if len(mix) > 1 {
			t.Errorf("%s serves %d images, want 1", id, len(mix))
		}
	}
	if len(images) != 2 {
		t.Errorf("%d workers have serving tasks, want 2 for 4 tasks of each image", len(images))
	}
}
