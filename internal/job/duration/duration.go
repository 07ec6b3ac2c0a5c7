// Package duration learns how long the tasks of a queue really take. What callers
// declare is often off by a factor of two or more, while the tasks of one queue
// are much alike. It is pure.
package duration

import (
	"math"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

const (
	// declaredDeviation is that of the logarithm of what a task takes over what was
	// declared, and declaredWeight the number of observations that it counts as.
	declaredDeviation = 0.7
	declaredWeight    = 4
	// queueDeviation is that of the logarithm of what the tasks of a queue take,
	// with the number of observations that it counts as.
	queueDeviation = 1.0
	queueWeight    = 2
	// memory is the number of observations beyond which earlier ones fade.
	memory = 200
)

// Estimator holds what was learned of each queue. The zero value is not usable;
// call New.
type Estimator struct {
	queues map[graph.QueueID]*history
}

// New returns an estimator without knowledge.
func New() *Estimator { return &Estimator{queues: map[graph.QueueID]*history{}} }

// history is what was learned of a queue, in logarithms of seconds.
type history struct {
	taken moments // of what tasks took
	ratio moments // of what they took over what was declared
}

// Observe learns from the tasks of a step, which are alike: what one takes at full
// speed, and what was declared of it, 0 for nothing.
func (e *Estimator) Observe(q graph.QueueID, declared, taken time.Duration) {
	if taken <= 0 {
		return
	}
	h := e.queues[q]
	if h == nil {
		h = &history{}
		e.queues[q] = h
	}
	h.taken.add(math.Log(taken.Seconds()))
	if declared > 0 {
		h.ratio.add(math.Log(taken.Seconds() / declared.Seconds()))
	}
}

// Estimate returns what a task is expected to take at full speed: what was declared
// and what the queue's tasks took, each by its certainty.
func (e *Estimator) Estimate(q graph.QueueID, declared time.Duration) time.Duration {
	h := e.queues[q]
	if h == nil || h.taken.n == 0 {
		return declared
	}
	sum, weight := 0.0, 0.0
	variance := h.taken.variance(queueDeviation, queueWeight) * (1 + 1/h.taken.n)
	sum += h.taken.mean / variance
	weight += 1 / variance
	if declared > 0 {
		variance = h.ratio.variance(declaredDeviation, declaredWeight)
		sum += (math.Log(declared.Seconds()) + h.ratio.shrunk(declaredWeight)) / variance
		weight += 1 / variance
	}
	return time.Duration(math.Exp(sum/weight) * float64(time.Second))
}

// moments are the mean and the sum of squared deviations of observed values.
type moments struct{ n, mean, squares float64 }

func (m *moments) add(v float64) {
	if m.n >= memory {
		m.squares *= (memory - 1) / m.n
		m.n = memory - 1
	}
	m.n++
	d := v - m.mean
	m.mean += d / m.n
	m.squares += d * (v - m.mean)
}

// variance returns that of the values and of a prior that counts as some of them.
func (m *moments) variance(prior, weight float64) float64 {
	return (prior*prior*weight + m.squares) / (weight + m.n)
}

// shrunk returns the mean with a prior of 0 that counts as some values.
func (m *moments) shrunk(weight float64) float64 { return m.mean * m.n / (m.n + weight) }
