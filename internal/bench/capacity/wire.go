package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// wireProbes measure calls over connections. Both ends are in this process, so
// processor times and heap are upper bounds for either end. Bytes of TCP are those
// of the stream, without headers of packets; bytes of UDP include udpHeader. Paced
// calls are spread over the span pace.
func wireProbes(pace time.Duration) []probe {
	paceOf := func(prepare func(int) (operation, error)) func(int) (operation, error) {
		return func(n int) (operation, error) { return pacedCalls(prepare, n, pace) }
	}
	return []probe{
		{callWorker, "calls", "job/worker", []int{1, 4, 16, 64}, prepareWorkerCalls},
		{callStore, "calls", "platform/store", []int{1, 4, 16, 64}, prepareStoreCalls},
		{"paced " + callWorker, "calls", "job/worker", pacedSizes, paceOf(prepareWorkerCalls)},
		{"paced " + callStore, "calls", "platform/store", pacedSizes, paceOf(prepareStoreCalls)},
		{"connection to a worker", "connections", "job/worker", []int{20, 40, 80, 160}, prepareWorkerConnections},
		{"peer exchange", "exchanges", "peer/link", pacedSizes, func(n int) (operation, error) { return preparePeerExchanges(n, pace) }},
	}
}

// pacedSizes are numbers of calls that are spread over a span. Such calls cost more
// processor time than calls in a row, since each wakes idle threads.
var pacedSizes = []int{20, 40, 80, 160}

// peerPairs is the number of connections between entries that take turns.
const peerPairs = 20

// udpHeader is the size of the headers of IPv4 and UDP.
const udpHeader = 28

// emptyReport is the shortest body that the client of a worker takes.
const emptyReport = `{}`

// server answers every call with one body, and counts bytes.
type server struct {
	http    *http.Server
	address string
	bytes   atomic.Int64
}

func newServer(body string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Errorf("listen: %w", err)
	}
	s := &server{address: l.Addr().String()}
	s.http = &http.Server{
		ReadHeaderTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, body)
		}),
	}
	go func() { _ = s.http.Serve(countingListener{l, &s.bytes}) }()
	return s, nil
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// prepareWorkerCalls measures heartbeats without tasks; bodies are measured by
// other probes.
func prepareWorkerCalls(n int) (operation, error) {
	s, err := newServer(emptyReport)
	if err != nil {
		return operation{}, err
	}
	c := worker.NewClient(s.address)
	return calls(n, s, c.Close, func(ctx context.Context) error {
		_, err := c.Heartbeat(ctx, worker.Heartbeat{})
		return err
	})
}

func prepareStoreCalls(n int) (operation, error) {
	s, err := newServer(`{}`)
	if err != nil {
		return operation{}, err
	}
	c := store.NewClient(s.address)
	return calls(n, s, c.Close, func(ctx context.Context) error {
		_, err := c.Put(ctx, "ledger/guj-vadodara.7", nil, store.IfRevision(123456789), "")
		return err
	})
}

// calls makes n calls over one connection.
func calls(n int, s *server, done func(), call func(context.Context) error) (operation, error) {
	ctx := context.Background()
	shut := func() {
		done()
		_ = s.http.Close()
	}
	if err := call(ctx); err != nil { // connects
		shut()
		return operation{}, errors.Errorf("first call: %w", err)
	}
	before := s.bytes.Load()
	run := func() {
		for range n {
			_ = call(ctx)
		}
	}
	run()
	return operation{encoded: int(s.bytes.Load() - before), run: run, close: shut}, nil
}

func pacedCalls(prepare func(int) (operation, error), n int, span time.Duration) (operation, error) {
	op, err := prepare(1)
	if err != nil {
		return operation{}, err
	}
	used, err := paced(n, span, func(int) error {
		op.run()
		return nil
	})
	return operation{more: []quantity{{"", CPU, used}}, close: op.close}, err
}

// paced makes n calls spread over the span and returns the microseconds of
// processor time that they took.
func paced(n int, span time.Duration, call func(i int) error) (float64, error) {
	before := processorUsed()
	for i := range n {
		if err := call(i); err != nil {
			return 0, err
		}
		time.Sleep(span / time.Duration(n))
	}
	return float64((processorUsed() - before).Microseconds()), nil
}

// prepareWorkerConnections keeps one connection open to each of n workers, as the
// owner of a shard does. Stacks of goroutines are not part of the heap.
func prepareWorkerConnections(n int) (operation, error) {
	s, err := newServer(emptyReport)
	if err != nil {
		return operation{}, err
	}
	clients := make([]*worker.Client, n)
	op := operation{state: clients, close: func() {
		for _, c := range clients {
			if c != nil {
				c.Close()
			}
		}
		_ = s.http.Close()
	}}
	for i := range clients {
		clients[i] = worker.NewClient(s.address)
		if _, err := clients[i].Heartbeat(context.Background(), worker.Heartbeat{}); err != nil {
			op.close()
			return operation{}, errors.Errorf("connect: %w", err)
		}
	}
	return op, nil
}

// countingUDP counts what it sends, with the headers of the packets. It embeds
// the connection, so that quic-go uses it as it uses a plain one.
type countingUDP struct {
	*net.UDPConn
	bytes, packets *atomic.Int64
}

func (c countingUDP) count(p []byte) {
	c.packets.Add(1)
	c.bytes.Add(int64(len(p) + udpHeader))
}

// WriteTo implements net.PacketConn.
func (c countingUDP) WriteTo(p []byte, to net.Addr) (int, error) {
	c.count(p)
	return c.UDPConn.WriteTo(p, to)
}

// WriteMsgUDP is the method that quic-go sends by.
func (c countingUDP) WriteMsgUDP(p, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	c.count(p)
	return c.UDPConn.WriteMsgUDP(p, oob, to)
}

// peerPair is a QUIC connection between two ends, each of which counts.
type peerPair struct {
	conn           *quic.Conn
	bytes, packets atomic.Int64
	cleanup        []func() error
}

func (p *peerPair) close() {
	for i := len(p.cleanup) - 1; i >= 0; i-- {
		_ = p.cleanup[i]()
	}
}

func newPeerPair() (*peerPair, error) {
	p := &peerPair{}
	authority, err := credential.NewAuthority()
	if err != nil {
		return nil, errors.Errorf("make authority: %w", err)
	}
	pair, err := authority.IssueEntry(net.IPv4(127, 0, 0, 1))
	if err != nil {
		return nil, errors.Errorf("issue certificate: %w", err)
	}
	source, err := credential.NewSource(pair)
	if err != nil {
		return nil, errors.Errorf("use certificate: %w", err)
	}
	const protocol = "capacity"
	var ends [2]*quic.Transport
	for i := range ends {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			p.close()
			return nil, errors.Errorf("listen: %w", err)
		}
		ends[i] = &quic.Transport{Conn: countingUDP{udp, &p.bytes, &p.packets}}
		p.cleanup = append(p.cleanup, udp.Close, ends[i].Close)
	}
	listener, err := ends[0].Listen(source.EntryServer(protocol), nil)
	if err != nil {
		p.close()
		return nil, errors.Errorf("listen: %w", err)
	}
	go answerPeers(listener)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if p.conn, err = ends[1].Dial(ctx, listener.Addr(), source.EntryClient(protocol), nil); err != nil {
		p.close()
		return nil, errors.Errorf("dial: %w", err)
	}
	p.cleanup = append(p.cleanup, func() error { return p.conn.CloseWithError(0, "") })
	return p, nil
}

var pulse = message.Heartbeat{View: 123456789, Configuration: 123456, Sees: true, Ready: true, Age: 500 * time.Millisecond, Settled: roster.SettledView{Revision: 123456789, MembersHash: 1 << 63}}

// answerPeers answers each heartbeat as peer/link does, on its stream.
func answerPeers(listener *quic.Listener) {
	conn, err := listener.Accept(context.Background())
	if err != nil {
		return
	}
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		if _, _, err := message.Read(stream); err != nil {
			return
		}
		data, err := message.Encode(pulse)
		if err != nil {
			return
		}
		_, _ = stream.Write(data)
		_ = stream.Close()
	}
}

func (p *peerPair) exchange() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	data, err := message.Encode(pulse)
	if err != nil {
		return err
	}
	stream, err := p.conn.OpenStreamSync(ctx)
	if err != nil {
		return errors.Errorf("open stream: %w", err)
	}
	if _, err := stream.Write(data); err != nil {
		return errors.Errorf("write: %w", err)
	}
	_ = stream.Close()
	if _, _, err := message.Read(stream); err != nil {
		return errors.Errorf("read: %w", err)
	}
	return nil
}

// preparePeerExchanges makes n exchanges, spread over the span and over pairs as an
// entry spreads them over its peers. In a span of one second each pair waits long
// enough between two that they share no acknowledgement, as at the interval of
// peer/link.
func preparePeerExchanges(n int, span time.Duration) (operation, error) {
	pairs := make([]*peerPair, peerPairs)
	shut := func() {
		for _, p := range pairs {
			if p != nil {
				p.close()
			}
		}
	}
	for i := range pairs {
		var err error
		if pairs[i], err = newPeerPair(); err != nil {
			shut()
			return operation{}, err
		}
	}
	round := func(n int, span time.Duration) (float64, error) {
		used, err := paced(n, span, func(i int) error { return pairs[i%peerPairs].exchange() })
		time.Sleep(100 * time.Millisecond) // the last acknowledgements
		return used, err
	}
	total := func() (bytes, packets int64) {
		for _, p := range pairs {
			bytes, packets = bytes+p.bytes.Load(), packets+p.packets.Load()
		}
		return bytes, packets
	}
	// The handshake and the search for the packet size of the path end before the
	// measurement.
	if _, err := round(12*peerPairs, span); err != nil {
		shut()
		return operation{}, err
	}
	bytes, packets := total()
	used, err := round(n, span)
	bytesAfter, packetsAfter := total()
	return operation{
		encoded: int(bytesAfter - bytes),
		more: []quantity{
			{" packets", Rate, float64(packetsAfter - packets)},
			{"", CPU, used},
		},
		close: shut,
	}, err
}
