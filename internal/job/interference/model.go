// Package interference estimates from delayed reports how much batch classes slow
// down the requests on the same worker, and how far declared sizes and run times of
// tasks are off. It has no clock of its own: every observation carries its time.
package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Band is a load band: a range of the utilization of a worker's slots by requests.
type Band uint8

// BandCount is the number of load bands.
const BandCount = 4

// BandOf returns the load band of a utilization between 0 and 1.
func BandOf(utilization float64) Band {
	return Band(min(max(int(utilization*BandCount), 0), BandCount-1))
}

// Sample is the content of one delayed report about a class of requests on a
// worker.
type Sample struct {
	Time     time.Time // end of the reported window
	Class    unit.ClassID
	Band     Band
	Requests int
	Latency  time.Duration            // median of the window, which is robust to a few slow requests
	Shares   map[unit.ClassID]float64 // share of the worker's cores that each batch class uses
}

// Estimate is an estimated rise of the logarithm of the latency.
type Estimate struct {
	Mean      float64
	Deviation float64 // standard deviation of the mean
}

// Slowdown returns the estimated factor of the latency at the given number of
// standard deviations above the mean; a positive number gives a conservative
// factor.
func (e Estimate) Slowdown(deviations float64) float64 {
	return math.Exp(e.Mean + deviations*e.Deviation)
}

const (
	// priorMean and priorDeviation are the prior of a pair without observations: a
	// class that takes all cores raises the latency by a factor of about e^0.5 =
	// 1.6.
	priorMean      = 0.5
	priorDeviation = 1.0
	// baselineDeviation is the prior standard deviation of the latency without
	// batch work, wide enough to leave it practically unknown.
	baselineDeviation = 3.0
	// bandDeviation is the standard deviation of the difference of a pair's rise
	// between neighbouring load bands.
	bandDeviation = 0.3
	// confidentDeviation is the standard deviation of a rise below which the
	// estimate is confident. A tenth of the latency is less than the headroom of a
	// reasonable target.
	confidentDeviation = 0.1

	// decayTime is the time constant with which a pair that is not observed returns
	// to the prior. Load and program versions change over the day, not over
	// minutes.
	decayTime = 20 * time.Minute
	// driftDeviation is the standard deviation that an observed pair gains per
	// decayTime.
	driftDeviation = 0.5

	// maxResidualDeviations limits the influence of one report: its residual is
	// clipped at this number of standard deviations of the prediction.
	maxResidualDeviations = 2.5
	// requestDeviation is the standard deviation of the logarithm of a single
	// request's latency. That of the median of n requests is about 1.25/sqrt(n)
	// times as large.
	requestDeviation = 0.6
	// minNoiseDeviation is the least standard deviation of the noise, whatever the
	// number of requests, since the reported usage is older than the latency.
	minNoiseDeviation = 0.05
	// initialNoiseDeviation is the standard deviation of the noise before residuals
	// are known. It keeps two or three reports that agree by chance from making a
	// pair confident.
	initialNoiseDeviation = 0.3
	// minNoiseWeight is the least weight of a new residual in the estimate of the
	// noise. The weight is higher at first, when initialNoiseDeviation counts as
	// much as initialNoiseReports reports.
	minNoiseWeight      = 0.02
	initialNoiseReports = 5

	// maxClasses limits the batch classes per class of requests and load band. The
	// state of each such combination takes at most 8 bytes x (maxClasses+1)^2 = 33 KB.
	// With more classes in use than rows, samples replace each other's classes and
	// nothing is learned.
	maxClasses = 64
)

// Prior is the assumed rise of a pair without observations: the rise of the
// logarithm of the latency by a class that takes all cores, and its standard
// deviation.
type Prior struct{ Mean, Deviation float64 }

// Model holds the estimates of all pairs of a class of requests and a batch class.
// Create it with New or NewWithPrior.
type Model struct {
	prior   Prior
	filters map[unit.ClassID]*[BandCount]*filter // keyed by the class of requests
}

// New returns a model without observations and with the default prior.
func New() *Model { return NewWithPrior(Prior{Mean: priorMean, Deviation: priorDeviation}) }

// NewWithPrior returns a model without observations and with the given prior.
func NewWithPrior(p Prior) *Model {
	return &Model{prior: p, filters: map[unit.ClassID]*[BandCount]*filter{}}
}

// Observe updates the estimates from one report. Reports may arrive late and out of
// order.
func (m *Model) Observe(s Sample) {
	if s.Requests <= 0 || s.Latency <= 0 {
		return
	}
	bands, ok := m.filters[s.Class]
	if !ok {
		bands = &[BandCount]*filter{}
		m.filters[s.Class] = bands
	}
	if bands[s.Band] == nil {
		bands[s.Band] = m.newFilter(s)
	}
	bands[s.Band].observe(s)
}

// minVariance is the least variance of an estimate, so that its weight is finite. One from
// a record may have none.
const minVariance = 1e-6

// Predict returns the predicted rise of the logarithm of the latency of a class of
// requests at a load band if a batch class uses a share of the worker's cores. It
// combines the prior and the estimates of all bands; a band counts less the farther
// it is from the given one.
func (m *Model) Predict(requests unit.ClassID, band Band, batch unit.ClassID, share float64) Estimate {
	weight := 1 / (m.prior.Deviation * m.prior.Deviation)
	sum := m.prior.Mean * weight
	bands, ok := m.filters[requests]
	if !ok {
		bands = &[BandCount]*filter{}
	}
	for b, f := range bands {
		if f == nil {
			continue
		}
		row, ok := f.rows[batch]
		if !ok {
			continue
		}
		distance := bandDeviation * (float64(b) - float64(band))
		bandWeight := 1 / max(f.covarianceAt(row, row)+distance*distance, minVariance)
		sum += bandWeight * f.mean[row]
		weight += bandWeight
	}
	return Estimate{Mean: max(sum/weight, 0) * share, Deviation: share / math.Sqrt(weight)}
}

// Confident reports whether the predicted rise by a batch class on a share of the
// cores is certain enough to rely on.
func (m *Model) Confident(requests unit.ClassID, band Band, batch unit.ClassID, share float64) bool {
	return m.Predict(requests, band, batch, share).Deviation < confidentDeviation
}

// MayTry reports whether a batch class with an uncertain estimate may be started on
// one more worker, given the number of workers that run it already. The limit is
// one worker in eight, and at least two, so that a harmful pair affects few
// callers.
func (m *Model) MayTry(running, workers int) bool { return running < max(2, workers/8) }

// Baseline returns the estimated latency of a class of requests without batch work,
// or 0 before the first report.
func (m *Model) Baseline(requests unit.ClassID, band Band) time.Duration {
	f := m.nearest(requests, band)
	if f == nil {
		return 0
	}
	return time.Duration(math.Exp(f.mean[0]) * float64(time.Second))
}

// nearest returns the filter of the band, or of the nearest band that has one.
func (m *Model) nearest(class unit.ClassID, band Band) *filter {
	bands, ok := m.filters[class]
	if !ok {
		return nil
	}
	for d := range BandCount {
		for _, b := range []int{int(band) - d, int(band) + d} {
			if b >= 0 && b < BandCount && bands[b] != nil {
				return bands[b]
			}
		}
	}
	return nil
}

// newFilter returns a filter that starts from the latency of its first report and
// from the noise of the nearest band.
func (m *Model) newFilter(s Sample) *filter {
	f := &filter{
		prior:         m.prior,
		mean:          []float64{math.Log(s.Latency.Seconds())},
		covariance:    []float64{baselineDeviation * baselineDeviation},
		noiseVariance: initialNoiseDeviation * initialNoiseDeviation,
		updated:       s.Time,
	}
	if nearest := m.nearest(s.Class, s.Band); nearest != nil {
		f.noiseVariance, f.noiseReports = nearest.noiseVariance, nearest.noiseReports
	}
	return f
}

// filter is a Kalman filter of the logarithm of the latency. Its state is a
// baseline and, for each batch class, the rise if that class takes all cores. The
// full covariance matrix separates the effects of classes that always run together.
// For tail samples it filters the pressure instead of the latency.
type filter struct {
	prior         Prior
	classes       []unit.ClassID // class i has row i+1; row 0 is the baseline
	rows          map[unit.ClassID]int
	lastSeen      []time.Time // when each class was last observed
	mean          []float64
	covariance    []float64 // square matrix in row-major order
	noiseVariance float64   // variance of the residuals
	noiseReports  int       // number of reports behind noiseVariance
	updated       time.Time

	inputs, gain []float64 // reused by inputsAt and update
}

// covarianceAt returns the covariance of rows i and j.
func (f *filter) covarianceAt(i, j int) float64 { return f.covariance[i*len(f.mean)+j] }

// observe updates the filter from the median latency of a report.
func (f *filter) observe(s Sample) {
	medianDeviation := 1.25 * requestDeviation / math.Sqrt(float64(s.Requests))
	inputs := f.inputsAt(s.Shares, s.Time)
	inputs[0] = 1
	f.update(inputs, math.Log(s.Latency.Seconds()), medianDeviation*medianDeviation)
}

// inputsAt advances the filter to a time, adds rows for new classes, and returns
// the shares by row, with 0 for the baseline. They are valid until the next call.
func (f *filter) inputsAt(shares map[unit.ClassID]float64, now time.Time) []float64 {
	f.addClasses(shares, now)
	f.decay(now)
	f.inputs = zeros(f.inputs, len(f.mean))
	inputs := f.inputs
	for c, share := range shares {
		row, ok := f.rows[c]
		if !ok {
			continue // more classes run at once than there are rows
		}
		inputs[row] = share
		if share > 0 && now.After(f.lastSeen[row-1]) {
			f.lastSeen[row-1] = now
		}
	}
	return inputs
}

// update corrects the state by one measured value with the given variance. It
// returns the clipped residual and the predicted variance of the value.
func (f *filter) update(inputs []float64, value, measurementVariance float64) (residual, totalVariance float64) {
	n := len(f.mean)
	f.gain = zeros(f.gain, n)
	gain := f.gain
	predicted, stateVariance := 0.0, 0.0
	for i := range n {
		for j, input := range inputs {
			if input != 0 { // a worker runs few of the classes at a time
				gain[i] += f.covarianceAt(i, j) * input
			}
		}
		predicted += f.mean[i] * inputs[i]
		stateVariance += gain[i] * inputs[i]
	}
	totalVariance = stateVariance + measurementVariance + f.noiseVariance
	limit := maxResidualDeviations * math.Sqrt(totalVariance)
	residual = min(max(value-predicted, -limit), limit)
	f.noiseReports++
	f.noiseVariance += max(minNoiseWeight, 1/float64(f.noiseReports+initialNoiseReports)) * (max(residual*residual-stateVariance-measurementVariance, minNoiseDeviation*minNoiseDeviation) - f.noiseVariance)
	for i := range n {
		if gain[i] == 0 {
			continue
		}
		scaled := gain[i] / totalVariance
		f.mean[i] += scaled * residual
		row := f.covariance[i*n : (i+1)*n]
		for j := range row {
			row[j] -= scaled * gain[j]
		}
	}
	return residual, totalVariance
}

// zeros returns a slice of n zeros, which takes the place of an earlier one if that is
// large enough.
func zeros(earlier []float64, n int) []float64 {
	s := slices.Grow(earlier[:0], n)[:n]
	clear(s)
	return s
}

// decay adds the uncertainty of the time since the last report, and moves pairs
// that were not observed lately towards the prior.
func (f *filter) decay(now time.Time) {
	elapsed := now.Sub(f.updated)
	if elapsed <= 0 {
		return
	}
	f.updated = now
	decayed := 1 - math.Exp(-elapsed.Seconds()/decayTime.Seconds())
	n := len(f.mean)
	f.covariance[0] = min(f.covariance[0]+decayed*driftDeviation*driftDeviation, baselineDeviation*baselineDeviation)
	for i := 1; i < n; i++ {
		gained := decayed * driftDeviation * driftDeviation
		if now.Sub(f.lastSeen[i-1]) > decayTime/4 {
			f.mean[i] += decayed * (f.prior.Mean - f.mean[i])
			gained = decayed * f.prior.Deviation * f.prior.Deviation
		}
		f.covariance[i*n+i] = min(f.covariance[i*n+i]+gained, max(f.prior.Deviation*f.prior.Deviation, f.covariance[i*n+i]))
	}
}

// addClasses adds rows for the classes that have none, in a fixed order.
func (f *filter) addClasses(shares map[unit.ClassID]float64, now time.Time) {
	var added []unit.ClassID
	for c, share := range shares {
		if _, ok := f.rows[c]; !ok && share > 0 {
			added = append(added, c)
		}
	}
	slices.Sort(added)
	for _, c := range added {
		f.addClass(c, now)
	}
}

// addClass adds a row for a class. If all rows are taken, it replaces the class
// that was observed least recently.
func (f *filter) addClass(class unit.ClassID, now time.Time) {
	if len(f.classes) == maxClasses {
		oldest := 0
		for i := range f.lastSeen {
			if f.lastSeen[i].Before(f.lastSeen[oldest]) {
				oldest = i
			}
		}
		n, row := len(f.mean), oldest+1
		delete(f.rows, f.classes[oldest])
		f.classes[oldest], f.lastSeen[oldest], f.rows[class] = class, now, row
		for j := range n {
			f.covariance[row*n+j], f.covariance[j*n+row] = 0, 0
		}
		f.mean[row], f.covariance[row*n+row] = f.prior.Mean, f.prior.Deviation*f.prior.Deviation
		return
	}
	n := len(f.mean)
	widened := make([]float64, (n+1)*(n+1))
	for i := range n {
		copy(widened[i*(n+1):], f.covariance[i*n:(i+1)*n])
	}
	widened[n*(n+1)+n] = f.prior.Deviation * f.prior.Deviation
	f.covariance = widened
	f.mean = append(f.mean, f.prior.Mean)
	f.classes = append(f.classes, class)
	if f.rows == nil {
		f.rows = map[unit.ClassID]int{}
	}
	f.rows[class] = n
	f.lastSeen = append(f.lastSeen, now)
}
