// Package health serves the liveness, the readiness and the expvar variables of an
// entry.
package health

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "health"

// gateway reports whether the entry accepts requests of callers.
type gateway interface {
	Ready() bool
}

// Service serves GET /livez, /readyz and /debug/vars. Load balancers poll /readyz,
// which has status 200 while the entry accepts requests and 503 otherwise.
type Service struct {
	address string
	gateway gateway
	http    *http.Server
	done    chan struct{}
}

// New returns a service that listens at address, an IP and a port, once it is
// started.
func New(address string) *Service {
	return &Service{address: address, done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(_ context.Context, k *registry.Kernel) error {
	var err error
	if s.gateway, err = registry.Find[gateway](k, "gateway"); err != nil {
		return errors.Errorf("find gateway: %w", err)
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Errorf("listen for health checks: %w", err)
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	limits, err := limiter.Find(k)
	if err != nil {
		return errors.Errorf("find limiter: %w", err)
	}
	l = limits.Limit(s.http, l)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // returns ErrServerClosed after Stop
	}()
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down health server: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(http.ResponseWriter, *http.Request) {})
	r.Get("/readyz", s.handleReady)
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	return r
}

func (s *Service) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.gateway.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
