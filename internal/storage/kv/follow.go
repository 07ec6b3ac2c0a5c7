package kv

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// listPause is the time between two lists while the store does not answer.
const listPause = 150 * time.Millisecond

// WatchHandler takes what is under a prefix. sent is when the request was sent whose answer
// gave the items.
type WatchHandler struct {
	MaxWait  func() time.Duration                // how long the store may hold a watch
	OnList   func(items []Item, sent time.Time)  // all items
	OnChange func(events []Item, sent time.Time) // later changes; none if the wait has passed
}

// Follow lists the items under a prefix and then watches them, until the context
// ends. It lists them again whenever changes may have been missed.
func (c Client) Follow(ctx context.Context, prefix Key, f WatchHandler) {
	for ctx.Err() == nil {
		sent := time.Now()
		items, revision, err := c.List(ctx, prefix)
		if err != nil {
			wait.For(ctx, listPause)
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
