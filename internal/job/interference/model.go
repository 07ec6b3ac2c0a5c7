// Package interference learns from lagging reports how much batch classes slow
// the requests on the same worker, and how far declared sizes and run times of
// tasks are off. It is pure: the time comes with each observation.
package interference

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Band is a band of load: how busy the slots of a worker are with requests.
type Band uint8

// BandCount is the number of load bands.
const BandCount = 4

// BandOf returns the band of a utilization between 0 and 1.
func BandOf(utilization float64) Band {
	return Band(min(max(int(utilization*BandCount), 0), BandCount-1))
}

// Sample is what one lagging report says of one class of requests on a worker.
type Sample struct {
	Time     time.Time // end of the reported window
	Class    unit.ClassID
	Band     Band
	Requests int
	Latency  time.Duration            // median of the window, which a few slow requests don't move
	Shares   map[unit.ClassID]float64 // of the worker's cores, used by each batch class
}

// Estimate is an expected rise of the logarithm of the latency.
type Estimate struct {
	Mean      float64
	Deviation float64 // standard deviation of the mean
}

// Slowdown returns the expected factor of the latency, and with a positive z a
// cautious one, z deviations above.
func (e Estimate) Slowdown(deviations float64) float64 {
	return math.Exp(e.Mean + deviations*e.Deviation)
}

const (
	// priorMean and priorDeviation describe a pair of which nothing is known: a
	// class that takes all cores raises the latency by e^0.5 = 1.6, give or take.
	priorMean      = 0.5
	priorDeviation = 1.0
	// baselineDeviation is that of the latency without batch work: nearly unknown.
	baselineDeviation = 3.0
	// bandDeviation is that of a pair between neighbouring load bands.
	bandDeviation = 0.3
	// confidentDeviation is the deviation of a rise below which it counts as known. A
	// tenth of the latency is less than the room that a sound target leaves.
	confidentDeviation = 0.1

	// decayTime is the time in which an unseen pair goes back to the prior by 1-1/e.
	// Load and versions of programs change over the day, not over minutes.
	decayTime = 20 * time.Minute
	// driftDeviation is the deviation that a pair gains in the time memory while it is seen.
	driftDeviation = 0.5

	// maxResidualDeviations bounds the influence of one report, in deviations of the prediction.
	maxResidualDeviations = 2.5
	// requestDeviation is that of the logarithm of a single request's latency;
	// the median of n has about 1.25/sqrt(n) of it.
	requestDeviation = 0.6
	// minNoiseDeviation is what no number of requests removes: usage lags latency.
	minNoiseDeviation = 0.05
	// initialNoiseDeviation is that of the noise before residuals show it. It keeps two
	// or three lucky reports from making a pair confident.
	initialNoiseDeviation = 0.3
	// noiseWeight is the weight of a new residual in the estimate of the noise. It
	// is higher at first, when firstDeviation counts as much as firstReports.
	noiseWeight         = 0.02
	initialNoiseReports = 5

	// maxClasses bounds the batch classes per class of requests and band. The
	// state takes 8 bytes x (maxClasses+1)^2 for each: 2.3 KB.
	maxClasses = 16
)

// Prior describes a pair of which nothing is known: the rise of the logarithm of
// the latency by a class that takes all cores, and its standard deviation.
type Prior struct{ Mean, Deviation float64 }

// Model holds the estimates. The zero value is not usable; call New.
type Model struct {
	prior   Prior
	filters map[unit.ClassID]*[BandCount]*filter // by class of requests
}

// New returns a model without knowledge.
func New() *Model { return NewWithPrior(Prior{Mean: priorMean, Deviation: priorDeviation}) }

// NewWithPrior returns a model without knowledge that expects pairs of a kind.
func NewWithPrior(p Prior) *Model {
	return &Model{prior: p, filters: map[unit.ClassID]*[BandCount]*filter{}}
}

// Observe learns from one report. Reports may arrive late and out of order.
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

// Predict returns the rise in the latency of a class of requests at a load band
// if a batch class uses a share of the worker's cores. It joins what the bands
// say, each the less certain the farther it is from the load.
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
		i := slices.Index(f.classes, batch)
		if i < 0 {
			continue
		}
		distance := bandDeviation * (float64(b) - float64(band))
		w := 1 / (f.covarianceAt(i+1, i+1) + distance*distance)
		sum += w * f.mean[i+1]
		weight += w
	}
	return Estimate{Mean: max(sum/weight, 0) * share, Deviation: share / math.Sqrt(weight)}
}

// Confident reports whether the rise by a batch class on a share of the cores is
// known well enough to rely on.
func (m *Model) Confident(requests unit.ClassID, band Band, batch unit.ClassID, share float64) bool {
	return m.Predict(requests, band, batch, share).Deviation < confidentDeviation
}

// MayTry reports whether an uncertain batch class may be tried on one more
// worker, when so many of the workers run it already. It is limited to one worker
// in eight, and two at least, so that a bad pair harms few callers.
func (m *Model) MayTry(running, workers int) bool { return running < max(2, workers/8) }

// Baseline returns the expected latency of a class of requests without batch
// work, or 0 if no report was seen.
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

// newFilter starts from the latency of the first report, and from the noise of
// the nearest band.
func (m *Model) newFilter(s Sample) *filter {
	f := &filter{
		prior:      m.prior,
		mean:       []float64{math.Log(s.Latency.Seconds())},
		covariance: []float64{baselineDeviation * baselineDeviation},
		noise:      initialNoiseDeviation * initialNoiseDeviation,
		updated:    s.Time,
	}
	if near := m.nearest(s.Class, s.Band); near != nil {
		f.noise, f.reports = near.noise, near.reports
	}
	return f
}

// filter is a Kalman filter of the logarithm of the latency: a base, and for
// each batch class a rise per share of cores. The full covariance keeps apart
// what two classes that always run together do.
type filter struct {
	prior      Prior
	classes    []unit.ClassID // of rows 1 and up; row 0 is the base
	lastSeen   []time.Time
	mean       []float64
	covariance []float64 // square matrix by rows
	noise      float64   // variance of the residuals
	reports    int       // that the noise was learned from
	updated    time.Time
}

func (f *filter) covarianceAt(i, j int) float64 { return f.covariance[i*len(f.mean)+j] }

func (f *filter) observe(s Sample) {
	median := 1.25 * requestDeviation / math.Sqrt(float64(s.Requests))
	inputs := f.inputsAt(s.Shares, s.Time)
	inputs[0] = 1
	f.update(inputs, math.Log(s.Latency.Seconds()), median*median)
}

// inputsAt returns the shares by row, with 0 for the base, after time has passed
// and rows were added for new classes.
func (f *filter) inputsAt(shares map[unit.ClassID]float64, now time.Time) []float64 {
	for _, c := range slices.Sorted(maps.Keys(shares)) {
		if shares[c] > 0 && !slices.Contains(f.classes, c) {
			f.addClass(c, now)
		}
	}
	f.decay(now)
	x := make([]float64, len(f.mean))
	for i, c := range f.classes {
		if x[i+1] = shares[c]; x[i+1] > 0 && now.After(f.lastSeen[i]) {
			f.lastSeen[i] = now
		}
	}
	return x
}

// update learns from one value with a variance of its own. It returns the bounded
// residual, and the variance that was expected of it.
func (f *filter) update(inputs []float64, value, measurementVariance float64) (residual, totalVariance float64) {
	n := len(f.mean)
	gain := make([]float64, n)
	predicted, stateVariance := 0.0, 0.0
	for i := range n {
		for j := range n {
			gain[i] += f.covarianceAt(i, j) * inputs[j]
		}
		predicted += f.mean[i] * inputs[i]
		stateVariance += gain[i] * inputs[i]
	}
	totalVariance = stateVariance + measurementVariance + f.noise
	limit := maxResidualDeviations * math.Sqrt(totalVariance)
	residual = min(max(value-predicted, -limit), limit)
	f.reports++
	f.noise += max(noiseWeight, 1/float64(f.reports+initialNoiseReports)) * (max(residual*residual-stateVariance-measurementVariance, minNoiseDeviation*minNoiseDeviation) - f.noise)
	for i := range n {
		f.mean[i] += gain[i] / totalVariance * residual
		for j := range n {
			f.covariance[i*n+j] -= gain[i] * gain[j] / totalVariance
		}
	}
	return residual, totalVariance
}

// decay adds the uncertainty of the time since the last report, and leads pairs
// that were not seen for some time back to the prior.
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

// addClass gives a class a row, in place of the one not seen for longest if all are
// taken.
func (f *filter) addClass(class unit.ClassID, now time.Time) {
	if len(f.classes) == maxClasses {
		oldest := 0
		for i := range f.lastSeen {
			if f.lastSeen[i].Before(f.lastSeen[oldest]) {
				oldest = i
			}
		}
		f.classes[oldest], f.lastSeen[oldest] = class, now
		n, row := len(f.mean), oldest+1
		for j := range n {
			f.covariance[row*n+j], f.covariance[j*n+row] = 0, 0
		}
		f.mean[row], f.covariance[row*n+row] = f.prior.Mean, f.prior.Deviation*f.prior.Deviation
		return
	}
	n := len(f.mean)
	wider := make([]float64, (n+1)*(n+1))
	for i := range n {
		copy(wider[i*(n+1):], f.covariance[i*n:(i+1)*n])
	}
	wider[n*(n+1)+n] = f.prior.Deviation * f.prior.Deviation
	f.covariance = wider
	f.mean = append(f.mean, f.prior.Mean)
	f.classes = append(f.classes, class)
	f.lastSeen = append(f.lastSeen, now)
}
