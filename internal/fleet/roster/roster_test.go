package roster

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var epoch = time.Unix(1000, 0)

// at returns the time that many seconds after epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// viewOf returns a view of entries with the given ids.
func viewOf(revision unit.Revision, ids ...unit.EntryID) View {
	var entries []Entry
	for _, id := range ids {
		entries = append(entries, Entry{ID: id})
	}
	return NewView(entries, revision)
}

// TestRank guards against a ranking in which the departure of one entry reorders
// the others, and against First and Rank that disagree.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids []unit.EntryID
		for i := range rapid.IntRange(2, 9).Draw(t, "entries") {
			ids = append(ids, unit.EntryID("e"+strconv.Itoa(i)))
		}
		key := rapid.String().Draw(t, "key")
		whole := viewOf(1, ids...).Rank(key)
		first, _ := viewOf(1, ids...).First(key, nil)
		if first != whole[0] {
			t.Fatalf("First = %v, Rank begins with %v", first, whole[0])
		}
		removed := rapid.IntRange(0, len(whole)-1).Draw(t, "gone")
		var rest []unit.EntryID
		var want []Entry
		for i, e := range whole {
			if i != removed {
				rest, want = append(rest, e.ID), append(want, e)
			}
		}
		if diff := cmp.Diff(want, viewOf(2, rest...).Rank(key)); diff != "" {
			t.Fatalf("rank without %v (-want +got):\n%s", whole[removed].ID, diff)
		}
	})
}

// TestServeUntil guards against serving on heartbeats that must not count: those of
// a minority, of a peer that has dropped this entry, has a newer configuration or
// is not in the view, and of any peer long after the last answer of the store.
func TestServeUntil(t *testing.T) {
	type peerHeartbeat struct {
		peer unit.EntryID
		sent float64
		Heartbeat
	}
	good := Heartbeat{Configuration: 7, SeesReceiver: true}
	three := viewOf(1, "a", "b", "c")
	tests := []struct {
		name       string
		view       View
		confirmed  float64 // 0: never
		heartbeats []peerHeartbeat
		want       float64 // 0: the zero time
	}{
		{"nothing known", three, 0, nil, 0},
		{"store alone", three, 5, nil, 15},
		{"majority of three", three, 5, []peerHeartbeat{{"b", 20, good}}, 22},
		{"majority without store since start", three, 0, []peerHeartbeat{{"b", 20, good}}, 0},
		{"majority shortly before the bound", three, 5, []peerHeartbeat{{"b", 4500, good}}, 4502},
		{"majority at the bound", three, 5, []peerHeartbeat{{"b", 4504, good}}, 4505},
		{"majority after the bound", three, 5, []peerHeartbeat{{"b", 9000, good}}, 4505},
		{"store later than peers", three, 15, []peerHeartbeat{{"b", 20, good}}, 25},
		{"oldest needed heartbeat counts", viewOf(1, "a", "b", "c", "d", "e"), 5,
			[]peerHeartbeat{{"b", 20, good}, {"c", 18, good}, {"d", 19, good}}, 21},
		{"half of four is no majority", viewOf(1, "a", "b", "c", "d"), 5, []peerHeartbeat{{"b", 20, good}}, 15},
		{"peer dropped this entry", three, 5, []peerHeartbeat{{"b", 20, Heartbeat{Configuration: 7}}}, 15},
		{"peer has newer configuration", three, 5, []peerHeartbeat{{"b", 20, Heartbeat{Configuration: 8, SeesReceiver: true}}}, 15},
		{"peer not in view", three, 5, []peerHeartbeat{{"x", 20, good}}, 15},
		{"self does not count twice", three, 5, []peerHeartbeat{{"a", 20, good}}, 15},
		{"answer to an earlier heartbeat arrives late", three, 5, []peerHeartbeat{{"b", 20, Heartbeat{Configuration: 7}}, {"b", 19, good}}, 15},
		{"alone", viewOf(1, "a"), 5, nil, 15},
		{"not registered in own view", viewOf(1, "b", "c"), 5, []peerHeartbeat{{"b", 20, good}}, 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Confirmation
			if tt.confirmed != 0 {
				c.Confirm(at(tt.confirmed))
				c.Confirm(at(tt.confirmed - 1)) // sent before the confirmed read, so without effect
			}
			for _, h := range tt.heartbeats {
				c.ObserveHeartbeat(h.peer, at(h.sent), h.Heartbeat)
			}
			var want time.Time
			if tt.want != 0 {
				want = at(tt.want)
			}
			if got := c.ServeUntil("a", tt.view, 7); !got.Equal(want) {
				t.Errorf("ServeUntil = %v, want %v", got.Sub(epoch), want.Sub(epoch))
			}
			if got := c.NotAfter(); tt.confirmed != 0 && !got.Equal(at(tt.confirmed+4)) {
				t.Errorf("NotAfter = %v, want confirmation + 4 s", got.Sub(epoch))
			}
		})
	}
}

// TestMissing guards against accepting a revision while an entry that lacks it may
// still serve: one that has not acknowledged it, was lost less than DepartureGrace
// ago, or is not yet visible in the view.
func TestMissing(t *testing.T) {
	type observed struct {
		at   float64
		view View
	}
	lost := func(v View, ids ...unit.EntryID) View {
		v.Lost = ids
		return v
	}
	keptServing := func(v View, ids ...unit.EntryID) View {
		v.Lost, v.KeptServing = ids, ids
		return v
	}
	both := observed{0, viewOf(4, "a", "b")}
	tests := []struct {
		name         string
		views        []observed
		acknowledged []unit.EntryID // entries that have revision 3
		now          float64
		missing      []unit.EntryID
		complete     bool
	}{
		{"no view", nil, nil, 100, nil, false},
		{"all acknowledged", []observed{{0, viewOf(9, "a", "b")}}, []unit.EntryID{"a", "b"}, 13, nil, true},
		{"one lacks it", []observed{{0, viewOf(9, "a", "b")}}, []unit.EntryID{"a"}, 13, []unit.EntryID{"b"}, true},
		{"view older than the write", []observed{{0, viewOf(4, "a")}}, []unit.EntryID{"a"}, 13, nil, false},
		{"lost for a short time", []observed{both, {20, lost(viewOf(9, "a"), "b")}}, []unit.EntryID{"a"}, 32, []unit.EntryID{"b"}, true},
		{"lost for long", []observed{both, {20, lost(viewOf(9, "a"), "b")}}, []unit.EntryID{"a"}, 32.1, nil, true},
		{"lost for long in several views", []observed{both, {20, lost(viewOf(9, "a"), "b")}, {31, lost(viewOf(10, "a"), "b")}}, []unit.EntryID{"a"}, 32.1, nil, true},
		{"kept serving for long", []observed{both, {20, keptServing(viewOf(9, "a"), "b")}}, []unit.EntryID{"a"}, 600, []unit.EntryID{"b"}, true},
		{"kept serving and no longer", []observed{both, {20, keptServing(viewOf(9, "a"), "b")}, {600, lost(viewOf(9, "a"), "b")}}, []unit.EntryID{"a"}, 600, nil, true},
		{"kept serving and has it", []observed{both, {20, keptServing(viewOf(9, "a"), "b")}}, []unit.EntryID{"a", "b"}, 600, nil, true},
		{"lost and has it", []observed{both, {20, lost(viewOf(9, "a"), "b")}}, []unit.EntryID{"a", "b"}, 21, nil, true},
		{"lost before the first view", []observed{{0, lost(viewOf(9, "a"), "b")}}, []unit.EntryID{"a"}, 12, []unit.EntryID{"b"}, true},
		{"stopped gracefully", []observed{both, {20, viewOf(9, "a")}}, []unit.EntryID{"a"}, 20, nil, true},
		{"lost and back", []observed{both, {20, lost(viewOf(9, "a"), "b")}, {25, viewOf(10, "a", "b")}}, []unit.EntryID{"a"}, 40, []unit.EntryID{"b"}, true},
		{"lost twice", []observed{both, {20, lost(viewOf(9, "a"), "b")}, {25, viewOf(10, "a", "b")}, {30, lost(viewOf(11, "a"), "b")}}, []unit.EntryID{"a"}, 40, []unit.EntryID{"b"}, true},
		{"stale view is ignored", []observed{{0, viewOf(9, "a", "b")}, {1, viewOf(5, "a")}}, []unit.EntryID{"a"}, 30, []unit.EntryID{"b"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d RolloutTracker
			for _, o := range tt.views {
				d.Observe(at(o.at), o.view)
			}
			for _, id := range tt.acknowledged {
				d.RecordRevision(id, 3)
			}
			missing, complete := d.Missing(at(tt.now), 3, 8)
			if diff := cmp.Diff(tt.missing, missing); diff != "" || complete != tt.complete {
				t.Errorf("complete = %v, want %v; missing (-want +got):\n%s", complete, tt.complete, diff)
			}
		})
	}
}

// TestLostRecordDeletion guards against the deletion of a record whose entry is
// registered again or was lost only recently, and against a record that no entry
// deletes.
func TestLostRecordDeletion(t *testing.T) {
	view := viewOf(1, "a", "b")
	owner, _ := view.First("x", nil)
	other := view.Entries[0].ID
	if other == owner.ID {
		other = view.Entries[1].ID
	}
	x5, x6 := Record{"x", 5}, Record{"x", 6}
	type observed struct {
		at   float64
		lost []Record
	}
	tests := []struct {
		name string
		self unit.EntryID
		seen []observed
		want []Record // deletable at the last observation
	}{
		{"first seen", owner.ID, []observed{{0, []Record{x5}}}, nil},
		{"before the retention ends", owner.ID, []observed{{0, []Record{x5}}, {59, []Record{x5}}}, nil},
		{"due", owner.ID, []observed{{0, []Record{x5}}, {60, []Record{x5}}}, []Record{x5}},
		{"before the delay of the other entry ends", other, []observed{{0, []Record{x5}}, {60, []Record{x5}}}, nil},
		{"deletable by the other entry", other, []observed{{0, []Record{x5}}, {70, []Record{x5}}}, []Record{x5}},
		{"registered again in between", owner.ID, []observed{{0, []Record{x5}}, {30, nil}, {31, []Record{x5}}, {80, []Record{x5}}}, nil},
		{"registered in between without being seen", owner.ID, []observed{{0, []Record{x5}}, {50, []Record{x6}}, {80, []Record{x6}}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l LossTracker
			var deletable []Record
			for _, o := range tt.seen {
				_, deletable = l.Observe(at(o.at), tt.self, view, nil, o.lost)
			}
			if diff := cmp.Diff(tt.want, deletable); diff != "" {
				t.Errorf("deletable (-want +got):\n%s", diff)
			}
		})
	}
}

// TestKeptServing guards against lost entries that keep each other serving and are
// no longer waited for, and against a minority that blocks changes until the bound.
func TestKeptServing(t *testing.T) {
	type observed struct {
		at         float64
		registered string // one letter per entry; upper case for a second registration
		lost       string
	}
	records := func(letters string) []Record {
		var all []Record
		for _, c := range letters {
			id := unit.EntryID(strings.ToLower(string(c)))
			all = append(all, Record{id, unit.Revision(c)})
		}
		return all
	}
	const bound = 75*60 + 12 // seconds
	tests := []struct {
		name        string
		seen        []observed
		keptServing string // at the last observation
		deletable   string // at the last observation
	}{
		{"one of three", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "ab", "c"}}, "", ""},
		{"two of three", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {620, "a", "bc"}}, "bc", ""},
		{"two of four", []observed{{0, "abcd", ""}, {15, "abcd", ""}, {20, "ab", "cd"}, {100, "ab", "cd"}}, "", "cd"},
		{"three of five", []observed{{0, "abcde", ""}, {15, "abcde", ""}, {20, "ab", "cde"}, {100, "ab", "cde"}}, "cde", ""},
		{"one after the other", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "ab", "c"}, {40, "a", "bc"}}, "bc", ""},
		{"one alone of one", []observed{{0, "a", ""}, {20, "", "a"}}, "", ""},
		{"two, others registered after the loss", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {30, "adef", "bc"}}, "bc", ""},
		{"two, others registered shortly before the loss", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "abcdef", ""}, {25, "adef", "bc"}}, "bc", ""},
		{"two, others registered long before the loss", []observed{{0, "abc", ""}, {10, "abcdef", ""}, {20, "abcdef", ""}, {25, "adef", "bc"}}, "", ""},
		{"two of four, one registered again", []observed{{0, "abcd", ""}, {15, "abcd", ""}, {20, "ab", "cd"}, {30, "aB", "cd"}}, "cd", ""},
		{"two of five, after an outage of the observer and two others", []observed{{0, "abcde", ""}, {15, "abcde", ""}, {300, "", "abcde"}, {301, "ABC", "de"}, {314, "ABC", "de"}}, "de", ""},
		{"lost before the first view", []observed{{0, "abcdef", "xy"}}, "xy", ""},
		{"one is back", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {619, "a", "bc"}, {620, "aB", "c"}, {631, "aB", "c"}}, "c", ""},
		{"one is back for long", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {619, "a", "bc"}, {620, "aB", "c"}, {640, "aB", "c"}}, "", ""},
		{"one is back and the other is deleted", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {619, "a", "bc"}, {620, "aB", "c"}, {691, "aB", "c"}}, "", "c"},
		{"at the bound", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {20 + bound, "a", "bc"}}, "bc", ""},
		{"after the bound", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {20 + bound, "a", "bc"}, {21 + bound, "a", "bc"}}, "", ""},
		{"deleted after the bound", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "a", "bc"}, {20 + bound, "a", "bc"}, {91 + bound, "a", "bc"}}, "", "bc"},
		{"the later one counts to its own bound", []observed{{0, "abc", ""}, {15, "abc", ""}, {20, "ab", "c"}, {30, "a", "bc"}, {25 + bound, "a", "bc"}}, "b", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l LossTracker
			var keptServing, deletable string
			for _, o := range tt.seen {
				registered := records(o.registered)
				var ids []unit.EntryID
				for _, r := range registered {
					ids = append(ids, r.ID)
				}
				lost, due := l.Observe(at(o.at), "a", viewOf(1, ids...), registered, records(o.lost))
				keptServing, deletable = "", ""
				for _, x := range lost {
					if x.KeptServing {
						keptServing += string(x.ID)
					}
				}
				for _, r := range due {
					deletable += string(r.ID)
				}
			}
			if keptServing != tt.keptServing || deletable != tt.deletable {
				t.Errorf("kept serving %q, deletable %q; want %q, %q", keptServing, deletable, tt.keptServing, tt.deletable)
			}
		})
	}
}
