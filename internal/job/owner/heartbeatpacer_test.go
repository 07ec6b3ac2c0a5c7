package owner

import (
	"context"
	"fmt"
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

// linkFleet is a set of workers behind one link of the owner, which carries one
// heartbeat after the other. Only what other traffic leaves of the link is modelled.
type linkFleet struct {
	perSecond unit.Bytes // left for heartbeats
	ends      bool       // each worker lists an end that is never acknowledged

	mu           sync.Mutex
	freeAt       time.Time     // when the link has carried all heartbeats sent so far
	longestQueue time.Duration // that a heartbeat waited for those before it
	reporting    int           // lowest number of workers with a recent report, once all have runs
	workers      map[unit.InstanceID]*linkWorker
}

// linkWorker runs each task that it is given for good.
type linkWorker struct {
	fleet  *linkFleet
	bornAt time.Time

	// The lock of the fleet guards the fields below.
	run        *scheduler.RunStatus
	sentAt     []time.Time // of the heartbeats since the run started
	inFlight   int
	moreProbes int // heartbeats beside one in flight
}

func (*linkFleet) Prefix() kv.Key                                { return "workers/" }
func (*linkFleet) Worker(kv.Key) unit.InstanceID                 { return "" }
func (*linkFleet) Listing(kv.Item) (scheduler.Listing, error)    { return scheduler.Listing{}, nil }
func (f *linkFleet) Connect(id unit.InstanceID, _ string) Worker { return f.workers[id] }

// carry waits until the link has carried a heartbeat.
func (f *linkFleet) carry() {
	f.mu.Lock()
	now := time.Now()
	if now.After(f.freeAt) {
		f.freeAt = now
	}
	f.longestQueue = max(f.longestQueue, f.freeAt.Sub(now))
	f.freeAt = f.freeAt.Add(time.Duration(float64(heartbeatBytes) / float64(f.perSecond) * float64(time.Second)))
	arrival := f.freeAt
	f.mu.Unlock()
	time.Sleep(time.Until(arrival))
}

// Heartbeat implements Worker.
func (w *linkWorker) Heartbeat(ctx context.Context, _ unit.Epoch, _ scheduler.Renewal, wait time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	report := scheduler.Report{Incarnation: 1, RequestedAt: time.Now()}
	w.fleet.mu.Lock()
	if w.run != nil {
		w.sentAt = append(w.sentAt, time.Now())
	}
	if w.inFlight++; w.inFlight > 1 {
		w.moreProbes++
	}
	w.fleet.mu.Unlock()
	w.fleet.carry()
	if !w.fleet.ends {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.inFlight--
	if w.run != nil {
		report.Running = append(report.Running, *w.run)
	}
	if w.fleet.ends {
		report.Ended = append(report.Ended, scheduler.End{Number: 1, Task: graph.Task{Job: "earlier"}, Run: 1, Kind: scheduler.EndDone})
	}
	return report, unit.WorkerTime(time.Since(w.bornAt) + time.Millisecond), ctx.Err()
}

// Do implements Worker.
func (w *linkWorker) Do(_ context.Context, o scheduler.Order, _ unit.Epoch, _ unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if o.Kind == scheduler.OrderStart {
		w.run = &scheduler.RunStatus{Task: o.Task, Run: o.Run}
	}
	return scheduler.OutcomeDone, unit.WorkerTime(time.Since(w.bornAt) + time.Millisecond)
}

// Close implements Worker.
func (*linkWorker) Close() {}

// linkSettledTime is the time by which all workers of a linkFleet have a run.
const linkSettledTime = 3 * time.Second

// runLinkFleet lets an owner with the given link send heartbeats to n workers with one run
// each for d.
func runLinkFleet(t *testing.T, f *linkFleet, link unit.BitRate, n int, d time.Duration) {
	t.Helper()
	s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}, Link: link})
	s.ownership = confirmedOwnership{}
	sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
	sh.core = scheduler.New(s.options.Limits, 1, time.Now())
	f.workers = map[unit.InstanceID]*linkWorker{}
	var listings []scheduler.Listing
	capacity := unit.Resources{Cores: 4000, Memory: 1 << 30}
	for i := range n {
		id := unit.InstanceID(fmt.Sprintf("w%d", i))
		f.workers[id] = &linkWorker{fleet: f, bornAt: time.Now()}
		listings = append(listings, scheduler.Listing{ID: id, Address: string(id), Service: "orders", Zone: "z1", Incarnation: 1, Capacity: capacity})
	}
	sh.mu.Lock()
	sh.core.SetWorkers(listings, time.Now())
	sh.core.ConfirmSnapshot(sh.core.Snapshot())
	sh.core.AddJob(&graph.Job{
		ID: "j", Accepted: time.Now(), Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2},
		Steps: []graph.Step{{Count: n, Needs: capacity, LongRunning: true}},
	}, 0, true, time.Now())
	sh.updateWorkerClients()
	sh.mu.Unlock()
	f.reporting = n
	settledAt := time.Now().Add(linkSettledTime)
	for end := time.Now().Add(d); time.Now().Before(end); sh.sleep(tickInterval) {
		sh.update(func(c *scheduler.Core, now time.Time) {
			c.Tick(now)
			if now.After(settledAt) {
				f.reporting = min(f.reporting, c.Stats(now).Reporting)
			}
		})
	}
	sh.cancel()
	sh.goroutines.Wait()
}

// TestHeartbeatsOnLink guards against heartbeats that fill the owner's link: those to all
// workers at once after a takeover, those to a fleet that is large for the link, those that
// acknowledge ends, and the probes that each late answer causes. On a wide link the
// interval must stay as it is.
func TestHeartbeatsOnLink(t *testing.T) {
	const playTime = 20 * time.Second
	tests := []struct {
		name         string
		link         unit.BitRate
		workers      int
		ends         bool
		share        unit.Bytes    // of the link, in percent, that may be used
		shortest     time.Duration // between two heartbeats to a worker
		longest      time.Duration
		longestQueue time.Duration // of a heartbeat behind others
	}{
		{"2 Mbit/s, 122 workers", 2_000_000, 122, false, heartbeatShare, 700 * time.Millisecond, 1100 * time.Millisecond, 100 * time.Millisecond},
		{"2 Mbit/s, 140 workers", 2_000_000, 140, false, heartbeatShare, 800 * time.Millisecond, 1200 * time.Millisecond, 100 * time.Millisecond},
		{"2 Mbit/s, 122 workers with ends", 2_000_000, 122, true, heartbeatShare, 400 * time.Millisecond, time.Second, 100 * time.Millisecond},
		{"2 Mbit/s, 600 workers", 2_000_000, 600, false, 50, 1000 * time.Millisecond, 2200 * time.Millisecond, 200 * time.Millisecond},
		{"10 Mbit/s, 490 workers", 10_000_000, 490, false, heartbeatShare, 600 * time.Millisecond, 1100 * time.Millisecond, 100 * time.Millisecond},
		{"200 Mbit/s, 350 workers", 200_000_000, 350, false, heartbeatShare, busyHeartbeatWait, 420 * time.Millisecond, 100 * time.Millisecond},
		{"200 Mbit/s, 890 workers", 200_000_000, 890, false, heartbeatShare, busyHeartbeatWait, 420 * time.Millisecond, 100 * time.Millisecond},
		{"1,000 Mbit/s, 66 workers", 1_000_000_000, 66, false, heartbeatShare, busyHeartbeatWait, 420 * time.Millisecond, 100 * time.Millisecond},
		{"1,000 Mbit/s, 66 workers with ends", 1_000_000_000, 66, true, heartbeatShare, ackInterval, 120 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				const left = 50 // percent of the link, while starts and reads use their part
				f := &linkFleet{perSecond: shareOf(tt.link, left), ends: tt.ends}
				runLinkFleet(t, f, tt.link, tt.workers, playTime)
				sent, probes := 0, 0
				shortest, longest := playTime, time.Duration(0)
				for id, w := range f.workers {
					probes += w.moreProbes
					if len(w.sentAt) == 0 {
						t.Errorf("worker %s: no run, or no heartbeat", id)
					}
					for i, at := range w.sentAt {
						if at.Sub(began) < linkSettledTime {
							continue
						}
						sent++
						if i > 0 && w.sentAt[i-1].Sub(began) >= linkSettledTime {
							shortest, longest = min(shortest, at.Sub(w.sentAt[i-1])), max(longest, at.Sub(w.sentAt[i-1]))
						}
					}
				}
				perSecond := unit.Bytes(float64(sent) / (playTime - linkSettledTime).Seconds() * float64(heartbeatBytes))
				if limit := shareOf(tt.link, tt.share) * 102 / 100; perSecond > limit {
					t.Errorf("heartbeats take %d bytes a second, want at most %d", perSecond, limit)
				}
				if shortest < tt.shortest || longest > tt.longest {
					t.Errorf("%s to %s between heartbeats, want %s to %s", shortest, longest, tt.shortest, tt.longest)
				}
				if f.longestQueue > tt.longestQueue {
					t.Errorf("heartbeats waited for up to %s on the link, want at most %s", f.longestQueue, tt.longestQueue)
				}
				if diff := cmp.Diff(tt.workers, f.reporting); diff != "" {
					t.Errorf("workers with a recent report (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(0, probes); diff != "" {
					t.Errorf("probes (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestHeartbeatInterval guards against an owner that takes the answers to its own heartbeats
// for late, as the link carries those to all workers only in a longer time, and against
// heartbeats of other entries that are as rare as if the owner's link carried them.
func TestHeartbeatInterval(t *testing.T) {
	tests := []struct {
		name    string
		link    unit.BitRate
		workers int
		relayed float64
		want    time.Duration
	}{
		{"no bound", 0, 100, 0, 0},
		{"no bound, relayed", 0, 100, 1, 0},
		{"2 Mbit/s, no workers", 2_000_000, 0, 0, 0},
		{"2 Mbit/s, 100 workers", 2_000_000, 100, 0, 800 * time.Millisecond}, // of 125 heartbeats a second in all
		{"2 Mbit/s, 100 workers, relayed", 2_000_000, 100, 1, 240 * time.Millisecond},
		{"2 Mbit/s, 100 workers, half of them relayed", 2_000_000, 100, 0.5, 520 * time.Millisecond},
		{"2 Mbit/s, 600 workers", 2_000_000, 600, 0, maxHeartbeatInterval},
		{"200 Mbit/s, 100 workers", 200_000_000, 100, 0, 8 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newHeartbeatPacer(tt.link)
			p.setWorkers(tt.workers, time.Now())
			p.setRelayed(tt.relayed, time.Now())
			if diff := cmp.Diff(tt.want, p.interval().Round(time.Microsecond)); diff != "" {
				t.Errorf("interval (-want +got):\n%s", diff)
			}
		})
	}
}
