package owner

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/target/directory"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// fixedDocuments holds one configuration, or none.
type fixedDocuments struct{ document *directory.Document }

func (d fixedDocuments) Current() *directory.Document { return d.document }

// newOrganisationShard returns a shard with one worker whose view of the configuration was
// confirmed at a time, and the job of an organisation.
func newOrganisationShard(t *testing.T, d *directory.Document, confirmedAt time.Time, outage bool) *shard {
	s := New(logr.Discard(), &scriptedFleet{}, nil, Options{Delays: Delays{Configuration: 3 * time.Second}})
	s.ownership, s.outage = confirmedOwnership{}, fixedOutage(outage)
	s.zones, s.documents = fixedZones{confirmedAt}, fixedDocuments{d}
	sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
	t.Cleanup(sh.cancel)
	sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
	sh.update(func(c *scheduler.Core, now time.Time) {
		sh.applyZones(c)
		sh.applyOrganisations(c)
		c.SetWorkers([]scheduler.Listing{{ID: "w1", Service: "orders", Incarnation: 1, Capacity: unit.Resources{Cores: 64000}}}, now)
		c.ConfirmSnapshot(c.Snapshot())
		c.HandleReport("w1", scheduler.Report{Incarnation: 1, RequestedAt: now}, now)
		c.AddJob(&graph.Job{
			ID: "j", Organisation: "a", Queue: graph.Queue{Service: "orders", MaxAttempts: 1},
			Steps: []graph.Step{{Count: 1, Needs: unit.Resources{Cores: 1000}}},
		}, 0, true, now)
		c.Tick(now)
	})
	return sh
}

// TestConfigurationAge guards against starts for an organisation with a cap on a view of the
// configuration that may lack a lower cap, also of starts that were placed before, and
// against an owner that stops during an outage or for organisations without a cap.
func TestConfigurationAge(t *testing.T) {
	capped := &directory.Document{Organisations: []organisation.Organisation{{ID: "a", Cap: unit.Resources{Cores: 8000}}}}
	free := &directory.Document{Organisations: []organisation.Organisation{{ID: "a"}}}
	tests := []struct {
		name     string
		document *directory.Document
		age      time.Duration
		outage   bool
		runs     int
		window   time.Duration // at most, of a start
	}{
		{"just read", capped, 0, false, 1, 2 * time.Second},
		{"read two seconds ago", capped, 2 * time.Second, false, 1, time.Second},
		{"read 2.8 s ago", capped, 2800 * time.Millisecond, false, 0, 200 * time.Millisecond},
		{"read long ago", capped, time.Minute, false, 0, -57 * time.Second},
		{"read long ago, no cap", free, time.Minute, false, 1, 2 * time.Second},
		{"read long ago, store answers no entry", capped, time.Minute, true, 1, 2 * time.Second},
		{"never read", nil, 0, false, 0, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sh := newOrganisationShard(t, tt.document, time.Now().Add(-tt.age), tt.outage)
			now := time.Now()
			if diff := cmp.Diff(tt.runs, sh.core.Stats(now).Runs); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
			isCapped := tt.document == nil || tt.document == capped
			window := sh.startWindowOf(scheduler.Order{Kind: scheduler.OrderStart, Capped: isCapped}, now)
			if window > tt.window || window < tt.window-500*time.Millisecond {
				t.Errorf("start window %s, want about %s", window, tt.window)
			}
		})
	}
}

// TestNewConfiguration guards against a cap that does not take effect at the next tick, and
// against the costs of applying one configuration at each tick.
func TestNewConfiguration(t *testing.T) {
	d := &directory.Document{Organisations: []organisation.Organisation{{ID: "a", Cap: unit.Resources{Cores: 500}}}}
	sh := newOrganisationShard(t, d, time.Time{}, false)
	if diff := cmp.Diff(0, sh.core.Stats(time.Now()).Runs); diff != "" {
		t.Errorf("runs with the first version (-want +got):\n%s", diff)
	}
	tick := func() {
		time.Sleep(10 * time.Millisecond) // passes are spaced by more than their time
		sh.update(func(c *scheduler.Core, now time.Time) {
			sh.applyZones(c)
			sh.applyOrganisations(c)
			c.Tick(now)
		})
	}
	d.Organisations[0].Cap.Cores = 1000 // of the same version, which is not read again
	tick()
	if diff := cmp.Diff(0, sh.core.Stats(time.Now()).Runs); diff != "" {
		t.Errorf("runs with the same version (-want +got):\n%s", diff)
	}
	sh.service.documents = fixedDocuments{&directory.Document{Organisations: d.Organisations}}
	tick()
	if diff := cmp.Diff(1, sh.core.Stats(time.Now()).Runs); diff != "" {
		t.Errorf("runs with the next version (-want +got):\n%s", diff)
	}
}

// TestOrganisationLog guards against a log that gets the lines of all organisations at once,
// which the bound of its volume would drop.
func TestOrganisationLog(t *testing.T) {
	sh := newOrganisationShard(t, &directory.Document{}, time.Time{}, false)
	sh.update(func(c *scheduler.Core, now time.Time) {
		for i := range 1000 {
			c.AddJob(&graph.Job{ID: unit.JobID(rune(1000 + i)), Organisation: unit.OrganisationID(rune(1000 + i)), Steps: []graph.Step{{Count: 1, Needs: unit.Resources{Cores: 1}}}}, 0, true, now)
		}
	})
	var s organisationSummary
	s.log(sh)
	first := len(s.pending)
	ticks := 1
	for ; len(s.pending) > 0 && ticks < 1000; ticks++ {
		s.log(sh)
	}
	if first < 980 || ticks < 80 || ticks > 100 {
		t.Errorf("%d lines wait after the first tick, none after %d ticks", first, ticks)
	}
}

// TestSummaryPanic guards against a shard that never ends after a fault of the core, as the
// lock is still held.
func TestSummaryPanic(t *testing.T) {
	sh := newOrganisationShard(t, &directory.Document{}, time.Time{}, false)
	sh.core = nil // so that any use of it panics
	err := guard.Call(func() error {
		(&organisationSummary{}).log(sh)
		return nil
	})
	if err == nil {
		t.Fatal("no panic")
	}
	if !sh.mu.mu.TryLock() {
		t.Fatal("the lock is held after the panic")
	}
	sh.mu.mu.Unlock()
}
