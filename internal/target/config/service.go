// Package config keeps the target document current on this entry, takes changes
// of operators, and derives the deadlines up to which the entry may act on it.
package config

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "config"

// Keys of the store.
const (
	headKey        store.Key = "config/head"
	revisionPrefix store.Key = "config/rev/"
)

// Times of the service.
const (
	readInterval    = time.Second // of the head; a start needs one at most 3 s old
	observeInterval = 500 * time.Millisecond
	pushTimeout     = time.Second
	// probeReads is after how many reads of the head the log is probed behind it,
	// for a revision whose writer died before it moved the head.
	probeReads = 8
)

// storeClient is the part of the store that the service uses.
type storeClient interface {
	Get(ctx context.Context, key store.Key) (store.Record, error)
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
}

// members tells which entries are registered.
type members interface {
	Self() unit.EntryID
	View() roster.View
	Changed() <-chan struct{}
}

// peers connects to the other entries.
type peers interface {
	Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error)
	Handle(k message.Kind, handler message.Handler)
	SetHeartbeatFuncs(
		beat func(to unit.EntryID) message.Heartbeat,
		heard func(from unit.EntryID, sent time.Time, answer message.Heartbeat),
	)
}

// recorder takes the reasons of decisions.
type recorder interface {
	Record(e journal.Event)
}

// Service keeps the configuration.
type Service struct {
	*registry.Tasks
	log      logr.Logger
	store    storeClient
	members  members
	peers    peers
	recorder recorder
	ahead    chan unit.EntryID // a peer that has a higher revision

	mu         sync.Mutex
	core       *core
	unfinished unit.Revision // may be in the log without the head having reached it
	changed    chan struct{} // closed at the next change of the current revision
	progress   chan struct{} // closed when more is known about the other entries
}

// New returns a service that is not yet started.
func New(log logr.Logger) *Service {
	return &Service{
		log:      log,
		Tasks:    registry.NewTasks(),
		ahead:    make(chan unit.EntryID, 1),
		changed:  make(chan struct{}),
		progress: make(chan struct{}),
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service. A store outage does not fail it: the
// deadlines stay at zero until the entry has a confirmed configuration.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.store, err = registry.Find[storeClient](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if s.members, err = registry.Find[members](k, "membership"); err != nil {
		return errors.Errorf("find membership: %w", err)
	}
	if s.peers, err = registry.Find[peers](k, "peers"); err != nil {
		return errors.Errorf("find peers: %w", err)
	}
	if s.recorder, err = registry.Find[recorder](k, journal.ServiceName); err != nil {
		return errors.Errorf("find journal: %w", err)
	}
	s.core = newCore(s.members.Self())
	s.observe()
	reading := s.read(ctx)
	s.peers.Handle(message.KindPush, s.handlePush)
	s.peers.Handle(message.KindPull, s.handlePull)
	s.peers.SetHeartbeatFuncs(s.beat, s.hear)
	s.Begin(ctx, func(ctx context.Context) { s.readHeads(ctx, reading) }, s.follow, s.pull)
	return nil
}

// Current returns the highest revision that this entry has seen; its document is
// shared and must not be changed. A caller that acts under a deadline of this
// service reads the deadline first and Current second: in the other order a
// confirmation of a newer revision could be taken for one of the older.
func (s *Service) Current() spec.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.current
}

// Changed returns a channel that is closed at the next change of Current.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// StartUntil returns the time after which this entry must start no task.
func (s *Service) StartUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.startUntil()
}

// NotAfter returns the time after which a worker must reject a start that is
// sent now.
func (s *Service) NotAfter() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.notAfter()
}

// ServeUntil returns the time after which this entry must serve no request.
func (s *Service) ServeUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.serveUntil()
}

// readHeads reads the head at each interval until the context ends, and logs
// when that begins or ceases to fail. The first read was made at the start.
func (s *Service) readHeads(ctx context.Context, err error) {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	failing := false
	for reads := 1; ; reads++ {
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			s.log.Info("configuration store access changed", "working", !failed, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err = s.read(ctx); err == nil {
			s.probe(ctx, reads)
		}
	}
}

// read reads the head and adopts its revision.
func (s *Service) read(ctx context.Context) error {
	sent := time.Now()
	h, err := s.getHead(ctx)
	if err != nil {
		return err
	}
	if h.Number > s.Current().Number {
		r, err := s.getRevision(ctx, h.Number)
		if err != nil {
			return err
		}
		s.adopt(r, "store")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.readHead(time.Now(), sent, h)
	return nil
}

// probe looks for a revision behind the head and moves the head to it.
func (s *Service) probe(ctx context.Context, reads int) {
	s.mu.Lock()
	next := s.core.head.Number + 1
	wanted := s.unfinished >= next || reads%probeReads == 0
	s.mu.Unlock()
	if !wanted {
		return
	}
	r, err := s.getRevision(ctx, next)
	if err != nil {
		return // absent, or to be probed again
	}
	ctx, cancel := context.WithTimeout(ctx, readInterval)
	defer cancel()
	a, first := beginFinish(r)
	s.carryOut(ctx, a, first)
	if a.verdict == verdictWritten {
		s.publish(ctx, a)
	}
}

// follow observes the membership until the context ends. The view's revision
// rises without a change of its entries, so it is also observed at an interval.
func (s *Service) follow(ctx context.Context) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		changed := s.members.Changed() // before the view, so that no change is missed
		s.observe()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

func (s *Service) observe() {
	view := s.members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.observe(time.Now(), view)
	s.wake()
}

// pull fetches higher revisions from peers until the context ends: the store may
// be down, or its answer old.
func (s *Service) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.ahead:
			s.pullFrom(ctx, peer)
		}
	}
}

func (s *Service) pullFrom(ctx context.Context, peer unit.EntryID) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	answer, err := s.peers.Call(ctx, peer, message.Pull{})
	if err != nil {
		return // the next heartbeat asks again
	}
	if p, ok := answer.(message.Push); ok {
		s.adopt(p.Revision, string(peer))
	}
}

func (s *Service) handlePush(_ context.Context, from unit.EntryID, m message.Message) (message.Message, error) {
	p, ok := m.(message.Push)
	if !ok {
		return nil, errors.Errorf("push: got %s", m.Kind())
	}
	s.adopt(p.Revision, string(from))
	return message.Ack{Configuration: s.Current().Number}, nil
}

func (s *Service) handlePull(context.Context, unit.EntryID, message.Message) (message.Message, error) {
	return message.Push{Revision: s.Current()}, nil
}

func (s *Service) beat(to unit.EntryID) message.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.heartbeat(time.Now(), to)
}

func (s *Service) hear(from unit.EntryID, sent time.Time, h message.Heartbeat) {
	s.mu.Lock()
	ahead := s.core.hear(time.Now(), from, sent, h)
	s.wake()
	s.mu.Unlock()
	if ahead {
		select {
		case s.ahead <- from:
		default: // one is being fetched; the next heartbeat tells again
		}
	}
}

// adopt makes a revision the current one if it is higher.
func (s *Service) adopt(r spec.Revision, source string) {
	s.mu.Lock()
	old := s.core.current
	adopted := s.core.adopt(r)
	if adopted {
		close(s.changed)
		s.changed = make(chan struct{})
		s.wake()
	}
	s.mu.Unlock()
	if adopted {
		s.log.Info("configuration changed", "revision", r.Number, "author", r.Author, "source", source)
		s.record(old, r)
	}
}

// record notes each change of a zone or class in the journal.
func (s *Service) record(old, r spec.Revision) {
	why := "revision " + strconv.FormatUint(uint64(r.Number), 10) + " by " + string(r.Author)
	for _, c := range spec.Diff(&old.Document, &r.Document) {
		kind := journal.KindClass
		if c.Subject == spec.SubjectZone {
			kind = journal.KindZone
		}
		name, _, _ := strings.Cut(c.Name, ":") // a route is named class: method prefix
		s.recorder.Record(journal.Event{
			Time:     time.Now(),
			Subjects: []journal.Subject{{Kind: kind, ID: name}},
			What:     c.String(),
			Why:      why,
		})
	}
}

// wake tells those who wait for progress. The lock is held.
func (s *Service) wake() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// getHead reads the head. A missing record is the head of an empty log.
func (s *Service) getHead(ctx context.Context) (head, error) {
	record, err := s.store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, errors.Errorf("read configuration head: %w", err)
	}
	var h head
	if err := json.Unmarshal(record.Value, &h); err != nil {
		return head{}, errors.Errorf("decode configuration head: %w", err)
	}
	h.written = record.Revision
	return h, nil
}

func (s *Service) getRevision(ctx context.Context, n unit.Revision) (spec.Revision, error) {
	record, err := s.store.Get(ctx, revisionKey(n))
	if err != nil {
		return spec.Revision{}, errors.Errorf("read configuration %d: %w", n, err)
	}
	var r spec.Revision
	if err := json.Unmarshal(record.Value, &r); err != nil {
		return spec.Revision{}, errors.Errorf("decode configuration %d: %w", n, err)
	}
	return r, nil
}

func revisionKey(n unit.Revision) store.Key {
	return revisionPrefix + store.Key(strconv.FormatUint(uint64(n), 10))
}
