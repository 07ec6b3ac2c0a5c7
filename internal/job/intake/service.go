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
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "intake"

// Kinds of the calls to the owner.
const (
	kindNotices mesh.Kind = 10
	kindState   mesh.Kind = 11
	kindPending mesh.Kind = 12
)

// Notice tells the owner of a job record that is in the store.
type Notice = owner.SubmittedJob

// shard answers for jobs while this entry owns the shard.
type shard interface {
	Accept(ctx context.Context, jobs []owner.SubmittedJob) error
	State(ctx context.Context, id unit.JobID) (graph.State, bool, error)
	Pending(ctx context.Context, q graph.QueueID) (int, error)
}

// network reaches other entries.
type network interface {
	Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error)
	Handle(k mesh.Kind, h mesh.Handler)
}

// reach tells how well this entry reaches the store.
type reach interface {
	kv.Doer
	// Away returns for how long the store has answered nobody, or 0.
	Away() time.Duration
}

// owners tells which entry owns the shard.
type owners interface {
	Self() unit.EntryID
	Owner() unit.EntryID
}

// Service implements the intake of one entry.
type Service struct {
	*registry.Tasks
	log      logr.Logger
	store    kv.Client
	reach    reach
	local    shard
	peers    network
	owners   owners
	writer   *writer
	notifier *notifier
}

// New returns the service.
func New(log logr.Logger) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	doer, err := registry.Find[reach](k, kv.ServiceName)
	if err != nil {
		return errors.Errorf("find store: %w", err)
	}
	s.reach = doer
	if s.local, err = registry.Find[shard](k, owner.ServiceName); err != nil {
		return errors.Errorf("find owner: %w", err)
	}
	if s.peers, err = registry.Find[network](k, mesh.ServiceName); err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	if s.owners, err = registry.Find[owners](k, "ownership"); err != nil {
		return errors.Errorf("find ownership: %w", err)
	}
	s.store = kv.Client{Doer: doer}
	s.writer = newWriter(s.store)
	s.notifier = newNotifier(s)
	s.peers.Handle(kindNotices, s.takeNotices)
	s.peers.Handle(kindState, s.answerState)
	s.peers.Handle(kindPending, s.answerPending)
	runs := slices.Repeat([]func(context.Context){s.writer.run}, maxWriting)
	s.Begin(ctx, append(runs, s.notifier.run)...)
	return nil
}

// stateAnswer is the answer to kindState.
type stateAnswer struct {
	State graph.State `cbor:"1,keyasint"`
	Known bool        `cbor:"2,keyasint"`
}

// askState asks the owner for the state of a job.
func (s *Service) askState(ctx context.Context, id unit.JobID) (graph.State, bool, error) {
	if s.owners.Owner() == s.owners.Self() {
		return s.local.State(ctx, id)
	}
	answer, err := ask[stateAnswer](ctx, s, kindState, id)
	return answer.State, answer.Known, err
}

// Pending returns the number of accepted jobs of a queue without a started task.
func (s *Service) Pending(ctx context.Context, q graph.QueueID) (int, error) {
	if s.owners.Owner() == s.owners.Self() {
		n, err := s.local.Pending(ctx, q)
		if err != nil {
			return 0, errors.Errorf("%v: %w", err, ErrUnavailable)
		}
		return n, nil
	}
	n, err := ask[int](ctx, s, kindPending, q)
	if err != nil {
		return 0, errors.Errorf("ask owner: %v: %w", err, ErrUnavailable)
	}
	return n, nil
}

// ask calls the owner's entry.
func ask[A, Q any](ctx context.Context, s *Service, k mesh.Kind, question Q) (A, error) {
	var answer A
	to := s.owners.Owner()
	if to == "" {
		return answer, errors.Errorf("no owner: %w", ErrUnavailable)
	}
	body, err := cbor.Marshal(question)
	if err != nil {
		return answer, errors.Errorf("encode question: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	raw, err := s.peers.Call(ctx, to, k, body)
	if err != nil {
		return answer, err
	}
	if err := cbor.Unmarshal(raw, &answer); err != nil {
		return answer, errors.Errorf("decode answer: %w", err)
	}
	return answer, nil
}

func (s *Service) takeNotices(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var notices []Notice
	if err := cbor.Unmarshal(request, &notices); err != nil {
		return nil, errors.Errorf("decode notices: %w", err)
	}
	return nil, s.local.Accept(ctx, notices)
}

func (s *Service) answerState(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var id unit.JobID
	if err := cbor.Unmarshal(request, &id); err != nil {
		return nil, errors.Errorf("decode job id: %w", err)
	}
	state, known, err := s.local.State(ctx, id)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(stateAnswer{State: state, Known: known})
}

func (s *Service) answerPending(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
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
