package memory

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// historyLength is the number of events that a watch may lag behind before it has
// to list all records again.
const historyLength = 16384

// State is the state of the key-value service. It does no locking and reads no
// clock: the caller serializes access and passes the time.
type State struct {
	revision  unit.Revision
	values    map[store.Key]store.Record
	leases    map[store.LeaseID]*lease
	history   []store.Event
	lastLease int
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// NewState returns a state without records.
func NewState() *State {
	return &State{
		values: map[store.Key]store.Record{},
		leases: map[store.LeaseID]*lease{},
	}
}

// Get returns one record.
func (s *State) Get(key store.Key) (store.Record, error) {
	r, ok := s.values[key]
	if !ok {
		return store.Record{}, store.ErrNotFound
	}
	return r, nil
}

// List returns the records whose keys begin with prefix, in order of keys.
func (s *State) List(prefix store.Key) store.Snapshot {
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

// Put writes a record if the condition holds.
func (s *State) Put(key store.Key, value []byte, cond store.Condition, id store.LeaseID) (unit.Revision, error) {
	old, exists := s.values[key]
	if !cond.Holds(old, exists) {
		return 0, store.ErrConflict
	}
	if id != "" && s.leases[id] == nil {
		return 0, store.ErrNotFound
	}
	s.revision++
	r := store.Record{Key: key, Value: value, Revision: s.revision, Lease: id}
	s.values[key] = r
	s.recordEvent(store.Event{Record: r})
	return s.revision, nil
}

// Delete deletes a record if the condition holds.
func (s *State) Delete(key store.Key, cond store.Condition) error {
	old, exists := s.values[key]
	if !exists {
		return store.ErrNotFound
	}
	if !cond.Holds(old, exists) {
		return store.ErrConflict
	}
	s.deleteRecord(key)
	return nil
}

func (s *State) deleteRecord(key store.Key) {
	delete(s.values, key)
	s.revision++
	s.recordEvent(store.Event{Record: store.Record{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *State) recordEvent(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyLength {
		s.history = slices.Clone(s.history[historyLength:])
	}
}

// Changes returns the events after a revision whose keys begin with prefix. It
// reports false if the history no longer contains all of them.
func (s *State) Changes(prefix store.Key, after unit.Revision) (store.Changes, bool) {
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

// Revision returns the revision of the last change.
func (s *State) Revision() unit.Revision { return s.revision }

// Grant adds a lease with a new id.
func (s *State) Grant(now time.Time, ttl time.Duration) store.Lease {
	s.lastLease++
	id := store.LeaseID("l" + strconv.Itoa(s.lastLease))
	s.leases[id] = &lease{ttl: ttl, deadline: now.Add(ttl)}
	return store.Lease{ID: id, TTL: unit.Duration(ttl)}
}

// Renew extends a lease by its TTL from now.
func (s *State) Renew(now time.Time, id store.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	l.deadline = now.Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its records.
func (s *State) Revoke(id store.LeaseID) error {
	if s.leases[id] == nil {
		return store.ErrNotFound
	}
	delete(s.leases, id)
	for _, r := range s.List("").Records {
		if r.Lease == id {
			s.deleteRecord(r.Key)
		}
	}
	return nil
}

// Expire ends every lease whose deadline has passed and returns the next
// deadline, or the zero time if no lease is left.
func (s *State) Expire(now time.Time) time.Time {
	var next time.Time
	for id, l := range s.leases {
		if !l.deadline.After(now) {
			_ = s.Revoke(id) // the only error is a missing lease, and this one exists
			continue
		}
		if next.IsZero() || l.deadline.Before(next) {
			next = l.deadline
		}
	}
	return next
}
