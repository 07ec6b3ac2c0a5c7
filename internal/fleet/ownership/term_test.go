package ownership

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// scriptedTerms returns one term after the other, and cancels the context with the
// last one.
type scriptedTerms struct {
	epochs []unit.Epoch // 0 if another entry owns the shard
	cancel context.CancelFunc
}

func (v *scriptedTerms) Term() (Term, bool, <-chan struct{}) {
	changed := make(chan struct{})
	epoch := v.epochs[0]
	if v.epochs = v.epochs[1:]; len(v.epochs) == 0 {
		v.cancel()
	} else {
		close(changed)
	}
	return Term{Epoch: epoch}, epoch != 0, changed
}

// TestEachTerm guards against work that restarts at each change of the view, and
// against terms that overlap.
func TestEachTerm(t *testing.T) {
	tests := []struct {
		name   string
		epochs []unit.Epoch
		want   []string
	}{
		{"never owner", []unit.Epoch{0, 0, 0}, nil},
		{"same term in all views", []unit.Epoch{2, 2, 2, 2}, []string{"begin 2", "end 2"}},
		{"given up and claimed again", []unit.Epoch{2, 0, 0, 4, 4}, []string{"begin 2", "end 2", "begin 4", "end 4"}},
		{"claimed again at once", []unit.Epoch{2, 3, 3}, []string{"begin 2", "end 2", "begin 3", "end 3"}},
		{"ended before the claim", []unit.Epoch{0, 2}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var got []string
			EachTerm(ctx, &scriptedTerms{tt.epochs, cancel}, func(_ context.Context, term Term) func() {
				got = append(got, fmt.Sprintf("begin %d", term.Epoch))
				return func() { got = append(got, fmt.Sprintf("end %d", term.Epoch)) }
			})
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("terms (-want +got):\n%s", diff)
			}
		})
	}
}
