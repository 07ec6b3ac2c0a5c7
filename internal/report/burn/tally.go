package burn

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Tally holds the counts of one class at one entry, over the long window. The sum of
// the tallies of all entries is that of the deployment.
type Tally struct {
	Class  unit.ClassID `cbor:"1,keyasint"`
	Steps  []Step       `cbor:"2,keyasint,omitempty"` // steps with samples, in any order
	Causes []CauseCount `cbor:"3,keyasint,omitempty"`
}

// Step counts the samples of one time step.
type Step struct {
	Number int64  `cbor:"1,keyasint"` // number of the 10 s step since the Unix epoch
	Good   uint64 `cbor:"2,keyasint"`
	Bad    uint64 `cbor:"3,keyasint,omitempty"`
}

// CauseCount is the number of bad samples with one cause.
type CauseCount struct {
	Kind  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Count uint64 `cbor:"3,keyasint"`
}

// Tallies returns the tally of each class.
func (b *Budgets) Tallies(now time.Time) []Tally {
	first := stepOf(now) - int64(steps) + 1
	var all []Tally
	for class, classBudget := range b.classes {
		t := Tally{Class: class}
		for _, c := range classBudget.counts {
			if c.step >= first && c.good+c.bad > 0 {
				t.Steps = append(t.Steps, Step{Number: c.step, Good: c.good, Bad: c.bad})
			}
		}
		for k, n := range classBudget.causes {
			t.Causes = append(t.Causes, CauseCount{Kind: k.kind, Name: k.name, Count: n})
		}
		all = append(all, t)
	}
	return all
}

// Add adds the tallies of another entry.
func (b *Budgets) Add(tallies []Tally) {
	for _, t := range tallies {
		classBudget := b.budget(t.Class)
		for _, s := range t.Steps {
			c := classBudget.countOf(s.Number)
			c.good += s.Good
			c.bad += s.Bad
		}
		for _, cause := range t.Causes {
			classBudget.addCause(causeKey{cause.Kind, cause.Name}, cause.Count)
		}
	}
}
