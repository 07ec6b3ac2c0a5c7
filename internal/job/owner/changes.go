package owner

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// readsInFlight is the number of unanswered reads of one changeReader. While the store
// takes long, or one connection is silent, the view is confirmed by another read.
const readsInFlight = 2

// maxReadSpacing limits the time between two reads of which the last one took long. One
// slow answer shows nothing about the next.
const maxReadSpacing = 500 * time.Millisecond

// changeHandler applies what a changeReader has read. Its calls do not overlap.
type changeHandler interface {
	// applyChanges applies the changes up to the revision read.
	applyChanges(events []kv.Item, read unit.Revision, sentAt time.Time)
	// applyPage applies a page of a list of all items.
	applyPage(page listPage)
}

// listPage is a page of a list of all items under a prefix.
type listPage struct {
	items       []kv.Item
	read        unit.Revision // that the first page has shown
	sentAt      time.Time     // when the request for the page was sent
	first, last bool
}

// changeReader reads what changes under a prefix of the store, and all items when the
// history of the changes is gone or is too long for one answer.
type changeReader struct {
	shard     *shard
	prefix    kv.Key
	interval  time.Duration // between two reads
	handler   changeHandler
	confirmed *confirmation

	listMu sync.Mutex // held during a list
	list   kv.Listing // how far the list has come that is not complete
	listAt time.Time  // when its first page was requested

	mu     sync.Mutex    // held while changes are applied
	since  unit.Revision // all changes up to it are applied
	nextAt time.Time     // when the next read is due
	took   time.Duration // by the last read
}

// start reads the changes after a revision in readsInFlight goroutines until the term
// ends.
func (r *changeReader) start(since unit.Revision) {
	r.since = since
	for range readsInFlight {
		r.shard.goroutines.Go(func() {
			for r.awaitTurn() {
				r.read()
			}
		})
	}
}

// awaitTurn waits until the next read is due and reports whether the term goes on. Reads
// that take long are spread evenly over that time.
func (r *changeReader) awaitTurn() bool {
	now := time.Now()
	r.mu.Lock()
	at := r.nextAt
	if at.Before(now) {
		at = now
	}
	r.nextAt = at.Add(max(r.interval, min(r.took/readsInFlight, maxReadSpacing)))
	r.mu.Unlock()
	return r.shard.sleep(at.Sub(now)) && r.shard.ctx.Err() == nil
}

// read reads and applies the latest changes.
func (r *changeReader) read() {
	r.mu.Lock()
	since := r.since
	r.mu.Unlock()
	sentAt := time.Now()
	events, next, err := r.shard.service.store.Poll(r.shard.ctx, r.prefix, since)
	switch {
	case errors.Is(err, kv.ErrCompacted), errors.Is(err, kv.ErrOversized):
		r.readAll(since)
	case err != nil: // storage/access logs that the store is unreachable
		r.retry()
	default:
		r.apply(events, next, sentAt)
	}
}

// retry makes the next read due soon.
func (r *changeReader) retry() {
	at := time.Now().Add(retryDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.nextAt) {
		r.nextAt = at
	}
}

// apply applies the answer to a read. An answer that was overtaken by a later one
// holds changes that are applied already.
func (r *changeReader) apply(events []kv.Item, next unit.Revision, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = time.Since(sentAt)
	var fresh []kv.Item
	for _, e := range events {
		if e.Revision > r.since {
			fresh = append(fresh, e)
		}
	}
	r.handler.applyChanges(fresh, next, sentAt)
	r.since = max(r.since, next)
	r.confirmed.record(sentAt)
}

// readAll applies the pages of a list of all items as they arrive, up to the first
// error, after the history of the changes after since was found to be gone. The next
// call continues with the page that failed, so that an owner whose link is slow gets to
// the end.
func (r *changeReader) readAll(since unit.Revision) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	if r.appliedSince(since) {
		return // another list has ended meanwhile
	}
	for r.shard.ctx.Err() == nil {
		sentAt, first := time.Now(), r.list.Revision == 0
		items, err := r.shard.service.store.NextPage(r.shard.ctx, r.prefix, &r.list)
		if err != nil {
			r.retry()
			return
		}
		if first {
			r.listAt = sentAt
		}
		r.applyPage(listPage{items: items, read: r.list.Revision, sentAt: sentAt, first: first, last: r.list.Complete})
		if r.list.Complete {
			r.confirmed.record(r.listAt)
			r.list = kv.Listing{}
			return
		}
	}
}

// appliedSince reports whether a change after the given revision has been applied.
func (r *changeReader) appliedSince(since unit.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since > since
}

func (r *changeReader) applyPage(p listPage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handler.applyPage(p)
	if p.last {
		r.since = max(r.since, p.read)
	}
}
