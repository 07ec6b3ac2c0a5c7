package owner

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// partlySilentStore answers no read under a prefix from a time on, and no read at all
// without one. It answers others without a change.
type partlySilentStore struct {
	prefix kv.Key
	from   time.Time
}

func (s partlySilentStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if !time.Now().Before(s.from) && strings.HasPrefix(string(r.Key), string(s.prefix)) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return kv.Response{}, errors.Errorf("silent: %w", kv.ErrUnknown)
	}
	return kv.Response{Revision: max(r.Since, 1)}, nil
}

// fixedZones has no zone out of service, as it was last confirmed at a time, or just now.
type fixedZones struct{ confirmedAt time.Time }

func (z fixedZones) Evacuated() (map[unit.ZoneID]bool, time.Time) {
	if z.confirmedAt.IsZero() {
		return nil, time.Now()
	}
	return nil, z.confirmedAt
}

// fixedOutage says whether the store answers no entry.
type fixedOutage bool

func (o fixedOutage) Outage() bool { return bool(o) }

// TestStaleViews guards against starts of cancelled jobs, on draining workers and in zones
// out of service by an owner that has not read of these changes for longer than they may
// take, and against an owner that stops during an outage in which nothing changes.
func TestStaleViews(t *testing.T) {
	const forever = 24 * time.Hour
	delays := Delays{Cancel: 3 * time.Second, Drain: 2 * time.Second, Evacuation: 5 * time.Second}
	tests := []struct {
		name   string
		silent kv.Key        // prefix under which reads get no answer
		after  time.Duration // of reading
		zones  bool          // are not read either
		outage bool
		age    time.Duration // how long after that a job arrives
		starts int
	}{
		{"all read", "", forever, false, false, 10 * time.Second, 1},
		{"job records not read for a second", record.JobPrefix, time.Second, false, false, time.Second, 1},
		{"job records not read for four seconds", record.JobPrefix, time.Second, false, false, 4 * time.Second, 0},
		{"job records read late, ever since the takeover", record.JobPrefix, 0, false, false, 4 * time.Second, 0},
		{"instance list not read for a second", "workers/", time.Second, false, false, time.Second, 1},
		{"instance list not read for three seconds", "workers/", time.Second, false, false, 3 * time.Second, 0},
		{"zones not read for six seconds", "", forever, true, false, 6 * time.Second, 0},
		{"store answers no entry", "", time.Second, true, true, 8 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				f := &scriptedFleet{runDuration: time.Hour, delay: func(int) time.Duration { return 0 }}
				f.workers = map[unit.InstanceID]*scriptedWorker{"w1": {fleet: f, bornAt: began}}
				var zones fixedZones
				if tt.zones {
					zones.confirmedAt = began
				}
				s := New(logr.Discard(), f, nil, Options{Delays: delays, Limits: scheduler.Limits{MaxLease: 10 * time.Second}})
				s.ownership, s.zones, s.outage = confirmedOwnership{}, zones, fixedOutage(tt.outage)
				s.store = kv.Client{Doer: partlySilentStore{tt.silent, began.Add(tt.after)}}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(s.options.Limits, 1, began)
				sh.jobsConfirmed.record(began)
				sh.workersConfirmed.record(began)
				sh.listings["w1"] = scheduler.Listing{ID: "w1", Service: "orders", Incarnation: 1, Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30}}
				sh.mu.Lock()
				sh.core.SetWorkers(sh.currentListings(), began)
				sh.core.ConfirmSnapshot(sh.core.Snapshot())
				sh.updateWorkerClients()
				sh.mu.Unlock()
				sh.newJobReader().start(1)
				sh.newWorkerReader().start(1)
				tick := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); sh.sleep(tickInterval) {
						sh.update(func(c *scheduler.Core, now time.Time) {
							sh.applyZones(c)
							c.Tick(now)
						})
					}
				}
				if tt.after < forever {
					tick(tt.after)
				}
				tick(tt.age)
				sh.accept([]SubmittedJob{{Revision: 2, Record: record.Job{Job: graph.Job{
					ID: "j", Accepted: time.Now(), Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2},
					Steps: []graph.Step{{Count: 1, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}}},
				}}}})
				tick(500 * time.Millisecond)
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(tt.starts, len(f.starts)); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestStartWindow guards against a start that is on its way for so long that it is
// executed after the view that it rests on has become too old.
func TestStartWindow(t *testing.T) {
	now := time.Now()
	delays := Delays{Cancel: 3 * time.Second, Drain: 2 * time.Second, Evacuation: 5 * time.Second}
	tests := []struct {
		name                 string
		delays               Delays
		jobs, workers, zones time.Duration // ages of the views
		outage               bool
		want                 time.Duration
	}{
		{"just read", delays, 0, 0, 0, false, 2 * time.Second},
		{"list read a second ago", delays, 0, time.Second, 0, false, time.Second},
		{"jobs read two seconds ago", delays, 2 * time.Second, 0, 0, false, time.Second},
		{"zones read four seconds ago", delays, 0, 0, 4 * time.Second, false, time.Second},
		{"list too old", delays, 0, 3 * time.Second, 0, false, -time.Second},
		{"outage", delays, time.Minute, time.Minute, time.Minute, true, 2 * time.Second},
		{"no limits", Delays{}, time.Minute, time.Minute, time.Minute, false, 2 * time.Second},
		{"limit shorter than reads take", Delays{Drain: time.Millisecond}, 0, 0, 0, false, minViewLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sh := &shard{service: &Service{options: Options{Delays: tt.delays}, outage: fixedOutage(tt.outage)}}
			sh.jobsConfirmed.record(now.Add(-tt.jobs))
			sh.workersConfirmed.record(now.Add(-tt.workers))
			sh.zonesConfirmed.record(now.Add(-tt.zones))
			if diff := cmp.Diff(tt.want, sh.startWindow(now)); diff != "" {
				t.Errorf("window (-want +got):\n%s", diff)
			}
		})
	}
}

// slowOutage answers after a second, as if the entry had no processor meanwhile.
type slowOutage struct{}

func (slowOutage) Outage() bool {
	time.Sleep(time.Second)
	return false
}

// TestStartDeadlineAfterDelay guards against a start on a worker that has been draining for
// longer than the platform allows: while an owner computes the deadline, it may wait for its
// processor for as long as the view has left.
func TestStartDeadlineAfterDelay(t *testing.T) {
	const drain = 2 * time.Second
	tests := []struct {
		name string
		age  time.Duration // of the view of the workers
		want time.Duration // from the reading of the clock to the deadline
	}{
		{"a second old", time.Second, time.Second},
		{"a second and a half old", 1500 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sh := &shard{service: &Service{options: Options{Delays: Delays{Drain: drain}}, outage: slowOutage{}}}
				sh.workersConfirmed.record(time.Now().Add(-tt.age))
				c := &workerClient{shard: sh, clock: 1, clockReadAt: time.Now(), incarnation: 1}
				until, _ := c.startDeadline(scheduler.Order{Kind: scheduler.OrderStart})
				if diff := cmp.Diff(unit.WorkerTime(1).Add(tt.want), until); diff != "" {
					t.Errorf("deadline (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestPendingOfStaleView guards against a number of pending jobs without those whose
// records the owner has not read for longer than a job may stay invisible.
func TestPendingOfStaleView(t *testing.T) {
	tests := []struct {
		name   string
		age    time.Duration // of the view of the job records
		outage bool
		want   error
	}{
		{"just read", 0, false, nil},
		{"read four seconds ago", 4 * time.Second, false, nil},
		{"read six seconds ago", 6 * time.Second, false, errJobsNotRead},
		{"store answers no entry", 6 * time.Second, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Service{options: Options{Delays: Delays{Visibility: 3 * time.Second}}, outage: fixedOutage(tt.outage)}
			sh := &shard{service: s, core: scheduler.New(scheduler.Limits{}, 1, time.Now())}
			sh.jobsConfirmed.record(time.Now().Add(-tt.age))
			if _, err := sh.pending("quotes"); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
