package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/placement"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// TestStartConditions guards against a start that violates a single condition.
// TestInvariants does not cover each condition by itself, since workers refuse
// most such starts by their epoch or not-after time.
func TestStartConditions(t *testing.T) {
	unchanged := func(*coreHarness, *StartConditions) {}
	tests := []struct {
		name     string
		change   func(h *coreHarness, c *StartConditions)
		starts   int
		latest   time.Duration // how long from now the start may be sent
		notAfter time.Duration // how long from now workers accept it
	}{
		{"all hold", unchanged, 1, 3 * time.Second, 4 * time.Second},
		{"registration ends first", func(h *coreHarness, c *StartConditions) { c.ValidUntil = h.now.Add(time.Second) }, 1, time.Second, time.Second},
		{"registration ended", func(h *coreHarness, c *StartConditions) { c.ValidUntil = h.now }, 0, 0, 0},
		{"another registration", func(_ *coreHarness, c *StartConditions) { c.ValidUntil = time.Time{} }, 0, 0, 0},
		{"confirmation too old", func(h *coreHarness, c *StartConditions) { c.StartUntil = h.now }, 0, 0, 0},
		{"zone out", func(_ *coreHarness, c *StartConditions) { c.Document = zoneOut(c.Document) }, 0, 0, 0},
		{"placement not durable", func(h *coreHarness, _ *StartConditions) { h.ledgerSilent = true }, 0, 0, 0},
		{"workers leaving", func(h *coreHarness, _ *StartConditions) {
			for n := range h.fleet.Workers {
				h.fleet.Workers[n].Live = false
			}
			h.step(h.fleet)
		}, 0, 0, 0},
		{"workers run unknown attempts", func(h *coreHarness, _ *StartConditions) {
			for _, w := range h.core.sortedWorkers {
				w.unknownAttempts[worker.Ref{Task: unit.TaskID{Job: "former"}, Attempt: 1}] = h.now
			}
		}, 0, 0, 0},
		{"workers run attempts without a reservation", func(h *coreHarness, _ *StartConditions) {
			for i, w := range h.core.sortedWorkers {
				former := &task{job: newJob("former"), Task: ledger.Task{Index: unit.TaskIndex(i), Worker: w.id, Attempt: 1, State: ledger.StatePlaced}}
				former.startSent, former.leaseExpiry = true, h.now.Add(time.Hour)
				w.addTask(former)
			}
		}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newCoreHarness()
			h.tick(h.confirmed())
			h.now = h.now.Add(commitInterval)
			c := h.confirmed()
			tt.change(h, &c)
			h.step(c)
			h.submit(1)
			if h.starts != tt.starts {
				t.Fatalf("%d starts, want %d", h.starts, tt.starts)
			}
			if tt.starts == 0 {
				return
			}
			got := []time.Duration{h.lastOrders.Deadline.Sub(h.now), h.lastOrders.Batch.Orders[0].NotAfter.Sub(h.clock())}
			// The reading of the worker's clock is commitInterval old, and the allowance
			// for clock drift counts from then.
			drift := (tt.notAfter + commitInterval) / 1000
			want := []time.Duration{tt.latest, tt.notAfter - drift}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("deadline and not-after (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMoveIsDurableFirst guards against a job record that assigns a task to
// another shard before the ledger records the move durably. A successor would
// still find the task placed or pending in this shard and run it as well.
func TestMoveIsDurableFirst(t *testing.T) {
	h := newCoreHarness()
	h.fleet.MoveTargets = []unit.ShardID{{Zone: "z2"}}
	h.step(h.fleet)
	h.tick(h.confirmed())
	out := h.confirmed()
	out.Document = zoneOut(out.Document)
	h.ledgerSilent = true
	h.now = h.now.Add(commitInterval)
	h.submit(5)
	for range 3 {
		h.tick(out)
	}
	if h.lastJobWrite != nil {
		t.Fatalf("job record written before the ledger: %+v", h.lastJobWrite.Record)
	}
	h.ledgerSilent = false
	h.revision++
	h.step(LedgerWritten{Revision: h.revision})
	h.now = h.now.Add(commitInterval)
	h.tick(out)
	want := []ledger.Part{{Shard: unit.ShardID{Zone: "z2"}, Count: 5}}
	if h.lastJobWrite == nil || !cmp.Equal(want, h.lastJobWrite.Record.Parts) {
		t.Errorf("job record %+v, want parts %+v", h.lastJobWrite, want)
	}
}

// countingClient is a Client that counts its calls.
type countingClient struct{ calls int }

func (c *countingClient) Close() {}

func (c *countingClient) Orders(context.Context, worker.OrderBatch) (worker.OrderReply, error) {
	c.calls++
	return worker.OrderReply{}, nil
}

func (c *countingClient) Heartbeat(context.Context, worker.Heartbeat) (worker.Report, error) {
	c.calls++
	return worker.Report{}, nil
}

// TestDeadlineAtSend guards against a start or a lease renewal that a paused
// process sends after its deadline.
func TestDeadlineAtSend(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &runner{service: &Service{options: Options{Now: func() time.Time { return now }}}}
	tests := []struct {
		name     string
		deadline time.Time
		calls    int
	}{
		{"none", time.Time{}, 2},
		{"ahead", now.Add(time.Millisecond), 2},
		{"reached", now, 0},
		{"past", now.Add(-time.Hour), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &countingClient{}
			ordered := r.executeWorkerCall(t.Context(), client, SendOrders{Worker: "w", Deadline: tt.deadline}).(OrdersSent)
			reported := r.executeWorkerCall(t.Context(), client, SendHeartbeat{Worker: "w", Deadline: tt.deadline}).(HeartbeatSent)
			sent := ordered.Fault == FaultNone && reported.Fault == FaultNone
			refused := ordered.Fault == FaultNoEffect && reported.Fault == FaultNoEffect
			if client.calls != tt.calls || sent != (tt.calls > 0) || refused != (tt.calls == 0) {
				t.Errorf("%d calls, faults %v and %v; want %d calls", client.calls, ordered.Fault, reported.Fault, tt.calls)
			}
		})
	}
}

// zoneOut returns a copy of the document with its only zone out of service.
func zoneOut(d *spec.Document) *spec.Document {
	out := *d
	out.Zones = []spec.Zone{{Name: d.Zones[0].Name, Out: true}}
	return &out
}

// submit passes a job with the given number of tasks to the core.
func (h *coreHarness) submit(tasks unit.TaskIndex) {
	h.jobs++
	h.revision++
	h.step(JobChanged{Job: "j", Revision: h.revision, Record: ledger.Record{
		Job: queue.Job{
			ID: "j", Class: "batch", Team: "desk", Tasks: tasks, Size: unit.Resources{Cores: 4000}, Work: unit.Duration(benchWork),
		},
		Parts: []ledger.Part{{Shard: h.core.Shard, Count: tasks}},
	}})
}

// TestLateCheckpoint guards against a task that resumes from an older checkpoint,
// because the result of an earlier attempt arrives late.
func TestLateCheckpoint(t *testing.T) {
	tests := []struct {
		name    string
		attempt unit.Attempt // attempt whose checkpoint arrives late
		want    unit.CheckpointID
	}{
		{"of an earlier attempt", 1, "second"},
		{"of the same attempt", 2, "second"},
		{"of a later attempt", 3, "late"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCore(Settings{Shard: unit.ShardID{Zone: "z1"}, Epoch: 1, Placer: placement.NewFirstFit()})
			j := newJob("j")
			waiting := &task{job: j, Task: ledger.Task{State: ledger.StateWaiting, Attempt: 3, After: 2, Checkpoint: "second"}}
			c.jobs[j.id], j.tasks[0] = j, waiting
			c.handleLateResult(worker.Status{
				Ref: worker.Ref{Task: waiting.id(), Attempt: tt.attempt}, Phase: worker.PhaseCheckpointed, Checkpoint: "late",
			})
			if waiting.Checkpoint != tt.want {
				t.Errorf("resumes from %q, want %q", waiting.Checkpoint, tt.want)
			}
		})
	}
}

// TestReleaseWaits guards against the release of a shard with a call in flight,
// whose effect the successor would not know.
func TestReleaseWaits(t *testing.T) {
	tests := []struct {
		name string
		set  func(h *coreHarness, busy bool)
		want bool // released at once
	}{
		{"nothing in flight", func(*coreHarness, bool) {}, true},
		{"exchange with a worker", func(h *coreHarness, busy bool) { h.core.sortedWorkers[3].callInFlight = busy }, false},
		{"ledger call", func(h *coreHarness, busy bool) { h.core.commit.callInFlight = busy }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newCoreHarness()
			h.tick(h.confirmed())
			h.now = h.now.Add(commitInterval)
			h.tick(h.confirmed())
			if h.core.phase != phaseActive {
				t.Fatalf("phase %d, want active", h.core.phase)
			}
			tt.set(h, true)
			h.step(ReleaseRequested{})
			if got := h.core.phase == phaseEnded; got != tt.want {
				t.Errorf("released at once: %v, want %v", got, tt.want)
			}
			tt.set(h, false)
			h.now = h.now.Add(commitInterval)
			h.tick(h.confirmed())
			if h.core.phase != phaseEnded {
				t.Error("not released")
			}
		})
	}
}
