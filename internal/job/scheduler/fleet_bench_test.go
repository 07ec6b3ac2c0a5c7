package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Rates of a simulated fleet.
const (
	fleetReportGap      = 256 * time.Microsecond // between the reports of two workers
	fleetTickGap        = 50 * time.Millisecond
	fleetSnapshotGap    = 250 * time.Millisecond
	fleetCheckpointsGap = 3 * time.Second
	fleetPlacementShare = 0.25 // of the time, as the owner spends on placement
	fleetWarmUp         = 8 * time.Second
)

// benchRun is a run on a simulated worker.
type benchRun struct {
	task  graph.Task
	run   graph.RunNumber
	began time.Time
	takes time.Duration // 0 for a serving run, which does not end
}

// benchWorker is a simulated worker, which does what it is ordered and reports it.
type benchWorker struct {
	id          unit.InstanceID
	incarnation Incarnation
	runs        []benchRun
	ended       []End
	lastEnd     EndNumber
	sentAt      time.Time // when the heartbeat was sent that the next report answers
}

// benchFleet drives a core as its owner does: reports, outcomes of starts, placement
// passes, ticks and snapshots.
type benchFleet struct {
	core      *Core
	now       time.Time
	random    *rand.Rand
	workers   []*benchWorker
	backlog   int // jobs that wait
	byID      map[unit.InstanceID]*benchWorker
	jobs      int
	starts    int
	passes    int
	next      int // index of the worker that reports next
	placeAt   time.Time
	tickedAt  time.Time
	snappedAt time.Time
	heldAt    time.Time
	spent     struct{ reports, starts, place, tick, snapshot time.Duration }
}

func newBenchFleet(workers, backlog int) *benchFleet {
	f := &benchFleet{backlog: backlog, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), byID: map[unit.InstanceID]*benchWorker{}}
	f.core = New(Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}, 1, f.now)
	var list []Listing
	for i := range workers {
		w := &benchWorker{incarnation: 1, id: unit.InstanceID(fmt.Sprintf("i-%08x", i*7919))}
		f.workers, f.byID[w.id] = append(f.workers, w), w
		list = append(list, Listing{ID: w.id, Service: "s", Incarnation: 1, Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30}})
	}
	f.core.SetWorkers(list, f.now)
	f.core.ConfirmSnapshot(f.core.Snapshot())
	for _, w := range f.workers {
		w.sentAt = f.now
		f.core.HandleReport(w.id, Report{Incarnation: 1, RequestedAt: f.now}, f.now)
	}
	for i := range 2 * workers / 6 {
		f.addJob(graph.Step{
			Count: 6, Needs: unit.Resources{Cores: 13000, Memory: 26 << 30}, LongRunning: true,
			Image: fmt.Sprintf("serving-%d", i%10), TailTarget: 50 * time.Millisecond,
		})
	}
	for f.core.placementDue = true; f.now.Before(time.Unix(1_000_000, 0).Add(fleetWarmUp)); {
		f.step()
	}
	f.spent, f.starts, f.passes = struct{ reports, starts, place, tick, snapshot time.Duration }{}, 0, 0
	return f
}

func (f *benchFleet) addJob(s graph.Step) {
	f.jobs++
	f.core.AddJob(&graph.Job{
		ID: unit.JobID(fmt.Sprintf("j-%012x", f.jobs*104729)), Accepted: f.now, Steps: []graph.Step{s},
		Queue: graph.Queue{ID: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, 0, true, f.now)
}

// fillBacklog submits jobs, three of plain tasks for each one of best-effort tasks.
func (f *benchFleet) fillBacklog() {
	for len(f.core.readySteps) < f.backlog {
		if f.jobs%4 == 0 {
			f.addJob(graph.Step{
				Count: 8, Needs: unit.Resources{Cores: 7000, Memory: 13 << 30}, BestEffort: true, Checkpoints: true,
				Image: fmt.Sprintf("filling-%d", f.jobs/4%20), Estimate: 8 * time.Second,
			})
			continue
		}
		f.addJob(graph.Step{Count: 6, Needs: unit.Resources{Cores: 6000, Memory: 11 << 30}, Estimate: 1200 * time.Millisecond, Image: fmt.Sprintf("plain-%d", f.jobs%5)})
	}
}

// step passes the report of one worker to the core, and what is due at that time.
func (f *benchFleet) step() {
	f.now = f.now.Add(fleetReportGap)
	w := f.workers[f.next]
	f.next = (f.next + 1) % len(f.workers)
	report := f.report(w)
	f.fillBacklog()
	timed(&f.spent.reports, func() {
		f.core.HandleReport(w.id, report, f.now)
		f.core.AnswerSettled(w.id, report.RequestedAt)
		_, cursor := f.core.AckCursor(w.id)
		for len(w.ended) > 0 && w.ended[0].Number <= cursor {
			w.ended = w.ended[1:]
		}
		f.core.WantsLease(w.id)
		f.core.RecordLease(w.id, f.now.Add(6*time.Second))
		w.sentAt = f.now
		f.core.AwaitAnswer(w.id, w.sentAt)
	})
	f.afterUpdate()
	if f.now.Sub(f.tickedAt) >= fleetTickGap {
		f.tickedAt = f.now
		timed(&f.spent.tick, func() { f.core.Tick(f.now) })
		f.afterUpdate()
	}
	if f.now.Sub(f.snappedAt) >= fleetSnapshotGap {
		f.snappedAt = f.now
		timed(&f.spent.snapshot, func() { f.core.ConfirmSnapshot(f.core.Snapshot()) })
		f.core.RemoveFinalJobs(f.now.Add(-5*time.Second), 1000)
	}
	if f.now.Sub(f.heldAt) >= fleetCheckpointsGap {
		f.heldAt = f.now
		timed(&f.spent.snapshot, func() {
			f.core.HeldCheckpoints()
			f.core.InterferencePairs()
		})
	}
}

// afterUpdate places tasks, executes the orders and makes final states durable.
func (f *benchFleet) afterUpdate() {
	if !f.now.Before(f.placeAt) {
		var took time.Duration
		began := f.core.lastPlacement
		timed(&took, func() { f.core.Place(f.now) })
		if f.core.lastPlacement.After(began) {
			f.passes++
		}
		f.spent.place += took
		f.placeAt = f.now.Add(time.Duration(float64(took) / fleetPlacementShare))
	}
	for _, o := range f.core.TakeOrders() {
		timed(&f.spent.starts, func() {
			if f.core.BeginOrder(o, f.now.Add(6*time.Second), f.now) {
				f.execute(o)
			}
		})
	}
	for _, s := range f.core.TakeFinalStates() {
		f.core.ConfirmFinalState(s.Job, f.now)
	}
}

// execute carries out an order on its worker and passes the outcome to the core.
func (f *benchFleet) execute(o Order) {
	w := f.byID[o.Worker]
	switch o.Kind {
	case OrderStart:
		f.starts++
		spec := f.core.lookupTask(o.Task).step.spec
		takes := time.Duration(float64(spec.Estimate) * (0.8 + 0.4*f.random.Float64()))
		w.runs = append(w.runs, benchRun{o.Task, o.Run, f.now, takes})
		f.core.HandleStartOutcome(o, OutcomeDone, f.now)
	case OrderStop:
		for i, r := range w.runs {
			if r.task == o.Task && r.run == o.Run {
				w.end(i, EndStopped)
				break
			}
		}
		f.core.HandleStopOutcome(o, OutcomeDone, f.now)
	case OrderPace:
		f.core.HandlePaceOutcome(o, OutcomeDone, f.now)
	}
}

// end moves a run to the ended ones.
func (w *benchWorker) end(i int, kind EndKind) {
	r := w.runs[i]
	w.lastEnd++
	w.ended = append(w.ended, End{Number: w.lastEnd, Task: r.task, Run: r.run, Kind: kind})
	w.runs = append(w.runs[:i], w.runs[i+1:]...)
}

// report returns the report of a worker, whose runs have made progress.
func (f *benchFleet) report(w *benchWorker) Report {
	for i := len(w.runs) - 1; i >= 0; i-- {
		if r := w.runs[i]; r.takes > 0 && f.now.Sub(r.began) >= r.takes {
			w.end(i, EndDone)
		}
	}
	p := Report{Incarnation: w.incarnation, RequestedAt: w.sentAt, Ended: w.ended}
	for _, r := range w.runs {
		s := RunStatus{Task: r.task, Run: r.run, ProgressPercent: 100, Metric: 20 + f.random.IntN(22)}
		if r.takes > 0 {
			s.ProgressPercent, s.Metric = int(100*f.now.Sub(r.began)/r.takes), 5000+f.random.IntN(2000)
			if r.takes > 5*time.Second {
				s.Checkpoint = fmt.Sprintf("c-%d-%d", r.run, s.ProgressPercent/10)
			}
		}
		p.Running = append(p.Running, s)
	}
	return p
}

func timed(sum *time.Duration, f func()) {
	began := time.Now()
	f()
	*sum += time.Since(began)
}

// BenchmarkFleet measures the processor time of the core for each report of a worker, with
// its share of the starts, placement passes, ticks and snapshots, on a large fleet.
func BenchmarkFleet(b *testing.B) {
	f := newBenchFleet(890, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.step()
	}
	perReport := func(d time.Duration, unit string) { b.ReportMetric(float64(d.Nanoseconds())/float64(b.N), unit) }
	perReport(f.spent.reports, "report-ns")
	perReport(f.spent.starts, "start-ns")
	perReport(f.spent.place, "place-ns")
	b.ReportMetric(float64(f.spent.place.Microseconds())/float64(max(f.passes, 1)), "pass-us")
	perReport(f.spent.tick, "tick-ns")
	perReport(f.spent.snapshot, "snapshot-ns")
	b.ReportMetric(float64(f.starts)/float64(b.N), "starts/op")
	runs := 0
	for _, w := range f.workers {
		runs += len(w.runs)
	}
	b.ReportMetric(float64(runs)/float64(len(f.workers)), "runs/worker")
}
