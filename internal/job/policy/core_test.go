package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

var start = time.Unix(1_000_000, 0)

func document(out ...unit.ZoneID) *spec.Document {
	d := &spec.Document{Classes: []spec.Class{
		{Name: "quote", Kind: spec.KindRequest, Service: "desk", Target: spec.Target{Percentile: 99, Bound: unit.Duration(50 * time.Millisecond)}},
		{Name: "noisy", Kind: spec.KindBatch, Target: spec.Target{Finish: unit.Duration(time.Hour)}},
		{Name: "sync", Kind: spec.KindStanding, Target: spec.Target{Replicas: 2}},
	}}
	for _, z := range []unit.ZoneID{"z1", "z2"} {
		d.Zones = append(d.Zones, spec.Zone{Name: z, Out: slices.Contains(out, z)})
	}
	return d
}

var capacity = unit.Resources{Cores: 8000, Memory: 8 << 30}

func ref(job unit.JobID, index int) worker.Ref {
	return worker.Ref{Task: unit.TaskID{Job: job, Index: unit.TaskIndex(index)}, Attempt: 1}
}

func newCore(workers int) *Core {
	c := NewCore()
	c.Configure(start, document())
	fleet := map[unit.InstanceID]Worker{}
	for n := range workers {
		id := unit.InstanceID(fmt.Sprint("w", n))
		fleet[id] = Worker{Service: "desk", Cores: 10000, Slots: 8}
		c.Upsert(id, "r", capacity, true)
	}
	c.SetFleet(fleet)
	return c
}

func (c *Core) at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestAdmit guards against starts of batch tasks while the load of a zone out of service
// moves, against a job of unknown size that takes the resources that other tasks wait
// for, and against rules that delay replicas or apply for too long.
func TestAdmit(t *testing.T) {
	batch := &queue.Job{ID: "b", Class: "noisy", Tasks: 20, Size: unit.Resources{Cores: 100, Memory: 1 << 20}}
	standing := &queue.Job{ID: "s", Class: "sync", Size: batch.Size}
	full := unit.Resources{Cores: 9000, Memory: 1}
	tests := []struct {
		name    string
		prepare func(c *Core)
		job     *queue.Job
		at      float64
		// want is a part of the reason; empty if the task is admitted.
		want string
	}{
		{"quiet", func(*Core) {}, batch, 1, ""},
		{"zone just out of service", func(c *Core) { c.Configure(c.at(1), document("z2")) }, batch, 12.9, "went out of service"},
		{"zone out of service for long", func(c *Core) { c.Configure(c.at(1), document("z2")) }, batch, 13, ""},
		{"replica while a zone is out of service", func(c *Core) { c.Configure(c.at(1), document("z2")) }, standing, 2, ""},
		{"zone back in service", func(c *Core) {
			c.Configure(c.at(-60), document("z2"))
			c.Configure(c.at(1), document())
		}, batch, 2, ""},
		{"seven tasks while others wait", func(c *Core) { fill(c, 7); c.Place("noisy", full); c.Step(c.at(1)) }, batch, 2, ""},
		{"eight tasks while others wait", func(c *Core) { fill(c, 8); c.Place("noisy", full); c.Step(c.at(1)) }, batch, 2, "size"},
		{"eight tasks while no other waits", func(c *Core) { fill(c, 8); c.Step(c.at(1)) }, batch, 2, ""},
		{"eight tasks after the trial timeout", func(c *Core) { fill(c, 8); c.Place("noisy", full); c.Step(c.at(45)) }, batch, 45, ""},
		{"size known", func(c *Core) {
			fill(c, 8)
			for n := range 8 {
				c.ObserveReport(c.at(21), "w0", worker.Report{Usage: []worker.Usage{{Ref: ref("b", n), Cores: 90, Memory: 1 << 19}}})
			}
			c.Place("noisy", full)
			c.Step(c.at(22))
		}, batch, 23, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(1)
			tt.prepare(c)
			why, ok := c.Admit(c.at(tt.at), tt.job)
			if ok != (tt.want == "") || !strings.Contains(why, tt.want) {
				t.Errorf("Admit: %q, %v; want %q", why, ok, tt.want)
			}
		})
	}
}

// fill starts tasks of job b on worker w0.
func fill(c *Core, tasks int) {
	for n := range tasks {
		c.Reserve(start, "w0", ref("b", n), "noisy", unit.Resources{Cores: 100, Memory: 1 << 20})
	}
}

func signal(id unit.InstanceID, requests, late uint32) message.Signal {
	return message.Signal{
		Worker: id, Class: "quote", Span: 2 * time.Second, Requests: requests, Late: late,
		Median: 20 * time.Millisecond, Tail: 60 * time.Millisecond, Busy: time.Second,
	}
}

// TestStep guards against a missed target without an action, actions that follow from
// malformed signals or those of another shard, a throttle that the advisor does not
// learn of, and a throttle by a previous owner that is forgotten.
func TestStep(t *testing.T) {
	task := ref("b", 0)
	tests := []struct {
		name   string
		signal message.Signal
		report worker.Report
		want   []string
	}{
		{"within target", signal("w0", 100, 1), worker.Report{}, nil},
		{"over target", signal("w0", 100, 8), worker.Report{}, []string{"throttle b/0 0.50 for quote"}},
		{"far over target", signal("w0", 100, 60), worker.Report{}, []string{"throttle b/0 0.25 for quote"}},
		{"throttled by a previous owner", signal("w0", 100, 60),
			worker.Report{Tasks: []worker.Status{{Ref: task, Phase: worker.PhaseRunning, Share: 0.25}}}, []string{"checkpoint b/0 0.00 for quote"}},
		{"worker of another shard", signal("w9", 100, 60), worker.Report{}, nil},
		{"more late than requests", signal("w0", 10, 60), worker.Report{}, nil},
		{"ended task", signal("w0", 100, 60),
			worker.Report{Tasks: []worker.Status{{Ref: task, Phase: worker.PhaseDone}}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(2)
			c.Reserve(start, "w0", task, "noisy", unit.Resources{Cores: 8000, Memory: 1 << 30})
			c.ObserveReport(c.at(1), "w0", tt.report)
			c.ObserveSignals(c.at(2), []message.Signal{tt.signal})
			var got []string
			for _, a := range c.Step(c.at(3)) {
				got = append(got, fmt.Sprintf("%s %s %.2f for %s", a.Kind, a.Ref.Task, a.Share, a.ForClass))
				if a.Reason == "" {
					t.Error("no reason")
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
			c.Release("w0", task)
			if n := c.index.Free("w0"); n != capacity {
				t.Errorf("free after the release: %v", n)
			}
		})
	}
}

// TestRefusal guards against a refusal that does not name the resource that is short, or
// names a resource although the targets of requests are the reason.
func TestRefusal(t *testing.T) {
	tests := []struct {
		name    string
		size    unit.Resources
		want    string
		nearest unit.InstanceID
	}{
		{"cores", unit.Resources{Cores: 9000, Memory: 1}, "short of cores", "w0"},
		{"memory", unit.Resources{Cores: 1, Memory: 9 << 30}, "short of memory", "w0"},
		{"targets", unit.Resources{Cores: 1000, Memory: 1}, "requests would miss their targets beside noisy", "w0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(4)
			for n := range 2 { // an unknown class is tried on two workers of four
				c.Reserve(start, unit.InstanceID(fmt.Sprint("w", n+2)), ref("b", n), "noisy", capacity)
			}
			if id, ok := c.Place("noisy", tt.size); ok {
				t.Fatalf("placed on %s", id)
			}
			why, nearest := c.Refusal(&queue.Job{ID: "n", Class: "noisy", Size: tt.size})
			if !strings.Contains(why, tt.want) || nearest != tt.nearest {
				t.Errorf("Refusal: %q, %s", why, nearest)
			}
		})
	}
}

// TestIdle guards against batch tasks that are held back for requests that no client
// sends, and against placing them without limit before a new owner of the shard can have
// received signals about requests.
func TestIdle(t *testing.T) {
	tests := []struct {
		name string
		// signals has the times of signals about all workers.
		signals []float64
		at      float64
		// want is the number of workers that get a task.
		want int
	}{
		{"new owner", nil, 9, 2},
		{"no requests", nil, 11, 8},
		{"requests", []float64{2, 8}, 11, 2},
		{"requests have ended", []float64{2, 8}, 19, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(8)
			for _, at := range tt.signals {
				for id := range c.workers {
					c.ObserveSignals(c.at(at), []message.Signal{signal(id, 5, 0)})
				}
			}
			c.Step(c.at(tt.at))
			got := 0
			for n := range 9 {
				id, ok := c.Place("noisy", capacity)
				if !ok {
					break
				}
				c.Reserve(c.at(tt.at), id, ref("b", n), "noisy", capacity)
				got++
			}
			if got != tt.want {
				t.Errorf("placed on %d workers, want %d", got, tt.want)
			}
		})
	}
}

// TestQuarantine guards against a worker that fails every task and stays in use, a
// quarantine without an event, and repeated reports that count one failure twice.
func TestQuarantine(t *testing.T) {
	c := newCore(4)
	size := unit.Resources{Cores: 100, Memory: 1}
	for n := range 3 {
		r := ref(unit.JobID(fmt.Sprint("j", n%2)), n)
		c.Reserve(start, "w0", r, "noisy", size)
		failed := worker.Report{Tasks: []worker.Status{{Ref: r, Phase: worker.PhaseFailed}}}
		for range 3 {
			c.ObserveReport(c.at(float64(n)), "w0", failed)
		}
		if events := c.TakeEvents(); (len(events) == 1) != (n == 2) {
			t.Fatalf("after %d failures: %v", n+1, events)
		}
		c.Release("w0", r)
	}
	for range 8 {
		if id, ok := c.Place("sync", size); !ok || id == "w0" {
			t.Fatalf("placed on %q, %v", id, ok)
		}
	}
	c.Step(c.at(40))
	if events := c.TakeEvents(); len(events) != 1 || events[0].What != "probing" {
		t.Errorf("events %v", events)
	}
}

// TestLimits checks for random orders of events that no replica at or below its target is
// evicted, that a second action on a worker waits until the effect of the first can be
// visible, and that at most a quarter of the workers is in quarantine.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 9).Draw(t, "workers")
		c := newCore(workers)
		var ids []unit.InstanceID
		for n := range workers {
			ids = append(ids, unit.InstanceID(fmt.Sprint("w", n)))
		}
		lastAction, visible := map[unit.InstanceID]time.Time{}, map[unit.InstanceID]bool{}
		next, clock := 0, 0.0
		running := func(standing bool) (n int) {
			for _, r := range c.attempts {
				if (r.class == "sync") == standing && !r.ended && r.evictedAt.IsZero() {
					n++
				}
			}
			return n
		}
		pick := func() unit.InstanceID { return rapid.SampledFrom(ids).Draw(t, "worker") }
		existing := func() *attempt {
			var refs []string
			byName := map[string]*attempt{}
			for k, r := range c.attempts {
				name := fmt.Sprint(k)
				refs, byName[name] = append(refs, name), r
			}
			if len(refs) == 0 {
				t.Skip("nothing runs")
			}
			slices.Sort(refs)
			return byName[rapid.SampledFrom(refs).Draw(t, "run")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				class := rapid.SampledFrom([]unit.ClassID{"noisy", "noisy", "sync"}).Draw(t, "class")
				cores := rapid.SampledFrom([]unit.Millicores{1000, 3000, 8000}).Draw(t, "cores")
				next++
				c.Reserve(c.at(clock), pick(), ref(unit.JobID(fmt.Sprint("j", next%3)), next), class, unit.Resources{Cores: cores, Memory: 1 << 30})
			},
			"replica without a worker": func(*rapid.T) { c.Place("sync", unit.Resources{Cores: 8000, Memory: 1 << 30}) },
			"signal": func(t *rapid.T) {
				id := pick()
				s := signal(id, 200, uint32(rapid.SampledFrom([]int{0, 0, 2, 10, 30, 150}).Draw(t, "late")))
				c.ObserveSignals(c.at(clock), []message.Signal{s})
				if from := c.at(clock).Add(-s.Span); from.Sub(lastAction[id]) >= 2*time.Second {
					visible[id] = true
				}
			},
			"end": func(t *rapid.T) {
				r := existing()
				phase := rapid.SampledFrom([]worker.Phase{worker.PhaseDone, worker.PhaseFailed, worker.PhaseFailed, worker.PhaseCheckpointed}).Draw(t, "phase")
				c.ObserveReport(c.at(clock), r.worker, worker.Report{Tasks: []worker.Status{{Ref: r.ref, Phase: phase}}})
				c.Release(r.worker, r.ref)
			},
			"step": func(t *rapid.T) {
				clock += rapid.SampledFrom([]float64{1, 1, 2, 5}).Draw(t, "seconds")
				before := running(true)
				evicted := 0
				actedOn := map[unit.InstanceID]bool{}
				for _, a := range c.Step(c.at(clock)) {
					last, ok := lastAction[a.Worker]
					if ok && !actedOn[a.Worker] && !visible[a.Worker] && c.at(clock).Sub(last) < 20*time.Second {
						t.Fatalf("%s: %s on %s, %s after the last action, whose effect was not visible", c.at(clock), a.Kind, a.Worker, c.at(clock).Sub(last))
					}
					actedOn[a.Worker] = true
					if a.Class == "sync" && a.Kind != worker.ActionThrottle {
						evicted++
					}
				}
				for id := range actedOn {
					lastAction[id], visible[id] = c.at(clock), false
				}
				if evicted > max(0, before-2) {
					t.Fatalf("%d of %d replicas evicted, the target is 2", evicted, before)
				}
			},
			"": func(t *rapid.T) {
				quarantined := 0
				for _, id := range ids {
					if _, ok := c.index.QuarantinedUntil(id); ok {
						quarantined++
					}
				}
				if quarantined > max(1, workers/4) {
					t.Fatalf("%d of %d workers in quarantine", quarantined, workers)
				}
			},
		})
	})
}

// TestSurplus guards against evictions of replicas on several workers in one step that
// together take the class below its target. The loop does not prevent them, since it
// decides for each worker separately.
func TestSurplus(t *testing.T) {
	c := newCore(3)
	var actions []control.Action
	for n, id := range []unit.InstanceID{"w0", "w1", "w2"} {
		c.Reserve(start, id, ref("s", n), "sync", unit.Resources{Cores: 1000, Memory: 1})
		actions = append(actions, control.Action{Worker: id, Ref: ref("s", n), Class: "sync", Kind: worker.ActionCheckpoint})
	}
	if kept := c.applyActions(c.at(1), actions); len(kept) != 1 {
		t.Errorf("%d of 3 replicas evicted, the target is 2", len(kept))
	}
}
