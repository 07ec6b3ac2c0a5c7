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

// Spans of a connection.
const (
	// dialTimeout is long against a round trip within a region and short against
	// the bound of a class, so that another worker can still be tried.
	dialTimeout = time.Second
	// keepIdle is shorter than the keep-alive timeouts of common servers, so that
	// the worker rarely closes a connection while a request is on its way.
	keepIdle = 15 * time.Second
)

// copySize is the size of a buffer for a response body. Idle connections hold
// none.
const copySize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// past is a deadline that ends pending reads and writes.
var past = time.Unix(1, 0)

// conn is one connection; all its fields belong to its goroutine.
type conn struct {
	pool    *Pool
	jobs    chan *job     // the next exchange; never closed
	retired chan struct{} // closed by the pool when an idle connection is not wanted any more
	epoch   uint64        // of the pool when the connection was dialled; guarded by Pool.mu

	net     net.Conn
	in      *bufio.Reader
	out     *bufio.Writer
	written int64 // bytes of the present request
	allowed int64 // bytes that may still be read of the present response
}

type job struct {
	ctx     context.Context
	request *Request
	sink    Sink
	result  Result
	done    chan struct{}
}

// run serves exchanges until the connection is closed.
func (c *conn) run() {
	idle := time.NewTimer(keepIdle)
	defer idle.Stop()
	for {
		select {
		case j := <-c.jobs:
			if !c.complete(j) {
				return
			}
			idle.Reset(keepIdle)
		case <-idle.C:
			if c.pool.withdraw(c) {
				c.end()
				return
			}
			// An exchange was assigned at the same moment and arrives next.
		case <-c.retired:
			c.end()
			return
		}
	}
}

// complete serves an exchange, and then offers the connection again or ends it,
// before the waiting caller can ask for another one.
func (c *conn) complete(j *job) bool {
	reusable := c.serve(j)
	if errors.Is(j.result.Err, ErrHung) {
		c.close()
		c.pool.suspect(c)
		close(j.done)
		return c.replace()
	}
	if reusable && c.pool.offer(c) {
		close(j.done)
		return true
	}
	c.end()
	close(j.done)
	return false
}

// replace dials anew after a hang, to tell a dead connection from a dead worker.
func (c *conn) replace() bool {
	err := c.dial(context.Background())
	c.pool.observe(err)
	if err == nil && c.pool.offer(c) {
		return true
	}
	c.end()
	return false
}

func (c *conn) end() {
	c.close()
	c.pool.remove()
}

// serve runs one exchange and reports whether the connection can be used again.
func (c *conn) serve(j *job) bool {
	if c.net != nil && !quiet(c.net) {
		c.close() // closed by the worker while idle, or bytes that nobody asked for
	}
	if c.net == nil {
		if err := c.dial(j.ctx); err != nil {
			j.result = failed(NotRun, ErrConnect, err)
			return false
		}
	}
	n := c.net // the function may still run when the connection has been replaced
	stop := context.AfterFunc(j.ctx, func() { _ = n.SetDeadline(past) })
	reusable := c.exchange(j)
	if !stop() {
		reusable = false // the deadline may still be set to the past by the function above
		if j.result.Outcome != Done {
			j.result.Err = errors.Join(ErrAbandoned, j.result.Err)
		}
	}
	return reusable
}

func (c *conn) exchange(j *job) (reusable bool) {
	r := j.request
	now := time.Now()
	if err := errors.Join(c.net.SetWriteDeadline(r.Deadline), c.net.SetReadDeadline(r.FirstByteDeadline)); err != nil {
		j.result = failed(NotRun, ErrConnect, err)
		return false
	}
	if err := j.ctx.Err(); err != nil { // after the deadlines, which would undo an earlier end
		j.result = failed(NotRun, ErrAbandoned, err)
		return false
	}
	if r.Allow != nil {
		if err := r.Allow(now); err != nil {
			j.result = failed(NotRun, ErrNotAllowed, err)
			return true
		}
	}
	wire := r.wireRequest()
	c.written = 0
	if err := errors.Join(wire.Write(c.out), c.out.Flush()); err != nil {
		outcome := Unknown
		if c.written == 0 {
			outcome = NotRun
		}
		j.result = failed(outcome, ErrWrite, err)
		return false
	}
	c.allowed = maxHeader
	if _, err := c.in.Peek(1); err != nil {
		reason := ErrTruncated
		if errors.Is(err, os.ErrDeadlineExceeded) && j.ctx.Err() == nil {
			reason = ErrHung
		}
		j.result = failed(Unknown, reason, err)
		return false
	}
	j.result.Latency = time.Since(now)
	if err := c.net.SetReadDeadline(r.Deadline); err != nil {
		j.result = failed(Unknown, ErrTruncated, err)
		return false
	}
	if err := j.ctx.Err(); err != nil {
		j.result = failed(Unknown, ErrAbandoned, err)
		return false
	}
	return c.receive(j, wire)
}

// receive reads the response and passes it on.
func (c *conn) receive(j *job, wire *http.Request) (reusable bool) {
	resp, err := c.readHeader(wire)
	if err != nil {
		j.result = failed(Unknown, c.readFault(ErrResponse), err)
		return false
	}
	// The body is not closed: that would read its rest, which may never end. It is
	// read to its end if the connection is used again.
	res := &j.result
	res.Status = resp.StatusCode
	if got := resp.Header.Get(HeaderRequest); got != string(j.request.ID) {
		*res = failed(Unknown, ErrMismatch, errors.Errorf("want id %q, got %q", j.request.ID, got))
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
	c.allowed = maxBody + maxHeader // with an allowance for the framing of chunks
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun) {
		res.Outcome, res.Err = NotRun, ErrRejected
		_, err := io.Copy(io.Discard, resp.Body)
		return err == nil && c.clean(resp)
	}
	res.ResponseStarted = true
	j.sink.StartResponse(resp.StatusCode, resp.Header, resp.ContentLength)
	// A response to HEAD has a length and no body.
	faults := &reader{from: resp.Body}
	buffer := buffers.Get().(*[copySize]byte)
	defer buffers.Put(buffer)
	if _, err := io.CopyBuffer(j.sink, faults, buffer[:]); err != nil {
		reason := ErrAbandoned // by a failed write to the caller
		if faults.err != nil {
			reason = c.readFault(ErrTruncated)
		}
		res.Outcome, res.Err = Unknown, errors.Join(reason, err)
		return false
	}
	res.Outcome = Done
	return c.clean(resp)
}

// readHeader reads the header of the final response.
func (c *conn) readHeader(wire *http.Request) (*http.Response, error) {
	for range maxInterim {
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

func (c *conn) readFault(reason error) error {
	if c.allowed <= 0 {
		return ErrOversized
	}
	return reason
}

func (c *conn) clean(resp *http.Response) bool {
	return !resp.Close && c.in.Buffered() == 0
}

func (c *conn) dial(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", c.pool.address)
	if err != nil {
		return errors.Errorf("dial %s: %w", c.pool.address, err)
	}
	c.net = n
	c.in = bufio.NewReaderSize(inbound{c}, 4<<10)
	c.out = bufio.NewWriterSize(outbound{c}, 4<<10)
	return nil
}

func (c *conn) close() {
	if c.net != nil {
		_ = c.net.Close() // nothing more is read or written
		c.net = nil
	}
}

// outbound counts the bytes that may have reached the worker.
type outbound struct{ c *conn }

func (o outbound) Write(p []byte) (int, error) {
	n, err := o.c.net.Write(p)
	o.c.written += int64(n)
	return n, err
}

// inbound bounds what is read of a response.
type inbound struct{ c *conn }

func (i inbound) Read(p []byte) (int, error) {
	if i.c.allowed <= 0 {
		return 0, ErrOversized
	}
	n, err := i.c.net.Read(p[:min(int64(len(p)), i.c.allowed)])
	i.c.allowed -= int64(n)
	return n, err
}

// reader remembers whether reading failed, to tell it from a failed write.
type reader struct {
	from io.Reader
	err  error
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

func failed(outcome Outcome, reason, cause error) Result {
	return Result{Outcome: outcome, Err: errors.Join(reason, cause)}
}

// quiet reports whether an idle connection is open and has nothing to read. It
// does not block.
func quiet(n net.Conn) bool {
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
