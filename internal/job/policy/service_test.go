package policy_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/dispatch"
	"github.com/monsoonfold/monsoonfold/internal/job/policy"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/gateway"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	standinplatform "github.com/monsoonfold/monsoonfold/internal/standin/platform"
	standinworker "github.com/monsoonfold/monsoonfold/internal/standin/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// bound is the latency bound of the class of requests. At the load of the test a request
// takes 80 ms on a worker without tasks, and with the noisy task about 150 ms at full
// cores, 105 ms at half of them and 90 ms at a quarter.
const bound = 125 * time.Millisecond

// fakeService implements the parts of registry.Service that the fakes share.
type fakeService struct {
	name registry.Name
	done chan struct{}
}

func (s fakeService) Name() registry.Name                           { return s.name }
func (s fakeService) Start(context.Context, *registry.Kernel) error { return nil }
func (s fakeService) Stop(context.Context) error                    { close(s.done); return nil }
func (s fakeService) Done() <-chan struct{}                         { return s.done }

// fixedConfig is a configuration that is always confirmed.
type fixedConfig struct{ fakeService }

func (fixedConfig) StartUntil() time.Time    { return time.Now().Add(3 * time.Second) }
func (fixedConfig) NotAfter() time.Time      { return time.Now().Add(4 * time.Second) }
func (fixedConfig) ServeUntil() time.Time    { return time.Now().Add(10 * time.Second) }
func (fixedConfig) Changed() <-chan struct{} { return nil }

func (fixedConfig) Current() spec.Revision {
	return spec.Revision{Number: 1, Document: spec.Document{
		Classes: []spec.Class{
			{Name: "quote", Kind: spec.KindRequest, Service: "desk", Routes: []spec.Route{{Prefix: "/"}},
				Target: spec.Target{Percentile: 95, Bound: unit.Duration(bound)}},
			{Name: "noisy", Kind: spec.KindBatch, Target: spec.Target{Finish: unit.Duration(time.Hour)}},
		},
		Teams: []spec.Team{{Name: "team", Quota: unit.Resources{Cores: 1 << 30, Memory: 1 << 50}}},
		Zones: []spec.Zone{{Name: "z"}},
	}}
}

// noPeers is the peer service of a single entry.
type noPeers struct{ fakeService }

func (noPeers) Handle(message.Kind, message.Handler)                    {}
func (noPeers) SetSettled(func() roster.SettledView)                    {}
func (noPeers) OnSettled(func(peer unit.EntryID, s roster.SettledView)) {}
func (noPeers) Call(context.Context, unit.EntryID, message.Message) (message.Message, error) {
	return nil, fmt.Errorf("no peers")
}

// requestLog collects the requests of the load.
type requestLog struct {
	mu  sync.Mutex
	all []result
}

type result struct {
	started time.Time
	late    bool
}

// load sends a request every 10 ms until the context ends, with at most 64 in progress.
func (r *requestLog) load(ctx context.Context, address string) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	inFlight := make(chan struct{}, 64)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		calls.Go(func() {
			started := time.Now()
			resp, err := http.Get("http://" + address + "/quote")
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.all = append(r.all, result{started, err != nil || resp.StatusCode != http.StatusOK || time.Since(started) > bound})
			<-inFlight
		})
	}
}

// share returns the fraction of the requests started between two times that were late,
// and their number.
func (r *requestLog) share(from, until time.Time) (share float64, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	for _, x := range r.all {
		if x.started.Before(from) || x.started.After(until) {
			continue
		}
		requests++
		if x.late {
			late++
		}
	}
	return float64(late) / float64(max(requests, 1)), requests
}

func startService(t *testing.T, s registry.Service) {
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
}

func waitFor(t *testing.T, what string, limit time.Duration, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// fakeServices fakes the services of an entry e1 that owns shard z.0. Entry e2 owns z.1, and
// z.2 has no owner.
type fakeServices struct {
	fakeService
	mu sync.Mutex
	// sent has the number of signals of each message.
	sent map[unit.EntryID][]int
	last message.Signals
}

func (s *fakeServices) Self() unit.EntryID                    { return "e1" }
func (s *fakeServices) Evict(context.Context, dispatch.Evict) {}
func (s *fakeServices) Handle(message.Kind, message.Handler)  {}
func (s *fakeServices) Owner(id unit.ShardID) unit.EntryID {
	return []unit.EntryID{"e1", "e2", ""}[id.Bucket]
}
func (s *fakeServices) Snapshot() inventory.Snapshot {
	var all []store.Instance
	for n := range 3000 {
		all = append(all, store.Instance{ID: unit.InstanceID(fmt.Sprint("w", n)), Zone: "z", Rack: unit.RackID(fmt.Sprint(n))})
	}
	return inventory.NewSnapshot(store.Listing{Instances: all, Revision: 1})
}

func (s *fakeServices) Call(_ context.Context, to unit.EntryID, m message.Message) (message.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = m.(message.Signals)
	s.sent[to] = append(s.sent[to], len(s.last.Signals))
	return message.Done{}, nil
}

// namedFake registers one fake under several names.
type namedFake struct {
	*fakeServices
	name registry.Name
	done chan struct{}
}

func (n namedFake) Name() registry.Name        { return n.name }
func (n namedFake) Stop(context.Context) error { close(n.done); return nil }
func (n namedFake) Done() <-chan struct{}      { return n.done }

// TestSend guards against messages to entries that do not own the worker's shard, more
// than one message to an owner, and messages that are too large to encode.
func TestSend(t *testing.T) {
	fakes := &fakeServices{sent: map[unit.EntryID][]int{}}
	s := policy.New(3, time.Now)
	k := registry.New()
	for _, name := range []registry.Name{"membership", "peers", "fleet", "dispatch"} {
		if err := k.Register(namedFake{fakes, name, make(chan struct{})}); err != nil {
			t.Fatal(err)
		}
	}
	for _, x := range []registry.Service{fixedConfig{fakeService{"config", make(chan struct{})}}, journal.NewService(time.Now()), s} {
		if err := k.Register(x); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	tests := []struct {
		name    string
		classes int
		// want is the number of signals to e2; 0 if it follows from the owned workers.
		want int
	}{
		{"one class", 1, 0},
		{"more than fit", 3, message.MaxSignals},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clear(fakes.sent)
			var signals []message.Signal
			owned := 0
			for _, w := range fakes.Snapshot().Workers() {
				for c := range tt.classes {
					signals = append(signals, message.Signal{Worker: w.ID, Class: unit.ClassID(fmt.Sprint(c)), Requests: uint32(10 + c)})
				}
				if shard.ForRack(w.Zone, w.Rack, 3).Bucket == 1 {
					owned++
				}
			}
			want := min(owned*tt.classes, message.MaxSignals)
			if tt.want > 0 && want != tt.want {
				t.Fatalf("%d signals are too few for the test", owned*tt.classes)
			}
			s.Send(t.Context(), signals)
			if diff := cmp.Diff(map[unit.EntryID][]int{"e2": {want}}, fakes.sent); diff != "" {
				t.Errorf("signals of each message (-want +got):\n%s", diff)
			}
			busiest := slices.ContainsFunc(fakes.last.Signals, func(g message.Signal) bool { return int(g.Requests) == 9+tt.classes })
			if _, err := message.Encode(fakes.last); err != nil || !busiest {
				t.Errorf("encode: %v; the busiest are sent: %v", err, busiest)
			}
		})
	}
}

// TestNoisyClass runs the whole path from requests to a throttle. It guards against
// services that are correct but not connected: a batch class slows requests down beyond
// their bound, and no throttle follows, or it does not reduce the late requests, or
// explain does not show it.
func TestNoisyClass(t *testing.T) {
	var instances []store.Instance
	var workers []*standinworker.Server
	for n := range 2 {
		s := standinworker.DefaultSettings(unit.InstanceID(fmt.Sprint("w", n)))
		s.Zone, s.Rack, s.Service = "z", "r", "desk"
		s.Slots = 32 // with few slots, each additional request raises the latency much
		s.Median, s.Sigma, s.UsageLag, s.Seed = 80*time.Millisecond, 0.05, time.Second, uint64(n)
		s.Interference = map[unit.ClassID]float64{"noisy": 5}
		w := standinworker.New(s)
		startService(t, w)
		workers, instances = append(workers, w), append(instances, w.Instance())
	}
	platform := standinplatform.NewServer("127.0.0.1:0", instances)
	startService(t, platform)

	events := journal.NewService(time.Now())
	policyService := policy.New(1, time.Now)
	dispatcher := dispatch.NewService(logr.Discard(), dispatch.Options{
		Buckets: 1, Connect: func(address string) dispatch.Client { return worker.NewClient(address) },
		NewPlacer: policyService.NewPlacer, OnReport: policyService.ObserveReport, Now: time.Now,
	})
	rules := slot.DefaultTiming()
	rules.GainDelay = 0 // no previous owner held the slots
	g := gateway.New(logr.Discard(), gateway.Settings{Address: "127.0.0.1:0", SlotTiming: rules})
	k := registry.New()
	for _, s := range []registry.Service{
		store.NewService(platform.Address()),
		membership.New(logr.Discard(), roster.Entry{ID: "e", Zone: "z"}),
		noPeers{fakeService{"peers", make(chan struct{})}}, events, fixedConfig{fakeService{"config", make(chan struct{})}},
		listing.New(logr.Discard()), burn.NewService(), claim.New(), dispatcher, policyService, g,
	} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := k.Stop(ctx); err != nil {
			t.Error(err)
		}
	})

	waitFor(t, "readiness", 10*time.Second, g.Ready)
	var requests requestLog
	ctx, stop := context.WithCancel(t.Context())
	var loading sync.WaitGroup
	loading.Go(func() { requests.load(ctx, g.Address()) })
	t.Cleanup(func() { stop(); loading.Wait() })
	if err := dispatcher.Submit(ctx, queue.Job{
		ID: "j", Class: "noisy", Team: "team", Tasks: 3, Work: unit.Duration(time.Hour), Author: "test",
		Size: unit.Resources{Cores: 48000, Memory: 1 << 30}, Time: time.Now().UnixMilli(),
	}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "tasks running", 20*time.Second, func() bool {
		return !slices.ContainsFunc(workers, func(w *standinworker.Server) bool { return len(w.Audit().Runs) == 0 })
	})
	tasksStarted := time.Now()
	throttled := func() map[string]time.Time { // time of the first throttle by worker
		at := map[string]time.Time{}
		for _, e := range events.Explain(journal.Subject{Kind: journal.KindClass, ID: "quote"}) {
			if !strings.HasPrefix(e.What, "throttled") {
				continue
			}
			if e.Why == "" {
				t.Errorf("throttled without a reason: %+v", e)
			}
			for _, s := range e.Subjects {
				if _, ok := at[s.ID]; s.Kind == journal.KindWorker && !ok {
					at[s.ID] = e.Time
				}
			}
		}
		return at
	}
	waitFor(t, "both workers throttled", 20*time.Second, func() bool { return len(throttled()) == 2 })
	explained := slices.ContainsFunc(events.Explain(journal.Subject{Kind: journal.KindClass, ID: "noisy"}), func(e journal.Event) bool {
		return e.What == "not placed" && strings.Contains(e.Why, "short of cores")
	})
	if !explained {
		t.Error("the journal does not say why the third task has no worker")
	}
	first := slices.MinFunc(slices.Collect(maps.Values(throttled())), time.Time.Compare)
	// A second throttle may be needed and follows after 5 s. The first is raised again
	// after 10 s of headroom.
	settled := time.Now().Add(6500 * time.Millisecond)
	time.Sleep(time.Until(settled.Add(5 * time.Second)))
	before, n := requests.share(tasksStarted, first)
	after, m := requests.share(settled, time.Now().Add(-time.Second))
	t.Logf("late before: %.2f of %d, after: %.2f of %d", before, n, after, m)
	if before < 0.2 || after > before/2 {
		t.Errorf("late before: %.2f of %d, after: %.2f of %d; want the half at most", before, n, after, m)
	}
}
