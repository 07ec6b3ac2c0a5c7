// Package memory is an in-memory stand-in for the client of the key-value
// service. It needs no network, so that tests can run on a simulated clock. Each
// handle has its own faults: outages, lost replies and stale reads.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Records is the state that all handles share.
type Records struct {
	mu    sync.Mutex
	state *State
}

// NewRecords returns an empty state.
func NewRecords() *Records { return &Records{state: NewState()} }

// Fault is the kind of failure of a call.
type Fault uint8

// Faults of a call.
const (
	FaultNone        Fault = iota
	FaultUnavailable       // the call has no effect
	FaultReplyLost         // the call takes effect and its reply is lost
)

// Handle is one client of the records. It implements registry.Service.
type Handle struct {
	records *Records
	done    chan struct{}

	mu    sync.Mutex
	fault func(method string, key store.Key) Fault
	stale map[store.Key]store.Record // records that Get returns instead of the current ones
	calls map[string]int             // number of calls by method
}

// NewHandle returns a handle without faults.
func NewHandle(r *Records) *Handle {
	return &Handle{records: r, done: make(chan struct{}), stale: map[store.Key]store.Record{}, calls: map[string]int{}}
}

// SetFault sets the function that returns the fault of each call. It may be
// called concurrently; nil ends all faults.
func (h *Handle) SetFault(fault func(method string, key store.Key) Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = fault
}

// SetStale makes Get return a stale record for its key until ClearStale.
func (h *Handle) SetStale(r store.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale[r.Key] = r
}

// ClearStale removes the records set with SetStale.
func (h *Handle) ClearStale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.stale)
}

// Calls returns the number of calls of a method.
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
	old, stale := h.stale[key]
	h.mu.Unlock()
	return call(ctx, h, "Get", key, store.ErrUnavailable, func(s *State) (store.Record, error) {
		if stale {
			return old, nil
		}
		return s.Get(key)
	})
}

// List reads all records whose keys begin with prefix.
func (h *Handle) List(ctx context.Context, prefix store.Key) (store.Snapshot, error) {
	return call(ctx, h, "List", prefix, store.ErrUnavailable, func(s *State) (store.Snapshot, error) {
		return s.List(prefix), nil
	})
}

// Put writes a record if the condition holds.
func (h *Handle) Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, id store.LeaseID) (unit.Revision, error) {
	return call(ctx, h, "Put", key, store.ErrUnknown, func(s *State) (unit.Revision, error) {
		return s.Put(key, value, cond, id)
	})
}

// Delete deletes a record if the condition holds.
func (h *Handle) Delete(ctx context.Context, key store.Key, cond store.Condition) error {
	return change(ctx, h, "Delete", key, func(s *State) error { return s.Delete(key, cond) })
}

// Grant creates a lease.
func (h *Handle) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return call(ctx, h, "Grant", "", store.ErrUnknown, func(s *State) (store.Lease, error) {
		return s.Grant(time.Now(), ttl), nil
	})
}

// Renew extends a lease by its TTL from now.
func (h *Handle) Renew(ctx context.Context, id store.LeaseID) error {
	return change(ctx, h, "Renew", store.Key(id), func(s *State) error { return s.Renew(time.Now(), id) })
}

// Revoke ends a lease and deletes its records.
func (h *Handle) Revoke(ctx context.Context, id store.LeaseID) error {
	return change(ctx, h, "Revoke", store.Key(id), func(s *State) error { return s.Revoke(id) })
}

// change makes a call that returns only an error.
func change(ctx context.Context, h *Handle, method string, key store.Key, f func(*State) error) error {
	_, err := call(ctx, h, method, key, store.ErrUnknown, func(s *State) (struct{}, error) { return struct{}{}, f(s) })
	return err
}

// call runs f on the records and applies the faults of the handle. The error lost
// is the error of the real client when the reply to this kind of call is lost.
func call[T any](ctx context.Context, h *Handle, method string, key store.Key, lost error, f func(*State) (T, error)) (T, error) {
	var none T
	h.mu.Lock()
	h.calls[method]++
	faultOf := h.fault
	h.mu.Unlock()
	fault := FaultNone
	if faultOf != nil {
		fault = faultOf(method, key)
	}
	if fault == FaultUnavailable || ctx.Err() != nil {
		return none, store.ErrUnavailable
	}
	h.records.mu.Lock()
	defer h.records.mu.Unlock()
	h.records.state.Expire(time.Now())
	reply, err := f(h.records.state)
	if fault == FaultReplyLost {
		return none, lost
	}
	return reply, err
}
