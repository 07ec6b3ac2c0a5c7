package scheduler

import (
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestFillBesideLoad guards against a filling task that pushes a serving task
// over its target because that is busy by itself: near saturation the same
// filling task costs far more of the tail than at a low load.
func TestFillBesideLoad(t *testing.T) {
	const target = 100 * time.Millisecond
	serving := graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000}, LongRunning: true, Image: "s", TailTarget: target}
	filling := func(cores unit.Millicores) graph.Step {
		return graph.Step{Count: 1, Needs: unit.Resources{Cores: cores}, BestEffort: true, Checkpoints: true, Image: "f", Estimate: time.Minute}
	}
	tests := []struct {
		name   string
		tail   int // listed in milliseconds when the second filling task comes
		starts int
	}{
		{"idle", 25, 1},
		{"busy", 56, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1")
			b.job("s", serving, true)
			b.job("f", filling(12800), true) // a fifth of the cores
			b.starts(OutcomeDone)
			// The filling task works by turns. It raises the tail from 25 to 33 ms.
			for i := range 40 {
				tail, used := 25, 0
				if i/4%2 == 1 {
					tail, used = 33, 12800
				}
				b.after(400 * time.Millisecond)
				b.report("w1", []RunStatus{
					{Task: taskOf("s"), Run: 1, ProgressPercent: 100, Metric: tail},
					{Task: taskOf("f"), Run: 1, ProgressPercent: 5, Metric: used},
				}, nil)
			}
			b.core.Cancel("f", b.now)
			for range 10 {
				b.after(400 * time.Millisecond)
				b.report("w1", []RunStatus{{Task: taskOf("s"), Run: 1, ProgressPercent: 100, Metric: tt.tail}}, nil)
			}
			b.job("g", filling(9000), true) // would raise 56 ms to 92 ms
			if got := len(b.starts(OutcomeDone)); got != tt.starts {
				t.Errorf("%d starts beside a tail of %d ms, want %d", got, tt.tail, tt.starts)
			}
		})
	}
}

// TestServingCompany guards against serving tasks of all images on each worker:
// then nearly every filling task disturbs one of them wherever it runs.
func TestServingCompany(t *testing.T) {
	b := newFixture(t, 1, 0)
	b.workers("w1", "w2", "w3", "w4")
	serving := func(image string) graph.Step {
		return graph.Step{
			Count: 2, Needs: unit.Resources{Cores: 12000}, LongRunning: true, Image: image,
			TailTarget: 100 * time.Millisecond, Estimate: time.Second,
		}
	}
	for _, id := range []unit.JobID{"a1", "b1", "a2", "b2"} {
		b.job(id, serving(string(id[:1])), true)
		b.starts(OutcomeDone)
	}
	images := map[unit.InstanceID]map[string]bool{}
	for id, w := range b.core.workers {
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
		t.Errorf("%d workers serve, want 2 for 4 tasks of each image", len(images))
	}
}
