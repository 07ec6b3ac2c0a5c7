package registry

import (
	"context"
	"sync"
)

// Tasks runs the goroutines of a service. A service that embeds it gets Stop and Done;
// Stop cancels the context of the goroutines.
type Tasks struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	done   chan struct{}
}

// NewTasks returns Tasks without goroutines.
func NewTasks() *Tasks { return &Tasks{done: make(chan struct{})} }

// Begin starts one goroutine for each function. It must be called only once. The
// goroutines inherit the values of the context, but not its cancellation.
func (t *Tasks) Begin(ctx context.Context, runs ...func(context.Context)) {
	ctx, t.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, run := range runs {
		t.group.Go(func() { run(ctx) })
	}
	go func() {
		defer close(t.done)
		t.group.Wait()
	}()
}

// Stop implements Service.
func (t *Tasks) Stop(context.Context) error {
	t.cancel()
	return nil
}

// Done implements Service.
func (t *Tasks) Done() <-chan struct{} { return t.done }
