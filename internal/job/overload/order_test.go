package overload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
)

var testStart = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// named is work with a name for the tables.
type named struct {
	name string
	Work
}

// newWork returns work of 100 core-seconds and mean value that was due some seconds before
// testStart, with a chain of 4 s and an objective 10 s after its due time.
func newWork(name string, age float64, change func(*Work)) named {
	w := Work{
		Due: at(-age), Objective: at(10 - age), Useful: at(30 - age), Chain: 4 * time.Second,
		Spread: 0.3, Remaining: 100, Value: 1,
	}
	if change != nil {
		change(&w)
	}
	return named{name, w}
}

// names returns the names in the order of their places.
func names(order Order, works []named, now time.Time) []string {
	plain := make([]Work, len(works))
	index := make([]int, len(works))
	for i, w := range works {
		plain[i], index[i] = w.Work, i
	}
	places := order(now, 100, plain)
	slices.SortStableFunc(index, func(a, b int) int { return cmp.Compare(places[a].Key, places[b].Key) })
	var sorted []string
	for _, i := range index {
		sorted = append(sorted, works[i].name)
	}
	return sorted
}

// TestOrders guards against a backlog that goes before work which can still meet its
// objective, as it does by deadline alone on a day with more work than capacity, and against
// the other faults that the cases name.
func TestOrders(t *testing.T) {
	tests := []struct {
		name  string
		order Order
		works []named
		want  []string
	}{
		{"backlog by deadline", EarliestDeadline, []named{newWork("new", 0, nil), newWork("late", 9, nil)}, []string{"late", "new"}},
		{"backlog after a burst", ExpectedValue, []named{newWork("late", 9, nil), newWork("new", 0, nil)}, []string{"new", "late"}},
		{"backlog, late behind", LateBehind, []named{newWork("late", 9, nil), newWork("new", 0, nil)}, []string{"new", "late"}},
		{"of no use, the oldest first", ExpectedValue, []named{newWork("useless", 50, nil), newWork("older", 60, nil), newWork("late", 20, nil)}, []string{"late", "older", "useless"}},
		{"begun before others", ExpectedValue, []named{
			newWork("new", 2, nil), newWork("begun", 2, func(w *Work) { w.Remaining, w.Done = 50, 50 }),
		}, []string{"begun", "new"}},
		{"large work of as much value for its work", ExpectedValue, []named{
			newWork("small", 0, func(w *Work) { w.Remaining, w.Value = 50, 0.5 }), newWork("large", 0, func(w *Work) { w.Remaining, w.Value = 300, 3 }),
		}, []string{"large", "small"}},
		{"uncertain durations", ExpectedValue, []named{
			newWork("certain", 7, func(w *Work) { w.Spread = 0.05 }), newWork("uncertain", 7, func(w *Work) { w.Spread = 1 }),
		}, []string{"uncertain", "certain"}},
		{"long-running by due time", ExpectedValue, []named{
			newWork("second", 1, func(w *Work) { w.LongRunning = true }), newWork("first", 2, func(w *Work) { w.LongRunning = true }),
		}, []string{"first", "second"}},
		{"more than fits, the least value behind", AdmitBySlack, []named{
			newWork("poor", 2, func(w *Work) { w.Remaining, w.Value = 700, 0.5 }), newWork("rich", 0, func(w *Work) { w.Remaining, w.Value = 700, 2 }),
		}, []string{"rich", "poor"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := gocmp.Diff(tt.want, names(tt.order, tt.works, testStart)); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSteadyOrder guards against an order that oscillates with small changes of estimates: on a full fleet
// two jobs would take turns with each task and both be late.
func TestSteadyOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	begun := newWork("begun", 3, func(w *Work) { w.Remaining, w.Done = 70, 30 })
	other := newWork("other", 3, nil)
	for i := range 200 {
		works := []named{other, begun}
		for n := range works {
			factor := math.Exp(0.05 * random.NormFloat64())
			works[n].Chain = time.Duration(factor * float64(works[n].Chain))
			works[n].Remaining *= CoreSeconds(factor)
		}
		if got := names(ExpectedValue, works, at(float64(i)/40))[0]; got != "begun" {
			t.Fatalf("%s goes first at step %d", got, i)
		}
	}
}

// TestClass guards against a class that follows each change of an estimate, and against
// work that is given up as its uncertain duration is overestimated.
func TestClass(t *testing.T) {
	change := func(f func(*Work)) named { return newWork("", 0, f) }
	tests := []struct {
		name string
		work named
		now  time.Time
		want Class
	}{
		{"in time", change(nil), at(0), Timely},
		{"expected late, maybe in time", change(nil), at(6.5), Timely},
		{"late for certain", change(func(w *Work) { w.Spread = 0.05 }), at(6.5), Late},
		{"late even if short", change(nil), at(7.5), Late},
		{"of no use", change(nil), at(29), Useless},
		{"long-running", change(func(w *Work) { w.LongRunning = true }), at(100), Timely},
		{"was late, little time to spare", change(func(w *Work) { w.Class = Late }), at(6.5), Late},
		{"was late, time to spare", change(func(w *Work) { w.Class = Late }), at(5), Timely},
		{"was of no use, time to spare", change(func(w *Work) { w.Class = Useless }), at(20), Late},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Classify(&tt.work.Work, tt.now); got != tt.want {
				t.Errorf("class %v, want %v", got, tt.want)
			}
		})
	}
}
