package share

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// periodStart is the beginning of a period.
var periodStart = time.Unix(1_000_020, 0)

// at returns times in milliseconds after periodStart.
func at(ms ...int) []time.Time {
	var times []time.Time
	for _, m := range ms {
		times = append(times, periodStart.Add(time.Duration(m)*time.Millisecond))
	}
	return times
}

// admit records a job and reports whether it is within the rate of its organisation.
func admit(m *Meter, id unit.OrganisationID, accepted time.Time) bool {
	a := m.Record(id, "", accepted)
	m.Settle()
	return a.Within()
}

// TestAdmit guards against jobs beyond the rate that count as within it, and against an
// organisation that is denied its rate or its burst.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name     string
		weight   float64
		accepted []time.Time
		want     []bool
	}{
		{"burst of two seconds", 2, at(0, 0, 0, 0, 0), []bool{true, true, true, true, false}},
		{"at the rate after the burst", 1, at(0, 0, 0, 1000, 1500, 2000), []bool{true, true, false, true, false, true}},
		{"jobs beyond the rate use nothing of it", 1, at(0, 0, 900, 950, 1000), []bool{true, true, false, false, true}},
		{"less than a job in two seconds", 0.25, at(0, 1000, 3999, 4000), []bool{true, false, false, true}},
		{"no more than the burst after a pause", 1, at(0, 30000, 30000, 30000), []bool{true, true, true, false}},
		{"full again in the next period", 1, at(59999, 59999, 59999, 60000, 60000, 60000), []bool{true, true, false, true, true, false}},
		{"weight of 0 counts as 1", 0, at(0, 0, 0), []bool{true, true, false}},
		{"negative weight counts as 1", -5, at(0, 0, 0), []bool{true, true, false}},
		{"weight that is no number counts as 1", math.NaN(), at(0, 0, 0), []bool{true, true, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Meter
			m.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: tt.weight}})
			var got []bool
			for _, accepted := range tt.accepted {
				admit(&m, "b", accepted) // has a rate of its own
				got = append(got, admit(&m, "a", accepted))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("within the rate (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDelay guards against a caller that is told to return before its next job is within the
// rate, or long after.
func TestDelay(t *testing.T) {
	tests := []struct {
		name     string
		weight   float64
		accepted []time.Time
		now      time.Time
		want     time.Duration
	}{
		{"no job yet", 1, nil, periodStart, 0},
		{"burst not used up", 1, at(0), periodStart, 0},
		{"burst used up", 1, at(0, 0, 0), periodStart, time.Second},
		{"some time later", 1, at(0, 0, 0), periodStart.Add(400 * time.Millisecond), 600 * time.Millisecond},
		{"clock behind the last job", 1, at(500, 500, 500), periodStart, time.Second},
		{"next period comes before", 0.01, at(0), periodStart.Add(50 * time.Second), 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Meter
			m.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: tt.weight}})
			for _, accepted := range tt.accepted {
				admit(&m, "a", accepted)
			}
			if diff := cmp.Diff(tt.want, m.Delay("a", tt.now)); diff != "" {
				t.Errorf("delay (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOrderOfRecords guards against a rank that depends on the order in which an owner reads
// the records, or on which records of earlier periods are gone: a new owner would rank jobs
// in another way. It also checks the rate against a plain bound.
func TestOrderOfRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.SampledFrom([]float64{0.3, 1, 2, 13}).Draw(t, "weight")
		offsets := rapid.SliceOfN(rapid.IntRange(0, 90_000), 1, 60).Draw(t, "accepted ms")
		slices.Sort(offsets)
		within := func(order []int, from int, chunk int) map[unit.JobID]bool {
			var m Meter
			m.SetOrganisations([]organisation.Organisation{{ID: "a", Weight: weight}})
			arrivals := map[unit.JobID]*Arrival{}
			for n, i := range order {
				if offsets[i] < from {
					continue
				}
				id := unit.JobID(rune('0' + i))
				arrivals[id] = m.Record("a", id, periodStart.Add(time.Duration(offsets[i])*time.Millisecond))
				if n%chunk == 0 {
					m.Forget(periodStart.Add(90 * time.Second))
				}
			}
			m.Settle()
			got := map[unit.JobID]bool{}
			for id, a := range arrivals {
				got[id] = a.Within()
			}
			return got
		}
		sorted := make([]int, len(offsets))
		for i := range sorted {
			sorted[i] = i
		}
		want := within(sorted, 0, 1)
		chunk := rapid.IntRange(1, 70).Draw(t, "settled each")
		if diff := cmp.Diff(want, within(rapid.Permutation(sorted).Draw(t, "order"), 0, chunk)); diff != "" {
			t.Fatalf("in another order (-want +got):\n%s", diff)
		}
		for id, got := range within(sorted, 60_000, chunk) {
			if got != want[id] {
				t.Fatalf("job %q without the period before: within %v, want %v", id, got, want[id])
			}
		}
		count := 0
		for _, ok := range want {
			if ok {
				count++
			}
		}
		if limit := 90*weight + 2*max(2*weight, 1) + 1; float64(count) > limit {
			t.Fatalf("%d jobs within the rate of %v in 90 s", count, weight)
		}
	})
}

// TestSettleReportsOnce guards against a change that the scheduler does not learn of, as a
// question for the delay has decided about the job, and against jobs that count as beyond the
// rate until it is decided.
func TestSettleReportsOnce(t *testing.T) {
	var m Meter
	m.Record("a", "late", at(500)[0])
	early := m.Record("a", "early", at(0)[0])
	if !early.Within() {
		t.Error("beyond the rate before it is decided")
	}
	m.Delay("a", periodStart)
	got := []bool{m.Settle(), m.Settle()}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestLevel guards against shares that leave capacity unused while an organisation asks for
// more, or that take from one which uses less than its weight gives.
func TestLevel(t *testing.T) {
	tests := []struct {
		name     string
		claims   []Claim
		capacity float64
		want     float64
	}{
		{"no claims", nil, 1, math.Inf(1)},
		{"not filled", []Claim{{1, 0.4}, {1, 0.5}}, 1, math.Inf(1)},
		{"equal weights", []Claim{{1, 5}, {1, 5}}, 1, 0.5},
		{"by weight", []Claim{{3, 5}, {1, 5}}, 1, 0.25},
		{"small demand leaves the rest", []Claim{{1, 0.1}, {1, 5}, {2, 5}}, 1, 0.3},
		{"other users", []Claim{{1, 5}, {1, 5}}, 0.6, 0.3},
		{"no capacity left", []Claim{{1, 5}}, -0.2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, Level(tt.claims, tt.capacity), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("level (-want +got):\n%s", diff)
			}
		})
	}
}

// TestForget guards against memory of jobs that have come long ago, and against the loss of
// those that the rate of the current period depends on.
func TestForget(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // the last job
		kept  int
	}{
		{"in the same period", 10 * time.Second, 3},
		{"two periods later", 2 * period, 3},
		{"three periods later", 3 * period, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Meter
			for range 3 {
				admit(&m, "a", periodStart)
			}
			m.Forget(periodStart.Add(tt.after))
			kept := 0
			for _, l := range m.buckets {
				kept += len(l.arrivals)
			}
			if diff := cmp.Diff(tt.kept, kept); diff != "" {
				t.Errorf("jobs kept (-want +got):\n%s", diff)
			}
		})
	}
}
