// Package registry is the micro-kernel: it holds services by name, starts them
// in the order of registration and stops them in reverse.
//
// The kernel is independent of what a service does. A service looks up the services
// that it uses by name while it starts, each as the small interface that it needs.
package registry

import (
	"context"

	"github.com/go-faster/errors"
)

// Name identifies a service within a kernel.
type Name string

// Service is a part of a process that is started and stopped on its own.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() Name
	// Start looks up other services and starts the goroutines of this one. It returns
	// once the service can be called. The context limits only the start.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service gracefully. The context limits how long it may take.
	Stop(ctx context.Context) error
	// Done is closed once every goroutine of the service has ended.
	Done() <-chan struct{}
}

// Errors of the kernel.
var (
	ErrDuplicate = errors.New("service name registered twice")
	ErrMissing   = errors.New("no such service")
	ErrInterface = errors.New("service lacks the wanted interface")
	ErrEnded     = errors.New("service ended by itself")
)

// Kernel holds the services of one process.
type Kernel struct {
	services []Service // in order of registration
	started  int       // number of running services, from the first
	ended    chan Name // the name of a service that ended before Stop
	stopping chan struct{}
	done     chan struct{}
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{
		ended:    make(chan Name, 1),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Register adds a service. It must be called before Start.
func (k *Kernel) Register(s Service) error {
	if k.lookup(s.Name()) != nil {
		return errors.Errorf("register %q: %w", s.Name(), ErrDuplicate)
	}
	k.services = append(k.services, s)
	return nil
}

// Find returns the named service as T, the interface that the calling service
// declares. It is called while a service starts, not on each use.
func Find[T any](k *Kernel, name Name) (T, error) {
	var none T
	s := k.lookup(name)
	if s == nil {
		return none, errors.Errorf("find %q: %w", name, ErrMissing)
	}
	t, ok := s.(T)
	if !ok {
		return none, errors.Errorf("find %q: %w", name, ErrInterface)
	}
	return t, nil
}

// Start starts all services in order of registration. If one fails, those already
// started are stopped in reverse order and the error is returned, so that a process never
// runs half started.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.services {
		if err := s.Start(ctx, k); err != nil {
			// Errors while the others stop are consequences of this one and would hide
			// it.
			_ = k.Stop(ctx)
			return errors.Errorf("start service %q: %w", s.Name(), err)
		}
		k.started++
		go k.observe(s)
	}
	return nil
}

// Wait blocks until the context ends, Stop is called, or a service ends by itself.
// Only the last of these is an error.
func (k *Kernel) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-k.stopping:
		return nil
	case name := <-k.ended:
		return errors.Errorf("service %q: %w", name, ErrEnded)
	}
}

// Stop stops the started services in reverse order and waits until each is done or the
// context ends. It must be called only once.
func (k *Kernel) Stop(ctx context.Context) error {
	close(k.stopping)
	defer close(k.done)
	var faults []error
	for ; k.started > 0; k.started-- {
		if err := stopService(ctx, k.services[k.started-1]); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

// Done returns a channel that is closed once Stop has returned.
func (k *Kernel) Done() <-chan struct{} { return k.done }

func (k *Kernel) lookup(name Name) Service {
	for _, s := range k.services {
		if s.Name() == name {
			return s
		}
	}
	return nil
}

// observe reports a service that ends before the kernel stops.
func (k *Kernel) observe(s Service) {
	select {
	case <-k.stopping:
		return
	case <-s.Done():
	}
	select {
	case <-k.stopping: // both channels were ready; services end during Stop
	case k.ended <- s.Name():
	default:
	}
}

func stopService(ctx context.Context, s Service) error {
	if err := s.Stop(ctx); err != nil {
		return errors.Errorf("stop service %q: %w", s.Name(), err)
	}
	select {
	case <-s.Done():
		return nil
	case <-ctx.Done():
		return errors.Errorf("wait for service %q: %w", s.Name(), ctx.Err())
	}
}
