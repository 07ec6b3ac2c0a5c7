package route

import (
	"container/heap"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxQueue bounds the waiting requests of one class, so that a flood of one class
// takes neither memory nor the places of another.
const maxQueue = 512

// queue holds the requests that wait for a slot of one service. Requests that can
// still meet the bound of their class come first, in the order of their bounds.
// The others follow in the order of their deadlines: served in the order of
// bounds, late requests would make every later one late as well.
type queue struct {
	timely  waiting
	late    waiting
	byClass map[unit.ClassID]int
}

func newQueue() *queue {
	return &queue{late: waiting{byDeadline: true}, byClass: map[unit.ClassID]int{}}
}

func (q *queue) len() int { return len(q.timely.items) + len(q.late.items) }

func (q *queue) push(it *item) {
	q.byClass[it.Class]++
	it.in = &q.timely
	heap.Push(it.in, it)
}

// peek returns the next request, or nil.
func (q *queue) peek(now time.Time) *item {
	for len(q.timely.items) > 0 && !now.Before(q.timely.items[0].SoftDeadline) {
		it := heap.Pop(&q.timely).(*item)
		it.in = &q.late
		heap.Push(it.in, it)
	}
	switch {
	case len(q.timely.items) > 0:
		return q.timely.items[0]
	case len(q.late.items) > 0:
		return q.late.items[0]
	}
	return nil
}

func (q *queue) remove(it *item) {
	heap.Remove(it.in, it.index)
	if q.byClass[it.Class]--; q.byClass[it.Class] == 0 {
		delete(q.byClass, it.Class)
	}
}

// item is a waiting request.
type item struct {
	Request
	in    *waiting
	index int
}

// waiting implements heap.Interface.
type waiting struct {
	byDeadline bool
	items      []*item
}

func (w *waiting) Len() int { return len(w.items) }

func (w *waiting) Less(i, j int) bool {
	a, b := w.items[i], w.items[j]
	x, y := a.SoftDeadline, b.SoftDeadline
	if w.byDeadline {
		x, y = a.Deadline, b.Deadline
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.Attempt < b.Attempt
}

func (w *waiting) Swap(i, j int) {
	w.items[i], w.items[j] = w.items[j], w.items[i]
	w.items[i].index, w.items[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiting) Push(x any) {
	it := x.(*item)
	it.index = len(w.items)
	w.items = append(w.items, it)
}

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	last := len(w.items) - 1
	it := w.items[last]
	w.items[last] = nil
	w.items = w.items[:last]
	return it
}
