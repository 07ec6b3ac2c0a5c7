package replay

import (
	"math/rand/v2"
	"time"
)

// lane is what one entry knows of its own slots on one worker.
type lane struct {
	slots    int
	open     bool // the instance list has the worker live, and it is not draining
	inFlight int
	speed    float64       // moving average of latency over that of the class
	suspect  time.Duration // not used until then, after a failed request
}

func (l *lane) usable(now time.Duration) bool {
	return l.slots > 0 && l.open && now >= l.suspect
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

// draw returns a usable lane with a chance in proportion to its slots, or -1.
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
	// speedWeight is the weight of one request in the speed of a lane: about 7
	// requests, some seconds at the firms' rates.
	speedWeight = 0.15
	// speedLimit bounds what one slow request says of a worker.
	speedLimit = 4.0
	// speedDecay leads the speed of an unused lane back to 1 within a minute, so
	// that it is tried again.
	speedDecay = 0.03
	meanWeight = 0.005
	suspectFor = 3 * time.Second
)

// entry is one entry instance: its lanes and its mean latency per class.
type entry struct {
	lanes []lane
	mean  []float64 // seconds
}

func (e *entry) ended(now time.Duration, w, class int, latency time.Duration, failed bool) {
	l := &e.lanes[w]
	l.inFlight--
	if failed {
		l.suspect = now + suspectFor
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
