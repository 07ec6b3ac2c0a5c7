package control

import (
	"math"
	"time"
)

const (
	// workerWindow is short, since a burst of a neighbour lasts tens of seconds.
	workerWindow = 15 * time.Second
	// classWindow spans enough requests of all workers to judge a class.
	classWindow = time.Minute

	// significance is the number of standard deviations by which late requests
	// must exceed what the target allows before a worker is acted on.
	significance = 2.0
)

// decayedCounts counts requests and late ones with exponential decay.
type decayedCounts struct {
	requests, late float64
	updated        time.Time
}

func (t *decayedCounts) add(now time.Time, requests, late int, window time.Duration) {
	if elapsed := now.Sub(t.updated); elapsed > 0 {
		kept := math.Exp(-elapsed.Seconds() / window.Seconds())
		t.requests *= kept
		t.late *= kept
		t.updated = now
	}
	t.requests += float64(requests)
	t.late += float64(late)
}

// burn returns how fast the error budget is used: 1 uses it up exactly.
func (t *decayedCounts) burn(budget float64) float64 {
	if t.requests == 0 {
		return 0
	}
	return t.late / t.requests / budget
}

// exceeds reports whether the burn is above a limit beyond chance.
func (t *decayedCounts) exceeds(budget, limit float64) bool {
	allowed := t.requests * budget * limit
	return t.late > allowed+significance*math.Sqrt(allowed) && t.late >= 2
}
