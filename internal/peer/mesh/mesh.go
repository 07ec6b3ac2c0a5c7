// Package mesh carries calls between entries over QUIC with mutual TLS. One
// goroutine per peer connects when a call needs a connection; one per accepted
// connection accepts its calls.
package mesh

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/listener"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "mesh"

// Kind is the kind of a call, which selects its handler.
type Kind byte

// Handler answers a call. An error reaches the caller as a FaultError.
type Handler func(ctx context.Context, from Fingerprint, request []byte) ([]byte, error)

// Errors of Call. Use errors.Is.
var (
	// ErrUnreachable means that the call was certainly not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknown means that the call may have been sent and no complete answer was
	// received.
	ErrUnknown = errors.New("outcome of the peer call unknown")
)

// FaultError is the error of a peer whose handler failed.
type FaultError struct{ Text string }

// Error implements error.
func (e *FaultError) Error() string { return "peer: " + e.Text }

// Limits and timeouts of connections and calls.
const (
	// MaxMessage is the largest request or answer in bytes, with its kind or status.
	MaxMessage = 4 << 20
	maxStreams = 64
	// maxLargeRequests is the number of requests above smallRequest bytes that are received
	// or handled at a time, 32 MiB in all.
	maxLargeRequests = 8
	smallRequest     = 64 << 10
	// dialTimeout leaves time for two retransmissions of a handshake. Before the first round
	// trip has been measured, QUIC repeats after 200 and 600 ms.
	dialTimeout = time.Second
	idleTimeout = 20 * time.Second
	// minSilence is the shortest time without an acknowledgement that tells a silent
	// connection from a call that was given up early.
	minSilence    = 100 * time.Millisecond
	handleTimeout = 3 * time.Second
	// minRedialDelay is the delay after the first failed dial. It doubles with each further
	// one up to maxRedialDelay: the handshakes of all entries with one whose link is full
	// would keep it full.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 1600 * time.Millisecond
)

// Status of an answer, its first byte.
const (
	statusOK byte = iota
	statusFault
)

// Peer is the address and identity of an entry.
type Peer struct {
	Address     string      `cbor:"1,keyasint"` // IP and UDP port
	Fingerprint Fingerprint `cbor:"2,keyasint"`
}

// Service holds the connections of this entry to and from its peers.
type Service struct {
	log             logr.Logger
	ip              string
	ports           [2]int
	own             tls.Certificate
	selfFingerprint Fingerprint
	listener        *listener.Listener
	cancel          context.CancelFunc
	ctx             context.Context
	tasks           sync.WaitGroup
	done            chan struct{}
	largeRequests   *semaphore.Weighted

	mu       sync.Mutex
	peers    map[unit.EntryID]*peer
	handlers map[Kind]Handler
	conns    map[*quic.Conn]traffic // established connections, with what is counted of each
}

// New returns a service that will listen on the first free UDP port of a range,
// given by its first and last port.
func New(log logr.Logger, ip string, ports [2]int) *Service {
	return &Service{
		log: log, ip: ip, ports: ports,
		done:          make(chan struct{}),
		largeRequests: semaphore.NewWeighted(maxLargeRequests),
		peers:         map[unit.EntryID]*peer{},
		handlers:      map[Kind]Handler{},
		conns:         map[*quic.Conn]traffic{},
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, _ *registry.Kernel) error {
	var err error
	if s.own, s.selfFingerprint, err = newCertificate(time.Now()); err != nil {
		return errors.Errorf("make certificate: %w", err)
	}
	if s.listener, err = s.listen(); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.tasks.Go(s.accept)
	s.tasks.Go(s.countTraffic)
	go func() {
		defer close(s.done)
		<-s.ctx.Done()
		s.tasks.Wait()
		_ = s.listener.CloseAll() // its connections have ended
	}()
	return nil
}

// listen opens the first free port of the range.
func (s *Service) listen() (*listener.Listener, error) {
	var lastErr error
	for port := s.ports[0]; port <= s.ports[1]; port++ {
		address := &net.UDPAddr{IP: net.ParseIP(s.ip), Port: port}
		l, err := listener.Listen(address, tlsConfig(s.own, s.trusted), quicConfig(), listener.DefaultLimits)
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, errors.Errorf("listen for peers: %w", lastErr)
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

// Self returns the address and fingerprint of this entry. It may be called after
// Start.
func (s *Service) Self() Peer {
	return Peer{Address: s.listener.Addr().String(), Fingerprint: s.selfFingerprint}
}

// Handle sets the handler of the calls of a kind.
func (s *Service) Handle(k Kind, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[k] = h
}

// SetPeers replaces the set of peers. A peer with a new address or fingerprint gets
// a new connection; this entry itself is left out.
func (s *Service) SetPeers(peers map[unit.EntryID]Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		if target, ok := peers[id]; !ok || target != p.target {
			p.cancel()
			delete(s.peers, id)
		}
	}
	for id, target := range peers {
		if s.peers[id] == nil && target.Fingerprint != s.selfFingerprint {
			s.peers[id] = s.newPeer(id, target)
		}
	}
}

// Peers returns the ids of the peers.
func (s *Service) Peers() []unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]unit.EntryID, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	return ids
}

// Call sends a request to a peer and returns its answer. It does not retry. The
// context must have a deadline.
func (s *Service) Call(ctx context.Context, to unit.EntryID, k Kind, request []byte) ([]byte, error) {
	s.mu.Lock()
	p := s.peers[to]
	s.mu.Unlock()
	if p == nil {
		return nil, errors.Errorf("call %s: no such peer: %w", to, ErrUnreachable)
	}
	conn, err := p.connection(ctx)
	if err != nil {
		return nil, errors.Errorf("call %s: %w", to, err)
	}
	sentAt, before := time.Now(), trafficOf(conn)
	answer, err := exchange(ctx, conn, k, request)
	unanswered := errors.Is(err, ErrUnknown) || errors.Is(err, ErrUnreachable)
	if unanswered && time.Since(sentAt) >= minSilence && trafficOf(conn).received == before.received {
		// Not even an acknowledgement came: the connection may be silent for good. The
		// next call opens a new one.
		p.discard(conn)
	}
	if err != nil {
		return nil, errors.Errorf("call %s: %w", to, err)
	}
	return answer, nil
}

// trusted reports whether a peer has the fingerprint.
func (s *Service) trusted(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.target.Fingerprint == f {
			return true
		}
	}
	return false
}

func (s *Service) accept() {
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return // the listener is closed
		}
		s.tasks.Go(func() { s.serve(conn) })
	}
}

// serve accepts the calls of one connection and handles them concurrently.
func (s *Service) serve(conn *quic.Conn) {
	from := fingerprint(conn.ConnectionState().TLS.PeerCertificates[0].Raw)
	s.addConn(conn)
	defer s.removeConn(conn)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		stream, err := conn.AcceptStream(s.ctx)
		if err != nil {
			_ = conn.CloseWithError(0, "") // closed by the peer, or the service is stopping
			return
		}
		calls.Go(func() { s.handleStream(stream, from) })
	}
}

// handleStream reads one call, passes it to its handler and writes the answer.
func (s *Service) handleStream(stream *quic.Stream, from Fingerprint) {
	defer stream.Close()
	ctx, cancel := context.WithTimeout(s.ctx, handleTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(handleTimeout)) // fails only on a closed stream
	message, release, err := s.readRequest(ctx, stream)
	defer release()
	if err != nil || len(message) == 0 || len(message) > MaxMessage {
		stream.CancelRead(0)
		return
	}
	s.mu.Lock()
	handler := s.handlers[Kind(message[0])]
	s.mu.Unlock()
	status, body := statusFault, []byte("no handler for this kind of call")
	if handler != nil {
		answer, err := guard.Value(func() ([]byte, error) { return handler(ctx, from, message[1:]) })
		if _, panicked := errors.Into[*guard.PanicError](err); panicked {
			s.log.Error(err, "call of another entry failed", "kind", message[0])
			err = errors.New("fault in the handler")
		}
		if err == nil {
			status, body = statusOK, answer
		} else {
			body = []byte(err.Error())
		}
	}
	// If the write fails, the caller reports an unknown outcome.
	_, _ = stream.Write(append([]byte{status}, body...))
}

// readRequest reads a request. A large one waits until fewer others are being handled; the
// peer then waits too, as its stream is not read. The caller calls release after its use.
func (s *Service) readRequest(ctx context.Context, r io.Reader) (message []byte, release func(), err error) {
	release = func() {}
	message, err = io.ReadAll(io.LimitReader(r, smallRequest))
	if err != nil || len(message) < smallRequest {
		return message, release, err
	}
	if err := s.largeRequests.Acquire(ctx, 1); err != nil {
		return nil, release, errors.Errorf("wait for other requests: %w", err)
	}
	rest, err := io.ReadAll(io.LimitReader(r, MaxMessage+1-smallRequest))
	return append(message, rest...), func() { s.largeRequests.Release(1) }, err
}

// exchange does one call on a new stream.
func exchange(ctx context.Context, conn *quic.Conn, k Kind, request []byte) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Errorf("open stream: %w", errors.Join(err, ErrUnreachable))
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline) // fails only on a closed stream
	}
	if _, err := stream.Write(append([]byte{byte(k)}, request...)); err != nil {
		return nil, errors.Errorf("send: %w", errors.Join(err, ErrUnknown))
	}
	if err := stream.Close(); err != nil {
		return nil, errors.Errorf("end request: %w", errors.Join(err, ErrUnknown))
	}
	answer, err := io.ReadAll(io.LimitReader(stream, MaxMessage+1))
	if err != nil || len(answer) == 0 || len(answer) > MaxMessage {
		return nil, errors.Errorf("read answer of %d bytes: %w", len(answer), errors.Join(err, ErrUnknown))
	}
	if answer[0] != statusOK {
		return nil, &FaultError{Text: string(answer[1:])}
	}
	return answer[1:], nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     32 << 10,
		InitialConnectionReceiveWindow: 64 << 10,
		MaxStreamReceiveWindow:         1 << 20,
		MaxConnectionReceiveWindow:     2 << 20,
	}
}
