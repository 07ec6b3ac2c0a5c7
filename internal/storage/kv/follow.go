package kv

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// followRetryDelay is the delay before the items are read again after an error.
const followRetryDelay = 150 * time.Millisecond

// WatchHandler receives the items under a prefix. sent is the time at which the
// request for them was sent.
type WatchHandler struct {
	MaxWait  func() time.Duration                // how long the store may delay the answer of a watch
	OnList   func(items []Item, sent time.Time)  // all items
	OnChange func(events []Item, sent time.Time) // later changes; none if MaxWait passed without one
}

// Follow lists the items under a prefix and then watches them, until the context
// ends. It lists them again whenever changes may have been missed.
func (c Client) Follow(ctx context.Context, prefix Key, f WatchHandler) {
	for ctx.Err() == nil {
		sent := time.Now()
		items, revision, err := c.List(ctx, prefix)
		if err != nil {
			wait.For(ctx, followRetryDelay)
			continue
		}
		f.OnList(items, sent)
		c.followChanges(ctx, prefix, revision, f)
	}
}

// followChanges passes on the changes after a revision until the store refuses to send
// them or the context ends. A watch without an answer may hang on a silent connection, so
// the next one does not wait in the store: its result shows whether the store is reached.
func (c Client) followChanges(ctx context.Context, prefix Key, revision unit.Revision, f WatchHandler) {
	maxWait := f.MaxWait()
	for ctx.Err() == nil {
		sent := time.Now()
		events, next, err := c.Watch(ctx, prefix, revision, maxWait)
		switch {
		case err == nil:
			revision = next
			f.OnChange(events, sent)
			maxWait = f.MaxWait()
		case !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown):
			return
		case maxWait > 0:
			maxWait = 0
		default:
			wait.For(ctx, followRetryDelay)
		}
	}
}
