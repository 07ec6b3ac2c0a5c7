package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/bench/seed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

func init() { seed.SetDefaults(500, 100) }

var regions = map[unit.ZoneID]Region{"z1": "east", "z2": "east", "z3": "west"}

// TestRanking guards against an owner in the zone of its workers or in another region
// while a preferred entry is registered.
func TestRanking(t *testing.T) {
	id := unit.ShardID{Zone: "z1", Bucket: 1}
	tests := []struct {
		name    string
		entries []Entry
		want    []unit.EntryID
	}{
		{"nobody", nil, []unit.EntryID{}},
		{"other zone first", []Entry{{"a", "z1"}, {"b", "z2"}}, []unit.EntryID{"b", "a"}},
		{"own zone before other region", []Entry{{"c", "z3"}, {"a", "z1"}}, []unit.EntryID{"a", "c"}},
		{"all", []Entry{{"c", "z3"}, {"a", "z1"}, {"b", "z2"}}, []unit.EntryID{"b", "a", "c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Ranking(id, View{Entries: tt.entries, Regions: regions})
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("ranking (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDecide guards against a claim while the owner may be registered, starts under an
// old registration, and a hand-over to an entry whose registration flaps.
func TestDecide(t *testing.T) {
	id := unit.ShardID{Zone: "z1"}
	now := time.Unix(1000, 0)
	both := View{Revision: 20, Entries: []Entry{{"a", "z1"}, {"b", "z2"}}, Regions: regions}
	onlyA := View{Revision: 20, Entries: []Entry{{"a", "z1"}}, Regions: regions}
	byA := StoredRecord{Record{Owner: "a", Epoch: 3, Session: "s1"}, 10}
	byB := StoredRecord{Record{Owner: "b", Epoch: 3, Session: "s2"}, 10}
	released := StoredRecord{Record{Owner: "b", Epoch: 3, Session: "s2", Released: true}, 10}
	a := LocalEntry{ID: "a", Session: "s1", Since: now.Add(-time.Minute)}
	owning := func(s LocalEntry) LocalEntry { s.Epoch = 3; return s }
	reregistered := func(s LocalEntry) LocalEntry { s.Session = "s9"; return s }
	rankedRecently := func(s LocalEntry) LocalEntry { s.Since = now.Add(-4 * time.Second); return s }
	tests := []struct {
		name   string
		local  LocalEntry
		stored StoredRecord
		view   View
		want   Action
	}{
		{"never claimed, preferred", a, StoredRecord{}, onlyA, ActionClaim},
		{"never claimed, second in rank, early", rankedRecently(a), StoredRecord{}, both, ActionNone},
		{"never claimed, second in rank, overdue", a, StoredRecord{}, both, ActionClaim},
		{"owner registered", a, byB, both, ActionNone},
		{"owner gone", a, byB, onlyA, ActionClaim},
		{"owner missing from a view older than the claim", a, StoredRecord{byB.Record, 21}, onlyA, ActionNone},
		{"released", a, released, both, ActionClaim},
		{"released by itself, no longer owner", a, StoredRecord{ReleaseRecord(byA, false), 10}, onlyA, ActionClaim},
		{"not registered", a, StoredRecord{}, View{Revision: 20}, ActionNone},
		{"answer of the claim lost", a, byA, onlyA, ActionAdopt},
		{"holding", owning(a), byA, onlyA, ActionNone},
		{"owner under an old registration", reregistered(owning(a)), byA, onlyA, ActionRenew},
		{"owner, another entry preferred for long", owning(a), byA, both, ActionRelease},
		{"owner, another entry preferred recently", rankedRecently(owning(a)), byA, both, ActionNone},
		{"taken over", owning(a), byB, both, ActionLost},
		{"record gone", owning(a), StoredRecord{}, both, ActionLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Decide(id, tt.local, tt.stored, tt.view, now); got != tt.want {
				t.Errorf("action %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSingleOwner guards against two entries that may start tasks of one shard at the
// same time, for any order of claims, expired registrations, outdated views and writes
// whose answers are lost.
func TestSingleOwner(t *testing.T) {
	shardID := unit.ShardID{Zone: "z1"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var revision unit.Revision
		var stored StoredRecord
		sessions := map[unit.EntryID]store.LeaseID{} // of the registered entries
		ids := []unit.EntryID{"a", "b", "c"}
		local := map[unit.EntryID]*LocalEntry{}
		views := map[unit.EntryID]View{}
		for _, n := range ids {
			local[n] = &LocalEntry{ID: n}
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				n := rapid.SampledFrom(ids).Draw(t, "entry")
				if sessions[n] == "" {
					revision++
					sessions[n] = store.LeaseID(fmt.Sprint("s", revision))
					local[n].Session = sessions[n]
				}
			},
			"expire": func(t *rapid.T) {
				n := rapid.SampledFrom(ids).Draw(t, "entry")
				if sessions[n] != "" {
					revision++
					delete(sessions, n)
				}
			},
			"look": func(t *rapid.T) {
				n := rapid.SampledFrom(ids).Draw(t, "entry")
				v := View{Revision: revision, Regions: regions}
				for _, e := range ids {
					if sessions[e] != "" {
						v.Entries = append(v.Entries, Entry{e, "z2"})
					}
				}
				views[n] = v
			},
			"decide": func(t *rapid.T) {
				n := rapid.SampledFrom(ids).Draw(t, "entry")
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
				lost := rapid.Bool().Draw(t, "lost")
				s, before := local[n], stored
				write := func(r Record) {
					if sessions[n] == "" && r.Session == s.Session && !r.Released {
						return // the store rejects a write under an expired lease
					}
					revision++
					stored = StoredRecord{r, revision}
					if stored.Record.Epoch < before.Record.Epoch {
						t.Fatalf("epoch fell from %d to %d", before.Record.Epoch, stored.Record.Epoch)
					}
				}
				switch Decide(shardID, *s, stored, views[n], now) {
				case ActionClaim:
					write(ClaimRecord(*s, stored))
					if stored != before && !lost {
						s.Epoch = stored.Record.Epoch
					}
				case ActionAdopt:
					s.Epoch = stored.Record.Epoch
				case ActionRenew:
					write(RenewRecord(*s, stored))
				case ActionRelease:
					write(ReleaseRecord(stored, false))
					s.Epoch = 0
				case ActionLost:
					s.Epoch = 0
				}
			},
			"": func(t *rapid.T) {
				var owners []unit.EntryID
				for _, n := range ids {
					s := local[n]
					registered := sessions[n] != "" && sessions[n] == s.Session
					// A task starts only under the session of the record that was claimed.
					if s.Epoch != 0 && registered && stored.Record.Epoch == s.Epoch && stored.Record.Owner == n {
						owners = append(owners, n)
					}
					if s.Epoch != 0 && registered && stored.Record.Epoch > s.Epoch && stored.Record.Session == s.Session {
						t.Fatalf("%s was replaced while its session %s holds the record", n, s.Session)
					}
				}
				if len(owners) > 1 {
					t.Fatalf("owners %v", owners)
				}
			},
		})
	})
}

// TestBuckets guards against racks of one zone that change shard with the order in which
// they are listed, and against a bucket that gets too few racks.
func TestBuckets(t *testing.T) {
	counts := map[unit.ShardID]int{}
	for i := range 400 {
		rack := unit.RackID(fmt.Sprint("rack-", i))
		id := ForRack("z1", rack, 8)
		if again := ForRack("z1", rack, 8); again != id {
			t.Fatalf("rack %s: shards %v and %v", rack, id, again)
		}
		counts[id]++
	}
	for _, id := range All([]unit.ZoneID{"z1"}, 8) {
		if counts[id] < 20 {
			t.Errorf("shard %v has %d of 400 racks", id, counts[id])
		}
	}
}
