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

// bench drives one core at the scale target with answers that come at once.
type bench struct {
	core     *Core
	fleet    Fleet
	now      time.Time
	zero     time.Time
	document *spec.Document
	workers  map[unit.InstanceID]map[worker.Ref]*worker.Status
	ends     map[worker.Ref]unit.WorkerTime
	revision unit.Revision
	jobs     int
	starts   int
	ledger   []byte // last written
	records  []JobChanged
	stops    int        // orders against tasks
	silent   bool       // ledger writes get no answer
	sent     SendOrders // the last one
	moved    *WriteJob  // the last one
	writes   int
}

const (
	benchWorkers = 80
	benchRate    = 22               // starts per second: 1,200 over 56 shards
	benchWork    = 36 * time.Second // about 800 tasks run
)

func newBench() *bench {
	zero := time.Unix(1e6, 0)
	b := &bench{
		now: zero, zero: zero, workers: map[unit.InstanceID]map[worker.Ref]*worker.Status{},
		ends: map[worker.Ref]unit.WorkerTime{},
		document: &spec.Document{
			Classes: []spec.Class{{Name: "batch", Kind: spec.KindBatch}},
			Teams:   []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1 << 40, Memory: 1 << 60}}},
			Zones:   []spec.Zone{{Name: "z1"}},
		},
	}
	b.core, b.fleet = NewCore(Settings{Shard: unit.ShardID{Zone: "z1"}, Epoch: 1, InheritedExpiry: zero, Placer: placement.NewFirstFit()}), Fleet{ZoneShards: 1}
	f := &b.fleet
	for n := range benchWorkers {
		id := unit.InstanceID(fmt.Sprintf("kyushu-kum-rack-%02d-worker-%03d", n/11, n))
		b.workers[id] = map[worker.Ref]*worker.Status{}
		f.Workers = append(f.Workers, ListedWorker{ID: id, Rack: unit.RackID(fmt.Sprint(n / 11)), Capacity: benchCapacity, Live: true})
		f.Largest = f.Largest.Include(id, benchCapacity)
	}
	b.step(*f)
	return b
}

var benchCapacity = unit.Resources{Cores: 64000, Memory: 250 << 30}

func (b *bench) clock() unit.WorkerTime { return unit.WorkerTime(b.now.Sub(b.zero)) + 1 }

func (b *bench) step(e Event) {
	for _, a := range b.core.Step(b.now, e) {
		if answer := b.answer(a); answer != nil {
			b.step(answer)
		}
	}
}

func (b *bench) answer(a Action) Event {
	switch a := a.(type) {
	case ReadLedger:
		return LedgerRead{Value: b.ledger, Revision: b.revision}
	case WriteLedger:
		b.revision++
		if b.silent {
			return nil
		}
		b.ledger = a.Value
		b.writes++
		return LedgerWritten{Revision: b.revision}
	case ListJobs:
		return JobsListed{Jobs: b.records}
	case WriteJob:
		b.moved = &a
		b.revision++
		return JobWritten{Job: a.Job, Revision: b.revision}
	case SendOrders:
		b.sent = a
		reply := worker.OrderReply{Clock: b.clock()}
		for _, o := range a.Batch.Orders {
			if o.Action != worker.ActionStart {
				b.stops++
				continue
			}
			b.starts++
			b.ends[o.Ref] = b.clock().Add(benchWork)
			b.workers[a.Worker][o.Ref] = &worker.Status{
				Ref: o.Ref, Phase: worker.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd,
			}
			reply.Results = append(reply.Results, worker.Result{Ref: o.Ref, Code: worker.CodeOK})
		}
		return OrdersSent{Worker: a.Worker, Sent: b.now, Received: b.now, Reply: reply}
	case SendHeartbeat:
		tasks := b.workers[a.Worker]
		for _, r := range a.Heartbeat.Renew {
			tasks[r.Ref].LeaseEnd = r.LeaseEnd
		}
		for _, ref := range a.Heartbeat.Forget {
			delete(tasks, ref)
			delete(b.ends, ref)
		}
		r := worker.Report{Clock: b.clock(), Boot: "b", State: worker.StateServing, Capacity: benchCapacity}
		for ref, s := range tasks {
			if b.ends[ref] <= r.Clock {
				s.Phase = worker.PhaseDone
			}
			r.Tasks = append(r.Tasks, *s)
		}
		return HeartbeatSent{Worker: a.Worker, Sent: b.now, Received: b.now, Report: r}
	}
	return nil
}

// second lets one second pass with the jobs that arrive in it.
func (b *bench) second() {
	b.jobs++
	j := queue.Job{
		ID: unit.JobID(fmt.Sprintf("reconcile-2026-12-04-%06d", b.jobs)), Class: "batch", Team: "desk",
		Tasks: benchRate, Size: unit.Resources{Cores: 4000, Memory: 1 << 30}, Work: unit.Duration(benchWork),
		Time: b.now.UnixMilli(),
	}
	b.revision++
	changed := JobChanged{Job: j.ID, Revision: b.revision, Record: ledger.Record{
		Job: j, Parts: []ledger.Part{{Shard: b.core.Shard, Count: benchRate}},
	}}
	b.records = append(b.records, changed)
	b.step(changed)
	for range time.Second / tickInterval {
		b.now = b.now.Add(tickInterval)
		b.tick(b.confirmed())
	}
}

func (b *bench) confirmed() StartConditions {
	return StartConditions{
		ValidUntil: b.now.Add(5 * time.Second), StartUntil: b.now.Add(3 * time.Second),
		NotAfter: b.now.Add(4 * time.Second), Document: b.document,
	}
}

func (b *bench) tick(c StartConditions) {
	b.step(c)
	b.step(Tick{})
}

// TestMissingKnowledge guards against tasks that are evicted because a new owner
// does not know the configuration or the list of workers yet, or because a live
// worker is missing from the list.
func TestMissingKnowledge(t *testing.T) {
	tests := []struct {
		name     string
		document bool
		listed   bool
		leaving  bool
		evicted  bool
	}{
		{"all known", true, true, false, false},
		{"no configuration", false, true, false, false},
		{"workers not listed", true, false, false, false},
		{"neither", false, false, false, false},
		{"workers leaving", true, true, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			for range 3 {
				b.second()
			}
			b.core = NewCore(Settings{
				Shard: b.core.Shard, Epoch: 2, InheritedExpiry: b.now.Add(time.Hour), Placer: placement.NewFirstFit(),
			})
			if !tt.document {
				b.document = nil
			}
			fleet := b.fleet
			fleet.Workers = slices.Clone(fleet.Workers)
			for n := range fleet.Workers {
				fleet.Workers[n].Live = !tt.leaving
			}
			if !tt.listed {
				fleet.Workers = nil
			}
			b.step(fleet)
			b.stops = 0
			for range 8 {
				b.second()
			}
			if evicted := b.stops > 0; evicted != tt.evicted {
				t.Errorf("%d orders against running tasks; want some: %v", b.stops, tt.evicted)
			}
		})
	}
}

// BenchmarkSecond measures one second of a shard at the peak of the scale target.
func BenchmarkSecond(b *testing.B) {
	m := newBench()
	for range 120 {
		m.second()
	}
	m.starts, m.writes = 0, 0
	b.ReportAllocs()
	for b.Loop() {
		m.second()
	}
	placed := 0
	for _, j := range m.core.jobs {
		placed += j.placed
	}
	b.ReportMetric(float64(m.starts)/float64(b.N), "starts/op")
	b.ReportMetric(float64(m.writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(m.starts, 1)), "ns/start")
	b.ReportMetric(float64(placed), "tasks")
	b.ReportMetric(float64(len(m.ledger)), "ledger-B")
}
