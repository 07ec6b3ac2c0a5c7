package overload

import (
	"math"
	"time"
)

// Classify returns the class of work. The expected duration of its chain is uncertain, so
// work counts as late only once even a short chain would miss its objective, and its class
// improves only if there is time to spare: estimates change with each task that ends, and
// the order would change with them.
func Classify(w *Work, now time.Time) Class {
	if w.LongRunning {
		return Timely
	}
	earliest := now.Add(time.Duration(float64(w.Chain) * math.Exp(-spreadMargin*w.Spread)))
	switch {
	case !earliest.Add(w.reserveFor(Timely, w.Objective)).After(w.Objective):
		return Timely
	case !earliest.Add(w.reserveFor(Late, w.Useful)).After(w.Useful):
		return Late
	}
	return Useless
}

// reserveFor returns the time that work must have to spare to be in a class: none if its
// class was as good before.
func (w *Work) reserveFor(class Class, deadline time.Time) time.Duration {
	if w.Class <= class {
		return 0
	}
	return max(minReturnTime, time.Duration(returnMargin*float64(deadline.Sub(w.Due))))
}
