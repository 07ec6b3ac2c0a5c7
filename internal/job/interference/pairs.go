package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Pair is the estimate for a class of requests and a batch class: the rise of the
// logarithm of the latency if the batch class takes all cores. With an empty batch
// class, Rise is the logarithm of the latency in seconds without batch work.
type Pair struct {
	Requests  unit.ClassID `cbor:"1,keyasint"`
	Batch     unit.ClassID `cbor:"2,keyasint,omitempty"`
	Band      Band         `cbor:"3,keyasint,omitempty"`
	Rise      float32      `cbor:"4,keyasint"`
	Deviation float32      `cbor:"5,keyasint"`
}

// Finite reports whether the estimate consists of finite numbers.
func (p Pair) Finite() bool {
	sum := float64(p.Rise) + float64(p.Deviation) // not finite unless both are
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// Pairs returns all estimates in a stable order, so that another process can
// restore them.
func (m *Model) Pairs() []Pair {
	var pairs []Pair
	for requests, bands := range m.filters {
		for b, f := range bands {
			if f == nil {
				continue
			}
			for i := range f.mean {
				p := Pair{Requests: requests, Band: Band(b), Rise: float32(f.mean[i]), Deviation: float32(math.Sqrt(max(f.covarianceAt(i, i), 0)))}
				if i > 0 {
					p.Batch = f.classes[i-1]
				}
				pairs = append(pairs, p)
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		switch {
		case a.Requests != b.Requests:
			return compare(a.Requests, b.Requests)
		case a.Band != b.Band:
			return int(a.Band) - int(b.Band)
		}
		return compare(a.Batch, b.Batch)
	})
	return pairs
}

// compare orders two class ids.
func compare(a, b unit.ClassID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Restore loads the pairs of another model into a model without observations. The
// pairs lack the covariance between classes, which is learned again.
func (m *Model) Restore(pairs []Pair, now time.Time) {
	for _, p := range pairs {
		if p.Band >= BandCount {
			continue
		}
		bands, ok := m.filters[p.Requests]
		if !ok {
			bands = &[BandCount]*filter{}
			m.filters[p.Requests] = bands
		}
		f := bands[p.Band]
		if f == nil {
			f = &filter{
				prior: m.prior, mean: []float64{0}, covariance: []float64{baselineDeviation * baselineDeviation},
				noiseVariance: initialNoiseDeviation * initialNoiseDeviation, updated: now,
			}
			bands[p.Band] = f
		}
		row := 0
		if p.Batch != "" {
			if _, ok := f.rows[p.Batch]; !ok {
				f.addClass(p.Batch, now)
			}
			row = f.rows[p.Batch]
		}
		f.mean[row] = float64(p.Rise)
		f.covariance[row*len(f.mean)+row] = float64(p.Deviation) * float64(p.Deviation)
	}
}
