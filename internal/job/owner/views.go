package owner

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Delays are the longest times after an acknowledged change in which tasks may still
// start that it forbids; 0 for no limit.
type Delays struct {
	Cancel     time.Duration // of the job
	Drain      time.Duration // of the worker
	Evacuation time.Duration // of the worker's zone
	// Configuration is the delay after a version of the configuration that lowers the cap of
	// the job's organisation.
	Configuration time.Duration
	// Visibility is the longest time after which an accepted job counts as pending; 0 for
	// no limit.
	Visibility time.Duration
}

// pendingStaleness is how old the number of pending jobs may be.
const pendingStaleness = 2 * time.Second

// errJobsNotRead means that the number of pending jobs is not known, as jobs may be missing.
var errJobsNotRead = errors.New("job records not read lately")

// minStartWindow is the time that a start has to reach its worker. One with less time
// would often be rejected as late.
const minStartWindow = 300 * time.Millisecond

// minViewLimit is the least age up to which a view is acted on, however short a delay the
// platform sets: reads follow each other no faster.
const minViewLimit = 3*workerReadInterval + minStartWindow

// confirmation is when a view of the store was last known to hold: when the last read was
// sent that has shown all changes until then.
type confirmation struct {
	mu sync.Mutex
	at time.Time
}

func (c *confirmation) record(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sentAt.After(c.at) {
		c.at = sentAt
	}
}

// age returns for how long it has not been confirmed that the view holds.
func (c *confirmation) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return unit.Age(c.at, now)
}

// remaining returns for how long a start may rest on the view, at most maxStartWindow, if
// tasks may start until delay after a change.
func (c *confirmation) remaining(delay time.Duration, now time.Time) time.Duration {
	if delay == 0 {
		return maxStartWindow
	}
	return min(max(delay, minViewLimit)-c.age(now), maxStartWindow)
}

// startWindow returns how long a start that is sent now may take to be executed, at most
// maxStartWindow. Later it may be a start of a cancelled job, on a draining worker or in a
// zone out of service, as the view that the decision rests on is too old. While the store
// answers no entry there are no such changes.
func (sh *shard) startWindow(now time.Time) time.Duration {
	delays := sh.service.options.Delays
	window := min(
		sh.jobsConfirmed.remaining(delays.Cancel, now),
		sh.workersConfirmed.remaining(delays.Drain, now),
		sh.zonesConfirmed.remaining(delays.Evacuation, now),
	)
	if window < maxStartWindow && sh.service.outage.Outage() {
		return maxStartWindow
	}
	return window
}

// knowsPending reports whether the view of the job records holds every job that counts as
// pending.
func (sh *shard) knowsPending(now time.Time) bool {
	limit := sh.service.options.Delays.Visibility
	return limit == 0 || sh.jobsConfirmed.age(now) <= limit+pendingStaleness || sh.service.outage.Outage()
}

// mayStart reports whether this entry may start tasks now, and logs when that changes for
// the age of a view. It is called with the lock held.
func (sh *shard) mayStart(now time.Time) bool {
	if !sh.service.ownership.MayOrder(now) {
		return false
	}
	recent := sh.startWindow(now) >= minStartWindow
	if recent == sh.startsHeld {
		sh.startsHeld = !recent
		sh.log.Info("views of the store checked for starts", "recent", recent, "jobs", sh.jobsConfirmed.age(now).String(),
			"workers", sh.workersConfirmed.age(now).String(), "zones", sh.zonesConfirmed.age(now).String())
	}
	return recent
}
