package overload

import (
	"math"
	"time"
)

// Parameters of ExpectedValue.
const (
	// delaySpread is the standard deviation of the logarithm of the time that a chain takes over
	// its duration at full speed, by waits for capacity and slowed runs.
	delaySpread = 0.5
	// sizeBonus is the power of the value that is added for large work. Without it the
	// largest tenth of a class is served less than half as well as the class on a full fleet.
	sizeBonus = 0.2
	// minChance keeps the keys of work with hardly any chance apart and finite.
	minChance = 1e-4
)

// ExpectedValue is by the remaining work for each unit of value that can be expected of it.
// The chance that work completes in time falls gradually with the time that is left, so that
// small changes of estimates change the order little. What has been begun comes before what
// has not, as less work remains.
func ExpectedValue(now time.Time, _ float64, works []Work) []Place {
	places := make([]Place, len(works))
	for i := range works {
		w := &works[i]
		c := Classify(w, now)
		places[i] = Place{c, w.workByExpectedValue(now)}
		if w.LongRunning || c == Useless {
			places[i].Key = c.behindBetter(seconds(w.Useful.Sub(now)))
		}
	}
	return places
}

// workByExpectedValue returns the remaining work for each unit of expected value.
func (w *Work) workByExpectedValue(now time.Time) float64 {
	expected := (1-LateShare)*w.chance(w.Objective, now) + LateShare*w.chance(w.Useful, now)
	value := math.Pow(math.Max(w.Value, baseValue), 1+sizeBonus)
	return float64(w.Remaining) / (value * math.Max(expected, minChance))
}

// chance returns the probability that the chain is complete by a deadline.
func (w *Work) chance(deadline, now time.Time) float64 {
	left := seconds(deadline.Sub(now))
	switch {
	case left <= 0:
		return 0
	case w.Chain <= 0:
		return 1
	}
	spread := math.Hypot(w.Spread, delaySpread)
	return math.Erfc(-math.Log(left/seconds(w.Chain))/(spread*math.Sqrt2)) / 2
}
