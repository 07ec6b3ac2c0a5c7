package replay

import (
	"math/rand/v2"
	"time"
)

// lane is the state of one entry for its slots on one worker.
type lane struct {
	slots        int
	open         bool // the instance list has the worker as live and not draining
	inFlight     int
	speed        float64       // moving average of request latency divided by the mean of its class
	suspectUntil time.Duration // after a failed request, the lane is not used until this time
}

func (l *lane) usable(now time.Duration) bool {
	return l.slots > 0 && l.open && now >= l.suspectUntil
}

// router chooses the worker of a request among the lanes of one entry, or -1.
type router interface {
	choose(now time.Duration, lanes []lane, rng *rand.Rand) int
}

// twoChoices is the baseline: of two random workers, the one with fewer requests
// in flight for its slots.
type twoChoices struct{}

func (twoChoices) choose(now time.Duration, lanes []lane, rng *rand.Rand) int {
	a, b := draw(now, lanes, rng), draw(now, lanes, rng)
	if a < 0 || lanes[a].inFlight*lanes[b].slots <= lanes[b].inFlight*lanes[a].slots {
		return a
	}
	return b
}

// draw returns a random usable lane, weighted by slots, or -1 if there is none.
func draw(now time.Duration, lanes []lane, rng *rand.Rand) int {
	total := 0
	for i := range lanes {
		if lanes[i].usable(now) {
			total += lanes[i].slots
		}
	}
	if total == 0 {
		return -1
	}
	pick := rng.IntN(total)
	for i := range lanes {
		if !lanes[i].usable(now) {
			continue
		}
		if pick -= lanes[i].slots; pick < 0 {
			return i
		}
	}
	return -1
}

// leastCompletion chooses the worker with the least expected time to completion,
// from the requests in flight and the recent latency of the entry's own requests.
type leastCompletion struct{}

func (leastCompletion) choose(now time.Duration, lanes []lane, rng *rand.Rand) int {
	best, least := -1, 0.0
	at := rng.IntN(len(lanes))
	for i := range lanes {
		w := at + i
		if w >= len(lanes) {
			w -= len(lanes)
		}
		l := &lanes[w]
		if !l.usable(now) {
			continue
		}
		expected := l.speed
		if l.inFlight >= l.slots {
			expected *= 1 + float64(l.inFlight-l.slots+1)/float64(l.slots)
		}
		if best < 0 || expected < least {
			best, least = w, expected
		}
	}
	return best
}

const (
	// speedWeight is the weight of one request in the moving average. It averages
	// over about 7 requests, which is a few seconds at the firms' rates.
	speedWeight = 0.15
	// speedLimit bounds the effect of one slow request on the moving averages.
	speedLimit = 4.0
	// speedDecay returns the speed of an unused lane to 1 within a minute, so that
	// the lane is tried again.
	speedDecay = 0.03
	meanWeight = 0.005
	suspectFor = 3 * time.Second
)

// entry is one entry instance, with a lane for each worker and the mean latency
// of each request class.
type entry struct {
	lanes []lane
	mean  []float64 // seconds
}

func (e *entry) endRequest(now time.Duration, w, class int, latency time.Duration, failed bool) {
	l := &e.lanes[w]
	l.inFlight--
	if failed {
		l.suspectUntil = now + suspectFor
		return
	}
	if e.mean[class] == 0 {
		e.mean[class] = latency.Seconds()
	}
	ratio := min(latency.Seconds()/e.mean[class], speedLimit)
	l.speed += speedWeight * (ratio - l.speed)
	e.mean[class] += meanWeight * (min(latency.Seconds(), speedLimit*e.mean[class]) - e.mean[class])
}

func (e *entry) tick() {
	for i := range e.lanes {
		e.lanes[i].speed += speedDecay * (1 - e.lanes[i].speed)
	}
}
