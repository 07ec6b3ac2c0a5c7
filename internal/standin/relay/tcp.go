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
// connection without replies rather than a refused one.
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
	silenced   chan struct{} // closed by Silence
	ended      chan struct{} // closed when a read or write of either side fails
	once       sync.Once     // closes ended
	isSilenced bool          // silenced is closed; guarded by linksMu
}

// chunk is a part of the byte stream, to be sent when it is due.
type chunk struct {
	due  time.Time
	data []byte
}

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// queueLength and chunkLength bound the bytes held in a delayed or cut direction.
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

// Silence permanently stops all traffic on the existing connections without
// closing them. New connections are not silenced.
func (r *TCP) Silence() {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	for l := range r.links {
		if !l.isSilenced {
			l.isSilenced = true
			close(l.silenced)
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
			return // the listener is closed
		}
		r.running.Go(func() { r.relay(near) })
	}
}

// relay serves one connection until both directions have ended.
func (r *TCP) relay(near net.Conn) {
	defer near.Close()
	l := &link{silenced: make(chan struct{}), ended: make(chan struct{})}
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
	var copiers sync.WaitGroup
	for _, p := range []struct {
		direction Direction
		from, to  net.Conn
	}{
		{ToFar, near, far}, {ToNear, far, near},
	} {
		queue := make(chan chunk, queueLength)
		copiers.Go(func() { r.receive(l, p.direction, p.from, queue) })
		copiers.Go(func() { r.send(l, p.direction, p.to, queue) })
	}
	finished := make(chan struct{})
	go func() {
		copiers.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return
	case <-l.ended:
	case <-r.closing:
	}
	_ = near.Close() // unblocks the copiers; closing twice is harmless
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
			l.closeEnded()
		}
		return
	}
}

// send writes one direction from the queue, each chunk when it is due and the
// direction is open. It relays the end of the stream in the same way.
func (r *TCP) send(l *link, d Direction, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		if !r.awaitTime(c.due, l.ended) || !r.awaitOpen(d, l.ended) || !r.awaitUnsilenced(l) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			l.closeEnded()
			return
		}
	}
	if !r.awaitOpen(d, l.ended) || !r.awaitUnsilenced(l) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite() // fails if the peer has closed, which ends it too
	}
}

// awaitUnsilenced returns true at once if the link is not silenced. Otherwise it
// blocks until the relay ends and returns false.
func (r *TCP) awaitUnsilenced(l *link) bool {
	select {
	case <-l.silenced:
	default:
		return true
	}
	<-r.closing
	return false
}

func (l *link) closeEnded() { l.once.Do(func() { close(l.ended) }) }
