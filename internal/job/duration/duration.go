// Package duration estimates the actual run times of a queue's tasks. Declared
// durations are often off by a factor of two or more, while the tasks of one queue
// are much alike. The package does no I/O and reads no clock.
package duration

import (
	"math"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

const (
	// declaredDeviation is the prior standard deviation of the logarithm of the
	// ratio of actual to declared durations. The prior counts as declaredWeight
	// observations.
	declaredDeviation = 0.7
	declaredWeight    = 4
	// queueDeviation is the prior standard deviation of the logarithm of the actual
	// durations of a queue. The prior counts as queueWeight observations.
	queueDeviation = 1.0
	queueWeight    = 2
	// maxObservations limits the weight of the past: beyond this number, earlier
	// observations count less and less.
	maxObservations = 200
)

// Estimator holds the observations of each queue. Create it with New.
type Estimator struct {
	queues map[graph.QueueID]*queueHistory
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{queues: map[graph.QueueID]*queueHistory{}} }

// queueHistory summarizes the observations of a queue, in logarithms of seconds.
type queueHistory struct {
	actual moments // actual durations
	ratio  moments // ratios of actual to declared durations
}

// Observe adds an observation for the tasks of a step, which are alike: the actual
// duration of one at full speed, and its declared duration, or 0 if none was
// declared.
func (e *Estimator) Observe(q graph.QueueID, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	h := e.queues[q]
	if h == nil {
		h = &queueHistory{}
		e.queues[q] = h
	}
	h.actual.add(math.Log(actual.Seconds()))
	if declared > 0 {
		h.ratio.add(math.Log(actual.Seconds() / declared.Seconds()))
	}
}

// Estimate returns the expected duration of a task at full speed.
func (e *Estimator) Estimate(q graph.QueueID, declared time.Duration) time.Duration {
	expected, _ := e.Expect(q, declared)
	return expected
}

// Expect returns the expected duration of a task at full speed, and the standard deviation
// of the logarithm of the actual over the expected duration. It combines the declared
// duration and the queue's actual durations, each weighted by the inverse of its variance.
func (e *Estimator) Expect(q graph.QueueID, declared time.Duration) (expected time.Duration, deviation float64) {
	h := e.queues[q]
	if h == nil || h.actual.count == 0 {
		return declared, declaredDeviation
	}
	weightedSum, weight := 0.0, 0.0
	variance := h.actual.variance(queueDeviation, queueWeight) * (1 + 1/h.actual.count)
	weightedSum += h.actual.mean / variance
	weight += 1 / variance
	if declared > 0 {
		variance = h.ratio.variance(declaredDeviation, declaredWeight)
		weightedSum += (math.Log(declared.Seconds()) + h.ratio.shrunkMean(declaredWeight)) / variance
		weight += 1 / variance
	}
	return time.Duration(math.Exp(weightedSum/weight) * float64(time.Second)), math.Sqrt(1 / weight)
}

// moments holds the number, the mean and the sum of squared deviations of observed
// values.
type moments struct{ count, mean, squaredDeviations float64 }

// add adds a value. Beyond maxObservations it reduces the weight of earlier values.
func (m *moments) add(v float64) {
	if m.count >= maxObservations {
		m.squaredDeviations *= (maxObservations - 1) / m.count
		m.count = maxObservations - 1
	}
	m.count++
	deviation := v - m.mean
	m.mean += deviation / m.count
	m.squaredDeviations += deviation * (v - m.mean)
}

// variance combines the variance of the values with that of a prior that counts as
// priorWeight values.
func (m *moments) variance(priorDeviation, priorWeight float64) float64 {
	return (priorDeviation*priorDeviation*priorWeight + m.squaredDeviations) / (priorWeight + m.count)
}

// shrunkMean returns the mean, shrunk towards 0 by a prior that counts as
// priorWeight values.
func (m *moments) shrunkMean(priorWeight float64) float64 {
	return m.mean * m.count / (m.count + priorWeight)
}
