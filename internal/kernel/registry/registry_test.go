package registry

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errRefused = errors.New("refused")

// recordingService is a service that records its calls.
type recordingService struct {
	name  Name
	fails bool // Start fails
	hangs bool // Done is never closed
	calls *[]string
	done  chan struct{}
}

func (p *recordingService) Name() Name { return p.name }

func (p *recordingService) Start(context.Context, *Kernel) error {
	*p.calls = append(*p.calls, "start "+string(p.name))
	if p.fails {
		return errRefused
	}
	return nil
}

func (p *recordingService) Stop(context.Context) error {
	*p.calls = append(*p.calls, "stop "+string(p.name))
	if !p.hangs {
		close(p.done)
	}
	return nil
}

func (p *recordingService) Done() <-chan struct{} { return p.done }

// TestStartStopOrder guards against services that are started or stopped in the
// wrong order, or that keep running after a failed start.
func TestStartStopOrder(t *testing.T) {
	tests := []struct {
		name  string
		fails Name
		hangs Name
		calls []string
		err   error
	}{
		{"all start and stop", "", "", []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}, nil},
		{"second fails to start", "b", "", []string{"start a", "start b", "stop a"}, errRefused},
		{"one hangs while stopping", "", "b", []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			var calls []string
			k := New()
			var probes []*recordingService
			for _, name := range []Name{"a", "b", "c"} {
				p := &recordingService{name: name, fails: name == tt.fails, hangs: name == tt.hangs, calls: &calls, done: make(chan struct{})}
				probes = append(probes, p)
				if err := k.Register(p); err != nil {
					t.Fatal(err)
				}
			}
			err := k.Start(ctx)
			if err == nil {
				err = k.Stop(ctx)
			}
			if !errors.Is(err, tt.err) {
				t.Errorf("error %v, want %v", err, tt.err)
			}
			if diff := cmp.Diff(tt.calls, calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			<-k.Done()
			for _, p := range probes {
				if p.hangs {
					close(p.done) // ends the goroutine of Kernel.observe
				}
			}
		})
	}
}

// TestFind guards against a missing service, or one without the wanted methods, that is
// noticed only when it is first used.
func TestFind(t *testing.T) {
	var calls []string
	k := New()
	p := &recordingService{name: "a", calls: &calls, done: make(chan struct{})}
	if err := k.Register(p); err != nil {
		t.Fatal(err)
	}
	if err := k.Register(p); !errors.Is(err, ErrDuplicate) {
		t.Errorf("second registration: %v, want %v", err, ErrDuplicate)
	}
	tests := []struct {
		name Name
		find func(Name) error
		want error
	}{
		{"a", func(n Name) error { _, err := Find[Service](k, n); return err }, nil},
		{"b", func(n Name) error { _, err := Find[Service](k, n); return err }, ErrMissing},
		{"a", func(n Name) error { _, err := Find[interface{ Fly() }](k, n); return err }, ErrInterface},
	}
	for _, tt := range tests {
		if err := tt.find(tt.name); !errors.Is(err, tt.want) {
			t.Errorf("find %s: %v, want %v", tt.name, err, tt.want)
		}
	}
}

// TestServiceEndsByItself guards against a process that keeps running after one of
// its services ended by itself.
func TestServiceEndsByItself(t *testing.T) {
	var calls []string
	k := New()
	p := &recordingService{name: "a", hangs: true, calls: &calls, done: make(chan struct{})}
	if err := k.Register(p); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	close(p.done)
	if err := k.Wait(t.Context()); !errors.Is(err, ErrEnded) {
		t.Errorf("wait: %v, want %v", err, ErrEnded)
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}
