package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Workers of the tests of replaced workers, in the order in which their processes began. The
// first two had the same address, one after the other.
const (
	replacedWorker    unit.InstanceID = "w1" // ran j.0, and has crashed
	replacementWorker unit.InstanceID = "w2"
	spareWorker       unit.InstanceID = "w3" // reports always, and has room
)

// sharedAddress is the address of the replaced worker and of its replacement.
const sharedAddress = "10.0.0.1:8400"

// replacedLease is how long the lease of the replaced worker may go on.
const replacedLease = 6 * time.Second

// newAddressedListing returns the listing of a worker at an address.
func newAddressedListing(id unit.InstanceID, address string, incarnation Incarnation) Listing {
	l := newListing(id)
	l.Address, l.Incarnation = address, incarnation
	return l
}

// replacedListings returns the listings of all workers, the replacement at the given address.
func replacedListings(replacementAddress string) []Listing {
	return []Listing{
		newAddressedListing(replacedWorker, sharedAddress, 1),
		newAddressedListing(replacementWorker, replacementAddress, 2),
		newAddressedListing(spareWorker, "10.0.0.3:8400", 1),
	}
}

// newReplacedFixture returns an owner with j.0, which is long-running, on the replaced worker,
// of which it got the last report a second ago.
func newReplacedFixture(t *testing.T) *fixture {
	f := newFixture(t, 1, 0)
	f.listMany(replacedListings(sharedAddress)[:1])
	f.core.RecordLease(replacedWorker, f.now.Add(replacedLease))
	f.addJob("j", longRunningStep, true)
	f.takeStarts(OutcomeDone)
	f.report(replacedWorker, []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: 100}}, nil)
	f.now = f.now.Add(time.Second)
	return f
}

// list lists workers and makes the progress with them durable, a moment before any report.
func (f *fixture) list(listings []Listing) {
	f.core.SetWorkers(listings, f.now)
	f.core.ConfirmSnapshot(f.core.Snapshot())
	f.now = f.now.Add(10 * time.Millisecond)
}

// reportReplacement delivers a report of the replacement that was requested at a time.
func (f *fixture) reportReplacement(requestedAt time.Time, partial bool) {
	f.core.HandleReport(replacementWorker, Report{Incarnation: 2, RequestedAt: requestedAt, Partial: partial}, f.now)
}

// startedJobs lets the spare worker report and returns the jobs of which a task starts. It
// fails the test if one starts on the replaced worker.
func (f *fixture) startedJobs() []unit.JobID {
	f.core.HandleReport(spareWorker, Report{Incarnation: 1, RequestedAt: f.now}, f.now)
	var started []unit.JobID
	for _, o := range f.takeStarts(OutcomeDone) {
		started = append(started, o.Task.Job)
		if o.Worker == replacedWorker {
			f.t.Errorf("%v starts on the replaced worker", o.Task)
		}
	}
	return started
}

// TestReplacedWorkerAfterTakeover guards against a new owner that waits for the leases of a
// worker although another one answers at its address, and against one that takes a worker for
// ended which may still run.
func TestReplacedWorkerAfterTakeover(t *testing.T) {
	const inherited = 9 * time.Second
	long := []unit.JobID{"j"}
	tests := []struct {
		name   string
		events func(f *fixture) // after the takeover
		want   []unit.JobID     // with a task that starts then
	}{
		{"replacement reports", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			f.reportReplacement(f.now, false)
		}, long},
		{"replaced worker leaves the list first", func(f *fixture) {
			f.list(replacedListings(sharedAddress)[1:])
			f.reportReplacement(f.now, false)
		}, long},
		{"replacement does not report", func(f *fixture) { f.list(replacedListings(sharedAddress)) }, nil},
		{"partial report", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			f.reportReplacement(f.now, true)
		}, nil},
		{"another address", func(f *fixture) {
			f.list(replacedListings("10.0.0.2:8400"))
			f.reportReplacement(f.now, false)
		}, nil},
		{"no address", func(f *fixture) {
			listings := replacedListings("")
			listings[0].Address = ""
			f.list(listings)
			f.reportReplacement(f.now, false)
		}, nil},
		{"report requested at an earlier address of the replacement", func(f *fixture) {
			f.list(replacedListings("10.0.0.2:8400"))
			requestedAt := f.now
			f.now = f.now.Add(10 * time.Millisecond)
			f.list(replacedListings(sharedAddress))
			f.reportReplacement(requestedAt, false)
		}, nil},
		{"report requested before a partial one of the replaced worker", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			requestedAt := f.now
			f.now = f.now.Add(10 * time.Millisecond)
			f.core.HandleReport(replacedWorker, Report{Incarnation: 1, RequestedAt: f.now, Partial: true}, f.now)
			f.reportReplacement(requestedAt, false)
		}, nil},
		{"replaced worker has started again since", func(f *fixture) {
			listings := replacedListings(sharedAddress)
			listings[0].Incarnation = 3
			f.list(listings)
			f.reportReplacement(f.now, false)
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newReplacedFixture(t)
			f.kill(f.core.Snapshot(), inherited, replacedListings(sharedAddress)[:1]...)
			f.addJob("j", longRunningStep, false)
			tt.events(f)
			if diff := cmp.Diff(tt.want, f.startedJobs()); diff != "" {
				t.Errorf("jobs with a started task (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedWorkerInTerm guards against an owner that waits for the end of the lease of a
// worker although another one answers at its address, and against a start beside a run that
// goes on, or a start without an answer that may still be executed.
func TestReplacedWorkerInTerm(t *testing.T) {
	long := []unit.JobID{"j"}
	tests := []struct {
		name   string
		events func(f *fixture) // with j.0 on the replaced worker
		want   []unit.JobID     // with a task that starts then
	}{
		{"replacement reports", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			f.reportReplacement(f.now, false)
		}, long},
		{"replaced worker leaves the list first", func(f *fixture) {
			f.list(replacedListings(sharedAddress)[1:])
			f.reportReplacement(f.now, false)
		}, long},
		{"stop was ordered", func(f *fixture) {
			draining := replacedListings(sharedAddress)
			draining[0].Draining, draining[0].TimeToExit = true, time.Minute
			f.list(draining)
			f.reportReplacement(f.now, false)
		}, long},
		{"late report of the replaced worker with the run", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			requestedAt := f.now
			f.now = f.now.Add(10 * time.Millisecond)
			f.reportReplacement(f.now, false)
			running := []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: 100}}
			f.core.HandleReport(replacedWorker, Report{Incarnation: 1, RequestedAt: requestedAt, Running: running}, f.now)
		}, long},
		{"replacement does not report", func(f *fixture) { f.list(replacedListings(sharedAddress)) }, nil},
		{"partial report", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			f.reportReplacement(f.now, true)
		}, nil},
		{"another address", func(f *fixture) {
			f.list(replacedListings("10.0.0.2:8400"))
			f.reportReplacement(f.now, false)
		}, nil},
		{"no address", func(f *fixture) {
			listings := replacedListings("")
			listings[0].Address = ""
			f.list(listings)
			f.reportReplacement(f.now, false)
		}, nil},
		{"report requested before the last one of the replaced worker", func(f *fixture) {
			f.list(replacedListings(sharedAddress))
			requestedAt := f.now
			f.now = f.now.Add(10 * time.Millisecond)
			f.report(replacedWorker, []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: 100}}, nil)
			f.reportReplacement(requestedAt, false)
		}, nil},
		{"replaced worker has started again since", func(f *fixture) {
			listings := replacedListings(sharedAddress)
			listings[0].Incarnation = 3
			f.list(listings)
			f.core.HandleReport(replacedWorker, Report{Incarnation: 3, RequestedAt: f.now}, f.now)
			f.takeStarts(OutcomeDone)
			f.reportReplacement(f.now, false)
		}, nil},
		{"start without an answer", func(f *fixture) {
			f.list(replacedListings(sharedAddress)[:1])
			f.report(replacedWorker, nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndFailed}})
			f.core.Tick(f.now)
			f.takeStarts(OutcomeUnknown)
			f.list(replacedListings(sharedAddress))
			f.reportReplacement(f.now, false)
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newReplacedFixture(t)
			tt.events(f)
			if diff := cmp.Diff(tt.want, f.startedJobs()); diff != "" {
				t.Errorf("jobs with a started task (-want +got):\n%s", diff)
			}
			if tt.want != nil {
				return
			}
			f.now = f.now.Add(longestLease(f.core.limits) + maxAnswerWait)
			f.core.Tick(f.now)
			if diff := cmp.Diff(long, f.startedJobs()); diff != "" {
				t.Errorf("jobs with a started task after the lease (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedWorkerOfRecord guards against a new owner that waits for a worker that had left
// the instance list before the takeover, although another one answers at its address, and
// against one that takes such a worker for ended without that.
func TestReplacedWorkerOfRecord(t *testing.T) {
	const inherited = 9 * time.Second
	long := []unit.JobID{"j"}
	report := func(f *fixture) { f.reportReplacement(f.now, false) }
	tests := []struct {
		name   string
		record func(f *fixture, s *Snapshot) // of the previous owner, for which the worker has left the list
		listed []Listing                     // after the takeover
		report func(f *fixture)
		want   []unit.JobID // with a task that starts then
	}{
		{"replacement reports", nil, replacedListings(sharedAddress)[1:], report, long},
		{"passed on by an owner that has not reached the worker", func(f *fixture, s *Snapshot) {
			f.kill(*s, inherited)
			*s = f.core.Snapshot()
		}, replacedListings(sharedAddress)[1:], report, long},
		{"record of an earlier release", func(_ *fixture, s *Snapshot) { s.Closed[0].Address = "" }, replacedListings(sharedAddress)[1:], report, nil},
		{"record of an earlier release, replacement without an address", func(_ *fixture, s *Snapshot) { s.Closed[0].Address = "" }, replacedListings("")[1:], report, nil},
		{"not recorded", func(_ *fixture, s *Snapshot) { s.Closed = nil }, replacedListings(sharedAddress)[1:], report, nil},
		{"another address", nil, replacedListings("10.0.0.2:8400")[1:], report, nil},
		{"partial report", nil, replacedListings(sharedAddress)[1:], func(f *fixture) { f.reportReplacement(f.now, true) }, nil},
		{"replacement does not report", nil, replacedListings(sharedAddress)[1:], func(*fixture) {}, nil},
		{"replaced worker has started again at another address", nil, append(replacedListings(sharedAddress)[1:], newAddressedListing(replacedWorker, "10.0.0.2:8400", 3)), report, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newReplacedFixture(t)
			f.core.SetWorkers(nil, f.now)
			s := f.core.Snapshot()
			if tt.record != nil {
				tt.record(f, &s)
			}
			f.kill(s, inherited)
			f.addJob("j", longRunningStep, false)
			f.list(tt.listed)
			tt.report(f)
			if diff := cmp.Diff(tt.want, f.startedJobs()); diff != "" {
				t.Errorf("jobs with a started task (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedWorkerLeaves guards against a record that names a replaced worker after it has
// left the list: the next owner has no address of it, and waits for its lease.
func TestReplacedWorkerLeaves(t *testing.T) {
	f := newReplacedFixture(t)
	f.list(replacedListings(sharedAddress))
	f.reportReplacement(f.now, false)
	f.now = f.now.Add(replacedLease)
	f.core.ConfirmSnapshot(f.core.Snapshot())
	f.core.SetWorkers(replacedListings(sharedAddress)[1:], f.now)
	if diff := cmp.Diff(true, f.core.ProgressChanged()); diff != "" {
		t.Errorf("write is due (-want +got):\n%s", diff)
	}
}
