package mesh

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// trafficInterval is the time between two readings of the counters of all connections.
const trafficInterval = time.Second

// traffic is what one connection has exchanged, in bytes with headers of QUIC and
// retransmissions.
type traffic struct{ received, sent uint64 }

func trafficOf(conn *quic.Conn) traffic {
	stats := conn.ConnectionStats()
	return traffic{stats.BytesReceived, stats.BytesSent}
}

// addConn begins to count the traffic of a connection.
func (s *Service) addConn(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = traffic{}
}

// removeConn counts the rest of the traffic of a connection that has ended.
func (s *Service) removeConn(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(conn)
	delete(s.conns, conn)
}

// countTraffic counts the traffic of all connections until the service stops. Bodies of
// calls alone do not show what a connection costs whose calls time out on a full link.
func (s *Service) countTraffic() {
	for wait.For(s.ctx, trafficInterval) {
		s.mu.Lock()
		for conn := range s.conns {
			s.count(conn)
		}
		s.mu.Unlock()
	}
}

// count adds what a connection has exchanged since the last call. It is called with the
// lock held.
func (s *Service) count(conn *quic.Conn) {
	last, now := s.conns[conn], trafficOf(conn)
	metric.PeerTraffic.AddReceived(int(now.received - last.received))
	metric.PeerTraffic.AddSent(int(now.sent - last.sent))
	s.conns[conn] = now
}
