package duration

import (
	"math"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// MaxDeclaredError is the largest factor by which declared durations are wrong.
const MaxDeclaredError = 13.0

const (
	// minBoundObservations is the number of observations of a queue from which on bounds are
	// derived from them.
	minBoundObservations = 5
	// boundDeviations is the distance of the bounds from the mean, in standard deviations.
	boundDeviations = 2.5
)

// RatioBounds returns the lowest and the highest plausible ratio of the actual to the
// declared duration of a task of a queue. Without enough observations they are as far
// apart as declared durations may be wrong.
func (e *Estimator) RatioBounds(q graph.QueueID) (low, high float64) {
	low, high = 1/MaxDeclaredError, MaxDeclaredError
	h := e.queues[q]
	if h == nil || h.ratio.count < minBoundObservations {
		return low, high
	}
	mean := h.ratio.shrunkMean(declaredWeight)
	width := boundDeviations * math.Sqrt(h.ratio.variance(declaredDeviation, declaredWeight))
	return min(max(low, math.Exp(mean-width)), high), max(min(high, math.Exp(mean+width)), low)
}
