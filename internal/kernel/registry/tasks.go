package registry

import (
	"context"
	"sync"
)

// Tasks are the goroutines of a service. A service that embeds them has Stop and
// Done: its goroutines end with their context.
type Tasks struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	done   chan struct{}
}

// NewTasks returns no goroutines yet.
func NewTasks() *Tasks { return &Tasks{done: make(chan struct{})} }

// Begin starts one goroutine for each function. It is called once. The values of
// the context hold for the goroutines, its end does not.
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
