package route

import "time"

// Bounds of retries, which keep a failing service from being loaded further.
const (
	budgetSpan  = 10 // seconds
	budgetShare = 10 // percent of the requests of the span
	// MaxRetries is the bound for one request.
	MaxRetries = 2
)

// RetryBudget is the retry budget of an entry. The zero value is ready for use.
type RetryBudget struct {
	seconds [budgetSpan]second
}

// second counts what happened in one second of the clock.
type second struct {
	unix     int64
	requests int
	retries  int
}

// RecordRequest counts a new request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.at(now).requests++ }

// TakeRetry takes one retry from the budget, if there is one.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	current := b.at(now)
	requests, retries := 0, 0
	for _, s := range b.seconds {
		if s.unix > current.unix-budgetSpan {
			requests += s.requests
			retries += s.retries
		}
	}
	// One retry per second is always allowed, or a small load would get none.
	if current.retries > 0 && retries*100 >= requests*budgetShare {
		return false
	}
	current.retries++
	return true
}

func (b *RetryBudget) at(now time.Time) *second {
	unix := now.Unix()
	s := &b.seconds[unix%budgetSpan]
	if s.unix != unix {
		*s = second{unix: unix}
	}
	return s
}
