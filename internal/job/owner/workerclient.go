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

// workerDeadline returns a reading that is at most d ahead of the worker's clock, or 0
// if no reading of the clock is known.
func (c *workerClient) workerDeadline(d time.Duration) unit.WorkerTime { return c.extension(d).Until }

// extension returns the renewal that extends the lease of the incarnation whose clock is
// known by d from now. Until is 0 if no reading of the clock is known.
func (c *workerClient) extension(d time.Duration) scheduler.Renewal {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := scheduler.Renewal{Incarnation: c.incarnation}
	if !c.clockReadAt.IsZero() {
		r.Until = c.workerNow().Add(d)
	}
	return r
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
