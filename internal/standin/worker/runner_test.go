package worker

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
)

const second = unit.WorkerTime(time.Second)

var testSettings = Settings{
	Name:     "w1",
	Capacity: unit.Resources{Cores: 8000, Memory: 800, Accelerators: 1},
	Reserved: unit.Resources{Cores: 2000, Memory: 200},
	Slots:    4,
	UsageLag: 2 * time.Second,
}

func testRef(index unit.TaskIndex, attempt unit.Attempt) protocol.Ref {
	return protocol.Ref{Task: unit.TaskID{Job: "j", Index: index}, Attempt: attempt}
}

// startOrder returns a start with a lease to 15 s and a not-after of 4 s.
func startOrder(ref protocol.Ref, change func(*protocol.Order)) protocol.Order {
	o := protocol.Order{
		Ref: ref, Action: protocol.ActionStart, Class: "batch",
		Size:     unit.Resources{Cores: 2000, Memory: 100},
		Work:     unit.Duration(10 * time.Second),
		LeaseEnd: 15 * second, NotAfter: 4 * second,
	}
	if change != nil {
		change(&o)
	}
	return o
}

// TestOrders guards against a worker that starts what it must refuse, or that
// treats a repeated order as a new one.
func TestOrders(t *testing.T) {
	ref := testRef(0, 1)
	act := func(action protocol.Action) protocol.Order { return protocol.Order{Ref: ref, Action: action} }
	type call struct {
		at    unit.WorkerTime
		order protocol.Order
		want  protocol.Code
	}
	tests := []struct {
		name      string
		draining  bool
		failing   bool
		calls     []call
		at        unit.WorkerTime // of the final heartbeat
		wantPhase protocol.Phase
	}{
		{name: "runs to its end", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
		}, at: 11 * second, wantPhase: protocol.PhaseDone},
		{name: "still running before its end", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
		}, at: 10 * second, wantPhase: protocol.PhaseRunning},
		{name: "start repeated", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, startOrder(ref, nil), protocol.CodeOK},
		}, at: 11 * second, wantPhase: protocol.PhaseDone},
		{name: "start after not-after", calls: []call{
			{4*second + 1, startOrder(ref, nil), protocol.CodeLate},
		}, at: 5 * second},
		{name: "start under an expired lease", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.LeaseEnd = second }), protocol.CodeLate},
		}, at: 5 * second},
		{name: "start without a size", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Size = unit.Resources{} }), protocol.CodeInvalid},
		}, at: 5 * second},
		{name: "start on a draining worker", draining: true, calls: []call{
			{second, startOrder(ref, nil), protocol.CodeDraining},
		}, at: 5 * second},
		{name: "no cores left", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Size.Cores = 6001 }), protocol.CodeNoCapacity},
		}, at: 5 * second},
		{name: "no accelerators left", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Size.Accelerators = 2 }), protocol.CodeNoCapacity},
		}, at: 5 * second},
		{name: "no memory left for a second task", calls: []call{
			{second, startOrder(testRef(9, 1), func(o *protocol.Order) { o.Size.Memory = 501 }), protocol.CodeOK},
			{second, startOrder(ref, nil), protocol.CodeNoCapacity},
		}, at: 5 * second},
		{name: "resources freed by an ended task", calls: []call{
			{second, startOrder(testRef(9, 1), func(o *protocol.Order) { o.Size.Memory = 501; o.Work = 1 }), protocol.CodeOK},
			{2 * second, startOrder(ref, nil), protocol.CodeOK},
		}, at: 5 * second, wantPhase: protocol.PhaseRunning},
		{name: "lease not renewed", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Work = 0 }), protocol.CodeOK},
		}, at: 15 * second, wantPhase: protocol.PhaseExpired},
		{name: "stop after the lease expired", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Work = 0 }), protocol.CodeOK},
			{16 * second, act(protocol.ActionStop), protocol.CodeEnded},
		}, at: 17 * second, wantPhase: protocol.PhaseExpired},
		{name: "stop repeated", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, act(protocol.ActionStop), protocol.CodeOK},
			{3 * second, act(protocol.ActionStop), protocol.CodeOK},
		}, at: 20 * second, wantPhase: protocol.PhaseStopped},
		{name: "checkpoint after a stop", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, act(protocol.ActionStop), protocol.CodeOK},
			{3 * second, act(protocol.ActionCheckpoint), protocol.CodeEnded},
		}, at: 4 * second, wantPhase: protocol.PhaseStopped},
		{name: "stop of an unknown attempt", calls: []call{
			{second, act(protocol.ActionStop), protocol.CodeMissing},
		}, at: 2 * second},
		{name: "unknown action", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{second, act("halt"), protocol.CodeInvalid},
		}, at: 2 * second, wantPhase: protocol.PhaseRunning},
		{name: "throttle to half speed", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, protocol.Order{Ref: ref, Action: protocol.ActionThrottle, Share: 0.5}, protocol.CodeOK},
		}, at: 14 * second, wantPhase: protocol.PhaseRunning},
		{name: "throttle to almost nothing", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, protocol.Order{Ref: ref, Action: protocol.ActionThrottle, Share: math.SmallestNonzeroFloat64}, protocol.CodeOK},
		}, at: 14 * second, wantPhase: protocol.PhaseRunning},
		{name: "throttle lifted", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, protocol.Order{Ref: ref, Action: protocol.ActionThrottle, Share: 0.5}, protocol.CodeOK},
			{4 * second, protocol.Order{Ref: ref, Action: protocol.ActionThrottle, Share: 1}, protocol.CodeOK},
		}, at: 12 * second, wantPhase: protocol.PhaseDone},
		{name: "throttle to nothing", calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
			{2 * second, act(protocol.ActionThrottle), protocol.CodeInvalid},
		}, at: 3 * second, wantPhase: protocol.PhaseRunning},
		{name: "worker that fails everything", failing: true, calls: []call{
			{second, startOrder(ref, nil), protocol.CodeOK},
		}, at: 2 * second, wantPhase: protocol.PhaseFailed},
		{name: "task that fails everywhere", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Payload = payloadFail }), protocol.CodeOK},
		}, at: 2 * second, wantPhase: protocol.PhaseFailed},
		{name: "resumed from a checkpoint", calls: []call{
			{second, startOrder(ref, func(o *protocol.Order) { o.Checkpoint = newCheckpoint(ref, 9*time.Second) }), protocol.CodeOK},
		}, at: 2 * second, wantPhase: protocol.PhaseDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRunner(testSettings, "boot")
			r.draining, r.failing = test.draining, test.failing
			fence := protocol.Fence{Shard: "z.0", Epoch: 1}
			for i, c := range test.calls {
				reply, _, ok := r.orders(c.at, protocol.OrderBatch{Boot: "boot", Fence: fence, Orders: []protocol.Order{c.order}})
				if !ok || reply.Results[0].Code != c.want {
					t.Errorf("call %d: got %v, want code %q", i, reply.Results, c.want)
				}
			}
			report, _, _ := r.heartbeat(test.at, protocol.Heartbeat{Fence: fence})
			var phase protocol.Phase
			for _, s := range report.Tasks {
				if s.Ref == ref {
					phase = s.Phase
				}
			}
			if phase != test.wantPhase {
				t.Errorf("phase: got %q, want %q", phase, test.wantPhase)
			}
		})
	}
}

// TestFence guards against a replaced owner that can still change something.
func TestFence(t *testing.T) {
	tests := []struct {
		name   string
		fence  protocol.Fence
		wantOK bool
	}{
		{"same epoch", protocol.Fence{Shard: "z.0", Epoch: 5}, true},
		{"higher epoch", protocol.Fence{Shard: "z.0", Epoch: 6}, true},
		{"lower epoch", protocol.Fence{Shard: "z.0", Epoch: 4}, false},
		{"other shard", protocol.Fence{Shard: "z.1", Epoch: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRunner(testSettings, "boot")
			r.heartbeat(second, protocol.Heartbeat{Fence: protocol.Fence{Shard: "z.0", Epoch: 5}})
			batch := protocol.OrderBatch{Boot: "boot", Fence: test.fence, Orders: []protocol.Order{startOrder(testRef(0, 1), nil)}}
			_, highest, ok := r.orders(2*second, batch)
			if ok != test.wantOK || !ok && highest != 5 {
				t.Errorf("orders: got ok %v with epoch %d, want ok %v", ok, highest, test.wantOK)
			}
			if started := len(r.attempts) == 1; started != test.wantOK {
				t.Errorf("started: got %v, want %v", started, test.wantOK)
			}
		})
	}
}

// TestForget guards against an end that is lost before the owner has recorded
// it, and against a late start that runs a forgotten attempt again.
func TestForget(t *testing.T) {
	r := newRunner(testSettings, "boot")
	fence := protocol.Fence{Shard: "z.0", Epoch: 1}
	ref := testRef(0, 1)
	batch := protocol.OrderBatch{Boot: "boot", Fence: fence, Orders: []protocol.Order{
		startOrder(ref, func(o *protocol.Order) { o.Work = 1 }),
	}}
	forget := protocol.Heartbeat{Fence: fence, Forget: []protocol.Ref{ref}}
	r.orders(second, batch)
	if report, _, _ := r.heartbeat(second, forget); len(report.Tasks) != 1 {
		t.Errorf("running attempt was forgotten")
	}
	if report, _, _ := r.heartbeat(2*second, protocol.Heartbeat{Fence: fence}); len(report.Tasks) != 1 {
		t.Errorf("ended attempt was lost")
	}
	if report, _, _ := r.heartbeat(2*second, forget); len(report.Tasks) != 0 {
		t.Errorf("ended attempt was kept after Forget")
	}
	for _, at := range []unit.WorkerTime{3 * second, 4 * second, 5 * second} {
		reply, _, _ := r.orders(at, batch)
		if code := reply.Results[0].Code; code != protocol.CodeEnded && code != protocol.CodeLate {
			t.Errorf("start at %v of a forgotten attempt: got %q", at, code)
		}
	}
	if len(r.forgotten) != 0 {
		t.Errorf("forgotten attempts kept past their not-after: %v", r.forgotten)
	}
}

// TestUsage guards against reports that do not lag or that miss a throttle.
func TestUsage(t *testing.T) {
	r := newRunner(testSettings, "boot")
	fence := protocol.Fence{Shard: "z.0", Epoch: 1}
	ref := testRef(0, 1)
	r.setServing(0, 2)
	r.orders(second, protocol.OrderBatch{Boot: "boot", Fence: fence, Orders: []protocol.Order{startOrder(ref, nil)}})
	r.orders(3*second, protocol.OrderBatch{Boot: "boot", Fence: fence, Orders: []protocol.Order{
		{Ref: ref, Action: protocol.ActionThrottle, Share: 0.5},
	}})
	service := func(at unit.WorkerTime) protocol.Usage {
		return protocol.Usage{Clock: at, Cores: 1000, Memory: 200}
	}
	tests := []struct {
		name string
		at   unit.WorkerTime
		want []protocol.Usage
	}{
		{"before the lag has passed", 2 * second, nil},
		{"before the start", 3 * second, []protocol.Usage{service(second)}},
		{"full speed", 5 * second, []protocol.Usage{
			service(3 * second), {Ref: ref, Clock: 3 * second, Cores: 2000, Memory: 100},
		}},
		{"half throttled within the window", 5*second + second/2, []protocol.Usage{
			service(3*second + second/2), {Ref: ref, Clock: 3*second + second/2, Cores: 1500, Memory: 100},
		}},
		{"throttled", 6 * second, []protocol.Usage{
			service(4 * second), {Ref: ref, Clock: 4 * second, Cores: 1000, Memory: 100},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report, _, _ := r.heartbeat(test.at, protocol.Heartbeat{Fence: fence})
			if diff := cmp.Diff(test.want, report.Usage); diff != "" {
				t.Errorf("usage (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBoot guards against a start whose not-after was computed for the clock of an
// earlier boot.
func TestBoot(t *testing.T) {
	tests := []struct {
		name string
		boot string
		want protocol.Code
	}{
		{"present boot", "boot", protocol.CodeOK},
		{"earlier boot", "earlier", protocol.CodeLate},
		{"no boot", "", protocol.CodeLate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRunner(testSettings, "boot")
			batch := protocol.OrderBatch{
				Fence: protocol.Fence{Shard: "z.0", Epoch: 1}, Boot: test.boot,
				Orders: []protocol.Order{startOrder(testRef(0, 1), nil)},
			}
			reply, _, ok := r.orders(second, batch)
			if !ok || reply.Results[0].Code != test.want {
				t.Errorf("got %v, want code %q", reply.Results, test.want)
			}
		})
	}
}

// TestInflation guards against interference that does not depend on the class,
// the share or the load.
func TestInflation(t *testing.T) {
	settings := testSettings
	settings.Interference = map[unit.ClassID]float64{"batch": 0.8}
	tests := []struct {
		name  string
		class unit.ClassID
		slots int
		share float64
		want  float64
	}{
		{"no task of a class that interferes", "quiet", 4, 1, 1},
		{"all slots in use", "batch", 4, 1, 1.2},
		{"half the slots in use", "batch", 2, 1, 1.1},
		{"throttled", "batch", 4, 0.5, 1.1},
		{"no other request", "batch", 0, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRunner(settings, "boot")
			fence := protocol.Fence{Shard: "z.0", Epoch: 1}
			ref := testRef(0, 1)
			r.orders(second, protocol.OrderBatch{Boot: "boot", Fence: fence, Orders: []protocol.Order{
				startOrder(ref, func(o *protocol.Order) { o.Class = test.class }),
				{Ref: ref, Action: protocol.ActionThrottle, Share: test.share},
			}})
			r.setServing(second, test.slots)
			if got := r.inflation(second); got < test.want-1e-9 || got > test.want+1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestRunnerInvariants guards against any sequence of calls that overcommits the
// worker, runs an attempt twice or past its lease, or obeys a stale epoch.
func TestRunnerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRunner(testSettings, "boot")
		var now unit.WorkerTime
		var highest unit.Epoch
		leases := map[protocol.Ref]unit.WorkerTime{} // latest granted
		ref := rapid.Custom(func(t *rapid.T) protocol.Ref {
			return testRef(unit.TaskIndex(rapid.IntRange(0, 3).Draw(t, "index")), unit.Attempt(rapid.IntRange(1, 2).Draw(t, "attempt")))
		})
		epoch := rapid.Custom(func(t *rapid.T) unit.Epoch { return unit.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")) })
		span := rapid.Custom(func(t *rapid.T) unit.WorkerTime {
			return unit.WorkerTime(rapid.IntRange(-2, 8).Draw(t, "span")) * second
		})
		runs := map[protocol.Ref]int{} // how often the ref may have run: once, and once more after each Forget
		grant := func(ref protocol.Ref, end unit.WorkerTime) { leases[ref] = max(leases[ref], end) }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += max(0, span.Draw(t, "wait")) },
			"order": func(t *rapid.T) {
				o := protocol.Order{
					Ref:    ref.Draw(t, "ref"),
					Action: rapid.SampledFrom([]protocol.Action{"start", "start", "stop", "checkpoint", "throttle"}).Draw(t, "action"),
					Size:   unit.Resources{Cores: unit.Millicores(rapid.IntRange(0, 4000).Draw(t, "cores")), Memory: unit.Bytes(rapid.IntRange(0, 400).Draw(t, "memory"))},
					Work:   unit.Duration(max(0, span.Draw(t, "work"))),
					Share:  rapid.Float64Range(0, 1).Draw(t, "share"), LeaseEnd: now + span.Draw(t, "lease"), NotAfter: now + span.Draw(t, "notafter"),
				}
				e := epoch.Draw(t, "epoch")
				_, _, ok := r.orders(now, protocol.OrderBatch{Boot: "boot", Fence: protocol.Fence{Shard: "z.0", Epoch: e}, Orders: []protocol.Order{o}})
				if ok != (e >= highest) {
					t.Fatalf("epoch %d after %d: got %v", e, highest, ok)
				}
				if highest = max(highest, e); ok && o.Action == protocol.ActionStart {
					grant(o.Ref, o.LeaseEnd)
				}
			},
			"heartbeat": func(t *rapid.T) {
				renewed, forgotten := ref.Draw(t, "renewed"), ref.Draw(t, "forgotten")
				h := protocol.Heartbeat{
					Fence: protocol.Fence{Shard: "z.0", Epoch: epoch.Draw(t, "epoch")},
					Renew: []protocol.Renewal{{Ref: renewed, LeaseEnd: now + span.Draw(t, "lease")}}, Forget: []protocol.Ref{forgotten},
				}
				if _, _, ok := r.heartbeat(now, h); ok {
					grant(renewed, h.Renew[0].LeaseEnd)
					runs[forgotten]++
				}
				highest = max(highest, h.Fence.Epoch)
			},
			"": func(t *rapid.T) {
				r.advance(now)
				var running unit.Resources
				for ref, a := range r.attempts {
					if a.status.Phase != protocol.PhaseRunning {
						continue
					}
					running = running.Add(a.status.Size)
					if leases[ref] <= now {
						t.Fatalf("%v runs at %d past its lease %d", ref, now, leases[ref])
					}
				}
				if running != r.committed || !running.Add(testSettings.Reserved).Fits(testSettings.Capacity) {
					t.Fatalf("running %v, committed %v", running, r.committed)
				}
				seen := map[protocol.Ref]int{}
				for _, run := range r.ledger.runs {
					if seen[run.status.Ref]++; seen[run.status.Ref] > 1+runs[run.status.Ref] {
						t.Fatalf("%v ran twice", run.status.Ref)
					}
				}
			},
		})
	})
}
