package owner

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/delta"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// heartbeatRelay sends heartbeats to workers through another entry.
type heartbeatRelay interface {
	// ExchangeHeartbeats passes the next heartbeats of a session to an entry, which sends
	// them to their workers, and returns the answers that have come since the last call.
	// Without any it waits for the first one for a short time. After an error the session
	// has ended.
	ExchangeHeartbeats(ctx context.Context, via unit.EntryID, b HeartbeatBatch) ([]RelayedAnswer, error)
}

// SessionID identifies a session of heartbeats that go through one entry. In a session
// nothing is lost or repeated: it ends with the first call that fails.
type SessionID uint64

// WorkerNumber names a worker within a session.
type WorkerNumber uint32

// HeartbeatNumber names a heartbeat within a session.
type HeartbeatNumber uint64

// HeartbeatBatch is the heartbeats of one call of a session.
type HeartbeatBatch struct {
	Session    SessionID          `cbor:"1,keyasint"`
	Call       uint64             `cbor:"2,keyasint"` // counts the calls of the session from 1
	Fence      unit.Epoch         `cbor:"3,keyasint"`
	Deadline   time.Time          `cbor:"4,keyasint"` // nothing of the batch is sent after it
	Heartbeats []RelayedHeartbeat `cbor:"5,keyasint,omitempty"`
}

// RelayedHeartbeat is one heartbeat of a HeartbeatBatch; see Worker.Heartbeat. Incarnation,
// Until and Cursor are its scheduler.Renewal.
type RelayedHeartbeat struct {
	Number  HeartbeatNumber     `cbor:"1,keyasint"`
	Worker  WorkerNumber        `cbor:"2,keyasint"`
	ID      unit.InstanceID     `cbor:"3,keyasint,omitempty"` // with the first heartbeat to the worker in the session
	Address string              `cbor:"4,keyasint,omitempty"` // with ID: IP and port of the worker
	Until   unit.WorkerTime     `cbor:"5,keyasint,omitempty"`
	Cursor  scheduler.EndNumber `cbor:"6,keyasint,omitempty"`
	Wait    time.Duration       `cbor:"7,keyasint,omitempty"`

	// Incarnation is 0 if it is that of the previous heartbeat to the worker in the session.
	Incarnation scheduler.Incarnation `cbor:"8,keyasint,omitempty"`
}

// RelayedAnswer is the outcome of a relayed heartbeat.
type RelayedAnswer struct {
	Number HeartbeatNumber `cbor:"1,keyasint"`
	Clock  unit.WorkerTime `cbor:"2,keyasint,omitempty"`
	Report delta.Report    `cbor:"3,keyasint"`
	Error  string          `cbor:"4,keyasint,omitempty"` // not empty: there is no report
}

// Limits of relayed heartbeats.
const (
	// MaxHeartbeatBatch is the largest number of heartbeats in one call.
	MaxHeartbeatBatch = 256
	// MaxHeartbeatsUnderWay is the largest number of unanswered heartbeats of a session.
	MaxHeartbeatsUnderWay = 2048
	// HeartbeatTimeout is how long after a relayed heartbeat its answer is still read.
	HeartbeatTimeout = lateAnswerLimit
	// SessionIdleTimeout is how long an entry keeps a session without calls.
	SessionIdleTimeout = 5 * time.Second
	// maxHeartbeatDelay is how long after a heartbeat was passed on it may be sent to its
	// worker, and how long after it was prepared it may be sent again directly. Later the
	// number of the ends that it acknowledges may be outdated.
	maxHeartbeatDelay = time.Second
	// exchangeSlack is how much longer than a worker an entry may take to answer a call of a
	// session.
	exchangeSlack = 100 * time.Millisecond
	// minDirectPeriod and maxDirectPeriod bound how long heartbeats to a worker are sent
	// directly after a probe was answered before one that another entry has sent earlier, as
	// the worker may be reached from here and not from there.
	minDirectPeriod = 10 * time.Second
	maxDirectPeriod = 5 * time.Minute
)

// exchangeTimeout returns the time in which an entry has to answer a call of a session, for
// an interval that the link asks for. An entry that falls silent must not make all its
// workers count as not reached.
func exchangeTimeout(interval time.Duration) time.Duration {
	return max(responseSlack, interval) + exchangeSlack
}

// Cost of calls and sizes by which heartbeats are shared with other entries.
const (
	// callTime is about the processor time of one heartbeat or start: request, answer and
	// wake-up of the process.
	callTime = 150 * time.Microsecond
	// directCallShare is the largest share of the processor, in percent, that regular
	// heartbeats to the whole fleet may take before other entries send them.
	directCallShare = 25
	// workersPerRelay is how many workers one entry sends heartbeats to, if there are
	// entries enough.
	workersPerRelay = 64
	// relayHysteresis is the share of the workers, in percent, down to which other entries
	// go on sending heartbeats.
	relayHysteresis = 75
)

// heartbeatRelays returns through how many entries heartbeats and starts are sent: 0 while
// the owner can send them all itself, with the given processor and interval of heartbeats
// that its link asks for. A component that is not known does not limit.
func heartbeatRelays(workers int, processor unit.Millicores, linkInterval time.Duration) int {
	perSecond := float64(workers) / busyHeartbeatWait.Seconds()
	used := perSecond * callTime.Seconds() * 1000 * 100 // percent of a thousandth of a core
	if (processor <= 0 || used <= directCallShare*float64(processor)) && linkInterval <= busyHeartbeatWait {
		return 0
	}
	return min((workers+workersPerRelay-1)/workersPerRelay, maxRelays)
}

// directPeriod is a time in which heartbeats to a worker are sent directly.
type directPeriod struct {
	until    time.Time
	failures int // heartbeats through other entries in a row that had no answer in time
}

// begin begins a period, which is twice as long with each further failure in a row.
func (p *directPeriod) begin(now time.Time) {
	length := minDirectPeriod
	for range max(p.failures-1, 0) {
		length = min(2*length, maxDirectPeriod)
	}
	p.until = now.Add(length)
}

// recordRelayed records whether a heartbeat through another entry was answered in time.
func (p *directPeriod) recordRelayed(answered bool) {
	if answered {
		p.failures = 0
	} else {
		p.failures++
	}
}
