package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// tickInterval is the time between two ticks of a core, and the delay before
	// a failed call is tried again.
	tickInterval = 250 * time.Millisecond
	// idleCallerTimeout is how long the caller of an unlisted worker is kept
	// without a call. It is longer than two heartbeats.
	idleCallerTimeout = time.Minute
	// maxReleaseTries bounds the tries to write a shard record as released.
	// Without that write a successor takes over later.
	maxReleaseTries = 4
)

// runner runs the core of one shard. Only its goroutine calls the core. One
// goroutine for the store and one for each worker make the calls, so that a slow
// call does not delay the others.
type runner struct {
	service      *Service
	id           unit.ShardID
	epoch        unit.Epoch
	storedRecord shard.StoredRecord // the shard record as last read or written; guarded by Service.mu
	core         *Core
	events       chan Event
	storeCalls   chan Action               // to the store; at most a ledger call and a job call are in flight
	usage        atomic.Pointer[TeamUsage] // copy of the core's shardUsage for other goroutines
	done         chan struct{}

	// Used only by the goroutine that runs the core.
	workerCallers    map[unit.InstanceID]*workerCaller
	documentRevision unit.Revision // of document
	document         *spec.Document
	listRevision     unit.Revision
	zonesInService   []unit.ZoneID // zones in service as of the last Fleet event
}

// workerCaller is the goroutine that makes the calls to one worker.
type workerCaller struct {
	calls    chan Action // one call is in flight at a time
	lastUsed time.Time
}

func newRunner(s *Service, core *Core, stored shard.StoredRecord) *runner {
	return &runner{
		service: s, id: core.Shard, epoch: core.Epoch, storedRecord: stored, core: core,
		events: make(chan Event, 64), storeCalls: make(chan Action, 4), done: make(chan struct{}),
		workerCallers: map[unit.InstanceID]*workerCaller{},
	}
}

// deliver passes an event to the core's goroutine unless the runner has ended.
func (r *runner) deliver(ctx context.Context, e Event) {
	select {
	case r.events <- e:
	case <-r.done:
	case <-ctx.Done():
	}
}

// run runs the core until it or the context ends.
func (r *runner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer func() {
		cancel()
		close(r.done)
		goroutines.Wait()
		r.service.removeRunner(r)
	}()
	goroutines.Go(func() { r.runStoreCalls(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var event Event = Tick{}
	for {
		if r.handleEvent(ctx, &goroutines, event) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			event = Tick{}
			usage := TeamUsage(maps.Clone(r.core.shardUsage))
			r.usage.Store(&usage)
		case event = <-r.events:
		}
	}
}

// handleEvent passes the sampled inputs and an event to the core and executes the
// actions. It reports whether the core has ended.
func (r *runner) handleEvent(ctx context.Context, goroutines *sync.WaitGroup, event Event) bool {
	for _, e := range []Event{r.startConditions(), r.fleetChange(), event} {
		if e == nil {
			continue
		}
		for _, a := range r.core.Step(r.service.options.Now(), e) {
			if r.execute(ctx, goroutines, a) {
				return true
			}
		}
	}
	return false
}

// startConditions returns the deadlines, and the target document read after them.
func (r *runner) startConditions() Event {
	s := r.service
	valid := s.members.ValidUntil()
	session := s.members.Lease() // read after ValidUntil, which therefore does not belong to a later lease
	s.mu.Lock()
	if session == "" || session != r.storedRecord.Record.Session {
		valid = time.Time{}
	}
	s.mu.Unlock()
	c := StartConditions{ValidUntil: valid, StartUntil: s.config.StartUntil(), NotAfter: s.config.NotAfter()}
	// Before the first revision is read, Current has no zones. That must not
	// count as all zones being out of service.
	if current := s.config.Current(); current.Number != r.documentRevision {
		r.documentRevision, r.document = current.Number, &current.Document
	}
	c.Document = r.document
	return c
}

// fleetChange returns a Fleet event if the instance list or the zones in service
// have changed, and otherwise nil.
func (r *runner) fleetChange() Event {
	snapshot := r.service.fleet.Snapshot()
	var zones []unit.ZoneID
	if r.document != nil {
		for _, z := range r.document.Zones {
			if !z.Out {
				zones = append(zones, z.Name)
			}
		}
	}
	if r.listRevision == snapshot.Revision && r.listRevision != 0 && slices.Equal(zones, r.zonesInService) {
		return nil
	}
	r.listRevision, r.zonesInService = snapshot.Revision, zones
	var f Fleet
	populatedShards := map[unit.ShardID]bool{}
	populatedBuckets := map[uint16]bool{} // buckets of this zone with live workers
	listed := map[unit.InstanceID]bool{}
	for _, w := range snapshot.Workers() {
		if w.Control == "" {
			continue
		}
		id := shard.ForRack(w.Zone, w.Rack, r.service.options.Buckets)
		live := w.State == store.InstanceLive
		f.Largest = f.Largest.Include(w.ID, w.Capacity)
		if live && slices.Contains(zones, w.Zone) {
			populatedShards[id] = true
		}
		if live && w.Zone == r.id.Zone {
			populatedBuckets[id.Bucket] = true
		}
		if id == r.id {
			listed[w.ID] = true
			f.Workers = append(f.Workers, ListedWorker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity, Live: live})
		}
	}
	f.ZoneIndex, f.ZoneShards = zoneIndex(r.id, populatedBuckets)
	for id := range populatedShards {
		if id != r.id {
			f.MoveTargets = append(f.MoveTargets, id)
		}
	}
	// Each shard has its own order of move targets, so that the tasks of a zone
	// that goes out of service do not all move to the same shard.
	sortByScore(f.MoveTargets, r.id.String())
	r.closeIdleCallers(listed)
	return f
}

// zoneIndex returns the index of a shard among the populated buckets of its zone
// and the number of these buckets, or 0 and 0 if the shard is not among them.
func zoneIndex(id unit.ShardID, populatedBuckets map[uint16]bool) (int, int) {
	if !populatedBuckets[id.Bucket] {
		return 0, 0
	}
	before := 0
	for b := range populatedBuckets {
		if b < id.Bucket {
			before++
		}
	}
	return before, len(populatedBuckets)
}

// closeIdleCallers ends the goroutines of unlisted workers that are no longer
// called.
func (r *runner) closeIdleCallers(listed map[unit.InstanceID]bool) {
	now := r.service.options.Now()
	for id, caller := range r.workerCallers {
		if !listed[id] && now.Sub(caller.lastUsed) > idleCallerTimeout {
			close(caller.calls)
			delete(r.workerCallers, id)
		}
	}
}

// execute executes an action or passes its call to the goroutine that makes it.
// It reports whether the core has ended.
func (r *runner) execute(ctx context.Context, goroutines *sync.WaitGroup, a Action) bool {
	switch a := a.(type) {
	case RecordEvent:
		r.service.journal.Record(a.Event)
	case SendOrders:
		r.callWorker(ctx, goroutines, a.Worker, a)
	case SendHeartbeat:
		r.callWorker(ctx, goroutines, a.Worker, a)
	case ReleaseShard:
		r.releaseShard(ctx, a.Inherited)
		return true
	case Shutdown:
		return true
	default:
		r.storeCalls <- a
	}
	return false
}

// callWorker passes a call to the goroutine of a worker, which it starts if
// needed.
func (r *runner) callWorker(ctx context.Context, goroutines *sync.WaitGroup, id unit.InstanceID, a Action) {
	caller := r.workerCallers[id]
	if caller == nil {
		address := r.controlAddress(id)
		if address == "" {
			event := notSentEvent(a)
			goroutines.Go(func() { // this goroutine receives the events, so it must not send one
				r.sleep(ctx, tickInterval)
				r.deliver(ctx, event)
			})
			return
		}
		caller = &workerCaller{calls: make(chan Action, 1)}
		r.workerCallers[id] = caller
		client := r.service.options.Connect(address)
		goroutines.Go(func() { r.runWorkerCalls(ctx, client, caller.calls) })
	}
	caller.lastUsed = r.service.options.Now()
	caller.calls <- a
}

func (r *runner) controlAddress(id unit.InstanceID) string {
	for _, w := range r.service.fleet.Snapshot().Workers() {
		if w.ID == id {
			return w.Control
		}
	}
	return ""
}

// notSentEvent returns the answer to a call that was certainly not sent.
func notSentEvent(a Action) Event {
	switch a := a.(type) {
	case SendOrders:
		return OrdersSent{Worker: a.Worker, Fault: FaultNoEffect}
	case SendHeartbeat:
		return HeartbeatSent{Worker: a.Worker, Fault: FaultNoEffect}
	}
	return nil
}

// runWorkerCalls makes the calls to one worker.
func (r *runner) runWorkerCalls(ctx context.Context, client Client, calls <-chan Action) {
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case a, open := <-calls:
			if !open {
				return
			}
			r.deliver(ctx, r.executeWorkerCall(ctx, client, a))
		}
	}
}

// executeWorkerCall makes one call to a worker. It checks the deadline
// immediately before the send, since the process may have been paused since the
// decision.
func (r *runner) executeWorkerCall(ctx context.Context, client Client, a Action) Event {
	now := r.service.options.Now
	switch a := a.(type) {
	case SendOrders:
		sent := now()
		if !a.Deadline.IsZero() && !sent.Before(a.Deadline) {
			return notSentEvent(a)
		}
		countOrders(a.Batch)
		reply, err := client.Orders(ctx, a.Batch)
		countResults(reply)
		return OrdersSent{Worker: a.Worker, Sent: sent, Received: now(), Reply: reply, Fault: workerFault(err)}
	case SendHeartbeat:
		sent := now()
		if !a.Deadline.IsZero() && !sent.Before(a.Deadline) {
			return notSentEvent(a)
		}
		heartbeatCount.Add(1)
		report, err := client.Heartbeat(ctx, a.Heartbeat)
		if onReport := r.service.options.OnReport; err == nil && onReport != nil {
			onReport(a.Worker, report)
		}
		return HeartbeatSent{Worker: a.Worker, Sent: sent, Received: now(), Report: report, Fault: workerFault(err)}
	}
	return nil
}

// runStoreCalls makes the calls to the store.
func (r *runner) runStoreCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.storeCalls:
			r.deliver(ctx, r.executeStoreCall(ctx, a))
		}
	}
}

func (r *runner) executeStoreCall(ctx context.Context, a Action) Event {
	records := r.service.records
	switch a := a.(type) {
	case ReadLedger:
		stored, err := records.Get(ctx, ledger.Key(r.id))
		if errors.Is(err, store.ErrNotFound) {
			return LedgerRead{}
		}
		return LedgerRead{Value: stored.Value, Revision: stored.Revision, Fault: storeFault(err)}
	case WriteLedger:
		writeCount.Add("ledger", 1)
		revision, err := records.Put(ctx, ledger.Key(r.id), a.Value, unchangedSince(a.Revision), "")
		return LedgerWritten{Revision: revision, Fault: storeFault(err)}
	case ListJobs:
		list, err := r.service.listJobs(ctx)
		return JobsListed{Jobs: list.jobs, Fault: storeFault(err)}
	case ReadJob:
		return r.readJob(ctx, a.Job)
	case WriteJob:
		value, err := ledger.EncodeRecord(a.Record)
		if err != nil {
			return JobWritten{Job: a.Job, Fault: FaultNoEffect}
		}
		writeCount.Add("job", 1)
		revision, err := records.Put(ctx, ledger.RecordKey(a.Job), value, unchangedSince(a.Revision), "")
		return JobWritten{Job: a.Job, Revision: revision, Fault: storeFault(err)}
	}
	return nil
}

// readJob reads one job record and repeats the read until it succeeds or the
// context ends.
func (r *runner) readJob(ctx context.Context, id unit.JobID) Event {
	for {
		stored, err := r.service.records.Get(ctx, ledger.RecordKey(id))
		if errors.Is(err, store.ErrNotFound) {
			return JobChanged{Job: id, Deleted: true}
		}
		if err == nil {
			var changed JobChanged
			if changed, err = parseJob(stored); err == nil {
				return changed
			}
		}
		if !r.sleep(ctx, watchRetryDelay) {
			return JobWritten{Job: id, Fault: FaultUnknown}
		}
	}
}

// releaseShard writes the record of the shard as released. No other call of the
// core is in flight by then.
func (r *runner) releaseShard(ctx context.Context, inherited bool) {
	for range maxReleaseTries {
		r.service.mu.Lock()
		stored := r.storedRecord
		r.service.mu.Unlock()
		_, err := r.service.writeShardRecord(ctx, r.id, shard.ReleaseRecord(stored, inherited), stored)
		if err == nil || errors.Is(err, store.ErrConflict) || !r.sleep(ctx, tickInterval) {
			return
		}
	}
}

// sleep waits for a duration and reports whether the context has not ended
// before.
func (r *runner) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func storeFault(err error) Fault {
	switch {
	case err == nil:
		return FaultNone
	case errors.Is(err, store.ErrConflict):
		return FaultConflict
	case errors.Is(err, store.ErrUnavailable):
		return FaultNoEffect
	}
	return FaultUnknown
}

func workerFault(err error) Fault {
	switch {
	case err == nil:
		return FaultNone
	case errors.Is(err, worker.ErrStaleEpoch):
		return FaultStaleEpoch
	case errors.Is(err, worker.ErrUnavailable):
		return FaultNoEffect
	}
	return FaultUnknown
}
