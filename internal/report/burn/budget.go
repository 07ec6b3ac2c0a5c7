package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Windows of the report. The short one shows what happens now; the long one is
// the period over which the error budget is counted.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

const (
	step  = 10 * time.Second // resolution of the windows
	steps = int(LongWindow / step)
	// maxCauses bounds the causes kept per class and period of blame.
	maxCauses = 64
	// maxBlamed is how many causes a report names per class.
	maxBlamed = 3
	// defaultGood is the share of batch and standing samples that must meet
	// the target; the target document states a percentile only for requests.
	defaultGood = 0.99
)

// Causes of samples that missed the target.
const (
	CauseZone         = "zone"
	CauseWorker       = "worker"
	CauseInterference = "interference"
)

// Cause is something that bad samples have in common.
type Cause struct {
	Kind  string  `json:"kind"` // one of the causes above
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the bad samples of the long window, 0 to 1
}

// Point is the burn rate of one step of the long window.
type Point struct {
	Time time.Time `json:"time"`
	Burn float64   `json:"burn"`
}

// Line is the report on one class. A burn rate of 1 uses up the error budget
// exactly within its period.
type Line struct {
	Class       unit.ClassID `json:"class"`
	Good        uint64       `json:"good"`      // samples of the long window that met the target
	Bad         uint64       `json:"bad"`       // samples of the long window that missed it
	Allowed     float64      `json:"allowed"`   // share of samples that may miss the target
	Short       float64      `json:"short"`     // burn rate over ShortWindow
	Long        float64      `json:"long"`      // burn rate over LongWindow
	Left        float64      `json:"left"`      // share of the budget that is left, 0 to 1
	ExhaustedAt *time.Time   `json:"exhausted"` // when the budget is used up at the short rate; null if it is not in sight
	Causes      []Cause      `json:"causes,omitempty"`
	Points      []Point      `json:"points,omitempty"`
}

// Report is the burn report by class, over all entries that answered.
type Report struct {
	Time    time.Time      `json:"time"`
	Lines   []Line         `json:"lines"`
	Missing []unit.EntryID `json:"missing,omitempty"` // entries that did not answer
}

// Budgets counts the samples of all classes.
type Budgets struct {
	classes map[unit.ClassID]*budget
}

type budget struct {
	counts [steps]count // ring; the step of time t is at stepOf(t) % steps
	causes map[causeKey]uint64
}

type count struct {
	step int64 // which step of time the counts belong to
	good uint64
	bad  uint64
}

type causeKey struct{ kind, name string }

// NewBudgets returns accounts without samples.
func NewBudgets() *Budgets {
	return &Budgets{classes: map[unit.ClassID]*budget{}}
}

// Observe adds a sample.
func (a *Budgets) Observe(s Sample) {
	acc := a.budget(s.Class)
	c := acc.at(stepOf(s.Time))
	if s.Good {
		c.good++
		return
	}
	c.bad++
	acc.blame(causeKey{CauseZone, string(s.Zone)}, 1)
	acc.blame(causeKey{CauseWorker, string(s.Worker)}, 1)
	acc.blame(causeKey{CauseInterference, string(s.Antagonist)}, 1)
}

// Report returns the report at now for the classes of the document.
func (a *Budgets) Report(now time.Time, doc *spec.Document) Report {
	r := Report{Time: now, Lines: []Line{}}
	for _, class := range doc.Classes {
		acc := a.classes[class.Name]
		if acc == nil {
			acc = &budget{}
		}
		r.Lines = append(r.Lines, acc.line(now, class))
	}
	return r
}

func stepOf(t time.Time) int64 { return t.UnixNano() / int64(step) }

func (a *Budgets) budget(class unit.ClassID) *budget {
	acc := a.classes[class]
	if acc == nil {
		acc = &budget{causes: map[causeKey]uint64{}}
		a.classes[class] = acc
	}
	return acc
}

// at returns the counts of a step. A step older than the one in its place would
// lie outside the long window and is counted nowhere.
func (a *budget) at(number int64) *count {
	c := &a.counts[(number%int64(steps)+int64(steps))%int64(steps)]
	switch {
	case c.step < number:
		*c = count{step: number}
	case c.step > number:
		return &count{}
	}
	return c
}

func (a *budget) blame(k causeKey, n uint64) {
	if k.name == "" {
		return
	}
	if _, known := a.causes[k]; !known && len(a.causes) >= maxCauses {
		a.halveCauses()
	}
	a.causes[k] += n
}

// halveCauses makes room by ageing all causes and dropping those that vanish.
func (a *budget) halveCauses() {
	for k, n := range a.causes {
		if n /= 2; n == 0 {
			delete(a.causes, k)
		} else {
			a.causes[k] = n
		}
	}
}

func (a *budget) line(now time.Time, class spec.Class) Line {
	allowed := 1 - defaultGood
	if class.Kind == spec.KindRequest && class.Target.Percentile > 0 {
		allowed = 1 - class.Target.Percentile/100
	}
	l := Line{Class: class.Name, Allowed: allowed}
	l.Good, l.Bad = a.sum(now, LongWindow)
	l.Long = rate(l.Good, l.Bad, allowed)
	good, bad := a.sum(now, ShortWindow)
	l.Short = rate(good, bad, allowed)
	l.Left = max(0, 1-l.Long)
	if l.Short > 1 && l.Left > 0 {
		at := now.Add(time.Duration(l.Left / l.Short * float64(LongWindow)))
		l.ExhaustedAt = &at
	}
	l.Causes = a.topCauses(l.Bad)
	l.Points = a.points(now, allowed)
	return l
}

// sum adds up the counts of the window that ends at now.
func (a *budget) sum(now time.Time, window time.Duration) (good, bad uint64) {
	last := stepOf(now)
	first := last - int64(window/step) + 1
	for _, c := range a.counts {
		if c.step >= first && c.step <= last {
			good += c.good
			bad += c.bad
		}
	}
	return good, bad
}

func (a *budget) topCauses(bad uint64) []Cause {
	var found []Cause
	for k, n := range a.causes {
		found = append(found, Cause{Kind: k.kind, Name: k.name, Share: min(1, float64(n)/float64(max(bad, 1)))})
	}
	slices.SortFunc(found, func(x, y Cause) int {
		return cmp.Or(cmp.Compare(y.Share, x.Share), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return found[:min(len(found), maxBlamed)]
}

func (a *budget) points(now time.Time, allowed float64) []Point {
	var found []Point
	last := stepOf(now)
	for at := last - int64(steps) + 1; at <= last; at++ {
		c := a.counts[(at%int64(steps)+int64(steps))%int64(steps)]
		if c.step == at && c.good+c.bad > 0 {
			found = append(found, Point{Time: time.Unix(0, at*int64(step)).UTC(), Burn: rate(c.good, c.bad, allowed)})
		}
	}
	return found
}

// rate returns the burn rate of counts against the allowed share of bad samples.
func rate(good, bad uint64, allowed float64) float64 {
	if good+bad == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / allowed
}
