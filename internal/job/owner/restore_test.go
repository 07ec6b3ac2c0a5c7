package owner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// slowStore answers each read after a latency, and lists one job on each page. The given
// reads fail once.
type slowStore struct {
	latency time.Duration
	jobs    []unit.JobID

	mu      sync.Mutex
	failing []kv.Key
	reads   []kv.Key // by key, or by prefix and the last key of the previous page
}

func (s *slowStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op != kv.OpGet && r.Op != kv.OpRange {
		<-ctx.Done()
		return kv.Response{}, ctx.Err()
	}
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Key
	if r.After != "" {
		key += " after " + r.After
	}
	s.reads = append(s.reads, key)
	if n := slices.Index(s.failing, key); n >= 0 {
		s.failing = slices.Delete(s.failing, n, n+1)
		return kv.Response{}, kv.ErrUnavailable
	}
	if r.Op == kv.OpGet {
		return kv.Response{}, kv.ErrNotFound
	}
	for i, id := range s.jobs {
		if jobKey := record.JobKey(id); r.Key == record.JobPrefix && jobKey > r.After {
			value, err := record.Encode(record.Final(&graph.Job{ID: id}, graph.Cancelled))
			item := kv.Item{Key: jobKey, Value: value, Revision: 5}
			return kv.Response{Items: []kv.Item{item}, More: i+1 < len(s.jobs), Revision: unit.Revision(9 + i)}, err
		}
	}
	return kv.Response{Revision: 9}, nil
}

// TestTakeoverReads guards against a takeover on a slow link that reads everything again
// when one read fails, and against one that waits for each answer before the next read.
func TestTakeoverReads(t *testing.T) {
	const latency = 240 * time.Millisecond
	once := map[kv.Key]int{
		record.ProgressKey: 1, record.CheckpointsKey: 1, record.ModelKey: 1, "workers/": 1, "job/": 1, "job/ after job/a": 1,
	}
	twice := func(key kv.Key) map[kv.Key]int {
		reads := map[kv.Key]int{key: 2}
		for k, n := range once {
			reads[k] = max(reads[k], n)
		}
		return reads
	}
	tests := []struct {
		name    string
		failing []kv.Key
		reads   map[kv.Key]int
		took    time.Duration
	}{
		{"no read fails", nil, once, 3 * latency},
		{"progress fails", []kv.Key{record.ProgressKey}, twice(record.ProgressKey), 4*latency + retryDelay},
		{"list of workers fails", []kv.Key{"workers/"}, twice("workers/"), 4*latency + retryDelay},
		{"last page of the jobs fails", []kv.Key{"job/ after job/a"}, twice("job/ after job/a"), 4*latency + retryDelay},
		{"model fails, which is not needed", []kv.Key{record.ModelKey}, once, 3 * latency},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{latency: latency, jobs: []unit.JobID{"a", "b"}, failing: slices.Clone(tt.failing)}
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{Limits: scheduler.Limits{MaxLease: 10 * time.Second}})
				s.ownership, s.zones, s.outage, s.store = confirmedOwnership{}, fixedZones{}, fixedOutage(false), kv.Client{Doer: store}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 2})
				began, took := time.Now(), time.Duration(0)
				go sh.run()
				for took = 0; s.currentShard() == nil && took < time.Minute; took = time.Since(began) {
					time.Sleep(time.Millisecond)
				}
				for _, id := range store.jobs {
					if job := sh.state(id); !job.Known || job.State != graph.Cancelled {
						t.Errorf("job %s is not known", id)
					}
				}
				sh.cancel()
				synctest.Wait()
				reads := map[kv.Key]int{}
				for _, key := range store.reads {
					reads[key]++
				}
				if diff := cmp.Diff(tt.reads, reads); diff != "" {
					t.Errorf("reads (-want +got):\n%s", diff)
				}
				if took > tt.took+5*time.Millisecond {
					t.Errorf("took %s, want %s", took, tt.took)
				}
			})
		})
	}
}

// silentFleet has workers that answer no heartbeat.
type silentFleet struct{ namedFleet }

func (silentFleet) Connect(unit.InstanceID, string) Worker { return silentWorker{} }

type silentWorker struct{ Worker }

func (silentWorker) Heartbeat(ctx context.Context, _ unit.Epoch, _ scheduler.Renewal, _ time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	<-ctx.Done()
	return scheduler.Report{}, 0, ctx.Err()
}

func (silentWorker) Close() {}

// inheritedStore holds what the previous owner has left: two workers and a job.
type inheritedStore struct{ t *testing.T }

func (s inheritedStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	s.t.Helper()
	encoded := func(key kv.Key, value []byte, err error) (kv.Response, error) {
		return kv.Response{Items: []kv.Item{{Key: key, Value: value, Revision: 5}}, Revision: 9}, err
	}
	switch r.Key {
	case record.ProgressKey:
		value, err := record.Encode(record.Progress{Format: record.Format, Epoch: 1, KnownWorkers: []unit.InstanceID{"w1", "w2"}})
		return encoded(r.Key, value, err)
	case record.JobPrefix:
		value, err := record.Encode(record.Job{Format: record.Format, Job: graph.Job{
			ID: "j", Accepted: time.Now(), Queue: graph.Queue{ID: "quotes", Service: "orders", MaxAttempts: 2},
			Steps: []graph.Step{{Count: 1, Needs: unit.Resources{Cores: 1000}, Estimate: time.Second}},
		}})
		return encoded(record.JobKey("j"), value, err)
	case "workers/":
		return kv.Response{Items: []kv.Item{{Key: "workers/w1", Revision: 5}, {Key: "workers/w2", Revision: 5}}, Revision: 9}, nil
	}
	return kv.Response{}, kv.ErrNotFound
}

// TestTakeoverBesideEarlierStarts guards against a second run of a task after a takeover: a
// run that was seen while the previous owner could still start another one says nothing
// about a worker that is silent.
func TestTakeoverBesideEarlierStarts(t *testing.T) {
	tests := []struct {
		name string
		seen time.Duration // after the claim
		want int           // starts after the end of the run
	}{
		{"previous owner may start tasks", ownership.MaxOrderOverlap - time.Millisecond, 0},
		{"previous owner starts nothing more", ownership.MaxOrderOverlap + time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), silentFleet{namedFleet{&scriptedFleet{}}}, nil, Options{Limits: scheduler.Limits{MaxLease: 10 * time.Second}})
				s.ownership, s.zones, s.outage, s.store = confirmedOwnership{}, fixedZones{}, fixedOutage(false), kv.Client{Doer: inheritedStore{t}}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 2})
				claimedAt := time.Now()
				if _, _, err := sh.takeOver(newStoredState("workers/"), claimedAt); err != nil {
					t.Fatal(err)
				}
				run := scheduler.RunStatus{Task: graph.Task{Job: "j"}, Run: 1}
				end := scheduler.End{Number: 1, Task: run.Task, Run: run.Run, Kind: scheduler.EndFailed}
				seenAt := claimedAt.Add(tt.seen)
				endedAt := seenAt.Add(time.Second)
				sh.mu.Lock()
				sh.core.ConfirmSnapshot(sh.core.Snapshot())
				sh.core.HandleReport("w2", scheduler.Report{RequestedAt: seenAt, Running: []scheduler.RunStatus{run}}, seenAt)
				sh.core.HandleReport("w2", scheduler.Report{RequestedAt: endedAt, Ended: []scheduler.End{end}}, endedAt)
				sh.core.Place(endedAt)
				starts := 0
				for _, o := range sh.core.TakeOrders() {
					if o.Kind == scheduler.OrderStart {
						starts++
					}
				}
				sh.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(tt.want, starts); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestProgressOfEarlierOwner guards against leases and placements that count although another
// owner may have extended or started something since they were written.
func TestProgressOfEarlierOwner(t *testing.T) {
	lease := []scheduler.WorkerLease{{Worker: "w1", Incarnation: 1, Left: time.Second}}
	placed := []scheduler.TaskRange{{Count: 1}}
	tests := []struct {
		name       string
		handedOver bool
		epoch      unit.Epoch // of the new owner; the record is of epoch 1
		leases     []scheduler.WorkerLease
		job        scheduler.Progress
	}{
		{"hand-over", true, 2, lease, scheduler.Progress{Started: true, Opened: 1, Placed: placed}},
		{"previous owner was killed", false, 2, lease, scheduler.Progress{Started: true}},
		{"hand-over to an owner that wrote nothing", true, 3, nil, scheduler.Progress{Started: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			value, err := record.Encode(record.Progress{
				Format: record.Format, Epoch: 1, HandedOver: tt.handedOver, Leases: lease,
				Jobs: map[unit.JobID]scheduler.Progress{"j": {Started: true, Opened: 1, Placed: placed}},
			})
			if err != nil {
				t.Fatal(err)
			}
			stored := newStoredState("workers/")
			stored.progress.item = kv.Item{Value: value, Revision: 5}
			p, _, err := stored.decodeProgress(tt.epoch)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.leases, p.Leases); diff != "" {
				t.Errorf("leases (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.job, p.Jobs["j"], cmp.AllowUnexported(scheduler.TaskRange{})); diff != "" {
				t.Errorf("progress of the job (-want +got):\n%s", diff)
			}
		})
	}
}
