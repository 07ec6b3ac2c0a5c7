package worker

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// longestTask bounds the run time and the progress of a task, so that no sum of
// them overflows.
const longestTask = 10000 * time.Hour

// payloadFail is the payload of a task that fails on every worker.
const payloadFail = "fail"

// runner is the state of the tasks of one worker. It is a plain state machine:
// every method takes the reading of the worker's clock, and the server
// serializes access. Ends of tasks are computed when the clock is next read, at
// the reading at which they fell due.
type runner struct {
	settings Settings
	boot     string
	epochs   map[string]unit.Epoch // highest seen, by shard
	attempts map[protocol.Ref]*attempt
	// forgotten has the attempts that the owner told the worker to forget, until
	// their starts can no longer be accepted. Without it a start delayed by the
	// network could run an attempt a second time.
	forgotten map[protocol.Ref]unit.WorkerTime
	committed unit.Resources // of running attempts, without the reservation
	draining  bool
	failing   bool // every task fails as soon as it starts
	serving   series
	ledger    ledger
}

// attempt is one attempt that runs, or has ended and is not yet forgotten.
type attempt struct {
	status   protocol.Status
	notAfter unit.WorkerTime
	work     time.Duration // true run time at full speed; 0 runs until stopped
	worked   time.Duration // progress at reading
	reading  unit.WorkerTime
	share    series // of its cores
	used     float64
	run      int // position in the ledger, or -1
}

func newRunner(s Settings, boot string) *runner {
	return &runner{
		settings:  s,
		boot:      boot,
		epochs:    map[string]unit.Epoch{},
		attempts:  map[protocol.Ref]*attempt{},
		forgotten: map[protocol.Ref]unit.WorkerTime{},
		ledger:    newLedger(s.Reserved),
	}
}

// orders carries out a batch. It reports false, with the highest epoch seen, if
// the fence is stale; then nothing was done.
func (r *runner) orders(now unit.WorkerTime, b protocol.OrderBatch) (protocol.OrderReply, unit.Epoch, bool) {
	if highest, ok := r.admit(b.Fence); !ok {
		return protocol.OrderReply{}, highest, false
	}
	r.advance(now)
	reply := protocol.OrderReply{Clock: now, Results: make([]protocol.Result, 0, len(b.Orders))}
	for _, o := range b.Orders {
		result := protocol.Result{Ref: o.Ref, Code: protocol.CodeLate}
		if o.Action != protocol.ActionStart || b.Boot == r.boot {
			result = r.order(now, o)
		}
		reply.Results = append(reply.Results, result)
	}
	return reply, 0, true
}

// heartbeat renews leases, forgets ended attempts and reports. It reports false
// as orders does.
func (r *runner) heartbeat(now unit.WorkerTime, h protocol.Heartbeat) (protocol.Report, unit.Epoch, bool) {
	if highest, ok := r.admit(h.Fence); !ok {
		return protocol.Report{}, highest, false
	}
	r.advance(now)
	for _, renewal := range h.Renew {
		// A renewal that arrives out of order must not shorten the lease.
		if a := r.attempts[renewal.Ref]; a != nil && a.status.Phase == protocol.PhaseRunning {
			a.status.LeaseEnd = max(a.status.LeaseEnd, renewal.LeaseEnd)
		}
	}
	for _, ref := range h.Forget {
		if a := r.attempts[ref]; a != nil && a.status.Phase != protocol.PhaseRunning {
			r.forgotten[ref] = a.notAfter
			delete(r.attempts, ref)
		}
	}
	return r.report(now), 0, true
}

// setServing records how many slots are in use.
func (r *runner) setServing(now unit.WorkerTime, slots int) {
	r.serving.set(now, float64(slots))
	r.serving.trim(now.Add(-r.settings.UsageLag - usageWindow))
}

// inflation returns the factor by which the running tasks slow a request down.
// It grows with the cores that the tasks use and with the slots in use, so the
// interference of a pair varies with the load.
func (r *runner) inflation(now unit.WorkerTime) float64 {
	r.advance(now)
	var pressure float64
	for _, a := range r.attempts {
		if a.status.Phase == protocol.PhaseRunning {
			part := float64(a.status.Size.Cores) / float64(max(r.settings.Capacity.Cores, 1))
			pressure += r.settings.Interference[a.status.Class] * a.share.last() * part
		}
	}
	return 1 + pressure*r.serving.last()/float64(max(r.settings.Slots, 1))
}

// admit checks the fencing token and remembers it.
func (r *runner) admit(f protocol.Fence) (unit.Epoch, bool) {
	if highest := r.epochs[f.Shard]; f.Epoch < highest {
		r.ledger.stale++
		return highest, false
	}
	r.epochs[f.Shard] = f.Epoch
	return 0, true
}

func (r *runner) order(now unit.WorkerTime, o protocol.Order) protocol.Result {
	result := protocol.Result{Ref: o.Ref}
	if o.Action == protocol.ActionStart {
		result.Code = r.start(now, o)
		return result
	}
	a := r.attempts[o.Ref]
	if a == nil {
		result.Code = protocol.CodeMissing
		return result
	}
	switch o.Action {
	case protocol.ActionThrottle:
		result.Code = r.throttle(now, a, o.Share)
	case protocol.ActionCheckpoint:
		result.Code = r.halt(now, a, protocol.PhaseCheckpointed)
	case protocol.ActionStop:
		result.Code = r.halt(now, a, protocol.PhaseStopped)
	default:
		result.Code = protocol.CodeInvalid
	}
	result.Checkpoint = a.status.Checkpoint
	return result
}

func (r *runner) start(now unit.WorkerTime, o protocol.Order) protocol.Code {
	_, over := r.forgotten[o.Ref]
	switch {
	case over:
		return protocol.CodeEnded
	case r.attempts[o.Ref] != nil:
		r.ledger.repeated++
		return protocol.CodeOK
	case !o.Size.Valid() || o.Task.Job == "" || o.Attempt == 0 || o.Work < 0 || o.Work.Std() > longestTask:
		return protocol.CodeInvalid
	case now > o.NotAfter || now >= o.LeaseEnd:
		r.ledger.late++
		return protocol.CodeLate
	case r.draining:
		return protocol.CodeDraining
	case !o.Size.Fits(r.settings.Capacity.Sub(r.settings.Reserved).Sub(r.committed)):
		r.ledger.full++
		return protocol.CodeNoCapacity
	}
	a := &attempt{
		status: protocol.Status{
			Ref: o.Ref, Phase: protocol.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd,
		},
		notAfter: o.NotAfter,
		work:     time.Duration(min(float64(o.Work)*r.scale(o.Task, "work"), float64(longestTask))),
		worked:   checkpointProgress(o.Checkpoint),
		reading:  now,
		used:     min(1, r.scale(o.Task, "size")),
	}
	a.share.set(now, 1)
	r.attempts[o.Ref] = a
	r.committed = r.committed.Add(o.Size)
	a.run = r.ledger.begin(now, a.status, r.committed)
	if r.failing || o.Payload == payloadFail {
		a.status.Reason = "fault injected"
		r.end(now, a, protocol.PhaseFailed)
	}
	return protocol.CodeOK
}

func (r *runner) throttle(now unit.WorkerTime, a *attempt, share float64) protocol.Code {
	switch {
	case !(share > 0 && share <= 1): // also refuses NaN
		return protocol.CodeInvalid
	case a.status.Phase != protocol.PhaseRunning:
		return protocol.CodeEnded
	}
	a.share.set(now, share)
	a.status.Share = share
	if share == 1 {
		a.status.Share = 0
	}
	return protocol.CodeOK
}

// halt ends a running attempt in the given phase. An attempt already in that
// phase is a repeated order, which gets the same result.
func (r *runner) halt(now unit.WorkerTime, a *attempt, phase protocol.Phase) protocol.Code {
	switch a.status.Phase {
	case phase:
		return protocol.CodeOK
	case protocol.PhaseRunning:
		if phase == protocol.PhaseCheckpointed {
			a.status.Checkpoint = newCheckpoint(a.status.Ref, a.worked)
		}
		r.end(now, a, phase)
		return protocol.CodeOK
	}
	return protocol.CodeEnded
}

func (r *runner) end(at unit.WorkerTime, a *attempt, phase protocol.Phase) {
	a.status.Phase = phase
	a.share.set(at, 0)
	r.committed = r.committed.Sub(a.status.Size)
	r.ledger.end(a.run, at, phase)
}

// advance brings the progress of all attempts to now, and ends those that are
// done or whose lease has expired, whichever came first.
func (r *runner) advance(now unit.WorkerTime) {
	for _, a := range r.attempts {
		if a.status.Phase != protocol.PhaseRunning {
			continue
		}
		until := min(now, a.status.LeaseEnd)
		share := a.share.last()
		// Compared as floats: a small share makes the time left exceed a Duration.
		left := max(0, float64(a.work-a.worked)/share)
		if a.work > 0 && left <= float64(until.Sub(a.reading)) {
			r.end(a.reading.Add(time.Duration(left)), a, protocol.PhaseDone)
			continue
		}
		a.worked += time.Duration(float64(until.Sub(a.reading)) * share)
		a.reading = until
		if a.status.LeaseEnd <= now {
			r.end(a.status.LeaseEnd, a, protocol.PhaseExpired)
		}
	}
	for ref, notAfter := range r.forgotten {
		if notAfter < now {
			delete(r.forgotten, ref)
		}
	}
}

func (r *runner) report(now unit.WorkerTime) protocol.Report {
	report := protocol.Report{
		Clock:    now,
		Boot:     r.boot,
		State:    protocol.StateServing,
		Capacity: r.settings.Capacity,
		Reserved: r.settings.Reserved,
		Tasks:    make([]protocol.Status, 0, len(r.attempts)),
	}
	if r.draining {
		report.State = protocol.StateDraining
	}
	clock := now.Add(-r.settings.UsageLag)
	from := clock.Add(-usageWindow)
	if clock > 0 {
		slotCores := float64(r.settings.Reserved.Cores) / float64(max(r.settings.Slots, 1))
		report.Usage = append(report.Usage, protocol.Usage{
			Clock:  clock,
			Cores:  unit.Millicores(slotCores * r.serving.mean(from, clock)),
			Memory: r.settings.Reserved.Memory,
		})
	}
	for _, ref := range r.refs() {
		a := r.attempts[ref]
		report.Tasks = append(report.Tasks, a.status)
		share := a.share.mean(from, clock)
		if share == 0 {
			continue // it did not run within the window
		}
		report.Usage = append(report.Usage, protocol.Usage{
			Ref:    ref,
			Clock:  clock,
			Cores:  unit.Millicores(float64(a.status.Size.Cores) * a.used * share),
			Memory: unit.Bytes(float64(a.status.Size.Memory) * a.used),
		})
	}
	return report
}

// refs returns the known attempts in a fixed order, so that reports of equal
// states are equal.
func (r *runner) refs() []protocol.Ref {
	refs := make([]protocol.Ref, 0, len(r.attempts))
	for ref := range r.attempts {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b protocol.Ref) int {
		return cmp.Or(
			strings.Compare(string(a.Task.Job), string(b.Task.Job)),
			cmp.Compare(a.Task.Index, b.Task.Index),
			cmp.Compare(a.Attempt, b.Attempt),
		)
	})
	return refs
}

// scale returns by which factor the truth differs from what was declared. It
// depends on the task and not on the worker, so that a task resumed elsewhere
// keeps its true run time.
func (r *runner) scale(task unit.TaskID, quantity string) float64 {
	if r.settings.Spread == 0 {
		return 1
	}
	h := fnv.New64a()
	h.Write([]byte(quantity + " " + task.String()))
	normal := rand.New(rand.NewPCG(h.Sum64(), 0)).NormFloat64()
	return math.Exp(r.settings.Spread * normal)
}

// newCheckpoint returns an id that carries the progress, so that any stand-in
// worker can resume from it without shared storage.
func newCheckpoint(ref protocol.Ref, worked time.Duration) unit.CheckpointID {
	return unit.CheckpointID(ref.Task.String() + "@" + worked.String())
}

// checkpointProgress returns the progress that a checkpoint carries, or 0 for an
// id that no stand-in worker wrote.
func checkpointProgress(id unit.CheckpointID) time.Duration {
	_, text, _ := strings.Cut(string(id), "@")
	worked, err := time.ParseDuration(text)
	if err != nil || worked < 0 || worked > longestTask {
		return 0
	}
	return worked
}
