package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	standinplatform "github.com/monsoonfold/monsoonfold/internal/standin/platform"
	standinworker "github.com/monsoonfold/monsoonfold/internal/standin/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// TestMain guards against goroutines that outlive the service.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixedConfig is a configuration service that is always confirmed. Tests replace
// its document.
type fixedConfig struct {
	done chan struct{}

	mu      sync.Mutex
	current spec.Revision
}

func (c *fixedConfig) Name() registry.Name                           { return configName }
func (c *fixedConfig) Start(context.Context, *registry.Kernel) error { return nil }
func (c *fixedConfig) Stop(context.Context) error                    { close(c.done); return nil }
func (c *fixedConfig) Done() <-chan struct{}                         { return c.done }
func (c *fixedConfig) StartUntil() time.Time                         { return time.Now().Add(3 * time.Second) }
func (c *fixedConfig) NotAfter() time.Time                           { return time.Now().Add(4 * time.Second) }

func (c *fixedConfig) Current() spec.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fixedConfig) set(out ...unit.ZoneID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := spec.Document{
		Classes: []spec.Class{
			{Name: "quick", Kind: spec.KindBatch, Target: spec.Target{Start: unit.Duration(3 * time.Second)}},
			{Name: "sync", Kind: spec.KindStanding, Target: spec.Target{Replicas: 2}},
			{Name: "quote", Kind: spec.KindRequest},
		},
		Teams: []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1 << 30, Memory: 1 << 50}}},
	}
	for _, z := range simZones[:2] {
		zone := spec.Zone{Name: z}
		for _, o := range out {
			zone.Out = zone.Out || o == z
		}
		d.Zones = append(d.Zones, zone)
	}
	c.current = spec.Revision{Number: c.current.Number + 1, Document: d}
}

// testbed runs a stand-in platform and stand-in workers in two zones for real
// entries.
type testbed struct {
	t        *testing.T
	platform *standinplatform.Server
	workers  []*standinworker.Server
}

type testbedEntry struct {
	kernel   *registry.Kernel
	config   *fixedConfig
	dispatch *Service
}

func newTestbed(t *testing.T) *testbed {
	t.Parallel()
	tb := &testbed{t: t}
	var instances []store.Instance
	for n := range 6 {
		settings := standinworker.DefaultSettings(unit.InstanceID(fmt.Sprint("w", n)))
		settings.Zone, settings.Rack = simZones[n%2], unit.RackID(fmt.Sprint("r", n))
		w := standinworker.New(settings)
		tb.startService(w)
		tb.workers = append(tb.workers, w)
		instances = append(instances, w.Instance())
	}
	tb.platform = standinplatform.NewServer("127.0.0.1:0", instances)
	tb.startService(tb.platform)
	return tb
}

func (tb *testbed) startService(service registry.Service) {
	if err := service.Start(tb.t.Context(), nil); err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(func() { _ = service.Stop(context.Background()) })
}

func (tb *testbed) startEntry(name string, zone unit.ZoneID) *testbedEntry {
	e := &testbedEntry{kernel: registry.New(), config: &fixedConfig{done: make(chan struct{})}}
	e.config.set()
	e.dispatch = NewService(logr.Discard(), Options{
		Buckets:   2,
		Connect:   func(address string) Client { return worker.NewClient(address) },
		NewPlacer: func(unit.ShardID) Placer { return &firstFit{} },
		Now:       time.Now,
	})
	for _, service := range []registry.Service{
		store.NewService(tb.platform.Address()),
		membership.New(logr.Discard(), roster.Entry{ID: unit.EntryID(name), Zone: zone}),
		journal.NewService(time.Now()), listing.New(logr.Discard()), e.config, e.dispatch,
	} {
		if err := e.kernel.Register(service); err != nil {
			tb.t.Fatal(err)
		}
	}
	if err := e.kernel.Start(tb.t.Context()); err != nil {
		tb.t.Fatal(err)
	}
	return e
}

func (tb *testbed) stop(e *testbedEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := e.kernel.Stop(ctx); err != nil {
		tb.t.Error(err)
	}
}

// checkAudits reports violations of the invariants in the audits of the workers.
// It returns the number of runs by phase.
func (tb *testbed) checkAudits() map[worker.Phase]int {
	var audits []standinworker.Audit
	phases := map[worker.Phase]int{}
	for _, w := range tb.workers {
		audits = append(audits, w.Audit())
		for _, run := range w.Audit().Runs {
			phases[run.Phase]++
		}
	}
	if err := standinworker.CheckAudits(audits, nil); err != nil {
		tb.t.Error(err)
	}
	return phases
}

// await waits until done returns true. Its limit leaves time for a takeover.
func (tb *testbed) await(what string, done func() bool) {
	tb.t.Helper()
	deadline := time.Now().Add(40 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			tb.t.Fatalf("%s: not within 40 s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (tb *testbed) outcome(e *testbedEntry, id unit.JobID) (o ledger.Outcome, ended bool) {
	r, err := e.dispatch.Job(tb.t.Context(), id)
	if err != nil {
		tb.t.Fatal(err)
	}
	for _, p := range r.Parts {
		if p.Outcome != nil {
			o.Done, o.Failed, o.Cancelled = o.Done+p.Outcome.Done, o.Failed+p.Outcome.Failed, o.Cancelled+p.Outcome.Cancelled
		}
	}
	return o, r.Ended()
}

func testJob(id unit.JobID, class unit.ClassID, tasks unit.TaskIndex, work time.Duration) queue.Job {
	return queue.Job{
		ID: id, Class: class, Team: "desk", Tasks: tasks, Work: unit.Duration(work),
		Size: unit.Resources{Cores: 4000, Memory: 1 << 30}, Author: "test", Time: time.Now().UnixMilli(),
	}
}

// TestEndToEnd guards against jobs that do not end, run twice, or are lost when
// the owner of their shards releases them. It uses the real protocols.
func TestEndToEnd(t *testing.T) {
	tb := newTestbed(t)
	a, b := tb.startEntry("a", "z1"), tb.startEntry("b", "z2")
	t.Cleanup(func() { tb.stop(b) })
	ctx := t.Context()
	submit := func(jobs ...queue.Job) {
		for _, j := range jobs {
			if err := a.dispatch.Submit(ctx, j); err != nil {
				t.Fatal(err)
			}
		}
	}
	submit(testJob("many", "quick", 40, 300*time.Millisecond))
	tb.await("many ends", func() bool { _, ended := tb.outcome(b, "many"); return ended })
	if o, _ := tb.outcome(b, "many"); o != (ledger.Outcome{Done: 40}) {
		t.Errorf("outcome %+v, want 40 done", o)
	}
	submit(testJob("long", "quick", 12, 8*time.Second), testJob("sync", "sync", 0, 0), testJob("gone", "quick", 4, time.Hour))
	tb.await("long, sync and gone run", func() bool { return tb.checkAudits()[worker.PhaseRunning] == 12+4+4 })

	drain, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := a.dispatch.Drain(drain); err != nil {
		t.Error(err)
	}
	tb.stop(a)
	if err := b.dispatch.Cancel(ctx, "gone"); err != nil {
		t.Error(err)
	}
	tb.await("gone ends", func() bool { _, ended := tb.outcome(b, "gone"); return ended })
	tb.await("long ends", func() bool { _, ended := tb.outcome(b, "long"); return ended })
	if o, _ := tb.outcome(b, "long"); o != (ledger.Outcome{Done: 12}) {
		t.Errorf("outcome %+v, want 12 done", o)
	}
	phases := tb.checkAudits()
	if phases[worker.PhaseExpired] > 0 || phases[worker.PhaseRunning] != 4 || phases[worker.PhaseDone] != 52 {
		t.Errorf("runs by phase: %v, want 52 done, 4 running, none expired", phases)
	}
}

// TestZoneOut guards against tasks that stay in a zone out of service, and
// against replicas that are not restarted when the zone returns.
func TestZoneOut(t *testing.T) {
	tb := newTestbed(t)
	e := tb.startEntry("a", "z1")
	t.Cleanup(func() { tb.stop(e) })
	running := func(zone unit.ZoneID) (n int) {
		for _, w := range tb.workers {
			for _, run := range w.Audit().Runs {
				if w.Instance().Zone == zone && run.Phase == worker.PhaseRunning {
					n++
				}
			}
		}
		return n
	}
	for _, j := range []queue.Job{testJob("sync", "sync", 0, 0), testJob("batch", "quick", 20, 6*time.Second)} {
		if err := e.dispatch.Submit(t.Context(), j); err != nil {
			t.Fatal(err)
		}
	}
	tb.await("all run", func() bool { return running("z1")+running("z2") == 24 })
	e.config.set("z1")
	tb.await("z1 is empty", func() bool { return running("z1") == 0 })
	tb.await("batch ends", func() bool { _, ended := tb.outcome(e, "batch"); return ended })
	if o, _ := tb.outcome(e, "batch"); o != (ledger.Outcome{Done: 20}) {
		t.Errorf("outcome %+v, want 20 done", o)
	}
	e.config.set()
	tb.await("replicas are back", func() bool { return running("z1") == 2 && running("z2") == 2 })
	tb.checkAudits()
}

// TestSubmit guards against accepting a job that can never run, and against a
// repeated submission that restarts a job or replaces another one.
func TestSubmit(t *testing.T) {
	tb := newTestbed(t)
	e := tb.startEntry("a", "z1")
	t.Cleanup(func() { tb.stop(e) })
	change := func(f func(*queue.Job)) queue.Job {
		j := testJob("j", "quick", 3, 0)
		j.Time = 1
		f(&j)
		return j
	}
	tests := []struct {
		name string
		job  queue.Job
		want error
	}{
		{"new", change(func(*queue.Job) {}), nil},
		{"repeated", change(func(*queue.Job) {}), nil},
		{"other job of this id", change(func(j *queue.Job) { j.Tasks = 4 }), ErrExists},
		{"no id", change(func(j *queue.Job) { j.ID = "" }), ErrInvalid},
		{"unknown class", change(func(j *queue.Job) { j.Class = "x" }), ErrInvalid},
		{"class of requests", change(func(j *queue.Job) { j.Class = "quote" }), ErrInvalid},
		{"team without quota", change(func(j *queue.Job) { j.Team = "x" }), ErrInvalid},
		{"no size", change(func(j *queue.Job) { j.Size = unit.Resources{} }), ErrInvalid},
		{"no tasks", change(func(j *queue.Job) { j.Tasks = 0 }), ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := e.dispatch.Submit(t.Context(), tt.job); !errors.Is(err, tt.want) {
				t.Errorf("submit: %v, want %v", err, tt.want)
			}
		})
	}
}

// TestArchive guards against a job list that grows without limit, and against an
// ended job that is lost or runs again under the same id.
func TestArchive(t *testing.T) {
	tb := newTestbed(t)
	e := tb.startEntry("a", "z1")
	t.Cleanup(func() { tb.stop(e) })
	ctx := t.Context()
	ended, standing := testJob("ended", "quick", 2, 10*time.Millisecond), testJob("sync", "sync", 0, 0)
	for _, j := range []queue.Job{ended, standing} {
		if err := e.dispatch.Submit(ctx, j); err != nil {
			t.Fatal(err)
		}
	}
	tb.await("job ends", func() bool { _, ended := tb.outcome(e, "ended"); return ended })
	tests := []struct {
		name  string
		now   time.Time
		found error // error when the ended job is read
	}{
		{"archived", time.Now(), nil},
		{"kept", time.Now().Add(archiveRetention - time.Minute), nil},
		{"deleted", time.Now().Add(archiveRetention + time.Minute), store.ErrNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := e.dispatch.archiveEnded(ctx, tt.now); err != nil {
				t.Fatal(err)
			}
			jobs, err := e.dispatch.Jobs(ctx)
			if err != nil || len(jobs) != 1 || jobs[0].Job != standing {
				t.Errorf("jobs %v, %v; want the standing one", jobs, err)
			}
			if _, err := e.dispatch.Job(ctx, "ended"); !errors.Is(err, tt.found) {
				t.Errorf("ended job: %v, want %v", err, tt.found)
			}
			if tt.found == nil && e.dispatch.Submit(ctx, ended) != nil {
				t.Error("repeated submission of an archived job fails")
			}
		})
	}
	if done := tb.checkAudits()[worker.PhaseDone]; done != 2 {
		t.Errorf("%d tasks done, want 2", done)
	}
}

// TestUsageIsShared guards against a team that can use its full quota on each
// entry.
func TestUsageIsShared(t *testing.T) {
	tb := newTestbed(t)
	entries := []*testbedEntry{tb.startEntry("a", "z1"), tb.startEntry("b", "z2")}
	for _, e := range entries {
		t.Cleanup(func() { tb.stop(e) })
	}
	if err := entries[0].dispatch.Submit(t.Context(), testJob("sync", "sync", 0, 0)); err != nil {
		t.Fatal(err)
	}
	want := unit.Resources{Cores: 4 * 4000, Memory: 4 << 30}
	for _, e := range entries {
		tb.await("both know the usage of all shards", func() bool {
			remote, err := e.dispatch.remoteUsage(t.Context())
			return err == nil && sumUsage(remote, e.dispatch.ownUsage(nil))["desk"] == want
		})
	}
}

// TestOwnerLost guards against running tasks that are lost or run twice when
// their owner stops without releasing the shard.
func TestOwnerLost(t *testing.T) {
	tb := newTestbed(t)
	a, b := tb.startEntry("a", "z1"), tb.startEntry("b", "z2")
	t.Cleanup(func() { tb.stop(b) })
	if err := a.dispatch.Submit(t.Context(), testJob("long", "quick", 20, 12*time.Second)); err != nil {
		t.Fatal(err)
	}
	tb.await("all run", func() bool { return tb.checkAudits()[worker.PhaseRunning] == 20 })
	tb.stop(a)
	tb.await("long ends", func() bool { _, ended := tb.outcome(b, "long"); return ended })
	if o, _ := tb.outcome(b, "long"); o != (ledger.Outcome{Done: 20}) {
		t.Errorf("outcome %+v, want 20 done", o)
	}
	if phases := tb.checkAudits(); phases[worker.PhaseDone] != 20 || len(phases) != 1 {
		t.Errorf("runs by phase: %v, want 20 done and no others", phases)
	}
}
