package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// placeOn lists a worker, adds a job and returns the start order of its task, which
// waits at the owner.
func (f *fixture) placeOn(id unit.InstanceID, s graph.Step) Order {
	f.t.Helper()
	f.listWorkers(id)
	f.addJob("j", s, true)
	f.core.Place(f.now)
	orders := f.core.TakeOrders()
	if len(orders) != 1 || orders[0].Kind != OrderStart {
		f.t.Fatalf("orders %+v, want a start", orders)
	}
	return orders[0]
}

// begin reports whether the core still wants an order that is about to be sent.
func (f *fixture) begin(o Order) bool {
	return f.core.BeginOrder(o, f.now.Add(2500*time.Millisecond), f.now)
}

// restart lists a worker under its second incarnation.
func (f *fixture) restart(id unit.InstanceID) {
	l := newListing(id)
	l.Incarnation = 2
	f.core.SetWorkers([]Listing{l}, f.now)
}

// takeStops returns the stop orders given since the last call.
func (f *fixture) takeStops() []Order {
	var stops []Order
	for _, o := range f.core.TakeOrders() {
		if o.Kind == OrderStop {
			stops = append(stops, o)
		}
	}
	return stops
}

// TestQueuedStartIsWithdrawn guards against two runs of a task at once: a start that
// waits at the owner was sent although the core had given the run up meanwhile.
func TestQueuedStartIsWithdrawn(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fixture, o Order)
		wanted bool
	}{
		{"nothing changes", func(*fixture, Order) {}, true},
		{"sent before", func(f *fixture, o Order) { f.begin(o) }, false},
		{"job cancelled", func(f *fixture, o Order) { f.core.Cancel("j", f.now) }, false},
		{"worker restarted", func(f *fixture, o Order) { f.restart("w1") }, false},
		{"task done by an earlier run", func(f *fixture, o Order) {
			f.report("w1", nil, []End{{Number: 1, Task: o.Task, Run: 0, Kind: EndDone}})
		}, false},
		{"earlier run is still there", func(f *fixture, o Order) {
			f.report("w1", []RunStatus{{Task: o.Task, Run: 0}}, nil)
		}, false},
		{"worker drains", func(f *fixture, o Order) {
			l := newListing("w1")
			l.Draining, l.TimeToExit = true, time.Minute
			f.core.SetWorkers([]Listing{l}, f.now)
		}, false},
		{"worker left the list", func(f *fixture, o Order) { f.core.SetWorkers(nil, f.now) }, false},
		{"zone evacuated", func(f *fixture, o Order) {
			f.core.SetEvacuatedZones(map[unit.ZoneID]bool{"z1": true})
		}, false},
		{"upkeep is due", func(f *fixture, o Order) { f.core.Vacate([]unit.InstanceID{"w1"}, f.now) }, false},
		{"worker has not reported for long", func(f *fixture, o Order) { f.now = f.now.Add(2 * maxReportAge) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			o := f.placeOn("w1", smallStep)
			tt.change(f, o)
			if diff := cmp.Diff(tt.wanted, f.begin(o)); diff != "" {
				t.Errorf("wanted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestExpiryWithQueuedStart guards against a run that is given up with an expired lease
// while its start waits at the owner. The lease of a worker that was given up before
// stays expired until a heartbeat extends it, which probes don't.
func TestExpiryWithQueuedStart(t *testing.T) {
	tests := []struct {
		name    string
		sent    bool
		expired bool
	}{
		{"start waits", false, false},
		{"start was sent", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.core.RecordLease("w1", f.now.Add(-time.Second))
			o := f.placeOn("w1", smallStep)
			if tt.sent {
				f.begin(o)
				f.now = f.now.Add(3 * time.Second)
			}
			f.advance(time.Millisecond)
			if diff := cmp.Diff(tt.expired, len(f.core.TakeExpiredLeases()) > 0); diff != "" {
				t.Errorf("lease expired (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(!tt.sent, f.begin(o)); diff != "" {
				t.Errorf("start wanted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestartWithStartUnderWay guards against two runs of a task at once: a start that
// was sent may be executed by the next incarnation, which has the same id, after the
// task has been started elsewhere.
func TestRestartWithStartUnderWay(t *testing.T) {
	started := func(outcome Outcome) func(*fixture, Order) {
		return func(f *fixture, o Order) {
			f.begin(o)
			f.core.HandleStartOutcome(o, outcome, f.now)
		}
	}
	tests := []struct {
		name    string
		before  func(f *fixture, o Order)
		waiting bool // the task may start elsewhere at once
		stops   int  // after a report of the new incarnation without the run
	}{
		{"start waits", func(*fixture, Order) {}, true, 0},
		{"start sent", func(f *fixture, o Order) { f.begin(o) }, false, 1},
		{"start without an answer", started(OutcomeUnknown), false, 1},
		{"start executed by one of the two", started(OutcomeDone), false, 1},
		{"start rejected", started(OutcomeNoCapacity), true, 0},
		{"run reported by the earlier incarnation", func(f *fixture, o Order) {
			f.begin(o)
			f.report("w1", []RunStatus{{Task: o.Task, Run: o.Run}}, nil)
		}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			o := f.placeOn("w1", smallStep)
			tt.before(f, o)
			f.restart("w1")
			waiting := len(f.core.lookupTask(o.Task).runs) == 0
			if diff := cmp.Diff(tt.waiting, waiting); diff != "" {
				t.Errorf("task waits after the restart (-want +got):\n%s", diff)
			}
			f.core.SetEvacuatedZones(map[unit.ZoneID]bool{"z1": true}) // no further start
			f.now = f.now.Add(time.Second)
			f.core.HandleReport("w1", Report{Incarnation: 2, RequestedAt: f.now}, f.now)
			if diff := cmp.Diff(tt.stops, len(f.takeStops())); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnansweredStopIsRepeated guards against stops that are repeated without a pause
// while a worker does not answer, and against stops that never reach it.
func TestUnansweredStopIsRepeated(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		after   time.Duration
		report  bool
		stops   int
	}{
		{"no answer, at once", OutcomeUnknown, 0, false, 0},
		{"no answer, after the pause", OutcomeUnknown, orderRepeatDelay, false, 1},
		{"not sent, after the pause", OutcomeNotSent, orderRepeatDelay, false, 1},
		{"no answer, worker reports", OutcomeUnknown, time.Millisecond, true, 1},
		{"answered", OutcomeDone, orderRepeatDelay, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			o := f.placeOn("w1", smallStep)
			f.begin(o)
			f.core.HandleStartOutcome(o, OutcomeDone, f.now)
			f.core.Cancel("j", f.now)
			stop := f.takeStops()[0]
			f.begin(stop)
			f.core.HandleStopOutcome(stop, tt.outcome, f.now)
			f.advance(tt.after)
			if tt.report {
				f.report("w1", []RunStatus{{Task: o.Task, Run: o.Run}}, nil)
			}
			stops := f.takeStops()
			if diff := cmp.Diff(tt.stops, len(stops)); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
			for _, o := range stops {
				if !f.begin(o) {
					t.Errorf("stop %+v is withdrawn", o)
				}
			}
		})
	}
}

// TestUnknownRunIsStoppedOnce guards against a queue of stops for one run that grows
// with each report while the worker does not answer orders.
func TestUnknownRunIsStoppedOnce(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	running := []RunStatus{{Task: firstTask("removed"), Run: 3}}
	f.report("w1", running, nil)
	stop := f.takeStops()[0]
	f.report("w1", running, nil)
	if got := f.takeStops(); len(got) > 0 {
		t.Errorf("stops while the first is under way: %+v", got)
	}
	if !f.begin(stop) {
		t.Error("the first stop is withdrawn")
	}
	f.core.HandleStopOutcome(stop, OutcomeUnknown, f.now)
	f.report("w1", running, nil)
	if diff := cmp.Diff([]Order{stop}, f.takeStops()); diff != "" {
		t.Errorf("stops after the first had no answer (-want +got):\n%s", diff)
	}
	f.report("w1", nil, nil)
	if f.begin(stop) {
		t.Error("a stop is sent for a run that is gone")
	}
}

// TestWithdrawnGangMember guards against members of a gang that wait in vain for one
// whose start was withdrawn.
func TestWithdrawnGangMember(t *testing.T) {
	f := newFixture(t, 1, 0)
	gang := smallStep
	gang.Gang, gang.Count, gang.PerWorker = true, 2, 1
	f.listWorkers("w1", "w2")
	f.addJob("j", gang, true)
	f.core.Place(f.now)
	orders := f.core.TakeOrders()
	f.begin(orders[0])
	l := newListing(orders[0].Worker)
	f.core.SetWorkers([]Listing{l}, f.now) // the other worker has left
	if f.begin(orders[1]) {
		t.Error("start on a worker that has left the list")
	}
	if diff := cmp.Diff(1, len(f.takeStops())); diff != "" {
		t.Errorf("stops of the other member (-want +got):\n%s", diff)
	}
}

// TestUnwrittenWorker guards against a start on a worker that the store may not name any
// more: the next owner would not wait for its report.
func TestUnwrittenWorker(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.core.SetWorkers(nil, f.now)
	f.core.Snapshot() // written, but the answer is lost
	f.core.SetWorkers([]Listing{newListing("w1")}, f.now)
	f.report("w1", nil, nil)
	f.addJob("j", smallStep, true)
	if n := len(f.takeStarts(OutcomeDone)); n > 0 {
		t.Errorf("%d starts", n)
	}
}

// TestStaleStart guards against a start of a task whose run has ended as done on the
// worker that rejects a start of it as stale, before the end is read.
func TestStaleStart(t *testing.T) {
	tests := []struct {
		name   string
		ended  []End
		starts int
	}{
		{"run has ended", []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndDone}}, 0},
		{"run was not there", nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			o := f.placeOn("w1", smallStep)
			f.begin(o)
			f.core.HandleStartOutcome(o, OutcomeStaleRun, f.now)
			if n := len(f.takeStarts(OutcomeDone)); n > 0 {
				t.Errorf("%d starts before the next report", n)
			}
			f.report("w1", nil, tt.ended)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts after the report (-want +got):\n%s", diff)
			}
		})
	}
}
