// Package wait provides delays that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d or until the context ends. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
