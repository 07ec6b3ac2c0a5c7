package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// simWorker models a worker that follows the protocol, except that it does not
// refuse a start for lack of free resources, so that the test detects
// overcommitment.
type simWorker struct {
	sim         *sim
	id          unit.InstanceID
	zone        unit.ZoneID
	ppm         int64 // clock drift in parts per million
	boots       int
	bootTime    time.Duration // true time of the last boot
	bootReading int64         // clock reading at the last boot
	leaving     bool
	refusing    bool // refuses half of the starts as full, although it has resources
	epochs      map[string]unit.Epoch
	attempts    map[worker.Ref]*simAttempt
	forgotten   map[worker.Ref]bool // ended attempts that an owner let it forget
}

type simAttempt struct {
	worker.Status
	doneAt unit.WorkerTime // when its work is done; 0 means never
	fails  bool
}

func (s *sim) worker(id unit.InstanceID) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == id })]
}

func (w *simWorker) boot(reading int64) {
	w.boots++
	w.bootTime, w.bootReading = w.sim.now, reading
	w.epochs, w.attempts, w.forgotten = map[string]unit.Epoch{}, map[worker.Ref]*simAttempt{}, map[worker.Ref]bool{}
}

func (w *simWorker) bootID() string { return fmt.Sprint("boot", w.boots) }

func (w *simWorker) clock() unit.WorkerTime {
	d := int64(w.sim.now - w.bootTime)
	return unit.WorkerTime(w.bootReading + d + d/1e6*w.ppm)
}

// endDue ends the attempts that are done or whose lease has expired.
func (w *simWorker) endDue() {
	now := w.clock()
	for _, a := range w.attempts {
		switch {
		case a.Phase != worker.PhaseRunning:
		case a.LeaseEnd <= now && (a.doneAt == 0 || a.LeaseEnd < a.doneAt):
			a.Phase = worker.PhaseExpired
		case a.doneAt != 0 && a.doneAt <= now && a.fails:
			a.Phase = worker.PhaseFailed
		case a.doneAt != 0 && a.doneAt <= now:
			a.Phase = worker.PhaseDone
		}
	}
}

// checkEpoch reports whether an epoch is not stale, and remembers it.
func (w *simWorker) checkEpoch(f worker.Fence) bool {
	if f.Epoch < w.epochs[f.Shard] {
		return false
	}
	w.epochs[f.Shard] = f.Epoch
	return true
}

func (w *simWorker) handleOrders(a SendOrders) any {
	if !w.checkEpoch(a.Batch.Fence) {
		return FaultStaleEpoch
	}
	w.endDue()
	reply := worker.OrderReply{Clock: w.clock()}
	for _, o := range a.Batch.Orders {
		r := worker.Result{Ref: o.Ref, Code: worker.CodeOK}
		ordered := w.attempts[o.Ref]
		switch {
		case o.Action == worker.ActionStart:
			r.Code = w.startTask(o, a.Batch.Boot)
		case ordered == nil:
			r.Code = worker.CodeMissing
		case ordered.Phase != worker.PhaseRunning:
			r.Code = worker.CodeEnded
		case o.Action == worker.ActionCheckpoint:
			ordered.Phase = worker.PhaseCheckpointed
			ordered.Checkpoint = unit.CheckpointID(fmt.Sprint(o.Attempt))
		case o.Action == worker.ActionStop:
			ordered.Phase = worker.PhaseStopped
		case o.Action == worker.ActionThrottle:
			ordered.Share = o.Share
		}
		reply.Results = append(reply.Results, r)
	}
	return reply
}

func (w *simWorker) startTask(o worker.Order, boot string) worker.Code {
	s := w.sim
	switch {
	case w.forgotten[o.Ref] || w.attempts[o.Ref] != nil && w.attempts[o.Ref].Phase != worker.PhaseRunning:
		return worker.CodeEnded
	case w.attempts[o.Ref] != nil:
		return worker.CodeOK
	case boot != w.bootID():
		return worker.CodeLate // its times refer to the clock of an earlier boot
	case w.clock() > o.NotAfter || w.clock() >= o.LeaseEnd:
		return worker.CodeLate
	case w.leaving:
		return worker.CodeDraining
	case w.refusing && s.chance(0.5):
		return worker.CodeNoCapacity
	}
	a := &simAttempt{
		Status: worker.Status{Ref: o.Ref, Phase: worker.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd},
		fails:  o.Payload == "fail",
	}
	if o.Work > 0 {
		a.doneAt = w.clock().Add(o.Work.Std())
	}
	w.attempts[o.Ref] = a
	s.checkStart(w, o)
	return worker.CodeOK
}

func (w *simWorker) handleHeartbeat(h worker.Heartbeat) any {
	if !w.checkEpoch(h.Fence) {
		return FaultStaleEpoch
	}
	w.endDue()
	for _, r := range h.Renew {
		if a := w.attempts[r.Ref]; a != nil && a.Phase == worker.PhaseRunning {
			a.LeaseEnd = max(a.LeaseEnd, r.LeaseEnd)
		}
	}
	for _, ref := range h.Forget {
		if a := w.attempts[ref]; a != nil && a.Phase != worker.PhaseRunning {
			w.sim.recordForgotten(w, a)
			w.forgotten[ref] = true
			delete(w.attempts, ref)
		}
	}
	r := worker.Report{
		Clock: w.clock(), Boot: w.bootID(), State: worker.StateServing, Capacity: simCapacity,
	}
	if w.leaving {
		r.State = worker.StateDraining
	}
	for _, ref := range sortedRefs(w.attempts) {
		r.Tasks = append(r.Tasks, w.attempts[ref].Status)
	}
	return r
}
