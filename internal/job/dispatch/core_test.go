package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // fixes the seed unless -rapid.seed is set
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// TestInvariants guards against an overcommitted worker (P1), a task that runs on
// two workers (P2), an attempt that starts twice, after a later one or after the
// end of the task, or without the last checkpoint (P3), and a start in a zone out
// of service (P4). The faults are any mix of lost, late and duplicate messages,
// pauses, restarts, partitions, store outages and changes of owner. All work must
// end after the faults do.
func TestInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"))
		s.withPolicy = rapid.Bool().Draw(t, "advise")
		s.dropRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "drop")
		s.delayRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "slow")
		s.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
		s.submit(queue.Job{Class: "sync", Size: unit.Resources{Cores: 500}}, true)
		anyEntry := rapid.Custom(func(t *rapid.T) *simEntry { return s.entries[rapid.IntRange(0, 2).Draw(t, "entry")] })
		anyWorker := rapid.Custom(func(t *rapid.T) *simWorker { return s.workers[rapid.IntRange(0, 5).Draw(t, "worker")] })
		s.advance(10 * time.Second)
		wait := func(t *rapid.T) {
			choices := []int{20, 100, 300, 1000, 3000, 6000, 15000, 40000}
			s.advance(time.Duration(rapid.SampledFrom(choices).Draw(t, "ms")) * time.Millisecond)
		}
		takeOut := func(z unit.ZoneID) {
			if _, out := s.store.zonesOut[z]; !out {
				s.store.zonesOut[z] = s.now
				s.store.publishDocument()
			}
		}
		start := func(t *rapid.T) {
			clear(s.store.zonesOut)
			s.store.publishDocument()
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
			// lease.MaxDisconnected exists for this case: the owner reaches its
			// workers but not the store, and its successors reach the store but
			// not the workers. Successors may also hand the shard over among
			// themselves.
			"owner cut off": func(t *rapid.T) {
				z := rapid.SampledFrom(simZones).Draw(t, "zone")
				clear(s.brokenLinks)
				for _, e := range s.entries {
					if e.runners[unit.ShardID{Zone: z}] != nil {
						s.brokenLinks[e.link("store")] = true
						continue
					}
					for _, w := range s.workers {
						s.brokenLinks[e.link(string(w.id))] = w.zone == z
					}
				}
				s.advance(30 * time.Second)
				if rapid.Bool().Draw(t, "hand over") {
					for _, e := range s.entries {
						if r := e.runners[unit.ShardID{Zone: z}]; r != nil && !s.brokenLinks[e.link("store")] {
							r.handleEvent(ReleaseRequested{})
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
				if _, out := s.store.zonesOut[z]; out {
					delete(s.store.zonesOut, z)
					s.store.publishDocument()
				} else {
					takeOut(z)
				}
			},
			// Without this action, few starts are in flight when a fault occurs.
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
			"pause": func(t *rapid.T) { anyEntry.Draw(t, "which").paused = true },
			"resume": func(t *rapid.T) {
				if e := anyEntry.Draw(t, "which"); e.paused {
					e.resume()
				}
			},
			"replace entry": func(t *rapid.T) { anyEntry.Draw(t, "which").boot() },
			"release": func(t *rapid.T) {
				for _, r := range anyEntry.Draw(t, "which").allRunners() {
					r.handleEvent(ReleaseRequested{})
				}
			},
			"cut": func(t *rapid.T) {
				to := rapid.SampledFrom([]string{"store", "z1-w0", "z1-w1", "z2-w0", "z2-w1", "z3-w0", "z3-w1"}).Draw(t, "to")
				link := anyEntry.Draw(t, "which").link(to)
				s.brokenLinks[link] = !s.brokenLinks[link]
			},
			"heal":  func(*rapid.T) { clear(s.brokenLinks) },
			"store": func(*rapid.T) { s.store.unavailable = !s.store.unavailable },
			"restart worker": func(t *rapid.T) {
				anyWorker.Draw(t, "which").boot(rapid.Int64Range(0, 1e10).Draw(t, "clock"))
			},
			"drain": func(t *rapid.T) {
				w := anyWorker.Draw(t, "which")
				w.leaving = !w.leaving
				s.listVersion++
			},
			"refuse": func(t *rapid.T) {
				w := anyWorker.Draw(t, "which")
				w.refusing = !w.refusing
			},
			"evict": func(t *rapid.T) {
				w := anyWorker.Draw(t, "which")
				action := rapid.SampledFrom([]worker.Action{
					worker.ActionThrottle, worker.ActionCheckpoint, worker.ActionStop,
				}).Draw(t, "action")
				for _, ref := range sortedRefs(w.attempts) {
					for _, e := range s.entries {
						if r := e.runners[unit.ShardID{Zone: w.zone}]; r != nil && !e.paused {
							r.handleEvent(Evict{Ref: ref, Action: action, Share: 0.5})
						}
					}
				}
			},
		})
		s.endFaults()
		for n := 0; ; n++ {
			stuck := s.unfinishedWork()
			if stuck == "" {
				break
			}
			if n == 200 {
				t.Fatalf("twice lease.MaxDisconnected after the last fault: %s", stuck)
			}
			if n == 0 {
				s.advance(lease.MaxDisconnected / 100)
			} else {
				s.advanceLong(lease.MaxDisconnected / 100)
			}
		}
	})
}

// endFaults ends all faults.
func (s *sim) endFaults() {
	clear(s.brokenLinks)
	clear(s.store.zonesOut)
	s.store.publishDocument()
	s.store.unavailable = false
	s.dropRate, s.delayRate, s.duplicateRate = 0, 0, 0
	for _, e := range s.entries {
		if e.paused {
			e.resume()
		}
	}
	for _, w := range s.workers {
		w.leaving, w.refusing = false, false
	}
	s.listVersion++
}

// unfinishedWork returns a description of work that has neither ended nor is
// parked with a reason, or of replicas that do not run. It returns an empty
// string if there is none.
func (s *sim) unfinishedWork() string {
	for _, id := range slices.Sorted(maps.Keys(s.store.jobs)) {
		r := s.store.jobs[id].Record
		for _, p := range r.Parts {
			able := r.Job.Payload != "fail" && r.Job.Size.Cores <= simCapacity.Cores
			switch {
			case r.Standing || p.Outcome != nil:
			case p.ParkedReason == "":
				return fmt.Sprintf("job %s has %+v", id, p)
			case able:
				return fmt.Sprintf("job %s is parked without a reason: %s", id, p.ParkedReason)
			}
		}
	}
	for _, zone := range simZones {
		running := 0
		for _, w := range s.workers {
			w.endDue()
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
