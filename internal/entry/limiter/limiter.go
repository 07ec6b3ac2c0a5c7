// Package limiter bounds what clients can make an entry hold: connections, headers and
// bodies of all HTTP listeners together. What each connection holds is accounted for in a
// budget, which chooses the connections that lose while it is short.
package limiter

import (
	"context"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/entry/budget"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "limiter"

// What clients may hold, as shares of what the process has.
const (
	// memoryShare leaves the other five sixths to the work of the entry. What is revoked is
	// free for others at once, so the clients hold up to twice the share for a moment.
	memoryShare = 1. / 6
	// defaultMemory is taken for a process without a memory limit.
	defaultMemory unit.Bytes = 256 << 20
	// descriptorShare leaves the other half to connections to workers, peers and the store.
	descriptorShare     = 0.5
	reservedDescriptors = 200 // for files
	minConnections      = 16
)

// Memory that a connection takes.
const (
	// connectionCost is the stack of its goroutine and its buffers.
	connectionCost unit.Bytes = 24 << 10
	// headerCost is the memory for each byte of a header that is being received, and
	// fieldCost that for each field of a received one. Fields of four bytes take most.
	headerCost unit.Bytes = 32
	fieldCost  unit.Bytes = 160
)

// Limits returns what all clients together may hold, for a memory limit of the process,
// which is 0 if there is none.
func Limits(memory unit.Bytes) budget.Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	return budget.Limits{
		Bytes:       unit.Bytes(memoryShare * float64(memory)),
		Connections: maxConnections(),
	}
}

// maxConnections returns a share of the file descriptors of the process.
func maxConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil { // fails only for another argument
		return minConnections
	}
	descriptors := float64(min(limit.Cur, math.MaxInt32))
	return max(minConnections, int(descriptorShare*(descriptors-reservedDescriptors)))
}

// Limiter holds the budget of a process. It is a service of the kernel.
type Limiter struct {
	*registry.Tasks
	rejections *rejections

	mu     sync.Mutex
	budget *budget.Budget
	conns  map[budget.ConnectionID]*conn
	lastID budget.ConnectionID
}

// New returns a limiter.
func New(log logr.Logger, l budget.Limits) *Limiter {
	return &Limiter{
		Tasks: registry.NewTasks(), rejections: newRejections(log),
		budget: budget.New(l), conns: map[budget.ConnectionID]*conn{},
	}
}

// Find returns the limiter of a kernel, or a new one with the defaults if it has none.
func Find(k *registry.Kernel) (*Limiter, error) {
	l, err := registry.Find[*Limiter](k, ServiceName)
	if errors.Is(err, registry.ErrMissing) {
		return New(logr.Discard(), Limits(0)), nil
	}
	return l, err
}

// Name implements registry.Service.
func (l *Limiter) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (l *Limiter) Start(ctx context.Context, _ *registry.Kernel) error {
	l.Begin(ctx, l.rejections.run)
	return nil
}

// Limit puts the connections and requests of a server under the limits. The server must
// then serve the connections of the returned listener, directly or over TLS. What it would log
// about each of them is counted, as clients choose how often that is.
func (l *Limiter) Limit(s *http.Server, inner net.Listener) net.Listener {
	s.ErrorLog = stdlog.New(l.rejections, "", 0)
	s.Handler = l.handler(s.Handler)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limited := limitedConn(c); limited != nil && state == http.StateIdle {
			limited.endRequest()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, limitedConn(c))
	}
	return &listener{Listener: inner, limiter: l}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// limitedConn returns the connection of the limiter below a connection of a server, or nil.
func limitedConn(c net.Conn) *conn {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	limited, _ := c.(*conn)
	return limited
}

// listener accepts the connections that the budget has room for.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.limiter.open(c); limited != nil {
			return limited, nil
		}
		_ = c.Close() // the client sees that in any case
	}
}

// open adds a connection to the budget. It returns nil if there is no room.
func (l *Limiter) open(inner net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: inner, limiter: l, openedAt: now, source: sourceOf(inner)}
	l.mu.Lock()
	l.lastID++
	c.id = l.lastID
	l.conns[c.id] = c
	victims, ok := l.budget.Open(c.id, c.source, connectionCost, now)
	if !ok {
		delete(l.conns, c.id)
	}
	revoked := l.lookup(victims)
	l.updateMetrics()
	l.mu.Unlock()
	for _, v := range revoked {
		l.rejections.add(causeConnections, v)
		v.closeNow()
	}
	if !ok {
		l.rejections.add(causeConnections, c)
		return nil
	}
	return c
}

// lookup returns connections by their ids. It is called with the lock held.
func (l *Limiter) lookup(ids []budget.ConnectionID) []*conn {
	conns := make([]*conn, 0, len(ids))
	for _, id := range ids {
		if c := l.conns[id]; c != nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// reserve adds to what a connection holds, and interrupts the connections that lose for it.
func (l *Limiter) reserve(c *conn, n unit.Bytes) bool {
	l.mu.Lock()
	victims, ok := l.budget.Reserve(c.id, n, time.Now())
	revoked := l.lookup(victims)
	l.updateMetrics()
	l.mu.Unlock()
	for _, v := range revoked {
		l.rejections.add(causeRevoked, v)
		v.interrupt()
	}
	return ok
}

// SetOrganisation records on whose behalf a request was sent.
func (l *Limiter) SetOrganisation(r *http.Request, o unit.OrganisationID) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		return // the server is not limited
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetOrganisation(c.id, o)
}

func (l *Limiter) release(c *conn, n unit.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Release(c.id, n)
	l.updateMetrics()
}

// updateMetrics is called with the lock held.
func (l *Limiter) updateMetrics() {
	metric.ClientBytes.Set(int64(l.budget.Used()))
	metric.ClientConnections.Set(int64(l.budget.Connections()))
}

func sourceOf(c net.Conn) budget.Source {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return budget.Source{} // a connection without an IP address, as in a test
	}
	return budget.Source(address.Addr().Unmap())
}
