package route

import (
	"container/heap"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxQueuedPerClass is the maximum number of queued requests of one class, so that a
// burst of one class neither exhausts memory nor displaces requests of other classes.
const maxQueuedPerClass = 512

// queue holds the requests that wait for a slot of one service. Requests that can
// still meet their soft deadline come first, in the order of the soft deadlines. The
// others follow in the order of their deadlines: if they were also served in the
// order of their soft deadlines, overdue requests would delay all later requests
// beyond their soft deadlines.
type queue struct {
	onTime  requestHeap          // by soft deadline
	overdue requestHeap          // past their soft deadline, by deadline
	byClass map[unit.ClassID]int // number of requests of each class
}

func newQueue() *queue {
	return &queue{overdue: requestHeap{byDeadline: true}, byClass: map[unit.ClassID]int{}}
}

func (q *queue) len() int { return len(q.onTime.items) + len(q.overdue.items) }

// push adds a request.
func (q *queue) push(it *queuedRequest) {
	q.byClass[it.Class]++
	it.heap = &q.onTime
	heap.Push(it.heap, it)
}

// peek returns the next request to send, or nil if the queue is empty.
func (q *queue) peek(now time.Time) *queuedRequest {
	for len(q.onTime.items) > 0 && !now.Before(q.onTime.items[0].SoftDeadline) {
		it := heap.Pop(&q.onTime).(*queuedRequest)
		it.heap = &q.overdue
		heap.Push(it.heap, it)
	}
	switch {
	case len(q.onTime.items) > 0:
		return q.onTime.items[0]
	case len(q.overdue.items) > 0:
		return q.overdue.items[0]
	}
	return nil
}

// remove removes a queued request.
func (q *queue) remove(it *queuedRequest) {
	heap.Remove(it.heap, it.index)
	if q.byClass[it.Class]--; q.byClass[it.Class] == 0 {
		delete(q.byClass, it.Class)
	}
}

// queuedRequest is a request in a queue.
type queuedRequest struct {
	Request
	heap  *requestHeap
	index int
}

// requestHeap orders requests by soft deadline or by deadline. It implements
// heap.Interface.
type requestHeap struct {
	byDeadline bool
	items      []*queuedRequest
}

func (h *requestHeap) Len() int { return len(h.items) }

func (h *requestHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	x, y := a.SoftDeadline, b.SoftDeadline
	if h.byDeadline {
		x, y = a.Deadline, b.Deadline
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.Attempt < b.Attempt
}

func (h *requestHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	it := x.(*queuedRequest)
	it.index = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}
