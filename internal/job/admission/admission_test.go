package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

var now = time.Unix(1_700_000_000, 0)

// newJob returns a job of one task of 1 s, which is of use for 3 * (2 * 1 s + 1 s) = 9 s if
// the declared duration is right, and for 81 s if it is wrong by a factor of 13.
func newJob(priority graph.Priority) *graph.Job {
	return &graph.Job{
		ID: "j", Organisation: "o", Steps: []graph.Step{{Count: 1, Estimate: time.Second}},
		Queue: graph.Queue{ID: "q", Service: "s", Priority: priority, Stretch: 2, Target: time.Second},
	}
}

// newLoad returns a load on 10 cores, with work of priority 0 of at least a duration on each
// of them and of the double as expected.
func newLoad(ahead time.Duration) overload.Load {
	return overload.Load{Short: true, Pools: []overload.PoolLoad{{
		Service: "s", Short: true, Usable: 10_000, MaxUsable: 10_000,
		Waiting: []overload.WaitingWork{{Work: 20 * ahead, MinWork: 10 * ahead}, {Priority: 1, Work: 200 * time.Hour, MinWork: 100 * time.Hour}},
	}}}
}

// TestDecide guards against jobs that are rejected although they can be served, or on a load
// that is not certain, against jobs beyond the rate of their organisation, or that come too
// late in any case, that are accepted, and against callers that are told to come back when
// their jobs are rejected again although the work ahead was done as expected.
func TestDecide(t *testing.T) {
	beyond := func(l *overload.Load) {
		l.BeyondRate = []overload.OrganisationLoad{{Organisation: "o", Delay: 4 * time.Second}}
	}
	tests := []struct {
		name     string
		ahead    time.Duration // work of priority 0 on each core, at least
		age      time.Duration // of the load
		priority graph.Priority
		load     func(*overload.Load)
		job      func(*graph.Job)
		want     Cause         // "" if accepted
		servedIn time.Duration // if rejected
	}{
		{name: "beyond the rate", load: beyond, want: BeyondRate, servedIn: 4 * time.Second},
		{name: "beyond the rate, load of 1 s before", age: time.Second, load: beyond, want: BeyondRate, servedIn: 3 * time.Second},
		{name: "within the rate again by now", age: 1500 * time.Millisecond, load: func(l *overload.Load) { beyond(l); l.BeyondRate[0].Delay = time.Second }},
		{name: "beyond the rate, capacity not short", load: func(l *overload.Load) { beyond(l); l.Short = false }},
		{name: "beyond the rate, other pool short", load: func(l *overload.Load) { beyond(l); l.Pools[0].Service = "other" }},
		{name: "beyond the rate, own pool not short", load: func(l *overload.Load) { beyond(l); l.Pools[0].Short = false }},
		{name: "other organisation", load: beyond, job: func(j *graph.Job) { j.Organisation = "p" }},
		{name: "no organisation", load: beyond, job: func(j *graph.Job) { j.Organisation = "" }},
		{name: "first tasks of two pools, one not short", load: beyond, job: func(j *graph.Job) {
			j.Steps = append(j.Steps, graph.Step{Count: 1, BestEffort: true})
		}},
		{name: "later task of another pool", load: beyond, want: BeyondRate, servedIn: 4 * time.Second, job: func(j *graph.Job) {
			j.Steps = append(j.Steps, graph.Step{Count: 1, BestEffort: true, After: []graph.StepIndex{0}})
		}},
		{name: "old load", age: MaxLoadAge + time.Millisecond, ahead: time.Hour, priority: 1, load: beyond},
		{name: "starts too late", ahead: 91 * time.Second, priority: 1, want: TooLate, servedIn: 20 * time.Second},
		{name: "starts too late, load of 1 s before", ahead: 92 * time.Second, age: time.Second, priority: 1, want: TooLate, servedIn: 21 * time.Second},
		{name: "may start in time if its declared duration is wrong", ahead: 80 * time.Second, priority: 1},
		{name: "learned duration", ahead: 16 * time.Second, priority: 1, want: TooLate, servedIn: 2 * time.Second, load: func(l *overload.Load) {
			l.Queues = []overload.QueueLoad{{Queue: "q", MaxRatio: 2}}
		}},
		{name: "learned duration that is not a number", ahead: 16 * time.Second, priority: 1, load: func(l *overload.Load) {
			l.Queues = []overload.QueueLoad{{Queue: "q", MaxRatio: math.NaN()}}
		}},
		{name: "work of the same priority only", ahead: time.Hour},
		{name: "silent workers may return", ahead: 91 * time.Second, priority: 1, load: func(l *overload.Load) { l.Pools[0].MaxUsable *= 2 }},
		{name: "no declared duration", ahead: time.Hour, priority: 1, job: func(j *graph.Job) { j.Steps[0].Estimate = 0 }},
		{name: "long-running", ahead: time.Hour, priority: 1, job: func(j *graph.Job) { j.Steps[0].LongRunning = true }},
		{name: "due later", ahead: time.Hour, priority: 1, job: func(j *graph.Job) { j.Times = 2 }},
		{name: "no objective", ahead: time.Hour, priority: 1, job: func(j *graph.Job) { j.Queue.Stretch, j.Queue.Target = 0, 0 }},
		{name: "faulty numbers", ahead: time.Hour, priority: 1, load: func(l *overload.Load) {
			l.Pools[0].Waiting[0] = overload.WaitingWork{Work: math.MaxInt64, MinWork: math.MinInt64}
			l.Pools[0].Usable = -1
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, job := Snapshot{Load: newLoad(tt.ahead), At: now.Add(-tt.age)}, newJob(tt.priority)
			if tt.load != nil {
				tt.load(&s.Load)
			}
			if tt.job != nil {
				tt.job(job)
			}
			r, rejected := Decide(job, &s, now)
			if diff := cmp.Diff([]any{tt.want != "", tt.want}, []any{rejected, r.Cause}); diff != "" {
				t.Fatalf("rejected and cause (-want +got):\n%s", diff)
			}
			if !rejected {
				return
			}
			if diff := cmp.Diff(tt.servedIn, r.ServedAt.Sub(now).Round(time.Millisecond)); diff != "" {
				t.Errorf("would be served in (-want +got):\n%s", diff)
			}
			for _, early := range []time.Duration{time.Second, 0} {
				at := r.ServedAt.Add(-early)
				left := tt.ahead - at.Sub(s.At)/2 // as the double of the least work is expected
				later := Snapshot{Load: newLoad(left), At: at}
				later.Load.Queues = s.Load.Queues
				if _, again := Decide(job, &later, at); tt.want == TooLate && again != (early > 0) {
					t.Errorf("rejected again %v before it would be served: %v", early, again)
				}
			}
		})
	}
}

// TestReturnAt guards against callers that return before they would be served, or all
// together.
func TestReturnAt(t *testing.T) {
	tests := []struct {
		name                       string
		served, spread             time.Duration
		earliest, latest, distinct time.Duration // distinct: the callers return over at least this time
	}{
		{"at once", 0, 0, time.Second, 3 * time.Second, 1900 * time.Millisecond},
		{"later", 8 * time.Second, 0, 8 * time.Second, 10 * time.Second, 1900 * time.Millisecond},
		{"much later", 40 * time.Second, 0, 40 * time.Second, 50 * time.Second, 9 * time.Second},
		{"many callers", time.Second, 30 * time.Second, time.Second, 31 * time.Second, 29 * time.Second},
		{"unforeseeable", 1000 * time.Hour, 0, time.Hour, 75 * time.Minute, 14 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Rejection{ServedAt: now.Add(tt.served)}
			first, last := time.Duration(math.MaxInt64), time.Duration(0)
			for i := range 1000 {
				d := r.ReturnAt(unit.JobID(fmt.Sprintf("%016x", i)), tt.spread, now).Sub(now)
				first, last = min(first, d), max(last, d)
			}
			if first < tt.earliest || last > tt.latest || last-first < tt.distinct {
				t.Errorf("callers return in %v to %v, want within %v to %v, over at least %v", first, last, tt.earliest, tt.latest, tt.distinct)
			}
		})
	}
}

// TestTally guards against a spread that makes many callers return faster than their
// organisation's jobs are accepted, and against memory for organisations of long ago.
func TestTally(t *testing.T) {
	tests := []struct {
		name               string
		accepted, rejected int
		after              time.Duration // until one more is rejected
		want               time.Duration
	}{
		{"few", 10, 0, 0, time.Second},
		{"as many as accepted", 10, 9, 0, 10 * time.Second},
		{"nothing accepted", 0, 1, 0, 20 * time.Second},
		{"far more", 10, 1000, 0, maxSpread},
		{"long ago", 10, 1000, time.Hour, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tally Tally
			for range tt.accepted {
				tally.Accepted("o", now)
			}
			for range tt.rejected {
				tally.Rejected("o", now)
			}
			if diff := cmp.Diff(tt.want, tally.Rejected("o", now.Add(tt.after))); diff != "" {
				t.Errorf("spread (-want +got):\n%s", diff)
			}
		})
	}
	var tally Tally
	for i := range 3 * maxTallies {
		tally.Accepted(unit.OrganisationID(fmt.Sprint(i)), now.Add(time.Duration(i)*100*time.Millisecond))
	}
	if len(tally.counts) > maxTallies {
		t.Errorf("%d organisations kept, want at most %d", len(tally.counts), maxTallies)
	}
}

// TestMemory guards against jobs that take the memory of the owner, and against small ones
// that are rejected as long as there is room for them.
func TestMemory(t *testing.T) {
	job := &graph.Job{ID: "j", Spec: "x", Steps: []graph.Step{{Count: 1}}}
	tests := []struct {
		name string
		load overload.Load
		age  time.Duration
		want Cause // "" if accepted
	}{
		{"no memory is short", overload.Load{}, 0, ""},
		{"enough left", overload.Load{Full: true, Room: roomDivisor * job.Memory()}, 0, ""},
		{"too little left", overload.Load{Full: true, Room: roomDivisor*job.Memory() - 1}, 0, NoMemory},
		{"too little left, capacity short too", overload.Load{Full: true, Short: true}, 0, NoMemory},
		{"faulty number", overload.Load{Full: true, Room: math.MinInt64}, 0, NoMemory},
		{"old load", overload.Load{Full: true}, MaxLoadAge + time.Millisecond, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := Decide(job, &Snapshot{Load: tt.load, At: now.Add(-tt.age)}, now)
			if diff := cmp.Diff(tt.want, r.Cause); diff != "" {
				t.Errorf("cause (-want +got):\n%s", diff)
			}
		})
	}
}
