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
}

func (w *recordingWorker) Do(_ context.Context, o scheduler.Order, _ unit.Epoch, _ unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.orders = append(w.orders, o.Kind)
	return scheduler.OutcomeDone, 0
}

// constantOwnership gives the same answer to every question.
type constantOwnership struct {
	shardOwnership
	mayOrder bool
}

func (o constantOwnership) MayOrder(time.Time) bool { return o.mayOrder }

// TestExecute guards against starts that are sent although their run was given up while
// they waited, which made two runs of a task at once.
func TestExecute(t *testing.T) {
	started := []scheduler.OrderKind{scheduler.OrderStart}
	tests := []struct {
		name      string
		ownership bool
		change    func(core *scheduler.Core, c *workerClient, now time.Time)
		want      []scheduler.OrderKind
		runs      bool // the worker may have runs afterwards
	}{
		{"wanted", true, func(*scheduler.Core, *workerClient, time.Time) {}, started, true},
		{"job cancelled", true, func(core *scheduler.Core, _ *workerClient, now time.Time) { core.Cancel("j", now) }, nil, false},
		{"ownership not confirmed", false, func(*scheduler.Core, *workerClient, time.Time) {}, nil, false},
		{"client stopped", true, func(_ *scheduler.Core, c *workerClient, _ time.Time) { c.cancel() }, nil, false},
		{"worker restarted", true, func(core *scheduler.Core, _ *workerClient, now time.Time) {
			core.HandleReport("w", scheduler.Report{Incarnation: 2, RequestedAt: now}, now)
		}, nil, false},
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
				service: &Service{ownership: constantOwnership{mayOrder: tt.ownership}},
				core:    core, term: ownership.Term{Epoch: 1}, handingOver: true, // so that no further order is given
			}
			client := &workerClient{
				shard: sh, log: logr.Discard(), id: "w", worker: worker, ctx: ctx, cancel: cancel,
				clock: 1, clockReadAt: now, incarnation: 1,
			}
			tt.change(core, client, now)
			client.execute(order)
			if diff := cmp.Diff(tt.want, worker.orders); diff != "" {
				t.Errorf("sent orders (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.runs, core.HasRuns("w")); diff != "" {
				t.Errorf("has runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOrderQueue guards against stops and paces that wait behind the starts of a burst,
// while the tasks that they are meant for disturb others.
func TestOrderQueue(t *testing.T) {
	const start, stop, pace = scheduler.OrderStart, scheduler.OrderStop, scheduler.OrderPace
	type order struct {
		kind scheduler.OrderKind
		run  graph.RunNumber
	}
	tests := []struct {
		name        string
		given, want []order
	}{
		{"starts", []order{{start, 1}, {start, 2}}, []order{{start, 1}, {start, 2}}},
		{"pace behind starts", []order{{start, 1}, {start, 2}, {pace, 3}}, []order{{pace, 3}, {start, 1}, {start, 2}}},
		{"stops and paces in order", []order{{start, 1}, {pace, 2}, {stop, 3}, {start, 4}, {pace, 5}}, []order{{pace, 2}, {stop, 3}, {pace, 5}, {start, 1}, {start, 4}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &workerClient{wake: make(chan struct{}, 1)}
			for _, o := range tt.given {
				client.enqueue(scheduler.Order{Kind: o.kind, Run: o.run})
			}
			var got []order
			for o, ok := client.dequeue(); ok; o, ok = client.dequeue() {
				got = append(got, order{o.Kind, o.Run})
			}
			if diff := cmp.Diff(tt.want, got, cmp.AllowUnexported(order{})); diff != "" {
				t.Errorf("sent orders (-want +got):\n%s", diff)
			}
		})
	}
}
