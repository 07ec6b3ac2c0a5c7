package burn

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Tally is what one entry counted of one class within the long window. The
// tallies of all entries add up to those of the deployment.
type Tally struct {
	Class  unit.ClassID `cbor:"1,keyasint"`
	Steps  []Step       `cbor:"2,keyasint,omitempty"` // those with samples, in any order
	Causes []CauseCount `cbor:"3,keyasint,omitempty"`
}

// Step counts the samples of one step of time.
type Step struct {
	Number int64  `cbor:"1,keyasint"` // since the Unix epoch, in steps of 10 s
	Good   uint64 `cbor:"2,keyasint"`
	Bad    uint64 `cbor:"3,keyasint,omitempty"`
}

// CauseCount counts the bad samples of one cause.
type CauseCount struct {
	Kind  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Count uint64 `cbor:"3,keyasint"`
}

// Tallies returns the tally of each class.
func (a *Budgets) Tallies(now time.Time) []Tally {
	first := stepOf(now) - int64(steps) + 1
	var all []Tally
	for class, acc := range a.classes {
		t := Tally{Class: class}
		for _, c := range acc.counts {
			if c.step >= first && c.good+c.bad > 0 {
				t.Steps = append(t.Steps, Step{Number: c.step, Good: c.good, Bad: c.bad})
			}
		}
		for k, n := range acc.causes {
			t.Causes = append(t.Causes, CauseCount{Kind: k.kind, Name: k.name, Count: n})
		}
		all = append(all, t)
	}
	return all
}

// Add adds the tallies of another entry.
func (a *Budgets) Add(tallies []Tally) {
	for _, t := range tallies {
		acc := a.budget(t.Class)
		for _, s := range t.Steps {
			c := acc.at(s.Number)
			c.good += s.Good
			c.bad += s.Bad
		}
		for _, b := range t.Causes {
			acc.blame(causeKey{b.Kind, b.Name}, b.Count)
		}
	}
}
