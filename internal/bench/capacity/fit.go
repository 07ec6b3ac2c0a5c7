// Package capacity works out what the system costs at the size of the scale
// target. Probes measure the real packages at several sizes, a least-squares line
// through each series gives a slope, and a model adds the slopes up by role.
//
// Bytes, messages and allocations are counts and repeat exactly, or nearly so.
// Processor times are noisy; each comes with its spread over repeated runs.
package capacity

import (
	"math"
	"slices"

	"github.com/go-faster/errors"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
	// Spread is the range of repeated runs, relative to Y, their median.
	Spread float64 `json:"spread,omitempty"`
}

// Line is the least-squares line through the points of a series.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Worst is the largest distance of a point from the line, relative to the
	// largest Y.
	Worst float64 `json:"worst"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the line through the points. It needs two distinct sizes.
func Fit(points []Point) (Line, error) {
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	var across, along float64
	for _, p := range points {
		across += (p.X - meanX) * (p.Y - meanY)
		along += (p.X - meanX) * (p.X - meanX)
	}
	if along == 0 {
		return Line{}, errors.Errorf("fit %d points: fewer than two sizes", len(points))
	}
	l := Line{Slope: across / along}
	l.Intercept = meanY - l.Slope*meanX
	var worst, largest float64
	for _, p := range points {
		worst = max(worst, math.Abs(p.Y-l.At(p.X)))
		largest = max(largest, math.Abs(p.Y))
	}
	if largest > 0 {
		l.Worst = worst / largest
	}
	return l, nil
}

// median returns the median of the values and their range relative to it.
func median(values []float64) (middle, spread float64) {
	sorted := slices.Sorted(slices.Values(values))
	middle = sorted[len(sorted)/2]
	if len(sorted)%2 == 0 {
		middle = (middle + sorted[len(sorted)/2-1]) / 2
	}
	if middle != 0 {
		spread = (sorted[len(sorted)-1] - sorted[0]) / middle
	}
	return middle, spread
}
