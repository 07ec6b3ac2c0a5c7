package scheduler

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// candidate is a worker that can take a task of a step.
type candidate struct {
	worker   *worker
	score    float64
	position int // in the list of the service's open workers; the first of equals is chosen
}

// candidateHeap is a heap with the best candidate at index 0. It implements
// heap.Interface.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].score, h[i].score), cmp.Compare(h[i].position, h[j].position)) < 0
}

// Swap implements heap.Interface.
func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// candidates ranks the workers for the tasks of one step during one placement pass. All
// workers are scored for the first task only: the start of a task changes the score of
// its own worker alone. Scoring them for each task would make the time of a pass, in
// which no heartbeat is handled, grow with the tasks times the workers.
type candidates struct {
	core   *Core
	now    time.Time
	heap   candidateHeap
	ranked bool // the heap is up to date but for its first element
}

// newCandidates returns the candidates for the tasks of one step. They use a buffer of
// the core, so one step is placed at a time.
func (c *Core) newCandidates(now time.Time) *candidates {
	c.candidates = candidates{core: c, now: now, heap: c.candidates.heap[:0]}
	return &c.candidates
}

// best returns the worker with the best score for a task of the step, or nil if no
// eligible worker has the capacity. The caller starts the task there before the next
// call.
func (q *candidates) best(t *task) *worker {
	switch {
	case t.avoidedWorker != "" || len(t.runs) > 0:
		// Its scores differ from those for the other tasks, and its start changes one of
		// theirs.
		q.ranked = false
		return q.core.chooseWorker(t, q.now)
	case q.ranked:
		q.rescoreFirst(t)
	default:
		q.rank(t)
	}
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0].worker
}

// rank scores all workers for a task.
func (q *candidates) rank(t *task) {
	q.heap = q.heap[:0]
	for i, w := range q.core.openWorkersOf(t.job().spec.Queue.Service, q.now) {
		if score, ok := q.core.scoreOpen(w, t, q.now); ok {
			q.heap = append(q.heap, candidate{w, score, i})
		}
	}
	heap.Init(&q.heap)
	q.ranked = true
}

// rescoreFirst scores the first candidate again, on which the last task has started.
func (q *candidates) rescoreFirst(t *task) {
	if len(q.heap) == 0 {
		return
	}
	score, ok := q.core.scoreOpen(q.heap[0].worker, t, q.now)
	if !ok {
		heap.Pop(&q.heap)
		return
	}
	q.heap[0].score = score
	heap.Fix(&q.heap, 0)
}

// scoreIfFit returns the score of a worker for a task, or false if the worker is not
// eligible, lacks the capacity or is unfit by its score.
func (c *Core) scoreIfFit(w *worker, t *task, now time.Time) (float64, bool) {
	if !c.isOpen(w, now) {
		return 0, false
	}
	return c.scoreOpen(w, t, now)
}

// openWorkersOf returns the workers of a service that are open during the current placement
// pass.
func (c *Core) openWorkersOf(service unit.ServiceID, now time.Time) []*worker {
	open, ok := c.openWorkers[service]
	if ok {
		return open
	}
	open = make([]*worker, 0, len(c.workersByService[service]))
	for _, w := range c.workersByService[service] {
		if c.isOpen(w, now) {
			open = append(open, w)
		}
	}
	c.openWorkers[service] = open
	return open
}

// scoreOpen is like scoreIfFit for a worker that is open.
func (c *Core) scoreOpen(w *worker, t *task, now time.Time) (float64, bool) {
	if !w.fits(t.step.spec) {
		return 0, false
	}
	if _, ok := t.step.ticketFor(w, now); !ok || !w.suits(t, now) {
		return 0, false
	}
	score := c.policy.score(w, t, now)
	return score, score > unfitScore/2
}

// chooseWorker returns the worker with the best score for a task, or nil if no
// eligible worker has the capacity.
func (c *Core) chooseWorker(t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.workersByService[t.job().spec.Queue.Service] {
		score, ok := c.scoreIfFit(w, t, now)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}
