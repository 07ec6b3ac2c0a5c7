package scheduler

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// simOwner is an owner of the shard, with what it knows beside its core.
type simOwner struct {
	core           *Core
	epoch          unit.Epoch
	clockOffset    time.Duration // of its clock, from that by which incarnations are numbered
	earlierRelease bool          // it neither writes nor reads leases and placements
	handingOver    bool          // it places nothing and gives no orders
	queued         []Order       // that it has not sent yet
	clients        map[unit.InstanceID]*simClient
}

// simClient is what an owner knows of its connection to a worker.
type simClient struct {
	clockOf Incarnation // whose clock was read; 0: none
	missed  bool        // the last heartbeat got no answer, so that the next one is a probe
	firstAt time.Time   // when its clock was first read; zero once the next heartbeat is sent
}

// earlierOwner is an owner that has not seen the claim of the next one.
type earlierOwner struct {
	*simOwner
	claimedAt time.Time // when the next owner claimed the shard
}

// progressRecord is the record of the progress in the store.
type progressRecord struct {
	snapshot   Snapshot
	epoch      unit.Epoch // of the owner that wrote it; 0: none has
	handedOver bool
}

// lateWrite is a write of the progress that the store executes late, if its guards still
// hold then. The owner got no answer to it.
type lateWrite struct {
	progress    progressRecord
	finalStates []FinalState
	revision    int // of the progress that the write replaces
}

// delayedReport is the answer to a heartbeat that has not reached the owner yet.
type delayedReport struct {
	worker unit.InstanceID
	epoch  unit.Epoch
	sentAt time.Time
	report Report
	lost   bool // there is none, as the heartbeat or the answer is lost
}

// writeOutcome is what becomes of a write of the progress.
type writeOutcome uint8

const (
	writeConfirmed  writeOutcome = iota
	writeUnanswered              // executed without an answer
	writeDelayed                 // may be executed later, without an answer
	writeRejected                // certainly not executed, and the owner knows it
)

// clockAt returns the reading of the owner's clock at a time.
func (o *simOwner) clockAt(t time.Time) time.Time { return t.Add(o.clockOffset) }

// client returns what the owner knows of its connection to a worker.
func (o *simOwner) client(id unit.InstanceID) *simClient {
	if o.clients[id] == nil {
		o.clients[id] = &simClient{}
	}
	return o.clients[id]
}

// readClock records an answer of a worker. With the first one the worker may have a lease from
// an earlier owner.
func (o *simOwner) readClock(id unit.InstanceID, incarnation Incarnation, now time.Time) {
	c := o.client(id)
	if c.clockOf == 0 {
		c.firstAt = now
		o.core.RecordLease(id, o.clockAt(now).Add(simLeaseLength*1025/1000+simResponseSlack))
	}
	c.missed, c.clockOf = false, max(c.clockOf, incarnation)
}

// sendDueHeartbeats sends the heartbeats of an owner that follow the first answer of a worker
// and whose turn comes before the given time.
func (sim *simulation) sendDueHeartbeats(o *simOwner, until time.Time) {
	for _, id := range sim.workerIDs() {
		if at := o.client(id).firstAt; !at.IsZero() && until.Sub(at) > simTurnDelay {
			sim.heartbeatFrom(o, sim.workers[id], true)
		}
	}
}

// clock returns the reading of the current owner's clock.
func (sim *simulation) clock() time.Time { return sim.clockAt(sim.now) }

// readList passes the instance list to the core of the current owner.
func (sim *simulation) readList() { sim.core.SetWorkers(sim.listings(), sim.clock()) }

// tick lets the current owner do what depends on time, and place tasks unless it hands over.
func (sim *simulation) tick() {
	sim.core.Tick(sim.clock())
	if !sim.handingOver {
		sim.core.Place(sim.clock())
	}
}

// takeOver replaces the owner by a new one that knows only what is durable. The previous
// one does not know of it and may go on for some time; see actLate.
func (sim *simulation) takeOver() {
	if sim.simOwner != nil {
		sim.earlier = &earlierOwner{simOwner: sim.simOwner, claimedAt: sim.now}
	}
	sim.beginTerm()
}

// handOver replaces the owner by a new one after the owner has written its progress and
// stopped giving orders. Those that it has given are sent.
func (sim *simulation) handOver() {
	sim.writeHandOver(writeConfirmed)
	sim.endTerm()
}

// tryHandOver is handOver unless the write is not confirmed. The owner goes on then, without
// placing tasks, until it tries again.
func (sim *simulation) tryHandOver() {
	outcomes := []writeOutcome{writeConfirmed, writeConfirmed, writeUnanswered, writeDelayed, writeRejected}
	outcome := rapid.SampledFrom(outcomes).Draw(sim.t, "outcome")
	sim.writeHandOver(outcome)
	if outcome == writeConfirmed {
		sim.endTerm()
	}
}

// endTerm begins the next term after a hand-over.
func (sim *simulation) endTerm() {
	sim.earlier = nil
	sim.sendAll()
	sim.beginTerm()
}

// beginTerm creates the core of a new owner, which reads the progress, the instance list and
// the jobs. The unresolved workers may have runs or ends of earlier owners.
func (sim *simulation) beginTerm() {
	epoch := unit.Epoch(1)
	if sim.simOwner != nil {
		epoch = sim.epoch + 1
	}
	sim.simOwner = &simOwner{
		epoch: epoch, clients: map[unit.InstanceID]*simClient{},
		clockOffset:    rapid.SampledFrom([]time.Duration{0, 0, simClockStep, -simClockStep}).Draw(sim.t, "clock"),
		earlierRelease: rapid.IntRange(0, 7).Draw(sim.t, "release") == 7,
	}
	now := sim.clock()
	sim.core = New(Limits{StopTimeout: 500 * time.Millisecond, MaxLease: simMaxLease}, epoch, now.Add(simMaxDisconnected+simLeaseLength*1025/1000))
	progress := sim.durableProgress.readBy(sim.simOwner)
	unresolved := progress.snapshot.KnownWorkers
	if progress.handedOver {
		unresolved = progress.snapshot.BusyWorkers
	}
	sim.core.LoadProgress(progress.snapshot.Jobs, progress.snapshot.KnownWorkers, unresolved)
	sim.core.LoadLeases(progress.snapshot.Leases, now)
	sim.core.LoadClosed(progress.snapshot.Closed)
	sim.applyCaps(sim.simOwner)
	sim.core.SetEarlierStartsEnd(now.Add(simMaxOrderOverlap))
	sim.readList()
	if !progress.handedOver {
		sim.core.AwaitReports()
	}
	sim.addJobs()
}

// readBy returns what a new owner takes from the record: a hand-over and leases count only
// for the next epoch, and placements only after a hand-over.
func (p progressRecord) readBy(o *simOwner) progressRecord {
	previous := p.epoch+1 == o.epoch
	p.handedOver = p.handedOver && previous
	p.snapshot.Jobs = maps.Clone(p.snapshot.Jobs)
	if !previous || o.earlierRelease {
		p.snapshot.Leases, p.snapshot.Closed = nil, nil
	}
	if !p.handedOver || o.earlierRelease {
		for id, job := range p.snapshot.Jobs {
			job.Opened, job.Placed = 0, nil
			p.snapshot.Jobs[id] = job
		}
	}
	return p
}

// newProgress returns the record of the progress as the current owner writes it.
func (sim *simulation) newProgress(handOver bool) progressRecord {
	p := progressRecord{snapshot: sim.core.Snapshot(), epoch: sim.epoch, handedOver: handOver}
	if sim.earlierRelease {
		return p
	}
	sim.core.AddLeases(&p.snapshot, handOver, sim.clock())
	if handOver {
		sim.core.AddPlacements(&p.snapshot)
	}
	return p
}

// writeProgress writes the progress and the final states as they become due.
func (sim *simulation) writeProgress(outcome writeOutcome) {
	sim.commit(sim.newProgress(false), outcome)
}

// writeHandOver writes them for the next owner. From then on nothing else is ordered.
func (sim *simulation) writeHandOver(outcome writeOutcome) {
	sim.handingOver = true
	sim.commit(sim.newProgress(true), outcome)
}

// commit makes the progress and the final states durable. The core is only told what the
// answer shows.
func (sim *simulation) commit(p progressRecord, outcome writeOutcome) {
	finalStates := slices.DeleteFunc(sim.core.TakeFinalStates(), func(f FinalState) bool {
		stored := sim.durableFinal[f.Job]
		return stored != 0 && stored != f.State // as an owner does, it overwrites no cancellation
	})
	write := lateWrite{progress: p, finalStates: slices.Clone(finalStates), revision: sim.durableRevision}
	switch outcome {
	case writeConfirmed, writeUnanswered:
		sim.execute(write)
	case writeDelayed:
		sim.lateWrite = &write
	}
	switch outcome {
	case writeConfirmed:
		sim.core.ConfirmSnapshot(p.snapshot)
		for _, f := range finalStates {
			sim.core.ConfirmFinalState(f.Job, sim.clock())
		}
		return
	case writeRejected:
		sim.core.RejectSnapshot(p.snapshot)
	default:
		sim.core.MarkProgressChanged()
	}
	sim.core.finalStates = append(finalStates, sim.core.finalStates...)
}

// execute carries out a write in the store.
func (sim *simulation) execute(w lateWrite) {
	sim.durableProgress = w.progress
	sim.durableRevision++
	for _, f := range w.finalStates {
		sim.durableFinal[f.Job] = f.State
	}
}

// executeLateWrite executes the late write unless another owner has claimed the shard, the
// progress was written since or a job was cancelled.
func (sim *simulation) executeLateWrite() {
	w := sim.lateWrite
	sim.lateWrite = nil
	if w == nil || w.progress.epoch != sim.epoch || w.revision != sim.durableRevision ||
		slices.ContainsFunc(w.finalStates, func(f FinalState) bool { return sim.durableFinal[f.Job] != 0 }) {
		return
	}
	sim.execute(*w)
}

// actLate lets the earlier owner renew leases, place tasks and send its orders, as long as it
// may. Workers that have restarted since are left out: nothing makes them refuse it, as they
// have lost the epoch of the new owner.
func (sim *simulation) actLate() {
	e := sim.earlier
	if e == nil || sim.now.After(e.claimedAt.Add(simMaxDisconnected)) {
		return
	}
	known := func(id unit.InstanceID) bool { return int64(sim.workers[id].incarnation) < e.claimedAt.UnixMilli() }
	for _, id := range sim.workerIDs() {
		if known(id) && rapid.Bool().Draw(sim.t, "renewed late") {
			sim.heartbeatFrom(e.simOwner, sim.workers[id], true)
		}
	}
	if sim.now.After(e.claimedAt.Add(simMaxOrderOverlap)) {
		return
	}
	now := e.clockAt(sim.now)
	e.core.Tick(now)
	if !e.handingOver {
		e.core.Place(now)
		e.queued = append(e.queued, e.core.TakeOrders()...)
	}
	for _, o := range e.queued {
		if known(o.Worker) {
			sim.sendFrom(e.simOwner, o)
		}
	}
	e.queued = nil
}

// heartbeat lets the current owner send a heartbeat to a worker.
func (sim *simulation) heartbeat(s *simWorker, answered bool) {
	sim.heartbeatFrom(sim.simOwner, s, answered)
}

// heartbeatFrom sends a heartbeat to a worker, renews its lease and, if answered, passes its
// report to the core. As an owner does, it contacts only the workers that the core names,
// renews no lease while the worker is not reached or its clock is not known, and sends few
// heartbeats without an answer.
func (sim *simulation) heartbeatFrom(o *simOwner, s *simWorker, answered bool) {
	contacted := o.core.workers[s.id] != nil
	if !contacted || sim.unansweredHeartbeats(o, s) >= simProbes {
		return
	}
	client, now := o.client(s.id), o.clockAt(sim.now)
	renewed := !client.missed && client.clockOf != 0 && o.core.WantsLease(s.id)
	if renewed {
		o.core.RecordLease(s.id, now.Add(simLeaseLength*1025/1000+simResponseSlack))
	}
	o.core.AwaitAnswer(s.id, now)
	client.firstAt = time.Time{}
	if !s.reachableBy(o.epoch) || s.highestEpoch > o.epoch {
		client.missed = true
		sim.delayedReports = append(sim.delayedReports, delayedReport{worker: s.id, epoch: o.epoch, sentAt: sim.now, report: Report{RequestedAt: now}, lost: true})
		return
	}
	if s.successor != nil { // which refuses it
		client.missed = true
		o.core.AnswerSettled(s.id, now)
		return
	}
	s.highestEpoch = o.epoch
	if renewed {
		lease := simLeaseLength
		if client.clockOf != s.incarnation {
			lease = simMaxLease // the clock of this incarnation is far behind the deadline
		}
		s.extendLease(sim.now, lease)
	}
	incarnation, cursor := o.core.AckCursor(s.id)
	sim.acknowledge(s, Renewal{Incarnation: incarnation, Acked: cursor}.For(s.incarnation).Acked)
	report := sim.report(s, now)
	if !answered || s.silent {
		client.missed = true
		sim.delayedReports = append(sim.delayedReports, delayedReport{worker: s.id, epoch: o.epoch, sentAt: sim.now, report: report})
		return
	}
	o.readClock(s.id, s.incarnation, sim.now)
	o.core.HandleReport(s.id, report, now)
	o.core.AnswerSettled(s.id, now)
}

// report returns the answer of a worker to a heartbeat that was sent at a time of the owner's
// clock.
func (sim *simulation) report(s *simWorker, requestedAt time.Time) Report {
	report := Report{Incarnation: s.incarnation, RequestedAt: requestedAt}
	for _, e := range s.ends[:min(len(s.ends), simEndsPerReport)] {
		report.Ended = append(report.Ended, e.End)
	}
	report.Partial = len(report.Ended) == simEndsPerReport
	for _, task := range sortedTasks(s.runs) {
		report.Running = append(report.Running, RunStatus{Task: task, Run: s.runs[task], ProgressPercent: sim.progressPercent(task)})
	}
	return report
}

// unansweredHeartbeats returns how many heartbeats of an owner to a worker have no answer yet.
func (sim *simulation) unansweredHeartbeats(o *simOwner, s *simWorker) int {
	n := 0
	for _, d := range sim.delayedReports {
		if d.worker == s.id && d.epoch == o.epoch {
			n++
		}
	}
	return n
}

// settleReport passes a delayed report to the core, or loses it.
func (sim *simulation) settleReport(lost bool) {
	if len(sim.delayedReports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.delayedReports)-1).Draw(sim.t, "report")
	d := sim.delayedReports[i]
	sim.delayedReports = slices.Delete(sim.delayedReports, i, i+1)
	sim.settle(d, lost || d.lost || sim.workers[d.worker].silent)
}

// settle passes the answer to a heartbeat to the core of the owner that has sent it, if that
// is the current one.
func (sim *simulation) settle(d delayedReport, lost bool) {
	if d.epoch != sim.epoch {
		return
	}
	if !lost {
		sim.readClock(d.worker, d.report.Incarnation, sim.now)
		sim.core.HandleReport(d.worker, d.report, sim.clock())
	}
	sim.core.AnswerSettled(d.worker, d.report.RequestedAt)
}

// settleOldReports loses the answers that come too late.
func (sim *simulation) settleOldReports() {
	sim.delayedReports = slices.DeleteFunc(sim.delayedReports, func(d delayedReport) bool {
		old := sim.now.Sub(d.sentAt) > simLateAnswer
		if old {
			sim.settle(d, true)
		}
		return old
	})
}
