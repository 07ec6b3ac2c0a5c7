package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// simWorker is a simulated worker.
type simWorker struct {
	id            unit.InstanceID
	address       string
	successor     *simWorker // with another id at its address; nil: none
	incarnation   Incarnation
	formerly      Incarnation // the one before, which the instance list shows until shownAt
	shownAt       time.Time
	highestEpoch  unit.Epoch
	clockSlowdown float64 // factor by which its clock is slow
	leaseExpiry   time.Time
	partitioned   bool
	cutFrom       unit.Epoch // of the first owner that does not reach it; 0: none
	silent        bool       // what it is sent arrives, its answers do not
	dark          bool       // without power, until it restarts
	draining      bool       // the instance list says that it takes no more starts
	listed        bool
	runs          map[graph.Task]graph.RunNumber
	highestEnded  map[graph.Task]graph.RunNumber // ended or stopped before their start
	ends          []simEnd                       // not acknowledged yet
	lastEnd       EndNumber
	lapses        int // number of times that its lease has expired
}

// reachableBy reports whether what the owner with the given epoch sends to the worker arrives
// there, or at its successor, which refuses it.
func (s *simWorker) reachableBy(epoch unit.Epoch) bool {
	if s.successor != nil {
		return s.successor.reachableBy(epoch)
	}
	return !s.partitioned && !s.dark && (s.cutFrom == 0 || epoch < s.cutFrom)
}

// reconnect ends all that keeps the owners from a worker but a loss of power.
func (s *simWorker) reconnect() { s.partitioned, s.silent, s.cutFrom = false, false, 0 }

// drain lets a random worker drain, or ends that. It may leave at once.
func (sim *simulation) drain() {
	s := sim.pickWorker()
	s.draining = !s.draining && sim.rarely()
	s.partitioned = s.partitioned || s.draining && sim.rarely()
	sim.readList()
}

// listedIncarnation returns the incarnation that the instance list shows.
func (s *simWorker) listedIncarnation(now time.Time) Incarnation {
	if now.Before(s.shownAt) {
		return s.formerly
	}
	return s.incarnation
}

// simEnd is an ended run with the state at that time.
type simEnd struct {
	End
	starts int // executed starts of the task
	lapses int // of the worker
}

// advance moves the clock. Leases expire on the workers' own clocks.
func (sim *simulation) advance(d time.Duration) {
	sim.sendDueHeartbeats(sim.simOwner, sim.now.Add(d))
	if e := sim.earlier; e != nil && !sim.now.After(e.claimedAt.Add(simMaxDisconnected)) {
		sim.sendDueHeartbeats(e.simOwner, sim.now.Add(d))
	}
	sim.now = sim.now.Add(d)
	sim.loseOldOrders()
	sim.settleOldReports()
	for _, id := range sim.workerIDs() {
		s := sim.workers[id]
		if s.leaseExpiry.IsZero() || !sim.now.After(s.leaseExpiry) {
			continue
		}
		s.leaseExpiry = time.Time{}
		s.lapses++
		for _, task := range sortedTasks(s.runs) {
			if _, ok := s.runs[task]; ok { // it may have ended with another member of its gang
				sim.endRun(s, task, EndLeaseExpired)
			}
		}
	}
}

func sortedTasks(m map[graph.Task]graph.RunNumber) []graph.Task {
	return slices.SortedFunc(maps.Keys(m), func(a, b graph.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// members returns the tasks that end as done together: those of a gang, or the task alone.
func (sim *simulation) members(task graph.Task) []graph.Task {
	if !sim.step(task).Gang {
		return []graph.Task{task}
	}
	var members []graph.Task
	for n := range sim.step(task).Count {
		members = append(members, graph.Task{Job: task.Job, Step: task.Step, Index: unit.TaskIndex(n)})
	}
	return members
}

// membersStarts returns how often the tasks that end together have started.
func (sim *simulation) membersStarts(task graph.Task) int {
	starts := 0
	for _, m := range sim.members(task) {
		starts += sim.starts[m]
	}
	return starts
}

// endRun ends a run on a worker, and with it the other members of a gang.
func (sim *simulation) endRun(s *simWorker, task graph.Task, kind EndKind) {
	n := s.runs[task]
	sim.endMember(s, task, kind)
	if kind != EndDone {
		kind = EndGangBroken
	}
	for _, m := range sim.members(task) {
		for _, id := range sim.workerIDs() {
			if other := sim.workers[id]; m != task && other.runs[m] == n {
				sim.endMember(other, m, kind)
			}
		}
	}
}

func (sim *simulation) endMember(s *simWorker, task graph.Task, kind EndKind) {
	n := s.runs[task]
	delete(s.runs, task)
	s.highestEnded[task] = max(s.highestEnded[task], n)
	s.lastEnd++
	end := End{Number: s.lastEnd, Task: task, Run: n, Kind: kind}
	s.ends = append(s.ends, simEnd{End: end, starts: sim.membersStarts(task), lapses: s.lapses})
}

// extendLease extends the lease of a worker by d on the worker's clock, which may be
// slow.
func (s *simWorker) extendLease(now time.Time, d time.Duration) {
	if until := now.Add(time.Duration(float64(d) * s.clockSlowdown)); until.After(s.leaseExpiry) {
		s.leaseExpiry = until
	}
}

// deliver executes an order on its worker and returns the outcome. An order names only
// the id of its worker, so that any incarnation executes it.
func (sim *simulation) deliver(f inFlightOrder) Outcome {
	s := sim.workers[f.order.Worker]
	if s.successor != nil {
		return OutcomeOtherIncarnation
	}
	if f.epoch < s.highestEpoch {
		return OutcomeFenced
	}
	s.highestEpoch = f.epoch
	o := f.order
	switch o.Kind {
	case OrderStop:
		s.highestEnded[o.Task] = max(s.highestEnded[o.Task], o.Run)
		if n, ok := s.runs[o.Task]; ok && n <= o.Run {
			sim.endRun(s, o.Task, EndStopped)
		}
	case OrderStart:
		if n, ok := s.runs[o.Task]; ok && n == o.Run {
			return OutcomeDone
		} else if ok || o.Run <= s.highestEnded[o.Task] {
			return OutcomeStaleRun
		}
		lease := f.deadline.Sub(sim.now)
		if f.clockOf != s.incarnation {
			lease = simMaxLease // the clock of this incarnation is far behind the deadline
		}
		if lease < 0 {
			return OutcomeDeadlineExceeded
		}
		sim.checkStart(s, f)
		sim.checkQuota(f)
		s.runs[o.Task] = o.Run
		sim.starts[o.Task]++
		s.extendLease(sim.now, lease)
	}
	return OutcomeDone
}

// checkStart fails the test if a start violates an invariant.
func (sim *simulation) checkStart(s *simWorker, f inFlightOrder) {
	o := f.order
	for _, id := range sim.workerIDs() {
		if _, ok := sim.workers[id].runs[o.Task]; ok {
			sim.t.Fatalf("TWICE: %v starts on %s while it runs on %s", o.Task, s.id, id)
		}
	}
	if sim.ackedDone[o.Task] {
		sim.t.Fatalf("TWICE: %v starts on %s after an acknowledged end", o.Task, s.id)
	}
	if since, ok := sim.completedSince[o.Task.Job]; ok && f.sentAt.After(since) {
		sim.t.Fatalf("TWICE: the start of %v on %s was sent after its job was shown as completed", o.Task, s.id)
	}
	job := sim.jobs[o.Task.Job]
	if job == nil {
		sim.t.Fatalf("UNASKED: %v starts although its job was not submitted", o.Task)
	}
	if limit := job.Queue.MaxAttempts; !job.Steps[o.Task.Step].LongRunning && sim.ackedFailures[o.Task] >= limit {
		sim.t.Fatalf("BUDGET: %v starts after %d acknowledged failures", o.Task, limit)
	}
	if !job.Steps[o.Task.Step].Needs.Fits(newListing(s.id).Capacity.Sub(sim.used(s))) {
		sim.t.Fatalf("LIMIT: %v starts on %s, which lacks the capacity", o.Task, s.id)
	}
	for _, after := range job.Steps[o.Task.Step].After {
		for n := range job.Steps[after].Count {
			earlier := graph.Task{Job: job.ID, Step: after, Index: unit.TaskIndex(n)}
			if !sim.endedDone[earlier] {
				sim.t.Fatalf("ORDER: %v starts before %v is done", o.Task, earlier)
			}
		}
	}
}

// acknowledge removes the ends up to cursor from a worker. From then on the progress
// must include them.
func (sim *simulation) acknowledge(s *simWorker, cursor EndNumber) {
	s.ends = slices.DeleteFunc(s.ends, func(e simEnd) bool {
		if e.Number > cursor {
			return false
		}
		switch e.Kind {
		case EndDone:
			for _, m := range sim.members(e.Task) {
				sim.ackedDone[m] = true
			}
			if e.lapses == s.lapses && sim.membersStarts(e.Task) > e.starts {
				sim.t.Fatalf("TWICE: %v has started after it had ended as done on %s, whose lease has not expired since", e.Task, s.id)
			}
		case EndFailed:
			sim.ackedFailures[e.Task]++
		}
		return true
	})
}

// endSomeRun ends a random run on a worker as done or failed.
func (sim *simulation) endSomeRun() {
	ids := slices.DeleteFunc(slices.Clone(sim.workerIDs()), func(id unit.InstanceID) bool { return len(sim.workers[id].runs) == 0 })
	if len(ids) == 0 {
		return
	}
	sim.endOne(sim.workers[rapid.SampledFrom(ids).Draw(sim.t, "worker")])
}

// endOne ends a random run on a worker, or a gang of which one member runs there.
func (sim *simulation) endOne(s *simWorker) {
	task := rapid.SampledFrom(sortedTasks(s.runs)).Draw(sim.t, "task")
	kind := rapid.SampledFrom([]EndKind{EndDone, EndDone, EndDone, EndFailed}).Draw(sim.t, "kind")
	if sim.isLongRunning(task) {
		kind = EndFailed
	}
	if kind == EndDone && !sim.allPresent(task, s.runs[task]) {
		return // a gang works only while all members are present
	}
	if kind == EndDone {
		for _, m := range sim.members(task) {
			sim.endedDone[m] = true
		}
	}
	sim.endRun(s, task, kind)
}

// allPresent reports whether a run of a task is present on some worker, with all members
// of its gang.
func (sim *simulation) allPresent(task graph.Task, n graph.RunNumber) bool {
	for _, m := range sim.members(task) {
		if !slices.ContainsFunc(sim.workerIDs(), func(id unit.InstanceID) bool { return sim.workers[id].runs[m] == n }) {
			return false
		}
	}
	return true
}

// restartWorker restarts a random worker.
func (sim *simulation) restartWorker() {
	s := sim.pickWorker()
	if rapid.IntRange(0, 4).Draw(sim.t, "really") == 0 && s.successor == nil {
		sim.restart(s)
	}
}

// restart restarts a worker under a new incarnation, without its runs and ends.
// Orders in flight reach the new incarnation, except those that the earlier one has
// executed or would refuse because of a stop or a higher epoch: nothing on the wire
// makes the new one refuse them. An order that got no answer in time is given up with its
// connection, so that it reaches no incarnation that begins later.
func (sim *simulation) restart(s *simWorker) {
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(f inFlightOrder) bool {
		refused := f.epoch < s.highestEpoch || f.order.Run <= s.highestEnded[f.order.Task]
		givenUp := sim.now.After(f.sentAt.Add(simOrderTimeout))
		return f.order.Worker == s.id && (f.executed || refused || givenUp)
	})
	s.formerly = s.listedIncarnation(sim.now)
	s.shownAt = sim.now.Add(time.Duration(rapid.IntRange(0, int(simListDelay/time.Millisecond)).Draw(sim.t, "shown after ms")) * time.Millisecond)
	s.incarnation = max(s.incarnation+1, Incarnation(sim.now.UnixMilli()))
	s.draining = s.draining && rapid.Bool().Draw(sim.t, "still draining")
	s.dark, s.highestEpoch, s.lastEnd, s.highestEnded = false, 0, 0, map[graph.Task]graph.RunNumber{}
	s.dropRuns()
}

// maxSimWorkers bounds the workers of a simulation, with those that others have replaced.
const maxSimWorkers = 6

// replaceWorker replaces a random worker, whose last report may still be on its way. The owner
// may see the other one at once, and start tasks there.
func (sim *simulation) replaceWorker() {
	s := sim.pickWorker()
	if s.successor != nil || len(sim.workers) >= maxSimWorkers || !sim.rarely() {
		return
	}
	if rapid.Bool().Draw(sim.t, "report on its way") {
		sim.heartbeat(s, false)
	}
	sim.replace(s)
	if rapid.Bool().Draw(sim.t, "seen at once") {
		sim.readList()
		sim.serve()
		sim.settleReportsOf(s)
		sim.tick()
		sim.queueOrders()
		sim.sendAll()
	}
}

// settleReportsOf passes the delayed reports of a worker to the core.
func (sim *simulation) settleReportsOf(s *simWorker) {
	sim.delayedReports = slices.DeleteFunc(sim.delayedReports, func(d delayedReport) bool {
		if d.worker == s.id {
			sim.settle(d, d.lost)
		}
		return d.worker == s.id
	})
}

// replace lets a worker crash for good, and starts one with another id at its address. The
// instance list shows the crashed one until it is removed there.
func (sim *simulation) replace(s *simWorker) {
	s.dark = true
	s.dropRuns()
	n := len(sim.workers)
	s.successor = newSimWorker(n, s.address, max(s.incarnation+1, Incarnation(sim.now.UnixMilli())))
	sim.workers[s.successor.id], sim.sortedIDs = s.successor, nil
}

// newSimWorker returns a worker that is listed and on which nothing runs.
func newSimWorker(n int, address string, incarnation Incarnation) *simWorker {
	return &simWorker{
		id: unit.InstanceID(fmt.Sprintf("w%d", n)), address: address, incarnation: incarnation, listed: true, clockSlowdown: 1 + float64(n)/100,
		runs: map[graph.Task]graph.RunNumber{}, highestEnded: map[graph.Task]graph.RunNumber{},
	}
}

// cutPower lets a worker lose its power, or restarts one without power.
func (sim *simulation) cutPower() {
	s := sim.pickWorker()
	switch {
	case s.successor != nil:
	case s.dark:
		sim.restart(s)
	case sim.rarely():
		s.dark = true
		s.dropRuns()
	}
}

// dropRuns removes the runs and ends of a worker that has lost them.
func (s *simWorker) dropRuns() {
	s.ends, s.leaseExpiry, s.runs = nil, time.Time{}, map[graph.Task]graph.RunNumber{}
}
