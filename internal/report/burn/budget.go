package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Windows of the report. The short one shows the current burn rate; the long one is
// the period of the error budget.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

const (
	step  = 10 * time.Second // resolution of the windows
	steps = int(LongWindow / step)
	// maxCauses is the maximum number of causes that are counted per class.
	maxCauses = 64
	// maxReportedCauses is the maximum number of causes in a report per class.
	maxReportedCauses = 3
	// defaultObjective is the share of batch and standing samples that must meet
	// the target; the target document sets a percentile only for requests.
	defaultObjective = 0.99
)

// Kinds of causes of samples that missed the target.
const (
	CauseZone         = "zone"
	CauseWorker       = "worker"
	CauseInterference = "interference"
)

// Cause is a zone, worker or interfering class that bad samples have in common.
type Cause struct {
	Kind  string  `json:"kind"` // CauseZone, CauseWorker or CauseInterference
	Name  string  `json:"name"`
	Share float64 `json:"share"` // share of the bad samples of the long window, 0 to 1
}

// Point is the burn rate of one step of the long window.
type Point struct {
	Time time.Time `json:"time"`
	Burn float64   `json:"burn"`
}

// Line is the report on one class. At a burn rate of 1 the error budget is exhausted
// exactly at the end of its period.
type Line struct {
	Class       unit.ClassID `json:"class"`
	Good        uint64       `json:"good"`      // samples of the long window that met the target
	Bad         uint64       `json:"bad"`       // samples of the long window that missed it
	Allowed     float64      `json:"allowed"`   // share of samples that may miss the target
	Short       float64      `json:"short"`     // burn rate over ShortWindow
	Long        float64      `json:"long"`      // burn rate over LongWindow
	Left        float64      `json:"left"`      // remaining share of the budget, 0 to 1
	ExhaustedAt *time.Time   `json:"exhausted"` // when the budget will be exhausted at the short burn rate; null if that rate is not above 1 or nothing is left
	Causes      []Cause      `json:"causes,omitempty"`
	Points      []Point      `json:"points,omitempty"`
}

// Report is the burn report by class, over all entries that answered.
type Report struct {
	Time    time.Time      `json:"time"`
	Lines   []Line         `json:"lines"`
	Missing []unit.EntryID `json:"missing,omitempty"` // entries that did not answer
}

// Budgets counts the samples of all classes against their error budgets.
type Budgets struct {
	classes map[unit.ClassID]*budget
}

type budget struct {
	counts [steps]count // ring buffer; the step of time t is at stepOf(t) % steps
	causes map[causeKey]uint64
}

type count struct {
	step int64 // number of the step that the counts belong to
	good uint64
	bad  uint64
}

type causeKey struct{ kind, name string }

// NewBudgets returns budgets without samples.
func NewBudgets() *Budgets {
	return &Budgets{classes: map[unit.ClassID]*budget{}}
}

// Observe adds a sample.
func (b *Budgets) Observe(s Sample) {
	classBudget := b.budget(s.Class)
	c := classBudget.countOf(stepOf(s.Time))
	if s.Good {
		c.good++
		return
	}
	c.bad++
	classBudget.addCause(causeKey{CauseZone, string(s.Zone)}, 1)
	classBudget.addCause(causeKey{CauseWorker, string(s.Worker)}, 1)
	classBudget.addCause(causeKey{CauseInterference, string(s.Antagonist)}, 1)
}

// Report returns the report at now for the classes of the document.
func (b *Budgets) Report(now time.Time, doc *spec.Document) Report {
	r := Report{Time: now, Lines: []Line{}}
	for _, class := range doc.Classes {
		classBudget := b.classes[class.Name]
		if classBudget == nil {
			classBudget = &budget{}
		}
		r.Lines = append(r.Lines, classBudget.line(now, class))
	}
	return r
}

// stepOf returns the number of the step that contains a time.
func stepOf(t time.Time) int64 { return t.UnixNano() / int64(step) }

// budget returns the budget of a class, which it adds if needed.
func (b *Budgets) budget(class unit.ClassID) *budget {
	classBudget := b.classes[class]
	if classBudget == nil {
		classBudget = &budget{causes: map[causeKey]uint64{}}
		b.classes[class] = classBudget
	}
	return classBudget
}

// countOf returns the count of a step. A step older than the one in its place lies
// outside the long window; its samples are discarded.
func (b *budget) countOf(number int64) *count {
	c := &b.counts[(number%int64(steps)+int64(steps))%int64(steps)]
	switch {
	case c.step < number:
		*c = count{step: number}
	case c.step > number:
		return &count{}
	}
	return c
}

func (b *budget) addCause(k causeKey, n uint64) {
	if k.name == "" {
		return
	}
	if _, known := b.causes[k]; !known && len(b.causes) >= maxCauses {
		b.halveCauses()
	}
	b.causes[k] += n
}

// halveCauses halves the counts of all causes and removes those that become 0, so
// that recent causes replace old ones.
func (b *budget) halveCauses() {
	for k, n := range b.causes {
		if n /= 2; n == 0 {
			delete(b.causes, k)
		} else {
			b.causes[k] = n
		}
	}
}

func (b *budget) line(now time.Time, class spec.Class) Line {
	allowed := 1 - defaultObjective
	if class.Kind == spec.KindRequest && class.Target.Percentile > 0 {
		allowed = 1 - class.Target.Percentile/100
	}
	l := Line{Class: class.Name, Allowed: allowed}
	l.Good, l.Bad = b.sum(now, LongWindow)
	l.Long = rate(l.Good, l.Bad, allowed)
	good, bad := b.sum(now, ShortWindow)
	l.Short = rate(good, bad, allowed)
	l.Left = max(0, 1-l.Long)
	if l.Short > 1 && l.Left > 0 {
		at := now.Add(time.Duration(l.Left / l.Short * float64(LongWindow)))
		l.ExhaustedAt = &at
	}
	l.Causes = b.topCauses(l.Bad)
	l.Points = b.points(now, allowed)
	return l
}

// sum returns the number of good and bad samples in the window that ends at now.
func (b *budget) sum(now time.Time, window time.Duration) (good, bad uint64) {
	last := stepOf(now)
	first := last - int64(window/step) + 1
	for _, c := range b.counts {
		if c.step >= first && c.step <= last {
			good += c.good
			bad += c.bad
		}
	}
	return good, bad
}

// topCauses returns the most frequent causes with their share of the bad samples.
func (b *budget) topCauses(bad uint64) []Cause {
	var result []Cause
	for k, n := range b.causes {
		result = append(result, Cause{Kind: k.kind, Name: k.name, Share: min(1, float64(n)/float64(max(bad, 1)))})
	}
	slices.SortFunc(result, func(x, y Cause) int {
		return cmp.Or(cmp.Compare(y.Share, x.Share), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return result[:min(len(result), maxReportedCauses)]
}

// points returns the burn rate of each step of the long window that has samples.
func (b *budget) points(now time.Time, allowed float64) []Point {
	var result []Point
	last := stepOf(now)
	for at := last - int64(steps) + 1; at <= last; at++ {
		c := b.counts[(at%int64(steps)+int64(steps))%int64(steps)]
		if c.step == at && c.good+c.bad > 0 {
			result = append(result, Point{Time: time.Unix(0, at*int64(step)).UTC(), Burn: rate(c.good, c.bad, allowed)})
		}
	}
	return result
}

// rate returns the burn rate: the share of bad samples relative to the allowed one.
func rate(good, bad uint64, allowed float64) float64 {
	if good+bad == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / allowed
}
