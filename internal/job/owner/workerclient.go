package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// Timeouts and intervals of the requests to a worker.
const (
	// busyHeartbeatWait and idleHeartbeatWait are how long a worker with and without
	// runs may delay the answer to a heartbeat. They bound the age of its report. With
	// runs it is longer on a link that is narrow for the fleet; see heartbeatPacer.
	busyHeartbeatWait = 400 * time.Millisecond
	idleHeartbeatWait = 1200 * time.Millisecond
	// ackInterval is the time between two heartbeats while the worker lists ends that
	// are not acknowledged yet, since it then answers without waiting.
	ackInterval = 100 * time.Millisecond
	// responseSlack is how long after the wait of a heartbeat its answer may arrive
	// before the worker counts as not reached, if the link asks for no longer interval.
	responseSlack = 500 * time.Millisecond
	// lateAnswerLimit is how long after a heartbeat its answer is still read. It is
	// longer than the lease, since the ends in a late answer are the only sign that a
	// task must not start again when the lease has expired.
	lateAnswerLimit = workerLeaseTTL + time.Second
	// minOrderTimeout and maxOrderTimeout bound the time in which an order has to be
	// answered, twice what the last one took: with a timeout below the delay of a full
	// link each order costs a connection and none succeeds.
	minOrderTimeout = 500 * time.Millisecond
	maxOrderTimeout = 2 * time.Second
	// maxStartWindow is how long after a start order is sent the worker may accept it,
	// if the owner's views are recent; see startWindow.
	maxStartWindow = 2 * time.Second
	// heartbeatRetryDelay is the time between the first failed heartbeat and the next
	// one. It doubles with each further failure up to maxHeartbeatRetryDelay, so that
	// probes do not add to the load of a link that delays the answers.
	heartbeatRetryDelay    = 200 * time.Millisecond
	maxHeartbeatRetryDelay = 800 * time.Millisecond
)

// maxHeartbeatsInFlight is the largest number of unanswered heartbeats to one worker:
// one that is late, and two probes, as the connection of the first may be silent for
// good as well.
const maxHeartbeatsInFlight = 3

// workerClient renews the lease of one worker, with one goroutine for each connection
// of its heartbeats, and sends it orders in maxOrdersInFlight others.
type workerClient struct {
	shard   *shard
	log     logr.Logger
	id      unit.InstanceID
	address string
	worker  Worker
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mu          sync.Mutex
	queue       []scheduler.Order
	clock       unit.WorkerTime // latest reading of the worker's clock
	clockReadAt time.Time       // when the answer with that reading arrived
	incarnation scheduler.Incarnation
	orderTime   time.Duration // that the last order took, with or without an answer
	direct      directPeriod  // in which no heartbeat goes through another entry
}

func newWorkerClient(sh *shard, listing scheduler.Listing) *workerClient {
	ctx, cancel := context.WithCancel(sh.ctx)
	c := &workerClient{
		shard: sh, log: sh.log.WithValues("worker", listing.ID), id: listing.ID, address: listing.Address,
		worker: sh.service.fleet.Connect(listing.ID, listing.Address),
		ctx:    ctx, cancel: cancel,
		wake: make(chan struct{}, maxOrdersInFlight),
	}
	sh.goroutines.Go(c.heartbeatLoop)
	for range maxOrdersInFlight {
		sh.goroutines.Go(c.sendOrders)
	}
	return c
}

// errOwnershipStale means that the view of the ownership is too old to renew leases:
// another entry may own the shard.
var errOwnershipStale = errors.New("ownership not confirmed lately")

// workerDeadline returns a reading that is at most d ahead of the worker's clock, or 0
// if no reading of the clock is known.
func (c *workerClient) workerDeadline(d time.Duration) unit.WorkerTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clockReadAt.IsZero() {
		return 0
	}
	return c.workerNow().Add(d)
}

// leaseExpiry returns by when a lease of length d granted now has expired, even with
// the largest clock drift.
func leaseExpiry(d time.Duration) time.Time { return time.Now().Add(withMaxDrift(d) + responseSlack) }

// recordClock keeps the reading of the worker's clock that implies the latest time
// there. A late answer carries an older reading. A new incarnation replaces the
// reading, since its clock is another one; readings of earlier ones are ignored.
func (c *workerClient) recordClock(clock unit.WorkerTime, incarnation scheduler.Incarnation) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case incarnation != 0 && incarnation < c.incarnation:
		return
	case incarnation > c.incarnation:
		c.incarnation, c.clock, c.clockReadAt = incarnation, 0, time.Time{}
	}
	if clock > c.workerNow() {
		c.clock, c.clockReadAt = clock, time.Now()
	}
}

// knownIncarnation returns the incarnation whose clock was read last, or 0.
func (c *workerClient) knownIncarnation() scheduler.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// clockKnown reports whether the worker's clock was read.
func (c *workerClient) clockKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.clockReadAt.IsZero()
}

// workerNow returns a reading that the worker's clock has certainly passed, or 0 if no
// reading is known. It is called with the lock held.
func (c *workerClient) workerNow() unit.WorkerTime {
	if c.clockReadAt.IsZero() {
		return 0
	}
	return c.clock.Add(time.Duration(float64(time.Since(c.clockReadAt)) / maxClockDrift))
}

// heartbeat is one heartbeat to the worker.
type heartbeat struct {
	number  int // counts the heartbeats of the client
	probe   bool
	renewal scheduler.Renewal
	wait    time.Duration // how long the worker may delay its answer
	sentAt  time.Time
	via     *heartbeatSession // through another entry; nil: directly
}

// route returns the entry that sends the heartbeat, or "" for the owner itself.
func (h heartbeat) route() unit.EntryID {
	if h.via == nil {
		return ""
	}
	return h.via.entry
}

// repeated returns the heartbeat as it is sent again at a time. Soon after the first time it
// has the same effect. Later it only asks for a report: the incarnation that the renewal is
// meant for may have ended long ago.
func (h heartbeat) repeated(now time.Time) heartbeat {
	age := now.Sub(h.sentAt)
	h.wait = max(0, h.wait-age)
	if age > maxHeartbeatDelay {
		h.renewal = scheduler.Renewal{}
	}
	return h
}

// answer is the outcome of a heartbeat.
type answer struct {
	heartbeat
	after time.Duration // since the heartbeat was sent
	ends  int           // ends that the worker listed
	err   error         // nil if the report was passed to the core
}

// errLateAnswer means that no answer came in time. It may still come.
var errLateAnswer = errors.New("no answer yet")

// heartbeatLoop renews the worker's lease and reads its reports. One heartbeat is in
// flight unless answers are late: then it probes the worker on other connections and
// takes whichever answer comes first as a sign that the worker is reached.
func (c *workerClient) heartbeatLoop() {
	defer c.worker.Close()
	var conversations sync.WaitGroup
	defer conversations.Wait()
	requests := make(chan heartbeat)
	defer close(requests)
	answers := make(chan answer, maxHeartbeatsInFlight)
	connections, inFlight, failures, number := 0, 0, 0, 0
	var failed heartbeat // the first of the failures

	// await returns the answer to the heartbeat with the given number, or an error
	// after d. While the worker is not reached, the answer to another one will do.
	await := func(number int, d time.Duration) (answer, error) {
		if d <= 0 {
			return answer{}, errLateAnswer
		}
		timer := time.NewTimer(d)
		defer timer.Stop()
		for {
			select {
			case <-c.ctx.Done():
				return answer{}, c.ctx.Err()
			case <-timer.C:
				return answer{}, errLateAnswer
			case a := <-answers:
				inFlight--
				if a.number == number || (failures > 0 && a.err == nil) {
					return a, a.err
				}
			}
		}
	}
	reached := func(a answer) {
		if failures > 0 {
			c.log.Info("worker reached again", "failures", failures, "after", a.after.String())
			if failed.via != nil && a.via == nil {
				c.avoidRelays(time.Now())
			}
		}
		failures = 0
		if a.ends > 0 {
			wait.For(c.ctx, max(ackInterval, c.shard.heartbeats.interval()/2))
		}
	}
	for c.ctx.Err() == nil {
		turn := c.shard.heartbeats.turn(time.Now())
		switch a, err := await(0, turn); {
		case err == nil:
			reached(a) // no probe is needed
			continue
		case c.ctx.Err() != nil:
			return
		}
		// After a failure the lease is not extended until the worker answers. An
		// unanswered heartbeat may still extend it, so repeated ones would keep the
		// tasks of a lost worker from starting elsewhere.
		h, err := c.nextHeartbeat(failures > 0, turn)
		if err != nil {
			wait.For(c.ctx, heartbeatRetryDelay)
			continue
		}
		number++
		h.number = number
		if connections == inFlight {
			connections++
			conversations.Go(func() { c.converse(requests, answers) })
		}
		inFlight++
		requests <- h
		interval := c.shard.heartbeats.interval()
		a, err := await(number, h.wait+max(responseSlack, interval))
		for err != nil && c.ctx.Err() == nil {
			if failures++; failures == 1 {
				failed = h
				c.log.Info("worker not reached", "error", err.Error())
			}
			a, err = await(0, probeDelay(failures, interval))
			if inFlight < maxHeartbeatsInFlight {
				break
			}
		}
		if err == nil {
			reached(a)
		}
	}
}

// probeDelay returns the time between the given number of failed heartbeats in a row and
// the next one, for an interval that the link asks for.
func probeDelay(failures int, interval time.Duration) time.Duration {
	first, longest := max(heartbeatRetryDelay, interval/2), max(maxHeartbeatRetryDelay, interval)
	return min(first<<min(failures-1, 8), longest)
}

// converse sends heartbeats, one at a time, and passes the reports in the answers to
// the core.
func (c *workerClient) converse(requests <-chan heartbeat, answers chan<- answer) {
	for h := range requests {
		ends, err := guard.Value(func() (int, error) { return c.exchange(h) })
		answers <- answer{heartbeat: h, after: time.Since(h.sentAt), ends: ends, err: err}
	}
}

// nextHeartbeat returns the next heartbeat to send, which has waited for its turn for the
// given time. A probe does not extend the lease.
func (c *workerClient) nextHeartbeat(probe bool, turn time.Duration) (heartbeat, error) {
	if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
		return heartbeat{}, errOwnershipStale
	}
	h := c.prepareHeartbeat(probe, turn)
	// Checked again after the deadline is computed: waiting for the lock of the core
	// may have taken long, and the lease must end before the next owner assumes
	// that it has expired.
	if !c.shard.service.ownership.MayRenewLeases(time.Now()) {
		c.settle(h)
		return heartbeat{}, errOwnershipStale
	}
	return h, nil
}

// prepareHeartbeat decides what the next heartbeat says, and tells the core of it.
func (c *workerClient) prepareHeartbeat(probe bool, turn time.Duration) heartbeat {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	core := c.shard.core
	h := heartbeat{probe: probe, renewal: scheduler.Renewal{Incarnation: c.knownIncarnation()}, wait: idleHeartbeatWait}
	if core.HasRuns(c.id) {
		h.wait = max(busyHeartbeatWait, c.shard.heartbeats.interval())
	}
	h.wait = max(0, h.wait-turn) // so that the report is no older than without a turn
	// The cursor may count the ends of another incarnation than that of the known clock.
	if incarnation, cursor := core.AckCursor(c.id); incarnation == h.renewal.Incarnation {
		h.renewal.Acked = cursor
	}
	until := c.workerDeadline(workerLeaseTTL)
	if probe || until == 0 {
		h.wait = 0
	}
	if !probe && until != 0 && core.WantsLease(c.id) {
		h.renewal.Until = until
		core.RecordLease(c.id, leaseExpiry(workerLeaseTTL))
	}
	h.sentAt = time.Now()
	core.AwaitAnswer(c.id, h.sentAt)
	if !c.mustSendDirectly(probe, h.sentAt) {
		h.via = c.shard.relays.heartbeatSession(c.id)
	}
	return h
}

// settle tells the core that no answer to a heartbeat will come.
func (c *workerClient) settle(h heartbeat) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.core.AnswerSettled(c.id, h.sentAt)
}
