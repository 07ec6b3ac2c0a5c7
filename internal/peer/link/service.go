// Package link connects this entry with its peers over QUIC with mutual TLS. One
// goroutine for each peer dials it and sends heartbeats; one for each accepted
// connection takes its calls.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/quic-go/quic-go"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "peers"

// protocol names the message format in the TLS handshake; a change of the format
// that old entries cannot read takes a new name.
const protocol = "monsoonfold/1"

// Times of the connections.
const (
	heartbeatInterval = 500 * time.Millisecond
	// answerDue is when a heartbeat's answer is overdue: 3 intervals, below the
	// 2 s for which a heartbeat counts.
	answerDue      = 1500 * time.Millisecond
	callTimeout    = 2 * time.Second // of a call whose context has no deadline
	exchangeLimit  = 10 * time.Second
	reloadInterval = 30 * time.Second
	idleTimeout    = 10 * time.Second
)

// maxExchanges bounds the calls of one peer that are handled at a time.
const maxExchanges = 64

// Errors of Call. Use errors.Is.
var (
	// ErrUnreachable says that the message was surely not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknown says that the message was sent and no whole answer came.
	ErrUnknown = errors.New("outcome of the peer call unknown")
)

// FaultError is the answer of a peer that could not handle a message.
type FaultError struct {
	Peer unit.EntryID
	Text string
}

// Error implements error.
func (e *FaultError) Error() string { return "peer " + string(e.Peer) + ": " + e.Text }

// members tells which peers there are.
type members interface {
	Self() unit.EntryID
	View() roster.View
	Changed() <-chan struct{}
}

// Options are the settings of a Service.
type Options struct {
	Address     string // IP and UDP port to listen at
	Credentials *credential.Source
	Seed        uint64 // of the random part of pauses
}

// Service holds the connections of one entry.
type Service struct {
	log      logr.Logger
	options  Options
	listener *quic.Listener
	members  members
	self     unit.EntryID
	cancel   context.CancelFunc
	done     chan struct{}
	tasks    sync.WaitGroup

	mu       sync.Mutex
	peers    map[unit.EntryID]*peer
	handlers map[message.Kind]message.Handler
	beat     func(to unit.EntryID) message.Heartbeat
	heard    func(from unit.EntryID, sent time.Time, answer message.Heartbeat)
	settled  func() roster.SettledView
	learn    func(peer unit.EntryID, settled roster.SettledView)
}

// New returns a service that is not yet started.
func New(log logr.Logger, options Options) *Service {
	return &Service{
		log:      log,
		options:  options,
		done:     make(chan struct{}),
		peers:    map[unit.EntryID]*peer{},
		handlers: map[message.Kind]message.Handler{},
	}
}

// Listen opens the socket. Start does so too if it was not called; calling it
// before makes Address known to the registration.
func (s *Service) Listen() error {
	if s.listener != nil {
		return nil
	}
	l, err := quic.ListenAddr(s.options.Address, s.options.Credentials.EntryServer(protocol), quicConfig())
	if err != nil {
		return errors.Errorf("listen for peers: %w", err)
	}
	s.listener = l
	return nil
}

// Address returns the IP and port at which the service listens, after Listen.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.members, err = registry.Find[members](k, "membership"); err != nil {
		return errors.Errorf("find membership: %w", err)
	}
	s.self = s.members.Self()
	if err := s.Listen(); err != nil {
		return err
	}
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.tasks.Go(func() { s.follow(ctx) })
	s.tasks.Go(func() { s.accept(ctx) })
	s.tasks.Go(func() { s.reload(ctx) })
	go func() {
		defer close(s.done)
		s.tasks.Wait()
	}()
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	if err := s.listener.Close(); err != nil {
		return errors.Errorf("close listener for peers: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Handle makes the handler answer the messages of a kind.
func (s *Service) Handle(k message.Kind, handler message.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[k] = handler
}

// SetHeartbeatFuncs sets the source of this entry's heartbeats and the receiver of the
// answers to them, each with the time at which its heartbeat was sent.
func (s *Service) SetHeartbeatFuncs(
	beat func(to unit.EntryID) message.Heartbeat,
	heard func(from unit.EntryID, sent time.Time, answer message.Heartbeat),
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beat, s.heard = beat, heard
}

// SetSettled sets the source of the settled view in this entry's heartbeats.
func (s *Service) SetSettled(settled func() roster.SettledView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = settled
}

// OnSettled sets the receiver of the settled views in the answers of peers.
func (s *Service) OnSettled(learn func(peer unit.EntryID, settled roster.SettledView)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn = learn
}

// Call sends a message to a peer and returns its answer. It repeats nothing.
func (s *Service) Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error) {
	s.mu.Lock()
	p := s.peers[to]
	s.mu.Unlock()
	if p == nil {
		return nil, errors.Errorf("call %s: not in the view: %w", to, ErrUnreachable)
	}
	conn := p.connection()
	if conn == nil {
		return nil, errors.Errorf("call %s: not connected: %w", to, ErrUnreachable)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	answer, err := exchange(ctx, conn, m)
	if err != nil {
		return nil, errors.Errorf("call %s with %s: %w", to, m.Kind(), err)
	}
	if f, ok := answer.(message.Fault); ok {
		return nil, &FaultError{Peer: to, Text: f.Text}
	}
	return answer, nil
}

// follow keeps one goroutine for each peer of the view until the context ends.
func (s *Service) follow(ctx context.Context) {
	for {
		changed := s.members.Changed() // before the view, so that no change is missed
		s.adopt(ctx, s.members.View())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Service) adopt(ctx context.Context, v roster.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		if e, ok := v.Entry(id); !ok || e.Address != p.address {
			p.cancel()
			delete(s.peers, id)
		}
	}
	for _, e := range v.Entries {
		if e.ID == s.self || s.peers[e.ID] != nil {
			continue
		}
		p := newPeer(s, e)
		s.peers[e.ID] = p
		ctx, cancel := context.WithCancel(ctx)
		p.cancel = cancel
		s.tasks.Go(func() { p.run(ctx) })
	}
}

// reload takes renewed certificates from their files.
func (s *Service) reload(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		changed, err := s.options.Credentials.Reload()
		if changed || err != nil {
			s.log.Info("peer credentials read again", "changed", changed, "error", err)
		}
	}
}

func (s *Service) heartbeat(to unit.EntryID) message.Heartbeat {
	s.mu.Lock()
	beat, settled := s.beat, s.settled
	s.mu.Unlock()
	h := message.Heartbeat{Age: -1}
	if beat != nil {
		h = beat(to)
	}
	if settled != nil {
		h.Settled = settled()
	}
	return h
}

func (s *Service) hear(from unit.EntryID, sent time.Time, answer message.Heartbeat) {
	s.mu.Lock()
	heard, learn := s.heard, s.learn
	s.mu.Unlock()
	if heard != nil {
		heard(from, sent, answer)
	}
	if learn != nil {
		learn(from, answer.Settled)
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: time.Second,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   2 * maxExchanges,
		// No message is larger than 2 MB; the bounds keep a peer from taking the
		// memory that control has on an instance.
		MaxStreamReceiveWindow:     1 << 20,
		MaxConnectionReceiveWindow: 2 << 20,
		MaxIncomingUniStreams:      -1,
	}
}
