package config

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/standin/memory"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// settleTime is long enough for all entries to see each other, and for the first of
// them to know all entries that have left.
const settleTime = 14 * time.Second

// TestApply guards against an outcome that claims more than is known: accepted while
// an entry may still act on the old configuration, or not written although it was.
func TestApply(t *testing.T) {
	tests := []struct {
		name    string
		arrange func(c *cluster, all []*entry)
		base    unit.Revision
		wait    time.Duration
		want    change.Outcome
		err     error
		written bool // whether the head reaches revision 2 within 10 s after the faults end
	}{
		{"accepted", nil, 1, 3 * time.Second, change.Accepted, nil, true},
		{"old base", nil, 0, 3 * time.Second, change.Conflict, nil, false},
		{"base never written", nil, 7, 3 * time.Second, change.Conflict, nil, false},
		{"store down", func(_ *cluster, all []*entry) { all[0].handle.SetFault(storeDown) }, 1, 3 * time.Second,
			"", store.ErrUnavailable, false},
		{"answer of the create lost once", func(_ *cluster, all []*entry) {
			var lost atomic.Bool
			all[0].handle.SetFault(func(method string, key store.Key) memory.Fault {
				if method == "Put" && key == "config/rev/2" && lost.CompareAndSwap(false, true) {
					return memory.FaultReplyLost
				}
				return memory.FaultNone
			})
		}, 1, 3 * time.Second, change.Accepted, nil, true},
		{"answers of the head lost", func(_ *cluster, all []*entry) {
			all[0].handle.SetFault(loseAnswers("Put", headKey))
		}, 1, 3 * time.Second, change.Accepted, nil, true},
		{"store fails after the create", func(_ *cluster, all []*entry) {
			var created atomic.Bool
			all[0].handle.SetFault(func(method string, key store.Key) memory.Fault {
				if created.Load() {
					return memory.FaultUnavailable
				}
				if method == "Put" && key == "config/rev/2" {
					created.Store(true)
					return memory.FaultReplyLost
				}
				return memory.FaultNone
			})
		}, 1, 3 * time.Second, change.Unknown, nil, true},
		{"entry unreachable", func(_ *cluster, all []*entry) {
			all[2].setIsolated(true)
			all[2].handle.SetFault(storeDown)
		}, 1, 3 * time.Second, change.Pending, nil, true},
		{"entry unreachable for its registration and 12 s", func(_ *cluster, all []*entry) {
			all[2].setIsolated(true)
			all[2].handle.SetFault(storeDown)
		}, 1, 25 * time.Second, change.Accepted, nil, true},
		{"entry without store only", func(_ *cluster, all []*entry) {
			all[2].handle.SetFault(storeDown)
		}, 1, 3 * time.Second, change.Accepted, nil, true},
		{"started entry", func(c *cluster, all []*entry) {
			all[0].Service = c.start(nil).Service
		}, 1, 3 * time.Second, change.Accepted, nil, true},
		{"started entry after another was lost", func(c *cluster, all []*entry) {
			all[2].setIsolated(true)
			all[2].handle.SetFault(storeDown)
			time.Sleep(8 * time.Second)
			all[0].Service = c.start(nil).Service
		}, 1, 3 * time.Second, change.Pending, nil, true},
		{"entry stopped gracefully", func(c *cluster, all []*entry) {
			c.remove(all[2])
		}, 1, 3 * time.Second, change.Accepted, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stop()
				time.Sleep(settleTime)
				all := c.all()
				if r, err := all[0].apply(0, "first", zones("a", "b"), 3*time.Second); err != nil || r.Outcome != change.Accepted {
					t.Fatalf("first change: %v, %v", r.Outcome, err)
				}
				if tt.arrange != nil {
					tt.arrange(c, all)
				}
				result, err := all[0].apply(tt.base, "second", zones("a", "c"), tt.wait)
				if result.Outcome != tt.want || !errors.Is(err, tt.err) {
					t.Errorf("Apply = %q, %v; want %q, %v", result.Outcome, err, tt.want, tt.err)
				}
				if result.Outcome == change.Conflict && result.Revision.Operation != "first" {
					t.Errorf("conflict shows %+v; want the first change", result.Revision)
				}
				for _, e := range c.all() {
					if n := e.Current().Number; result.Outcome == change.Accepted && n < 2 && time.Now().Before(e.ServeUntil()) {
						t.Errorf("%s serves with revision %d after revision 2 was accepted", e.id, n)
					}
					e.setIsolated(false)
					e.handle.SetFault(nil)
				}
				time.Sleep(10 * time.Second)
				status, err := all[1].Status(t.Context(), change.Query{Base: 1, Operation: "second"})
				if err != nil {
					t.Error(err)
				}
				for _, e := range c.all() {
					if n := e.Current().Number; (n == 2) != tt.written {
						t.Errorf("%s has revision %d, second change written = %v", e.id, n, tt.written)
					}
				}
				if want := map[bool]change.Outcome{true: change.Accepted, false: change.Unknown}[tt.written]; status.Outcome != want {
					t.Errorf("Status = %q, want %q", status.Outcome, want)
				}
			})
		})
	}
}

// TestRestart guards against a newly started entry that acts on a stale answer of
// the store although its peers have a higher revision.
func TestRestart(t *testing.T) {
	tests := []struct {
		name     string
		isolated bool // whether the entry reaches no peer at first
		after    time.Duration
		want     unit.Revision
	}{
		{"peers reachable", false, 2 * time.Second, 2},
		{"peers unreachable at first", true, 6 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stop()
				time.Sleep(settleTime)
				all := c.all()
				if _, err := all[0].apply(0, "1", zones("a"), 3*time.Second); err != nil {
					t.Fatal(err)
				}
				old, err := all[0].handle.Get(t.Context(), headKey)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := all[0].apply(1, "2", zones("a", "b"), 3*time.Second); err != nil {
					t.Fatal(err)
				}
				e := c.start(func(h *memory.Handle) { h.SetStale(old) })
				e.setIsolated(tt.isolated)
				time.Sleep(tt.after)
				if n := e.Current().Number; tt.want != 0 && n != tt.want {
					t.Errorf("revision %d, want %d", n, tt.want)
				}
				if until := e.StartUntil(); !until.IsZero() {
					t.Errorf("may start until %v on a stale answer of the store", until)
				}
				if until := e.ServeUntil(); tt.isolated && !until.IsZero() {
					t.Errorf("may serve until %v without peers, on a stale answer of the store", until)
				}
				e.handle.ClearStale()
				e.setIsolated(false)
				time.Sleep(2 * time.Second)
				if n := e.Current().Number; n != 2 || !time.Now().Before(e.StartUntil()) {
					t.Errorf("revision %d, may start until %v; want revision 2 in use", n, e.StartUntil())
				}
			})
		})
	}
}

// TestOutage guards against entries that, during a store outage, start tasks, stop
// serving while a majority of peers agrees, or serve without peers.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stop()
		time.Sleep(settleTime)
		all := c.all()
		if _, err := all[0].apply(0, "1", zones("a"), 3*time.Second); err != nil {
			t.Fatal(err)
		}
		for _, e := range all {
			e.handle.SetFault(storeDown)
		}
		time.Sleep(10 * time.Minute)
		for _, e := range all {
			if now := time.Now(); now.Before(e.NotAfter()) || !now.Before(e.ServeUntil()) {
				t.Errorf("%s: starts until %v and serves until %v at %v", e.id, e.NotAfter(), e.ServeUntil(), now)
			}
		}
		all[2].setIsolated(true)
		time.Sleep(3 * time.Second)
		if time.Now().Before(all[2].ServeUntil()) {
			t.Error("an entry without store and peers serves")
		}
	})
}

// TestSetZone guards against a zone change that fails because of an unrelated change,
// and against one that overwrites another operator's change of the same zone.
func TestSetZone(t *testing.T) {
	tests := []struct {
		name  string
		other func(d *spec.Document)
		want  change.Outcome
		out   bool
	}{
		{"no other change", nil, change.Accepted, true},
		{"another zone changed", func(d *spec.Document) { d.Zones[1].Out = true }, change.Accepted, true},
		{"zone removed", func(d *spec.Document) { d.Zones = d.Zones[1:] }, change.Conflict, false},
		{"zone changed", func(d *spec.Document) { d.Zones[0].Out = true }, change.Conflict, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				defer c.stop()
				time.Sleep(settleTime)
				all := c.all()
				document := zones("a", "b")
				if _, err := all[0].apply(0, "1", document, 3*time.Second); err != nil {
					t.Fatal(err)
				}
				if tt.other != nil {
					// The other change is written between the read and the write.
					var once atomic.Bool
					all[0].handle.SetFault(func(method string, key store.Key) memory.Fault {
						if method == "Put" && key == "config/rev/2" && once.CompareAndSwap(false, true) {
							tt.other(&document)
							if _, err := all[1].apply(1, "other", document, time.Second); err != nil {
								t.Error(err)
							}
						}
						return memory.FaultNone
					})
				}
				result, err := all[0].SetZone(t.Context(), "a", true, "meera", "out")
				if err != nil || result.Outcome != tt.want {
					t.Errorf("SetZone = %q, %v; want %q", result.Outcome, err, tt.want)
				}
				zone, _ := findZone(&result.Revision.Document, "a")
				if zone.Out != tt.out {
					t.Errorf("zone out = %v, want %v", zone.Out, tt.out)
				}
				if _, err := all[0].SetZone(t.Context(), "x", true, "meera", "none"); !errors.Is(err, change.ErrUnknownZone) {
					t.Errorf("SetZone of an unknown zone = %v, want %v", err, change.ErrUnknownZone)
				}
			})
		})
	}
}

// TestHistory guards against a log that grows without bound, and against the deletion
// of revisions that must be kept.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		time.Sleep(settleTime)
		e := c.all()[0]
		const changes = keptRevisions + 20
		for n := range unit.Revision(changes) {
			if _, err := e.apply(n, "op"+string(rune('a'+n%26)), zones("a"), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		history, err := e.History(context.Background(), 1000)
		if err != nil || len(history) != keptRevisions || history[0].Number != changes || history[keptRevisions-1].Number != changes-keptRevisions+1 {
			t.Errorf("%d revisions, %v; want the last %d", len(history), err, keptRevisions)
		}
		snapshot, err := e.handle.List(t.Context(), revisionPrefix)
		if err != nil || len(snapshot.Records) != keptRevisions {
			t.Errorf("store keeps %d revisions, %v; want %d", len(snapshot.Records), err, keptRevisions)
		}
	})
}
