package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// TestInvariants guards against a worker that is overcommitted (P1), a task that
// runs in two places (P2), an attempt with two successors or a lost checkpoint
// (P3), and a start in a zone out of service (P4), with any mix of lost, late and
// doubled messages, pauses, restarts, partitions, store outages and changes of
// owner. After the faults end, all work must end too.
func TestInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"))
		s.advise = rapid.Bool().Draw(t, "advise")
		s.drop = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "drop")
		s.slow = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "slow")
		s.double = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
		s.submit(queue.Job{Class: "sync", Size: unit.Resources{Cores: 500}}, true)
		entry := rapid.Custom(func(t *rapid.T) *simEntry { return s.entries[rapid.IntRange(0, 2).Draw(t, "entry")] })
		node := rapid.Custom(func(t *rapid.T) *simWorker { return s.workers[rapid.IntRange(0, 5).Draw(t, "worker")] })
		s.advance(10 * time.Second)
		wait := func(t *rapid.T) {
			choices := []int{20, 100, 300, 1000, 3000, 6000, 15000, 40000}
			s.advance(time.Duration(rapid.SampledFrom(choices).Draw(t, "ms")) * time.Millisecond)
		}
		takeOut := func(z unit.ZoneID) {
			if _, out := s.store.out[z]; !out {
				s.store.out[z] = s.now
				s.store.publish()
			}
		}
		start := func(t *rapid.T) {
			clear(s.store.out)
			s.store.publish()
			s.advance(2 * time.Second)
			s.submit(queue.Job{
				Class: "batch", Tasks: 9, Size: unit.Resources{Cores: 500}, Work: unit.Duration(20 * time.Second),
			}, false)
			s.advance(time.Duration(rapid.IntRange(1000, 2500).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait":       wait,
			"wait again": wait,
			"wait long": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					s.advanceLong(lease.MaxDisconnected + time.Minute)
				}
			},
			// The case that the renewal bound is for: the owner reaches its workers but
			// not the store, and its successors reach the store but not the workers.
			// Successors may also hand over among themselves.
			"owner cut off": func(t *rapid.T) {
				z := rapid.SampledFrom(simZones).Draw(t, "zone")
				clear(s.cut)
				for _, e := range s.entries {
					if e.hosts[unit.ShardID{Zone: z}] != nil {
						s.cut[e.link("store")] = true
						continue
					}
					for _, w := range s.workers {
						s.cut[e.link(string(w.id))] = w.zone == z
					}
				}
				s.advance(30 * time.Second)
				if rapid.Bool().Draw(t, "hand over") {
					for _, e := range s.entries {
						if h := e.hosts[unit.ShardID{Zone: z}]; h != nil && !s.cut[e.link("store")] {
							h.step(ReleaseRequested{})
						}
					}
					s.advance(30 * time.Second)
				}
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					s.advanceLong(lease.MaxDisconnected + time.Minute)
				}
			},
			"submit": func(t *rapid.T) {
				j := queue.Job{
					Class: "batch", Tasks: unit.TaskIndex(rapid.IntRange(1, 9).Draw(t, "tasks")),
					Size: unit.Resources{Cores: unit.Millicores(rapid.IntRange(500, 2500).Draw(t, "cores"))},
					Work: unit.Duration(time.Duration(rapid.IntRange(100, 60000).Draw(t, "work ms")) * time.Millisecond),
				}
				switch rapid.IntRange(0, 9).Draw(t, "kind") {
				case 0:
					j.Payload = "fail"
				case 1:
					j.Size.Cores = 5000
				}
				s.submit(j, false)
			},
			"cancel": func(t *rapid.T) {
				id := unit.JobID(fmt.Sprint("j", rapid.IntRange(2, 20).Draw(t, "job")))
				if j, ok := s.store.jobs[id]; ok {
					j.Record.Cancelled = true
					s.store.putJob(j.Record)
				}
			},
			"zone": func(t *rapid.T) {
				z := rapid.SampledFrom(simZones).Draw(t, "zone")
				if _, out := s.store.out[z]; out {
					delete(s.store.out, z)
					s.store.publish()
				} else {
					takeOut(z)
				}
			},
			// Starts that are under way when something happens are rare otherwise.
			"starts, then zone out": func(t *rapid.T) {
				start(t)
				for _, z := range simZones {
					takeOut(z)
				}
				s.advance(12 * time.Second)
			},
			"starts, then restarts": func(t *rapid.T) {
				start(t)
				for _, w := range s.workers {
					w.boot(0)
				}
				s.advance(12 * time.Second)
			},
			"pause": func(t *rapid.T) { entry.Draw(t, "which").paused = true },
			"resume": func(t *rapid.T) {
				if e := entry.Draw(t, "which"); e.paused {
					e.resume()
				}
			},
			"replace entry": func(t *rapid.T) { entry.Draw(t, "which").boot() },
			"release": func(t *rapid.T) {
				for _, h := range entry.Draw(t, "which").all() {
					h.step(ReleaseRequested{})
				}
			},
			"cut": func(t *rapid.T) {
				to := rapid.SampledFrom([]string{"store", "z1-w0", "z1-w1", "z2-w0", "z2-w1", "z3-w0", "z3-w1"}).Draw(t, "to")
				link := entry.Draw(t, "which").link(to)
				s.cut[link] = !s.cut[link]
			},
			"heal":  func(*rapid.T) { clear(s.cut) },
			"store": func(*rapid.T) { s.store.down = !s.store.down },
			"restart worker": func(t *rapid.T) {
				node.Draw(t, "which").boot(rapid.Int64Range(0, 1e10).Draw(t, "clock"))
			},
			"drain": func(t *rapid.T) {
				w := node.Draw(t, "which")
				w.leaving = !w.leaving
				s.listed++
			},
			"refuse": func(t *rapid.T) {
				w := node.Draw(t, "which")
				w.refusing = !w.refusing
			},
			"evict": func(t *rapid.T) {
				w := node.Draw(t, "which")
				action := rapid.SampledFrom([]worker.Action{
					worker.ActionThrottle, worker.ActionCheckpoint, worker.ActionStop,
				}).Draw(t, "action")
				for _, ref := range sortedRefs(w.attempts) {
					for _, e := range s.entries {
						if h := e.hosts[unit.ShardID{Zone: w.zone}]; h != nil && !e.paused {
							h.step(Evict{Ref: ref, Action: action, Share: 0.5})
						}
					}
				}
			},
		})
		s.heal()
		for n := 0; ; n++ {
			stuck := s.unfinished()
			if stuck == "" {
				break
			}
			if n == 200 {
				t.Fatalf("two renewal bounds after the last fault: %s", stuck)
			}
			if n == 0 {
				s.advance(lease.MaxDisconnected / 100)
			} else {
				s.advanceLong(lease.MaxDisconnected / 100)
			}
		}
	})
}

// heal ends all faults.
func (s *sim) heal() {
	clear(s.cut)
	clear(s.store.out)
	s.store.publish()
	s.store.down = false
	s.drop, s.slow, s.double = 0, 0, 0
	for _, e := range s.entries {
		if e.paused {
			e.resume()
		}
	}
	for _, w := range s.workers {
		w.leaving, w.refusing = false, false
	}
	s.listed++
}

// unfinished returns what keeps the model from being at rest: work that neither
// ended nor is parked for a reason, or replicas that do not run.
func (s *sim) unfinished() string {
	for _, id := range slices.Sorted(maps.Keys(s.store.jobs)) {
		r := s.store.jobs[id].Record
		for _, p := range r.Parts {
			able := r.Job.Payload != "fail" && r.Job.Size.Cores <= simCapacity.Cores
			switch {
			case r.Standing || p.End != nil:
			case p.Parked == "":
				return fmt.Sprintf("job %s has %+v", id, p)
			case able:
				return fmt.Sprintf("job %s is parked without a reason: %s", id, p.Parked)
			}
		}
	}
	for _, zone := range simZones {
		running := 0
		for _, w := range s.workers {
			w.settle()
			for _, a := range w.attempts {
				if w.zone == zone && a.Class == "sync" && a.Phase == worker.PhaseRunning {
					running++
				}
			}
		}
		if running != 1 {
			return fmt.Sprintf("%d replicas run in zone %s, want 1", running, zone)
		}
	}
	return ""
}
