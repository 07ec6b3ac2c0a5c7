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

// relayClient sends batches through one entry.
type relayClient struct {
	shard     *shard
	entry     unit.EntryID
	hash      uint64 // of the entry
	rank      int    // by capacity, from 0; guarded by the lock of the shard
	ctx       context.Context
	cancel    context.CancelFunc
	queue     chan queuedBatch
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
		queue:  make(chan queuedBatch, queuedBatches),
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
		case batch := <-r.queue:
			r.shard.goroutines.Go(func() {
				defer func() { <-r.slots }()
				r.shard.relays.recordQueued(time.Since(batch.queuedAt))
				r.send(batch.orders)
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
		case batch := <-r.queue:
			refused := make([]settledOrder, len(batch.orders))
			for i, o := range batch.orders {
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
	calledAt := time.Now()
	outcomes, err := r.call(batch)
	r.shard.relays.recordAnswer(time.Since(calledAt))
	if err != nil {
		r.shard.log.Info("starts not relayed", "via", r.entry, "job", batch.Job, "starts", len(batch.Starts), "error", err.Error())
		r.reachable.Store(false)
		r.signalFailure()
	} else {
		r.useful.Store(true)
	}
	r.recordSpec(batch.Job, err == nil && !slices.Contains(outcomes, scheduler.OutcomeNotSent))
	metric.RelayedStarts.Add(int64(len(admitted)))
	metric.RelayedBatches.Add(1)
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
