package slot

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/bench/seed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

func init() { seed.Search(500, 100) }

var start = time.Unix(1000, 0)

// TestViewChange guards against a slot that is used too early after a gain, or
// given up without need.
func TestViewChange(t *testing.T) {
	type step struct {
		at       time.Duration
		entries  []unit.EntryID
		complete bool
		acked    bool // by b
	}
	both, alone := []unit.EntryID{"a", "b"}, []unit.EntryID{"a"}
	own := len(ownedBy("a", both))
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  int
	}{
		{"first view without lost entries", []step{{at: 0, entries: alone, complete: true}}, 0, 8},
		{"unacknowledged view waits", []step{{at: 0, entries: both, complete: true}}, 0, 0},
		{"acknowledged view is used", []step{{at: 0, entries: both, complete: true, acked: true}}, 0, own},
		{"a lost entry may hold slots", []step{{at: 0, entries: both, acked: true}}, 0, 0},
		{"no view", nil, 0, 0},
		{"first view waits", []step{{at: 0, entries: alone}, {at: 41 * time.Second, entries: alone}}, 41 * time.Second, 0},
		{"first view is used", []step{{at: 0, entries: alone}, {at: 20 * time.Second, entries: alone}, {at: 41 * time.Second, entries: alone}}, 42 * time.Second, 8},
		{"view read too long ago", []step{{at: 0, entries: alone}, {at: 20 * time.Second, entries: alone}, {at: 41 * time.Second, entries: alone}}, 51 * time.Second, 0},
		{"lost slots stop at once", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 50 * time.Second, entries: both}}, 50 * time.Second, own},
		{"regained soon", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 45 * time.Second, entries: alone}, {at: 50 * time.Second, entries: both}, {at: 60 * time.Second, entries: alone}}, 60 * time.Second, 8},
		{"regained late", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 50 * time.Second, entries: both}, {at: 70 * time.Second, entries: both}, {at: 90 * time.Second, entries: alone}}, 90 * time.Second, own},
		{"all waits again after a lapse", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 50 * time.Second, entries: alone}, {at: 90 * time.Second, entries: alone}}, 90 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("a", DefaultTiming())
			p.SetWorkers([]Worker{{ID: "w", Slots: 8, Connections: 64}})
			for i, s := range tt.steps {
				p.AdoptView(View{Entries: s.entries, Revision: unit.Revision(i + 1), NoLostEntries: s.complete}, start.Add(s.at), start.Add(s.at))
				if s.acked {
					settled := roster.SettledView{Revision: unit.Revision(i + 1), MembersHash: roster.Fingerprint(s.entries)}
					p.RecordAck("b", settled, start.Add(s.at))
				}
			}
			want := Share{Slots: tt.want, Connections: 4 * tt.want}
			if diff := cmp.Diff(want, p.Share("w", start.Add(tt.at))); diff != "" {
				t.Errorf("share (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAcknowledge guards against a slot that is used at once on the word of an
// entry that has settled on a view with other entries, whose owners may still use
// the slot.
func TestAcknowledge(t *testing.T) {
	both := []unit.EntryID{"a", "b"}
	tests := []struct {
		name     string
		revision unit.Revision
		entries  []unit.EntryID // of the view that b has settled on
		want     int
	}{
		{"same view", 5, both, len(ownedBy("a", both))},
		{"later view with the same entries", 6, both, len(ownedBy("a", both))},
		{"later view with another entry", 6, []unit.EntryID{"a", "b", "c"}, 0},
		{"later view without this entry", 6, []unit.EntryID{"b"}, 0},
		{"earlier view with the same entries", 4, both, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("a", DefaultTiming())
			p.SetWorkers([]Worker{{ID: "w", Slots: 8, Connections: 64}})
			p.AdoptView(View{Entries: both, Revision: 5, NoLostEntries: true}, start, start)
			p.RecordAck("b", roster.SettledView{Revision: tt.revision, MembersHash: roster.Fingerprint(tt.entries)}, start)
			if got := p.Share("w", start).Slots; got != tt.want {
				t.Errorf("%d slots, want %d", got, tt.want)
			}
		})
	}
}

func ownedBy(id unit.EntryID, entries []unit.EntryID) []Index {
	p := New(id, DefaultTiming())
	p.AdoptView(View{Entries: entries, Revision: 1}, start, start)
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
	open       map[unit.EntryID]time.Time // lasting records: when the registration ended, or zero
	revision   unit.Revision
	entries    []*entry
	acks       []ack
	started    int // entries ever
}

// ack is an acknowledgement under way.
type ack struct {
	from    unit.EntryID
	settled roster.SettledView
}

type entry struct {
	id    unit.EntryID
	part  *Partition
	reads []reading // sent, not yet adopted; a pause delays the adoption
	busy  [8]time.Time
	open  [8]time.Time // connections of the slot stay open until here
}

type reading struct {
	view View
	sent time.Time
}

// TestNeverOvercommitted guards against two entries that use the same slot, or
// too many connections of a worker, in any order of view changes, late reads,
// pauses, lapses of registrations and acknowledgements that arrive late.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start, open: map[unit.EntryID]time.Time{}}
		for range rapid.IntRange(2, 4).Draw(t, "entries") {
			f.entries = append(f.entries, f.newEntry())
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
			"replace":     func(t *rapid.T) { f.replace(rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")) },
			"forget lost": func(*rapid.T) { f.forgetLost() },
			"acknowledge": func(t *rapid.T) { f.acknowledge(pick(t)) },
			"hear": func(t *rapid.T) {
				if len(f.acks) > 0 {
					a := rapid.SampledFrom(f.acks).Draw(t, "ack") // kept, so it may come again
					f.hear(pick(t), a)
				}
			},
			"hear all": func(*rapid.T) {
				for _, e := range f.entries {
					f.acknowledge(e)
				}
				for _, e := range f.entries {
					for _, a := range f.acks {
						f.hear(e, a)
					}
				}
			},
			"": f.check,
		})
	})
}

func (f *fleet) newEntry() *entry {
	f.started++
	id := unit.EntryID(fmt.Sprint("e", f.started))
	e := &entry{id: id, part: New(id, DefaultTiming())}
	e.part.SetWorkers([]Worker{{ID: "w", Slots: 8, Connections: 64}})
	return e
}

// toggle registers an entry, or ends its registration as a lapsed lease does.
func (f *fleet) toggle(id unit.EntryID) {
	f.revision++
	f.registered = slices.Clone(f.registered)
	if i := slices.Index(f.registered, id); i >= 0 {
		f.registered = slices.Delete(f.registered, i, i+1)
		f.open[id] = f.now
		return
	}
	f.open[id] = time.Time{}
	f.registered = append(f.registered, id)
	slices.Sort(f.registered)
}

// replace stops an idle entry gracefully and starts another in its place.
func (f *fleet) replace(i int) {
	e := f.entries[i]
	if e.inFlight(f.now) {
		return
	}
	if slices.Contains(f.registered, e.id) {
		f.toggle(e.id)
	}
	delete(f.open, e.id)
	f.revision++
	f.entries[i] = f.newEntry()
	f.entries[i].open = e.open
}

// forgetLost deletes the lasting records of entries that were lost for a minute.
func (f *fleet) forgetLost() {
	for id, ended := range f.open {
		if !ended.IsZero() && f.now.Sub(ended) > time.Minute {
			delete(f.open, id)
			f.revision++
		}
	}
}

func (f *fleet) acknowledge(e *entry) {
	for s, until := range e.busy {
		if f.now.Before(until) && !e.part.workers["w"].rights[s].owned {
			return // a request is left on a lost slot
		}
	}
	f.acks = append(f.acks, ack{e.id, e.part.ReleaseLostSlots()})
}

func (f *fleet) hear(e *entry, a ack) {
	if a.from != e.id {
		e.part.RecordAck(a.from, a.settled, f.now)
	}
}

func (e *entry) inFlight(now time.Time) bool {
	return slices.ContainsFunc(e.busy[:], now.Before)
}

func (f *fleet) read(e *entry) {
	v := View{Entries: f.registered, Revision: f.revision, NoLostEntries: true}
	for _, ended := range f.open {
		v.NoLostEntries = v.NoLostEntries && ended.IsZero()
	}
	e.reads = append(e.reads, reading{v, f.now})
}

func (f *fleet) adopt(e *entry) {
	if len(e.reads) == 0 {
		return
	}
	r := e.reads[0]
	e.reads = e.reads[1:]
	e.part.AdoptView(r.view, r.sent, f.now)
}

func (f *fleet) use(e *entry, s Index, span time.Duration) {
	if !e.part.usable(&e.part.workers["w"].rights[s], f.now) || f.now.Before(e.busy[s]) {
		return
	}
	e.busy[s] = f.now.Add(span)
	// The worker's keep-alive timeout is at most 30 s after the response.
	e.open[s] = e.busy[s].Add(30 * time.Second)
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
	p := New("e07", DefaultTiming())
	p.SetWorkers(workers)
	now := start
	revision := unit.Revision(0)
	for b.Loop() {
		now = now.Add(time.Second)
		revision++
		p.AdoptView(View{Entries: entries[revision%2:], Revision: revision}, now, now)
	}
}
