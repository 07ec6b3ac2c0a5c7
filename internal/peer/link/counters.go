package link

import (
	"expvar"

	"github.com/monsoonfold/monsoonfold/internal/peer/message"
)

// Counters of the process; the maps count by kind of message.
var (
	sentMessages      = expvar.NewMap("peer_sent_messages")
	sentBytes         = expvar.NewMap("peer_sent_bytes")
	receivedMessages  = expvar.NewMap("peer_received_messages")
	receivedBytes     = expvar.NewMap("peer_received_bytes")
	dials             = expvar.NewInt("peer_dials")
	dialFailures      = expvar.NewInt("peer_dial_failures")
	overdueHeartbeats = expvar.NewInt("peer_overdue_heartbeats")
)

func countSent(k message.Kind, size int) {
	sentMessages.Add(k.String(), 1)
	sentBytes.Add(k.String(), int64(size))
}

func countReceived(k message.Kind, size int) {
	receivedMessages.Add(k.String(), 1)
	receivedBytes.Add(k.String(), int64(size))
}
