package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

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
	handler   changeHandler
	source    *listSource // nil: changes are always read directly
	confirmed *confirmation
	pace      readPace

	listMu    sync.Mutex    // held during a list
	list      kv.Listing    // how far the list has come that is not complete
	listAt    time.Time     // when its first page was requested
	listSince unit.Revision // up to which changes were applied then

	mu    sync.Mutex    // held while changes are applied
	since unit.Revision // all changes up to it are applied
}

// start reads the changes after a revision in readsInFlight goroutines until the term
// ends.
func (r *changeReader) start(since unit.Revision) {
	r.since = since
	if r.source != nil {
		r.shard.goroutines.Go(func() { r.source.run(&r.pace) })
	}
	for range readsInFlight {
		r.shard.goroutines.Go(func() {
			for r.read() {
			}
		})
	}
}

// read reads and applies the latest changes once that is due, and reports whether the term
// goes on.
func (r *changeReader) read() bool {
	read, ok := r.awaitTurn()
	if !ok {
		return false
	}
	defer r.pace.end(read)
	if via := r.source.entry(); via != "" {
		r.readThrough(via, read)
		return r.shard.ctx.Err() == nil
	}
	progress := func() { r.pace.arrived(read, time.Now()) }
	since := r.appliedRevision()
	events, next, err := r.shard.service.store.Poll(kv.WithProgress(read.ctx, progress), r.prefix, since)
	switch {
	case errors.Is(err, kv.ErrCompacted), errors.Is(err, kv.ErrOversized):
		r.readAll(kv.WithProgress(r.shard.ctx, progress), read, since)
	case err != nil: // storage/access logs that the store is unreachable
		r.pace.failed(read, time.Now())
	default:
		r.pace.answered(read, len(events), time.Now())
		r.apply(events, next, read.sentAt)
	}
	return r.shard.ctx.Err() == nil
}

// awaitTurn waits until the next read is to be sent, or returns false at the end of the
// term.
func (r *changeReader) awaitTurn() (*pendingRead, bool) {
	for {
		read, askAt := r.pace.begin(r.shard.ctx, time.Now())
		if read != nil {
			return read, true
		}
		if !r.shard.sleep(time.Until(askAt)) {
			return nil, false
		}
	}
}

// apply applies the answer to a read. An answer that was overtaken by a later one
// holds changes that are applied already.
func (r *changeReader) apply(events []kv.Item, next unit.Revision, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
// the end. A list is given up when changes have been read after it had begun, as its first
// pages may be older than those: a direct read may succeed where a relayed one was too long.
func (r *changeReader) readAll(ctx context.Context, read *pendingRead, since unit.Revision) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	if r.appliedRevision() > since {
		return // another list has ended meanwhile
	}
	if r.listSince != since {
		r.list = kv.Listing{}
	}
	for ctx.Err() == nil {
		sentAt, first := time.Now(), r.list.Revision == 0
		items, err := r.shard.service.store.NextPage(ctx, r.prefix, &r.list)
		if err != nil {
			r.pace.failed(read, time.Now())
			return
		}
		if first {
			r.listAt, r.listSince = sentAt, since
		}
		if !r.applyPage(listPage{items: items, read: r.list.Revision, sentAt: sentAt, first: first, last: r.list.Complete}) {
			r.list = kv.Listing{}
			return
		}
		if r.list.Complete {
			r.confirmed.record(r.listAt)
			r.list = kv.Listing{}
			return
		}
	}
}

// appliedRevision returns the revision up to which all changes are applied.
func (r *changeReader) appliedRevision() unit.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since
}

// applyPage applies a page of the list, unless changes have been applied since the list has
// begun, and reports whether it has.
func (r *changeReader) applyPage(p listPage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since != r.listSince {
		return false
	}
	r.handler.applyPage(p)
	if p.last {
		r.since = max(r.since, p.read)
	}
	return true
}
