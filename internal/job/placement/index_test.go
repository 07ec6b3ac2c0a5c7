package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

type placer interface {
	Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool)
	Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool
	Release(id unit.InstanceID, ref worker.Ref)
	Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool)
	Remove(id unit.InstanceID)
}

func resources(cores, gigabytes, accelerators int) unit.Resources {
	return unit.Resources{
		Cores:        unit.Millicores(cores * 1000),
		Memory:       unit.Bytes(gigabytes) << 30,
		Accelerators: unit.Accelerators(accelerators),
	}
}

func testRef(n int) worker.Ref {
	return worker.Ref{Task: unit.TaskID{Job: "j", Index: unit.TaskIndex(n)}, Attempt: 1}
}

// TestNoOvercommit checks P1: it guards against placement on a worker that is closed
// or lacks the resources, against a refusal although a worker fits, and against free
// resources that differ from the capacity less the sum of the reservations.
func TestNoOvercommit(t *testing.T) {
	placers := []struct {
		name string
		make func() placer
	}{
		{"index", func() placer { return New(nil) }},
		{"first fit", func() placer { return NewFirstFit() }},
	}
	type model struct {
		capacity unit.Resources
		open     bool
		tasks    map[worker.Ref]unit.Resources
	}
	free := func(m *model) unit.Resources {
		f := m.capacity
		for _, s := range m.tasks {
			f = f.Sub(s)
		}
		return f
	}
	size := rapid.Custom(func(t *rapid.T) unit.Resources {
		return resources(rapid.IntRange(1, 16).Draw(t, "cores"), rapid.IntRange(0, 32).Draw(t, "memory"), rapid.IntRange(0, 2).Draw(t, "accelerators"))
	})
	for _, tt := range placers {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			p, workers, next := tt.make(), map[unit.InstanceID]*model{}, 0
			anyWorker := rapid.Custom(func(t *rapid.T) unit.InstanceID {
				return unit.InstanceID(fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker")))
			})
			reserve := func(t *rapid.T, id unit.InstanceID, s unit.Resources) {
				next++
				m, known := workers[id]
				want := known && s.Fits(free(m))
				if got := p.Reserve(id, testRef(next), "c", s); got != want {
					t.Fatalf("reserve %v on %s: got %v, want %v", s, id, got, want)
				}
				if want {
					m.tasks[testRef(next)] = s
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"upsert": func(t *rapid.T) {
					id, capacity, open := anyWorker.Draw(t, "id"), size.Draw(t, "capacity"), rapid.Bool().Draw(t, "open")
					p.Upsert(id, unit.RackID(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "rack"))), capacity, open)
					if workers[id] == nil {
						workers[id] = &model{tasks: map[worker.Ref]unit.Resources{}}
					}
					workers[id].capacity, workers[id].open = capacity, open
				},
				"remove": func(t *rapid.T) {
					id := anyWorker.Draw(t, "id")
					p.Remove(id)
					delete(workers, id)
				},
				"place": func(t *rapid.T) {
					s := size.Draw(t, "size")
					id, ok := p.Place("c", s)
					fits := false
					for _, m := range workers {
						fits = fits || m.open && s.Fits(free(m))
					}
					if ok != fits {
						t.Fatalf("place %v: got %v, want %v", s, ok, fits)
					}
					if ok && !workers[id].open {
						t.Fatalf("place %v: %s is closed", s, id)
					}
					if ok {
						reserve(t, id, s)
					}
				},
				"reserve": func(t *rapid.T) { reserve(t, anyWorker.Draw(t, "id"), size.Draw(t, "size")) },
				"release": func(t *rapid.T) {
					id, n := anyWorker.Draw(t, "id"), rapid.IntRange(0, next).Draw(t, "ref")
					p.Release(id, testRef(n))
					if m := workers[id]; m != nil {
						delete(m.tasks, testRef(n))
					}
				},
			})
		}))
	}
}

// harmTable has the harm of any task by worker.
type harmTable map[unit.InstanceID]float64

func (h harmTable) Harm(id unit.InstanceID, _ unit.ClassID, _ unit.Resources) float64 { return h[id] }

// TestPlace guards against a choice that ignores interference, fills one rack or takes
// accelerators without need, and against a refusal that names the wrong resource.
func TestPlace(t *testing.T) {
	tests := []struct {
		name string
		harm harmTable
		// workers has the capacities of w0 in rack r0, w1 in r1 and so on.
		workers []unit.Resources
		// starts has the sizes of tasks that are placed and reserved in order.
		starts []unit.Resources
		want   []unit.InstanceID
		// resource is what is short for a further task of the last size; "" if it fits.
		resource   string
		infeasible bool
	}{
		{"least harm", harmTable{"w0": 0.5, "w1": 0.1, "w2": 0.9}, []unit.Resources{resources(8, 8, 0), resources(8, 8, 0), resources(8, 8, 0)},
			[]unit.Resources{resources(4, 4, 0)}, []unit.InstanceID{"w1"}, "", false},
		{"fewer tasks of the class in the rack", nil, []unit.Resources{resources(64, 64, 0), resources(64, 64, 0)},
			[]unit.Resources{resources(1, 1, 0), resources(1, 1, 0)}, []unit.InstanceID{"w1", "w0"}, "", false},
		{"accelerators stay free", nil, []unit.Resources{resources(64, 64, 4), resources(8, 8, 0)},
			[]unit.Resources{resources(1, 1, 0)}, []unit.InstanceID{"w1"}, "", false},
		{"cores short", nil, []unit.Resources{resources(8, 64, 0)},
			[]unit.Resources{resources(6, 1, 0)}, []unit.InstanceID{"w0"}, "cores", false},
		{"memory infeasible", nil, []unit.Resources{resources(8, 64, 0)},
			[]unit.Resources{resources(1, 65, 0)}, []unit.InstanceID{""}, "memory", true},
		{"no worker has both", nil, []unit.Resources{resources(8, 2, 0), resources(2, 8, 0)},
			[]unit.Resources{resources(8, 8, 0)}, []unit.InstanceID{""}, "combination", true},
		{"no worker", nil, nil, []unit.Resources{resources(8, 8, 0)}, []unit.InstanceID{""}, "workers", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := New(tt.harm)
			for i, capacity := range tt.workers {
				x.Upsert(unit.InstanceID(fmt.Sprint("w", i)), unit.RackID(fmt.Sprint("r", i)), capacity, true)
			}
			var got []unit.InstanceID
			for i, size := range tt.starts {
				id, ok := x.Place("c", size)
				if ok && !x.Reserve(id, testRef(i), "c", size) {
					t.Errorf("start %d: reservation on %s refused", i, id)
				}
				got = append(got, id)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("workers (-want +got):\n%s", diff)
			}
			size := tt.starts[len(tt.starts)-1]
			if _, ok := x.Place("c", size); ok != (tt.resource == "") {
				t.Fatalf("further start: got %v", ok)
			} else if r := x.Explain(size); !ok && (r.Resource != tt.resource || r.Infeasible != tt.infeasible) {
				t.Errorf("refusal: got %s", r)
			}
		})
	}
}

// TestQuarantine guards against a worker that fails every task and still gets more, a
// worker that is never probed, and faulty jobs that put healthy workers into
// quarantine.
func TestQuarantine(t *testing.T) {
	start := time.Unix(0, 0)
	type end struct {
		worker unit.InstanceID
		job    unit.JobID
		failed bool
		after  time.Duration
	}
	tests := []struct {
		name string
		ends []end
		at   time.Duration
		// want is the number of tasks that can start on w0, which holds 8.
		want int
	}{
		{"healthy", []end{{"w0", "a", true, 0}, {"w0", "b", true, 0}, {"w0", "c", false, 0}}, 0, 8},
		{"fails every task", []end{{"w0", "a", true, 0}, {"w0", "b", true, 0}, {"w0", "c", true, 0}}, 0, 0},
		{"one faulty job", []end{{"w0", "a", true, 0}, {"w0", "a", true, 0}, {"w0", "a", true, 0}}, 0, 8},
		{"probe with one task", []end{{"w0", "a", true, 0}, {"w0", "b", true, 0}, {"w0", "c", true, 0}}, initialQuarantine, 1},
		{"failed probe doubles the time", []end{{"w0", "a", true, 0}, {"w0", "b", true, 0}, {"w0", "c", true, 0},
			{"w0", "a", true, initialQuarantine}}, 2*initialQuarantine + time.Second, 0},
		{"successful probe ends the quarantine", []end{{"w0", "a", true, 0}, {"w0", "b", true, 0}, {"w0", "c", true, 0},
			{"w0", "a", false, initialQuarantine}}, initialQuarantine, 8},
		{"at most a quarter of the workers", []end{{"w1", "a", true, 0}, {"w1", "b", true, 0}, {"w1", "c", true, 0},
			{"w0", "a", true, 0}, {"w0", "b", true, 0}, {"w0", "c", true, 0}}, 0, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := New(nil)
			for i := range 4 {
				x.Upsert(unit.InstanceID(fmt.Sprint("w", i)), "r", resources(8, 8, 0), i < 2)
			}
			for _, e := range tt.ends {
				x.StartProbes(start.Add(e.after))
				x.RecordOutcome(e.worker, e.job, e.failed, start.Add(e.after))
			}
			x.StartProbes(start.Add(tt.at))
			x.Upsert("w1", "r", resources(8, 8, 0), false)
			placed := 0
			for {
				id, ok := x.Place("c", resources(1, 1, 0))
				if !ok || !x.Reserve(id, testRef(placed), "c", resources(1, 1, 0)) {
					break
				}
				placed++
			}
			if placed != tt.want {
				t.Errorf("started %d, want %d", placed, tt.want)
			}
		})
	}
}

// BenchmarkStart measures the release of one task and the placement of another with
// 45,000 tasks running.
func BenchmarkStart(b *testing.B) {
	const tasks = 45000
	placers := []struct {
		name string
		make func() placer
	}{
		{"index", func() placer { return New(harmTable{}) }},
		{"firstfit", func() placer { return NewFirstFit() }},
	}
	for _, tt := range placers {
		for _, workers := range []int{50, 500, 4400} {
			b.Run(fmt.Sprintf("%s/%d", tt.name, workers), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, uint64(workers)))
				p := tt.make()
				perWorker := tasks/workers + 2
				for i := range workers {
					p.Upsert(unit.InstanceID(fmt.Sprintf("w%05d", i)), unit.RackID(fmt.Sprint("r", i/10)), resources(3*perWorker/2, 6*perWorker/2, 0), true)
				}
				draw := func() unit.Resources { return resources(1+rng.IntN(2), 1+rng.IntN(4), 0) }
				at := make([]unit.InstanceID, tasks)
				for i := range at {
					size := draw()
					if id, ok := p.Place("c", size); ok && p.Reserve(id, testRef(i), "c", size) {
						at[i] = id
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					i := n % tasks
					if at[i] != "" {
						p.Release(at[i], testRef(i))
					}
					size := draw()
					at[i] = ""
					if id, ok := p.Place("c", size); ok && p.Reserve(id, testRef(i), "c", size) {
						at[i] = id
					}
				}
			})
		}
	}
}
