// Package config keeps the target document of this entry up to date, applies the
// changes of operators, and derives the deadlines until which the entry may act on
// the document.
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

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "config"

// Keys in the store: the head of the log, and the prefix of its revisions.
const (
	headKey        store.Key = "config/head"
	revisionPrefix store.Key = "config/rev/"
)

// Intervals and timeouts of the service.
const (
	readInterval    = time.Second // between reads of the head; a start needs a read at most 3 s old
	observeInterval = 500 * time.Millisecond
	pushTimeout     = time.Second
	// probeEvery is the number of reads of the head between two probes of the log
	// for a revision after it, whose writer may have failed before it advanced the
	// head.
	probeEvery = 8
)

// storeClient is the store API that the service uses.
type storeClient interface {
	Get(ctx context.Context, key store.Key) (store.Record, error)
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
}

// members provides the view of the registered entries.
type members interface {
	Self() unit.EntryID
	View() roster.View
	Changed() <-chan struct{}
}

// peers exchanges messages and heartbeats with the other entries.
type peers interface {
	Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error)
	Handle(k message.Kind, handler message.Handler)
	SetHeartbeatFuncs(
		heartbeat func(to unit.EntryID) message.Heartbeat,
		observe func(from unit.EntryID, sent time.Time, answer message.Heartbeat),
	)
}

// recorder records events with the reasons for decisions.
type recorder interface {
	Record(e journal.Event)
}

// Service maintains the configuration of this entry.
type Service struct {
	*registry.Tasks
	log        logr.Logger
	store      storeClient
	members    members
	peers      peers
	recorder   recorder
	aheadPeers chan unit.EntryID // peers that have a higher revision

	mu             sync.Mutex
	core           *core
	unfinished     unit.Revision // highest revision that may be in the log beyond the head
	changed        chan struct{} // closed at the next change of the current revision
	rolloutChanged chan struct{} // closed when the outcome of a revision may have changed
}

// New returns a service that is not yet started.
func New(log logr.Logger) *Service {
	return &Service{
		log:            log,
		Tasks:          registry.NewTasks(),
		aheadPeers:     make(chan unit.EntryID, 1),
		changed:        make(chan struct{}),
		rolloutChanged: make(chan struct{}),
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service. It succeeds during a store outage; the
// deadlines stay zero until the entry has a confirmed configuration.
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
	s.observeView()
	readErr := s.readHead(ctx)
	s.peers.Handle(message.KindPush, s.handlePush)
	s.peers.Handle(message.KindPull, s.handlePull)
	s.peers.SetHeartbeatFuncs(s.heartbeat, s.observeHeartbeat)
	s.Begin(ctx, func(ctx context.Context) { s.pollHead(ctx, readErr) }, s.followMembership, s.pullRevisions)
	return nil
}

// Current returns the highest revision that this entry has seen. Its document is
// shared and must not be modified. A caller that acts under a deadline of this
// service must read the deadline before Current. In the other order, it could apply
// the confirmation of a newer revision to an older one.
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

// StartUntil returns the time after which this entry must not start tasks.
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

// ServeUntil returns the time after which this entry must not serve requests.
func (s *Service) ServeUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.serveUntil()
}

// pollHead reads the head at each interval until the context ends, and logs each
// change between success and failure. err is the result of the first read, which
// Start made.
func (s *Service) pollHead(ctx context.Context, err error) {
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
		if err = s.readHead(ctx); err == nil {
			s.probeLog(ctx, reads)
		}
	}
}

// readHead reads the head and adopts its revision if it is higher.
func (s *Service) readHead(ctx context.Context) error {
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
	s.core.observeHead(time.Now(), sent, h)
	return nil
}

// probeLog looks for a revision after the head and advances the head to it.
func (s *Service) probeLog(ctx context.Context, reads int) {
	s.mu.Lock()
	next := s.core.head.Number + 1
	wanted := s.unfinished >= next || reads%probeEvery == 0
	s.mu.Unlock()
	if !wanted {
		return
	}
	r, err := s.getRevision(ctx, next)
	if err != nil {
		return // absent, or left to a later probe
	}
	ctx, cancel := context.WithTimeout(ctx, readInterval)
	defer cancel()
	w, first := newHeadAdvance(r)
	s.runWrite(ctx, w, first)
	if w.result == resultWritten {
		s.publish(ctx, w)
	}
}

// followMembership observes the membership until the context ends. The revision of
// the view rises without a change of its entries, which closes no channel, so the
// view is also observed at an interval.
func (s *Service) followMembership(ctx context.Context) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		changed := s.members.Changed() // taken before the view, so that no change is missed
		s.observeView()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

func (s *Service) observeView() {
	view := s.members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.observeView(time.Now(), view)
	s.notifyProgress()
}

// pullRevisions fetches higher revisions from peers until the context ends, since
// the store may be down or its answers stale.
func (s *Service) pullRevisions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.aheadPeers:
			s.pullFrom(ctx, peer)
		}
	}
}

func (s *Service) pullFrom(ctx context.Context, peer unit.EntryID) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	answer, err := s.peers.Call(ctx, peer, message.Pull{})
	if err != nil {
		return // the next heartbeat triggers another pull
	}
	if p, ok := answer.(message.Push); ok {
		s.adopt(p.Revision, string(peer))
	}
}

// handlePush adopts a revision that a peer pushes.
func (s *Service) handlePush(_ context.Context, from unit.EntryID, m message.Message) (message.Message, error) {
	p, ok := m.(message.Push)
	if !ok {
		return nil, errors.Errorf("push: got %s", m.Kind())
	}
	s.adopt(p.Revision, string(from))
	return message.Ack{Configuration: s.Current().Number}, nil
}

// handlePull answers with the current revision.
func (s *Service) handlePull(context.Context, unit.EntryID, message.Message) (message.Message, error) {
	return message.Push{Revision: s.Current()}, nil
}

func (s *Service) heartbeat(to unit.EntryID) message.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.heartbeat(time.Now(), to)
}

// observeHeartbeat records a peer's answer to a heartbeat, and schedules a pull if
// the peer has a higher revision.
func (s *Service) observeHeartbeat(from unit.EntryID, sent time.Time, h message.Heartbeat) {
	s.mu.Lock()
	ahead := s.core.observeHeartbeat(time.Now(), from, sent, h)
	s.notifyProgress()
	s.mu.Unlock()
	if ahead {
		select {
		case s.aheadPeers <- from:
		default: // a pull is pending; the next heartbeat reports the peer again
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
		s.notifyProgress()
	}
	s.mu.Unlock()
	if adopted {
		s.log.Info("configuration changed", "revision", r.Number, "author", r.Author, "source", source)
		s.recordChanges(old, r)
	}
}

// recordChanges records each change between two revisions in the journal.
func (s *Service) recordChanges(old, r spec.Revision) {
	why := "revision " + strconv.FormatUint(uint64(r.Number), 10) + " by " + string(r.Author)
	for _, c := range spec.Diff(&old.Document, &r.Document) {
		kind := journal.KindClass
		if c.Subject == spec.SubjectZone {
			kind = journal.KindZone
		}
		name, _, _ := strings.Cut(c.Name, ":") // the name of a route has the form class: method prefix
		s.recorder.Record(journal.Event{
			Time:     time.Now(),
			Subjects: []journal.Subject{{Kind: kind, ID: name}},
			What:     c.String(),
			Why:      why,
		})
	}
}

// notifyProgress wakes the waiters of rolloutChanged. The caller holds the lock.
func (s *Service) notifyProgress() {
	close(s.rolloutChanged)
	s.rolloutChanged = make(chan struct{})
}

// getHead reads the head. It returns the zero head, that of an empty log, if the
// record is missing.
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
	h.storeRevision = record.Revision
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
