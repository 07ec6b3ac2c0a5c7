package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Timeouts of a connection.
const (
	// dialTimeout is long compared with a round trip within a region, and short
	// compared with the latency target of a class, so that another worker can still be
	// tried.
	dialTimeout = time.Second
	// maxIdleTime is shorter than the keep-alive timeouts of common servers, so that the
	// worker rarely closes a connection while a request is being sent on it.
	maxIdleTime = 15 * time.Second
)

// copyBufferSize is the size of a buffer for a response body. Idle connections have
// no buffer.
const copyBufferSize = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// expiredDeadline is a deadline in the past, which ends pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

// conn is one connection. Its fields are used only by its goroutine unless they say
// otherwise.
type conn struct {
	pool       *Pool
	assigned   chan *pendingExchange // the next exchange; never closed
	retired    chan struct{}         // closed by the pool to end an idle connection
	generation uint64                // Pool.generation when the connection was dialled; guarded by Pool.mu

	netConn             net.Conn
	in                  *bufio.Reader
	out                 *bufio.Writer
	requestBytesWritten int64 // of the current request
	responseBytesLeft   int64 // how much of the current response may still be read
}

// pendingExchange is an exchange that a connection has to run. The result is set
// before done is closed.
type pendingExchange struct {
	ctx     context.Context
	request *Request
	sink    Sink
	result  Result
	done    chan struct{}
}

// run serves exchanges until the connection is closed.
func (c *conn) run() {
	idle := time.NewTimer(maxIdleTime)
	defer idle.Stop()
	for {
		select {
		case ex := <-c.assigned:
			if !c.handle(ex) {
				return
			}
			idle.Reset(maxIdleTime)
		case <-idle.C:
			if c.pool.removeIdle(c) {
				c.closeAndRemove()
				return
			}
			// The connection was acquired at the same time; its exchange follows.
		case <-c.retired:
			c.closeAndRemove()
			return
		}
	}
}

// handle runs an exchange and returns the connection to the pool or closes it, before
// the caller learns of the end, so that the pool is up to date for its next exchange.
// After a hang the caller does not wait for the redial.
func (c *conn) handle(ex *pendingExchange) bool {
	reusable := c.runExchange(ex)
	if errors.Is(ex.result.Err, ErrHung) {
		c.close()
		c.pool.retireOlder(c)
		close(ex.done)
		return c.redial()
	}
	if reusable && c.pool.putIdle(c) {
		close(ex.done)
		return true
	}
	c.closeAndRemove()
	close(ex.done)
	return false
}

// redial dials again after a hang, to tell a failed connection from a failed worker.
func (c *conn) redial() bool {
	err := c.dial(context.Background())
	c.pool.reportRedial(err)
	if err == nil && c.pool.putIdle(c) {
		return true
	}
	c.closeAndRemove()
	return false
}

func (c *conn) closeAndRemove() {
	c.close()
	c.pool.recordClosed()
}

// runExchange runs one exchange and reports whether the connection can be used again.
func (c *conn) runExchange(ex *pendingExchange) bool {
	if c.netConn != nil && !isIdle(c.netConn) {
		c.close() // closed by the worker while idle, or it sent unsolicited bytes
	}
	if c.netConn == nil {
		if err := c.dial(ex.ctx); err != nil {
			ex.result = failed(NotRun, ErrConnect, err)
			return false
		}
	}
	n := c.netConn // the function may still run after the connection was replaced
	stop := context.AfterFunc(ex.ctx, func() { _ = n.SetDeadline(expiredDeadline) })
	reusable := c.sendAndReceive(ex)
	if !stop() {
		reusable = false // the function above may still set the expired deadline
		if ex.result.Outcome != Done {
			ex.result.Err = errors.Join(ErrAbandoned, ex.result.Err)
		}
	}
	return reusable
}

func (c *conn) sendAndReceive(ex *pendingExchange) (reusable bool) {
	r := ex.request
	now := time.Now()
	if err := errors.Join(c.netConn.SetWriteDeadline(r.Deadline), c.netConn.SetReadDeadline(r.FirstByteDeadline)); err != nil {
		ex.result = failed(NotRun, ErrConnect, err)
		return false
	}
	if err := ex.ctx.Err(); err != nil { // after the deadlines, which overwrite an expired one
		ex.result = failed(NotRun, ErrAbandoned, err)
		return false
	}
	if r.Allow != nil {
		if err := r.Allow(now); err != nil {
			ex.result = failed(NotRun, ErrNotAllowed, err)
			return true
		}
	}
	wireRequest := r.wireRequest()
	c.requestBytesWritten = 0
	if err := errors.Join(wireRequest.Write(c.out), c.out.Flush()); err != nil {
		outcome := Unknown
		if c.requestBytesWritten == 0 {
			outcome = NotRun
		}
		ex.result = failed(outcome, ErrWrite, err)
		return false
	}
	c.responseBytesLeft = maxHeader
	if _, err := c.in.Peek(1); err != nil {
		reason := ErrTruncated
		if errors.Is(err, os.ErrDeadlineExceeded) && ex.ctx.Err() == nil {
			reason = ErrHung
		}
		ex.result = failed(Unknown, reason, err)
		return false
	}
	ex.result.Latency = time.Since(now)
	if err := c.netConn.SetReadDeadline(r.Deadline); err != nil {
		ex.result = failed(Unknown, ErrTruncated, err)
		return false
	}
	if err := ex.ctx.Err(); err != nil {
		ex.result = failed(Unknown, ErrAbandoned, err)
		return false
	}
	return c.receiveResponse(ex, wireRequest)
}

// receiveResponse reads the response and writes it to the sink.
func (c *conn) receiveResponse(ex *pendingExchange, wire *http.Request) (reusable bool) {
	resp, err := c.readHeader(wire)
	if err != nil {
		ex.result = failed(Unknown, c.readError(ErrResponse), err)
		return false
	}
	// The body is not closed, because Close reads the remainder, which may never end.
	// It is read completely before the connection is used again.
	res := &ex.result
	res.Status = resp.StatusCode
	if got := resp.Header.Get(HeaderRequest); got != string(ex.request.ID) {
		*res = failed(Unknown, ErrMismatch, errors.Errorf("want id %q, got %q", ex.request.ID, got))
		return false
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		*res = failed(Unknown, ErrResponse, errors.New("neither length nor chunks"))
		return false
	}
	if resp.ContentLength > maxBody {
		*res = failed(Unknown, ErrOversized, errors.Errorf("length %d", resp.ContentLength))
		return false
	}
	res.Draining = resp.Header.Get(HeaderState) == "draining"
	c.responseBytesLeft = maxBody + maxHeader // with an allowance for chunk framing
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun) {
		res.Outcome, res.Err = NotRun, ErrRejected
		_, err := io.Copy(io.Discard, resp.Body)
		return err == nil && c.reusableAfter(resp)
	}
	res.ResponseStarted = true
	ex.sink.StartResponse(resp.StatusCode, resp.Header, resp.ContentLength)
	// A response to HEAD has a length and no body.
	body := &errorRecorder{from: resp.Body}
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	if _, err := io.CopyBuffer(ex.sink, body, buffer[:]); err != nil {
		reason := ErrAbandoned // a write to the caller failed
		if body.err != nil {
			reason = c.readError(ErrTruncated)
		}
		res.Outcome, res.Err = Unknown, errors.Join(reason, err)
		return false
	}
	res.Outcome = Done
	return c.reusableAfter(resp)
}

// readHeader reads the header of the final response.
func (c *conn) readHeader(wire *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.in, wire)
		if err != nil {
			return nil, errors.Errorf("read response: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("protocol switched")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

func (c *conn) readError(reason error) error {
	if c.responseBytesLeft <= 0 {
		return ErrOversized
	}
	return reason
}

func (c *conn) reusableAfter(resp *http.Response) bool {
	return !resp.Close && c.in.Buffered() == 0
}

func (c *conn) dial(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", c.pool.address)
	if err != nil {
		return errors.Errorf("dial %s: %w", c.pool.address, err)
	}
	c.netConn = n
	c.in = bufio.NewReaderSize(limitedReader{c}, 4<<10)
	c.out = bufio.NewWriterSize(countingWriter{c}, 4<<10)
	return nil
}

func (c *conn) close() {
	if c.netConn != nil {
		_ = c.netConn.Close() // nothing more is read or written
		c.netConn = nil
	}
}

// countingWriter counts the bytes that may have reached the worker.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.netConn.Write(p)
	w.c.requestBytesWritten += int64(n)
	return n, err
}

// limitedReader limits how much of a response is read.
type limitedReader struct{ c *conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.c.responseBytesLeft <= 0 {
		return 0, ErrOversized
	}
	n, err := r.c.netConn.Read(p[:min(int64(len(p)), r.c.responseBytesLeft)])
	r.c.responseBytesLeft -= int64(n)
	return n, err
}

// errorRecorder records a read error, to tell it from a write error of the sink.
type errorRecorder struct {
	from io.Reader
	err  error
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

func failed(outcome Outcome, reason, cause error) Result {
	return Result{Outcome: outcome, Err: errors.Join(reason, cause)}
}

// isIdle reports whether a connection is open and has nothing to read. It does not
// block.
func isIdle(n net.Conn) bool {
	raw, err := n.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
