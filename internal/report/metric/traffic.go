package metric

import (
	"expvar"
	"net"
	"time"
)

// Partner is a kind of partner that an entry exchanges data with.
type Partner string

// Kinds of partners.
const (
	PartnerWorkers Partner = "workers"
	PartnerStore   Partner = "store"
	PartnerPeers   Partner = "peers" // other entries: without headers of datagrams
	PartnerCallers Partner = "callers"
	// PartnerOthers are the machine API, the placement adviser, the load balancer and
	// the readers of metrics.
	PartnerOthers Partner = "others"
)

// Traffic counters, by kind of partner.
var (
	receivedBytes = expvar.NewMap("received_bytes")
	sentBytes     = expvar.NewMap("sent_bytes")
	openedConns   = expvar.NewMap("opened_conns")
)

// storeBytes counts the bytes of store calls by StoreShare.
var storeBytes = expvar.NewMap("kv_bytes")

// StoreShare is an operation of the store with the kind of record that it reads or
// writes, such as "watch job".
type StoreShare string

// calls counts the calls sent to workers and the platform, by CallName.
var calls = expvar.NewMap("calls")

// CallName is the name of a call on the wire, as its client gives it.
type CallName string

// AddCall counts a call.
func AddCall(n CallName) { calls.Add(string(n), 1) }

// AddStoreBytes counts bytes of a store call, which StoreTraffic counts too.
func AddStoreBytes(s StoreShare, bytes int) { storeBytes.Add(string(s), int64(bytes)) }

// Traffic of each kind of partner.
var (
	WorkerTraffic = newTraffic(PartnerWorkers)
	StoreTraffic  = newTraffic(PartnerStore)
	PeerTraffic   = newTraffic(PartnerPeers)
	CallerTraffic = newTraffic(PartnerCallers)
	OtherTraffic  = newTraffic(PartnerOthers)
)

// Traffic counts the bytes exchanged with one kind of partner, and the connections
// opened to or by it.
type Traffic struct{ received, sent, opened *expvar.Int }

func newTraffic(p Partner) *Traffic {
	t := &Traffic{received: new(expvar.Int), sent: new(expvar.Int), opened: new(expvar.Int)}
	receivedBytes.Set(string(p), t.received)
	sentBytes.Set(string(p), t.sent)
	openedConns.Set(string(p), t.opened)
	return t
}

// AddReceived counts bytes that were received outside a counted connection.
func (t *Traffic) AddReceived(bytes int) { t.received.Add(int64(bytes)) }

// AddSent counts bytes that were sent outside a counted connection.
func (t *Traffic) AddSent(bytes int) { t.sent.Add(int64(bytes)) }

// Conn returns a connection that counts as opened and whose bytes are counted.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	t.opened.Add(1)
	return &countedConn{Conn: c, traffic: t}
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// CloseWrite closes the sending direction, if the connection has one of its own.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// countedListener is a listener whose connections are counted.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}

// TrafficRates is the traffic of an entry over a period. Kinds without traffic are
// left out.
type TrafficRates struct {
	ReceivedPerSecond map[Partner]int64    // bytes
	SentPerSecond     map[Partner]int64    // bytes
	Opened            map[Partner]int64    // connections opened in the whole period
	StorePerSecond    map[StoreShare]int64 // bytes
	CallsPerSecond    map[CallName]int64
}

// Received returns the bytes received in a second from all partners.
func (r TrafficRates) Received() int64 { return sum(r.ReceivedPerSecond) }

// Sent returns the bytes sent in a second to all partners.
func (r TrafficRates) Sent() int64 { return sum(r.SentPerSecond) }

func sum(rates map[Partner]int64) int64 {
	var total int64
	for _, rate := range rates {
		total += rate
	}
	return total
}

// TrafficMeter measures the traffic between two readings. It is for use by one
// goroutine.
type TrafficMeter struct {
	readAt                 time.Time
	received, sent, opened map[Partner]int64
	store                  map[StoreShare]int64
	calls                  map[CallName]int64
}

// Rates returns the traffic since the last call, and none at the first call.
func (m *TrafficMeter) Rates(now time.Time) TrafficRates {
	last := *m
	*m = TrafficMeter{
		readAt:   now,
		received: readCounters[Partner](receivedBytes), sent: readCounters[Partner](sentBytes),
		opened: readCounters[Partner](openedConns), store: readCounters[StoreShare](storeBytes),
		calls: readCounters[CallName](calls),
	}
	if last.readAt.IsZero() || !now.After(last.readAt) {
		return TrafficRates{}
	}
	period := now.Sub(last.readAt)
	return TrafficRates{
		ReceivedPerSecond: perSecond(difference(m.received, last.received), period),
		SentPerSecond:     perSecond(difference(m.sent, last.sent), period),
		Opened:            difference(m.opened, last.opened),
		StorePerSecond:    perSecond(difference(m.store, last.store), period),
		CallsPerSecond:    perSecond(difference(m.calls, last.calls), period),
	}
}

func readCounters[K ~string](m *expvar.Map) map[K]int64 {
	values := map[K]int64{}
	m.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			values[K(kv.Key)] = n.Value()
		}
	})
	return values
}

// difference returns the counters that have grown, and by how much.
func difference[K comparable](current, last map[K]int64) map[K]int64 {
	grown := map[K]int64{}
	for p, n := range current {
		if n > last[p] {
			grown[p] = n - last[p]
		}
	}
	return grown
}

func perSecond[K comparable](counts map[K]int64, period time.Duration) map[K]int64 {
	for p, n := range counts {
		counts[p] = int64(float64(n) / period.Seconds())
	}
	return counts
}
