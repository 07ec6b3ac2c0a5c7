package upstream

import (
	"context"
	"slices"
	"sync"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Observer learns whether a fresh connection could be opened after another one
// hung. It must not block.
type Observer interface {
	ObserveRedial(worker unit.InstanceID, err error)
}

// Pool holds the connections to one worker.
type Pool struct {
	worker   unit.InstanceID
	address  string
	observer Observer

	mu    sync.Mutex
	limit int
	open  int
	idle  []*conn // most recently used last
	epoch uint64  // rises when a connection hangs; older connections are suspect
	ended chan struct{}
	end   bool
}

// NewPool returns a pool without connections for the worker at address, an IP and
// port.
func NewPool(worker unit.InstanceID, address string, observer Observer) *Pool {
	return &Pool{worker: worker, address: address, observer: observer, ended: make(chan struct{})}
}

// SetLimit bounds the open connections. Idle connections in excess are closed at
// once, those in use after their exchange.
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
	j := &job{ctx: ctx, request: r, sink: sink, done: make(chan struct{})}
	c.jobs <- j // the goroutine of an acquired connection waits for this
	<-j.done
	return j.result
}

// Close closes idle connections at once and the others after their exchange. It
// may be called once.
func (p *Pool) Close() {
	p.SetLimit(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = true
	if p.open == 0 {
		close(p.ended)
	}
}

// Done is closed once all connections are closed after Close.
func (p *Pool) Done() <-chan struct{} { return p.ended }

func (p *Pool) acquire() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end {
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
	c := &conn{pool: p, epoch: p.epoch, jobs: make(chan *job), retired: make(chan struct{})}
	go c.run()
	return c, nil
}

// offer makes a connection available, or reports that it is not wanted.
func (p *Pool) offer(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end || p.open > p.limit || c.epoch != p.epoch {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// withdraw takes a connection out of the idle ones, unless it was acquired.
func (p *Pool) withdraw(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle, c)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

// suspect closes the connections that are older than a hang, because the cause
// often affects all connections between two instances. The connection c is about
// to be dialled anew.
func (p *Pool) suspect(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	c.epoch = p.epoch
	for _, old := range p.idle {
		close(old.retired)
	}
	p.idle = nil
}

func (p *Pool) observe(err error) {
	if p.observer != nil {
		p.observer.ObserveRedial(p.worker, err)
	}
}

func (p *Pool) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.end && p.open == 0 {
		close(p.ended)
	}
}
