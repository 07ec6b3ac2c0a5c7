// Package listener accepts QUIC connections of peers. Until a handshake is complete anyone
// may be at the other end, so the handshakes under way and the connections are bounded.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// Limits bound the connections of a listener. Further ones are refused, without an effect on
// the others.
type Limits struct {
	Connections int // in all
	Handshakes  int // under way
	// UnverifiedHandshakes are those under way beyond which a client has to show first
	// that it receives packets at its address.
	UnverifiedHandshakes int
}

// DefaultLimits leave room for 1,000 peers, of which 100 connect at a time. A handshake
// ends after 2 s at the latest.
var DefaultLimits = Limits{Connections: 1024, Handshakes: 128, UnverifiedHandshakes: 16}

// errRefused makes the transport refuse a connection.
var errRefused = errors.New("too many connections")

// Listener is a QUIC listener with limits.
type Listener struct {
	*quic.Listener
	transport *quic.Transport
	socket    *net.UDPConn
	limits    Limits

	mu          sync.Mutex
	connections int
	handshakes  int
}

// handshake is the handshake of one connection.
type handshake struct{ ended bool }

// handshakeKey is the key of the handshake in the context of a connection.
type handshakeKey struct{}

// Listen listens at a UDP address.
func Listen(address *net.UDPAddr, tlsConfig *tls.Config, config *quic.Config, limits Limits) (*Listener, error) {
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Errorf("open socket: %w", err)
	}
	l := &Listener{socket: socket, limits: limits}
	l.transport = &quic.Transport{Conn: socket, ConnContext: l.begin, VerifySourceAddress: l.mustVerify}
	if l.Listener, err = l.transport.Listen(tlsConfig, config); err != nil {
		_ = socket.Close() // the error of Listen is returned
		return nil, errors.Errorf("listen for QUIC: %w", err)
	}
	return l, nil
}

// Accept returns the next connection whose handshake is complete.
func (l *Listener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.Listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	if h, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
		l.endHandshake(h)
	}
	return conn, nil
}

// CloseAll closes the listener with its socket and all connections that are still open.
func (l *Listener) CloseAll() error {
	return errors.Join(l.transport.Close(), l.socket.Close())
}

// mustVerify reports whether a client has to show that it receives packets.
func (l *Listener) mustVerify(net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handshakes >= l.limits.UnverifiedHandshakes
}

// begin counts a connection until its context ends, or refuses it.
func (l *Listener) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections >= l.limits.Connections || l.handshakes >= l.limits.Handshakes {
		metric.RejectedClients.Add("peer connections", 1)
		return nil, errRefused
	}
	l.connections++
	l.handshakes++
	h := &handshake{}
	context.AfterFunc(ctx, func() {
		l.endHandshake(h)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.connections--
	})
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

func (l *Listener) endHandshake(h *handshake) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !h.ended {
		h.ended = true
		l.handshakes--
	}
}
