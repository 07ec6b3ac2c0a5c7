package overload

import (
	"math"
	"time"
)

// Place is the position of work among others of the same priority.
type Place struct {
	Class Class
	Key   float64 // lower keys come first
}

// behind is added to the key for each class that is placed behind the one before. It is
// above all other keys.
const behind = 1e12

// behindBetter returns the key of work of a class that is placed behind all better ones.
func (c Class) behindBetter(key float64) float64 { return behind*float64(c) + key }

// Order computes the places of the work of one priority. Cores is the rate at which the
// fleet works on it.
type Order func(now time.Time, cores float64, works []Work) []Place

// keyed returns an order by class and by a key of each work alone.
func keyed(key func(w *Work, c Class, now time.Time) float64) Order {
	return func(now time.Time, _ float64, works []Work) []Place {
		places := make([]Place, len(works))
		for i := range works {
			c := Classify(&works[i], now)
			places[i] = Place{c, c.behindBetter(key(&works[i], c, now))}
		}
		return places
	}
}

// Orders that are compared.
var (
	// EarliestDeadline is by objective alone, but for work whose latest useful time has passed.
	EarliestDeadline Order = earliestDeadline
	// LateBehind is by objective among the work that can still meet it.
	LateBehind = keyed(func(w *Work, c Class, now time.Time) float64 { return seconds(w.deadline(c).Sub(now)) })
	// LeastWork is by remaining work.
	LeastWork = keyed(func(w *Work, _ Class, _ time.Time) float64 { return float64(w.Remaining) })
	// ValueByWork is by the remaining work for each unit of value.
	ValueByWork = keyed(func(w *Work, _ Class, _ time.Time) float64 { return w.workByValue() })
	// LeastSlack is by the time that is left before the chain must start.
	LeastSlack = keyed(func(w *Work, c Class, now time.Time) float64 { return seconds(w.deadline(c).Sub(now) - w.Chain) })
)

func earliestDeadline(now time.Time, _ float64, works []Work) []Place {
	places := make([]Place, len(works))
	for i := range works {
		w := &works[i]
		if now.After(w.Useful) && !w.LongRunning {
			places[i].Class = Useless
		}
		places[i].Key = places[i].Class.behindBetter(seconds(w.Objective.Sub(now)))
	}
	return places
}

// deadline returns the time that work of a class has to meet.
func (w *Work) deadline(c Class) time.Time {
	if c == Timely {
		return w.Objective
	}
	return w.Useful
}

// workByValue returns the remaining work for each unit of value.
func (w *Work) workByValue() float64 {
	return float64(w.Remaining) / math.Max(w.Value, baseValue)
}

func seconds(d time.Duration) float64 { return d.Seconds() }
