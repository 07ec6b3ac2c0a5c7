package access

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// maxCallTimeout is what callTimeout rises to while answers take long. A call that is given
// up is sent again, and its late answer takes up the link all the same.
const maxCallTimeout = 1200 * time.Millisecond

// maxReadDuration limits a read of which parts keep arriving. A page of a list is up to
// 1.4 MB, which takes 5.6 s at a fifth of 10 Mbit/s.
const maxReadDuration = 8 * time.Second

// errStalled is the cause of the end of a read of which no further part arrived.
var errStalled = errors.Errorf("answer stalled: %w", context.DeadlineExceeded)

// answerLimit limits how long direct calls wait for their answers.
type answerLimit struct {
	mu      sync.Mutex
	latency time.Duration // of calls lately, until their answers began to arrive
}

// record records how long an answer took to begin. One slow answer counts at once and is
// forgotten after a few fast ones.
func (l *answerLimit) record(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = max(took, (l.latency+took)/2)
}

// timeout returns how long a call waits for the next part of its answer: twice as long as
// answers have taken to begin lately.
func (l *answerLimit) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(2*l.latency, callTimeout), maxCallTimeout)
}

// apply returns a context that ends when no answer comes within the timeout of the call.
// That of a read runs again from each part of the answer.
func (l *answerLimit) apply(ctx context.Context, r kv.Request) (context.Context, context.CancelFunc) {
	timeout := l.timeout()
	first := max(timeoutOf(r), timeout)
	if !r.Op.Reads() {
		return context.WithTimeout(ctx, first)
	}
	ctx, cancel := context.WithTimeout(ctx, first+maxReadDuration)
	ctx, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { end(errStalled) })
	ctx = kv.WithProgress(ctx, func() { timer.Reset(timeout) })
	return ctx, func() {
		timer.Stop()
		end(nil)
		cancel()
	}
}

// timeoutOf returns how long a call waits for its answer while answers do not take long.
func timeoutOf(r kv.Request) time.Duration {
	if r.Waits() {
		return r.Wait + watchGrace
	}
	return callTimeout
}
