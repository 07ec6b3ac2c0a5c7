package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// UDP relays datagrams to a target. The datagrams of one near address are one
// flow, which has its own port towards the target.
type UDP struct {
	*switches
	near    *net.UDPConn
	target  *net.UDPAddr
	running sync.WaitGroup
	done    chan struct{}

	flowsMu sync.Mutex
	flows   map[netip.AddrPort]*flow
}

type flow struct {
	far      *net.UDPConn
	silenced bool // guarded by flowsMu
}

// maxDatagram is the largest payload of a UDP datagram over IPv4.
const maxDatagram = 65507

// maxFlows bounds the sockets of one relay; datagrams of further flows are lost.
const maxFlows = 256

// NewUDP starts a relay that listens at address, an IP and port, and relays to
// target.
func NewUDP(address, target string) (*UDP, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Errorf("relay address: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Errorf("relay target: %w", err)
	}
	near, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Errorf("listen for relayed datagrams: %w", err)
	}
	r := &UDP{
		switches: newSwitches(), near: near, target: to,
		done: make(chan struct{}), flows: map[netip.AddrPort]*flow{},
	}
	r.running.Go(r.receiveNear)
	go func() {
		r.running.Wait()
		close(r.done)
	}()
	return r, nil
}

// Address returns the IP and port that the relay listens at.
func (r *UDP) Address() string { return r.near.LocalAddr().String() }

// Silence permanently drops all further datagrams of the existing flows. A near
// end with a new port is a new flow, which is not silenced.
func (r *UDP) Silence() {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	for _, f := range r.flows {
		f.silenced = true
	}
}

// Close closes the relay and waits for its goroutines.
func (r *UDP) Close() {
	r.once.Do(func() {
		close(r.closing)
		_ = r.near.Close() // only this call closes it
		r.flowsMu.Lock()
		for _, f := range r.flows {
			_ = f.far.Close()
		}
		r.flowsMu.Unlock()
	})
	<-r.done
}

// Done is closed once every goroutine of the relay has ended.
func (r *UDP) Done() <-chan struct{} { return r.done }

// receiveNear relays the datagrams of all near ends.
func (r *UDP) receiveNear() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.near.ReadFromUDPAddrPort(buffer)
		if r.closed() {
			return
		}
		if err != nil {
			continue // the socket reports an error if a near end no longer exists
		}
		f := r.flow(from)
		if f == nil {
			continue
		}
		r.forward(f, ToFar, buffer[:n], func(data []byte) { _, _ = f.far.Write(data) })
	}
}

// receiveFar relays the datagrams that the target sends on one flow.
func (r *UDP) receiveFar(f *flow, near netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := f.far.Read(buffer)
		if r.closed() {
			return
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the target does not listen at present
		}
		r.forward(f, ToNear, buffer[:n], func(data []byte) { _, _ = r.near.WriteToUDPAddrPort(data, near) })
	}
}

// forward sends a datagram after the delay, or drops it. A delayed datagram is
// lost if its direction is cut when it is due.
func (r *UDP) forward(f *flow, d Direction, datagram []byte, send func([]byte)) {
	cut, delay, _ := r.read(d)
	if cut || r.isSilenced(f) {
		return
	}
	if delay <= 0 {
		send(datagram)
		return
	}
	data := append([]byte(nil), datagram...)
	due := time.Now().Add(delay)
	r.running.Go(func() {
		if !r.awaitTime(due, nil) {
			return
		}
		if cut, _, _ := r.read(d); !cut && !r.isSilenced(f) {
			send(data)
		}
	})
}

func (r *UDP) flow(from netip.AddrPort) *flow {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	if f := r.flows[from]; f != nil {
		return f
	}
	if len(r.flows) >= maxFlows || r.closed() {
		return nil
	}
	far, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil // the datagram is lost
	}
	f := &flow{far: far}
	r.flows[from] = f
	r.running.Go(func() { r.receiveFar(f, from) })
	return f
}

func (r *UDP) isSilenced(f *flow) bool {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	return f.silenced
}

func (r *UDP) closed() bool {
	select {
	case <-r.closing:
		return true
	default:
		return false
	}
}
