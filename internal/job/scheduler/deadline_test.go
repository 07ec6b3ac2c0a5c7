package scheduler

import (
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestSoftDeadline guards against soft deadlines that follow a wrong declared duration
// although the progress of tasks shows the real one, and against later occurrences
// that are late from the start.
func TestSoftDeadline(t *testing.T) {
	at := func(s float64) time.Time { return startTime.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name   string
		times  int
		report time.Duration // when the first task reports 50%; 0: never
		want   []time.Time   // by occurrence, with a stretch of 1.5 and a target of 1 s
	}{
		{"as declared", 0, 0, []time.Time{at(2.5)}},
		{"slower than declared", 0, 2 * time.Second, []time.Time{at(7)}},
		{"occurrences", 2, 0, []time.Time{at(2.5), at(32.5)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			j := newJob("j", smallStep)
			j.Times, j.FirstDue, j.Interval = tt.times, startTime, 30*time.Second
			f.core.AddJob(j, 0, true, f.now)
			f.takeStarts(OutcomeDone)
			if tt.report > 0 {
				ordered := f.core.workers["w1"].runs[firstTask("j")].orderedAt
				f.advance(ordered.Add(tt.report).Sub(f.now))
				f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: 50}}, nil)
			}
			if tt.times > 1 {
				f.advance(time.Duration(tt.times-1) * j.Interval)
			}
			for k, o := range f.core.jobs["j"].occurrences {
				if !o.softDeadline.Equal(tt.want[k]) {
					t.Errorf("occurrence %d: soft deadline %v after the start of the test, want %v", k, o.softDeadline.Sub(startTime), tt.want[k].Sub(startTime))
				}
			}
			if got, want := len(f.core.jobs["j"].occurrences), len(tt.want); got != want {
				t.Errorf("%d occurrences, want %d", got, want)
			}
		})
	}
}

// TestLearnedDuration guards against estimates that keep following wrong declared
// durations, and against a slow worker that makes tasks seem long.
func TestLearnedDuration(t *testing.T) {
	tests := []struct {
		name   string
		took   []time.Duration // durations of the tasks of one step at full speed
		atMost time.Duration   // bounds of the estimate for the next job, which declares 1 s
		least  time.Duration
	}{
		{"as declared", []time.Duration{time.Second, time.Second}, 1200 * time.Millisecond, 800 * time.Millisecond},
		{"longer", []time.Duration{6 * time.Second, 5 * time.Second}, 6 * time.Second, 1500 * time.Millisecond},
		{"one on a slow worker", []time.Duration{time.Second, 9 * time.Second}, 1200 * time.Millisecond, 800 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			s := smallStep
			s.Count = len(tt.took)
			f.addJob("j", s, true)
			started := f.now.Add(bestEffortInterval) // takeStarts advances the clock by this much
			f.takeStarts(OutcomeDone)
			var ended []End
			for n, d := range tt.took {
				id := firstTask("j")
				id.Index = unit.TaskIndex(n)
				ended = append(ended, End{Number: EndNumber(n + 1), Task: id, Run: 1, Kind: EndDone})
				f.now = started.Add(d)
				f.core.HandleReport("w1", Report{Incarnation: 1, RequestedAt: f.now, Ended: ended, Partial: true}, f.now)
			}
			f.addJob("next", graph.Step{Count: 1, Needs: smallStep.Needs, Estimate: time.Second}, true)
			next := f.core.jobs["next"].occurrences[0].steps[0]
			if got := f.core.expectedDuration(next); got > tt.atMost || got < tt.least {
				t.Errorf("next task expected to take %v, want %v to %v", got, tt.least, tt.atMost)
			}
		})
	}
}
