package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

// peer holds the outgoing connection to one peer.
type peer struct {
	service *Service
	id      unit.EntryID
	address string
	random  *rand.Rand // used only by run
	cancel  context.CancelFunc

	mu   sync.Mutex
	conn *quic.Conn // nil while not connected
}

func newPeer(s *Service, e roster.Entry) *peer {
	seed := xxhash.Sum64String(string(s.self) + "\x00" + string(e.ID))
	return &peer{
		service: s,
		id:      e.ID,
		address: e.Address,
		random:  rand.New(rand.NewPCG(s.options.Seed, seed)),
	}
}

// run keeps a connection to the peer open until the context is done.
func (p *peer) run(ctx context.Context) {
	log := p.service.log.WithValues("peer", p.id, "address", p.address)
	failures := 0
	for ctx.Err() == nil {
		conn, err := p.dial(ctx)
		if err == nil {
			if failures > 0 {
				log.Info("peer connected", "failures", failures)
			}
			failures = 0
			p.setConnection(conn)
			err = p.sendHeartbeats(ctx, conn)
			p.setConnection(nil)
			_ = conn.CloseWithError(0, "") // may be closed already
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		if failures == 1 {
			log.Info("peer connection lost", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff(failures, p.random)):
		}
	}
}

// dial connects from a new local port: if a network device between the entries
// makes a connection hang, a new one between the same ports may hang too.
func (p *peer) dial(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	dials.Add(1)
	conn, err := quic.DialAddr(ctx, p.address, p.service.options.Credentials.EntryClient(protocol), quicConfig())
	if err != nil {
		dialFailures.Add(1)
		return nil, errors.Errorf("dial: %w", err)
	}
	if err := p.exchangeHello(ctx, conn); err != nil {
		dialFailures.Add(1)
		_ = conn.CloseWithError(0, "") // the error of the hello is returned
		return nil, err
	}
	return conn, nil
}

// exchangeHello verifies that the address still belongs to the peer: a new entry
// may listen there now.
func (p *peer) exchangeHello(ctx context.Context, conn *quic.Conn) error {
	answer, err := exchange(ctx, conn, message.Hello{From: p.service.self, To: p.id})
	if err != nil {
		return errors.Errorf("greet: %w", err)
	}
	hello, ok := answer.(message.Hello)
	if !ok || hello.From != p.id {
		return errors.Errorf("greet: answer %#v is not from %s", answer, p.id)
	}
	return nil
}

// sendHeartbeats sends heartbeats until one fails or is not answered in time, the
// connection ends or the context is done.
func (p *peer) sendHeartbeats(ctx context.Context, conn *quic.Conn) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := p.sendHeartbeat(ctx, conn); err != nil {
			overdueHeartbeats.Add(1)
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-conn.Context().Done():
			return errors.Errorf("connection ended: %w", context.Cause(conn.Context()))
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and handles its answer.
func (p *peer) sendHeartbeat(ctx context.Context, conn *quic.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	sentAt := time.Now()
	answer, err := exchange(ctx, conn, p.service.newHeartbeat(p.id))
	if err != nil {
		return errors.Errorf("heartbeat: %w", err)
	}
	h, ok := answer.(message.Heartbeat)
	if !ok {
		return errors.Errorf("heartbeat: answered by %s", answer.Kind())
	}
	p.service.handleHeartbeatAnswer(p.id, sentAt, h)
	return nil
}

func (p *peer) connection() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *peer) setConnection(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// exchange sends one message on a new stream and reads the answer.
func exchange(ctx context.Context, conn *quic.Conn, m message.Message) (message.Message, error) {
	frame, err := message.Encode(m)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	stopAfter := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stopAfter()
	if _, err := stream.Write(frame); err != nil {
		stream.CancelRead(0)
		return nil, errors.Join(ErrUnknown, err)
	}
	countSent(m.Kind(), len(frame))
	if err := stream.Close(); err != nil {
		stream.CancelRead(0)
		return nil, errors.Join(ErrUnknown, err)
	}
	answer, size, err := message.Read(stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, errors.Join(ErrUnknown, err)
	}
	countReceived(answer.Kind(), size)
	return answer, nil
}
