package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// relayingOwnership is an ownership with other entries that relay starts, until they leave.
type relayingOwnership struct {
	confirmedOwnership
	entries []unit.EntryID
	leaveAt time.Time // zero: they stay
}

func (o relayingOwnership) StartRelays() []unit.EntryID {
	if !o.leaveAt.IsZero() && !time.Now().Before(o.leaveAt) {
		return nil
	}
	return o.entries
}

var errNoAnswer = errors.New("no answer")

// scriptedRelay sends starts to the workers of a fleet.
type scriptedRelay struct {
	fleet       *scriptedFleet
	unreachable bool
	lostAfter   int  // batches with starts that are answered; later ones are not
	carriedOut  bool // the starts of batches without an answer are executed

	mu      sync.Mutex
	batches []StartBatch
}

// SendStarts implements startRelay.
func (r *scriptedRelay) SendStarts(ctx context.Context, _ unit.EntryID, b StartBatch) ([]scheduler.Outcome, error) {
	outcomes := make([]scheduler.Outcome, len(b.Starts))
	set := func(o scheduler.Outcome) {
		for i := range outcomes {
			outcomes[i] = o
		}
	}
	if r.unreachable {
		set(scheduler.OutcomeNotSent)
		return outcomes, errNoAnswer
	}
	if len(b.Starts) == 0 {
		return nil, nil
	}
	r.mu.Lock()
	r.batches = append(r.batches, b)
	lost := r.lostAfter >= 0 && len(r.batches) > r.lostAfter
	r.mu.Unlock()
	if !lost || r.carriedOut {
		for i, s := range b.Starts {
			outcomes[i], _ = r.fleet.workers[s.Worker].Do(ctx, scheduler.Order{
				Kind: scheduler.OrderStart, Worker: s.Worker, Run: s.Run, Spec: b.Spec,
				Task: graph.Task{Job: b.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index},
			}, b.Fence, s.Until)
		}
	}
	if lost {
		<-ctx.Done()
		set(scheduler.OutcomeUnknown)
		return outcomes, errNoAnswer
	}
	return outcomes, nil
}

// TestRelayedStarts guards against starts that are lost, or carried out twice, because
// another entry that should send them does not answer, leaves, or answers to nobody after
// it has sent them.
func TestRelayedStarts(t *testing.T) {
	const (
		tasks  = 20
		answer = -1 // lostAfter: all batches are answered
	)
	entries := []unit.EntryID{"b", "c"}
	tests := []struct {
		name        string
		entries     []unit.EntryID
		leaveAfter  time.Duration
		relay       *scriptedRelay
		relayed     bool // some starts go through another entry
		extraStarts int  // at most
	}{
		{"no other entry", nil, 0, &scriptedRelay{lostAfter: answer}, false, 0},
		{"entries answer", entries, 0, &scriptedRelay{lostAfter: answer}, true, 0},
		{"entries are not reached", entries, 0, &scriptedRelay{unreachable: true, lostAfter: answer}, false, 0},
		{"batches are lost on the way", entries, 0, &scriptedRelay{lostAfter: 0}, true, 0},
		{"answers are lost", entries, 0, &scriptedRelay{lostAfter: 0, carriedOut: true}, true, 0},
		{"entries fall silent", entries, 0, &scriptedRelay{lostAfter: 1}, true, 0},
		{"entries leave while batches wait", entries, 1100 * time.Millisecond, &scriptedRelay{lostAfter: 0}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{runDuration: time.Second, delay: func(int) time.Duration { return 0 }}
				f.workers = map[unit.InstanceID]*scriptedWorker{}
				relay := tt.relay
				relay.fleet = f
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{
					StopTimeout: time.Second, MaxLease: 10 * time.Second, StartBytesPerSecond: StartBytesPerSecond(2_000_000),
				}})
				held := relayingOwnership{entries: tt.entries}
				if tt.leaveAfter > 0 {
					held.leaveAt = time.Now().Add(tt.leaveAfter)
				}
				s.ownership, s.relay = held, relay
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(s.options.Limits, 1, time.Now())
				sh.mu.Lock()
				for n := range tasks {
					id := unit.InstanceID(fmt.Sprintf("w%02d", n))
					f.workers[id] = &scriptedWorker{fleet: f, bornAt: time.Now()}
					sh.listings[id] = scheduler.Listing{ID: id, Address: string(id), Service: "orders", Incarnation: 1, Capacity: unit.Resources{Cores: 4000, Memory: 1 << 30}}
				}
				sh.core.SetWorkers(sh.currentListings(), time.Now())
				sh.core.ConfirmSnapshot(sh.core.Snapshot())
				sh.updateWorkerClients()
				sh.mu.Unlock()
				tick := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); sh.sleep(tickInterval) {
						sh.update(func(c *scheduler.Core, now time.Time) {
							c.SetStartRelays(sh.relays.update(now))
							c.Tick(now)
						})
					}
				}
				tick(time.Second)
				sh.update(func(c *scheduler.Core, now time.Time) {
					c.AddJob(&graph.Job{
						ID: "j", Accepted: now, Spec: "spec", Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2, Target: time.Second},
						Steps: []graph.Step{{Count: tasks, Needs: unit.Resources{Cores: 4000}, Estimate: time.Second}},
					}, 0, true, now)
				})
				tick(20 * time.Second)
				sh.mu.Lock()
				final := sh.finalStates
				sh.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				want := []scheduler.FinalState{{Job: "j", State: graph.Completed, Cause: "all tasks done"}}
				if diff := cmp.Diff(want, final); diff != "" {
					t.Errorf("final states (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.relayed, len(relay.batches) > 0); diff != "" {
					t.Errorf("starts relayed (-want +got):\n%s", diff)
				}
				if extra := len(f.starts) - tasks; extra > tt.extraStarts {
					t.Errorf("%d starts of %d tasks, want at most %d more", len(f.starts), tasks, tt.extraStarts)
				}
			})
		})
	}
}

// flakyRelay answers some batches with starts, and no further ones. It holds no spec for
// longer than one batch.
type flakyRelay struct {
	answered int
	notSent  bool // the answers say that no start was sent

	mu    sync.Mutex
	specs []string // of the batches with starts
}

// SendStarts implements startRelay.
func (r *flakyRelay) SendStarts(ctx context.Context, _ unit.EntryID, b StartBatch) ([]scheduler.Outcome, error) {
	if len(b.Starts) == 0 {
		return nil, nil
	}
	if ctx.Err() != nil {
		return slices.Repeat([]scheduler.Outcome{scheduler.OutcomeNotSent}, len(b.Starts)), ctx.Err()
	}
	r.mu.Lock()
	r.specs = append(r.specs, b.Spec)
	answered := len(r.specs) <= r.answered
	r.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	switch {
	case !answered:
		<-ctx.Done()
		return slices.Repeat([]scheduler.Outcome{scheduler.OutcomeUnknown}, len(b.Starts)), ctx.Err()
	case r.notSent:
		return slices.Repeat([]scheduler.Outcome{scheduler.OutcomeNotSent}, len(b.Starts)), nil
	}
	return slices.Repeat([]scheduler.Outcome{scheduler.OutcomeDone}, len(b.Starts)), nil
}

// TestUnsentBatches guards against tasks that wait for good, because a batch with their
// starts was not sent and nobody told the core, and against batches that an entry refuses
// for good, as it has dropped the spec of their job.
func TestUnsentBatches(t *testing.T) {
	const batches, batch = 5, scheduler.MaxStartBatch
	const all = batches * batch
	nothing := func(*shard) {}
	tests := []struct {
		name     string
		relay    *flakyRelay
		mayOrder bool
		change   func(sh *shard) // before the batches are sent, with the lock held
		unplaced int             // tasks that can start elsewhere two seconds later
		specs    int             // batches with the spec
	}{
		{"all batches sent", &flakyRelay{answered: all}, true, nothing, 0, minBatchesInFlight},
		{"no batch answered", &flakyRelay{}, true, nothing, all - minBatchesInFlight*batch, minBatchesInFlight},
		{"spec dropped", &flakyRelay{answered: all, notSent: true}, true, nothing, all, batches},
		{"ownership not confirmed", &flakyRelay{answered: all}, false, nothing, all, 0},
		{"workers without a client", &flakyRelay{answered: all}, true, func(sh *shard) { clear(sh.workerClients) }, all, 0},
		{"clocks of the workers not known", &flakyRelay{answered: all}, true, func(sh *shard) {
			for _, c := range sh.workerClients {
				c.clockReadAt = time.Time{}
			}
		}, all, 0},
		{"entry has left", &flakyRelay{answered: all}, true, func(sh *shard) { sh.relays.replace(nil) }, all, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				s.relay, s.ownership = tt.relay, constantOwnership{mayOrder: tt.mayOrder}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(s.options.Limits, 1, time.Now())
				sh.handingOver = true // so that no further order is given
				now := time.Now()
				for n := range all {
					id := unit.InstanceID(fmt.Sprint("w", n))
					sh.listings[id] = scheduler.Listing{ID: id, Service: "orders", Incarnation: 1, Capacity: unit.Resources{Cores: 4000, Memory: 1 << 30}}
					sh.workerClients[id] = &workerClient{shard: sh, id: id, ctx: sh.ctx, clock: 1, clockReadAt: now, incarnation: 1}
				}
				sh.core.SetWorkers(sh.currentListings(), now)
				sh.core.ConfirmSnapshot(sh.core.Snapshot())
				for id := range sh.workerClients {
					sh.core.HandleReport(id, scheduler.Report{Incarnation: 1, RequestedAt: now}, now)
				}
				sh.core.AddJob(&graph.Job{
					ID: "j", Accepted: now, Spec: "spec", Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2, Target: time.Second},
					Steps: []graph.Step{{Count: all, Needs: unit.Resources{Cores: 4000}, Estimate: time.Second}},
				}, 0, true, now)
				sh.core.Place(now)
				sh.mu.Lock()
				sh.relays.replace([]unit.EntryID{"b"})
				sh.mu.Unlock()
				synctest.Wait()
				sh.mu.Lock()
				for orders := sh.core.TakeOrders(); len(orders) > 0; orders = orders[batch:] {
					if !sh.relays.offer(orders[:batch]) {
						t.Error("batch not taken")
					}
				}
				tt.change(sh)
				sh.mu.Unlock()
				time.Sleep(2 * time.Second)
				unplaced, specs := 0, 0
				sh.mu.Lock()
				for _, n := range sh.core.Stats(now).Unplaced {
					unplaced += n
				}
				sh.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				for _, spec := range tt.relay.specs {
					if spec != "" {
						specs++
					}
				}
				if diff := cmp.Diff([]int{tt.unplaced, tt.specs}, []int{unplaced, specs}); diff != "" {
					t.Errorf("tasks to place, and batches with the spec (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestLateAdmission guards against relayed starts on a worker that drains, since their
// batch has waited for the lock of the core after the age of the view was checked.
func TestLateAdmission(t *testing.T) {
	const drainDelay = 2 * time.Second
	tests := []struct {
		name    string
		waited  time.Duration // since the batch was taken from the queue
		listAge time.Duration // now
		sent    int
	}{
		{"at once", 0, time.Second, 1},
		{"lock taken late", 500 * time.Millisecond, time.Second, 1},
		{"view too old by then", time.Second, drainDelay - minStartWindow/2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), &scriptedFleet{}, nil, Options{Delays: Delays{Drain: drainDelay}})
			s.ownership, s.outage = confirmedOwnership{}, fixedOutage(false)
			sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
			now := time.Now()
			sh.core = scheduler.New(s.options.Limits, 1, now)
			room := unit.Resources{Cores: 4000, Memory: 1 << 30}
			sh.core.SetWorkers([]scheduler.Listing{{ID: "w", Service: "orders", Incarnation: 1, Capacity: room}}, now)
			sh.core.ConfirmSnapshot(sh.core.Snapshot())
			sh.core.HandleReport("w", scheduler.Report{Incarnation: 1, RequestedAt: now}, now)
			sh.core.AddJob(&graph.Job{
				ID: "j", Accepted: now, Queue: graph.Queue{ID: "q", Service: "orders"}, Steps: []graph.Step{{Count: 1, Needs: room}},
			}, 0, true, now)
			sh.core.Place(now)
			sh.workerClients["w"] = &workerClient{shard: sh, id: "w", ctx: t.Context(), clock: 1, clockReadAt: now, incarnation: 1}
			sh.workersConfirmed.record(now.Add(-tt.listAge))
			batch, _, _ := sh.admitBatch(sh.core.TakeOrders(), now.Add(-tt.waited))
			if diff := cmp.Diff(tt.sent, len(batch.Starts)); diff != "" {
				t.Fatalf("starts sent (-want +got):\n%s", diff)
			}
			for _, start := range batch.Starts {
				if latest := drainDelay - tt.listAge; time.Duration(start.Until) > latest+time.Millisecond {
					t.Errorf("start may be executed after %s, want at most %s", time.Duration(start.Until), latest)
				}
			}
		})
	}
}
