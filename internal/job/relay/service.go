// Package relay sends starts and heartbeats to workers for the owner of the shard, whose
// link or processor may be too small for the calls to the whole fleet. The owner decides; an
// entry that relays a call neither repeats it nor keeps anything of it.
package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "relay"

// kindStarts is the kind of mesh call that carries an owner.StartBatch and returns the
// outcomes of its starts; kindHeartbeats is that of a call of a session of heartbeats, which
// carries an owner.HeartbeatBatch and returns a list of owner.RelayedAnswer.
const (
	kindStarts     mesh.Kind = 20
	kindHeartbeats mesh.Kind = 23 // 21 is that of releases whose heartbeats name no incarnation
)

const (
	// maxClockSkew is how far the clocks of two entries may be apart. A batch that comes
	// later than that after its deadline was held up on the way or by a suspended process.
	maxClockSkew = 2 * time.Second
	// clientIdleTimeout is how long a client without starts is kept for the next one.
	clientIdleTimeout = 5 * time.Second
	// specIdleTimeout is how long the spec of a job without starts is kept.
	specIdleTimeout = 30 * time.Second
)

// network calls other entries and handles their calls.
type network interface {
	Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error)
	Handle(k mesh.Kind, h mesh.Handler)
}

// fleet connects to workers.
type fleet interface {
	Connect(id unit.InstanceID, address string) owner.Worker
}

// Service relays calls for the owner, and passes those of the owner to other entries.
type Service struct {
	*registry.Tasks
	log   logr.Logger
	fleet fleet
	peers network

	heartbeats      sync.WaitGroup // relayed ones under way
	heartbeatCtx    context.Context
	abortHeartbeats context.CancelFunc

	mu       sync.Mutex
	clients  map[workerKey]*client
	specs    map[unit.JobID]heldSpec
	sessions map[mesh.Fingerprint]*session // the latest of each entry
}

// heldSpec is the spec of a job of which starts were relayed.
type heldSpec struct {
	spec   string
	usedAt time.Time
}

// workerKey names a worker at an address.
type workerKey struct {
	id      unit.InstanceID
	address string
}

// client is a client of one worker, shared by the calls that are sent to it.
type client struct {
	worker owner.Worker
	calls  int       // under way
	usedAt time.Time // when the last one ended
}

// New returns a service that is not started.
func New(log logr.Logger, f fleet) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		Tasks: registry.NewTasks(), log: log, fleet: f,
		heartbeatCtx: ctx, abortHeartbeats: cancel,
		clients: map[workerKey]*client{}, specs: map[unit.JobID]heldSpec{}, sessions: map[mesh.Fingerprint]*session{},
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.peers, err = registry.Find[network](k, mesh.ServiceName); err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	s.peers.Handle(kindStarts, s.handleStarts)
	s.peers.Handle(kindHeartbeats, s.handleHeartbeats)
	s.Begin(ctx, s.dropUnused)
	return nil
}

// SendStarts sends the starts of a batch through another entry and returns the outcome of
// each. With an error none of them was sent if the call was certainly not delivered, and
// all outcomes are unknown otherwise.
func (s *Service) SendStarts(ctx context.Context, via unit.EntryID, b owner.StartBatch) ([]scheduler.Outcome, error) {
	outcomes, err := s.call(ctx, via, b)
	switch {
	case err == nil:
		return outcomes, nil
	case errors.Is(err, mesh.ErrUnreachable):
		return notSent(len(b.Starts)), err
	}
	return slices.Repeat([]scheduler.Outcome{scheduler.OutcomeUnknown}, len(b.Starts)), err
}

func (s *Service) call(ctx context.Context, via unit.EntryID, b owner.StartBatch) ([]scheduler.Outcome, error) {
	request, err := encodeBatch(b)
	if err != nil {
		return nil, errors.Errorf("encode starts: %w", errors.Join(err, mesh.ErrUnreachable))
	}
	metric.RelayedBytes.Add(int64(len(request)))
	answer, err := s.peers.Call(ctx, via, kindStarts, request)
	if err != nil {
		return nil, errors.Errorf("relay starts: %w", err)
	}
	outcomes, err := decodeOutcomes(answer)
	if err != nil {
		return nil, errors.Errorf("decode outcomes: %w", err)
	}
	if len(outcomes) != len(b.Starts) {
		return nil, errors.Errorf("%d outcomes of %d starts", len(outcomes), len(b.Starts))
	}
	for i, o := range outcomes {
		if !o.Known() { // of another release
			outcomes[i] = scheduler.OutcomeUnknown
		}
	}
	return outcomes, nil
}

func encodeBatch(b owner.StartBatch) ([]byte, error) {
	defer metric.PeersTimer.Since(time.Now())
	return record.Marshal(b)
}

func decodeOutcomes(answer []byte) ([]scheduler.Outcome, error) {
	defer metric.PeersTimer.Since(time.Now())
	var outcomes []scheduler.Outcome
	err := cbor.Unmarshal(answer, &outcomes)
	return outcomes, err
}

// notSent returns the outcomes of n starts that were certainly not sent.
func notSent(n int) []scheduler.Outcome {
	return slices.Repeat([]scheduler.Outcome{scheduler.OutcomeNotSent}, n)
}

// handleStarts sends the starts of a batch to their workers and returns the outcomes.
func (s *Service) handleStarts(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var b owner.StartBatch
	if err := cbor.Unmarshal(request, &b); err != nil {
		return nil, errors.Errorf("decode starts: %w", err)
	}
	if len(b.Starts) > scheduler.MaxStartBatch {
		return nil, errors.Errorf("%d starts in a batch, want at most %d", len(b.Starts), scheduler.MaxStartBatch)
	}
	outcomes := make([]scheduler.Outcome, len(b.Starts))
	if len(b.Starts) > 0 && !s.completeSpec(&b, time.Now()) {
		outcomes, b.Starts = notSent(len(b.Starts)), nil
	}
	var starts sync.WaitGroup
	for i := range b.Starts {
		starts.Go(func() { outcomes[i] = s.sendGuarded(ctx, &b, b.Starts[i]) })
	}
	starts.Wait()
	answer, err := cbor.Marshal(outcomes)
	if err != nil {
		return nil, errors.Errorf("encode outcomes: %w", err)
	}
	return answer, nil
}

// sendGuarded sends a start. After a fault in the client its outcome is unknown.
func (s *Service) sendGuarded(ctx context.Context, b *owner.StartBatch, start owner.RelayedStart) scheduler.Outcome {
	outcome, err := guard.Value(func() (scheduler.Outcome, error) { return s.send(ctx, b, start), nil })
	if err != nil {
		s.log.Error(err, "relayed start failed", "worker", start.Worker, "job", b.Job, "run", start.Run)
		return scheduler.OutcomeUnknown
	}
	return outcome
}

// send sends a start to its worker, unless its deadline has passed by so much that clock
// skew cannot be the reason.
func (s *Service) send(ctx context.Context, b *owner.StartBatch, start owner.RelayedStart) scheduler.Outcome {
	if time.Now().After(b.Deadline.Add(maxClockSkew)) {
		return scheduler.OutcomeNotSent
	}
	key := workerKey{start.Worker, start.Address}
	c := s.acquire(key)
	defer s.release(c)
	ctx, cancel := context.WithTimeout(ctx, owner.RelayedStartTimeout)
	defer cancel()
	outcome, _ := c.worker.Do(ctx, scheduler.Order{
		Kind: scheduler.OrderStart, Worker: start.Worker, Run: start.Run,
		Task: graph.Task{Job: b.Job, Occurrence: start.Occurrence, Step: start.Step, Index: start.Index},
		Spec: b.Spec, Checkpoint: start.Checkpoint, Ticket: start.Ticket,
	}, b.Fence, start.Until)
	return outcome
}

// acquire returns the client of a worker for one call.
func (s *Service) acquire(key workerKey) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[key]
	if c == nil {
		c = &client{worker: s.fleet.Connect(key.id, key.address)}
		s.clients[key] = c
	}
	c.calls++
	return c
}

// release ends the use of a client for one call.
func (s *Service) release(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.calls--
	c.usedAt = time.Now()
}

// completeSpec keeps the spec of a batch, or adds the held one to a batch that comes without
// it. It reports whether the batch has its spec.
func (s *Service) completeSpec(b *owner.StartBatch, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.SpecHeld {
		held, ok := s.specs[b.Job]
		if !ok {
			return false
		}
		b.Spec = held.spec
	}
	s.specs[b.Job] = heldSpec{b.Spec, now}
	return true
}

// dropUnused closes clients and drops specs and sessions that have not been used for a
// while, and closes all clients when the context ends.
func (s *Service) dropUnused(ctx context.Context) {
	for wait.For(ctx, clientIdleTimeout/2) {
		now := time.Now()
		s.closeClients(now.Add(-clientIdleTimeout))
		s.dropSpecs(now.Add(-specIdleTimeout))
		s.dropSessions(now.Add(-owner.SessionIdleTimeout))
	}
	s.abortHeartbeats()
	s.heartbeats.Wait()
	s.closeClients(time.Now())
}

// closeClients closes the clients without a call under way that were last used before
// the given time.
func (s *Service) closeClients(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.clients {
		if c.calls == 0 && c.usedAt.Before(before) {
			c.worker.Close()
			delete(s.clients, key)
		}
	}
}

// dropSpecs drops the specs that were last used before the given time.
func (s *Service) dropSpecs(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.specs, func(_ unit.JobID, held heldSpec) bool { return held.usedAt.Before(before) })
}
