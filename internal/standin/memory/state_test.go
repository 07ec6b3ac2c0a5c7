package memory

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// TestWrites guards against a write that takes effect although its condition
// does not hold, and against one that fails although it holds.
func TestWrites(t *testing.T) {
	// Before each write, key a is at revision 2 and key gone was deleted.
	tests := []struct {
		name         string
		write        func(*State) error
		want         error
		wantA        string
		wantRevision unit.Revision
	}{
		{"put always", put("a", store.Always(), ""), nil, "new", 4},
		{"put at its revision", put("a", store.IfRevision(2), ""), nil, "new", 4},
		{"put at an older revision", put("a", store.IfRevision(1), ""), store.ErrConflict, "old", 3},
		{"put if absent over a value", put("a", store.IfAbsent(), ""), store.ErrConflict, "old", 3},
		{"put if absent", put("b", store.IfAbsent(), ""), nil, "old", 4},
		{"put if absent after a delete", put("gone", store.IfAbsent(), ""), nil, "old", 4},
		{"put at a revision of a missing key", put("b", store.IfRevision(1), ""), store.ErrConflict, "old", 3},
		{"put under a missing lease", put("a", store.Always(), "l9"), store.ErrNotFound, "old", 3},
		{"put under a lease", put("a", store.Always(), "l1"), nil, "new", 4},
		{"delete", deleteKey("a", store.Always()), nil, "", 4},
		{"delete at its revision", deleteKey("a", store.IfRevision(2)), nil, "", 4},
		{"delete at an older revision", deleteKey("a", store.IfRevision(1)), store.ErrConflict, "old", 3},
		{"delete of a missing key", deleteKey("b", store.Always()), store.ErrNotFound, "old", 3},
		{"renew of a missing lease", func(s *State) error { return s.Renew(time.Now(), "l9") }, store.ErrNotFound, "old", 3},
		{"revoke of a missing lease", func(s *State) error { return s.Revoke("l9") }, store.ErrNotFound, "old", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Grant(time.Now(), time.Hour)
			_, _ = s.Put("gone", []byte("x"), store.Always(), "")
			_, _ = s.Put("a", []byte("old"), store.Always(), "")
			if err := s.Delete("gone", store.Always()); err != nil {
				t.Fatal(err)
			}
			if err := test.write(s); !errors.Is(err, test.want) {
				t.Errorf("error: got %v, want %v", err, test.want)
			}
			if r, _ := s.Get("a"); string(r.Value) != test.wantA {
				t.Errorf("value of a: got %q, want %q", r.Value, test.wantA)
			}
			if s.revision != test.wantRevision {
				t.Errorf("revision: got %d, want %d", s.revision, test.wantRevision)
			}
		})
	}
}

func put(key store.Key, cond store.Condition, id store.LeaseID) func(*State) error {
	return func(s *State) error {
		_, err := s.Put(key, []byte("new"), cond, id)
		return err
	}
}

func deleteKey(key store.Key, cond store.Condition) func(*State) error {
	return func(s *State) error { return s.Delete(key, cond) }
}

// TestLeases guards against records that are deleted after or before the end of
// their lease.
func TestLeases(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name     string
		do       func(*State)
		at       time.Time
		want     []store.Key
		wantNext time.Time
	}{
		{"before the deadline", func(*State) {}, at(5.9), []store.Key{"bound", "free"}, at(6)},
		{"at the deadline", func(*State) {}, at(6), []store.Key{"free"}, time.Time{}},
		{"renewed", func(s *State) { _ = s.Renew(at(5), "l1") }, at(10), []store.Key{"bound", "free"}, at(11)},
		{"renewed, then ended", func(s *State) { _ = s.Renew(at(5), "l1") }, at(11), []store.Key{"free"}, time.Time{}},
		{"revoked", func(s *State) { _ = s.Revoke("l1") }, at(1), []store.Key{"free"}, time.Time{}},
		{"rewritten without the lease", func(s *State) { _, _ = s.Put("bound", nil, store.Always(), "") }, at(6), []store.Key{"bound", "free"}, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Grant(start, 6*time.Second)
			_, _ = s.Put("bound", nil, store.Always(), "l1")
			_, _ = s.Put("free", nil, store.Always(), "")
			test.do(s)
			if next := s.Expire(test.at); !next.Equal(test.wantNext) {
				t.Errorf("next deadline: got %v, want %v", next, test.wantNext)
			}
			var keys []store.Key
			for _, r := range s.List("").Records {
				keys = append(keys, r.Key)
			}
			if diff := cmp.Diff(test.want, keys); diff != "" {
				t.Errorf("keys (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHistoryEnd guards against a watch that silently skips events that are no
// longer in the history.
func TestHistoryEnd(t *testing.T) {
	s := NewState()
	for range 2*historyLength + 1 {
		_, _ = s.Put("a", nil, store.Always(), "")
	}
	oldest := s.history[0].Record.Revision
	tests := []struct {
		name  string
		after unit.Revision
		want  int // events; -1 if the history is gone
	}{
		{"from the beginning", 0, -1},
		{"one before the oldest that follows on", oldest - 2, -1},
		{"just before the oldest", oldest - 1, len(s.history)},
		{"last but one", s.revision - 1, 1},
		{"up to date", s.revision, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, ok := s.Changes("", test.after)
			got := len(c.Events)
			if !ok {
				got = -1
			}
			if got != test.want {
				t.Errorf("events: got %d, want %d", got, test.want)
			}
		})
	}
}

// expectedCondition is a condition in a form that the model evaluates itself.
type expectedCondition struct {
	absent   bool
	revision unit.Revision // 0: any
}

func (g expectedCondition) condition() store.Condition {
	switch {
	case g.absent:
		return store.IfAbsent()
	case g.revision != 0:
		return store.IfRevision(g.revision)
	}
	return store.Always()
}

// TestRecordsModel guards against any sequence of calls after which the records
// differ from a plain map, the revision decreases, or a watcher that replays the
// events ends with records other than those of a reader.
func TestRecordsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		now := time.Now()
		model := map[store.Key]store.Record{}
		deadlines := map[store.LeaseID]time.Time{}
		replayed := map[store.Key]store.Record{}
		var seen unit.Revision
		const ttl = 6 * time.Second
		key := rapid.SampledFrom([]store.Key{"a", "a/b", "b", "c"})
		lease := rapid.SampledFrom([]store.LeaseID{"", "l1", "l2", "l3", "l4"})
		granted := rapid.SampledFrom([]store.LeaseID{"l1", "l2", "l3", "l4"})
		end := func(id store.LeaseID) {
			delete(deadlines, id)
			maps.DeleteFunc(model, func(_ store.Key, r store.Record) bool { return r.Lease == id })
		}
		cond := rapid.Custom(func(t *rapid.T) expectedCondition {
			return expectedCondition{absent: rapid.Bool().Draw(t, "absent"), revision: unit.Revision(rapid.IntRange(0, int(s.revision)).Draw(t, "revision"))}
		})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, g, id := key.Draw(t, "key"), cond.Draw(t, "guard"), lease.Draw(t, "lease")
				old, exists := model[k]
				holds := g.absent && !exists || !g.absent && (g.revision == 0 || g.revision == old.Revision)
				_, leased := deadlines[id]
				before := s.revision
				revision, err := s.Put(k, []byte{1}, g.condition(), id)
				if (err == nil) != (holds && (id == "" || leased)) {
					t.Fatalf("put %s with %+v over %+v: %v", k, g, old, err)
				}
				if err == nil {
					model[k] = store.Record{Key: k, Value: []byte{1}, Revision: before + 1, Lease: id}
				}
				if err == nil && revision != before+1 || err != nil && s.revision != before {
					t.Fatalf("revision %d after %d with error %v", s.revision, before, err)
				}
			},
			"delete": func(t *rapid.T) {
				k, g := key.Draw(t, "key"), cond.Draw(t, "guard")
				old, exists := model[k]
				want := exists && !g.absent && (g.revision == 0 || g.revision == old.Revision)
				if err := s.Delete(k, g.condition()); (err == nil) != want {
					t.Fatalf("delete %s with %+v over %+v: %v", k, g, old, err)
				}
				if want {
					delete(model, k)
				}
			},
			"grant":  func(*rapid.T) { deadlines[s.Grant(now, ttl).ID] = now.Add(ttl) },
			"revoke": func(t *rapid.T) { id := granted.Draw(t, "lease"); _ = s.Revoke(id); end(id) },
			"renew": func(t *rapid.T) {
				id := granted.Draw(t, "lease")
				_, exists := deadlines[id]
				if err := s.Renew(now, id); (err == nil) != exists {
					t.Fatalf("renew %s: %v", id, err)
				}
				if exists {
					deadlines[id] = now.Add(ttl)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
				s.Expire(now)
				for id, deadline := range maps.Clone(deadlines) {
					if !deadline.After(now) {
						end(id)
					}
				}
			},
			"": func(t *rapid.T) {
				want := slices.SortedFunc(maps.Values(model), func(a, b store.Record) int { return strings.Compare(string(a.Key), string(b.Key)) })
				got := s.List("").Records
				if !cmp.Equal(want, got) && len(want)+len(got) > 0 {
					t.Fatalf("records (-want +got):\n%s", cmp.Diff(want, got))
				}
				c, ok := s.Changes("", seen)
				if !ok || c.Revision < seen {
					t.Fatalf("changes after %d: %v, revision %d", seen, ok, c.Revision)
				}
				seen = c.Revision
				for _, e := range c.Events {
					replayed[e.Record.Key] = e.Record
					if e.Deleted {
						delete(replayed, e.Record.Key)
					}
				}
				if !cmp.Equal(model, replayed) {
					t.Fatalf("replayed (-want +got):\n%s", cmp.Diff(model, replayed))
				}
			},
		})
	})
}
