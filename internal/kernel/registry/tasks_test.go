package registry

import (
	"context"
	"testing"
	"time"
)

// TestTasks guards against goroutines that end with the context of Start or keep
// running after Stop, and against Done being closed too early.
func TestTasks(t *testing.T) {
	start, cancel := context.WithCancel(context.Background())
	tasks := NewTasks()
	release := make(chan struct{})
	ended := make(chan struct{}, 2)
	tasks.Begin(start, func(ctx context.Context) {
		<-ctx.Done()
		ended <- struct{}{}
	}, func(ctx context.Context) {
		<-ctx.Done()
		<-release
		ended <- struct{}{}
	})
	cancel()
	select {
	case <-ended:
		t.Error("a goroutine ended with the context of the start")
	case <-time.After(20 * time.Millisecond):
	}
	if err := tasks.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-ended
	select {
	case <-tasks.Done():
		t.Error("done while a goroutine runs")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	<-tasks.Done()
}
