package intake

import (
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Parts of the memory that the owner has for jobs. An entry submits that much at most without
// having heard from the owner what is left of it, and a job takes at most a part of that, so
// that small ones still get in beside large ones.
const (
	windowDivisor = 8
	// windowJobDivisor is the inverse of the part of what is left of the window.
	windowJobDivisor = 2
	// windowDelay is the time after which the owner has mostly answered.
	windowDelay = time.Second
)

// window accounts for the jobs that the owner does not know yet.
type window struct {
	limit unit.Bytes // 0: none

	mu   sync.Mutex
	used unit.Bytes // by jobs that are being submitted
}

// enter accounts for a job that is being submitted, beside a number of bytes for which notices
// are queued. It fails if the job takes too much. A single one never does.
func (w *window) enter(job *graph.Job, queued unit.Bytes) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.used + queued
	if w.limit > 0 && taken > 0 && job.Memory() > (w.limit-taken)/windowJobDivisor {
		return false
	}
	w.used += job.Memory()
	return true
}

// add accounts for a job like enter, whatever it takes.
func (w *window) add(job *graph.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used += job.Memory()
}

// leave accounts for a job of which the outcome is known. If it was accepted, its notice is
// queued by now.
func (w *window) leave(job *graph.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used -= job.Memory()
}
