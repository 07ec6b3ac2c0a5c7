package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// kill replaces the core by that of the next owner, which knows the durable progress only.
func (f *fixture) kill(durable Snapshot, leasesExpireIn time.Duration, listings ...Listing) {
	f.core = New(f.core.limits, f.core.epoch+1, f.now.Add(leasesExpireIn))
	f.core.LoadProgress(durable.Jobs, durable.KnownWorkers, durable.KnownWorkers)
	f.core.LoadClosed(durable.Closed)
	f.core.SetWorkers(listings, f.now)
	f.core.AwaitReports()
}

// drain lists w1 as draining, beside w2, and makes the progress durable.
func (f *fixture) drain() Snapshot {
	draining := newListing("w1")
	draining.Draining, draining.TimeToExit = true, time.Minute
	f.core.SetWorkers([]Listing{draining, newListing("w2")}, f.now)
	s := f.core.Snapshot()
	f.core.ConfirmSnapshot(s)
	return s
}

// TestWaitingTasksBesideClosedWorker guards against tasks of all jobs that wait for a worker
// that was draining when its owner was killed, and has left: the rate of starts fell to
// nothing for the length of a lease after each such kill. It also guards against a second
// start of a task that may run on that worker.
func TestWaitingTasksBesideClosedWorker(t *testing.T) {
	const inherited = 9 * time.Second
	tests := []struct {
		name   string
		before func(f *fixture) Snapshot // with j.0 on w1, which has left afterwards
		want   []unit.JobID              // with a task that starts once w2 has reported
	}{
		{"draining", func(f *fixture) Snapshot { return f.drain() }, []unit.JobID{"k"}},
		{"no longer listed", func(f *fixture) Snapshot {
			f.core.SetWorkers([]Listing{newListing("w2")}, f.now)
			s := f.core.Snapshot()
			f.core.ConfirmSnapshot(s)
			return s
		}, []unit.JobID{"k"}},
		{"draining, not recorded", func(f *fixture) Snapshot {
			f.drain()
			s := f.core.Snapshot()
			s.Closed = nil
			return s
		}, nil},
		{"another worker is silent too", func(f *fixture) Snapshot {
			f.listMany([]Listing{newListing("w1"), newListing("w2"), newListing("w3")})
			s := f.drain()
			s.KnownWorkers = append(s.KnownWorkers, "w3")
			return s
		}, nil},
		{"start without an answer", func(f *fixture) Snapshot {
			f.addJob("k", smallStep, false)
			f.takeStarts(OutcomeUnknown)
			return f.drain()
		}, nil},
		{"run of a job that is not known", func(f *fixture) Snapshot {
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1}, {Task: firstTask("k"), Run: 1}}, nil)
			return f.drain()
		}, nil},
		{"passed on by an owner that has not reached the worker", func(f *fixture) Snapshot {
			f.kill(f.drain(), inherited, newListing("w2"))
			return f.core.Snapshot()
		}, []unit.JobID{"k"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBusyFixture(t, smallStep)
			f.kill(tt.before(f), inherited, newListing("w2"))
			f.addJob("j", smallStep, false)
			f.addJob("k", smallStep, false)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.report("w2", nil, nil)
			var started []unit.JobID
			for _, o := range f.takeStarts(OutcomeDone) {
				started = append(started, o.Task.Job)
			}
			if diff := cmp.Diff(tt.want, started); diff != "" {
				t.Errorf("jobs with a started task (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStartOnReopenedWorker guards against a start on a worker that the durable progress says
// takes none: the next owner would start the task once more.
func TestStartOnReopenedWorker(t *testing.T) {
	tests := []struct {
		name  string
		write func(f *fixture) // after the worker is listed as open again
		want  []graph.Task
	}{
		{"nothing written since", func(*fixture) {}, nil},
		{"write without an answer", func(f *fixture) {
			f.core.Snapshot()
			f.core.MarkProgressChanged()
		}, nil},
		{"durable", func(f *fixture) { f.core.ConfirmSnapshot(f.core.Snapshot()) }, []graph.Task{firstTask("k")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBusyFixture(t, smallStep)
			f.drain()
			f.core.SetWorkers([]Listing{newListing("w1")}, f.now)
			if !f.core.ProgressChanged() {
				t.Error("no write is due, so the worker stays closed")
			}
			tt.write(f)
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1}}, nil)
			f.addJob("k", smallStep, true)
			var started []graph.Task
			for _, o := range f.takeStarts(OutcomeDone) {
				started = append(started, o.Task)
			}
			if diff := cmp.Diff(tt.want, started); diff != "" {
				t.Errorf("started (-want +got):\n%s", diff)
			}
		})
	}
}
