package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/delta"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// errSessionEnded means that the session of a relayed heartbeat has ended. The heartbeat
// may have been sent, and its answer is lost.
var errSessionEnded = errors.New("session of relayed heartbeats ended")

// errSessionIdle means that a session was not used for maxSessionIdle.
var errSessionIdle = errors.New("session of heartbeats not used")

// maxSessionIdle is how long a session is kept without heartbeats. It ends before the entry
// drops it, as a call to a dropped session fails.
const maxSessionIdle = SessionIdleTimeout / 2

// heartbeatSession sends heartbeats through one entry, one call after the other.
type heartbeatSession struct {
	shard *shard
	entry unit.EntryID
	id    SessionID
	wake  chan struct{} // has an element while heartbeats are queued

	mu      sync.Mutex
	ended   bool
	queue   []RelayedHeartbeat
	pending map[HeartbeatNumber]*pendingHeartbeat
	workers map[*workerClient]*sessionWorker
	number  HeartbeatNumber // of the last heartbeat
}

// sessionWorker is a worker in a session.
type sessionWorker struct {
	number      WorkerNumber
	named       bool                  // its id and address were sent
	incarnation scheduler.Incarnation // of the last renewal sent
	delta       delta.Decoder
}

// pendingHeartbeat is a relayed heartbeat without an answer.
type pendingHeartbeat struct {
	heartbeat
	client *workerClient
	worker *sessionWorker
	done   chan struct{} // closed when the fields below are set

	ends int // that the worker listed
	err  error
}

func newHeartbeatSession(sh *shard, entry unit.EntryID) *heartbeatSession {
	return &heartbeatSession{
		shard: sh, entry: entry, id: SessionID(rand.Uint64()),
		wake:    make(chan struct{}, 1),
		pending: map[HeartbeatNumber]*pendingHeartbeat{},
		workers: map[*workerClient]*sessionWorker{},
	}
}

// exchange sends a heartbeat to the worker of a client and returns the number of ends in
// its report, which was passed to the core.
func (s *heartbeatSession) exchange(ctx context.Context, c *workerClient, h heartbeat) (ends int, err error) {
	p, err := s.enqueue(c, h)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.done:
		return p.ends, p.err
	case <-ctx.Done():
		s.forget(p)
		return 0, errors.Errorf("relayed heartbeat: %w", ctx.Err())
	}
}

// enqueue queues a heartbeat for the next call.
func (s *heartbeatSession) enqueue(c *workerClient, h heartbeat) (*pendingHeartbeat, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.pending) >= MaxHeartbeatsUnderWay {
		return nil, errSessionEnded
	}
	w := s.workers[c]
	if w == nil {
		w = &sessionWorker{number: WorkerNumber(len(s.workers) + 1)}
		s.workers[c] = w
	}
	s.number++
	r := RelayedHeartbeat{Number: s.number, Worker: w.number, Until: h.renewal.Until, Cursor: h.renewal.Acked, Wait: h.wait}
	if !w.named {
		r.ID, r.Address, w.named = c.id, c.address, true
	}
	if h.renewal.Incarnation != w.incarnation {
		r.Incarnation, w.incarnation = h.renewal.Incarnation, h.renewal.Incarnation
	}
	p := &pendingHeartbeat{heartbeat: h, client: c, worker: w, done: make(chan struct{})}
	s.pending[r.Number] = p
	s.queue = append(s.queue, r)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return p, nil
}

// forget drops a heartbeat whose answer is not waited for any more. The answer is still
// decoded, as later ones build on it.
func (s *heartbeatSession) forget(p *pendingHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.client = nil
}

// run passes heartbeats on and applies their answers, until a call fails, the session is idle
// for long or the context ends. It returns the number of answered calls and the error of the last one.
func (s *heartbeatSession) run(ctx context.Context) (answered uint64, err error) {
	defer s.end()
	for call := uint64(1); ; call++ {
		if err := s.awaitWork(ctx, answered > 0); err != nil {
			return answered, err
		}
		now := time.Now()
		b := HeartbeatBatch{Session: s.id, Call: call, Fence: s.shard.term.Epoch, Deadline: now.Add(maxHeartbeatDelay), Heartbeats: s.take()}
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout(s.shard.heartbeats.interval()))
		answers, err := s.shard.service.heartbeatRelay.ExchangeHeartbeats(callCtx, s.entry, b)
		cancel()
		if err != nil {
			return answered, err
		}
		if err := s.apply(answers); err != nil {
			return answered, err
		}
		answered = call
	}
}

// awaitWork waits until there are heartbeats to send or answers to wait for. It fails if the
// context ends, or if a session that the entry knows is idle for long.
func (s *heartbeatSession) awaitWork(ctx context.Context, known bool) error {
	s.mu.Lock()
	idle := len(s.pending) == 0
	s.mu.Unlock()
	if !idle {
		return ctx.Err()
	}
	var expired <-chan time.Time
	if known {
		timer := time.NewTimer(maxSessionIdle)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-expired:
		return errSessionIdle
	case <-s.wake:
		return nil
	}
}

// take returns the next heartbeats to pass on.
func (s *heartbeatSession) take() []RelayedHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), MaxHeartbeatBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

// settledHeartbeat is an answered heartbeat with the report, which the core has not got yet.
type settledHeartbeat struct {
	*pendingHeartbeat
	client *workerClient // nil if nothing waits for the answer any more
	report scheduler.Report
	clock  unit.WorkerTime
}

// apply passes the reports of answered heartbeats to the core, in one update.
func (s *heartbeatSession) apply(answers []RelayedAnswer) error {
	if len(answers) == 0 {
		return nil
	}
	metric.RelayedHeartbeats.Add(int64(len(answers)))
	settled := make([]settledHeartbeat, 0, len(answers))
	began := time.Now()
	for _, a := range answers {
		h, err := s.settle(a)
		if err != nil {
			abort(settled)
			return err
		}
		settled = append(settled, h)
	}
	metric.PeersTimer.Since(began)
	for _, h := range settled {
		if h.client != nil && h.err == nil {
			h.client.recordAnswer(h.heartbeat, h.report, h.clock)
		}
	}
	s.shard.update(func(core *scheduler.Core, now time.Time) {
		for _, h := range settled {
			if h.client != nil && h.err == nil {
				core.HandleReport(h.client.id, h.report, now)
				core.AnswerSettled(h.client.id, h.sentAt)
			}
		}
	})
	for _, h := range settled {
		close(h.done)
	}
	return nil
}

// abort fails heartbeats whose answers came with one that cannot be used.
func abort(settled []settledHeartbeat) {
	for _, h := range settled {
		h.err = errSessionEnded
		close(h.done)
	}
}

// settle takes an answer to its heartbeat, which is not pending any more unless the answer
// cannot be used.
func (s *heartbeatSession) settle(a RelayedAnswer) (settledHeartbeat, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pending[a.Number]
	if p == nil {
		return settledHeartbeat{}, errors.Errorf("answer to heartbeat %d, which is not pending", a.Number)
	}
	h := settledHeartbeat{pendingHeartbeat: p, client: p.client, clock: a.Clock}
	if a.Error != "" {
		delete(s.pending, a.Number)
		p.err = errors.Errorf("hold via %s: %s", s.entry, a.Error)
		return h, nil
	}
	var err error
	if h.report, err = p.worker.delta.Decode(a.Report); err != nil {
		return settledHeartbeat{}, errors.Errorf("decode report: %w", err)
	}
	delete(s.pending, a.Number)
	h.report.RequestedAt = p.sentAt
	p.ends = len(h.report.Ended)
	return h, nil
}

// end fails the heartbeats without an answer.
func (s *heartbeatSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for number, p := range s.pending {
		p.err = errSessionEnded
		close(p.done)
		delete(s.pending, number)
	}
}
