package route

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Parameters of the choice of a worker.
const (
	// halfLife is the age at which a measurement counts half. A worker that was
	// slow is thus tried again, since load shifts within seconds.
	halfLife = 10 * time.Second
	// maxFailures is the number of consecutive failures after which a worker is
	// quarantined. A single failure may be caused by the request.
	maxFailures = 3
	// A quarantined worker is probed by one request after minQuarantine. Each
	// failed probe doubles the quarantine up to maxQuarantine.
	minQuarantine = time.Second
	maxQuarantine = 30 * time.Second
	// busyDelay is the time for which a worker that reported no free slot is not
	// chosen. Since slots are partitioned among the entries, such a worker is
	// still running an abandoned request.
	busyDelay = 50 * time.Millisecond
	// drainValidity is the time for which a worker's own report that it is draining
	// stays valid. By then the instance list shows the instance as leaving.
	drainValidity = time.Minute
)

// Health is the health of a worker as seen by this entry.
type Health string

// Health states of a worker.
const (
	Serving     Health = "serving"
	Quarantined Health = "set aside"
	Draining    Health = "draining"
)

// worker is the routing state of one worker.
type worker struct {
	Worker
	heldUntil           []time.Time // times until which slots are held by requests that may still run
	inUse               int         // requests in flight
	latencyFactor       float64     // latency relative to the mean of the class; 0 if not measured
	failureScore        float64     // recent failures, decayed with age
	measuredAt          time.Time   // time of latencyFactor and failureScore
	lastUsed            uint64      // sequence number of the last request sent to the worker
	consecutiveFailures int
	probeTime           time.Time     // not chosen before this time
	quarantine          time.Duration // length of the quarantine; 0 if not quarantined
	drainingUntil       time.Time     // as reported by the worker itself
	health              Health
}

// draining reports whether the worker accepts no new requests.
func (w *worker) draining(now time.Time) bool { return w.Draining || now.Before(w.drainingUntil) }

// freeSlots returns the number of slots free for new requests.
func (w *worker) freeSlots(now time.Time) int {
	if len(w.heldUntil) == 0 {
		return w.Slots - w.inUse
	}
	w.heldUntil = slices.DeleteFunc(w.heldUntil, func(until time.Time) bool { return !now.Before(until) })
	return w.Slots - w.inUse - len(w.heldUntil)
}

// eligible reports whether a request may be sent to the worker. A quarantined worker
// that is due for a probe gets one request at a time.
func (w *worker) eligible(now time.Time, allQuarantined bool) bool {
	if w.draining(now) || now.Before(w.nextProbe(allQuarantined)) || w.freeSlots(now) <= 0 {
		return false
	}
	return w.quarantine == 0 || w.inUse == 0
}

// nextProbe returns the time before which the worker is not chosen. If all workers are
// quarantined, each is probed after minQuarantine: the cause is then likely common to
// all workers, and a longer quarantine would outlast it.
func (w *worker) nextProbe(allQuarantined bool) time.Time {
	if allQuarantined && w.quarantine > minQuarantine {
		return w.probeTime.Add(minQuarantine - w.quarantine)
	}
	return w.probeTime
}

// recency returns the weight of the last measurement. It is 1 for a new measurement and
// decays with age.
func (w *worker) recency(now time.Time) float64 {
	age := max(now.Sub(w.measuredAt), 0)
	return float64(halfLife) / float64(halfLife+age)
}

// score is proportional to the expected completion time of one more request.
func (w *worker) score(now time.Time) float64 {
	weight := w.recency(now)
	latency := 1.0
	if w.latencyFactor > 0 {
		latency += (w.latencyFactor - 1) * weight
	}
	load := float64(w.inUse+len(w.heldUntil)) / float64(w.Slots)
	return latency * (1 + load/2) * (1 + w.failureScore*weight)
}

// observe records the end of a request. The ratio is its latency relative to the mean
// of the class, or 0 if it was not measured.
func (w *worker) observe(ratio float64, failed bool, now time.Time) {
	weight := w.recency(now)
	average := 1.0
	if w.latencyFactor > 0 {
		average += (w.latencyFactor - 1) * weight
	}
	w.failureScore *= weight
	if failed {
		w.failureScore++
	}
	if ratio > 0 {
		average += (min(ratio, 10) - average) * 0.3
	}
	w.latencyFactor, w.measuredAt = average, now
}

// fail counts a failure. It quarantines the worker if the failure is certainly caused
// by the worker, if it is a failed probe, or after maxFailures consecutive failures.
func (w *worker) fail(certain bool, now time.Time) {
	w.consecutiveFailures++
	if w.quarantine > 0 && now.Before(w.probeTime) {
		return // a request sent before the quarantine has failed
	}
	if certain || w.quarantine > 0 || w.consecutiveFailures >= maxFailures {
		w.quarantine = min(max(2*w.quarantine, minQuarantine), maxQuarantine)
		w.probeTime = now.Add(w.quarantine)
	}
}

// succeed resets the failures and ends the quarantine.
func (w *worker) succeed() {
	w.consecutiveFailures = 0
	if w.quarantine > 0 {
		w.quarantine, w.probeTime = 0, time.Time{}
	}
}

// currentHealth returns the health of the worker at now.
func (w *worker) currentHealth(now time.Time) Health {
	switch {
	case w.draining(now):
		return Draining
	case w.quarantine > 0:
		return Quarantined
	}
	return Serving
}

// HealthChange is a change of the health of a worker.
type HealthChange struct {
	Worker unit.InstanceID
	From   Health
	To     Health
}
