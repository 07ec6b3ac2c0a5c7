package owner

import (
	"context"
	"slices"
	"sync"
	"time"
)

// readsInFlight is the number of unanswered reads of one changeReader. The second one
// confirms the view while the store takes long or one connection is silent.
const readsInFlight = 2

// maxReadSpacing limits the time between two reads of which the last one took long. One
// slow answer shows nothing about the next.
const maxReadSpacing = 500 * time.Millisecond

// Limits of the time after which a read of which nothing arrives counts as silent. In
// between it is twice the time until the last answer began to arrive.
const (
	minReadSilence = 300 * time.Millisecond
	maxReadSilence = time.Second
)

// readPace decides when the reads of a changeReader are sent. Two reads that are under way
// bring the same changes, so they overlap only while answers hold none, or while
// nothing arrives of the answer to the first one.
type readPace struct {
	interval time.Duration // between two reads

	mu       sync.Mutex
	underWay []*pendingRead
	nextAt   time.Time     // when the next read is due
	silentAt time.Time     // when the reads under way count as silent if nothing arrives
	latency  time.Duration // until the last answer began to arrive
	took     time.Duration // by the last answered read
	quiet    bool          // the last answer held no changes
}

// pendingRead is a read that has not ended.
type pendingRead struct {
	ctx      context.Context // ends when a later read is answered
	cancel   context.CancelFunc
	sentAt   time.Time
	arriving bool // a part of the answer has arrived
}

// begin returns a read that is to be sent now, or nil and the time at which to ask again.
func (p *readPace) begin(ctx context.Context, now time.Time) (read *pendingRead, askAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.nextAt
	if len(p.underWay) > 0 && !p.quiet && p.silentAt.After(at) {
		at = p.silentAt
	}
	if at.After(now) {
		return nil, at
	}
	read = &pendingRead{sentAt: now}
	read.ctx, read.cancel = context.WithCancel(ctx)
	p.underWay = append(p.underWay, read)
	p.nextAt = now.Add(max(p.interval, min(p.took/readsInFlight, maxReadSpacing)))
	p.silentAt = now.Add(p.silence())
	return read, time.Time{}
}

// silence returns the time after which a read of which nothing arrives counts as silent.
// It is called with the lock held.
func (p *readPace) silence() time.Duration {
	return min(max(2*p.latency, minReadSilence), maxReadSilence)
}

// arrived records that a part of the answer to a read has arrived.
func (p *readPace) arrived(read *pendingRead, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !read.arriving {
		read.arriving = true
		p.latency = now.Sub(read.sentAt)
	}
	p.silentAt = now.Add(p.silence())
}

// answered records the answer to a read. Reads that were sent earlier are cancelled, as
// they bring nothing more.
func (p *readPace) answered(read *pendingRead, changes int, now time.Time) {
	p.arrived(read, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.took, p.quiet = now.Sub(read.sentAt), changes == 0
	for _, other := range p.underWay {
		if other.sentAt.Before(read.sentAt) {
			other.cancel()
		}
	}
}

// failed makes the next read due soon, unless the failed one was cancelled.
func (p *readPace) failed(read *pendingRead, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := now.Add(retryDelay); at.Before(p.nextAt) && read.ctx.Err() == nil {
		p.nextAt = at
	}
}

// restart cancels the reads under way and makes the next one due now. It is the only one
// for a while, as it may bring many changes.
func (p *readPace) restart(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, read := range p.underWay {
		read.cancel()
	}
	p.underWay, p.nextAt, p.quiet = nil, now, false
}

// end ends a read.
func (p *readPace) end(read *pendingRead) {
	read.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underWay = slices.DeleteFunc(p.underWay, func(r *pendingRead) bool { return r == read })
}
