package ownership

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// termSource reports the current term of this entry. Service implements it.
type termSource interface {
	Term() (Term, bool, <-chan struct{})
}

// EachTerm calls begin at the start of each term of this entry, and the function that
// it returned at the end of the term, until the context ends. Terms do not overlap.
// Changes of the view within a term have no effect.
func EachTerm(ctx context.Context, source termSource, begin func(context.Context, Term) (end func())) {
	var running unit.Epoch // epoch of the running term, 0 if none runs
	end := func() {}
	defer func() { end() }()
	for {
		term, owned, changed := source.Term()
		if running != 0 && (!owned || term.Epoch != running) {
			end()
			running, end = 0, func() {}
		}
		if owned && running == 0 && ctx.Err() == nil {
			running, end = term.Epoch, begin(ctx, term)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
