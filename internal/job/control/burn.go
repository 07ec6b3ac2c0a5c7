package control

import (
	"math"
	"time"
)

const (
	// workerWindow is the decay time of the request counts of one worker. It is
	// short because interference from a neighbouring task lasts tens of seconds.
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

func (t *decayedCounts) add(now time.Time, requests, late int, window time.Duration) {
	if elapsed := now.Sub(t.updated); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / window.Seconds())
		t.requests *= decay
		t.late *= decay
		t.updated = now
	}
	t.requests += float64(requests)
	t.late += float64(late)
}

// burn returns the burn rate of the error budget: the ratio of late requests to
// all requests, divided by the budget. At 1 the budget is used up exactly.
func (t *decayedCounts) burn(budget float64) float64 {
	if t.requests == 0 {
		return 0
	}
	return t.late / t.requests / budget
}

// exceeds reports whether the burn rate is above limit by a statistically
// significant margin, with at least two late requests.
func (t *decayedCounts) exceeds(budget, limit float64) bool {
	allowed := t.requests * budget * limit
	return t.late > allowed+significance*math.Sqrt(allowed) && t.late >= 2
}
