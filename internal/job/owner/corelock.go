package owner

import (
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// coreLock is the lock of the core. It measures the time for which it is held, which is
// that of the core's work, and apart from that the time spent waiting for it.
type coreLock struct {
	mu       sync.Mutex
	lockedAt time.Time
}

// Lock implements sync.Locker.
func (l *coreLock) Lock() {
	if !l.mu.TryLock() {
		began := time.Now()
		l.mu.Lock()
		metric.AddLockWait(time.Since(began))
	}
	l.lockedAt = time.Now()
}

// Unlock implements sync.Locker.
func (l *coreLock) Unlock() {
	metric.CoreTimer.Since(l.lockedAt)
	l.mu.Unlock()
}
