package intake

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "intake"

// Kinds of calls to the entry that owns the shard.
const (
	kindNotices mesh.Kind = 10
	kindState   mesh.Kind = 11
	kindPending mesh.Kind = 12
)

// Notice informs the owner of the shard about a job record in the store.
type Notice = owner.SubmittedJob

// jobOwner accepts notices and answers queries while this entry owns the shard.
type jobOwner interface {
	Accept(ctx context.Context, jobs []owner.SubmittedJob) error
	State(ctx context.Context, id unit.JobID) (owner.JobStatus, error)
	Pending(ctx context.Context, q graph.QueueID) (int, error)
}

// network calls other entries and handles their calls.
type network interface {
	Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error)
	Handle(k mesh.Kind, h mesh.Handler)
}

// storeAccess sends requests to the store and measures its outages.
type storeAccess interface {
	kv.Doer
	// OutageDuration returns for how long the store has answered no entry, or 0 if it answers.
	OutageDuration() time.Duration
}

// shardOwnership returns the ids of this entry and of the entry that owns the shard, and
// the revision of the store at which the latter has claimed it. An owner reads all job
// records after its claim.
type shardOwnership interface {
	Self() unit.EntryID
	Owner() unit.EntryID
	ClaimRevision() unit.Revision
}

// loadSource returns the load of the shard and when it was computed, or false while this
// entry does not own the shard or has none yet.
type loadSource interface {
	Load(now time.Time) (overload.Load, time.Time, bool)
}

// jobMemory returns what the jobs may take on an owner, or 0 for no bound.
type jobMemory interface {
	JobMemory() unit.Bytes
}

// Service accepts jobs and answers queries about them on one entry.
type Service struct {
	*registry.Tasks
	log       logr.Logger
	store     kv.Client
	access    storeAccess
	local     jobOwner
	peers     network
	ownership shardOwnership
	writer    *writer
	notifier  *notifier
	ownLoad   loadSource
	admission admissionState
	window    window
}

// New returns a service that has not been started.
func New(log logr.Logger) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	store, err := registry.Find[storeAccess](k, kv.ServiceName)
	if err != nil {
		return errors.Errorf("find store: %w", err)
	}
	s.access = store
	if s.local, err = registry.Find[jobOwner](k, owner.ServiceName); err != nil {
		return errors.Errorf("find owner: %w", err)
	}
	if s.ownLoad, err = registry.Find[loadSource](k, owner.ServiceName); err != nil {
		return errors.Errorf("find load of the owner: %w", err)
	}
	memory, err := registry.Find[jobMemory](k, owner.ServiceName)
	if err != nil {
		return errors.Errorf("find memory for jobs: %w", err)
	}
	s.window.limit = memory.JobMemory() / windowDivisor
	if s.peers, err = registry.Find[network](k, mesh.ServiceName); err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	if s.ownership, err = registry.Find[shardOwnership](k, "ownership"); err != nil {
		return errors.Errorf("find ownership: %w", err)
	}
	s.store = kv.Client{Doer: store}
	s.writer = newWriter(s.store)
	s.notifier = newNotifier(s)
	s.peers.Handle(kindNotices, s.handleNotices)
	s.peers.Handle(kindState, s.handleState)
	s.peers.Handle(kindPending, s.handlePending)
	loops := slices.Repeat([]func(context.Context){s.writer.run}, maxConcurrentCommits)
	s.Begin(ctx, append(loops, s.notifier.run)...)
	return nil
}

// askState returns what the owner knows of a job.
func (s *Service) askState(ctx context.Context, id unit.JobID) (owner.JobStatus, error) {
	if s.ownership.Owner() == s.ownership.Self() {
		return s.local.State(ctx, id)
	}
	return askOwner[owner.JobStatus](ctx, s, kindState, id)
}

// Pending returns the number of accepted jobs of a queue that have no started task.
func (s *Service) Pending(ctx context.Context, q graph.QueueID) (int, error) {
	if s.ownership.Owner() == s.ownership.Self() {
		n, err := s.local.Pending(ctx, q)
		if err != nil {
			return 0, errors.Errorf("%v: %w", err, ErrUnavailable)
		}
		return n, nil
	}
	n, err := askOwner[int](ctx, s, kindPending, q)
	if err != nil {
		return 0, errors.Errorf("ask owner: %v: %w", err, ErrUnavailable)
	}
	return n, nil
}

// askOwner sends a request to the entry that owns the shard and decodes its response.
func askOwner[Response, Request any](ctx context.Context, s *Service, k mesh.Kind, request Request) (Response, error) {
	var response Response
	to := s.ownership.Owner()
	if to == "" {
		return response, errors.Errorf("no owner: %w", ErrUnavailable)
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return response, errors.Errorf("encode question: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	raw, err := s.peers.Call(ctx, to, k, body)
	if err != nil {
		return response, err
	}
	if err := cbor.Unmarshal(raw, &response); err != nil {
		return response, errors.Errorf("decode answer: %w", err)
	}
	return response, nil
}

// handleNotices handles kindNotices: it passes the notices to this entry's shard, and
// answers with the load of the shard.
func (s *Service) handleNotices(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var notices []Notice
	if err := cbor.Unmarshal(request, &notices); err != nil {
		return nil, errors.Errorf("decode notices: %w", err)
	}
	if err := s.local.Accept(ctx, notices); err != nil {
		return nil, err
	}
	return s.loadResponse(time.Now()), nil
}

// handleState handles kindState: it returns what the owner knows of a job.
func (s *Service) handleState(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var id unit.JobID
	if err := cbor.Unmarshal(request, &id); err != nil {
		return nil, errors.Errorf("decode job id: %w", err)
	}
	status, err := s.local.State(ctx, id)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(status)
}

// handlePending handles kindPending: it returns the number of pending jobs of a
// queue.
func (s *Service) handlePending(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var q graph.QueueID
	if err := cbor.Unmarshal(request, &q); err != nil {
		return nil, errors.Errorf("decode queue id: %w", err)
	}
	n, err := s.local.Pending(ctx, q)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(n)
}
