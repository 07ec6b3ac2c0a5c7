package limiter

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/entry/budget"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxWriteStall bounds the time in which a client takes nothing of a response.
const maxWriteStall = 30 * time.Second

// conn is a connection of a client. The goroutine of the server reads and writes it; others
// interrupt it.
type conn struct {
	net.Conn
	limiter  *Limiter
	id       budget.ConnectionID
	source   budget.Source
	openedAt time.Time

	mu            sync.Mutex
	phase         budget.Phase
	header        unit.Bytes // reserved for the header of the request
	inBody        bool       // the header is complete
	interrupted   bool       // nothing is read any more
	lost          bool       // to be interrupted after the response
	closed        bool
	readDeadline  time.Time // set by the server
	writeDeadline time.Time // set by the server
}

// Read implements net.Conn. What is read of a header is reserved.
func (c *conn) Read(p []byte) (int, error) {
	if c.isInterrupted() {
		return 0, os.ErrDeadlineExceeded // the server closes the connection without a response
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.reserveHeader(n) && !c.isInterrupted() { // else it was counted as it was interrupted
		c.limiter.rejections.add(causeHeader, c)
		c.interrupt()
	}
	if c.isInterrupted() {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

func (c *conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// reserveHeader accounts for bytes that were read.
func (c *conn) reserveHeader(n int) bool {
	c.mu.Lock()
	if c.inBody {
		c.mu.Unlock()
		return true
	}
	begins := c.phase == budget.Idle
	c.mu.Unlock()
	if begins {
		c.setPhase(budget.Receiving)
	}
	cost := headerCost * unit.Bytes(n)
	if !c.limiter.reserve(c, cost) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header += cost
	return true
}

// beginRequest records that the header is complete and takes a number of bytes. It fails
// if the connection was interrupted.
func (c *conn) beginRequest(held unit.Bytes, p budget.Phase) bool {
	c.mu.Lock()
	c.inBody = true
	surplus := max(0, c.header-held)
	c.header -= surplus
	c.mu.Unlock()
	if surplus > 0 {
		c.limiter.release(c, surplus)
	}
	return c.setPhase(p)
}

// endBody records that the body is complete. It fails if the connection was interrupted.
func (c *conn) endBody() bool {
	c.mu.Lock()
	if !c.interrupted {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
	}
	c.mu.Unlock()
	return c.setPhase(budget.Deciding)
}

// endRequest records that the response was sent. An idle connection holds nothing but
// itself.
func (c *conn) endRequest() {
	c.mu.Lock()
	surplus, lost := c.header, c.lost
	c.header, c.inBody = 0, false
	c.mu.Unlock()
	if surplus > 0 {
		c.limiter.release(c, surplus)
	}
	c.setPhase(budget.Idle)
	if lost {
		c.interrupt()
	}
}

// setPhase records that a phase begins, unless the connection was interrupted.
func (c *conn) setPhase(p budget.Phase) bool {
	c.mu.Lock()
	changed := c.phase != p && !c.interrupted
	if changed {
		c.phase = p
	}
	interrupted := c.interrupted
	c.mu.Unlock()
	if changed {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.budget.SetPhase(c.id, p, time.Now())
	}
	return !interrupted
}

// interrupt ends the reads of the connection, also the one under way. A response can still
// be sent. A connection whose request became complete in the meantime is interrupted after
// the response.
func (c *conn) interrupt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == budget.Deciding {
		c.lost = true
		return false
	}
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return true
}

// closeNow closes the connection before the server does. What it holds stays reserved until
// the server has released it.
func (c *conn) closeNow() {
	if !c.interrupt() {
		return
	}
	_ = c.Conn.Close() // the server closes it again and ignores the error
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.budget.Disconnect(c.id)
}

// SetReadDeadline implements net.Conn. An interrupted connection keeps its deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// setBodyDeadline bounds the next read, besides the deadline that the server has set.
func (c *conn) setBodyDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return
	}
	if !c.readDeadline.IsZero() && c.readDeadline.Before(t) {
		t = c.readDeadline
	}
	_ = c.Conn.SetReadDeadline(t) // fails only on a closed connection
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. A client that takes nothing of it for maxWriteStall is
// disconnected.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writeDeadline.IsZero() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(maxWriteStall)) // fails only on a closed connection
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.limiter.mu.Lock()
		c.limiter.budget.Close(c.id)
		delete(c.limiter.conns, c.id)
		c.limiter.updateMetrics()
		c.limiter.mu.Unlock()
	}
	return c.Conn.Close()
}

// CloseWrite tells the client that its response is complete. The server calls it some time
// before it closes the connection, which may discard a response that was not read.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
