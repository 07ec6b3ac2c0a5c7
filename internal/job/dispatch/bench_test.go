package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/placement"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// coreHarness drives one core at the scale target and answers each call
// immediately.
type coreHarness struct {
	core         *Core
	fleet        Fleet
	now          time.Time
	startTime    time.Time
	document     *spec.Document
	workers      map[unit.InstanceID]map[worker.Ref]*worker.Status
	taskEnds     map[worker.Ref]unit.WorkerTime // when the work of each attempt is done
	revision     unit.Revision
	jobs         int    // number of submitted jobs
	starts       int    // number of start orders
	ledger       []byte // as last written
	records      []JobChanged
	evictions    int  // number of checkpoint, stop and throttle orders
	ledgerSilent bool // leave ledger writes unanswered
	lastOrders   SendOrders
	lastJobWrite *WriteJob
	writes       int // number of answered ledger writes
}

const (
	benchWorkers = 80
	benchRate    = 22               // starts per second: 1,200 over 56 shards
	benchWork    = 36 * time.Second // keeps about 800 tasks running
)

func newCoreHarness() *coreHarness {
	startTime := time.Unix(1e6, 0)
	h := &coreHarness{
		now: startTime, startTime: startTime, workers: map[unit.InstanceID]map[worker.Ref]*worker.Status{},
		taskEnds: map[worker.Ref]unit.WorkerTime{},
		document: &spec.Document{
			Classes: []spec.Class{{Name: "batch", Kind: spec.KindBatch}},
			Teams:   []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1 << 40, Memory: 1 << 60}}},
			Zones:   []spec.Zone{{Name: "z1"}},
		},
	}
	h.core, h.fleet = NewCore(Settings{Shard: unit.ShardID{Zone: "z1"}, Epoch: 1, InheritedExpiry: startTime, Placer: placement.NewFirstFit()}), Fleet{ZoneShards: 1}
	f := &h.fleet
	for n := range benchWorkers {
		id := unit.InstanceID(fmt.Sprintf("kyushu-kum-rack-%02d-worker-%03d", n/11, n))
		h.workers[id] = map[worker.Ref]*worker.Status{}
		f.Workers = append(f.Workers, ListedWorker{ID: id, Rack: unit.RackID(fmt.Sprint(n / 11)), Capacity: benchCapacity, Live: true})
		f.Largest = f.Largest.Include(id, benchCapacity)
	}
	h.step(*f)
	return h
}

var benchCapacity = unit.Resources{Cores: 64000, Memory: 250 << 30}

func (h *coreHarness) clock() unit.WorkerTime { return unit.WorkerTime(h.now.Sub(h.startTime)) + 1 }

func (h *coreHarness) step(e Event) {
	for _, a := range h.core.Step(h.now, e) {
		if answer := h.answerAction(a); answer != nil {
			h.step(answer)
		}
	}
}

func (h *coreHarness) answerAction(a Action) Event {
	switch a := a.(type) {
	case ReadLedger:
		return LedgerRead{Value: h.ledger, Revision: h.revision}
	case WriteLedger:
		h.revision++
		if h.ledgerSilent {
			return nil
		}
		h.ledger = a.Value
		h.writes++
		return LedgerWritten{Revision: h.revision}
	case ListJobs:
		return JobsListed{Jobs: h.records}
	case WriteJob:
		h.lastJobWrite = &a
		h.revision++
		return JobWritten{Job: a.Job, Revision: h.revision}
	case SendOrders:
		h.lastOrders = a
		reply := worker.OrderReply{Clock: h.clock()}
		for _, o := range a.Batch.Orders {
			if o.Action != worker.ActionStart {
				h.evictions++
				continue
			}
			h.starts++
			h.taskEnds[o.Ref] = h.clock().Add(benchWork)
			h.workers[a.Worker][o.Ref] = &worker.Status{
				Ref: o.Ref, Phase: worker.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd,
			}
			reply.Results = append(reply.Results, worker.Result{Ref: o.Ref, Code: worker.CodeOK})
		}
		return OrdersSent{Worker: a.Worker, Sent: h.now, Received: h.now, Reply: reply}
	case SendHeartbeat:
		tasks := h.workers[a.Worker]
		for _, r := range a.Heartbeat.Renew {
			tasks[r.Ref].LeaseEnd = r.LeaseEnd
		}
		for _, ref := range a.Heartbeat.Forget {
			delete(tasks, ref)
			delete(h.taskEnds, ref)
		}
		r := worker.Report{Clock: h.clock(), Boot: "b", State: worker.StateServing, Capacity: benchCapacity}
		for ref, s := range tasks {
			if h.taskEnds[ref] <= r.Clock {
				s.Phase = worker.PhaseDone
			}
			r.Tasks = append(r.Tasks, *s)
		}
		return HeartbeatSent{Worker: a.Worker, Sent: h.now, Received: h.now, Report: r}
	}
	return nil
}

// runSecond advances the time by one second, in which one job arrives.
func (h *coreHarness) runSecond() {
	h.jobs++
	j := queue.Job{
		ID: unit.JobID(fmt.Sprintf("reconcile-2026-12-04-%06d", h.jobs)), Class: "batch", Team: "desk",
		Tasks: benchRate, Size: unit.Resources{Cores: 4000, Memory: 1 << 30}, Work: unit.Duration(benchWork),
		Time: h.now.UnixMilli(),
	}
	h.revision++
	changed := JobChanged{Job: j.ID, Revision: h.revision, Record: ledger.Record{
		Job: j, Parts: []ledger.Part{{Shard: h.core.Shard, Count: benchRate}},
	}}
	h.records = append(h.records, changed)
	h.step(changed)
	for range time.Second / tickInterval {
		h.now = h.now.Add(tickInterval)
		h.tick(h.confirmed())
	}
}

// confirmed returns start conditions that allow starts.
func (h *coreHarness) confirmed() StartConditions {
	return StartConditions{
		ValidUntil: h.now.Add(5 * time.Second), StartUntil: h.now.Add(3 * time.Second),
		NotAfter: h.now.Add(4 * time.Second), Document: h.document,
	}
}

func (h *coreHarness) tick(c StartConditions) {
	h.step(c)
	h.step(Tick{})
}

// TestNoEvictionOnMissingState guards against the eviction of running tasks while a new
// owner does not yet have the configuration or the instance list, or while a live
// worker is missing from that list.
func TestNoEvictionOnMissingState(t *testing.T) {
	tests := []struct {
		name     string
		document bool // the configuration is known
		listed   bool // the workers are in the instance list
		leaving  bool // the workers are leaving
		evicted  bool // whether tasks are evicted
	}{
		{"all known", true, true, false, false},
		{"no configuration", false, true, false, false},
		{"workers not listed", true, false, false, false},
		{"neither", false, false, false, false},
		{"workers leaving", true, true, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newCoreHarness()
			for range 3 {
				h.runSecond()
			}
			h.core = NewCore(Settings{
				Shard: h.core.Shard, Epoch: 2, InheritedExpiry: h.now.Add(time.Hour), Placer: placement.NewFirstFit(),
			})
			if !tt.document {
				h.document = nil
			}
			fleet := h.fleet
			fleet.Workers = slices.Clone(fleet.Workers)
			for n := range fleet.Workers {
				fleet.Workers[n].Live = !tt.leaving
			}
			if !tt.listed {
				fleet.Workers = nil
			}
			h.step(fleet)
			h.evictions = 0
			for range 8 {
				h.runSecond()
			}
			if evicted := h.evictions > 0; evicted != tt.evicted {
				t.Errorf("%d orders against running tasks; want some: %v", h.evictions, tt.evicted)
			}
		})
	}
}

// BenchmarkSecond measures one second of a shard at the peak load of the scale
// target.
func BenchmarkSecond(b *testing.B) {
	h := newCoreHarness()
	for range 120 {
		h.runSecond()
	}
	h.starts, h.writes = 0, 0
	b.ReportAllocs()
	for b.Loop() {
		h.runSecond()
	}
	placed := 0
	for _, j := range h.core.jobs {
		placed += j.placedTasks
	}
	b.ReportMetric(float64(h.starts)/float64(b.N), "starts/op")
	b.ReportMetric(float64(h.writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(h.starts, 1)), "ns/start")
	b.ReportMetric(float64(placed), "tasks")
	b.ReportMetric(float64(len(h.ledger)), "ledger-B")
}
