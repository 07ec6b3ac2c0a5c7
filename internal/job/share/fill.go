// Package share computes the fair shares of organisations: which jobs are within the rate of
// their organisation, and which organisations run more than their share. The package does no
// I/O and reads no clock.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Claim is what an organisation with work would use of the capacity.
type Claim struct {
	Weight float64
	Demand float64 // share of the capacity
}

// Level returns the share of the capacity for each unit of weight at which the claims fill it:
// a claim with less demand than its weight gives gets its demand, and what is left goes to the
// others by weight. It is infinite if the claims do not fill the capacity. The claims are
// sorted in place.
func Level(claims []Claim, capacity float64) float64 {
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight) })
	weight := 0.0
	for _, c := range claims {
		weight += c.Weight
	}
	left := capacity
	for _, c := range claims {
		level := left / weight
		if c.Demand > level*c.Weight {
			return max(level, 0)
		}
		left -= c.Demand
		weight -= c.Weight
	}
	return math.Inf(1)
}

// Dominant returns the largest share of the capacity, over all resources, that is used.
func Dominant(used, capacity unit.Resources) float64 {
	return max(
		ratio(int64(used.Cores), int64(capacity.Cores)),
		ratio(int64(used.Memory), int64(capacity.Memory)),
		ratio(int64(used.Accelerators), int64(capacity.Accelerators)),
	)
}

func ratio(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// validWeight returns the weight that counts: one that is not positive counts as 1.
func validWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 1) { // also replaces NaN
		return 1
	}
	return w
}
