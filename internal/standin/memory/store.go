// Package memory is a stand-in for the client of the key-value service that
// needs no network, so that tests can run on a simulated clock. Each handle has
// faults of its own: outages, lost answers and old answers.
package memory

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
)

// Records is the state that all handles share.
type Records struct {
	mu       sync.Mutex
	revision unit.Revision
	values   map[store.Key]store.Record
	leases   map[store.LeaseID]*lease
	granted  int
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// NewRecords returns an empty state.
func NewRecords() *Records {
	return &Records{values: map[store.Key]store.Record{}, leases: map[store.LeaseID]*lease{}}
}

// Fault is what happens to a call.
type Fault uint8

// Faults of a call.
const (
	FaultNone Fault = iota
	FaultDown       // the call has no effect
	FaultLost       // the call takes effect and its answer is lost
)

// Handle is one client of the records, and a service in a kernel.
type Handle struct {
	records *Records
	done    chan struct{}

	mu    sync.Mutex
	fault func(method string, key store.Key) Fault
	old   map[store.Key]store.Record // answers of Get in place of the truth
	calls map[string]int             // by method
}

// NewHandle returns a handle without faults.
func NewHandle(r *Records) *Handle {
	return &Handle{records: r, done: make(chan struct{}), old: map[store.Key]store.Record{}, calls: map[string]int{}}
}

// SetFault sets the function that decides on the fault of each call, perhaps of
// several at a time; nil ends all faults.
func (h *Handle) SetFault(fault func(method string, key store.Key) Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = fault
}

// SetOld makes Get answer with an old record until it is cleared with ClearOld.
func (h *Handle) SetOld(r store.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.old[r.Key] = r
}

// ClearOld ends the effect of SetOld.
func (h *Handle) ClearOld() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.old)
}

// Calls returns how often a method was called.
func (h *Handle) Calls(method string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[method]
}

// Name implements registry.Service.
func (h *Handle) Name() registry.Name { return store.ServiceName }

// Start implements registry.Service.
func (h *Handle) Start(context.Context, *registry.Kernel) error { return nil }

// Stop implements registry.Service.
func (h *Handle) Stop(context.Context) error {
	close(h.done)
	return nil
}

// Done implements registry.Service.
func (h *Handle) Done() <-chan struct{} { return h.done }

// Get reads one record.
func (h *Handle) Get(ctx context.Context, key store.Key) (store.Record, error) {
	h.mu.Lock()
	old, stale := h.old[key]
	h.mu.Unlock()
	return call(ctx, h, "Get", key, store.ErrUnavailable, func(r *Records) (store.Record, error) {
		if stale {
			return old, nil
		}
		if rec, ok := r.values[key]; ok {
			return rec, nil
		}
		return store.Record{}, store.ErrNotFound
	})
}

// List reads all records whose keys begin with prefix.
func (h *Handle) List(ctx context.Context, prefix store.Key) (store.Snapshot, error) {
	return call(ctx, h, "List", prefix, store.ErrUnavailable, func(r *Records) (store.Snapshot, error) {
		found := []store.Record{}
		for key, rec := range r.values {
			if strings.HasPrefix(string(key), string(prefix)) {
				found = append(found, rec)
			}
		}
		slices.SortFunc(found, func(a, b store.Record) int { return cmp.Compare(a.Key, b.Key) })
		return store.Snapshot{Records: found, Revision: r.revision}, nil
	})
}

// Put writes a record if the condition holds.
func (h *Handle) Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, id store.LeaseID) (unit.Revision, error) {
	return call(ctx, h, "Put", key, store.ErrUnknown, func(r *Records) (unit.Revision, error) {
		if !r.holds(key, cond) {
			return 0, store.ErrConflict
		}
		if id != "" && r.leases[id] == nil {
			return 0, store.ErrNotFound
		}
		r.revision++
		r.values[key] = store.Record{Key: key, Value: value, Revision: r.revision, Lease: id}
		return r.revision, nil
	})
}

// Delete deletes a record if the condition holds.
func (h *Handle) Delete(ctx context.Context, key store.Key, cond store.Condition) error {
	_, err := call(ctx, h, "Delete", key, store.ErrUnknown, func(r *Records) (struct{}, error) {
		if _, ok := r.values[key]; !ok {
			return struct{}{}, store.ErrNotFound
		}
		if !r.holds(key, cond) {
			return struct{}{}, store.ErrConflict
		}
		r.remove(key)
		return struct{}{}, nil
	})
	return err
}

// Grant asks for a lease.
func (h *Handle) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return call(ctx, h, "Grant", "", store.ErrUnknown, func(r *Records) (store.Lease, error) {
		r.granted++
		id := store.LeaseID("l" + strconv.Itoa(r.granted))
		r.leases[id] = &lease{ttl: ttl, deadline: time.Now().Add(ttl)}
		return store.Lease{ID: id, TTL: unit.Duration(ttl)}, nil
	})
}

// Renew starts the term of a lease anew.
func (h *Handle) Renew(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, h, "Renew", store.Key(id), store.ErrUnknown, func(r *Records) (struct{}, error) {
		l, ok := r.leases[id]
		if !ok {
			return struct{}{}, store.ErrNotFound
		}
		l.deadline = time.Now().Add(l.ttl)
		return struct{}{}, nil
	})
	return err
}

// Revoke ends a lease and deletes its records.
func (h *Handle) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, h, "Revoke", store.Key(id), store.ErrUnknown, func(r *Records) (struct{}, error) {
		if r.leases[id] == nil {
			return struct{}{}, store.ErrNotFound
		}
		r.end(id)
		return struct{}{}, nil
	})
	return err
}

// call runs f on the records under the handle's faults. The error lost is what
// the real client reports when the answer of this kind of call is lost.
func call[T any](ctx context.Context, h *Handle, method string, key store.Key, lost error, f func(*Records) (T, error)) (T, error) {
	var none T
	h.mu.Lock()
	h.calls[method]++
	decide := h.fault
	h.mu.Unlock()
	fault := FaultNone
	if decide != nil {
		fault = decide(method, key)
	}
	if fault == FaultDown || ctx.Err() != nil {
		return none, store.ErrUnavailable
	}
	h.records.mu.Lock()
	defer h.records.mu.Unlock()
	h.records.expire()
	answer, err := f(h.records)
	if fault == FaultLost {
		return none, lost
	}
	return answer, err
}

func (r *Records) holds(key store.Key, cond store.Condition) bool {
	rec, exists := r.values[key]
	switch cond {
	case store.Always():
		return true
	case store.IfAbsent():
		return !exists
	default:
		return exists && cond == store.IfRevision(rec.Revision)
	}
}

func (r *Records) remove(key store.Key) {
	delete(r.values, key)
	r.revision++
}

func (r *Records) end(id store.LeaseID) {
	delete(r.leases, id)
	for key, rec := range r.values {
		if rec.Lease == id {
			r.remove(key)
		}
	}
}

func (r *Records) expire() {
	for id, l := range r.leases {
		if !l.deadline.After(time.Now()) {
			r.end(id)
		}
	}
}
