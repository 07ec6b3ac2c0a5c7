package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestBacklogOfSmallLink guards against tasks that wait for good while most of the room of
// the workers is free, because the link of the owner is too small for the starts of the
// whole fleet.
func TestBacklogOfSmallLink(t *testing.T) {
	const (
		workers   = 20
		width     = 10 // tasks of a job, of one core each
		specBytes = 1000
		period    = 20 * time.Second
		duration  = time.Second             // of each task
		tick      = 50 * time.Millisecond   // between two reports of a worker
		maxWait   = 3 * time.Second         // after which a task that could run counts as lost
		halfOfAll = workers * 64000 * 2 / 4 // millicores
	)
	tests := []struct {
		name      string
		perSecond unit.Bytes // of the link that starts may take
		jobs      int        // a second
	}{
		{"1,000 Mbit/s, 200 tasks a second", startShareOf(1000), 20},
		{"10 Mbit/s, 200 tasks a second", startShareOf(10), 20},
		{"2 Mbit/s, 60 tasks a second", startShareOf(2), 6},
		{"2 Mbit/s, 200 tasks a second", startShareOf(2), 20},
		{"2 Mbit/s, 400 tasks a second", startShareOf(2), 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core = New(Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second, StartBytesPerSecond: tt.perSecond}, 1, startTime)
			f.core.SetStartRelays(StartRelays{Registered: 1, Reachable: 1})
			fleet := newSteadyFleet(f, workers, duration)
			var waited time.Duration
			var busiest unit.Millicores
			jobs := 0
			for elapsed := time.Duration(0); elapsed < period; elapsed += tick {
				for ; jobs*int(time.Second) < tt.jobs*int(elapsed); jobs++ {
					job := newJob(unit.JobID(fmt.Sprint("j", jobs)), graph.Step{Count: width, Needs: unit.Resources{Cores: 1000, Memory: 1 << 30}, Estimate: duration})
					job.Accepted, job.Spec = f.now, strings.Repeat("s", specBytes)
					f.core.AddJob(job, 0, true, f.now)
				}
				fleet.step(tick)
				stats := f.core.Stats(f.now)
				waited, busiest = max(waited, stats.LongestWait), max(busiest, stats.UsedCores)
			}
			if waited > maxWait {
				t.Errorf("a job waited %s for its first start, want at most %s; %d of its tasks wait", waited, maxWait, f.core.Stats(f.now).Unplaced)
			}
			if diff := cmp.Diff(true, busiest < halfOfAll); diff != "" {
				t.Errorf("under half of the cores are in use (-want +got):\n%s", diff)
			}
		})
	}
}

// steadyFleet runs each task on the worker that it was started on for a fixed time.
type steadyFleet struct {
	*fixture
	workers  []*steadyWorker
	duration time.Duration
}

type steadyWorker struct {
	id   unit.InstanceID
	runs map[graph.Task]steadyRun
	ends []End
}

type steadyRun struct {
	number graph.RunNumber
	endsAt time.Time
}

func newSteadyFleet(f *fixture, workers int, duration time.Duration) *steadyFleet {
	fleet := &steadyFleet{fixture: f, duration: duration}
	var ids []unit.InstanceID
	for n := range workers {
		id := unit.InstanceID(fmt.Sprintf("w%02d", n))
		ids = append(ids, id)
		fleet.workers = append(fleet.workers, &steadyWorker{id: id, runs: map[graph.Task]steadyRun{}})
	}
	f.listWorkers(ids...)
	return fleet
}

// step advances the clock, lets each worker report, and carries out the starts that the
// core orders.
func (f *steadyFleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	byID := map[unit.InstanceID]*steadyWorker{}
	for _, w := range f.workers {
		byID[w.id] = w
		f.core.RecordLease(w.id, f.now.Add(5*time.Second))
		w.report(f.fixture)
	}
	f.core.ConfirmSnapshot(f.core.Snapshot())
	f.core.Tick(f.now)
	f.core.Place(f.now)
	for _, o := range f.core.TakeOrders() {
		if o.Kind == OrderStart && f.core.BeginOrder(o, f.now.Add(2*time.Second), f.now) {
			byID[o.Worker].runs[o.Task] = steadyRun{o.Run, f.now.Add(f.duration)}
			f.core.HandleStartOutcome(o, OutcomeDone, f.now)
		}
	}
}

// report delivers what runs on the worker and what has ended there.
func (w *steadyWorker) report(f *fixture) {
	var running []RunStatus
	var ended []End
	for id, r := range w.runs {
		if f.now.Before(r.endsAt) {
			running = append(running, RunStatus{Task: id, Run: r.number, ProgressPercent: 50})
			continue
		}
		delete(w.runs, id)
		w.ends = append(w.ends, End{Number: EndNumber(len(w.ends) + 1), Task: id, Run: r.number, Kind: EndDone})
		ended = append(ended, w.ends[len(w.ends)-1])
	}
	f.report(w.id, running, ended)
}

// startShareOf returns the bytes a second that starts may take of a link.
func startShareOf(megabits unit.Bytes) unit.Bytes { return megabits * 1_000_000 / 8 * 45 / 100 }
