package owner

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// recordingWorker records the orders that it gets.
type recordingWorker struct {
	Worker
	orders []scheduler.OrderKind
	until  unit.WorkerTime // of the last order
}

func (w *recordingWorker) Do(_ context.Context, o scheduler.Order, _ unit.Epoch, until unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.orders, w.until = append(w.orders, o.Kind), until
	return scheduler.OutcomeDone, 0
}

// constantOwnership gives the same answer to every question.
type constantOwnership struct {
	shardOwnership
	mayOrder bool
}

func (o constantOwnership) MayOrder(time.Time) bool { return o.mayOrder }

// TestExecute guards against starts that are sent although their run was given up while
// they waited, which made two runs of a task at once, and against starts that may be
// executed after the view of the workers has become too old.
func TestExecute(t *testing.T) {
	const drainDelay = 2 * time.Second
	started := []scheduler.OrderKind{scheduler.OrderStart}
	tests := []struct {
		name      string
		ownership bool
		listAge   time.Duration // of the view of the workers
		change    func(core *scheduler.Core, c *workerClient, now time.Time)
		want      []scheduler.OrderKind
		runs      bool // the worker may have runs afterwards
	}{
		{"wanted", true, 0, func(*scheduler.Core, *workerClient, time.Time) {}, started, true},
		{"job cancelled", true, 0, func(core *scheduler.Core, _ *workerClient, now time.Time) { core.Cancel("j", now) }, nil, false},
		{"ownership not confirmed", false, 0, func(*scheduler.Core, *workerClient, time.Time) {}, nil, false},
		{"client stopped", true, 0, func(_ *scheduler.Core, c *workerClient, _ time.Time) { c.cancel() }, nil, false},
		{"worker restarted", true, 0, func(core *scheduler.Core, _ *workerClient, now time.Time) {
			core.HandleReport("w", scheduler.Report{Incarnation: 2, RequestedAt: now}, now)
		}, nil, false},
		{"list read 1.5 s ago", true, 1500 * time.Millisecond, func(*scheduler.Core, *workerClient, time.Time) {}, started, true},
		{"list read 1.9 s ago", true, 1900 * time.Millisecond, func(*scheduler.Core, *workerClient, time.Time) {}, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			core := scheduler.New(scheduler.Limits{MaxLease: 10 * time.Second}, 1, now)
			room := unit.Resources{Cores: 4000, Memory: 1 << 30}
			core.SetWorkers([]scheduler.Listing{{ID: "w", Service: "s", Incarnation: 1, Capacity: room}}, now)
			core.ConfirmSnapshot(core.Snapshot())
			core.HandleReport("w", scheduler.Report{Incarnation: 1, RequestedAt: now}, now)
			core.AddJob(&graph.Job{
				ID: "j", Accepted: now, Queue: graph.Queue{ID: "q", Service: "s"},
				Steps: []graph.Step{{Count: 1, Needs: room}},
			}, 0, true, now)
			core.Place(now)
			order := core.TakeOrders()[0]

			worker := &recordingWorker{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sh := &shard{
				service: &Service{
					ownership: constantOwnership{mayOrder: tt.ownership}, outage: fixedOutage(false),
					options: Options{Delays: Delays{Drain: drainDelay}},
				},
				core: core, term: ownership.Term{Epoch: 1}, handingOver: true, // so that no further order is given
			}
			client := &workerClient{
				shard: sh, log: logr.Discard(), id: "w", worker: worker, ctx: ctx, cancel: cancel,
				clock: 1, clockReadAt: now, incarnation: 1,
			}
			sh.workersConfirmed.record(now.Add(-tt.listAge))
			tt.change(core, client, now)
			client.execute(order)
			if diff := cmp.Diff(tt.want, worker.orders); diff != "" {
				t.Errorf("sent orders (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.runs, core.HasRuns("w")); diff != "" {
				t.Errorf("has runs (-want +got):\n%s", diff)
			}
			if latest := drainDelay - tt.listAge; time.Duration(worker.until) > latest+time.Millisecond {
				t.Errorf("start may be executed after %s, want at most %s", time.Duration(worker.until), latest)
			}
		})
	}
}

// TestUrgentOrders guards against a stop that waits behind starts to the same worker, each
// of which may take two seconds: the task of a cancelled job then runs on.
func TestUrgentOrders(t *testing.T) {
	const start, stop, pace = scheduler.OrderStart, scheduler.OrderStop, scheduler.OrderPace
	order := func(k scheduler.OrderKind, n graph.RunNumber) scheduler.Order {
		return scheduler.Order{Kind: k, Run: n}
	}
	tests := []struct {
		name   string
		queued []scheduler.Order
		want   []scheduler.Order
	}{
		{"stop behind starts", []scheduler.Order{order(start, 1), order(start, 2), order(stop, 3)},
			[]scheduler.Order{order(stop, 3), order(start, 1), order(start, 2)}},
		{"pace behind a start", []scheduler.Order{order(start, 1), order(pace, 2)},
			[]scheduler.Order{order(start, 1), order(pace, 2)}},
		{"stop behind a pace", []scheduler.Order{order(pace, 1), order(stop, 2)},
			[]scheduler.Order{order(stop, 2), order(pace, 1)}},
		{"one kind", []scheduler.Order{order(stop, 2), order(stop, 1), order(stop, 3)},
			[]scheduler.Order{order(stop, 2), order(stop, 1), order(stop, 3)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c workerClient
			for _, o := range tt.queued {
				c.enqueue(o)
			}
			var got []scheduler.Order
			for o, ok := c.dequeue(); ok; o, ok = c.dequeue() {
				got = append(got, o)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}
