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

// TestStartConditions guards against a start that any one of the conditions
// forbids. The state machine test does not show each of them on its own, since the
// worker's checks of epoch and not-after catch most such starts.
func TestStartConditions(t *testing.T) {
	all := func(*bench, *StartConditions) {}
	tests := []struct {
		name    string
		change  func(b *bench, c *StartConditions)
		starts  int
		latest  time.Duration // the start may be sent for so long
		refused time.Duration // and workers refuse it so long from now
	}{
		{"all hold", all, 1, 3 * time.Second, 4 * time.Second},
		{"registration ends first", func(b *bench, c *StartConditions) { c.ValidUntil = b.now.Add(time.Second) }, 1, time.Second, time.Second},
		{"registration ended", func(b *bench, c *StartConditions) { c.ValidUntil = b.now }, 0, 0, 0},
		{"another registration", func(_ *bench, c *StartConditions) { c.ValidUntil = time.Time{} }, 0, 0, 0},
		{"confirmation too old", func(b *bench, c *StartConditions) { c.StartUntil = b.now }, 0, 0, 0},
		{"zone out", func(_ *bench, c *StartConditions) { c.Document = zoneOut(c.Document) }, 0, 0, 0},
		{"placement not durable", func(b *bench, _ *StartConditions) { b.silent = true }, 0, 0, 0},
		{"workers leaving", func(b *bench, _ *StartConditions) {
			for n := range b.fleet.Workers {
				b.fleet.Workers[n].Live = false
			}
			b.step(b.fleet)
		}, 0, 0, 0},
		{"workers run unknown attempts", func(b *bench, _ *StartConditions) {
			for _, n := range b.core.order {
				n.unknowns[worker.Ref{Task: unit.TaskID{Job: "former"}, Attempt: 1}] = b.now
			}
		}, 0, 0, 0},
		{"workers run attempts without a reservation", func(b *bench, _ *StartConditions) {
			for i, n := range b.core.order {
				former := &task{job: newJob("former"), Task: ledger.Task{Index: unit.TaskIndex(i), Worker: n.id, Attempt: 1, State: ledger.StatePlaced}}
				former.sent, former.expires = true, b.now.Add(time.Hour)
				n.add(former)
			}
		}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			b.tick(b.confirmed())
			b.now = b.now.Add(commitInterval)
			c := b.confirmed()
			tt.change(b, &c)
			b.step(c)
			b.submit(1)
			if b.starts != tt.starts {
				t.Fatalf("%d starts, want %d", b.starts, tt.starts)
			}
			if tt.starts == 0 {
				return
			}
			got := []time.Duration{b.sent.Deadline.Sub(b.now), b.sent.Batch.Orders[0].NotAfter.Sub(b.clock())}
			drift := (tt.refused + commitInterval) / 1000 // since the reading, which is so old
			want := []time.Duration{tt.latest, tt.refused - drift}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("deadline and not-after (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMoveIsDurableFirst guards against a job record that assigns a task to
// another shard while a successor could still find it placed or pending here.
func TestMoveIsDurableFirst(t *testing.T) {
	b := newBench()
	b.fleet.MoveTargets = []unit.ShardID{{Zone: "z2"}}
	b.step(b.fleet)
	b.tick(b.confirmed())
	out := b.confirmed()
	out.Document = zoneOut(out.Document)
	b.silent = true
	b.now = b.now.Add(commitInterval)
	b.submit(5)
	for range 3 {
		b.tick(out)
	}
	if b.moved != nil {
		t.Fatalf("job record written before the ledger: %+v", b.moved.Record)
	}
	b.silent = false
	b.revision++
	b.step(LedgerWritten{Revision: b.revision})
	b.now = b.now.Add(commitInterval)
	b.tick(out)
	want := []ledger.Part{{Shard: unit.ShardID{Zone: "z2"}, Count: 5}}
	if b.moved == nil || !cmp.Equal(want, b.moved.Record.Parts) {
		t.Errorf("job record %+v, want parts %+v", b.moved, want)
	}
}

// countingClient counts calls.
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

// TestDeadlineAtSend guards against a start or a renewal that a paused process
// sends after its deadline.
func TestDeadlineAtSend(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &host{service: &Service{options: Options{Now: func() time.Time { return now }}}}
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
			ordered := h.exchange(t.Context(), client, SendOrders{Worker: "w", Deadline: tt.deadline}).(OrdersSent)
			reported := h.exchange(t.Context(), client, SendHeartbeat{Worker: "w", Deadline: tt.deadline}).(HeartbeatSent)
			sent := ordered.Fault == FaultNone && reported.Fault == FaultNone
			refused := ordered.Fault == FaultNoEffect && reported.Fault == FaultNoEffect
			if client.calls != tt.calls || sent != (tt.calls > 0) || refused != (tt.calls == 0) {
				t.Errorf("%d calls, faults %v and %v; want %d calls", client.calls, ordered.Fault, reported.Fault, tt.calls)
			}
		})
	}
}

// zoneOut returns a document with its only zone out of service.
func zoneOut(d *spec.Document) *spec.Document {
	out := *d
	out.Zones = []spec.Zone{{Name: d.Zones[0].Name, Out: true}}
	return &out
}

// submit hands a job with so many tasks to the core.
func (b *bench) submit(tasks unit.TaskIndex) {
	b.jobs++
	b.revision++
	b.step(JobChanged{Job: "j", Revision: b.revision, Record: ledger.Record{
		Job: queue.Job{
			ID: "j", Class: "batch", Team: "desk", Tasks: tasks, Size: unit.Resources{Cores: 4000}, Work: unit.Duration(benchWork),
		},
		Parts: []ledger.Part{{Shard: b.core.Shard, Count: tasks}},
	}})
}

// TestLateCheckpoint guards against work that is resumed from a checkpoint of an
// earlier attempt than the last one.
func TestLateCheckpoint(t *testing.T) {
	tests := []struct {
		name    string
		attempt unit.Attempt // whose checkpoint comes late
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
			c.lateResult(worker.Status{
				Ref: worker.Ref{Task: waiting.id(), Attempt: tt.attempt}, Phase: worker.PhaseCheckpointed, Checkpoint: "late",
			})
			if waiting.Checkpoint != tt.want {
				t.Errorf("resumes from %q, want %q", waiting.Checkpoint, tt.want)
			}
		})
	}
}

// TestReleaseWaits guards against a shard that is given up while a call is in
// flight, whose effect the successor would not know of.
func TestReleaseWaits(t *testing.T) {
	tests := []struct {
		name string
		set  func(b *bench, busy bool)
		want bool // given up at once
	}{
		{"nothing in flight", func(*bench, bool) {}, true},
		{"exchange with a worker", func(b *bench, busy bool) { b.core.order[3].busy = busy }, false},
		{"ledger call", func(b *bench, busy bool) { b.core.book.calling = busy }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			b.tick(b.confirmed())
			b.now = b.now.Add(commitInterval)
			b.tick(b.confirmed())
			if b.core.phase != phaseActive {
				t.Fatalf("phase %d, want active", b.core.phase)
			}
			tt.set(b, true)
			b.step(ReleaseRequested{})
			if got := b.core.phase == phaseEnded; got != tt.want {
				t.Errorf("given up at once: %v, want %v", got, tt.want)
			}
			tt.set(b, false)
			b.now = b.now.Add(commitInterval)
			b.tick(b.confirmed())
			if b.core.phase != phaseEnded {
				t.Error("not given up")
			}
		})
	}
}
