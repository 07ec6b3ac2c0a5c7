package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// listener accepts connections up to a limit, remembers the open ones and can
// make them hang.
type listener struct {
	net.Listener
	limit int // 0: none

	mu      sync.Mutex
	open    map[*connection]struct{}
	highest int
	closed  int // connections closed at once for being too many
}

// connection is an accepted connection. Once hang is closed, no request on it is
// answered any more, although it stays open.
type connection struct {
	net.Conn
	listener *listener
	hang     chan struct{}
	hung     bool // guarded by the listener
}

type connectionKey struct{}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, limit: limit, open: map[*connection]struct{}{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
		_ = c.Close() // over the limit; the peer learns nothing more
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (l *listener) admit(c net.Conn) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The refused connection counts for the highest number: it shows that the
	// callers together opened too many.
	l.highest = max(l.highest, len(l.open)+1)
	if l.limit > 0 && len(l.open) >= l.limit {
		l.closed++
		return nil
	}
	admitted := &connection{Conn: c, listener: l, hang: make(chan struct{})}
	l.open[admitted] = struct{}{}
	return admitted
}

// hangOpen makes the connections that are open now hang for good.
func (l *listener) hangOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if !c.hung {
			c.hung = true
			close(c.hang)
		}
	}
}

func (l *listener) counts() (highest, closed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest, l.closed
}

// withConnection lets a handler find the connection of its request.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// awaitHang blocks as long as the connection of the request hangs, which is
// until the peer closes it or the server stops; then it aborts the exchange. It
// returns at once on a connection that does not hang. The body must have been
// read, or the close of the peer goes unseen.
func awaitHang(r *http.Request, stop <-chan struct{}) {
	c := r.Context().Value(connectionKey{}).(*connection)
	select {
	case <-c.hang:
	default:
		return
	}
	select {
	case <-r.Context().Done():
	case <-stop:
	}
	panic(http.ErrAbortHandler)
}
