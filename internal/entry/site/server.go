package site

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// Limits of the HTTP servers, beside those of the limiter.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// server is a service that serves HTTP at one address.
type server struct {
	name       registry.Name
	address    string
	traffic    *metric.Traffic // counts its connections
	log        logr.Logger
	newHandler func(k *registry.Kernel) (http.Handler, error)
	http       *http.Server
	done       chan struct{}
}

func newServer(name registry.Name, address string, traffic *metric.Traffic, log logr.Logger, newHandler func(*registry.Kernel) (http.Handler, error)) *server {
	return &server{name: name, address: address, traffic: traffic, log: log, newHandler: newHandler, done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *server) Name() registry.Name { return s.name }

// Start implements registry.Service.
func (s *server) Start(_ context.Context, k *registry.Kernel) error {
	handler, err := s.newHandler(k)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Errorf("listen: %w", err)
	}
	limits, err := limiter.Find(k)
	if err != nil {
		return errors.Errorf("find limiter: %w", err)
	}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	listener = limits.Limit(s.http, s.traffic.Listener(listener))
	go func() {
		defer close(s.done)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error(err, "HTTP server ended", "server", s.name)
		}
	}()
	return nil
}

// Stop implements registry.Service. It waits for the requests in flight.
func (s *server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down HTTP server: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *server) Done() <-chan struct{} { return s.done }
