package scheduler

import "time"

// policy decides the order and the place of tasks and how running tasks are adjusted.
type policy interface {
	// compare orders steps for placement; the smaller one goes first.
	compare(a, b *step, now time.Time) int
	// rank returns the rank of a step. The tasks of a step that remain once it ranks lower are
	// placed behind other steps.
	rank(s *step, now time.Time) int
	// arrange returns the steps, which are sorted by compare, in the order of placement. It
	// differs from the given one only while capacity is short.
	arrange(steps []*step, now time.Time) []*step
	// score returns how well an eligible worker with enough capacity suits a task.
	// Higher is better; at or below half of unfitScore the task waits.
	score(w *worker, t *task, now time.Time) float64
	// onReport adjusts what runs on a worker after its report.
	onReport(w *worker, now time.Time)
	// mayStopRuns reports whether runs may be stopped to free capacity for others or to
	// continue faster on another worker.
	mayStopRuns() bool
}

// adaptivePolicy is the default policy. It places by urgency and by the interference
// learned so far, and controls the pace of best-effort tasks.
type adaptivePolicy struct{ core *Core }

func (p adaptivePolicy) compare(a, b *step, now time.Time) int { return compareUrgency(a, b, now) }

func (p adaptivePolicy) rank(s *step, now time.Time) int { return s.rank(now) }

func (p adaptivePolicy) arrange(steps []*step, now time.Time) []*step {
	return p.core.arrangeBacklog(steps, now)
}

func (p adaptivePolicy) score(w *worker, t *task, now time.Time) float64 {
	return p.core.score(w, t, now)
}

func (p adaptivePolicy) onReport(w *worker, now time.Time) { p.core.adjustPaces(w, now) }

func (p adaptivePolicy) mayStopRuns() bool { return true }

// firstFitPolicy is a baseline against which adaptivePolicy is measured. It takes jobs
// in order of arrival and places each task on the first worker with enough capacity.
type firstFitPolicy struct{}

func (firstFitPolicy) compare(a, b *step, _ time.Time) int {
	return a.occurrence.job.spec.Accepted.Compare(b.occurrence.job.spec.Accepted)
}

func (firstFitPolicy) rank(*step, time.Time) int { return 0 }

func (firstFitPolicy) arrange(steps []*step, _ time.Time) []*step { return steps }

func (firstFitPolicy) score(*worker, *task, time.Time) float64 { return 0 }

func (firstFitPolicy) onReport(*worker, time.Time) {}

func (firstFitPolicy) mayStopRuns() bool { return false }
