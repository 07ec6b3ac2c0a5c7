package upstream

import (
	"context"
	"slices"
	"sync"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Observer is told whether a new connection could be opened after another one hung.
// It must not block.
type Observer interface {
	ObserveRedial(worker unit.InstanceID, err error)
}

// Pool holds the connections to one worker.
type Pool struct {
	worker   unit.InstanceID
	address  string
	observer Observer

	mu         sync.Mutex
	limit      int
	open       int
	idle       []*conn // most recently used last
	generation uint64  // incremented when a connection hangs; older connections are not reused
	done       chan struct{}
	closed     bool
}

// NewPool returns an empty pool for the worker at address, which is an IP and a port.
func NewPool(worker unit.InstanceID, address string, observer Observer) *Pool {
	return &Pool{worker: worker, address: address, observer: observer, done: make(chan struct{})}
}

// SetLimit limits the open connections. Excess connections are closed at once if they
// are idle, and otherwise after their exchange.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	excess := min(max(p.open-limit, 0), len(p.idle))
	for _, c := range p.idle[:excess] {
		close(c.retired)
	}
	p.idle = slices.Delete(p.idle, 0, excess)
}

// Exchange sends the request over an idle or a new connection and passes the
// response to the sink. It returns once the exchange has ended.
func (p *Pool) Exchange(ctx context.Context, r *Request, sink Sink) Result {
	c, err := p.acquire()
	if err != nil {
		return Result{Outcome: NotRun, Err: err}
	}
	ex := &pendingExchange{ctx: ctx, request: r, sink: sink, done: make(chan struct{})}
	c.assigned <- ex // the goroutine of an acquired connection is waiting for it
	<-ex.done
	return ex.result
}

// Close closes idle connections at once and the others after their exchange. It must
// be called only once.
func (p *Pool) Close() {
	p.SetLimit(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.open == 0 {
		close(p.done)
	}
}

// Done returns a channel that is closed once Close was called and all connections are
// closed.
func (p *Pool) Done() <-chan struct{} { return p.done }

func (p *Pool) acquire() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.limit {
		return nil, ErrLimit
	}
	p.open++
	c := &conn{pool: p, generation: p.generation, assigned: make(chan *pendingExchange), retired: make(chan struct{})}
	go c.run()
	return c, nil
}

// putIdle makes a connection available again. It returns false if the connection has
// to be closed instead.
func (p *Pool) putIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit || c.generation != p.generation {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// removeIdle removes a connection from the idle ones. It returns false if the
// connection was acquired in the meantime.
func (p *Pool) removeIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle, c)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

// retireOlder closes the idle connections after a hang, and later those that were in
// use, because the cause often affects all connections between two instances. Only c,
// which is about to be dialled again, stays in the pool.
func (p *Pool) retireOlder(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	c.generation = p.generation
	for _, old := range p.idle {
		close(old.retired)
	}
	p.idle = nil
}

func (p *Pool) reportRedial(err error) {
	if p.observer != nil {
		p.observer.ObserveRedial(p.worker, err)
	}
}

func (p *Pool) recordClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.closed && p.open == 0 {
		close(p.done)
	}
}
