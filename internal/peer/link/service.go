// Package link connects this entry with its peers over QUIC with mutual TLS. One
// goroutine per peer dials it and sends heartbeats; one per accepted connection
// accepts its calls.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/listener"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "peers"

// protocol is the ALPN protocol of the message format. A change of the format that
// older entries cannot read needs a new name.
const protocol = "monsoonfold/1"

// Intervals and timeouts of connections and calls.
const (
	heartbeatInterval = 500 * time.Millisecond
	// answerTimeout is the time to dial, to exchange hellos or to answer a
	// heartbeat: 3 intervals, less than the 2 s for which a heartbeat is valid.
	answerTimeout  = 1500 * time.Millisecond
	callTimeout    = 2 * time.Second // of a call whose context has no deadline
	handleTimeout  = 10 * time.Second
	reloadInterval = 30 * time.Second
	idleTimeout    = 10 * time.Second
)

// maxExchanges is the maximum number of calls that are handled concurrently per
// connection.
const maxExchanges = 64

// maxLargeMessages is the number of messages of smallMessage bytes or more that are received or
// handled at a time, over all peers: 16 MiB in all.
const (
	maxLargeMessages = 8
	smallMessage     = 64 << 10
)

// Errors of Call. Use errors.Is.
var (
	// ErrUnreachable means that the message was certainly not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknown means that the message may have been sent and no complete answer
	// was received.
	ErrUnknown = errors.New("outcome of the peer call unknown")
)

// FaultError is the error of a peer that could not handle a message.
type FaultError struct {
	Peer unit.EntryID
	Text string
}

// Error implements error.
func (e *FaultError) Error() string { return "peer " + string(e.Peer) + ": " + e.Text }

// members provides the membership view.
type members interface {
	Self() unit.EntryID
	View() roster.View
	Changed() <-chan struct{}
}

// Options are the settings of a Service.
type Options struct {
	Address     string // IP and UDP port to listen on
	Credentials *credential.Source
	Seed        uint64 // of the random part of retry delays
}

// Service holds the connections of this entry to and from its peers.
type Service struct {
	log      logr.Logger
	options  Options
	listener *listener.Listener
	members  members
	self     unit.EntryID
	cancel   context.CancelFunc
	done     chan struct{}
	tasks    sync.WaitGroup

	largeMessages *semaphore.Weighted

	mu           sync.Mutex
	peers        map[unit.EntryID]*peer
	handlers     map[message.Kind]message.Handler
	heartbeatFor func(to unit.EntryID) message.Heartbeat
	onAnswer     func(from unit.EntryID, sentAt time.Time, answer message.Heartbeat)
	settled      func() roster.SettledView
	onSettled    func(peer unit.EntryID, settled roster.SettledView)
}

// New returns a service that has not been started.
func New(log logr.Logger, options Options) *Service {
	return &Service{
		log:     log,
		options: options,
		done:    make(chan struct{}),

		largeMessages: semaphore.NewWeighted(maxLargeMessages),

		peers:    map[unit.EntryID]*peer{},
		handlers: map[message.Kind]message.Handler{},
	}
}

// Listen opens the socket. Start opens it if that was not done; an earlier call
// makes Address available for the registration of the entry.
func (s *Service) Listen() error {
	if s.listener != nil {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp", s.options.Address)
	if err != nil {
		return errors.Errorf("address for peers: %w", err)
	}
	l, err := listener.Listen(address, s.options.Credentials.EntryServer(protocol), quicConfig(), listener.DefaultLimits)
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
	s.tasks.Go(func() { s.followView(ctx) })
	s.tasks.Go(func() { s.accept(ctx) })
	s.tasks.Go(func() { s.reloadCredentials(ctx) })
	go func() {
		defer close(s.done)
		s.tasks.Wait()
		_ = s.listener.CloseAll() // its connections have ended
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

// Handle sets the handler of the messages of a kind.
func (s *Service) Handle(k message.Kind, handler message.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[k] = handler
}

// SetHeartbeatFuncs sets the function that provides this entry's heartbeats and the
// one that receives the answers, each with the time at which its heartbeat was
// sent.
func (s *Service) SetHeartbeatFuncs(
	heartbeatFor func(to unit.EntryID) message.Heartbeat,
	onAnswer func(from unit.EntryID, sentAt time.Time, answer message.Heartbeat),
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeatFor, s.onAnswer = heartbeatFor, onAnswer
}

// SetSettled sets the function that provides the settled view for this entry's
// heartbeats.
func (s *Service) SetSettled(settled func() roster.SettledView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = settled
}

// OnSettled sets the function that receives the settled views in the answers of
// peers.
func (s *Service) OnSettled(onSettled func(peer unit.EntryID, settled roster.SettledView)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onSettled = onSettled
}

// Call sends a message to a peer and returns its answer. It does not retry.
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
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
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

// followView runs one goroutine per peer of the view until the context is done.
func (s *Service) followView(ctx context.Context) {
	for {
		changed := s.members.Changed() // taken before the view, so that no change is missed
		s.setPeers(ctx, s.members.View())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// setPeers starts and stops peers so that they match the view. An entry with a new
// address gets a new connection.
func (s *Service) setPeers(ctx context.Context, v roster.View) {
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

// reloadCredentials reads renewed certificates from their files periodically.
func (s *Service) reloadCredentials(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := s.options.Credentials.Reload()
		if changed || err != nil {
			s.log.Info("peer credentials reloaded", "changed", changed, "error", err)
		}
	}
}

// newHeartbeat returns this entry's heartbeat for a peer.
func (s *Service) newHeartbeat(to unit.EntryID) message.Heartbeat {
	s.mu.Lock()
	heartbeatFor, settled := s.heartbeatFor, s.settled
	s.mu.Unlock()
	h := message.Heartbeat{Age: -1}
	if heartbeatFor != nil {
		h = heartbeatFor(to)
	}
	if settled != nil {
		h.Settled = settled()
	}
	return h
}

// handleHeartbeatAnswer passes a peer's answer to a heartbeat to the set functions.
func (s *Service) handleHeartbeatAnswer(from unit.EntryID, sentAt time.Time, answer message.Heartbeat) {
	s.mu.Lock()
	onAnswer, onSettled := s.onAnswer, s.onSettled
	s.mu.Unlock()
	if onAnswer != nil {
		onAnswer(from, sentAt, answer)
	}
	if onSettled != nil {
		onSettled(from, answer.Settled)
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: time.Second,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   2 * maxExchanges,
		// No message is larger than 2 MB. The limits keep a peer from exhausting the
		// memory that the control processes may use on an instance.
		MaxStreamReceiveWindow:     1 << 20,
		MaxConnectionReceiveWindow: 2 << 20,
		MaxIncomingUniStreams:      -1,
	}
}
