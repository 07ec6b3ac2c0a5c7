package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// countingPolicy counts the scores that a policy computes.
type countingPolicy struct {
	policy
	scores int
}

func (p *countingPolicy) score(w *worker, t *task, now time.Time) float64 {
	p.scores++
	return p.policy.score(w, t, now)
}

// manyListings returns the listings of n workers on racks of 20.
func manyListings(n int) []Listing {
	var list []Listing
	for i := range n {
		l := newListing(unit.InstanceID(fmt.Sprintf("w%03d", i)))
		l.Rack = unit.RackID(fmt.Sprintf("r%d", i/20))
		list = append(list, l)
	}
	return list
}

// TestStepPlacementCost guards against placement passes whose cost is the number of tasks
// times the number of workers: on a shard with 490 workers one pass took up to a second,
// during which no heartbeat, pace or stop was sent.
func TestStepPlacementCost(t *testing.T) {
	const workers, tasks = 200, 60
	tests := []struct {
		name string
		step graph.Step
	}{
		{"reserved cores", graph.Step{Needs: unit.Resources{Cores: 10000, Memory: 1 << 30}}},
		{"best effort", graph.Step{Needs: unit.Resources{Cores: 7000, Memory: 1 << 30}, BestEffort: true, Image: "b"}},
		{"bound for each worker", graph.Step{Needs: unit.Resources{Cores: 1000, Memory: 1 << 30}, PerWorker: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listMany(manyListings(workers))
			counter := &countingPolicy{policy: f.core.policy}
			f.core.policy = counter
			tt.step.Count, tt.step.Estimate = tasks, time.Second
			f.addJob("j", tt.step, true)
			if got := len(f.takeStarts(OutcomeDone)); got != tasks {
				t.Fatalf("%d tasks started, want %d", got, tasks)
			}
			if most := workers + 2*tasks; counter.scores > most {
				t.Errorf("%d scores computed for %d tasks on %d workers, want at most %d", counter.scores, tasks, workers, most)
			}
		})
	}
}

// randomStep returns a step with one of several kinds of needs.
func randomStep(random *rand.Rand, count int) graph.Step {
	s := graph.Step{
		Count: count, Estimate: time.Second, Image: fmt.Sprintf("image%d", random.IntN(3)),
		Needs: unit.Resources{Cores: unit.Millicores(1000 + random.IntN(9000)), Memory: unit.Bytes(1+random.IntN(40)) << 30},
	}
	switch random.IntN(4) {
	case 0:
		s.BestEffort = true
	case 1:
		s.LongRunning, s.TailTarget = true, 50*time.Millisecond
	case 2:
		s.PerWorker = 2
	default:
		s.Rack = "r0"
	}
	return s
}

// TestStepPlacementChoice guards against a worker for a task of a step that is not the
// best one any more after the earlier tasks of the step have taken theirs.
func TestStepPlacementChoice(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, 1, 0)
		list := manyListings(30)
		for i := range list {
			list[i].Capacity.Cores = unit.Millicores(16000 * (1 + random.IntN(4)))
		}
		f.listMany(list)
		for i := range 8 {
			f.addJob(unit.JobID(fmt.Sprintf("before%d", i)), randomStep(random, 1+random.IntN(20)), true)
		}
		f.takeStarts(OutcomeDone)
		f.addJob("j", randomStep(random, 40), true)
		s := f.core.jobs["j"].occurrences[0].steps[0]
		candidates := f.core.newCandidates(f.now)
		for i := range s.tasks {
			task := &s.tasks[i]
			if random.IntN(8) == 0 {
				task.avoidedWorker = list[random.IntN(len(list))].ID
			}
			want, got := f.core.chooseWorker(task, f.now), candidates.best(task)
			if want != got {
				t.Fatalf("seed %d, task %d: worker %v, want %v", seed, i, got, want)
			}
			if got == nil {
				break
			}
			f.core.startTask(got, task, 1, f.now)
		}
	}
}
