package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/delta"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// TestHeartbeatRelays guards against an owner of a small fleet that pays for calls between
// entries, and against one of a large fleet or on a small link that sends all heartbeats
// itself.
func TestHeartbeatRelays(t *testing.T) {
	tests := []struct {
		name      string
		workers   int
		processor unit.Millicores
		interval  time.Duration
		want      int
	}{
		{"small fleet", 66, 400, 0, 0},
		{"no workers", 0, 400, 0, 0},
		{"processor not known", 890, 0, 0, 0},
		{"large fleet", 890, 800, 0, maxRelays},
		{"large fleet, large processor", 890, 4000, 0, 0},
		{"small processor", 214, 120, 0, 4},
		{"small link, processor not known", 214, 0, busyHeartbeatWait + time.Millisecond, 4},
		{"link that carries the heartbeats", 214, 800, busyHeartbeatWait, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, heartbeatRelays(tt.workers, tt.processor, tt.interval)); diff != "" {
				t.Errorf("entries (-want +got):\n%s", diff)
			}
		})
	}
}

// sharedFleet is a set of workers, each with one run that goes on for good. Calls that the
// owner sends to them are counted.
type sharedFleet struct {
	mu      sync.Mutex
	workers map[unit.InstanceID]*sharedWorker
	direct  int           // calls of the owner
	delay   time.Duration // until an answer is handled
	handled time.Time     // when the last answer is
}

// setDelay sets the delay of the next answers. They are handled in order.
func (f *sharedFleet) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// calls returns the number of calls of the owner.
func (f *sharedFleet) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct
}

// awaitHandling waits until an answer that has come now is handled.
func (f *sharedFleet) awaitHandling(ctx context.Context) bool {
	f.mu.Lock()
	if at := time.Now().Add(f.delay); at.After(f.handled) {
		f.handled = at
	}
	d := time.Until(f.handled)
	f.mu.Unlock()
	return wait.For(ctx, d)
}

// sharedWorker is a worker of a sharedFleet.
type sharedWorker struct {
	fleet      *sharedFleet
	bornAt     time.Time
	run        *scheduler.RunStatus
	leaseUntil unit.WorkerTime
	lapsed     bool
}

func (*sharedFleet) Prefix() kv.Key                                { return "workers/" }
func (*sharedFleet) Worker(kv.Key) unit.InstanceID                 { return "" }
func (*sharedFleet) Listing(kv.Item) (scheduler.Listing, error)    { return scheduler.Listing{}, nil }
func (f *sharedFleet) Connect(id unit.InstanceID, _ string) Worker { return f.workers[id] }

// Heartbeat implements Worker for the owner.
func (w *sharedWorker) Heartbeat(ctx context.Context, _ unit.Epoch, r scheduler.Renewal, d time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	w.fleet.mu.Lock()
	w.fleet.direct++
	w.fleet.mu.Unlock()
	return w.hold(ctx, r.Until, d)
}

// hold answers a heartbeat, of the owner or of another entry, after d.
func (w *sharedWorker) hold(ctx context.Context, until unit.WorkerTime, d time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	requestedAt := time.Now()
	w.fleet.mu.Lock()
	clock := unit.WorkerTime(time.Since(w.bornAt) + time.Millisecond)
	w.lapsed = w.lapsed || (w.run != nil && clock > w.leaseUntil)
	w.leaseUntil = max(w.leaseUntil, until)
	w.fleet.mu.Unlock()
	if !wait.For(ctx, d) || !w.fleet.awaitHandling(ctx) {
		return scheduler.Report{}, 0, ctx.Err()
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	report := scheduler.Report{Incarnation: 1, RequestedAt: requestedAt}
	if w.run != nil {
		report.Running = append(report.Running, *w.run)
	}
	return report, unit.WorkerTime(time.Since(w.bornAt) + time.Millisecond), nil
}

// Do implements Worker.
func (w *sharedWorker) Do(_ context.Context, o scheduler.Order, _ unit.Epoch, until unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if o.Kind == scheduler.OrderStart {
		w.run, w.leaseUntil = &scheduler.RunStatus{Task: o.Task, Run: o.Run}, max(w.leaseUntil, until)
	}
	return scheduler.OutcomeDone, unit.WorkerTime(time.Since(w.bornAt) + time.Millisecond)
}

// Close implements Worker.
func (*sharedWorker) Close() {}

// sharingRelay is entries that send heartbeats to the workers of a fleet. Each holds one
// session, which begins with its first call.
type sharingRelay struct {
	fleet  *sharedFleet
	answer func(call int, age time.Duration) error // by the count of calls and the time since the first one; nil: it is answered
	broken func(unit.InstanceID) bool              // the worker is not reached from the entries

	mu       sync.Mutex
	beganAt  time.Time
	sessions map[unit.EntryID]*sharingSession
	calls    int
}

// sharingSession is what an entry knows of a session.
type sharingSession struct {
	id       SessionID
	workers  map[WorkerNumber]unit.InstanceID
	encoders map[WorkerNumber]*delta.Encoder
	answers  []RelayedAnswer
}

// SendStarts implements startRelay. The entries send no starts.
func (r *sharingRelay) SendStarts(_ context.Context, _ unit.EntryID, b StartBatch) ([]scheduler.Outcome, error) {
	outcomes := make([]scheduler.Outcome, len(b.Starts))
	for i, s := range b.Starts {
		outcomes[i], _ = r.fleet.workers[s.Worker].Do(context.Background(), scheduler.Order{
			Kind: scheduler.OrderStart, Run: s.Run, Task: graph.Task{Job: b.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index},
		}, b.Fence, s.Until)
	}
	return outcomes, nil
}

// ExchangeHeartbeats implements heartbeatRelay.
func (r *sharingRelay) ExchangeHeartbeats(ctx context.Context, via unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error) {
	r.mu.Lock()
	r.calls++
	if r.beganAt.IsZero() {
		r.beganAt = time.Now()
	}
	err := r.answer(r.calls, time.Since(r.beganAt))
	s := r.sessions[via]
	if s == nil || s.id != b.Session {
		s = &sharingSession{id: b.Session, workers: map[WorkerNumber]unit.InstanceID{}, encoders: map[WorkerNumber]*delta.Encoder{}}
		r.sessions[via] = s
	}
	for _, h := range b.Heartbeats {
		if h.ID != "" {
			s.workers[h.Worker], s.encoders[h.Worker] = h.ID, &delta.Encoder{}
		}
		go r.hold(s, s.workers[h.Worker], h)
	}
	r.mu.Unlock()
	if err != nil {
		<-ctx.Done()
		return nil, err
	}
	if !wait.For(ctx, 30*time.Millisecond) {
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := s.answers
	s.answers = nil
	return answers, nil
}

// hold sends a heartbeat to its worker and keeps the answer for the next call.
func (r *sharingRelay) hold(s *sharingSession, id unit.InstanceID, h RelayedHeartbeat) {
	if r.broken != nil && r.broken(id) {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.answers = append(s.answers, RelayedAnswer{Number: h.Number, Error: "not reached"})
		return
	}
	report, clock, _ := r.fleet.workers[id].hold(context.Background(), h.Until, h.Wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answers = append(s.answers, RelayedAnswer{Number: h.Number, Clock: clock, Report: s.encoders[h.Worker].Encode(report)})
}

// TestSharedHeartbeats guards against an owner that alone sends the heartbeats to a large
// fleet, so that its processor is full while those of other entries are idle, and against
// workers whose leases lapse or whose reports grow old because an entry that should send
// their heartbeats does not.
func TestSharedHeartbeats(t *testing.T) {
	const (
		workers   = 130
		processor = unit.Millicores(100)
		settled   = 3 * time.Second
		measured  = 10 * time.Second
	)
	// allowed is the rate of calls that the owner may send itself: those that take
	// directCallShare of its processor.
	const allowed = directCallShare * float64(processor) / 1000 / 100 * float64(time.Second) / float64(callTime)
	answered := func(int, time.Duration) error { return nil }
	entries := []unit.EntryID{"b", "c", "d"}
	tests := []struct {
		name    string
		entries []unit.EntryID
		relay   *sharingRelay
		shared  bool // the owner sends no more calls than allowed; otherwise it sends some
	}{
		{"no other entry", nil, &sharingRelay{answer: answered}, false},
		{"entries answer", entries, &sharingRelay{answer: answered}, true},
		{"entries never answer", entries, &sharingRelay{answer: func(int, time.Duration) error { return mesh.ErrUnknown }}, false},
		{"entries of an earlier release", entries, &sharingRelay{answer: func(int, time.Duration) error { return &mesh.FaultError{Text: "no handler"} }}, false},
		{"entries fall silent", entries, &sharingRelay{answer: func(_ int, age time.Duration) error {
			if age > 5*time.Second {
				return mesh.ErrUnknown
			}
			return nil
		}}, false},
		{"some calls are lost", entries, &sharingRelay{answer: func(call int, _ time.Duration) error {
			if call%50 == 0 {
				return mesh.ErrUnknown
			}
			return nil
		}}, false},
		{"some workers are not reached from there", entries, &sharingRelay{answer: answered, broken: func(id unit.InstanceID) bool { return id < "w010" }}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &sharedFleet{workers: map[unit.InstanceID]*sharedWorker{}}
				relay := tt.relay
				relay.fleet, relay.sessions = f, map[unit.EntryID]*sharingSession{}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}, Processor: processor})
				s.ownership, s.relay, s.heartbeatRelay = relayingOwnership{entries: tt.entries}, relay, relay
				sh := newSharedShard(t, s, f, workers)
				tick := func(d time.Duration) (reporting int) {
					reporting = workers
					for end := time.Now().Add(d); time.Now().Before(end); sh.sleep(tickInterval) {
						sh.update(func(c *scheduler.Core, now time.Time) {
							c.SetStartRelays(sh.relays.update(now))
							c.Tick(now)
							reporting = min(reporting, c.Stats(now).Reporting)
						})
					}
					return reporting
				}
				tick(settled)
				f.mu.Lock()
				f.direct = 0
				f.mu.Unlock()
				if diff := cmp.Diff(workers, tick(measured)); diff != "" {
					t.Errorf("workers with a recent report (-want +got):\n%s", diff)
				}
				sh.cancel()
				sh.goroutines.Wait()
				time.Sleep(2 * idleHeartbeatWait) // the entries get the answers under way
				rate := float64(f.calls()) / measured.Seconds()
				if tt.shared && rate > allowed {
					t.Errorf("the owner sends %.0f calls a second, want at most %.0f", rate, allowed)
				}
				if !tt.shared && rate == 0 {
					t.Error("the owner sends no calls, although entries do not answer")
				}
				f.mu.Lock() // the shard does not wait for what the entries write
				defer f.mu.Unlock()
				for id, w := range f.workers {
					if w.run == nil || w.lapsed {
						t.Errorf("worker %s: has a run %v, its lease has lapsed %v", id, w.run != nil, w.lapsed)
					}
				}
			})
		})
	}
}

// newSharedShard returns a shard with n workers that get one run each.
func newSharedShard(t *testing.T, s *Service, f *sharedFleet, n int) *shard {
	t.Helper()
	sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
	sh.core = scheduler.New(s.options.Limits, 1, time.Now())
	capacity := unit.Resources{Cores: 4000, Memory: 1 << 30}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for i := range n {
		id := unit.InstanceID(fmt.Sprintf("w%03d", i))
		f.workers[id] = &sharedWorker{fleet: f, bornAt: time.Now()}
		sh.listings[id] = scheduler.Listing{ID: id, Address: string(id), Service: "orders", Incarnation: 1, Capacity: capacity}
	}
	sh.core.SetWorkers(sh.currentListings(), time.Now())
	sh.core.ConfirmSnapshot(sh.core.Snapshot())
	sh.core.AddJob(&graph.Job{
		ID: "j", Accepted: time.Now(), Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2},
		Steps: []graph.Step{{Count: n, Needs: capacity, LongRunning: true}},
	}, 0, true, time.Now())
	sh.updateWorkerClients()
	return sh
}

// TestUnusableAnswers guards against heartbeats that wait for good after an entry has sent
// an answer that cannot be used.
func TestUnusableAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answers func([]RelayedHeartbeat) []RelayedAnswer
		want    error
	}{
		{"heartbeat not pending", func(hs []RelayedHeartbeat) []RelayedAnswer {
			return []RelayedAnswer{{Number: hs[0].Number}, {Number: hs[0].Number + 1000}}
		}, errSessionEnded},
		{"answered twice", func(hs []RelayedHeartbeat) []RelayedAnswer {
			return []RelayedAnswer{{Number: hs[0].Number}, {Number: hs[0].Number}}
		}, errSessionEnded},
		{"malformed report", func(hs []RelayedHeartbeat) []RelayedAnswer {
			return []RelayedAnswer{{Number: hs[0].Number, Report: delta.Report{Running: []byte{0xff}}}}
		}, errSessionEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &sharedFleet{workers: map[unit.InstanceID]*sharedWorker{}}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}})
				s.ownership, s.heartbeatRelay = confirmedOwnership{}, answeringRelay{tt.answers}
				sh := newSharedShard(t, s, f, 1)
				session := newHeartbeatSession(sh, "b")
				ran := make(chan error, 1)
				go func() {
					_, err := session.run(t.Context())
					ran <- err
				}()
				ctx, cancel := context.WithTimeout(t.Context(), lateAnswerLimit)
				defer cancel()
				_, err := session.exchange(ctx, sh.workerClients["w000"], heartbeat{sentAt: time.Now()})
				if !errors.Is(err, tt.want) {
					t.Errorf("got error %v, want %v", err, tt.want)
				}
				if err := <-ran; err == nil {
					t.Error("the session goes on after an answer that cannot be used")
				}
				if _, err := session.enqueue(sh.workerClients["w000"], heartbeat{}); !errors.Is(err, errSessionEnded) {
					t.Errorf("got error %v after the end of the session, want %v", err, errSessionEnded)
				}
				sh.cancel()
				sh.goroutines.Wait()
			})
		})
	}
}

// answeringRelay answers a call with what a function makes of its heartbeats.
type answeringRelay struct {
	answers func([]RelayedHeartbeat) []RelayedAnswer
}

// ExchangeHeartbeats implements heartbeatRelay.
func (r answeringRelay) ExchangeHeartbeats(_ context.Context, _ unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error) {
	return r.answers(b.Heartbeats), nil
}
