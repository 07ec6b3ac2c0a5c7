package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestListFallback guards against an owner that depends on the entry through which it reads
// the instance list, or that asks entries and the store all the time once that has failed.
func TestListFallback(t *testing.T) {
	const link unit.BitRate = 100_000_000
	type situation struct {
		owner   *listOwner
		entries map[unit.EntryID]*testEntry
	}
	setLost := func(s situation, lost bool) {
		s.owner.network.mu.Lock()
		defer s.owner.network.mu.Unlock()
		s.owner.network.lost = lost
	}
	tests := []struct {
		name       string
		registered []unit.EntryID // beside entries a and b, which follow the list
		fault      func(*testing.T, situation)
		source     unit.EntryID  // 4 s after the fault
		oldest     time.Duration // limit of the age of the view
		calls      int           // limit, of the store in 20 s
		asked      int           // limit, of entries in 20 s
	}{
		{"no fault", []unit.EntryID{"a", "b"}, nil, "a", 400 * time.Millisecond, 75, 75},
		{"no entry", nil, nil, "", 400 * time.Millisecond, 75, 0},
		{"earlier release", []unit.EntryID{"old"}, nil, "", 400 * time.Millisecond, 75, 8},
		{"earlier release among others", []unit.EntryID{"old", "b"}, nil, "b", 400 * time.Millisecond, 75, 75},
		{"store unavailable at the entry", []unit.EntryID{"a", "b"}, func(_ *testing.T, s situation) { s.entries["a"].store.setDown(true) }, "b", 800 * time.Millisecond, 80, 85},
		{"store unavailable at all entries", []unit.EntryID{"a", "b"}, func(_ *testing.T, s situation) {
			s.entries["a"].store.setDown(true)
			s.entries["b"].store.setDown(true)
		}, "", 800 * time.Millisecond, 80, 45},
		{"answers lost", []unit.EntryID{"a", "b"}, func(_ *testing.T, s situation) { setLost(s, true) }, "", 1500 * time.Millisecond, 90, 45},
		{"entry left", []unit.EntryID{"a", "b"}, func(_ *testing.T, s situation) {
			s.owner.shard.service.ownership.(*changingOwnership).set("b")
		}, "b", 400 * time.Millisecond, 80, 75},
		{"entry restarted", []unit.EntryID{"a", "b"}, func(t *testing.T, s situation) {
			s.entries["a"].stop()
			e, err := startEntry(t.Context(), "a", s.owner.network, s.owner.log)
			if err != nil {
				t.Fatal(err)
			}
			s.entries["a"] = e
		}, "a", 400 * time.Millisecond, 80, 75},
		{"entry stopped", []unit.EntryID{"a", "b"}, func(_ *testing.T, s situation) { s.entries["a"].stop() }, "b", 1500 * time.Millisecond, 90, 85},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newEventLog()
				workers := &beatingWorkers{log: log}
				for i := range 300 {
					workers.add(scheduler.Incarnation(i))
				}
				var beats sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				defer beats.Wait()
				defer cancel()
				beats.Go(func() { workers.run(ctx) })
				network := newLinkedNetwork(link)
				entries := map[unit.EntryID]*testEntry{}
				for _, id := range []unit.EntryID{"a", "b"} {
					var err error
					if entries[id], err = startEntry(t.Context(), id, network, log); err != nil {
						t.Fatal(err)
					}
					defer func() { entries[id].stop() }()
				}
				o, err := startListOwner(t.Context(), network, link, log, tt.registered...)
				if err != nil {
					t.Fatal(err)
				}
				defer o.stop()
				time.Sleep(5 * time.Second)
				calls, asked := log.callCount(), o.network.callCount()
				if tt.fault != nil {
					tt.fault(t, situation{o, entries})
				}
				workers.set(7, func(w *workerItem) { w.Draining = true })
				workers.remove(8)
				var oldest time.Duration
				for i := range 400 {
					time.Sleep(50 * time.Millisecond)
					oldest = max(oldest, o.shard.workersConfirmed.age(time.Now()))
					if i == 80 {
						if diff := cmp.Diff(tt.source, o.source.entry()); diff != "" {
							t.Errorf("source of the list (-want +got):\n%s", diff)
						}
						if diff := cmp.Diff(decodeAll(t, log), o.listings()); diff != "" {
							t.Errorf("workers (-want +got):\n%s", diff)
						}
					}
				}
				if oldest > tt.oldest {
					t.Errorf("view was up to %s old, want at most %s", oldest, tt.oldest)
				}
				if n := log.callCount() - calls; n > tt.calls {
					t.Errorf("%d calls of the store, want at most %d", n, tt.calls)
				}
				if n := o.network.callCount() - asked; n > tt.asked {
					t.Errorf("%d calls of entries, want at most %d", n, tt.asked)
				}
			})
		})
	}
}

// contentHistory is what the item of each worker has held.
type contentHistory map[unit.InstanceID][]datedContent

// datedContent is what the item of a worker has held from a time on, -1 for nothing that
// can be used.
type datedContent struct {
	at          time.Time
	incarnation scheduler.Incarnation
}

// allows reports whether a view that was confirmed for a time may show a content: the one
// that the item held then, or a later one.
func (h contentHistory) allows(id unit.InstanceID, confirmedAt time.Time, shown scheduler.Incarnation) bool {
	held := datedContent{incarnation: -1}
	for _, c := range h[id] {
		if !c.at.Before(confirmedAt) && c.incarnation == shown {
			return true
		}
		if c.at.Before(confirmedAt) {
			held = c
		}
	}
	return held.incarnation == shown
}

// withoutDeadline is a test whose deadline, which is not on the clock of its bubble, is not
// asked for.
type withoutDeadline struct{ testing.TB }

// TestListView guards against a view of the instance list that misses a change until the
// time for which it is confirmed, whatever happens to the entries, the store and answers.
func TestListView(t *testing.T) {
	const workers = 4
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(rt *rapid.T) {
			log := newEventLog()
			log.coalesces = rapid.Bool().Draw(rt, "coalesces")
			history := contentHistory{}
			put := func(i int, incarnation scheduler.Incarnation, value []byte) {
				history[workerName(i)] = append(history[workerName(i)], datedContent{time.Now(), incarnation})
				log.put(workerName(i), value)
			}
			for i := range workers {
				put(i, 0, fmt.Appendf(nil, `{"born":0,"seq":%d}`, i))
			}
			time.Sleep(time.Millisecond)
			network := newLinkedNetwork(8_000_000)
			entries := map[unit.EntryID]*testEntry{}
			restart := func(id unit.EntryID) {
				if entries[id] != nil {
					entries[id].stop()
				}
				var err error
				if entries[id], err = startEntry(t.Context(), id, network, log); err != nil {
					rt.Fatal(err)
				}
			}
			restart("a")
			restart("b")
			defer func() {
				for _, e := range entries {
					e.stop()
				}
			}()
			// The list counts as large for the capacity that the owner knows of.
			o, err := startListOwner(t.Context(), network, 1_000, log, "a", "b")
			if err != nil {
				rt.Fatal(err)
			}
			defer o.stop()
			check := func(rt *rapid.T) {
				o.shard.mu.Lock()
				defer o.shard.mu.Unlock()
				confirmedAt := time.Now().Add(-o.shard.workersConfirmed.age(time.Now()))
				for i := range workers {
					shown := scheduler.Incarnation(-1)
					if l, ok := o.shard.listings[workerName(i)]; ok {
						shown = l.Incarnation
					}
					if !history.allows(workerName(i), confirmedAt, shown) {
						rt.Fatalf("%s shown as %d by a view confirmed for %s; it held %v", workerName(i), shown, confirmedAt, history[workerName(i)])
					}
				}
			}
			worker := rapid.IntRange(0, workers-1)
			entry := rapid.SampledFrom([]unit.EntryID{"a", "b"})
			sequence := 0
			rt.Repeat(map[string]func(*rapid.T){
				"": func(rt *rapid.T) {
					time.Sleep(time.Millisecond)
					synctest.Wait()
					check(rt)
				},
				"write": func(rt *rapid.T) {
					i, incarnation := worker.Draw(rt, "worker"), rapid.IntRange(0, 2).Draw(rt, "incarnation")
					sequence++
					put(i, scheduler.Incarnation(incarnation), fmt.Appendf(nil, `{"born":%d,"seq":%d}`, incarnation, sequence))
				},
				"write odd item": func(rt *rapid.T) { put(worker.Draw(rt, "worker"), -1, []byte("odd")) },
				"remove":         func(rt *rapid.T) { put(worker.Draw(rt, "worker"), -1, nil) },
				"compact":        func(*rapid.T) { log.compact() },
				"wait": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
				},
				"cut link":      func(rt *rapid.T) { o.link.setCut(rapid.Bool().Draw(rt, "cut")) },
				"restart entry": func(rt *rapid.T) { restart(entry.Draw(rt, "entry")) },
				"stop store at entry": func(rt *rapid.T) {
					entries[entry.Draw(rt, "entry")].store.setDown(rapid.Bool().Draw(rt, "down"))
				},
				"lose answers": func(rt *rapid.T) {
					o.network.mu.Lock()
					defer o.network.mu.Unlock()
					o.network.lost = rapid.Bool().Draw(rt, "lost")
				},
			})
			o.link.setCut(false)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			check(rt)
			if diff := cmp.Diff(decodeAll(t, log), o.listings()); diff != "" {
				rt.Fatalf("workers at the end (-want +got):\n%s", diff)
			}
		})
	})
}
