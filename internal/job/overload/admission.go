package overload

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// AdmitBySlack is by objective among the work that the fleet can complete in time together.
// Where all of it cannot, the work with least value for its remaining work is placed behind,
// as the algorithm of Moore and Hodgson leaves out the longest.
func AdmitBySlack(now time.Time, cores float64, works []Work) []Place {
	places := LateBehind(now, cores, works)
	if cores <= 0 {
		return places
	}
	var timely []int
	for i := range places {
		if places[i].Class == Timely && !works[i].LongRunning {
			timely = append(timely, i)
		}
	}
	slices.SortStableFunc(timely, func(a, b int) int { return cmp.Compare(places[a].Key, places[b].Key) })
	admitted := &leastDense{works: works}
	var load CoreSeconds
	for _, i := range timely {
		heap.Push(admitted, i)
		load += works[i].Remaining
		for float64(load)/cores > works[i].Objective.Sub(now).Seconds() && admitted.Len() > 0 {
			left := heap.Pop(admitted).(int)
			load -= works[left].Remaining
			places[left].Key += behind / 2 // before the late work
		}
	}
	return places
}

// leastDense is a heap of indices of work, with the least value for its remaining work
// first. It implements heap.Interface.
type leastDense struct {
	works []Work
	items []int
}

// Len implements heap.Interface.
func (h *leastDense) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *leastDense) Less(i, j int) bool {
	return h.works[h.items[i]].workByValue() > h.works[h.items[j]].workByValue()
}

// Swap implements heap.Interface.
func (h *leastDense) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *leastDense) Push(x any) { h.items = append(h.items, x.(int)) }

// Pop implements heap.Interface.
func (h *leastDense) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items = h.items[:last]
	return item
}
