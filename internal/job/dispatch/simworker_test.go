package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// simWorker is a worker that follows the protocol but starts whatever it is told
// to: it does not refuse a start for lack of room, so that overcommitment shows.
type simWorker struct {
	sim      *sim
	id       unit.InstanceID
	zone     unit.ZoneID
	ppm      int64
	boots    int
	zero     time.Duration // true time of the boot
	start    int64         // reading at the boot
	leaving  bool
	refusing bool // refuses starts as full, without a reason
	epochs   map[string]unit.Epoch
	attempts map[worker.Ref]*simAttempt
	over     map[worker.Ref]bool
}

type simAttempt struct {
	worker.Status
	due  unit.WorkerTime // when its work is done; 0 is never
	fail bool
}

func (s *sim) worker(id unit.InstanceID) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == id })]
}

func (w *simWorker) boot(start int64) {
	w.boots++
	w.zero, w.start = w.sim.now, start
	w.epochs, w.attempts, w.over = map[string]unit.Epoch{}, map[worker.Ref]*simAttempt{}, map[worker.Ref]bool{}
}

func (w *simWorker) bootID() string { return fmt.Sprint("boot", w.boots) }

func (w *simWorker) clock() unit.WorkerTime {
	d := int64(w.sim.now - w.zero)
	return unit.WorkerTime(w.start + d + d/1e6*w.ppm)
}

// settle ends the attempts that are done or whose lease has ended.
func (w *simWorker) settle() {
	now := w.clock()
	for _, a := range w.attempts {
		switch {
		case a.Phase != worker.PhaseRunning:
		case a.LeaseEnd <= now && (a.due == 0 || a.LeaseEnd < a.due):
			a.Phase = worker.PhaseExpired
		case a.due != 0 && a.due <= now && a.fail:
			a.Phase = worker.PhaseFailed
		case a.due != 0 && a.due <= now:
			a.Phase = worker.PhaseDone
		}
	}
}

func (w *simWorker) admit(f worker.Fence) bool {
	if f.Epoch < w.epochs[f.Shard] {
		return false
	}
	w.epochs[f.Shard] = f.Epoch
	return true
}

func (w *simWorker) orders(a SendOrders) any {
	if !w.admit(a.Batch.Fence) {
		return FaultStaleEpoch
	}
	w.settle()
	reply := worker.OrderReply{Clock: w.clock()}
	for _, o := range a.Batch.Orders {
		r := worker.Result{Ref: o.Ref, Code: worker.CodeOK}
		at := w.attempts[o.Ref]
		switch {
		case o.Action == worker.ActionStart:
			r.Code = w.begin(o, a.Batch.Boot)
		case at == nil:
			r.Code = worker.CodeMissing
		case at.Phase != worker.PhaseRunning:
			r.Code = worker.CodeOver
		case o.Action == worker.ActionCheckpoint:
			at.Phase = worker.PhaseCheckpointed
			at.Checkpoint = unit.CheckpointID(fmt.Sprint(o.Attempt))
		case o.Action == worker.ActionStop:
			at.Phase = worker.PhaseStopped
		case o.Action == worker.ActionThrottle:
			at.Share = o.Share
		}
		reply.Results = append(reply.Results, r)
	}
	return reply
}

func (w *simWorker) begin(o worker.Order, boot string) worker.Code {
	s := w.sim
	switch {
	case w.over[o.Ref] || w.attempts[o.Ref] != nil && w.attempts[o.Ref].Phase != worker.PhaseRunning:
		return worker.CodeOver
	case w.attempts[o.Ref] != nil:
		return worker.CodeOK
	case boot != w.bootID():
		return worker.CodeLate // its times are readings of an earlier boot
	case w.clock() > o.NotAfter || w.clock() >= o.LeaseEnd:
		return worker.CodeLate
	case w.leaving:
		return worker.CodeDraining
	case w.refusing && s.chance(0.5):
		return worker.CodeFull
	}
	a := &simAttempt{
		Status: worker.Status{Ref: o.Ref, Phase: worker.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd},
		fail:   o.Payload == "fail",
	}
	if o.Work > 0 {
		a.due = w.clock().Add(o.Work.Std())
	}
	w.attempts[o.Ref] = a
	s.started(w, o)
	return worker.CodeOK
}

func (w *simWorker) heartbeat(h worker.Heartbeat) any {
	if !w.admit(h.Fence) {
		return FaultStaleEpoch
	}
	w.settle()
	for _, r := range h.Renew {
		if a := w.attempts[r.Ref]; a != nil && a.Phase == worker.PhaseRunning {
			a.LeaseEnd = max(a.LeaseEnd, r.LeaseEnd)
		}
	}
	for _, ref := range h.Forget {
		if a := w.attempts[ref]; a != nil && a.Phase != worker.PhaseRunning {
			w.sim.forgotten(w, a)
			w.over[ref] = true
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
