package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestStartBudget guards against a backlog of starts that fills the owner's link, so that
// the heartbeats behind it are late and leases expire.
func TestStartBudget(t *testing.T) {
	const size = 1000 // bytes of each start
	tests := []struct {
		name      string
		perSecond unit.Bytes
		pauses    []time.Duration // before each pass, beside bestEffortInterval
		want      []int           // starts of each pass
		deferred  bool            // tasks are left after each pass
	}{
		{"no bound", 0, []time.Duration{0, 0}, []int{40, 0}, false},
		{"wide link", 1000 * size, []time.Duration{0, 0}, []int{40, 0}, false},
		{"narrow link", 10 * size, []time.Duration{0, 0, time.Second, time.Hour}, []int{3, 1, 3, 3}, true},
		{"steady passes", 100 * size, []time.Duration{0, 0, 0}, []int{30, 4, 4}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core = New(Limits{StopTimeout: time.Second, MaxLease: time.Minute, StartBytesPerSecond: tt.perSecond}, 1, startTime)
			f.listWorkers("w1")
			oneCore := smallStep
			oneCore.Needs.Cores = 1000
			oneCore.Estimate = 4 * time.Hour // no run counts as stalled in the longest pause
			for n := range 40 {
				job := newJob(unit.JobID(rune('a'+n)), oneCore)
				job.Spec = strings.Repeat("s", size-int(orderOverhead))
				f.core.AddJob(job, 0, true, f.now)
			}
			var got []int
			for i, pause := range tt.pauses {
				f.now = f.now.Add(pause)
				f.report("w1", f.running(), nil)
				got = append(got, len(f.takeStarts(OutcomeDone)))
				if deferred := f.core.Stats(f.now).Deferred; deferred != tt.deferred {
					t.Errorf("pass %d: deferred %v, want %v", i, deferred, tt.deferred)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("starts by pass (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRelayedOrders guards against starts that the owner sends itself although they take
// several times as much of its small link as relayed ones, and against further hops where
// the link is wide.
func TestRelayedOrders(t *testing.T) {
	const spec, count = 1000, 40 // bytes; tasks of the job
	relay := StartRelays{Registered: 2, Reachable: 1}
	tests := []struct {
		name      string
		perSecond unit.Bytes
		relays    StartRelays
		relayed   int
		charged   unit.Bytes
	}{
		{"no bound", 0, relay, 0, count * (spec + orderOverhead)},
		{"wide link", 10_000_000, relay, 0, count * (spec + orderOverhead)},
		{"small link", 100_000, relay, count, 3*(spec+relayedBatchOverhead) + count*relayedOrderOverhead},
		{"small link, no other entry", 100_000, StartRelays{}, 0, count * (spec + orderOverhead)},
		{"small link, no entry answers", 100_000, StartRelays{Registered: 2}, 0, count * (spec + orderOverhead)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core = New(Limits{StopTimeout: time.Second, MaxLease: time.Minute, StartBytesPerSecond: tt.perSecond}, 1, startTime)
			f.core.SetStartRelays(tt.relays)
			f.listWorkers("w1")
			oneCore := smallStep
			oneCore.Count, oneCore.Needs.Cores = count, 1000
			job := newJob("j", oneCore)
			job.Spec = strings.Repeat("s", spec)
			f.core.AddJob(job, 0, true, f.now)
			before := f.core.startBudget
			before.refill(f.now.Add(bestEffortInterval))
			relayed := 0
			for _, o := range f.takeStarts(OutcomeDone) {
				if o.Relayed {
					relayed++
				}
			}
			if diff := cmp.Diff(tt.relayed, relayed); diff != "" {
				t.Errorf("starts relayed (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.charged, before.balance-f.core.startBudget.balance); diff != "" {
				t.Errorf("bytes charged (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDeferredPasses guards against a backlog that is sorted at each report although the
// budget allows hardly any start, which takes the processor from heartbeats.
func TestDeferredPasses(t *testing.T) {
	const (
		size   = 1000 // bytes of each start
		period = 200 * time.Millisecond
	)
	tests := []struct {
		name      string
		perSecond unit.Bytes
		maxPasses int
	}{
		{"no bound", 0, int(period/placementInterval) + 1},
		{"budget is used up", 50 * size, int(period/minStartBatch) + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core = New(Limits{StartBytesPerSecond: tt.perSecond}, 1, startTime)
			f.listWorkers("w1")
			oneCore := smallStep
			oneCore.Needs.Cores = 1000
			for n := range 200 {
				job := newJob(unit.JobID(fmt.Sprint("j", n)), oneCore)
				job.Spec = strings.Repeat("s", size-int(orderOverhead))
				f.core.AddJob(job, 0, true, f.now)
			}
			f.core.Place(f.now)
			passes, last := 0, f.core.lastPlacement
			for end := f.now.Add(period); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
				f.core.placementDue = true
				if f.core.Place(f.now); f.core.lastPlacement != last {
					passes, last = passes+1, f.core.lastPlacement
				}
			}
			if passes > tt.maxPasses {
				t.Errorf("%d passes in %s, want at most %d", passes, period, tt.maxPasses)
			}
		})
	}
}

// running returns what worker w1 reports if all its runs are present.
func (f *fixture) running() []RunStatus {
	var running []RunStatus
	for id, r := range f.core.workers["w1"].runs {
		running = append(running, RunStatus{Task: id, Run: r.number})
	}
	return running
}

// TestBudgetByRelays guards against an owner that sends the starts of the whole fleet itself
// over a full link after its relays have failed, and against starts that it sends itself
// although they take longer on its link than through another entry, or the budget is short.
func TestBudgetByRelays(t *testing.T) {
	const small, wide = 100_000, 1_000_000 // bytes a second
	tests := []struct {
		name      string
		perSecond unit.Bytes
		relays    StartRelays
		balance   unit.Bytes
		accrued   unit.Bytes // in a second
		relayed   bool
	}{
		{"no bound", 0, StartRelays{2, 1, false}, 0, 0, false},
		{"small link, no entry", small, StartRelays{0, 0, false}, small * 3 / 10, small, false},
		{"small link", small, StartRelays{2, 1, false}, small * 3 / 10, small, true},
		{"small link, no entry answers", small, StartRelays{2, 0, false}, small * 3 / 10, small / 3, false},
		{"wide link", wide, StartRelays{2, 1, false}, wide * 3 / 10, wide, false},
		{"wide link, budget is short", wide, StartRelays{2, 1, false}, wide / 10, wide, true},
		{"wide link, budget is short, no entry answers", wide, StartRelays{2, 0, false}, wide / 10, wide / 3, false},
		{"processor is short", wide, StartRelays{2, 1, true}, wide * 3 / 10, wide, true},
		{"processor is short, no bound", 0, StartRelays{2, 1, true}, 0, 0, true},
		{"processor is short, no entry answers", wide, StartRelays{2, 0, true}, wide * 3 / 10, wide / 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := startBudget{perSecond: tt.perSecond, relays: tt.relays, balance: tt.balance}
			if diff := cmp.Diff([]any{tt.accrued, tt.relayed}, []any{b.accrued(time.Second), b.prefersRelay()}); diff != "" {
				t.Errorf("bytes accrued in a second, and starts relayed (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefundStarts guards against tasks that wait on a small link because specs count
// against it that are not sent, as the entries that relay the starts hold them.
func TestRefundStarts(t *testing.T) {
	const perSecond, spec = 20_000, 2_000
	tests := []struct {
		name    string
		refund  unit.Bytes // for each batch
		atLeast int        // batches that start in a second
		atMost  int
	}{
		{"spec sent", 0, 5, 10},
		{"spec held", spec, 14, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Core{startBudget: startBudget{perSecond: perSecond, relays: StartRelays{Registered: 1, Reachable: 1}}}
			batch := make([]Order, 8)
			for i := range batch {
				batch[i] = Order{Kind: OrderStart, Task: graph.Task{Job: "j"}, Spec: strings.Repeat("s", spec), Relayed: true}
			}
			now := time.Unix(0, 0)
			batches := 0
			c.startBudget.refill(now)
			for end := now.Add(time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
				c.startBudget.refill(now)
				if !c.startBudget.allows() {
					continue
				}
				c.startBudget.charge(batch)
				c.RefundStarts(tt.refund)
				batches++
			}
			if batches < tt.atLeast || batches > tt.atMost {
				t.Errorf("%d batches, want %d to %d", batches, tt.atLeast, tt.atMost)
			}
		})
	}
}
