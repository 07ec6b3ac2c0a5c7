package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// TCP relays connections to a target. While a direction is cut, a new connection
// is accepted but reaches the target only after a heal, so a caller sees a
// connection without answers rather than a refused one.
type TCP struct {
	*switches
	listener net.Listener
	target   string
	running  sync.WaitGroup
	done     chan struct{}

	linksMu sync.Mutex
	links   map[*link]struct{}
}

// link is one relayed connection.
type link struct {
	silent chan struct{} // closed by Silence
	ended  chan struct{} // closed when either side failed
	once   sync.Once     // closes ended
	hushed bool          // silent is closed; guarded by linksMu
}

// chunk is a piece of the byte stream that is due at a time.
type chunk struct {
	due  time.Time
	data []byte
}

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// queueLength and chunkLength bound what a delayed or cut direction holds.
const (
	queueLength = 64
	chunkLength = 16 << 10
)

// NewTCP starts a relay that listens at address, an IP and port, and relays to
// target.
func NewTCP(address, target string) (*TCP, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Errorf("listen for relayed connections: %w", err)
	}
	r := &TCP{
		switches: newSwitches(), listener: l, target: target,
		done: make(chan struct{}), links: map[*link]struct{}{},
	}
	r.running.Go(r.accept)
	go func() {
		r.running.Wait()
		close(r.done)
	}()
	return r, nil
}

// Address returns the IP and port that the relay listens at.
func (r *TCP) Address() string { return r.listener.Addr().String() }

// Silence stops all traffic on the connections that exist now, for good and
// without closing them. New connections work.
func (r *TCP) Silence() {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	for l := range r.links {
		if !l.hushed {
			l.hushed = true
			close(l.silent)
		}
	}
}

// Close closes the relay with all its connections and waits for its goroutines.
func (r *TCP) Close() {
	r.once.Do(func() {
		close(r.closing)
		_ = r.listener.Close() // only this call closes it
	})
	<-r.done
}

// Done is closed once every goroutine of the relay has ended.
func (r *TCP) Done() <-chan struct{} { return r.done }

func (r *TCP) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		r.running.Go(func() { r.relay(near) })
	}
}

// relay serves one connection until both directions have ended.
func (r *TCP) relay(near net.Conn) {
	defer near.Close()
	l := &link{silent: make(chan struct{}), ended: make(chan struct{})}
	r.linksMu.Lock()
	r.links[l] = struct{}{}
	r.linksMu.Unlock()
	defer func() {
		r.linksMu.Lock()
		delete(r.links, l)
		r.linksMu.Unlock()
	}()
	if !r.awaitOpen(ToFar, l.ended) || !r.awaitOpen(ToNear, l.ended) {
		return
	}
	far, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return // the near end sees its connection closed
	}
	defer far.Close()
	var pumps sync.WaitGroup
	for _, p := range []struct {
		direction Direction
		from, to  net.Conn
	}{
		{ToFar, near, far}, {ToNear, far, near},
	} {
		queue := make(chan chunk, queueLength)
		pumps.Go(func() { r.receive(l, p.direction, p.from, queue) })
		pumps.Go(func() { r.send(l, p.direction, p.to, queue) })
	}
	finished := make(chan struct{})
	go func() {
		pumps.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return
	case <-l.ended:
	case <-r.closing:
	}
	_ = near.Close() // unblocks the pumps; closing twice is harmless
	_ = far.Close()
	<-finished
}

// receive reads one direction into the queue and closes it at the end.
func (r *TCP) receive(l *link, d Direction, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkLength)
		n, err := from.Read(buffer)
		_, delay, _ := r.read(d)
		if n > 0 {
			select {
			case queue <- chunk{due: time.Now().Add(delay), data: buffer[:n]}:
			case <-l.ended:
				return
			case <-r.closing:
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			l.end()
		}
		return
	}
}

// send writes one direction from the queue, each chunk when it is due and the
// direction is open. The end of the stream passes through like its bytes.
func (r *TCP) send(l *link, d Direction, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		if !r.awaitTime(c.due, l.ended) || !r.awaitOpen(d, l.ended) || !r.awaitSound(l) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			l.end()
			return
		}
	}
	if !r.awaitOpen(d, l.ended) || !r.awaitSound(l) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite() // fails if the peer has closed, which ends it too
	}
}

// awaitSound returns true at once on a link that is not silent. On a silent one
// it blocks until the relay ends.
func (r *TCP) awaitSound(l *link) bool {
	select {
	case <-l.silent:
	default:
		return true
	}
	<-r.closing
	return false
}

func (l *link) end() { l.once.Do(func() { close(l.ended) }) }
