// Package worker is the stand-in for a worker: an HTTP upstream with a bounded
// number of slots, and a runner of tasks. docs/worker.md describes both
// protocols.
//
// The runner of tasks is a state machine without I/O; the server is its shell.
package worker

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// Server is one worker. Start it once.
type Server struct {
	settings Settings
	upstream *http.Server
	control  *http.Server
	requests *listener
	orders   *listener
	stop     chan struct{}
	done     chan struct{}
	boot     time.Time // origin of the worker's clock

	mu     sync.Mutex
	runner *runner
	fault  Fault
	random *rand.Rand
	busy   int            // slots in use
	last   unit.RequestID // of the previous request, for mismatched responses
	audit  Audit          // only the part that concerns requests
}

// NewServer returns a worker with default settings whose upstream will listen at
// address, an IP and port.
func NewServer(name registry.Name, address string) *Server {
	s := DefaultSettings(unit.InstanceID(name))
	s.Upstream = address
	return New(s)
}

// New returns a worker. Start reports faults of the settings.
func New(settings Settings) *Server {
	boot := time.Now()
	s := &Server{
		settings: settings,
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		boot:     boot,
		runner:   newRunner(settings, strconv.FormatInt(boot.UnixNano(), 36)),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		audit:    Audit{Keys: map[string]int{}, Checks: map[string]int{}},
	}
	s.upstream = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second, ConnContext: withConnection,
	}
	s.control = &http.Server{
		Handler: s.controlRoutes(), ReadHeaderTimeout: 5 * time.Second, ConnContext: withConnection,
	}
	return s
}

// Name implements registry.Service.
func (s *Server) Name() registry.Name { return registry.Name(s.settings.Name) }

// Start implements registry.Service.
func (s *Server) Start(context.Context, *registry.Kernel) error {
	if err := s.settings.Validate(); err != nil {
		return errors.Errorf("check worker settings: %w", err)
	}
	requests, err := net.Listen("tcp", s.settings.Upstream)
	if err != nil {
		return errors.Errorf("listen for requests: %w", err)
	}
	orders, err := net.Listen("tcp", s.settings.Control)
	if err != nil {
		_ = requests.Close() // nothing was accepted on it
		return errors.Errorf("listen for task orders: %w", err)
	}
	s.requests = newListener(requests, s.settings.Connections)
	s.orders = newListener(orders, 0)
	var servers sync.WaitGroup
	servers.Go(func() { _ = s.upstream.Serve(s.requests) }) // ends with ErrServerClosed at Stop
	servers.Go(func() { _ = s.control.Serve(s.orders) })
	go func() {
		servers.Wait()
		close(s.done)
	}()
	return nil
}

// Stop implements registry.Service. Requests in flight end first.
func (s *Server) Stop(ctx context.Context) error {
	close(s.stop)
	if err := errors.Join(s.upstream.Shutdown(ctx), s.control.Shutdown(ctx)); err != nil {
		return errors.Errorf("shut down worker: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *Server) Done() <-chan struct{} { return s.done }

// Address returns the IP and port of the upstream, as set before Start.
func (s *Server) Address() string {
	if s.requests == nil {
		return s.settings.Upstream
	}
	return s.requests.Addr().String()
}

// ControlAddress returns the IP and port for task orders, as set before Start.
func (s *Server) ControlAddress() string {
	if s.orders == nil {
		return s.settings.Control
	}
	return s.orders.Addr().String()
}

// Inject puts faults into force in place of the earlier ones.
func (s *Server) Inject(f Fault) error {
	if err := f.validate(); err != nil {
		return errors.Errorf("check fault: %w", err)
	}
	s.mu.Lock()
	if f.Draining && !s.fault.Draining {
		s.audit.Draining = time.Now()
	}
	s.fault = f
	s.runner.failing = f.Fail
	s.runner.draining = f.Draining
	s.mu.Unlock()
	if f.HangUpstream {
		s.requests.hangOpen()
	}
	if f.HangControl {
		s.orders.hangOpen()
	}
	return nil
}

// Audit returns what the worker has seen since it started.
func (s *Server) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.advance(s.now())
	a := s.runner.ledger.audit(s.boot)
	a.Worker, a.Capacity = s.settings.Name, s.settings.Capacity
	a.Slots, a.Refused, a.Requests = s.audit.Slots, s.audit.Refused, s.audit.Requests
	a.Keys, a.Checks = maps.Clone(s.audit.Keys), maps.Clone(s.audit.Checks)
	a.Draining, a.LastRequest, a.LastStart = s.audit.Draining, s.audit.LastRequest, s.audit.LastStart
	a.Dropped += s.audit.Dropped
	a.Connections, a.Closed = s.requests.counts()
	return a
}

// now reads the worker's monotonic clock.
func (s *Server) now() unit.WorkerTime { return unit.WorkerTime(time.Since(s.boot)) }
