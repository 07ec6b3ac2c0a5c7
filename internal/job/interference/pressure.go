package interference

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Pressure expresses how close the tail latency of a serving task is to its target:
// the negated ratio of the target to the tail. It is -1 at the target and -4 at a
// quarter of it. The tail latency of a queue grows with 1/(1-utilization), so the
// pressure is linear in the load, and a batch task adds the same pressure at any
// load.
type Pressure float64

// PressureOf returns the pressure of a tail latency given as a part of its target.
func PressureOf(tail float64) Pressure { return Pressure(-1 / tail) }

// BasePressure is the estimated pressure of a serving task by its own load, without
// batch work on the worker. The zero value has no observations.
type BasePressure struct {
	mean, variance float64
	updated        time.Time
}

const (
	// baseLoadDeviation is the standard deviation of the pressure by an unknown own
	// load.
	baseLoadDeviation = 1.5
	// baseLoadDrift is the standard deviation that the base pressure gains in one
	// second. A load that oscillates with a period of about ten seconds changes by
	// about as much.
	baseLoadDrift = 0.25
)

// Estimated returns the base pressure, and false before the first observation.
func (b *BasePressure) Estimated() (Pressure, bool) { return Pressure(b.mean), !b.updated.IsZero() }

// TailSample is one tail latency of a serving task, as the worker list reports it.
type TailSample struct {
	Time     time.Time
	Class    unit.ClassID
	Pressure Pressure
	Shares   map[unit.ClassID]float64 // share of the worker's cores that each batch class uses
}

// tailBand is the load band under which tail samples are kept. They need no other,
// as the base pressure covers the load.
const tailBand Band = 0

// ObserveTail updates the base pressure of a serving task and the pressure that
// each batch class adds, from one sample. The residual goes mostly to the least
// certain of these estimates.
func (m *Model) ObserveTail(base *BasePressure, sample TailSample) {
	bands, ok := m.filters[sample.Class]
	if !ok {
		bands = &[BandCount]*filter{}
		m.filters[sample.Class] = bands
	}
	f := bands[tailBand]
	if f == nil {
		f = &filter{
			prior: m.prior, mean: []float64{0}, covariance: []float64{0},
			noiseVariance: initialNoiseDeviation * initialNoiseDeviation, updated: sample.Time,
		}
		bands[tailBand] = f
	}
	inputs := f.inputsAt(sample.Shares, sample.Time)
	if base.updated.IsZero() {
		*base = BasePressure{mean: float64(sample.Pressure), variance: baseLoadDeviation * baseLoadDeviation, updated: sample.Time}
		for i := range inputs {
			base.mean -= f.mean[i] * inputs[i]
		}
	}
	base.advance(sample.Time)
	residual, totalVariance := f.update(inputs, float64(sample.Pressure)-base.mean, base.variance)
	base.mean += base.variance / totalVariance * residual
	base.variance -= base.variance * base.variance / totalVariance
}

// advance adds the uncertainty of the time since the last sample.
func (b *BasePressure) advance(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.variance = min(b.variance+baseLoadDrift*baseLoadDrift*elapsed.Seconds(), baseLoadDeviation*baseLoadDeviation)
}

// AddedPressure returns how much pressure a batch class adds to a class of serving
// tasks if it takes all cores.
func (m *Model) AddedPressure(serving, batch unit.ClassID) Estimate {
	return m.Predict(serving, tailBand, batch, 1)
}
