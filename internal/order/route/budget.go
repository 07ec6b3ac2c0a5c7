package route

import "time"

// Limits on retries, so that retries do not overload a failing service.
const (
	budgetSeconds = 10 // length of the sliding window in seconds
	budgetPercent = 10 // retries in percent of the requests of the window
	// MaxRetries is the maximum number of retries of one request.
	MaxRetries = 2
)

// RetryBudget limits the retries of an entry to a share of its requests. The zero value
// is ready for use.
type RetryBudget struct {
	seconds [budgetSeconds]secondCounts
}

// secondCounts counts the requests and retries of one second.
type secondCounts struct {
	unix     int64
	requests int
	retries  int
}

// RecordRequest counts a new request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.current(now).requests++ }

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	current := b.current(now)
	requests, retries := 0, 0
	for _, s := range b.seconds {
		if s.unix > current.unix-budgetSeconds {
			requests += s.requests
			retries += s.retries
		}
	}
	// One retry per second is always allowed, since under low load the share is
	// less than one retry.
	if current.retries > 0 && retries*100 >= requests*budgetPercent {
		return false
	}
	current.retries++
	return true
}

// current returns the counts of the second of now.
func (b *RetryBudget) current(now time.Time) *secondCounts {
	unix := now.Unix()
	s := &b.seconds[unix%budgetSeconds]
	if s.unix != unix {
		*s = secondCounts{unix: unix}
	}
	return s
}
