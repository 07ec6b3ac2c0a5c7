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
	// tickInterval is the time between two ticks of a core.
	tickInterval = 250 * time.Millisecond
	// idleConnection is how long the goroutine of a worker that is no longer
	// listed is kept without a call: longer than two heartbeats.
	idleConnection = time.Minute
	// releaseTries bounds the attempts to write a record as released. A successor
	// takes over without it, but later.
	releaseTries = 4
)

// host runs the core of one shard. Its goroutine alone calls the core. A
// goroutine for the store and one for each worker carry out the calls, so that a
// slow one holds up nothing else.
type host struct {
	service *Service
	id      unit.ShardID
	epoch   unit.Epoch
	held    shard.StoredRecord // guarded by Service.mu
	core    *Core
	events  chan Event
	calls   chan Action               // to the store; the core has at most a ledger call and a job call in flight
	usage   atomic.Pointer[TeamUsage] // of the core, for other goroutines
	done    chan struct{}

	// Of the goroutine that runs the core.
	peers    map[unit.InstanceID]*peer
	revision unit.Revision // of the document
	document *spec.Document
	listing  unit.Revision
	targets  []unit.ZoneID // zones in service at the last Fleet event
}

// peer is the goroutine of one worker.
type peer struct {
	calls chan Action // one exchange is in flight at a time
	used  time.Time
}

func newHost(s *Service, core *Core, held shard.StoredRecord) *host {
	return &host{
		service: s, id: core.Shard, epoch: core.Epoch, held: held, core: core,
		events: make(chan Event, 64), calls: make(chan Action, 4), done: make(chan struct{}),
		peers: map[unit.InstanceID]*peer{},
	}
}

// deliver hands an event to the core's goroutine unless the host has ended.
func (h *host) deliver(ctx context.Context, e Event) {
	select {
	case h.events <- e:
	case <-h.done:
	case <-ctx.Done():
	}
}

// run runs the core until it ends or the context does.
func (h *host) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer func() {
		cancel()
		close(h.done)
		callers.Wait()
		h.service.ended(h)
	}()
	callers.Go(func() { h.callStore(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var event Event = Tick{}
	for {
		if h.step(ctx, &callers, event) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			event = Tick{}
			usage := TeamUsage(maps.Clone(h.core.usage))
			h.usage.Store(&usage)
		case event = <-h.events:
		}
	}
}

// step gives an event to the core and carries out the actions. It reports
// whether the core has ended.
func (h *host) step(ctx context.Context, callers *sync.WaitGroup, event Event) bool {
	for _, e := range []Event{h.sample(), h.list(), event} {
		if e == nil {
			continue
		}
		for _, a := range h.core.Step(h.service.options.Now(), e) {
			if h.carryOut(ctx, callers, a) {
				return true
			}
		}
	}
	return false
}

// sample returns the deadlines, and the document as read after them.
func (h *host) sample() Event {
	s := h.service
	valid := s.members.ValidUntil()
	session := s.members.Lease() // after ValidUntil, which is then not of a later lease
	s.mu.Lock()
	if session == "" || session != h.held.Record.Session {
		valid = time.Time{}
	}
	s.mu.Unlock()
	c := StartConditions{ValidUntil: valid, StartUntil: s.config.StartUntil(), NotAfter: s.config.NotAfter()}
	// Before the first revision is known no zone is; that must not count as all
	// zones being out of service.
	if r := s.config.Current(); r.Number != h.revision {
		h.revision, h.document = r.Number, &r.Document
	}
	c.Document = h.document
	return c
}

// list returns the workers if the list or the zones in service have changed.
func (h *host) list() Event {
	snapshot := h.service.fleet.Snapshot()
	var zones []unit.ZoneID
	if h.document != nil {
		for _, z := range h.document.Zones {
			if !z.Out {
				zones = append(zones, z.Name)
			}
		}
	}
	if h.listing == snapshot.Revision && h.listing != 0 && slices.Equal(zones, h.targets) {
		return nil
	}
	h.listing, h.targets = snapshot.Revision, zones
	var f Fleet
	populated := map[unit.ShardID]bool{}
	siblings := map[uint16]bool{} // buckets of the zone with live workers
	listed := map[unit.InstanceID]bool{}
	for _, w := range snapshot.Workers() {
		if w.Control == "" {
			continue
		}
		id := shard.ForRack(w.Zone, w.Rack, h.service.options.Buckets)
		live := w.State == store.InstanceLive
		f.Largest = f.Largest.Include(w.ID, w.Capacity)
		if live && slices.Contains(zones, w.Zone) {
			populated[id] = true
		}
		if live && w.Zone == h.id.Zone {
			siblings[id.Bucket] = true
		}
		if id == h.id {
			listed[w.ID] = true
			f.Workers = append(f.Workers, ListedWorker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity, Live: live})
		}
	}
	f.ZoneIndex, f.ZoneShards = position(h.id, siblings)
	for id := range populated {
		if id != h.id {
			f.MoveTargets = append(f.MoveTargets, id)
		}
	}
	// Each shard goes through the others in an order of its own, so that the tasks
	// of a zone that goes out do not all arrive at one place.
	sortByScore(f.MoveTargets, h.id.String())
	h.sweep(listed)
	return f
}

// position returns the place of a shard among the populated buckets of its zone,
// and their number, or 0 and 0 if it is not among them.
func position(id unit.ShardID, siblings map[uint16]bool) (int, int) {
	if !siblings[id.Bucket] {
		return 0, 0
	}
	before := 0
	for b := range siblings {
		if b < id.Bucket {
			before++
		}
	}
	return before, len(siblings)
}

// sweep ends the goroutines of workers that are no longer listed or called.
func (h *host) sweep(listed map[unit.InstanceID]bool) {
	now := h.service.options.Now()
	for id, p := range h.peers {
		if !listed[id] && now.Sub(p.used) > idleConnection {
			close(p.calls)
			delete(h.peers, id)
		}
	}
}

// carryOut hands a call to the goroutine that makes it. It reports whether the
// core has ended.
func (h *host) carryOut(ctx context.Context, callers *sync.WaitGroup, a Action) bool {
	switch a := a.(type) {
	case RecordEvent:
		h.service.journal.Record(a.Event)
	case SendOrders:
		h.call(ctx, callers, a.Worker, a)
	case SendHeartbeat:
		h.call(ctx, callers, a.Worker, a)
	case ReleaseShard:
		h.release(ctx, a.Inherited)
		return true
	case Shutdown:
		return true
	default:
		h.calls <- a
	}
	return false
}

// call hands a call to the goroutine of a worker and starts that if needed.
func (h *host) call(ctx context.Context, callers *sync.WaitGroup, id unit.InstanceID, a Action) {
	p := h.peers[id]
	if p == nil {
		address := h.address(id)
		if address == "" {
			event := unreachable(a)
			callers.Go(func() { // not from this goroutine, which empties the channel
				h.wait(ctx, tickInterval)
				h.deliver(ctx, event)
			})
			return
		}
		p = &peer{calls: make(chan Action, 1)}
		h.peers[id] = p
		client := h.service.options.Connect(address)
		callers.Go(func() { h.callWorker(ctx, client, p.calls) })
	}
	p.used = h.service.options.Now()
	p.calls <- a
}

func (h *host) address(id unit.InstanceID) string {
	for _, w := range h.service.fleet.Snapshot().Workers() {
		if w.ID == id {
			return w.Control
		}
	}
	return ""
}

// unreachable returns the answer to a call that was surely not sent.
func unreachable(a Action) Event {
	switch a := a.(type) {
	case SendOrders:
		return OrdersSent{Worker: a.Worker, Fault: FaultNoEffect}
	case SendHeartbeat:
		return HeartbeatSent{Worker: a.Worker, Fault: FaultNoEffect}
	}
	return nil
}

// callWorker makes the calls to one worker.
func (h *host) callWorker(ctx context.Context, client Client, calls <-chan Action) {
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case a, open := <-calls:
			if !open {
				return
			}
			h.deliver(ctx, h.exchange(ctx, client, a))
		}
	}
}

// exchange makes one call. The deadline is compared with the time immediately
// before the send, since the process may have been paused since the decision.
func (h *host) exchange(ctx context.Context, client Client, a Action) Event {
	now := h.service.options.Now
	switch a := a.(type) {
	case SendOrders:
		sent := now()
		if !a.Deadline.IsZero() && !sent.Before(a.Deadline) {
			return unreachable(a)
		}
		countOrders(a.Batch)
		reply, err := client.Orders(ctx, a.Batch)
		countResults(reply)
		return OrdersSent{Worker: a.Worker, Sent: sent, Received: now(), Reply: reply, Fault: workerFault(err)}
	case SendHeartbeat:
		sent := now()
		if !a.Deadline.IsZero() && !sent.Before(a.Deadline) {
			return unreachable(a)
		}
		heartbeatCount.Add(1)
		report, err := client.Heartbeat(ctx, a.Heartbeat)
		if observe := h.service.options.OnReport; err == nil && observe != nil {
			observe(a.Worker, report)
		}
		return HeartbeatSent{Worker: a.Worker, Sent: sent, Received: now(), Report: report, Fault: workerFault(err)}
	}
	return nil
}

// callStore makes the calls to the store.
func (h *host) callStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-h.calls:
			h.deliver(ctx, h.consult(ctx, a))
		}
	}
}

func (h *host) consult(ctx context.Context, a Action) Event {
	records := h.service.records
	switch a := a.(type) {
	case ReadLedger:
		r, err := records.Get(ctx, ledger.Key(h.id))
		if errors.Is(err, store.ErrNotFound) {
			return LedgerRead{}
		}
		return LedgerRead{Value: r.Value, Revision: r.Revision, Fault: storeFault(err)}
	case WriteLedger:
		writeCount.Add("ledger", 1)
		revision, err := records.Put(ctx, ledger.Key(h.id), a.Value, condition(a.Revision), "")
		return LedgerWritten{Revision: revision, Fault: storeFault(err)}
	case ListJobs:
		jobs, err := h.service.listJobs(ctx)
		return JobsListed{Jobs: jobs.changed, Fault: storeFault(err)}
	case ReadJob:
		return h.readJob(ctx, a.Job)
	case WriteJob:
		value, err := ledger.EncodeRecord(a.Record)
		if err != nil {
			return JobWritten{Job: a.Job, Fault: FaultNoEffect}
		}
		writeCount.Add("job", 1)
		revision, err := records.Put(ctx, ledger.RecordKey(a.Job), value, condition(a.Revision), "")
		return JobWritten{Job: a.Job, Revision: revision, Fault: storeFault(err)}
	}
	return nil
}

// readJob reads one job record, however long that takes.
func (h *host) readJob(ctx context.Context, id unit.JobID) Event {
	for {
		r, err := h.service.records.Get(ctx, ledger.RecordKey(id))
		if errors.Is(err, store.ErrNotFound) {
			return JobChanged{Job: id, Deleted: true}
		}
		if err == nil {
			var changed JobChanged
			if changed, err = parseJob(r); err == nil {
				return changed
			}
		}
		if !h.wait(ctx, watchRetry) {
			return JobWritten{Job: id, Fault: FaultUnknown}
		}
	}
}

// release writes the shard's record as released. Nothing is in flight any more.
func (h *host) release(ctx context.Context, inherited bool) {
	for range releaseTries {
		h.service.mu.Lock()
		held := h.held
		h.service.mu.Unlock()
		_, err := h.service.write(ctx, h.id, shard.ReleaseRecord(held, inherited), held)
		if err == nil || errors.Is(err, store.ErrConflict) || !h.wait(ctx, tickInterval) {
			return
		}
	}
}

// wait waits and reports whether the context still holds.
func (h *host) wait(ctx context.Context, d time.Duration) bool {
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
