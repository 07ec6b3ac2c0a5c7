package link

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

// accept serves incoming connections until the listener is closed.
func (s *Service) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return // closed by Stop
		}
		s.tasks.Go(func() { s.serve(ctx, conn) })
	}
}

// serve handles the calls of one connection concurrently, so that a call that
// waits for the store does not delay heartbeats.
func (s *Service) serve(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(0, "")
	from, err := s.acceptHello(ctx, conn)
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
			s.handleStream(ctx, from, stream)
			return nil
		})
	}
	_ = conn.CloseWithError(0, "") // aborts pending reads of its streams
	_ = exchanges.Wait()           // the exchanges return no errors
}

// acceptHello reads the hello of a new connection, answers it and returns the id
// of its sender.
func (s *Service) acceptHello(ctx context.Context, conn *quic.Conn) (unit.EntryID, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return "", errors.Errorf("wait for hello: %w", err)
	}
	m, release, err := s.receive(ctx, stream, time.Now().Add(answerTimeout))
	defer release()
	if err != nil {
		return "", err
	}
	hello, ok := m.(message.Hello)
	if !ok || hello.To != s.self {
		err := errors.Errorf("%#v is no hello for %s", m, s.self)
		// Keep the connection open until the peer has read the reason and closed it, or
		// the timeout expires.
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

// handleStream reads one message, passes it to its handler and sends the answer.
func (s *Service) handleStream(ctx context.Context, from unit.EntryID, stream *quic.Stream) {
	deadline := time.Now().Add(handleTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	m, release, err := s.receive(ctx, stream, deadline)
	defer release()
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if m.Kind() == message.KindHeartbeat {
		send(stream, s.newHeartbeat(from))
		return
	}
	s.mu.Lock()
	handler := s.handlers[m.Kind()]
	s.mu.Unlock()
	if handler == nil {
		send(stream, message.Fault{Text: "no handler for " + m.Kind().String()})
		return
	}
	reply, err := handler(ctx, from, m)
	switch {
	case err != nil:
		reply = newFault(err)
	case reply == nil:
		reply = message.Done{}
	}
	send(stream, reply)
}

// maxFaultText is the maximum length of the text of a fault, in bytes. It keeps the
// message below the maximum size of its kind.
const maxFaultText = 1024

// newFault returns a fault with the text of an error, cut to maxFaultText.
func newFault(err error) message.Fault {
	text := err.Error()
	return message.Fault{Text: strings.ToValidUTF8(text[:min(len(text), maxFaultText)], "")}
}

// receive reads one message before the deadline. The caller calls release after its use.
func (s *Service) receive(ctx context.Context, stream *quic.Stream, deadline time.Time) (m message.Message, release func(), err error) {
	_ = stream.SetDeadline(deadline) // fails only on a closed stream, on which the read fails too
	m, size, release, err := s.read(ctx, stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, release, errors.Errorf("receive: %w", err)
	}
	countReceived(m.Kind(), size)
	return m, release, nil
}

// read reads one message. A large one waits until fewer others are being received or handled;
// the peer then waits too, as its stream is not read.
func (s *Service) read(ctx context.Context, r io.Reader) (m message.Message, size int, release func(), err error) {
	release = func() {}
	header, err := message.ReadHeader(r)
	if err != nil {
		return nil, 0, release, err
	}
	if header.Size >= smallMessage {
		if err := s.largeMessages.Acquire(ctx, 1); err != nil {
			return nil, 0, release, errors.Errorf("wait for other messages: %w", err)
		}
		release = func() { s.largeMessages.Release(1) }
	}
	m, size, err = header.ReadBody(r)
	return m, size, release, err
}

// send writes the answer. If that fails, the peer sees a stream without a complete
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
	_ = stream.Close() // the peer reads one frame and does not need the end of the stream
}
