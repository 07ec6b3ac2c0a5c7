package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// relayServiceName is the name of the service that implements startRelay.
const relayServiceName registry.Name = "relay"

// startRelay sends starts to workers through another entry.
type startRelay interface {
	// SendStarts sends the starts of a batch through an entry and returns the outcome
	// of each, also with an error.
	SendStarts(ctx context.Context, via unit.EntryID, b StartBatch) ([]scheduler.Outcome, error)
}

// StartBatch is starts of tasks of one job that another entry sends to their workers.
type StartBatch struct {
	Job      unit.JobID     `cbor:"1,keyasint,omitempty"`
	Spec     string         `cbor:"2,keyasint,omitempty"`
	SpecHeld bool           `cbor:"3,keyasint,omitempty"` // the entry holds the spec, which is left out
	Fence    unit.Epoch     `cbor:"4,keyasint"`
	Deadline time.Time      `cbor:"5,keyasint"` // nothing of the batch is sent after it
	Starts   []RelayedStart `cbor:"6,keyasint,omitempty"`
}

// RelayedStart is one start of a StartBatch.
type RelayedStart struct {
	Worker     unit.InstanceID  `cbor:"1,keyasint"`
	Address    string           `cbor:"2,keyasint"` // IP and port of the worker
	Occurrence graph.Occurrence `cbor:"3,keyasint,omitempty"`
	Step       graph.StepIndex  `cbor:"4,keyasint,omitempty"`
	Index      unit.TaskIndex   `cbor:"5,keyasint,omitempty"`
	Run        graph.RunNumber  `cbor:"6,keyasint"`
	Until      unit.WorkerTime  `cbor:"7,keyasint"` // on the worker's clock, which refuses the start later
	Checkpoint string           `cbor:"8,keyasint,omitempty"`
	Ticket     scheduler.Ticket `cbor:"9,keyasint,omitempty"`
}

// Limits and timeouts of relayed starts.
const (
	// maxRelays is the largest number of entries that starts are sent through. Each may
	// open connections to every worker, which accepts a few dozen.
	maxRelays = 8
	// maxStartRelays is the largest number of entries that starts are sent through for want
	// of processor time. It is less than maxRelays, as each opens connections to every worker.
	maxStartRelays = 3
	// minBatchesInFlight and maxBatchesInFlight bound the number of unanswered batches at
	// one entry, whose link may be as small as the owner's. A batch with a worker that does
	// not answer takes RelayedStartTimeout.
	minBatchesInFlight = 2
	maxBatchesInFlight = 16
	// batchBytes is about what a batch takes on the link of the entry.
	batchBytes unit.Bytes = 16 << 10
	// batchTime is the time in which a link carries the batches in flight.
	batchTime = 100 * time.Millisecond
	// queuedBatches is the number of batches that wait for one entry.
	queuedBatches = 32
	// maxKnownSpecs is the number of specs that an entry is taken to hold.
	maxKnownSpecs = 1024
	// RelayedStartTimeout is the time in which a worker has to answer a relayed start.
	RelayedStartTimeout = 800 * time.Millisecond
	// relayTimeout is the time in which an entry has to answer a batch.
	relayTimeout = RelayedStartTimeout + responseSlack
	// minRelayPause is the pause after an entry has not answered before it is tried again.
	// It grows by relayPauseFactor up to maxRelayPause until the entry has answered a
	// batch: the tasks of a lost batch start again only after some three seconds.
	minRelayPause    = time.Second
	maxRelayPause    = 30 * time.Second
	relayPauseFactor = 4
	// relayUpdateInterval is the time between two looks at which entries are registered.
	relayUpdateInterval = 500 * time.Millisecond
)

// batchesInFlight returns the number of unanswered batches at one entry for a link of the
// given capacity.
func batchesInFlight(link unit.BitRate) int {
	carried := float64(link) / 8 * batchTime.Seconds() / float64(batchBytes)
	return min(max(int(carried), minBatchesInFlight), maxBatchesInFlight)
}

// relayPool sends batches of starts through other entries. The lock of the shard guards
// its fields.
type relayPool struct {
	shard     *shard
	relays    map[unit.EntryID]*relayClient
	updatedAt time.Time
	sharing   int // number of entries that send heartbeats; 0: the owner does
}

func newRelayPool(sh *shard) *relayPool {
	return &relayPool{shard: sh, relays: map[unit.EntryID]*relayClient{}}
}

// offer queues orders of one batch and reports whether an entry takes it. The starts of
// the same tasks go through the same entry while that answers, as it has the spec already.
func (p *relayPool) offer(batch []scheduler.Order) bool {
	task := batch[0].Task
	job := xxhash.Sum64String(string(task.Job)) + uint64(task.Index)/scheduler.MaxStartBatch
	var best *relayClient
	for _, r := range p.relays {
		if r.rank < p.startRelays() && r.reachable.Load() && len(r.queue) < cap(r.queue) && (best == nil || r.hash^job < best.hash^job) {
			best = r
		}
	}
	if best == nil {
		return false
	}
	best.queue <- batch // has room, as only this function sends
	return true
}

// startRelays returns through how many entries starts are sent.
func (p *relayPool) startRelays() int {
	if p.sharing > 0 && p.shard.heartbeats.directInterval() <= busyHeartbeatWait {
		return maxStartRelays
	}
	return maxRelays // the link is short
}

// update replaces the entries that batches are sent through by those that are registered
// now, at most once in a relayUpdateInterval, and returns how many there are.
func (p *relayPool) update(now time.Time) scheduler.StartRelays {
	if now.Sub(p.updatedAt) >= relayUpdateInterval {
		p.updatedAt = now
		p.replace(p.shard.service.ownership.StartRelays())
		p.shareHeartbeats()
		p.shard.heartbeats.setRelayed(p.relayedShare(), now)
	}
	count := scheduler.StartRelays{Registered: len(p.relays), Preferred: p.sharing > 0}
	for _, r := range p.relays {
		if r.reachable.Load() {
			count.Reachable++
		}
	}
	return count
}

// replace replaces the entries that batches are sent through by the first maxRelays of a
// list.
func (p *relayPool) replace(entries []unit.EntryID) {
	entries = entries[:min(len(entries), maxRelays)]
	wanted := map[unit.EntryID]bool{}
	for rank, id := range entries {
		wanted[id] = true
		if p.relays[id] == nil {
			p.relays[id] = newRelayClient(p.shard, id)
		}
		p.relays[id].rank = rank
	}
	for id, r := range p.relays {
		if !wanted[id] {
			r.cancel()
			delete(p.relays, id)
		}
	}
}

// shareHeartbeats decides through how many entries heartbeats are sent.
func (p *relayPool) shareHeartbeats() {
	options := p.shard.service.options
	workers, interval := len(p.shard.workerClients), p.shard.heartbeats.directInterval()
	n := heartbeatRelays(workers, options.Processor, interval)
	if n == 0 && p.sharing > 0 {
		n = heartbeatRelays(workers*100/relayHysteresis, options.Processor, interval*100/relayHysteresis)
	}
	if n != p.sharing {
		p.shard.log.Info("entries that send heartbeats and starts for the owner", "entries", n, "before", p.sharing, "workers", workers,
			"registered", len(p.relays), "interval", interval.String())
	}
	p.sharing = n
}

// relayedShare returns the share of the heartbeats that other entries send.
func (p *relayPool) relayedShare() float64 {
	if p.sharing == 0 {
		return 0
	}
	live := 0
	for _, r := range p.relays {
		if r.rank < p.sharing && r.session.Load() != nil {
			live++
		}
	}
	return float64(live) / float64(p.sharing)
}

// heartbeatSession returns the session in which the heartbeats to a worker are sent, or nil
// if they are sent directly.
func (p *relayPool) heartbeatSession(id unit.InstanceID) *heartbeatSession {
	if p.sharing == 0 {
		return nil
	}
	worker := xxhash.Sum64String(string(id))
	var best *heartbeatSession
	var bestHash uint64
	for _, r := range p.relays {
		if s := r.session.Load(); s != nil && r.rank < p.sharing && (best == nil || r.hash^worker < bestHash) {
			best, bestHash = s, r.hash^worker
		}
	}
	return best
}

// relayClient sends batches through one entry.
type relayClient struct {
	shard     *shard
	entry     unit.EntryID
	hash      uint64 // of the entry
	rank      int    // by capacity, from 0; guarded by the lock of the shard
	ctx       context.Context
	cancel    context.CancelFunc
	queue     chan []scheduler.Order
	slots     chan struct{}                    // holds an element for each batch in flight
	failed    chan struct{}                    // signals that a batch had no answer
	reachable atomic.Bool                      // the entry has answered the last call
	useful    atomic.Bool                      // the entry has answered a batch or heartbeats since the last pause
	session   atomic.Pointer[heartbeatSession] // nil while no heartbeats go through the entry

	mu    sync.Mutex
	specs map[unit.JobID]bool // jobs whose spec the entry holds
}

func newRelayClient(sh *shard, entry unit.EntryID) *relayClient {
	ctx, cancel := context.WithCancel(sh.ctx)
	r := &relayClient{
		shard: sh, entry: entry, hash: xxhash.Sum64String(string(entry)), ctx: ctx, cancel: cancel,
		queue:  make(chan []scheduler.Order, queuedBatches),
		slots:  make(chan struct{}, batchesInFlight(sh.service.options.Link)),
		failed: make(chan struct{}, 1),
		specs:  map[unit.JobID]bool{},
	}
	sh.goroutines.Go(r.run)
	return r
}

// run sends batches, each in a goroutine, until the entry or the shard is given up. It
// takes batches only while the entry answers, so that no start waits for a connection.
func (r *relayClient) run() {
	pause := minRelayPause
	for r.ctx.Err() == nil {
		if _, err := r.call(StartBatch{Fence: r.shard.term.Epoch}); err == nil {
			select {
			case <-r.failed: // of a batch before the pause
			default:
			}
			r.reachable.Store(true)
			r.serve()
			r.reachable.Store(false)
		}
		r.refuseQueued()
		if r.useful.Swap(false) {
			pause = minRelayPause
		}
		wait.For(r.ctx, pause)
		pause = min(relayPauseFactor*pause, maxRelayPause)
	}
	r.refuseQueued()
}

// serve sends batches and heartbeats until one of the calls has no answer or the context
// ends.
func (r *relayClient) serve() {
	ctx, cancel := context.WithCancel(r.ctx)
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() { r.exchangeHeartbeats(ctx) })
	r.sendBatches()
	cancel()
	heartbeats.Wait()
}

// exchangeHeartbeats runs sessions of heartbeats until a call has no answer or the context
// ends. An entry that answers but ends sessions, such as one of an earlier release, gets
// starts all the same.
func (r *relayClient) exchangeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		s := newHeartbeatSession(r.shard, r.entry)
		r.session.Store(s)
		answered, err := s.run(ctx)
		r.session.Store(nil)
		if answered > 0 {
			r.useful.Store(true)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errSessionIdle):
			continue
		}
		r.shard.log.Info("session of heartbeats ended", "via", r.entry, "calls", answered, "error", err.Error())
		if errors.Is(err, mesh.ErrUnreachable) || errors.Is(err, mesh.ErrUnknown) {
			r.reachable.Store(false)
			r.signalFailure()
			return
		}
		wait.For(ctx, maxRelayPause)
	}
}

// signalFailure ends sendBatches.
func (r *relayClient) signalFailure() {
	select {
	case r.failed <- struct{}{}:
	default:
	}
}

// sendBatches sends batches until one has no answer or the context ends. A batch stays in
// the queue until it can be sent.
func (r *relayClient) sendBatches() {
	for r.takeSlot() {
		select {
		case <-r.ctx.Done():
			<-r.slots
			return
		case <-r.failed:
			<-r.slots
			return
		case orders := <-r.queue:
			r.shard.goroutines.Go(func() {
				defer func() { <-r.slots }()
				r.send(orders)
			})
		}
	}
}

// takeSlot waits until another batch may be in flight, and returns false if a batch has no
// answer or the context ends.
func (r *relayClient) takeSlot() bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-r.failed:
		return false
	case r.slots <- struct{}{}:
	}
	if r.reachable.Load() {
		return true
	}
	<-r.slots // a batch that had no answer has left it
	return false
}

// refuseQueued returns the queued starts to the core.
func (r *relayClient) refuseQueued() {
	for {
		select {
		case orders := <-r.queue:
			refused := make([]settledOrder, len(orders))
			for i, o := range orders {
				refused[i] = settledOrder{o, scheduler.OutcomeNotSent}
			}
			r.shard.settleOrders(refused, time.Now(), "")
		default:
			return
		}
	}
}

// send sends the orders of a batch that the core still wants, and passes the outcomes to
// the core.
func (r *relayClient) send(orders []scheduler.Order) {
	sentAt := time.Now()
	batch, admitted, refused := r.shard.admitBatch(orders, sentAt)
	r.shard.settleOrders(refused, sentAt, "")
	if len(admitted) == 0 {
		return
	}
	if r.holdsSpec(batch.Job) {
		r.shard.refundSpec(batch.Spec)
		batch.Spec, batch.SpecHeld = "", true
	}
	outcomes, err := r.call(batch)
	if err != nil {
		r.shard.log.Info("starts not relayed", "via", r.entry, "job", batch.Job, "starts", len(batch.Starts), "error", err.Error())
		r.reachable.Store(false)
		r.signalFailure()
	} else {
		r.useful.Store(true)
	}
	r.recordSpec(batch.Job, err == nil && !slices.Contains(outcomes, scheduler.OutcomeNotSent))
	metric.RelayedStarts.Add(int64(len(admitted)))
	for i := range admitted {
		admitted[i].outcome = outcomes[i]
	}
	r.shard.settleOrders(admitted, sentAt, r.entry)
}

func (r *relayClient) call(b StartBatch) ([]scheduler.Outcome, error) {
	ctx, cancel := context.WithTimeout(r.ctx, relayTimeout)
	defer cancel()
	return r.shard.service.relay.SendStarts(ctx, r.entry, b)
}

// holdsSpec reports whether the entry holds the spec of a job.
func (r *relayClient) holdsSpec(id unit.JobID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.specs[id]
}

// recordSpec records whether the entry holds the spec of a job. It may have dropped a spec
// if it has not sent a start.
func (r *relayClient) recordSpec(id unit.JobID, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !held:
		delete(r.specs, id)
	case len(r.specs) >= maxKnownSpecs:
		clear(r.specs)
	default:
		r.specs[id] = true
	}
}

// refundSpec tells the core that the spec of a batch is not sent. The core counts it with
// each batch, as it does not know which entries hold it.
func (sh *shard) refundSpec(spec string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.RefundStarts(unit.Bytes(len(spec)))
}

// settledOrder is an order with its outcome.
type settledOrder struct {
	scheduler.Order
	outcome scheduler.Outcome
}

// admitBatch returns the starts of a batch that is sent at sentAt which are still wanted and
// may be sent, and those that may not be sent now. Waiting for the lock of the core may take
// long, so each is decided by the time then.
func (sh *shard) admitBatch(orders []scheduler.Order, sentAt time.Time) (b StartBatch, admitted, refused []settledOrder) {
	b = StartBatch{Job: orders[0].Task.Job, Spec: orders[0].Spec, Fence: sh.term.Epoch, Deadline: sentAt.Add(maxStartWindow)}
	for _, o := range orders {
		sh.mu.Lock()
		client := sh.workerClients[o.Worker]
		sh.mu.Unlock()
		if client == nil {
			refused = append(refused, settledOrder{o, scheduler.OutcomeNotSent})
			continue
		}
		switch until, verdict := client.admit(o, time.Now()); verdict {
		case orderWithdrawn:
			metric.Orders.Add(kindName(o.Kind)+" withdrawn", 1)
		case orderRefused:
			refused = append(refused, settledOrder{o, scheduler.OutcomeNotSent})
		case orderAdmitted:
			admitted = append(admitted, settledOrder{Order: o})
			b.Starts = append(b.Starts, RelayedStart{
				Worker: o.Worker, Address: client.address, Occurrence: o.Task.Occurrence, Step: o.Task.Step, Index: o.Task.Index,
				Run: o.Run, Until: until, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
			})
		}
	}
	return b, admitted, refused
}

// queueOrders passes orders on to the clients of their workers, and relayed starts to the
// relays. It is called with the lock held.
func (sh *shard) queueOrders(orders []scheduler.Order) {
	for len(orders) > 0 {
		n := relayBatch(orders)
		if n > 0 && sh.relays.offer(orders[:n]) {
			orders = orders[n:]
			continue
		}
		if c := sh.workerClients[orders[0].Worker]; c != nil {
			c.enqueue(orders[0])
		}
		orders = orders[1:]
	}
}

// relayBatch returns how many of the first orders are relayed starts of one job.
func relayBatch(orders []scheduler.Order) int {
	n := 0
	for n < min(len(orders), scheduler.MaxStartBatch) && orders[n].Relayed && orders[n].Task.Job == orders[0].Task.Job {
		n++
	}
	return n
}
