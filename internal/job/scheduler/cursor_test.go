package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCursorIsNotRepeated guards against an acknowledgement of ends that were never read:
// a worker that restarts under its id numbers its ends from 1 again, and a heartbeat that
// was sent before the restart is known carries the cursor of the earlier incarnation.
func TestCursorIsNotRepeated(t *testing.T) {
	done := []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndDone}}
	tests := []struct {
		name  string
		after func(f *fixture) // the end is durable
		want  EndNumber
	}{
		{"end is not acknowledged yet", func(*fixture) {}, 1},
		{"worker lists the end again", func(f *fixture) { f.report("w1", nil, done) }, 1},
		{"worker has dropped the end", func(f *fixture) { f.report("w1", nil, nil) }, 0},
		{"worker lists a later end", func(f *fixture) {
			f.report("w1", nil, nil)
			f.report("w1", nil, []End{{Number: 2, Task: firstTask("j2"), Run: 1, Kind: EndDone}})
			f.core.ConfirmSnapshot(f.core.Snapshot())
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			f.addJob("j2", smallStep, true)
			f.takeStarts(OutcomeDone)
			f.report("w1", nil, done)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			tt.after(f)
			_, cursor := f.core.AckCursor("w1")
			if diff := cmp.Diff(tt.want, cursor); diff != "" {
				t.Errorf("cursor (-want +got):\n%s", diff)
			}
		})
	}
}
