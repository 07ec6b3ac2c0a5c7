// Package follower reads the instance list for the owner of the shard, whose link or
// processor may be too small for it, and passes on what matters to the owner. Nearly all
// changes of the list are heartbeats of workers in which nothing else has changed.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "follower"

// kindChanges is the kind of mesh call that carries a request for changes.
const kindChanges mesh.Kind = 22

// idleTimeout is how long the list is kept without a request, so that an owner which
// does not reach this entry for a while gets only what has changed since.
const idleTimeout = 30 * time.Second

// network calls other entries and handles their calls.
type network interface {
	Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error)
	Handle(k mesh.Kind, h mesh.Handler)
}

// directStore calls the store, but not through other entries: that could be the owner.
type directStore interface {
	DoDirect(ctx context.Context, r kv.Request) (kv.Response, error)
}

// directDoer implements kv.Doer by direct calls.
type directDoer struct{ store directStore }

func (d directDoer) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	return d.store.DoDirect(ctx, r)
}

// Service follows the instance list while it is asked for changes, and asks other entries
// for those that the owner of this entry needs.
type Service struct {
	*registry.Tasks
	log     logr.Logger
	decoder decoder
	peers   network
	store   kv.Client
	wanted  chan struct{} // has an element if a request waits for a read

	// Used only by the goroutine that reads.
	listing kv.Listing // how far a list of all items has come that is not complete
	listed  []kv.Item  // on its pages so far

	mu   sync.Mutex
	next *read // that the requests wait for which have arrived since the last one began
	list *list // nil before the first read
}

// read is a read of the list that has not ended.
type read struct {
	done chan struct{} // closed at the end
	err  error         // set before
}

// New returns a service that is not started.
func New(log logr.Logger, d decoder) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log, decoder: d, wanted: make(chan struct{}, 1)}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.peers, err = registry.Find[network](k, mesh.ServiceName); err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	store, err := registry.Find[directStore](k, kv.ServiceName)
	if err != nil {
		return errors.Errorf("find store: %w", err)
	}
	s.store = kv.Client{Doer: directDoer{store}}
	s.peers.Handle(kindChanges, s.handleChanges)
	s.Begin(ctx, s.follow)
	return nil
}

// Prepare makes an entry read the list, so that it can answer the next request for changes
// soon.
func (s *Service) Prepare(ctx context.Context, via unit.EntryID) error {
	_, err := s.call(ctx, via, request{Prepare: true})
	return err
}

// ReadChanges returns what has changed in the instance list after a revision, as an entry has
// read it since the call was sent.
func (s *Service) ReadChanges(ctx context.Context, via unit.EntryID, since unit.Revision) (Changes, error) {
	c, err := s.call(ctx, via, request{Since: since})
	if err != nil {
		return Changes{}, err
	}
	if c.Revision < since {
		return Changes{}, errors.Errorf("changes up to revision %d, want at least %d", c.Revision, since)
	}
	return c, nil
}

func (s *Service) call(ctx context.Context, via unit.EntryID, r request) (Changes, error) {
	body, err := record.Marshal(r)
	if err != nil {
		return Changes{}, errors.Errorf("encode request: %w", err)
	}
	body, err = s.peers.Call(ctx, via, kindChanges, body)
	if err != nil {
		return Changes{}, errors.Errorf("changes of the instance list: %w", err)
	}
	return decodeAnswer(body)
}

// handleChanges answers a request with the changes that a read has shown which began after
// the request had arrived.
func (s *Service) handleChanges(ctx context.Context, _ mesh.Fingerprint, body []byte) ([]byte, error) {
	var r request
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Errorf("decode request: %w", err)
	}
	pending := s.joinRead()
	select {
	case <-pending.done:
	case <-ctx.Done():
		return nil, errors.Errorf("read the instance list: %w", ctx.Err())
	}
	if pending.err != nil {
		return nil, pending.err
	}
	changes, err := s.changesFor(r)
	if err != nil {
		return nil, err
	}
	return encodeAnswer(changes)
}

// errDropped means that the list was dropped right after a read.
var errDropped = errors.New("the instance list is not followed any more")

// changesFor returns the changes that a request asks for, as of the last read.
func (s *Service) changesFor(r request) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.list == nil:
		return Changes{}, errDropped
	case r.Prepare:
		return Changes{Revision: s.list.read()}, nil
	}
	return s.list.changesSince(r.Since), nil
}

// joinRead returns the next read to begin.
func (s *Service) joinRead() *read {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &read{done: make(chan struct{})}
		select {
		case s.wanted <- struct{}{}:
		default:
		}
	}
	return s.next
}

// takeRead returns the read that requests wait for. Later requests wait for another one.
func (s *Service) takeRead() *read {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.next
	s.next = nil
	return r
}

// follow reads the list each time that it is asked for, until the context ends. The list
// is dropped when nothing asks for it any more.
func (s *Service) follow(ctx context.Context) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			s.drop()
			continue
		case <-s.wanted:
		}
		r := s.takeRead()
		r.err = s.read(ctx)
		close(r.done)
		idle.Reset(idleTimeout)
	}
}

// drop drops the list.
func (s *Service) drop() {
	s.listing, s.listed = kv.Listing{}, nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = nil
}

// read reads what has changed since the last read, and all items before if the history of
// that is gone or too long.
func (s *Service) read(ctx context.Context) error {
	since := s.lastRead()
	if since == 0 {
		return s.readAll(ctx)
	}
	err := s.readChanges(ctx, since)
	if errors.Is(err, kv.ErrCompacted) || errors.Is(err, kv.ErrOversized) {
		return s.readAll(ctx)
	}
	return err
}

// lastRead returns the revision of the last read, or 0 without one.
func (s *Service) lastRead() unit.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return 0
	}
	return s.list.read()
}

// readAll reads all items page by page and then what has changed meanwhile. After an error
// the next call goes on with the page that failed.
func (s *Service) readAll(ctx context.Context) error {
	for !s.listing.Complete {
		items, err := s.store.NextPage(ctx, s.decoder.Prefix(), &s.listing)
		if err != nil {
			return errors.Errorf("read the instance list: %w", err)
		}
		s.listed = append(s.listed, items...)
	}
	items, began := s.listed, s.listing.Revision
	s.listing, s.listed = kv.Listing{}, nil
	s.replace(items, began)
	return s.readChanges(ctx, began)
}

func (s *Service) replace(items []kv.Item, began unit.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = newList(s.decoder)
	}
	s.list.replace(items, began)
}

// readChanges reads the changes after a revision.
func (s *Service) readChanges(ctx context.Context, since unit.Revision) error {
	events, revision, err := s.store.Poll(ctx, s.decoder.Prefix(), since)
	if err != nil {
		return errors.Errorf("read changes of the instance list: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.applyChanges(events, revision)
	return nil
}
