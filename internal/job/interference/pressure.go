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
	time           time.Time
}

const (
	// ownDeviation is that of the pressure by an unknown load of its own.
	ownDeviation = 1.5
	// ownDrift is the deviation that the own pressure gains in one second. A load
	// that swings within some ten seconds changes by about this.
	ownDrift = 0.25
)

// Expected returns the pressure, if anything was observed.
func (o *BasePressure) Expected() (Pressure, bool) { return Pressure(o.mean), !o.time.IsZero() }

// TailSample is one listed tail of a serving task.
type TailSample struct {
	Time     time.Time
	Class    unit.ClassID
	Pressure Pressure
	Shares   map[unit.ClassID]float64 // of the worker's cores, used by each batch class
}

// readingBand is the load band under which readings are kept: their load is in
// the pressure of their own.
const readingBand Band = 0

// ObserveTail learns from one reading: the task's own pressure, and how much each batch
// class adds to it. What was not expected goes to that which is known least.
func (m *Model) ObserveTail(own *BasePressure, r TailSample) {
	bands, ok := m.filters[r.Class]
	if !ok {
		bands = &[BandCount]*filter{}
		m.filters[r.Class] = bands
	}
	f := bands[readingBand]
	if f == nil {
		f = &filter{
			prior: m.prior, mean: []float64{0}, variance: []float64{0},
			noise: firstDeviation * firstDeviation, time: r.Time,
		}
		bands[readingBand] = f
	}
	x := f.inputs(r.Shares, r.Time)
	if own.time.IsZero() {
		*own = BasePressure{mean: float64(r.Pressure), variance: ownDeviation * ownDeviation, time: r.Time}
		for i := range x {
			own.mean -= f.mean[i] * x[i]
		}
	}
	own.pass(r.Time)
	residual, total := f.update(x, float64(r.Pressure)-own.mean, own.variance)
	own.mean += own.variance / total * residual
	own.variance -= own.variance * own.variance / total
}

// pass adds the uncertainty of the time since the last reading.
func (o *BasePressure) pass(now time.Time) {
	elapsed := now.Sub(o.time)
	if elapsed <= 0 {
		return
	}
	o.time = now
	o.variance = min(o.variance+ownDrift*ownDrift*elapsed.Seconds(), ownDeviation*ownDeviation)
}

// AddedPressure returns how much a batch class adds to the pressure of a class of serving
// tasks if it takes all cores.
func (m *Model) AddedPressure(serving, batch unit.ClassID) Estimate {
	return m.Predict(serving, readingBand, batch, 1)
}
