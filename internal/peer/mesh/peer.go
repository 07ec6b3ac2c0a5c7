package mesh

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// peer holds the outgoing connection to one peer.
type peer struct {
	service *Service
	id      unit.EntryID
	target  Peer
	cancel  context.CancelFunc
	wanted  chan struct{} // has an element if a call waits for a connection

	mu      sync.Mutex
	conn    *quic.Conn
	changed chan struct{} // closed and replaced when conn or dialErr is set
	dialErr error         // of the last dial; nil after a connection ended
}

func (s *Service) newPeer(id unit.EntryID, target Peer) *peer {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &peer{
		service: s, id: id, target: target, cancel: cancel,
		wanted:  make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	s.tasks.Go(func() { p.run(ctx) })
	return p
}

// run connects when a call needs a connection, until the context is done.
func (p *peer) run(ctx context.Context) {
	defer p.setConnection(nil, ErrUnreachable)
	delay := minRedialDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wanted:
		}
		conn, err := p.dial(ctx)
		p.setConnection(conn, err)
		if err != nil {
			p.service.log.V(1).Info("peer not reached", "peer", p.id, "address", p.target.Address, "error", err.Error())
			if !wait.For(ctx, delay) {
				return
			}
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		p.service.log.V(1).Info("peer connected", "peer", p.id, "address", p.target.Address)
		p.service.addConn(conn)
		select {
		case <-conn.Context().Done():
		case <-ctx.Done():
			_ = conn.CloseWithError(0, "") // the service stops or the peer was removed
		}
		p.service.removeConn(conn)
		p.setConnection(nil, nil)
	}
}

func (p *peer) dial(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	trusted := func(f Fingerprint) bool { return f == p.target.Fingerprint }
	conn, err := quic.DialAddr(ctx, p.target.Address, tlsConfig(p.service.own, trusted), quicConfig())
	if err != nil {
		return nil, errors.Errorf("dial: %w", errors.Join(err, ErrUnreachable))
	}
	return conn, nil
}

// setConnection sets the connection, or the error of the dial, and wakes the calls
// that wait for it.
func (p *peer) setConnection(conn *quic.Conn, dialErr error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn, p.dialErr = conn, dialErr
	close(p.changed)
	p.changed = make(chan struct{})
}

// connection returns the connection to the peer. If there is none, it requests one
// and waits for it or for the error of the dial.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	p.mu.Lock()
	conn, changed := p.conn, p.changed
	p.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	select {
	case p.wanted <- struct{}{}:
	default: // already requested by another call
	}
	for {
		select {
		case <-ctx.Done():
			return nil, errors.Errorf("wait for connection: %w", errors.Join(ctx.Err(), ErrUnreachable))
		case <-changed:
		}
		p.mu.Lock()
		conn, changed = p.conn, p.changed
		dialErr := p.dialErr
		p.mu.Unlock()
		if conn != nil && conn.Context().Err() == nil {
			return conn, nil
		}
		if dialErr != nil {
			return nil, dialErr
		}
	}
}

// discard closes a connection on which nothing came since a call was sent.
func (p *peer) discard(conn *quic.Conn) {
	_ = conn.CloseWithError(0, "answer overdue") // may be closed already
}
