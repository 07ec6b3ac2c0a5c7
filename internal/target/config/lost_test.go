package config

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
)

// TestLostMajority guards against a change that is accepted while lost entries that
// are a majority of their last view keep each other serving with the old
// configuration.
func TestLostMajority(t *testing.T) {
	tests := []struct {
		name    string
		during  func(c *cluster, lost []*entry)
		after   time.Duration // time from the partition to the query
		want    change.Outcome
		missing []unit.EntryID
	}{
		{"after their registrations and 12 s", nil, 25 * time.Second, change.Pending, []unit.EntryID{"e2", "e3"}},
		{"after ten minutes", nil, 10 * time.Minute, change.Pending, []unit.EntryID{"e2", "e3"}},
		{"shortly before the bound", nil, 74 * time.Minute, change.Pending, []unit.EntryID{"e2", "e3"}},
		{"after the bound", nil, 76 * time.Minute, change.Accepted, nil},
		{"seen by a started entry", func(c *cluster, _ []*entry) { c.start(nil) }, 10 * time.Minute, change.Pending, []unit.EntryID{"e2", "e3"}},
		{"both forgotten", func(c *cluster, lost []*entry) {
			for _, e := range lost {
				c.kill(e)
				if err := c.all()[0].members.Forget(t.Context(), e.id); err != nil {
					t.Error(err)
				}
			}
		}, 30 * time.Second, change.Accepted, nil},
		{"one has returned", func(_ *cluster, lost []*entry) {
			lost[0].setPartition(0)
			lost[0].handle.SetFault(nil)
		}, 2 * time.Minute, change.Accepted, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stop()
				time.Sleep(settleTime)
				all := c.all()
				if _, err := all[0].apply(0, "first", zones("a", "b"), 3*time.Second); err != nil {
					t.Fatal(err)
				}
				lost := all[1:]
				for _, e := range lost {
					e.handle.SetFault(storeDown)
					e.setPartition(1)
				}
				partitioned := time.Now()
				if _, err := all[0].apply(1, "second", zones("a", "c"), 20*time.Second); err != nil {
					t.Fatal(err)
				}
				if tt.during != nil {
					tt.during(c, lost)
				}
				time.Sleep(time.Until(partitioned.Add(tt.after)))
				for _, e := range c.all() {
					if e.currentPartition() != 0 {
						continue
					}
					status, err := e.Status(t.Context(), change.Query{Base: 1, Operation: "second"})
					if err != nil || status.Outcome != tt.want {
						t.Errorf("%s: Status = %q, %v; want %q", e.id, status.Outcome, err, tt.want)
					}
					if diff := cmp.Diff(tt.missing, status.Missing); diff != "" {
						t.Errorf("%s: missing (-want +got):\n%s", e.id, diff)
					}
					for _, o := range lost {
						if n := o.Current().Number; status.Outcome == change.Accepted && n < 2 && time.Now().Before(o.ServeUntil()) {
							t.Errorf("%s serves with revision %d while %s reports revision 2 as accepted", o.id, n, e.id)
						}
					}
				}
				for _, e := range lost {
					e.setPartition(0)
				}
			})
		})
	}
}
