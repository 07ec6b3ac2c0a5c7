package scheduler

import (
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestObjective guards against objectives that follow a wrong declaration once
// tasks have shown what they take, and against later occurrences that count as
// late from their first moment.
func TestObjective(t *testing.T) {
	at := func(s float64) time.Time { return epoch0.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name   string
		times  int
		report time.Duration // of the first task at half of its work; 0: none
		want   []time.Time   // by occurrence, with a stretch of 1.5 and 1 s more
	}{
		{"as declared", 0, 0, []time.Time{at(2.5)}},
		{"slower than declared", 0, 2 * time.Second, []time.Time{at(7)}},
		{"occurrences", 2, 0, []time.Time{at(2.5), at(32.5)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1")
			j := jobOf("j", small)
			j.Times, j.FirstDue, j.Interval = tt.times, epoch0, 30*time.Second
			b.core.AddJob(j, 0, true, b.now)
			b.starts(OutcomeDone)
			if tt.report > 0 {
				ordered := b.core.workers["w1"].runs[taskOf("j")].orderedAt
				b.after(ordered.Add(tt.report).Sub(b.now))
				b.report("w1", []RunStatus{{Task: taskOf("j"), Run: 1, ProgressPercent: 50}}, nil)
			}
			if tt.times > 1 {
				b.after(time.Duration(tt.times-1) * j.Interval)
			}
			for k, o := range b.core.jobs["j"].occurrences {
				if !o.softDeadline.Equal(tt.want[k]) {
					t.Errorf("occurrence %d: objective %v after its start, want %v", k, o.softDeadline.Sub(epoch0), tt.want[k].Sub(epoch0))
				}
			}
			if got, want := len(b.core.jobs["j"].occurrences), len(tt.want); got != want {
				t.Errorf("%d occurrences, want %d", got, want)
			}
		})
	}
}

// TestLearnedDuration guards against a queue whose jobs keep being judged by wrong
// declarations, and against a slow worker that is taken for long tasks.
func TestLearnedDuration(t *testing.T) {
	tests := []struct {
		name   string
		took   []time.Duration // tasks of one step at full speed
		atMost time.Duration   // expected of the next job, of which 1 s is declared
		least  time.Duration
	}{
		{"like declared", []time.Duration{time.Second, time.Second}, 1200 * time.Millisecond, 800 * time.Millisecond},
		{"longer", []time.Duration{6 * time.Second, 5 * time.Second}, 6 * time.Second, 1500 * time.Millisecond},
		{"one on a slow worker", []time.Duration{time.Second, 9 * time.Second}, 1200 * time.Millisecond, 800 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1")
			s := small
			s.Count = len(tt.took)
			b.job("j", s, true)
			started := b.now.Add(bestEffortInterval) // by the next call
			b.starts(OutcomeDone)
			var ended []End
			for n, d := range tt.took {
				id := taskOf("j")
				id.Index = unit.TaskIndex(n)
				ended = append(ended, End{Number: EndNumber(n + 1), Task: id, Run: 1, Kind: EndDone})
				b.now = started.Add(d)
				b.core.HandleReport("w1", Report{Incarnation: 1, RequestedAt: b.now, Ended: ended, Partial: true}, b.now)
			}
			b.job("next", graph.Step{Count: 1, Needs: small.Needs, Estimate: time.Second}, true)
			next := b.core.jobs["next"].occurrences[0].steps[0]
			if got := b.core.expectedDuration(next); got > tt.atMost || got < tt.least {
				t.Errorf("next task expected to take %v, want %v to %v", got, tt.least, tt.atMost)
			}
		})
	}
}
