package route

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Constants of the choice of a worker.
const (
	// halfLife is the age at which a measurement of a worker counts half. It lets
	// a worker that was slow be tried again, since load shifts within seconds.
	halfLife = 10 * time.Second
	// maxFailures in a row set a worker aside; a single failure may come from one
	// request.
	maxFailures = 3
	// A worker set aside is probed by one request after minAside, then after
	// twice the time at each failure, up to maxAside.
	minAside = time.Second
	maxAside = 30 * time.Second
	// busyAside is how long a worker that had no free slot is not asked again.
	// Its slots are partitioned, so it is busy with a request that was abandoned.
	busyAside = 50 * time.Millisecond
	// drainWord is how long a worker's own word of draining counts without a
	// repetition; the platform's list shows the instance as leaving by then.
	drainWord = time.Minute
)

// Health is the state of a worker as seen by this entry.
type Health string

// States of a worker.
const (
	Serving     Health = "serving"
	Quarantined Health = "set aside"
	Draining    Health = "draining"
)

// worker is the state of one worker.
type worker struct {
	Worker
	busy      []time.Time // slots of requests that may still run, until then
	inUse     int         // requests in flight
	factor    float64     // latency relative to the mean of the class; zero if not measured
	errors    float64     // recent failures
	measured  time.Time   // of factor and errors
	used      uint64      // sequence number of the last choice
	failures  int         // in a row
	aside     time.Time   // not chosen before
	asideStep time.Duration
	drainTill time.Time // by the worker's own word
	health    Health
}

func (w *worker) draining(now time.Time) bool { return w.Draining || now.Before(w.drainTill) }

// free returns the number of slots that a request may take.
func (w *worker) free(now time.Time) int {
	if len(w.busy) == 0 {
		return w.Slots - w.inUse
	}
	w.busy = slices.DeleteFunc(w.busy, func(until time.Time) bool { return !now.Before(until) })
	return w.Slots - w.inUse - len(w.busy)
}

// eligible reports whether a request may be sent to the worker. A worker that is
// probed gets one request at a time.
func (w *worker) eligible(now time.Time, shortage bool) bool {
	if w.draining(now) || now.Before(w.probeAt(shortage)) || w.free(now) <= 0 {
		return false
	}
	return w.asideStep == 0 || w.inUse == 0
}

// probeAt returns the time before which the worker is not chosen. In a shortage
// every worker is probed after minAside, since the cause is likely common to all
// and a longer wait would outlast it.
func (w *worker) probeAt(shortage bool) time.Time {
	if shortage && w.asideStep > minAside {
		return w.aside.Add(minAside - w.asideStep)
	}
	return w.aside
}

// weight is 1 for a measurement of now and falls with its age.
func (w *worker) weight(now time.Time) float64 {
	age := max(now.Sub(w.measured), 0)
	return float64(halfLife) / float64(halfLife+age)
}

// score is proportional to the expected completion time of one more request.
func (w *worker) score(now time.Time) float64 {
	weight := w.weight(now)
	speed := 1.0
	if w.factor > 0 {
		speed += (w.factor - 1) * weight
	}
	load := float64(w.inUse+len(w.busy)) / float64(w.Slots)
	return speed * (1 + load/2) * (1 + w.errors*weight)
}

func (w *worker) observe(ratio float64, failed bool, now time.Time) {
	weight := w.weight(now)
	old := 1.0
	if w.factor > 0 {
		old += (w.factor - 1) * weight
	}
	w.errors *= weight
	if failed {
		w.errors++
	}
	if ratio > 0 {
		old += (min(ratio, 10) - old) * 0.3
	}
	w.factor, w.measured = old, now
}

// fail counts a failure, which sets the worker aside if it is certain or repeated.
func (w *worker) fail(certain bool, now time.Time) {
	w.failures++
	if w.asideStep > 0 && now.Before(w.aside) {
		return // the end of a request that was sent before
	}
	if certain || w.asideStep > 0 || w.failures >= maxFailures {
		w.asideStep = min(max(2*w.asideStep, minAside), maxAside)
		w.aside = now.Add(w.asideStep)
	}
}

func (w *worker) succeed() {
	w.failures = 0
	if w.asideStep > 0 {
		w.asideStep, w.aside = 0, time.Time{}
	}
}

func (w *worker) state(now time.Time) Health {
	switch {
	case w.draining(now):
		return Draining
	case w.asideStep > 0:
		return Quarantined
	}
	return Serving
}

// HealthChange is a change of a worker's health.
type HealthChange struct {
	Worker unit.InstanceID
	From   Health
	To     Health
}
