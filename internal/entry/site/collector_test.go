package site

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// fakeOwnership is an ownership service whose view the test sets.
type fakeOwnership struct {
	*registry.Tasks
	mu      sync.Mutex
	epoch   unit.Epoch // 0 while another entry owns the shard
	changed chan struct{}
}

func (o *fakeOwnership) Name() registry.Name { return ownership.ServiceName }

func (o *fakeOwnership) Start(ctx context.Context, _ *registry.Kernel) error {
	o.Begin(ctx, func(context.Context) {})
	return nil
}

func (o *fakeOwnership) Term() (ownership.Term, bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ownership.Term{Epoch: o.epoch}, o.epoch != 0, o.changed
}

func (o *fakeOwnership) set(epoch unit.Epoch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.epoch = epoch
	close(o.changed)
	o.changed = make(chan struct{})
}

// TestHeapGrowth guards against an owner that spends its processor time on collecting
// garbage, and against an entry that keeps the owner's heap after its term.
func TestHeapGrowth(t *testing.T) {
	tests := []struct {
		name   string
		epochs []unit.Epoch // of the terms of this entry, one after the other; 0: none
		want   []int
	}{
		{"never owner", nil, []int{entryHeapGrowth}},
		{"owner", []unit.Epoch{1}, []int{entryHeapGrowth, ownerHeapGrowth}},
		{"shard lost", []unit.Epoch{1, 0}, []int{entryHeapGrowth, ownerHeapGrowth, entryHeapGrowth}},
		{"owner again", []unit.Epoch{1, 0, 3}, []int{entryHeapGrowth, ownerHeapGrowth, entryHeapGrowth, ownerHeapGrowth}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			terms := &fakeOwnership{Tasks: registry.NewTasks(), changed: make(chan struct{})}
			growths := make(chan int, 2*len(tt.want))
			service := newCollectorService(func(percent int) int { growths <- percent; return 0 })
			kernel := registry.New()
			for _, s := range []registry.Service{terms, service} {
				if err := kernel.Register(s); err != nil {
					t.Fatal(err)
				}
			}
			if err := kernel.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			got := []int{<-growths}
			for _, epoch := range tt.epochs {
				terms.set(epoch)
				select {
				case growth := <-growths:
					got = append(got, growth)
				case <-time.After(5 * time.Second):
					t.Fatal("the heap growth did not change with the term")
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("heap growth (-want +got):\n%s", diff)
			}
			if err := kernel.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
