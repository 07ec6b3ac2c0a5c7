package link

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

// accept takes connections until the listener is closed.
func (s *Service) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return // closed by Stop
		}
		s.tasks.Go(func() { s.serve(ctx, conn) })
	}
}

// serve answers the calls of one connection. Calls are handled beside each
// other, so that one that waits for the store does not delay heartbeats.
func (s *Service) serve(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(0, "")
	from, err := s.welcome(ctx, conn)
	if err != nil {
		s.log.V(1).Info("peer rejected", "address", conn.RemoteAddr().String(), "error", err)
		return
	}
	var exchanges errgroup.Group
	exchanges.SetLimit(maxExchanges)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		exchanges.Go(func() error {
			s.answer(ctx, from, stream)
			return nil
		})
	}
	_ = conn.CloseWithError(0, "") // ends the streams that are being read
	_ = exchanges.Wait()           // the exchanges return no errors
}

// welcome reads the hello of a new connection and returns the id of its sender.
func (s *Service) welcome(ctx context.Context, conn *quic.Conn) (unit.EntryID, error) {
	ctx, cancel := context.WithTimeout(ctx, answerDue)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return "", errors.Errorf("wait for hello: %w", err)
	}
	m, err := receive(stream, time.Now().Add(answerDue))
	if err != nil {
		return "", err
	}
	hello, ok := m.(message.Hello)
	if !ok || hello.To != s.self {
		err := errors.Errorf("%#v is no hello for %s", m, s.self)
		// The connection stays until the peer has read the reason or has gone.
		send(stream, newFault(err))
		select {
		case <-conn.Context().Done():
		case <-ctx.Done():
		}
		return "", err
	}
	send(stream, message.Hello{From: s.self, To: hello.From})
	return hello.From, nil
}

// answer reads one message, has it handled and sends the answer.
func (s *Service) answer(ctx context.Context, from unit.EntryID, stream *quic.Stream) {
	deadline := time.Now().Add(exchangeLimit)
	m, err := receive(stream, deadline)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if m.Kind() == message.KindHeartbeat {
		send(stream, s.heartbeat(from))
		return
	}
	s.mu.Lock()
	handler := s.handlers[m.Kind()]
	s.mu.Unlock()
	if handler == nil {
		send(stream, message.Fault{Text: "no handler for " + m.Kind().String()})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := handler(ctx, from, m)
	switch {
	case err != nil:
		reply = newFault(err)
	case reply == nil:
		reply = message.Done{}
	}
	send(stream, reply)
}

// maxFaultText keeps the text of a fault within the bound of its message.
const maxFaultText = 1024

func newFault(err error) message.Fault {
	text := err.Error()
	return message.Fault{Text: strings.ToValidUTF8(text[:min(len(text), maxFaultText)], "")}
}

func receive(stream *quic.Stream, deadline time.Time) (message.Message, error) {
	_ = stream.SetDeadline(deadline) // fails only on a closed stream, as does the read
	m, size, err := message.Read(stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, errors.Errorf("receive: %w", err)
	}
	countReceived(m.Kind(), size)
	return m, nil
}

// send writes the answer. If that fails, the peer sees a stream without a whole
// answer and treats the outcome as unknown.
func send(stream *quic.Stream, m message.Message) {
	frame, err := message.Encode(m)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(0)
		return
	}
	countSent(m.Kind(), len(frame))
	_ = stream.Close() // the peer reads to the end of the frame, not of the stream
}
