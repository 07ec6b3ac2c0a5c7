package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// silent is the delay of an answer that never arrives.
const silent = time.Duration(-1)

// scriptedFleet is a set of workers whose answers to heartbeats arrive late, counted
// from the first start of a task.
type scriptedFleet struct {
	runDuration time.Duration
	steps       int                       // of the job, with one task each, one after the other
	delay       func(n int) time.Duration // of the answer to heartbeat n of the worker with the first start
	orderDelay  time.Duration             // of the answers to orders

	mu         sync.Mutex
	workers    map[unit.InstanceID]*scriptedWorker
	starts     []scheduler.Order
	startsAt   []time.Time
	unanswered int // orders that timed out
}

func (*scriptedFleet) Prefix() kv.Key                                { return "workers/" }
func (*scriptedFleet) Worker(kv.Key) unit.InstanceID                 { return "" }
func (*scriptedFleet) Listing(kv.Item) (scheduler.Listing, error)    { return scheduler.Listing{}, nil }
func (f *scriptedFleet) Connect(id unit.InstanceID, _ string) Worker { return f.workers[id] }

// scriptedWorker runs each task for a fixed time. Its answer to a heartbeat holds what
// the worker knows when it answers, and arrives after the scripted delay.
type scriptedWorker struct {
	fleet  *scriptedFleet
	bornAt time.Time

	// The lock of the fleet guards the fields below.
	late        bool // the script applies to this worker
	run         *scheduler.RunStatus
	startedAt   time.Time
	leaseUntil  unit.WorkerTime
	ends        []scheduler.End
	heartbeats  []time.Time // since the script applies
	inFlight    int
	maxInFlight int
	closed      bool
}

func (w *scriptedWorker) clock() unit.WorkerTime {
	return unit.WorkerTime(time.Since(w.bornAt) + time.Millisecond)
}

// endRun ends the run if it is complete or its lease has expired. It is called with
// the lock held.
func (w *scriptedWorker) endRun() {
	if w.run == nil {
		return
	}
	kind := scheduler.EndDone
	switch {
	case w.clock() > w.leaseUntil:
		kind = scheduler.EndLeaseExpired
	case time.Since(w.startedAt) < w.fleet.runDuration:
		return
	}
	w.ends = append(w.ends, scheduler.End{Number: scheduler.EndNumber(len(w.ends) + 1), Task: w.run.Task, Run: w.run.Run, Kind: kind})
	w.run = nil
}

// Heartbeat implements Worker.
func (w *scriptedWorker) Heartbeat(ctx context.Context, _ unit.Epoch, r scheduler.Renewal, wait time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	report := scheduler.Report{Incarnation: 1, RequestedAt: time.Now()}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	var delay time.Duration
	if w.late {
		delay = w.fleet.delay(len(w.heartbeats))
		w.heartbeats = append(w.heartbeats, time.Now())
	}
	w.inFlight++
	w.maxInFlight = max(w.maxInFlight, w.inFlight)
	defer func() { w.inFlight-- }()
	if delay != silent {
		w.leaseUntil = max(w.leaseUntil, r.Until)
	}
	for deadline := time.Now().Add(wait); len(w.ends) == 0 && time.Now().Before(deadline); w.endRun() {
		w.fleet.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		w.fleet.mu.Lock()
	}
	w.endRun()
	if w.run != nil {
		status := *w.run
		status.ProgressPercent = int(100 * time.Since(w.startedAt) / w.fleet.runDuration)
		report.Running = append(report.Running, status)
	}
	report.Ended = append(report.Ended, w.ends...)
	clock := w.clock()
	w.fleet.mu.Unlock()
	defer w.fleet.mu.Lock()
	if delay == silent {
		<-ctx.Done()
		return scheduler.Report{}, 0, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return scheduler.Report{}, 0, ctx.Err()
	case <-time.After(delay):
		return report, clock, nil
	}
}

// Do implements Worker.
func (w *scriptedWorker) Do(ctx context.Context, o scheduler.Order, _ unit.Epoch, until unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if o.Kind == scheduler.OrderStart {
		w.late = w.late || len(w.fleet.starts) == 0
		w.fleet.starts, w.fleet.startsAt = append(w.fleet.starts, o), append(w.fleet.startsAt, time.Now())
		w.run, w.startedAt, w.leaseUntil = &scheduler.RunStatus{Task: o.Task, Run: o.Run}, time.Now(), max(w.leaseUntil, until)
	}
	clock := w.clock()
	w.fleet.mu.Unlock()
	defer w.fleet.mu.Lock()
	select {
	case <-ctx.Done():
		w.fleet.recordTimeout()
		return scheduler.OutcomeUnknown, 0
	case <-time.After(w.fleet.orderDelay):
		return scheduler.OutcomeDone, clock
	}
}

func (f *scriptedFleet) recordTimeout() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered++
}

// Close implements Worker.
func (w *scriptedWorker) Close() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.closed = true
}

// confirmedOwnership is an ownership whose view is always recent.
type confirmedOwnership struct{}

func (confirmedOwnership) Term() (ownership.Term, bool, <-chan struct{}) {
	return ownership.Term{Epoch: 1}, true, nil
}
func (confirmedOwnership) MayOrder(time.Time) bool       { return true }
func (confirmedOwnership) MayRenewLeases(time.Time) bool { return true }
func (confirmedOwnership) Resign(context.Context)        {}
func (confirmedOwnership) Abandon(context.Context)       {}
func (confirmedOwnership) StartRelays() []unit.EntryID   { return nil }

// runShard drives the clients and the core of two workers and one job for d, without a
// store.
func runShard(t *testing.T, f *scriptedFleet, d time.Duration) graph.State {
	t.Helper()
	s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
	s.ownership = confirmedOwnership{}
	sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
	sh.core = scheduler.New(s.options.Limits, 1, time.Now())
	f.workers = map[unit.InstanceID]*scriptedWorker{}
	var listings []scheduler.Listing
	for _, id := range []unit.InstanceID{"w1", "w2"} {
		f.workers[id] = &scriptedWorker{fleet: f, bornAt: time.Now()}
		listings = append(listings, scheduler.Listing{ID: id, Address: string(id), Service: "orders", Zone: "z1", Incarnation: 1, Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30}})
	}
	sh.mu.Lock()
	sh.core.SetWorkers(listings, time.Now())
	sh.core.ConfirmSnapshot(sh.core.Snapshot())
	steps := make([]graph.Step, f.steps)
	for i := range steps {
		steps[i] = graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}, Estimate: f.runDuration}
		if i > 0 {
			steps[i].After = []graph.StepIndex{graph.StepIndex(i - 1)}
		}
	}
	sh.core.AddJob(&graph.Job{
		ID: "j", Accepted: time.Now(),
		Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
		Steps: steps,
	}, 0, true, time.Now())
	sh.updateWorkerClients()
	sh.mu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); sh.sleep(tickInterval) {
		sh.update(func(c *scheduler.Core, now time.Time) { c.Tick(now) })
	}
	sh.mu.Lock()
	var state graph.State
	for _, final := range sh.finalStates {
		state = final.State
	}
	sh.mu.Unlock()
	sh.cancel()
	sh.goroutines.Wait()
	for id, w := range f.workers {
		if !w.closed || w.inFlight > 0 {
			t.Errorf("client of %s: closed %v with %d heartbeats in flight", id, w.closed, w.inFlight)
		}
	}
	return state
}

// TestLateAnswers guards against ends that the owner does not read because the answer
// that lists them is late: the task then starts again although the worker has listed
// its run as done. It also guards against a wait for connections that went silent.
func TestLateAnswers(t *testing.T) {
	always := func(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }
	silentFirst := func(n int) func(int) time.Duration {
		return func(i int) time.Duration {
			if i < n {
				return silent
			}
			return 0
		}
	}
	tests := []struct {
		name        string
		runDuration time.Duration
		delay       func(n int) time.Duration
		state       graph.State
		starts      int
	}{
		{"in time", 2 * time.Second, always(0), graph.Completed, 1},
		{"1.5 s late", 2 * time.Second, always(1500 * time.Millisecond), graph.Completed, 1},
		{"4 s late", 2 * time.Second, always(4 * time.Second), graph.Completed, 1},
		{"end listed 5 s into the lease", 5 * time.Second, always(1500 * time.Millisecond), graph.Completed, 1},
		{"end listed just before the lease expires", 6200 * time.Millisecond, always(1500 * time.Millisecond), graph.Completed, 1},
		{"one connection silent for good", 5 * time.Second, silentFirst(1), graph.Completed, 1},
		{"two connections silent for good", 5 * time.Second, silentFirst(2), graph.Completed, 1},
		{"worker silent for good", 2 * time.Second, always(silent), graph.Completed, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{runDuration: tt.runDuration, steps: 1, delay: tt.delay}
				state := runShard(t, f, 20*time.Second)
				if diff := cmp.Diff(tt.state, state); diff != "" {
					t.Errorf("state (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.starts, len(f.starts)); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(true, f.workers[f.starts[0].Worker].maxInFlight <= maxHeartbeatsInFlight); diff != "" {
					t.Errorf("heartbeats in flight within the limit (-want +got):\n%s", diff)
				}
				if len(f.startsAt) > 1 && f.startsAt[1].Sub(f.startsAt[0]) < workerLeaseTTL {
					t.Errorf("second start %s after the first, want over %s", f.startsAt[1].Sub(f.startsAt[0]), workerLeaseTTL)
				}
			})
		})
	}
}

// restartedWorker answers orders after its next incarnation has been reported.
type restartedWorker struct {
	Worker
	client *workerClient
	clock  unit.WorkerTime // of the earlier incarnation
}

// Do implements Worker.
func (w restartedWorker) Do(context.Context, scheduler.Order, unit.Epoch, unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.client.recordClock(unit.WorkerTime(time.Second), 2)
	return scheduler.OutcomeDone, w.clock
}

// TestOrderAnswerOfEarlierIncarnation guards against leases of the maximum length, which
// outlast those that the core has recorded: their deadlines were computed from the clock
// of an earlier incarnation, read from the answer to an order.
func TestOrderAnswerOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
		s.ownership = confirmedOwnership{}
		sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
		defer sh.cancel()
		sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
		o := scheduler.Order{Kind: scheduler.OrderStop, Worker: "w1", Incarnation: 1, Run: 1}
		sh.core.SetWorkers([]scheduler.Listing{{ID: "w1", Incarnation: 1}}, time.Now())
		sh.core.HandleReport("w1", scheduler.Report{Incarnation: 1, RequestedAt: time.Now(), Running: []scheduler.RunStatus{{Run: 1}}}, time.Now())
		c := &workerClient{shard: sh, log: logr.Discard(), ctx: t.Context()}
		c.worker = restartedWorker{client: c, clock: unit.WorkerTime(time.Hour)}
		c.recordClock(unit.WorkerTime(time.Hour), 1)
		c.execute(o)
		if diff := cmp.Diff(unit.WorkerTime(time.Second), c.workerDeadline(0)); diff != "" {
			t.Errorf("clock of the worker (-want +got):\n%s", diff)
		}
	})
}

// TestSlowOrders guards against a timeout of orders that stays below the time that a
// slow link takes: no order is then answered, and each costs a connection.
func TestSlowOrders(t *testing.T) {
	tests := []struct {
		name          string
		delay         time.Duration
		maxUnanswered int // of the ten starts on two workers
	}{
		{"in time", 400 * time.Millisecond, 0},
		{"0.8 s", 800 * time.Millisecond, 2},
		{"1.5 s", 1500 * time.Millisecond, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{runDuration: 3 * time.Second, steps: 10, delay: func(int) time.Duration { return 0 }, orderDelay: tt.delay}
				state := runShard(t, f, time.Minute)
				if diff := cmp.Diff(graph.Completed, state); diff != "" {
					t.Errorf("state (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(10, len(f.starts)); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
				if f.unanswered > tt.maxUnanswered {
					t.Errorf("%d orders without an answer, want at most %d", f.unanswered, tt.maxUnanswered)
				}
			})
		})
	}
}

// TestLeaseOfUnwantedRun guards against the task of a cancelled job that runs on for as
// long as stops do not reach its worker, since each heartbeat extends its lease.
func TestLeaseOfUnwantedRun(t *testing.T) {
	tests := []struct {
		name      string
		cancelled bool
		runs      bool // ten seconds later
	}{
		{"job goes on", false, true},
		{"job cancelled", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The stand-in answers stops without stopping anything.
				f := &scriptedFleet{runDuration: time.Hour, delay: func(int) time.Duration { return 0 }}
				w := &scriptedWorker{fleet: f, bornAt: time.Now()}
				f.workers = map[unit.InstanceID]*scriptedWorker{"w1": w}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				s.ownership = confirmedOwnership{}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(s.options.Limits, 1, time.Now())
				sh.listings["w1"] = scheduler.Listing{ID: "w1", Service: "orders", Incarnation: 1, Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30}}
				sh.mu.Lock()
				sh.core.SetWorkers(sh.currentListings(), time.Now())
				sh.core.ConfirmSnapshot(sh.core.Snapshot())
				sh.core.AddJob(&graph.Job{
					ID: "j", Accepted: time.Now(), Queue: graph.Queue{Service: "orders", MaxAttempts: 2},
					Steps: []graph.Step{{Count: 1, LongRunning: true}},
				}, 0, true, time.Now())
				sh.updateWorkerClients()
				sh.mu.Unlock()
				for elapsed := time.Duration(0); elapsed < 12*time.Second; elapsed += tickInterval {
					sh.update(func(c *scheduler.Core, now time.Time) {
						if tt.cancelled && elapsed == 2*time.Second {
							c.Cancel("j", now)
						}
						c.Tick(now)
					})
					sh.sleep(tickInterval)
				}
				f.mu.Lock()
				runs := w.run != nil
				f.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(tt.runs, runs); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		})
	}
}
