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

func init() { seed.SetDefaults(500, 100) }

var start = time.Unix(1000, 0)

// TestViewChange guards against a gained slot that is used too early, and against a slot
// that is not used although the entry may use it.
func TestViewChange(t *testing.T) {
	type step struct {
		at       time.Duration
		entries  []unit.EntryID
		complete bool // no lost entry may still hold slots
		acked    bool // b acknowledges the view
	}
	both, alone := []unit.EntryID{"a", "b"}, []unit.EntryID{"a"}
	owned := len(ownedBy("a", both))
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  int // slots
	}{
		{"first view without lost entries", []step{{at: 0, entries: alone, complete: true}}, 0, 8},
		{"unacknowledged view waits", []step{{at: 0, entries: both, complete: true}}, 0, 0},
		{"acknowledged view is used", []step{{at: 0, entries: both, complete: true, acked: true}}, 0, owned},
		{"a lost entry may hold slots", []step{{at: 0, entries: both, acked: true}}, 0, 0},
		{"no view", nil, 0, 0},
		{"first view waits", []step{{at: 0, entries: alone}, {at: 41 * time.Second, entries: alone}}, 41 * time.Second, 0},
		{"first view is used", []step{{at: 0, entries: alone}, {at: 20 * time.Second, entries: alone}, {at: 41 * time.Second, entries: alone}}, 42 * time.Second, 8},
		{"expired view is not used", []step{{at: 0, entries: alone}, {at: 20 * time.Second, entries: alone}, {at: 41 * time.Second, entries: alone}}, 51 * time.Second, 0},
		{"lost slots are not used", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 50 * time.Second, entries: both}}, 50 * time.Second, owned},
		{"regained within the window", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 45 * time.Second, entries: alone}, {at: 50 * time.Second, entries: both}, {at: 60 * time.Second, entries: alone}}, 60 * time.Second, 8},
		{"regained after the window", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 50 * time.Second, entries: both}, {at: 70 * time.Second, entries: both}, {at: 90 * time.Second, entries: alone}}, 90 * time.Second, owned},
		{"all slots wait again after the view expired", []step{{at: 0, entries: alone}, {at: 25 * time.Second, entries: alone}, {at: 50 * time.Second, entries: alone}, {at: 90 * time.Second, entries: alone}}, 90 * time.Second, 0},
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

// TestRecordAck guards against a gained slot that is used at once after another entry
// acknowledged a view with different entries, of which one may still use the slot.
func TestRecordAck(t *testing.T) {
	both := []unit.EntryID{"a", "b"}
	tests := []struct {
		name     string
		revision unit.Revision
		entries  []unit.EntryID // of the view that b acknowledges
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

// ownedBy returns the slots of worker w that an entry owns.
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

// fleet models entries that share one worker and read their views from one store.
type fleet struct {
	now        time.Time
	registered []unit.EntryID
	records    map[unit.EntryID]time.Time // lasting records with the end of the registration, or zero
	revision   unit.Revision
	entries    []*entry
	acks       []ack
	started    int // number of entries started so far
}

// ack is an acknowledgement that was sent.
type ack struct {
	from    unit.EntryID
	settled roster.SettledView
}

// entry is an entry with its state in the model.
type entry struct {
	id             unit.EntryID
	partition      *Partition
	reads          []viewRead   // sent and not yet adopted, as in a paused entry
	busyUntil      [8]time.Time // by slot: end of the last request
	connectedUntil [8]time.Time // by slot: time at which the connections close
}

// viewRead is a read of the view.
type viewRead struct {
	view View
	sent time.Time
}

// TestNeverOvercommitted guards against two entries that use the same slot and against
// too many connections to a worker, in any order of view changes, delayed reads,
// pauses, expired registrations and delayed acknowledgements.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start, records: map[unit.EntryID]time.Time{}}
		for range rapid.IntRange(2, 4).Draw(t, "entries") {
			f.entries = append(f.entries, f.newEntry())
		}
		pick := func(t *rapid.T) *entry { return f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")] }
		advance := func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"register or expire": func(t *rapid.T) { f.toggleRegistration(pick(t).id) },
			"read":               func(t *rapid.T) { f.read(pick(t)) },
			"adopt":              func(t *rapid.T) { f.adopt(pick(t)) },
			"read all": func(*rapid.T) {
				for _, e := range f.entries {
					f.read(e)
					f.adopt(e)
				}
			},
			"pass": advance,
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
					a := rapid.SampledFrom(f.acks).Draw(t, "ack") // kept, so that it may be delivered again
					f.deliver(pick(t), a)
				}
			},
			"hear all": func(*rapid.T) {
				for _, e := range f.entries {
					f.acknowledge(e)
				}
				for _, e := range f.entries {
					for _, a := range f.acks {
						f.deliver(e, a)
					}
				}
			},
			"": f.check,
		})
	})
}

// newEntry starts an entry that is not registered.
func (f *fleet) newEntry() *entry {
	f.started++
	id := unit.EntryID(fmt.Sprint("e", f.started))
	e := &entry{id: id, partition: New(id, DefaultTiming())}
	e.partition.SetWorkers([]Worker{{ID: "w", Slots: 8, Connections: 64}})
	return e
}

// toggleRegistration registers an entry, or ends its registration as an expired lease
// does.
func (f *fleet) toggleRegistration(id unit.EntryID) {
	f.revision++
	f.registered = slices.Clone(f.registered)
	if i := slices.Index(f.registered, id); i >= 0 {
		f.registered = slices.Delete(f.registered, i, i+1)
		f.records[id] = f.now
		return
	}
	f.records[id] = time.Time{}
	f.registered = append(f.registered, id)
	slices.Sort(f.registered)
}

// replace gracefully stops an entry without requests in flight and starts a new entry in
// its place. The connections of the old entry stay open.
func (f *fleet) replace(i int) {
	e := f.entries[i]
	if e.inFlight(f.now) {
		return
	}
	if slices.Contains(f.registered, e.id) {
		f.toggleRegistration(e.id)
	}
	delete(f.records, e.id)
	f.revision++
	f.entries[i] = f.newEntry()
	f.entries[i].connectedUntil = e.connectedUntil
}

// forgetLost deletes the lasting records of entries whose registrations ended more than
// a minute ago.
func (f *fleet) forgetLost() {
	for id, ended := range f.records {
		if !ended.IsZero() && f.now.Sub(ended) > time.Minute {
			delete(f.records, id)
			f.revision++
		}
	}
}

// acknowledge sends the acknowledgement of an entry unless it has a request left on a
// lost slot.
func (f *fleet) acknowledge(e *entry) {
	for s, until := range e.busyUntil {
		if f.now.Before(until) && !e.partition.workers["w"].slots[s].owned {
			return
		}
	}
	f.acks = append(f.acks, ack{e.id, e.partition.ReleaseLostSlots()})
}

// deliver passes an acknowledgement to another entry.
func (f *fleet) deliver(e *entry, a ack) {
	if a.from != e.id {
		e.partition.RecordAck(a.from, a.settled, f.now)
	}
}

// inFlight reports whether the entry has requests in flight.
func (e *entry) inFlight(now time.Time) bool {
	return slices.ContainsFunc(e.busyUntil[:], now.Before)
}

// read sends a read of the view.
func (f *fleet) read(e *entry) {
	v := View{Entries: f.registered, Revision: f.revision, NoLostEntries: true}
	for _, ended := range f.records {
		v.NoLostEntries = v.NoLostEntries && ended.IsZero()
	}
	e.reads = append(e.reads, viewRead{v, f.now})
}

// adopt adopts the oldest read that is not yet adopted.
func (f *fleet) adopt(e *entry) {
	if len(e.reads) == 0 {
		return
	}
	r := e.reads[0]
	e.reads = e.reads[1:]
	e.partition.AdoptView(r.view, r.sent, f.now)
}

// use starts a request on a slot, if it is free and the entry may use it.
func (f *fleet) use(e *entry, s Index, duration time.Duration) {
	if !e.partition.usable(&e.partition.workers["w"].slots[s], f.now) || f.now.Before(e.busyUntil[s]) {
		return
	}
	e.busyUntil[s] = f.now.Add(duration)
	// The worker closes idle connections at most 30 s after the response.
	e.connectedUntil[s] = e.busyUntil[s].Add(30 * time.Second)
}

// check fails if two entries hold a slot or the worker has too many connections.
func (f *fleet) check(t *rapid.T) {
	connections := 0
	for s := range 8 {
		var holders []unit.EntryID
		for _, e := range f.entries {
			if f.now.Before(e.busyUntil[s]) || e.partition.usable(&e.partition.workers["w"].slots[s], f.now) {
				holders = append(holders, e.id)
			}
			if f.now.Before(e.connectedUntil[s]) {
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

// BenchmarkViewChange measures the adoption of a changed view at the scale target.
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
