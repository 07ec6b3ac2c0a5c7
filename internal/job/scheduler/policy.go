package scheduler

import "time"

// policy decides what goes first, where it goes and how what runs is adapted.
type policy interface {
	// compare orders steps; the one to place first is less.
	compare(a, b *step, now time.Time) int
	// score returns how well an eligible worker with room suits a task; more is
	// better, and unfit or less means that the task waits.
	score(w *worker, t *task, now time.Time) float64
	// onReport acts on a report of a worker.
	onReport(w *worker, now time.Time)
	// mayStopRuns reports whether tasks may be stopped so that others or they themselves
	// run better elsewhere.
	mayStopRuns() bool
}

// adaptivePolicy is the policy of the product.
type adaptivePolicy struct{ core *Core }

func (p adaptivePolicy) compare(a, b *step, now time.Time) int { return compareUrgency(a, b, now) }

func (p adaptivePolicy) score(w *worker, t *task, now time.Time) float64 {
	return p.core.score(w, t, now)
}

func (p adaptivePolicy) onReport(w *worker, now time.Time) { p.core.adjustPaces(w, now) }

func (p adaptivePolicy) mayStopRuns() bool { return true }

// firstFitPolicy is a plain baseline to measure the product against: jobs in the order
// of their arrival, each task on the first worker with room.
type firstFitPolicy struct{}

func (firstFitPolicy) compare(a, b *step, _ time.Time) int {
	return a.occurrence.job.spec.Accepted.Compare(b.occurrence.job.spec.Accepted)
}

func (firstFitPolicy) score(*worker, *task, time.Time) float64 { return 0 }

func (firstFitPolicy) onReport(*worker, time.Time) {}

func (firstFitPolicy) mayStopRuns() bool { return false }
