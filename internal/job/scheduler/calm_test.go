package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Times of the calm phase at the end of a simulation.
const (
	simRoundTrip  = 100 * time.Millisecond
	simSettleTime = 4 * time.Second // in which tasks may still wait after the last disruption
	simMaxWait    = 3 * time.Second // of a long-running task for which a worker has room, from then on
	// simReplacedSettleTime is simSettleTime with workers that others have replaced: a start there
	// that has no answer is waited for until the longest lease has expired.
	simReplacedSettleTime = simMaxDisconnected + simLeaseLength*1025/1000 + simMaxLease*105/100 + maxAnswerWait
)

func (sim *simulation) isLongRunning(task graph.Task) bool {
	return sim.jobs[task.Job].Steps[task.Step].LongRunning
}

// progressPercent returns the progress that a worker reports for a run of the task.
func (sim *simulation) progressPercent(task graph.Task) int {
	if sim.isLongRunning(task) {
		return 100
	}
	return 10
}

// checkCalm ends all disruptions and fails the test if a long-running task then waits for
// longer than simMaxWait although a worker has room for it.
func (sim *simulation) checkCalm() {
	tasks := sim.longRunningTasks()
	if len(tasks) == 0 {
		return
	}
	sim.endDisruptions()
	settled := sim.now.Add(sim.settleTime())
	waits := map[graph.Task]time.Duration{}
	for sim.now.Before(settled) || len(waits) > 0 {
		sim.calmRound()
		for _, task := range tasks {
			if sim.runs(task) || !sim.hasRoom(task) {
				delete(waits, task)
				continue
			}
			waits[task] += simRoundTrip
			if sim.now.After(settled) && waits[task] > simMaxWait {
				sim.t.Fatalf("LOST: %v does not run for %s, with room for it", task, waits[task])
			}
		}
	}
	sim.checkLostWorker()
}

// settleTime returns the time in which tasks may still wait after the last disruption.
func (sim *simulation) settleTime() time.Duration {
	replaced := func(id unit.InstanceID) bool { return sim.workers[id].successor != nil }
	if slices.ContainsFunc(sim.workerIDs(), replaced) {
		return simReplacedSettleTime
	}
	return simSettleTime
}

// endDisruptions lists and reconnects all workers and delivers all orders and reports
// that are under way. The late ones get no answer.
func (sim *simulation) endDisruptions() {
	for _, id := range sim.workerIDs() {
		s := sim.workers[id]
		s.reconnect()
		s.draining = false
		s.listed = s.successor == nil
		if s.dark && s.listed {
			sim.restart(s)
		}
	}
	sim.readList()
	for _, d := range sim.delayedReports {
		if d.epoch == sim.epoch {
			sim.core.AnswerSettled(d.worker, d.report.RequestedAt)
		}
	}
	sim.delayedReports = nil
	sim.deliverAll()
	if sim.handingOver {
		sim.handOver()
	}
}

// calmRound lets the owner and all workers exchange reports and orders once. Every run
// that is not long-running ends as done.
func (sim *simulation) calmRound() {
	sim.advance(simRoundTrip)
	sim.endShortRuns()
	sim.writeProgress(writeConfirmed)
	sim.heartbeatAll()
	sim.queueOrders()
	sim.sendAll()
	sim.deliverAll()
}

// endShortRuns ends every run that is not long-running as done.
func (sim *simulation) endShortRuns() {
	for _, id := range sim.workerIDs() {
		s := sim.workers[id]
		for _, task := range sortedTasks(s.runs) {
			n, ok := s.runs[task] // it may have ended with another member of its gang
			if !ok || sim.isLongRunning(task) || !sim.allPresent(task, n) {
				continue
			}
			for _, m := range sim.members(task) {
				sim.endedDone[m] = true
			}
			sim.endRun(s, task, EndDone)
		}
	}
}

// deliverAll delivers all orders in flight and answers those that were not answered as
// lost before.
func (sim *simulation) deliverAll() {
	inFlight := sim.inFlight
	sim.inFlight = nil
	for _, f := range inFlight {
		sim.answer(f, sim.deliver(f))
	}
}

// longRunningTasks returns the long-running tasks of the jobs that are not final.
func (sim *simulation) longRunningTasks() []graph.Task {
	var tasks []graph.Task
	for id, job := range sim.jobs {
		if sim.durableFinal[id] != 0 {
			continue
		}
		for i, step := range job.Steps {
			for n := range step.Count {
				if step.LongRunning {
					tasks = append(tasks, graph.Task{Job: id, Step: graph.StepIndex(i), Index: unit.TaskIndex(n)})
				}
			}
		}
	}
	return tasks
}

// runs reports whether a worker runs the task.
func (sim *simulation) runs(task graph.Task) bool {
	return slices.ContainsFunc(sim.workerIDs(), func(id unit.InstanceID) bool {
		_, ok := sim.workers[id].runs[task]
		return ok
	})
}

// hasRoom reports whether a worker has the free capacity for the task.
func (sim *simulation) hasRoom(task graph.Task) bool { return sim.hasRoomBeside(nil, task) }

// hasRoomBeside reports whether a worker other than the given one has the free capacity for
// the task.
func (sim *simulation) hasRoomBeside(lost *simWorker, task graph.Task) bool {
	needs := sim.jobs[task.Job].Steps[task.Step].Needs
	return slices.ContainsFunc(sim.workerIDs(), func(id unit.InstanceID) bool {
		return sim.workers[id] != lost && sim.workers[id].successor == nil && needs.Fits(newListing(id).Capacity.Sub(sim.used(sim.workers[id])))
	})
}

// used returns the resources that the runs on a worker take.
func (sim *simulation) used(s *simWorker) unit.Resources {
	var used unit.Resources
	for task := range s.runs {
		used = used.Add(sim.jobs[task.Job].Steps[task.Step].Needs)
	}
	return used
}
