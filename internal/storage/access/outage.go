package access

import (
	"maps"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// confirmationMaxAge is how long the report of a peer that the store does not answer it
// counts, and notReachedMaxAge how long a peer counts as not reached unless it answers.
const (
	confirmationMaxAge = 2 * time.Second
	notReachedMaxAge   = 5 * time.Second
)

// minOutageReports is how many peers have to report that the store does not answer them,
// or more than half of all peers if that is fewer.
const minOutageReports = 3

// peerReport is what a peer that was asked to relay a call has shown.
type peerReport struct {
	askedAt   time.Time
	settledAt time.Time // when it answered or was given up; zero: neither yet
	noStore   bool      // it reported that the store does not answer it; false: it was not reached
}

// peerReports are the latest reports of the peers.
type peerReports map[unit.EntryID]peerReport

// ask records that a peer is asked to relay a call.
func (p peerReports) ask(id unit.EntryID, now time.Time) {
	r := p[id]
	r.askedAt = now
	p[id] = r
}

// settle records what a peer has shown.
func (p peerReports) settle(id unit.EntryID, noStore bool, now time.Time) {
	r := p[id]
	r.settledAt, r.noStore = now, noStore
	p[id] = r
}

// forget drops the reports that no longer count.
func (p peerReports) forget(now time.Time) {
	maps.DeleteFunc(p, func(_ unit.EntryID, r peerReport) bool {
		return now.Sub(r.askedAt) >= notReachedMaxAge && now.Sub(r.settledAt) >= notReachedMaxAge
	})
}

// showOutage reports whether the store answers none of the peers, as far as their recent
// reports tell. Entries that are cut off together from all others reach each other, so
// the reports have to outnumber the peers that were not reached.
func (p peerReports) showOutage(peers int, now time.Time) bool {
	without, notReached := 0, 0
	for _, r := range p {
		age := now.Sub(r.settledAt)
		switch {
		case r.noStore && age < confirmationMaxAge:
			without++
		case !r.noStore && age < notReachedMaxAge:
			notReached++
		}
	}
	return without > notReached && without >= min(peers/2+1, minOutageReports)
}
