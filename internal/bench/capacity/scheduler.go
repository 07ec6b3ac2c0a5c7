package capacity

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/dispatch"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/placement"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Sizes of jobs, which the requirements do not state. job/dispatch spreads a job
// of more than wholeTasks over at most maxParts shards, and each part costs one
// write of the job's record at its end.
const (
	tasksPerJob  = 500
	wholeTasks   = 8
	maxParts     = 8
	tasksPerPart = 63 // of a job on one of maxParts shards
)

// Load is the load of one worker in the simulation of a shard.
type Load struct {
	Standing float64 // tasks that run until they are stopped
	Batch    float64 // running tasks that end
	Starts   float64 // per second; each batch task runs for Batch / Starts seconds
}

// Counts are what one shard costs in the measured span of the simulation.
type Counts struct {
	Span        time.Duration
	Running     int // tasks at the end of the span
	Heartbeats  int
	OrderCalls  int
	Starts      int
	WorkerBytes int // JSON bodies in both directions
	LedgerCalls int
	LedgerBytes int
	LedgerSize  int // of the last write
	JobWrites   int
	Notes       int // events of the journal
	Steps       int
	Used        time.Duration // processor time of the core
}

// Times of the simulation.
const (
	roundTrip    = 2 * time.Millisecond
	tickInterval = 250 * time.Millisecond // of the shell; it bounds the steps of an idle shard from below
)

// simulation drives the core of one shard in virtual time. Its workers and store
// answer every call after roundTrip, without faults.
type simulation struct {
	core     *dispatch.Core
	document *spec.Document
	now      time.Time
	due      []scheduled // by time
	workers  map[unit.InstanceID]*simulated
	writes   unit.Revision
	jobs     int
	counts   Counts
	fault    error
}

type scheduled struct {
	at    time.Time
	event func() dispatch.Event
}

// simulated is a worker.
type simulated struct {
	tasks []*running // in order of their starts, so that a run repeats exactly
	ended int        // of tasks
}

type running struct {
	status worker.Status
	ends   time.Time // zero: never
}

// simulate runs a shard of so many workers for warm-up and then the span.
func simulate(workers int, load Load, span time.Duration) (Counts, *dispatch.Core, error) {
	id := unit.ShardID{Zone: "guj-vadodara", Bucket: 7}
	doc := document(80)
	s := &simulation{now: start, document: &doc, workers: map[unit.InstanceID]*simulated{}}
	s.core = dispatch.NewCore(dispatch.Settings{
		Shard: id, Epoch: 42, InheritedExpiry: start, Placer: placement.New(nil),
	})
	s.fleet(workers)
	s.step(dispatch.Tick{}) // begins the takeover
	work := time.Duration(0)
	if load.Starts > 0 {
		work = time.Duration(load.Batch / load.Starts * float64(time.Second))
	}
	s.advance(start.Add(5 * time.Second)) // the core has read the job records
	s.submit("sync-1", int(load.Standing*float64(workers)+0.5), 0)
	if load.Starts == 0 {
		s.submit("sync-2", int(load.Batch*float64(workers)+0.5), 0)
	}
	// The standing tasks are up after a few seconds, and batch tasks are in
	// balance once the first ones have ended.
	warm := start.Add(20*time.Second + work + work/4)
	end := warm.Add(span)
	// The parts grow with the shard, so that as many jobs arrive per second at
	// each size as at that of the target.
	part := max(tasksPerPart*workers/80, 1)
	var owed float64
	var before Counts
	measuring := false
	for tick := s.now; tick.Before(end); tick = tick.Add(tickInterval) {
		s.advance(tick)
		if !measuring && !tick.Before(warm) {
			measuring, before = true, s.counts
		}
		for owed += load.Starts * float64(workers) * tickInterval.Seconds(); owed >= float64(part); owed -= float64(part) {
			s.submit("takeoff-1", part, work)
		}
		s.step(dispatch.Tick{})
	}
	s.advance(end)
	c := s.counts.since(before)
	c.Span = span
	for _, w := range s.workers {
		c.Running += len(w.tasks) - w.ended
	}
	return c, s.core, s.fault
}

func (c Counts) since(o Counts) Counts {
	c.Heartbeats -= o.Heartbeats
	c.OrderCalls -= o.OrderCalls
	c.Starts -= o.Starts
	c.WorkerBytes -= o.WorkerBytes
	c.LedgerCalls -= o.LedgerCalls
	c.LedgerBytes -= o.LedgerBytes
	c.JobWrites -= o.JobWrites
	c.Notes -= o.Notes
	c.Steps -= o.Steps
	c.Used -= o.Used
	return c
}

// confirmed is the event that the shell puts before every other one.
func (s *simulation) confirmed() dispatch.Event {
	return dispatch.StartConditions{
		ValidUntil: s.now.Add(4 * time.Second), StartUntil: s.now.Add(2 * time.Second),
		NotAfter: s.now.Add(3 * time.Second), Document: s.document,
	}
}

func (s *simulation) fleet(workers int) {
	var f dispatch.Fleet
	capacity := unit.Resources{Cores: cores, Memory: memory, Accelerators: 1}
	for i := range workers {
		id := instanceID(i)
		s.workers[id] = &simulated{}
		f.Workers = append(f.Workers, dispatch.ListedWorker{
			ID: id, Rack: unit.RackID("r" + string(rune('a'+i/workersPerRack))), Capacity: capacity, Live: true,
		})
		f.Largest = f.Largest.Include(id, capacity)
	}
	s.step(f)
}

func (s *simulation) submit(class unit.ClassID, tasks int, work time.Duration) {
	if tasks == 0 {
		return
	}
	j := job(s.jobs, class, tasks, work)
	s.jobs++
	j.Time = s.now.UnixMilli()
	r := ledger.Record{Job: j, Parts: []ledger.Part{{Shard: s.core.Shard, Count: j.Tasks}}}
	s.writes++
	changed := dispatch.JobChanged{Job: j.ID, Record: r, Revision: s.writes}
	s.schedule(func() dispatch.Event { return changed })
}

func (s *simulation) schedule(event func() dispatch.Event) {
	s.due = append(s.due, scheduled{s.now.Add(roundTrip), event}) // one delay for all keeps the order
}

// advance handles everything that is due until the time.
func (s *simulation) advance(until time.Time) {
	for len(s.due) > 0 && !s.due[0].at.After(until) {
		next := s.due[0]
		s.due = s.due[1:]
		s.now = next.at
		s.step(next.event())
	}
	s.now = until
}

func (s *simulation) step(e dispatch.Event) {
	before := processorUsed()
	actions := slices.Concat(s.core.Step(s.now, s.confirmed()), s.core.Step(s.now, e))
	s.counts.Used += processorUsed() - before
	s.counts.Steps++
	for _, a := range actions {
		s.carryOut(a)
	}
}

func (s *simulation) carryOut(a dispatch.Action) {
	sent := s.now
	switch a := a.(type) {
	case dispatch.ReadLedger:
		s.schedule(func() dispatch.Event { return dispatch.LedgerRead{} })
	case dispatch.WriteLedger:
		s.counts.LedgerCalls++
		s.counts.LedgerBytes += len(a.Value)
		s.counts.LedgerSize = len(a.Value)
		s.writes++
		written := dispatch.LedgerWritten{Revision: s.writes}
		s.schedule(func() dispatch.Event { return written })
	case dispatch.ListJobs:
		s.schedule(func() dispatch.Event { return dispatch.JobsListed{} })
	case dispatch.WriteJob:
		s.counts.JobWrites++
		s.writes++
		written := dispatch.JobWritten{Job: a.Job, Revision: s.writes}
		s.schedule(func() dispatch.Event { return written })
	case dispatch.SendOrders:
		s.schedule(func() dispatch.Event {
			reply := s.orders(a)
			return dispatch.OrdersSent{Worker: a.Worker, Sent: sent, Received: s.now, Reply: reply}
		})
	case dispatch.SendHeartbeat:
		s.schedule(func() dispatch.Event {
			r := s.heartbeat(a)
			return dispatch.HeartbeatSent{Worker: a.Worker, Sent: sent, Received: s.now, Report: r}
		})
	case dispatch.RecordEvent:
		s.counts.Notes++
	default:
		s.fault = errors.Errorf("unexpected action %T", a)
	}
}

// clock is the worker's clock, which all simulated workers share.
func (s *simulation) clock() unit.WorkerTime { return unit.WorkerTime(s.now.Sub(start)) + 1 }

func (s *simulation) orders(a dispatch.SendOrders) worker.OrderReply {
	w := s.workers[a.Worker]
	reply := worker.OrderReply{Clock: s.clock()}
	for _, o := range a.Batch.Orders {
		if o.Action == worker.ActionStart {
			t := &running{status: worker.Status{
				Ref: o.Ref, Phase: worker.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd,
			}}
			if o.Work > 0 {
				t.ends = s.now.Add(o.Work.Std())
			}
			w.tasks = append(w.tasks, t)
			s.counts.Starts++
		}
		reply.Results = append(reply.Results, worker.Result{Ref: o.Ref, Code: worker.CodeOK})
	}
	s.counts.OrderCalls++
	s.counts.WorkerBytes += s.size(a.Batch) + s.size(reply)
	return reply
}

func (s *simulation) heartbeat(a dispatch.SendHeartbeat) worker.Report {
	w := s.workers[a.Worker]
	for _, ref := range a.Heartbeat.Forget {
		w.tasks = slices.DeleteFunc(w.tasks, func(t *running) bool { return t.status.Ref == ref })
	}
	for _, renewal := range a.Heartbeat.Renew {
		for _, t := range w.tasks {
			if t.status.Ref == renewal.Ref {
				t.status.LeaseEnd = renewal.LeaseEnd
			}
		}
	}
	r := report(0)
	r.Clock, w.ended = s.clock(), 0
	for _, t := range w.tasks {
		if !t.ends.IsZero() && !s.now.Before(t.ends) {
			t.status.Phase = worker.PhaseDone
			w.ended++
		} else {
			r.Usage = append(r.Usage, worker.Usage{Ref: t.status.Ref, Clock: r.Clock, Cores: 987, Memory: 1234567890})
		}
		r.Tasks = append(r.Tasks, t.status)
	}
	s.counts.Heartbeats++
	s.counts.WorkerBytes += s.size(a.Heartbeat) + s.size(r)
	return r
}

// size returns the length of the JSON form.
func (s *simulation) size(body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		s.fault = errors.Errorf("encode body: %w", err)
	}
	return len(data)
}

// schedulerProbe measures a shard under a load at sizes of workers.
func schedulerProbe(name string, load Load, sizes []int, span time.Duration) probe {
	return probe{name, "workers", "job/dispatch", sizes, func(n int) (operation, error) {
		c, core, err := simulate(n, load, span)
		if err != nil {
			return operation{}, err
		}
		if want := int((load.Standing + load.Batch) * float64(n) / 2); c.Running < want {
			return operation{}, errors.Errorf("only %d tasks run, want %d or more", c.Running, want)
		}
		rate := func(count int) float64 { return float64(count) / span.Seconds() }
		return operation{state: core, more: []quantity{
			{" heartbeats", Rate, rate(c.Heartbeats)},
			{" order calls", Rate, rate(c.OrderCalls)},
			{" starts", Rate, rate(c.Starts)},
			{" bodies", Encoded, rate(c.WorkerBytes)},
			{" ledger writes", Rate, rate(c.LedgerCalls)},
			{" ledger bytes", Encoded, rate(c.LedgerBytes)},
			{" ledger size", Encoded, float64(c.LedgerSize)},
			{" job writes", Rate, rate(c.JobWrites)},
			{" events", Rate, rate(c.Notes)},
			{" steps", Rate, rate(c.Steps)},
			{" core", CPU, float64(c.Used.Microseconds()) / span.Seconds()},
		}}, nil
	}}
}
