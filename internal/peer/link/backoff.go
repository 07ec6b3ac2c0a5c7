package link

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before a dial is retried. The upper bound is
// at most the time that the registration of a returning peer takes to appear.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// backoff returns the delay after the given number of consecutive failures, at
// least 1. The delay doubles with each failure, up to maxBackoff; half of it is
// random, so that entries do not dial at the same time.
func backoff(failures int, random *rand.Rand) time.Duration {
	delay := maxBackoff
	if shift := failures - 1; shift < 5 {
		delay = min(maxBackoff, minBackoff<<shift)
	}
	return delay/2 + time.Duration(random.Int64N(int64(delay/2)))
}
