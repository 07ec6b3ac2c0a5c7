package platform

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
)

// TestWrites guards against a write that takes effect although its condition
// does not hold, or the other way around.
func TestWrites(t *testing.T) {
	// Before each write, key a is at revision 2 and key gone was deleted.
	tests := []struct {
		name         string
		write        func(*records) error
		want         error
		wantA        string
		wantRevision unit.Revision
	}{
		{"put always", put("a", guard{}, ""), nil, "new", 4},
		{"put at its revision", put("a", guard{revision: 2}, ""), nil, "new", 4},
		{"put at an older revision", put("a", guard{revision: 1}, ""), store.ErrConflict, "old", 3},
		{"put if absent over a value", put("a", guard{absent: true}, ""), store.ErrConflict, "old", 3},
		{"put if absent", put("b", guard{absent: true}, ""), nil, "old", 4},
		{"put if absent after a delete", put("gone", guard{absent: true}, ""), nil, "old", 4},
		{"put at a revision of a missing key", put("b", guard{revision: 1}, ""), store.ErrConflict, "old", 3},
		{"put under a missing lease", put("a", guard{}, "l9"), store.ErrNotFound, "old", 3},
		{"put under a lease", put("a", guard{}, "l1"), nil, "new", 4},
		{"delete", remove("a", guard{}), nil, "", 4},
		{"delete at its revision", remove("a", guard{revision: 2}), nil, "", 4},
		{"delete at an older revision", remove("a", guard{revision: 1}), store.ErrConflict, "old", 3},
		{"delete of a missing key", remove("b", guard{}), store.ErrNotFound, "old", 3},
		{"renew of a missing lease", func(s *records) error { return s.renew(time.Now(), "l9") }, store.ErrNotFound, "old", 3},
		{"revoke of a missing lease", func(s *records) error { return s.revoke("l9") }, store.ErrNotFound, "old", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newRecords()
			s.grant(time.Now(), time.Hour, "l1")
			_, _ = s.put("gone", []byte("x"), guard{}, "")
			_, _ = s.put("a", []byte("old"), guard{}, "")
			if err := s.remove("gone", guard{}); err != nil {
				t.Fatal(err)
			}
			if err := test.write(s); !errors.Is(err, test.want) {
				t.Errorf("error: got %v, want %v", err, test.want)
			}
			if r, _ := s.get("a"); string(r.Value) != test.wantA {
				t.Errorf("value of a: got %q, want %q", r.Value, test.wantA)
			}
			if s.revision != test.wantRevision {
				t.Errorf("revision: got %d, want %d", s.revision, test.wantRevision)
			}
		})
	}
}

func put(key store.Key, g guard, id store.LeaseID) func(*records) error {
	return func(s *records) error {
		_, err := s.put(key, []byte("new"), g, id)
		return err
	}
}

func remove(key store.Key, g guard) func(*records) error {
	return func(s *records) error { return s.remove(key, g) }
}

// TestLeases guards against records that outlive their lease or go before it.
func TestLeases(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name     string
		do       func(*records)
		at       time.Time
		want     []store.Key
		wantNext time.Time
	}{
		{"before the deadline", func(*records) {}, at(5.9), []store.Key{"bound", "free"}, at(6)},
		{"at the deadline", func(*records) {}, at(6), []store.Key{"free"}, time.Time{}},
		{"renewed", func(s *records) { _ = s.renew(at(5), "l1") }, at(10), []store.Key{"bound", "free"}, at(11)},
		{"renewed, then ended", func(s *records) { _ = s.renew(at(5), "l1") }, at(11), []store.Key{"free"}, time.Time{}},
		{"revoked", func(s *records) { _ = s.revoke("l1") }, at(1), []store.Key{"free"}, time.Time{}},
		{"rewritten without the lease", func(s *records) { _, _ = s.put("bound", nil, guard{}, "") }, at(6), []store.Key{"bound", "free"}, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newRecords()
			s.grant(start, 6*time.Second, "l1")
			_, _ = s.put("bound", nil, guard{}, "l1")
			_, _ = s.put("free", nil, guard{}, "")
			test.do(s)
			if next := s.expire(test.at); !next.Equal(test.wantNext) {
				t.Errorf("next deadline: got %v, want %v", next, test.wantNext)
			}
			var keys []store.Key
			for _, r := range s.list("").Records {
				keys = append(keys, r.Key)
			}
			if diff := cmp.Diff(test.want, keys); diff != "" {
				t.Errorf("keys (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHistoryEnd guards against a watch that silently skips events which the
// history no longer has.
func TestHistoryEnd(t *testing.T) {
	s := newRecords()
	for range 2*historyLength + 1 {
		_, _ = s.put("a", nil, guard{}, "")
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
			c, ok := s.changes("", test.after)
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

// TestRecordsModel guards against any sequence of calls after which the records
// differ from a plain map, the revision goes back, or a watcher that replays the
// events sees another state than a reader.
func TestRecordsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRecords()
		now := time.Now()
		model := map[store.Key]store.Record{}
		deadlines := map[store.LeaseID]time.Time{}
		replayed := map[store.Key]store.Record{}
		var seen unit.Revision
		const ttl = 6 * time.Second
		key := rapid.SampledFrom([]store.Key{"a", "a/b", "b", "c"})
		lease := rapid.SampledFrom([]store.LeaseID{"", "l1", "l2"})
		granted := rapid.SampledFrom([]store.LeaseID{"l1", "l2"})
		end := func(id store.LeaseID) {
			delete(deadlines, id)
			maps.DeleteFunc(model, func(_ store.Key, r store.Record) bool { return r.Lease == id })
		}
		cond := rapid.Custom(func(t *rapid.T) guard {
			return guard{absent: rapid.Bool().Draw(t, "absent"), revision: unit.Revision(rapid.IntRange(0, int(s.revision)).Draw(t, "revision"))}
		})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, g, id := key.Draw(t, "key"), cond.Draw(t, "guard"), lease.Draw(t, "lease")
				old, exists := model[k]
				holds := g.absent && !exists || !g.absent && (g.revision == 0 || g.revision == old.Revision)
				_, leased := deadlines[id]
				before := s.revision
				revision, err := s.put(k, []byte{1}, g, id)
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
				if err := s.remove(k, g); (err == nil) != want {
					t.Fatalf("delete %s with %+v over %+v: %v", k, g, old, err)
				}
				if want {
					delete(model, k)
				}
			},
			"grant":  func(t *rapid.T) { id := granted.Draw(t, "lease"); s.grant(now, ttl, id); deadlines[id] = now.Add(ttl) },
			"revoke": func(t *rapid.T) { id := granted.Draw(t, "lease"); _ = s.revoke(id); end(id) },
			"renew": func(t *rapid.T) {
				id := granted.Draw(t, "lease")
				_, exists := deadlines[id]
				if err := s.renew(now, id); (err == nil) != exists {
					t.Fatalf("renew %s: %v", id, err)
				}
				if exists {
					deadlines[id] = now.Add(ttl)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
				s.expire(now)
				for id, deadline := range maps.Clone(deadlines) {
					if !deadline.After(now) {
						end(id)
					}
				}
			},
			"": func(t *rapid.T) {
				want := slices.SortedFunc(maps.Values(model), func(a, b store.Record) int { return strings.Compare(string(a.Key), string(b.Key)) })
				got := s.list("").Records
				if !cmp.Equal(want, got) && len(want)+len(got) > 0 {
					t.Fatalf("records (-want +got):\n%s", cmp.Diff(want, got))
				}
				c, ok := s.changes("", seen)
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

// TestRoll guards against an instance list that shows a change before its lag
// has passed, skips back, or keeps a superseded version.
func TestRoll(t *testing.T) {
	start := time.Now()
	r := newRoll(3*time.Second, []store.Instance{{ID: "w1"}})
	r.set(start.Add(1*time.Second), []store.Instance{{ID: "w2"}})
	r.set(start.Add(2*time.Second), []store.Instance{{ID: "w3"}})
	tests := []struct {
		name         string
		at           time.Duration
		want         unit.InstanceID
		wantRevision unit.Revision
	}{
		{"at the start", 0, "w1", 1},
		{"before the lag has passed", 3999 * time.Millisecond, "w1", 1},
		{"first change", 4 * time.Second, "w2", 2},
		{"second change", 5 * time.Second, "w3", 3},
		{"long after", time.Hour, "w3", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := r.shown(start.Add(test.at))
			if l.Instances[0].ID != test.want || l.Revision != test.wantRevision {
				t.Errorf("got %s at revision %d, want %s at %d", l.Instances[0].ID, l.Revision, test.want, test.wantRevision)
			}
		})
	}
}
