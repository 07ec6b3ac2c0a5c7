package interference

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Pressure is how near the tail of a serving task is to its target: minus the
// target over the tail, so that it is -1 at the target and -4 at a quarter of it.
// The tail of a queue grows with 1/(1-utilization), so its pressure is linear in
// the load, and a batch task adds as much at a low load as at a high one.
type Pressure float64

// PressureOf returns the pressure of a tail that is a share of its target.
func PressureOf(tail float64) Pressure { return Pressure(-1 / tail) }

// BasePressure is the pressure that a serving task has by its own load, without any batch
// work beside it. The zero value says that nothing was observed yet.
type BasePressure struct {
	mean, variance float64
	updated        time.Time
}

const (
	// baseLoadDeviation is that of the pressure by an unknown load of its own.
	baseLoadDeviation = 1.5
	// baseLoadDrift is the deviation that the own pressure gains in one second. A load
	// that swings within some ten seconds changes by about this.
	baseLoadDrift = 0.25
)

// Estimated returns the pressure, if anything was observed.
func (o *BasePressure) Estimated() (Pressure, bool) { return Pressure(o.mean), !o.updated.IsZero() }

// TailSample is one listed tail of a serving task.
type TailSample struct {
	Time     time.Time
	Class    unit.ClassID
	Pressure Pressure
	Shares   map[unit.ClassID]float64 // of the worker's cores, used by each batch class
}

// tailBand is the load band under which readings are kept: their load is in
// the pressure of their own.
const tailBand Band = 0

// ObserveTail learns from one reading: the task's own pressure, and how much each batch
// class adds to it. What was not expected goes to that which is known least.
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
			noise: initialNoiseDeviation * initialNoiseDeviation, updated: sample.Time,
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

// advance adds the uncertainty of the time since the last reading.
func (o *BasePressure) advance(now time.Time) {
	elapsed := now.Sub(o.updated)
	if elapsed <= 0 {
		return
	}
	o.updated = now
	o.variance = min(o.variance+baseLoadDrift*baseLoadDrift*elapsed.Seconds(), baseLoadDeviation*baseLoadDeviation)
}

// AddedPressure returns how much a batch class adds to the pressure of a class of serving
// tasks if it takes all cores.
func (m *Model) AddedPressure(serving, batch unit.ClassID) Estimate {
	return m.Predict(serving, tailBand, batch, 1)
}
