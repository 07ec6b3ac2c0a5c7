// Package platform is the stand-in for the platform's key-value service and
// instance list. It keeps everything in memory and can be told to fail in the
// ways that the real one does.
package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
)

// maxValue is the largest value that the service takes.
const maxValue = 1 << 20

// historyLength is how many events a watch may lag behind before it has to read
// everything again.
const historyLength = 16384

// records is the state of the key-value service. It is a plain state machine;
// the server serializes access and passes the time in.
type records struct {
	revision unit.Revision
	values   map[store.Key]store.Record
	leases   map[store.LeaseID]*lease
	history  []store.Event
	nextID   uint64
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

func newRecords() *records {
	return &records{
		values: map[store.Key]store.Record{},
		leases: map[store.LeaseID]*lease{},
	}
}

// guard is the condition of a write as it came over the wire.
type guard struct {
	absent   bool
	revision unit.Revision // 0: not wanted
}

func (g guard) holds(r store.Record, exists bool) bool {
	if g.absent {
		return !exists
	}
	return g.revision == 0 || exists && r.Revision == g.revision
}

func (s *records) get(key store.Key) (store.Record, error) {
	r, ok := s.values[key]
	if !ok {
		return store.Record{}, store.ErrNotFound
	}
	return r, nil
}

func (s *records) list(prefix store.Key) store.Snapshot {
	found := []store.Record{}
	for key, r := range s.values {
		if strings.HasPrefix(string(key), string(prefix)) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b store.Record) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
	return store.Snapshot{Records: found, Revision: s.revision}
}

func (s *records) put(key store.Key, value []byte, g guard, id store.LeaseID) (unit.Revision, error) {
	old, exists := s.values[key]
	if !g.holds(old, exists) {
		return 0, store.ErrConflict
	}
	if id != "" && s.leases[id] == nil {
		return 0, store.ErrNotFound
	}
	s.revision++
	r := store.Record{Key: key, Value: value, Revision: s.revision, Lease: id}
	s.values[key] = r
	s.remember(store.Event{Record: r})
	return s.revision, nil
}

func (s *records) remove(key store.Key, g guard) error {
	old, exists := s.values[key]
	if !exists {
		return store.ErrNotFound
	}
	if !g.holds(old, exists) {
		return store.ErrConflict
	}
	s.drop(key)
	return nil
}

func (s *records) drop(key store.Key) {
	delete(s.values, key)
	s.revision++
	s.remember(store.Event{Record: store.Record{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *records) remember(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyLength {
		s.history = slices.Clone(s.history[historyLength:])
	}
}

// changes returns the events below prefix after a revision. It reports false if
// the history no longer reaches back that far.
func (s *records) changes(prefix store.Key, after unit.Revision) (store.Changes, bool) {
	if after < s.revision && (len(s.history) == 0 || s.history[0].Record.Revision > after+1) {
		return store.Changes{}, false
	}
	found := []store.Event{}
	for _, e := range s.history {
		if e.Record.Revision > after && strings.HasPrefix(string(e.Record.Key), string(prefix)) {
			found = append(found, e)
		}
	}
	return store.Changes{Events: found, Revision: s.revision}, true
}

func (s *records) grant(now time.Time, ttl time.Duration, id store.LeaseID) store.Lease {
	s.leases[id] = &lease{ttl: ttl, deadline: now.Add(ttl)}
	return store.Lease{ID: id, TTL: unit.Duration(ttl)}
}

func (s *records) renew(now time.Time, id store.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	l.deadline = now.Add(l.ttl)
	return nil
}

func (s *records) revoke(id store.LeaseID) error {
	if s.leases[id] == nil {
		return store.ErrNotFound
	}
	delete(s.leases, id)
	for _, r := range s.list("").Records {
		if r.Lease == id {
			s.drop(r.Key)
		}
	}
	return nil
}

// expire ends every lease whose deadline has passed and returns the next
// deadline, or the zero time if no lease is left.
func (s *records) expire(now time.Time) time.Time {
	var next time.Time
	for id, l := range s.leases {
		if !l.deadline.After(now) {
			_ = s.revoke(id) // the lease exists: it is in the map being read
			continue
		}
		if next.IsZero() || l.deadline.Before(next) {
			next = l.deadline
		}
	}
	return next
}
