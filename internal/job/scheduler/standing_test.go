package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// TestStanding guards against jobs beyond the rate of their organisation that start before
// those within, against an organisation above its share that goes before others, and
// against either rule across what it does not concern.
func TestStanding(t *testing.T) {
	type entry struct {
		id       unit.JobID
		org      unit.OrganisationID
		priority graph.Priority
		ran      bool // is long-running and has run before
	}
	tests := []struct {
		name    string
		running unit.Millicores // of organisation a
		jobs    []entry         // in order of acceptance
		order   []unit.JobID
	}{
		{"within the rate", 0, []entry{{"a1", "a", 1, false}, {"b1", "b", 0, false}}, []unit.JobID{"b1", "a1"}},
		{"beyond the rate, behind all priorities", 0, []entry{{"a1", "a", 0, false}, {"a2", "a", 0, false}, {"a3", "a", 0, false}, {"b1", "b", 3, false}},
			[]unit.JobID{"a1", "a2", "b1", "a3"}},
		{"beyond the rate, by priority", 0, []entry{{"a1", "a", 0, false}, {"a2", "a", 0, false}, {"a3", "a", 2, false}, {"a4", "a", 1, false}},
			[]unit.JobID{"a1", "a2", "a4", "a3"}},
		{"without an organisation", 0, []entry{{"x1", "", 1, false}, {"x2", "", 1, false}, {"x3", "", 1, false}, {"b1", "b", 2, false}},
			[]unit.JobID{"x1", "x2", "x3", "b1"}},
		{"interrupted service beyond the rate", 0, []entry{{"a1", "a", 1, false}, {"a2", "a", 1, false}, {"a3", "a", 1, true}},
			[]unit.JobID{"a3", "a1", "a2"}},
		{"above the share", 48000, []entry{{"a1", "a", 1, false}, {"b1", "b", 1, false}, {"b2", "b", 2, false}}, []unit.JobID{"b1", "a1", "b2"}},
		{"interrupted service above the share", 48000, []entry{{"b1", "b", 1, false}, {"a1", "a", 1, true}}, []unit.JobID{"a1", "b1"}},
		{"at the share", 28000, []entry{{"a1", "a", 1, false}, {"b1", "b", 1, false}}, []unit.JobID{"a1", "b1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.core.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}})
			if tt.running > 0 {
				j := newJob("running", graph.Step{Count: int(tt.running / 4000), Needs: unit.Resources{Cores: 4000}})
				j.Organisation, j.Accepted = "a", startTime.Add(-time.Hour)
				f.core.AddJob(j, 0, true, f.now)
				f.takeStarts(OutcomeDone)
			}
			for i, e := range tt.jobs {
				j := newJob(e.id, graph.Step{Count: 20, Needs: unit.Resources{Cores: 4000}, LongRunning: e.ran})
				j.Organisation, j.Queue.Priority = e.org, e.priority
				j.Accepted = startTime.Add(time.Duration(i) * time.Millisecond)
				f.core.AddJob(j, 0, true, f.now)
				if e.ran {
					for _, waiting := range f.core.jobs[e.id].occurrences[0].steps[0].waiting {
						waiting.ranBefore = true
					}
				}
			}
			f.core.sortReady(f.now)
			f.core.organisations.sharesUpdated = time.Time{}
			f.core.updateShares(f.now)
			var got []unit.JobID
			for _, s := range f.core.sortReady(f.now) {
				got = append(got, s.occurrence.job.spec.ID)
			}
			if diff := cmp.Diff(tt.order, got); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// sortReady sorts the ready steps as a placement pass does.
func (c *Core) sortReady(now time.Time) []*step {
	c.readySteps = slices.DeleteFunc(c.readySteps, func(s *step) bool { return len(s.waiting) == 0 })
	c.beginPass()
	slices.SortStableFunc(c.readySteps, func(a, b *step) int { return c.policy.compare(a, b, now) })
	return c.readySteps
}

// TestBeyondRateAwaitsOthers guards against a job beyond its rate that starts before a
// best-effort task within the rate, which is placed in fewer passes, and against one that
// preempts others.
func TestBeyondRateAwaitsOthers(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.core.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}})
	f.takeStarts(OutcomeDone)
	large := graph.Step{Count: 1, Needs: unit.Resources{Cores: 1000, Memory: 200 << 30}}
	for _, id := range []unit.JobID{"a1", "a2"} {
		f.addJobOf("a", id, graph.Step{Count: 1}, true)
	}
	f.addJobOf("a", "a3", large, true)
	large.BestEffort, large.Checkpoints = true, true
	f.addJobOf("b", "b1", large, true)
	f.now = f.now.Add(placementInterval)
	f.core.Place(f.now)
	if diff := cmp.Diff([]unit.JobID{"a1", "a2"}, jobsOf(f.core.TakeOrders())); diff != "" {
		t.Errorf("starts without best-effort tasks (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]unit.JobID{"b1"}, jobsOf(f.takeStarts(OutcomeDone))); diff != "" {
		t.Errorf("starts with best-effort tasks (-want +got):\n%s", diff)
	}
	f.core.jobs["b1"].spec.Queue.Priority = 9
	f.now = f.now.Add(preemptInterval)
	f.core.placementDue = true
	f.core.Place(f.now)
	if diff := cmp.Diff([]unit.JobID(nil), jobsOf(f.core.TakeOrders())); diff != "" {
		t.Errorf("orders for a job beyond the rate (-want +got):\n%s", diff)
	}
}

// TestSharesBesideOthers guards against shares of capacity that jobs without an organisation
// use, and against an organisation that counts as above its share while nobody else asks.
func TestSharesBesideOthers(t *testing.T) {
	tests := []struct {
		name   string
		others int // tasks without an organisation, of 4 cores of 64
		waits  int // tasks of organisation b
		share  float64
		above  bool // organisation a, which runs 6 tasks
	}{
		{"capacity is not filled", 0, 2, 0, false},
		{"filled", 0, 40, 0.625, false},
		{"filled beside others", 10, 40, 0.1875, true},
		{"others fill the rest, nothing waits", 10, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.setCaps(map[unit.OrganisationID]unit.Millicores{"a": 0, "b": 0})
			four := graph.Step{Count: 6, Needs: unit.Resources{Cores: 4000}}
			f.addJobOf("a", "a", four, true)
			if four.Count = tt.others; tt.others > 0 {
				f.addJobOf("", "others", four, true)
			}
			f.takeStarts(OutcomeDone)
			if four.Count = tt.waits; tt.waits > 0 {
				f.addJobOf("b", "b", four, true)
			}
			f.core.organisations.sharesUpdated = time.Time{}
			f.core.updateShares(f.now)
			stats := f.core.OrganisationStats(f.now)[0]
			if diff := cmp.Diff(tt.share, stats.Share); diff != "" {
				t.Errorf("share (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.above, stats.AboveShare); diff != "" {
				t.Errorf("above its share (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStandingAfterRestart guards against a job beyond its rate that goes before others, as one
// of its long-running tasks was interrupted and has started again.
func TestStandingAfterRestart(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.core.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: 1}})
	for _, id := range []unit.JobID{"a1", "a2"} {
		f.addJobOf("a", id, graph.Step{Count: 1}, true)
	}
	f.addJobOf("a", "a3", graph.Step{Count: 2, Needs: unit.Resources{Cores: 40000}, LongRunning: true}, true)
	s := f.core.jobs["a3"].occurrences[0].steps[0]
	s.waiting[1].ranBefore = true
	f.core.organisations.standingsDue = true
	for i, want := range []bool{false, true} {
		f.core.sortReady(f.now)
		if diff := cmp.Diff(want, s.beyondRate()); diff != "" {
			t.Errorf("beyond the rate before start %d (-want +got):\n%s", i, diff)
		}
		f.takeStarts(OutcomeDone)
	}
}
