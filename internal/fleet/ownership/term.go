package ownership

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// holder tells whether this entry owns the shard, as Service does.
type holder interface {
	Term() (Term, bool, <-chan struct{})
}

// EachTerm runs something in each term of this entry until the context ends: begin
// starts it and returns what ends it. Other changes of the view do not disturb it.
func EachTerm(ctx context.Context, h holder, begin func(context.Context, Term) (end func())) {
	var running unit.Epoch // 0: nothing runs
	end := func() {}
	defer func() { end() }()
	for {
		term, mine, changed := h.Term()
		if running != 0 && (!mine || term.Epoch != running) {
			end()
			running, end = 0, func() {}
		}
		if mine && running == 0 && ctx.Err() == nil {
			running, end = term.Epoch, begin(ctx, term)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
