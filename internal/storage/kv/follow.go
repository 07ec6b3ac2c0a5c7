package kv

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// listRetryDelay is the delay before the items are listed again after an error.
const listRetryDelay = 150 * time.Millisecond

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
			wait.For(ctx, listRetryDelay)
			continue
		}
		f.OnList(items, sent)
		for ctx.Err() == nil {
			sent = time.Now()
			events, next, err := c.Watch(ctx, prefix, revision, f.MaxWait())
			if err != nil {
				break
			}
			revision = next
			f.OnChange(events, sent)
		}
	}
}
