package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/standin/memory"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// process is one entry with its own handle on the shared store.
type process struct {
	handle  *memory.Handle
	service *Service
	kernel  *registry.Kernel
}

func startProcess(t *testing.T, records *memory.Records, id unit.EntryID) *process {
	t.Helper()
	p := &process{handle: memory.NewHandle(records), kernel: registry.New()}
	p.service = New(logr.Discard(), roster.Entry{ID: id, Zone: "guj-morbi", Address: "127.0.0.1:1"})
	for _, s := range []registry.Service{p.handle, p.service} {
		if err := p.kernel.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.kernel.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

func (p *process) ids() []unit.EntryID {
	ids := []unit.EntryID{}
	for _, e := range p.service.View().Entries {
		ids = append(ids, e.ID)
	}
	return ids
}

func storeDown(string, store.Key) memory.Fault { return memory.FaultUnavailable }

// TestRegistration guards against a registration that outlives a graceful stop,
// is not renewed under a new lease after it expired, or is reported as certainly
// valid after the store has dropped it.
func TestRegistration(t *testing.T) {
	tests := []struct {
		name     string
		fault    func(method string, key store.Key) memory.Fault
		duration time.Duration  // how long the fault lasts
		wantView []unit.EntryID // view of b during the fault
		newLease bool           // whether a ends under a new lease
	}{
		{"no fault", nil, 20 * time.Second, []unit.EntryID{"a", "b"}, false},
		{"short outage", storeDown, 3 * time.Second, []unit.EntryID{"a", "b"}, false},
		{"long outage", storeDown, 9 * time.Second, []unit.EntryID{"b"}, true},
		{"answers of renewals lost", func(method string, _ store.Key) memory.Fault {
			if method == "Renew" {
				return memory.FaultReplyLost
			}
			return memory.FaultNone
		}, 20 * time.Second, []unit.EntryID{"a", "b"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := memory.NewRecords()
				a, b := startProcess(t, records, "a"), startProcess(t, records, "b")
				time.Sleep(1100 * time.Millisecond)
				before := a.service.Lease()
				a.handle.SetFault(tt.fault)
				time.Sleep(tt.duration)
				if diff := cmp.Diff(tt.wantView, b.ids()); diff != "" {
					t.Errorf("view of b during the fault (-want +got):\n%s", diff)
				}
				if left := time.Until(a.service.ValidUntil()); left > 0 && len(tt.wantView) == 1 {
					t.Errorf("a has expired in the store and reports itself valid for %v", left)
				}
				a.handle.SetFault(nil)
				time.Sleep(3100 * time.Millisecond)
				if diff := cmp.Diff([]unit.EntryID{"a", "b"}, b.ids()); diff != "" {
					t.Errorf("view of b after the fault (-want +got):\n%s", diff)
				}
				if replaced := a.service.Lease() != before; replaced != tt.newLease {
					t.Errorf("lease replaced = %v, want %v", replaced, tt.newLease)
				}
				a.stop(t)
				time.Sleep(1100 * time.Millisecond)
				if diff := cmp.Diff([]unit.EntryID{"b"}, b.ids()); diff != "" {
					t.Errorf("view of b after the stop of a (-want +got):\n%s", diff)
				}
				b.stop(t)
			})
		})
	}
}

// TestLostRegistration guards against an entry that renews a lease to which its
// record is not bound, after the answer to its first registration was lost.
func TestLostRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := memory.NewRecords()
		a := &process{handle: memory.NewHandle(records), kernel: registry.New()}
		a.handle.SetFault(func(method string, key store.Key) memory.Fault {
			if method == "Put" && key == "entry/a" {
				return memory.FaultReplyLost
			}
			return memory.FaultNone
		})
		a.service = New(logr.Discard(), roster.Entry{ID: "a"})
		for _, s := range []registry.Service{a.handle, a.service} {
			if err := a.kernel.Register(s); err != nil {
				t.Fatal(err)
			}
		}
		if err := a.kernel.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		a.handle.SetFault(nil)
		time.Sleep(20 * time.Second)
		record, err := a.handle.Get(t.Context(), "entry/a")
		if err != nil || record.Lease != a.service.Lease() {
			t.Errorf("record = %+v, %v; want it under lease %q", record, err, a.service.Lease())
		}
		a.stop(t)
	})
}

// TestLostEntry guards against a lost entry that is treated as stopped, and against
// lasting records that are never deleted.
func TestLostEntry(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration // how long entry a cannot reach the store
		lost   []unit.EntryID
	}{
		{"before the registration expires", 5 * time.Second, nil},
		{"after it expired", 20 * time.Second, []unit.EntryID{"a"}},
		{"shortly before the record is deleted", 60 * time.Second, []unit.EntryID{"a"}},
		{"after the record was deleted", 90 * time.Second, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := memory.NewRecords()
				a, b := startProcess(t, records, "a"), startProcess(t, records, "b")
				a.handle.SetFault(storeDown)
				time.Sleep(tt.outage)
				if diff := cmp.Diff(tt.lost, b.service.View().Lost); diff != "" {
					t.Errorf("lost entries (-want +got):\n%s", diff)
				}
				a.handle.SetFault(nil)
				time.Sleep(3 * time.Second)
				if _, err := b.handle.Get(t.Context(), "entry/a/open"); err != nil || !b.service.View().Contains("a") {
					t.Errorf("after the outage: lasting record %v, view %v", err, b.ids())
				}
				a.stop(t)
				time.Sleep(2 * time.Second)
				if v := b.service.View(); v.Contains("a") || len(v.Lost) > 0 {
					t.Errorf("after a graceful stop: view %+v", v)
				}
				b.stop(t)
			})
		})
	}
}

// TestForget guards against deleting the lasting record of an entry that is
// registered, or that registers after the record was read.
func TestForget(t *testing.T) {
	tests := []struct {
		name    string
		id      unit.EntryID
		arrange func(a, b *process)
		err     error
		kept    bool // whether the lasting record of a remains
	}{
		{"lost", "a", nil, nil, false},
		{"unknown", "x", nil, store.ErrNotFound, true},
		{"registered", "a", func(a, _ *process) {
			a.handle.SetFault(nil)
			time.Sleep(3 * time.Second)
		}, ErrRegistered, true},
		{"registers at the same time", "a", func(a, b *process) {
			b.handle.SetFault(func(method string, key store.Key) memory.Fault {
				if method == "Delete" && key == lastingKey("a") {
					a.handle.SetFault(nil)
					time.Sleep(3 * time.Second)
				}
				return memory.FaultNone
			})
		}, ErrRegistered, true},
		{"store down", "a", func(_, b *process) { b.handle.SetFault(storeDown) }, store.ErrUnavailable, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := memory.NewRecords()
				a, b := startProcess(t, records, "a"), startProcess(t, records, "b")
				a.handle.SetFault(storeDown)
				time.Sleep(10 * time.Second)
				if tt.arrange != nil {
					tt.arrange(a, b)
				}
				if err := b.service.Forget(t.Context(), tt.id); !errors.Is(err, tt.err) {
					t.Errorf("Forget = %v, want %v", err, tt.err)
				}
				a.handle.SetFault(nil)
				b.handle.SetFault(nil)
				if _, err := b.handle.Get(t.Context(), lastingKey("a")); (err == nil) != tt.kept {
					t.Errorf("lasting record: %v, want kept = %v", err, tt.kept)
				}
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

// TestStopAnswerLost guards against a stop that fails because one answer of the
// store was lost, and against one that succeeds although the outcome is unknown.
func TestStopAnswerLost(t *testing.T) {
	tests := []struct {
		name   string
		method string
		fault  memory.Fault
		count  int // calls that the fault affects
		failed bool
	}{
		{"lease revocation", "Revoke", memory.FaultReplyLost, 1, false},
		{"record deletion", "Delete", memory.FaultReplyLost, 1, false},
		{"store down during stop", "Revoke", memory.FaultUnavailable, 1, true},
		{"every answer lost", "Delete", memory.FaultReplyLost, 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startProcess(t, memory.NewRecords(), "a")
				faults := 0
				p.handle.SetFault(func(method string, _ store.Key) memory.Fault {
					if method != tt.method || faults == tt.count {
						return memory.FaultNone
					}
					faults++
					return tt.fault
				})
				err := p.kernel.Stop(context.Background())
				if (err != nil) != tt.failed {
					t.Errorf("stop: %v, want an error: %v", err, tt.failed)
				}
				if faults == 0 {
					t.Error("the fault was never injected")
				}
			})
		})
	}
}
