package slot

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var start = time.Unix(1000, 0)

// TestViewChange guards against a slot that is used too early after a gain, or
// given up without need.
func TestViewChange(t *testing.T) {
	type step struct {
		at      time.Duration
		entries []unit.EntryID
	}
	both, alone := []unit.EntryID{"a", "b"}, []unit.EntryID{"a"}
	own := len(ownedBy("a", both))
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  int
	}{
		{"no view", nil, 0, 0},
		{"first view waits", []step{{0, alone}, {41 * time.Second, alone}}, 41 * time.Second, 0},
		{"first view is used", []step{{0, alone}, {20 * time.Second, alone}, {41 * time.Second, alone}}, 42 * time.Second, 8},
		{"view read too long ago", []step{{0, alone}, {20 * time.Second, alone}, {41 * time.Second, alone}}, 51 * time.Second, 0},
		{"lost slots stop at once", []step{{0, alone}, {25 * time.Second, alone}, {50 * time.Second, both}}, 50 * time.Second, own},
		{"regained soon", []step{{0, alone}, {25 * time.Second, alone}, {45 * time.Second, alone}, {50 * time.Second, both}, {60 * time.Second, alone}}, 60 * time.Second, 8},
		{"regained late", []step{{0, alone}, {25 * time.Second, alone}, {50 * time.Second, both}, {70 * time.Second, both}, {90 * time.Second, alone}}, 90 * time.Second, own},
		{"all waits again after a lapse", []step{{0, alone}, {25 * time.Second, alone}, {50 * time.Second, alone}, {90 * time.Second, alone}}, 90 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("a", DefaultRules())
			p.SetWorkers([]Worker{{ID: "w", Slots: 8, Connections: 64}})
			for i, s := range tt.steps {
				p.Adopt(s.entries, unit.Revision(i+1), start.Add(s.at), start.Add(s.at))
			}
			want := Share{Slots: tt.want, Connections: 4 * tt.want}
			if diff := cmp.Diff(want, p.Share("w", start.Add(tt.at))); diff != "" {
				t.Errorf("share (-want +got):\n%s", diff)
			}
		})
	}
}

func ownedBy(id unit.EntryID, entries []unit.EntryID) []Index {
	p := New(id, DefaultRules())
	p.Adopt(entries, 1, start, start)
	var owned []Index
	for i := range Index(8) {
		if p.owner(xxhash.Sum64String("w"), i) == id {
			owned = append(owned, i)
		}
	}
	return owned
}

// fleet is a model of entries that share one worker through one store.
type fleet struct {
	now        time.Time
	registered []unit.EntryID
	revision   unit.Revision
	entries    []*entry
	mail       []Release
}

type entry struct {
	id    unit.EntryID
	part  *Partition
	reads []reading // sent, not yet adopted; a pause delays the adoption
	busy  [8]time.Time
	open  [8]time.Time // connections of the slot stay open until here
}

type reading struct {
	entries  []unit.EntryID
	revision unit.Revision
	sent     time.Time
}

// TestNeverOvercommitted guards against two entries that use the same slot, or
// too many connections of a worker, in any order of view changes, late reads,
// pauses, lapses of registrations and releases that arrive late.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start}
		for i := range rapid.IntRange(2, 4).Draw(t, "entries") {
			f.add(unit.EntryID(fmt.Sprint("e", i)))
		}
		pick := func(t *rapid.T) *entry { return f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")] }
		pass := func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"register or lapse": func(t *rapid.T) { f.toggle(pick(t).id) },
			"read":              func(t *rapid.T) { f.read(pick(t)) },
			"adopt":             func(t *rapid.T) { f.adopt(pick(t)) },
			"read all": func(*rapid.T) {
				for _, e := range f.entries {
					f.read(e)
					f.adopt(e)
				}
			},
			"pass": pass,
			"quiet minute": func(t *rapid.T) {
				paused := rapid.IntRange(0, 2*len(f.entries)).Draw(t, "paused")
				for range 20 {
					f.now = f.now.Add(3 * time.Second)
					for i, e := range f.entries {
						if i != paused {
							f.read(e)
							f.adopt(e)
						}
					}
				}
			},
			"use": func(t *rapid.T) {
				f.use(pick(t), Index(rapid.IntRange(0, 7).Draw(t, "slot")),
					time.Duration(rapid.IntRange(0, 30).Draw(t, "s"))*time.Second)
			},
			"release": func(t *rapid.T) { f.release(pick(t)) },
			"deliver": func(t *rapid.T) {
				if len(f.mail) > 0 {
					r := rapid.SampledFrom(f.mail).Draw(t, "release") // kept, so it may come again
					for _, e := range f.entries {
						e.part.Accept(r, f.now)
					}
				}
			},
			"": f.check,
		})
	})
}

func (f *fleet) add(id unit.EntryID) {
	e := &entry{id: id, part: New(id, DefaultRules())}
	e.part.SetWorkers([]Worker{{ID: "w", Slots: 8, Connections: 64}})
	f.entries = append(f.entries, e)
}

func (f *fleet) toggle(id unit.EntryID) {
	f.revision++
	f.registered = slices.Clone(f.registered)
	if i := slices.Index(f.registered, id); i >= 0 {
		f.registered = slices.Delete(f.registered, i, i+1)
		return
	}
	f.registered = append(f.registered, id)
	slices.Sort(f.registered)
}

func (f *fleet) read(e *entry) {
	e.reads = append(e.reads, reading{f.registered, f.revision, f.now})
}

func (f *fleet) adopt(e *entry) {
	if len(e.reads) == 0 {
		return
	}
	r := e.reads[0]
	e.reads = e.reads[1:]
	e.part.Adopt(r.entries, r.revision, r.sent, f.now)
}

func (f *fleet) use(e *entry, s Index, span time.Duration) {
	if !e.part.usable(&e.part.workers["w"].rights[s], f.now) || f.now.Before(e.busy[s]) {
		return
	}
	e.busy[s] = f.now.Add(span)
	// The worker's keep-alive timeout is at most 30 s after the response.
	e.open[s] = e.busy[s].Add(30 * time.Second)
}

func (f *fleet) release(e *entry) {
	for _, until := range e.busy {
		if f.now.Before(until) {
			return
		}
	}
	f.mail = append(f.mail, e.part.Release("w", f.now)...)
}

func (f *fleet) check(t *rapid.T) {
	connections := 0
	for s := range 8 {
		var holders []unit.EntryID
		for _, e := range f.entries {
			if f.now.Before(e.busy[s]) || e.part.usable(&e.part.workers["w"].rights[s], f.now) {
				holders = append(holders, e.id)
			}
			if f.now.Before(e.open[s]) {
				connections += 4
			}
		}
		if len(holders) > 1 {
			t.Fatalf("slot %d is held by %v", s, holders)
		}
	}
	if connections > 64 {
		t.Fatalf("%d connections are open", connections)
	}
}

// BenchmarkViewChange measures a view change at the scale target.
func BenchmarkViewChange(b *testing.B) {
	var workers []Worker
	for i := range 4400 {
		workers = append(workers, Worker{ID: unit.InstanceID(fmt.Sprint("w", i)), Slots: 8, Connections: 64})
	}
	var entries []unit.EntryID
	for i := range 40 {
		entries = append(entries, unit.EntryID(fmt.Sprintf("e%02d", i)))
	}
	p := New("e07", DefaultRules())
	p.SetWorkers(workers)
	now := start
	revision := unit.Revision(0)
	for b.Loop() {
		now = now.Add(time.Second)
		revision++
		p.Adopt(entries[revision%2:], revision, now, now)
	}
}
