package control

import (
	"math"
	"time"
)

const (
	// workerWindow is the decay time of the request counts of one worker. It is
	// short because a burst of interference from a neighbouring task lasts only tens
	// of seconds.
	workerWindow = 15 * time.Second
	// classWindow is the decay time of the request counts of a class over all
	// workers, long enough to estimate the burn rate of the class.
	classWindow = time.Minute

	// significance is the number of standard deviations by which late requests
	// must exceed what the target allows before the loop acts on a worker.
	significance = 2.0
)

// decayedCounts counts requests and late requests with exponential decay.
type decayedCounts struct {
	requests, late float64
	updated        time.Time
}

func (c *decayedCounts) add(now time.Time, requests, late int, window time.Duration) {
	if elapsed := now.Sub(c.updated); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / window.Seconds())
		c.requests *= decay
		c.late *= decay
		c.updated = now
	}
	c.requests += float64(requests)
	c.late += float64(late)
}

// burn returns the burn rate of the error budget: the ratio of late requests to
// all requests, divided by the budget. At 1 the budget is used up exactly.
func (c *decayedCounts) burn(budget float64) float64 {
	if c.requests == 0 {
		return 0
	}
	return c.late / c.requests / budget
}

// exceeds reports whether the burn rate is above limit by a statistically
// significant margin, with at least two late requests.
func (c *decayedCounts) exceeds(budget, limit float64) bool {
	allowed := c.requests * budget * limit
	return c.late > allowed+significance*math.Sqrt(allowed) && c.late >= 2
}
