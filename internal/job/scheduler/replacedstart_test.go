package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestReplacedWorkerWithUnansweredStart guards against a task that starts elsewhere while a start
// of an earlier owner without an answer may be executed by a later incarnation of the replaced worker.
func TestReplacedWorkerWithUnansweredStart(t *testing.T) {
	const inherited = 9 * time.Second
	tests := []struct {
		name     string
		takeover func(f *fixture)
	}{
		{"same owner", func(*fixture) {}},
		{"takeover", func(f *fixture) { f.kill(f.core.Snapshot(), inherited, replacedListings(sharedAddress)[:1]...) }},
		{"takeover after the worker has left the list", func(f *fixture) {
			f.core.SetWorkers(nil, f.now)
			f.kill(f.core.Snapshot(), inherited)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newReplacedFixture(t)
			f.list(replacedListings(sharedAddress)[:1])
			f.report(replacedWorker, nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndFailed}})
			f.core.Tick(f.now)
			if got := len(f.takeStarts(OutcomeUnknown)); got != 1 {
				t.Fatalf("%d starts without an answer, want 1", got)
			}
			tt.takeover(f)
			if f.core.jobs["j"] == nil {
				f.addJob("j", longRunningStep, false)
			}
			f.list(replacedListings(sharedAddress)[map[bool]int{true: 1}[f.core.workers[replacedWorker] == nil]:])
			f.reportReplacement(f.now, false)
			if diff := cmp.Diff([]unit.JobID(nil), f.startedJobs()); diff != "" {
				t.Errorf("jobs with a started task (-want +got):\n%s", diff)
			}
		})
	}
}
