package link

import (
	"math/rand/v2"
	"time"
)

// Bounds of the pause before a dial is repeated. The upper one keeps a peer that
// returns from waiting longer than its registration takes to appear.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// backoff returns the pause after the given number of failures in a row, from 1:
// it doubles, and half of it is random so that entries do not dial in step.
func backoff(failures int, random *rand.Rand) time.Duration {
	pause := maxBackoff
	if shift := failures - 1; shift < 5 {
		pause = min(maxBackoff, minBackoff<<shift)
	}
	return pause/2 + time.Duration(random.Int64N(int64(pause/2)))
}
