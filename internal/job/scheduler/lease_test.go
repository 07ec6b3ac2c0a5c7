package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestExpiryAwaitsAnswer guards against a second start of a task whose end as done is
// listed in an answer that arrives shortly after the lease of its worker has expired.
func TestExpiryAwaitsAnswer(t *testing.T) {
	const lease = 6 * time.Second
	tests := []struct {
		name    string
		sent    []time.Duration // when heartbeats were sent, after the start of the lease
		settled []time.Duration // those of them that were answered or failed
		after   time.Duration   // since the expiry of the lease
		expired bool
	}{
		{"no heartbeat is unanswered", nil, nil, 0, true},
		{"a heartbeat from before the expiry is unanswered", []time.Duration{5 * time.Second}, nil, time.Second, false},
		{"it is waited for too long", []time.Duration{5 * time.Second}, nil, maxAnswerWait, true},
		{"it was answered", []time.Duration{5 * time.Second}, []time.Duration{5 * time.Second}, 0, true},
		{"an earlier one was answered", []time.Duration{4 * time.Second, 5 * time.Second}, []time.Duration{4 * time.Second}, time.Second, false},
		{"only one from after the expiry is unanswered", []time.Duration{lease + time.Second}, nil, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			f.takeStarts(OutcomeDone)
			begin := f.now
			f.core.RecordLease("w1", begin.Add(lease))
			for _, d := range tt.sent {
				f.core.AwaitAnswer("w1", begin.Add(d))
			}
			for _, d := range tt.settled {
				f.core.AnswerSettled("w1", begin.Add(d))
			}
			f.advance(lease + tt.after)
			if diff := cmp.Diff(tt.expired, len(f.core.TakeExpiredLeases()) > 0); diff != "" {
				t.Errorf("expired (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTakeoverAwaitsAnswer guards against a second start of a task under a new owner
// while an answer is under way that lists the end as done of its run under the
// previous owner.
func TestTakeoverAwaitsAnswer(t *testing.T) {
	const inherited = 9 * time.Second // until the leases of the previous owner have expired
	tests := []struct {
		name    string
		sent    []time.Duration // when heartbeats were sent, after the takeover
		settled []time.Duration // those of them that failed
		after   time.Duration   // since the expiry of the inherited leases
		starts  int
	}{
		{"no heartbeat is unanswered", nil, nil, 0, 1},
		{"a heartbeat from before the expiry is unanswered", []time.Duration{8 * time.Second}, nil, time.Second, 0},
		{"it is waited for too long", []time.Duration{8 * time.Second}, nil, maxAnswerWait, 1},
		{"it failed", []time.Duration{8 * time.Second}, []time.Duration{8 * time.Second}, 0, 1},
		{"only one from after the expiry is unanswered", []time.Duration{inherited + time.Second}, nil, time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, inherited)
			f.core.LoadProgress(nil, []unit.InstanceID{"w1", "w2"}, []unit.InstanceID{"w1", "w2"})
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
			f.addJob("j", smallStep, false)
			begin := f.now
			for _, d := range tt.sent {
				f.core.AwaitAnswer("w2", begin.Add(d))
			}
			for _, d := range tt.settled {
				f.core.AnswerSettled("w2", begin.Add(d))
			}
			f.now = begin.Add(inherited + tt.after)
			f.report("w1", nil, nil)
			f.core.Tick(f.now)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestExpiredLeaseCauses guards against a log that can't tell a worker that was lost from
// one whose answers were late.
func TestExpiredLeaseCauses(t *testing.T) {
	const lease = 6 * time.Second
	tests := []struct {
		name    string
		arrange func(f *fixture)
		want    ExpiredLease
	}{
		{"silent", func(*fixture) {}, ExpiredLease{Worker: "w1", Runs: 1, Listed: true, ReportAge: lease + 3*time.Second}},
		{"late answers", func(f *fixture) {
			f.core.AwaitAnswer("w1", f.now.Add(4*time.Second))
			f.core.AwaitAnswer("w1", f.now.Add(5*time.Second))
		}, ExpiredLease{Worker: "w1", Runs: 1, Listed: true, ReportAge: lease + 3*time.Second, AnswerAge: lease - time.Second}},
		{"left the list", func(f *fixture) { f.core.SetWorkers(nil, f.now) }, ExpiredLease{Worker: "w1", Runs: 1, ReportAge: lease + 3*time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			f.takeStarts(OutcomeDone)
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1}}, nil)
			f.core.RecordLease("w1", f.now.Add(lease))
			tt.arrange(f)
			f.advance(lease + 3*time.Second)
			if diff := cmp.Diff([]ExpiredLease{tt.want}, f.core.TakeExpiredLeases()); diff != "" {
				t.Errorf("expired leases (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestartBeforeTakeover guards against a second start of a task that runs on a worker
// which restarted shortly before the takeover and has not reported: its lease is longer
// than any that the previous owner meant to grant.
func TestRestartBeforeTakeover(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration // of the worker's process at the takeover
		reported bool
		wait     time.Duration
		starts   int
	}{
		{"process is old, inherited leases last", time.Hour, false, 5 * time.Second, 0},
		{"process is old, inherited leases have expired", time.Hour, false, 7 * time.Second, 1},
		{"restarted a second before", time.Second, false, 7 * time.Second, 0},
		{"restarted a second before, the longest lease has expired", time.Second, false, 13 * time.Second, 1},
		{"restarted ten seconds before", 10 * time.Second, false, 7 * time.Second, 1},
		{"restarted a second before and has reported", time.Second, true, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 6*time.Second)
			f.core.LoadProgress(nil, []unit.InstanceID{"w1", "w2"}, []unit.InstanceID{"w1", "w2"})
			silent := newListing("w1")
			silent.Incarnation = Incarnation(f.now.Add(-tt.age).UnixMilli())
			f.core.SetWorkers([]Listing{silent, newListing("w2")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.addJob("j", smallStep, false)
			if tt.reported {
				f.core.HandleReport("w1", Report{Incarnation: silent.Incarnation, RequestedAt: f.now}, f.now)
			}
			f.advance(tt.wait)
			f.report("w2", nil, nil)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStartExecutedAfterRestart guards against a second start of a task whose start was
// sent to an earlier incarnation of its worker and executed late by the present one. The
// deadline in it is far ahead on the clock of that one, so that it grants the longest
// lease from then on.
func TestStartExecutedAfterRestart(t *testing.T) {
	tests := []struct {
		name     string
		executed bool          // 9 s after the restart
		wait     time.Duration // after that
		runs     int
	}{
		{"not executed, the lease since the restart lasts", false, time.Second, 1},
		{"not executed, that lease has expired", false, 2 * time.Second, 0},
		{"executed, the lease since then lasts", true, 10 * time.Second, 1},
		{"executed, that lease has expired", true, 11 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			o := f.placeOn("w1", smallStep)
			f.begin(o)
			f.report("w1", nil, nil)
			f.restart("w1")
			f.now = f.now.Add(9 * time.Second)
			if tt.executed {
				f.core.HandleReport("w1", Report{Incarnation: 2, RequestedAt: f.now, Running: []RunStatus{{Task: o.Task, Run: o.Run}}}, f.now)
			}
			f.core.SetEvacuatedZones(map[unit.ZoneID]bool{"z1": true}) // no further start
			f.advance(tt.wait)
			if diff := cmp.Diff(tt.runs, len(f.core.lookupTask(o.Task).runs)); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}
