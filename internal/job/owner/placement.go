package owner

import "time"

// placementShare is the largest share of the time that is spent on placing tasks. The rest
// is for heartbeats, orders and the lease of the owner record. Each report and
// each outcome of an order would otherwise lead to a pass, and with thousands of waiting
// tasks a pass takes longer than the time between two of them.
const placementShare = 0.25

// placementPacer spaces the placement passes by what they take.
type placementPacer struct {
	next time.Time // when the next pass may begin
}

// due reports whether a pass may begin.
func (p *placementPacer) due(now time.Time) bool { return !now.Before(p.next) }

// ended records a pass.
func (p *placementPacer) ended(began, ended time.Time) {
	p.next = ended.Add(time.Duration((1/placementShare - 1) * float64(ended.Sub(began))))
}
