// Package worker is the stand-in for a worker: an HTTP upstream with a bounded
// number of slots, and a runner of tasks.
package worker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// Server is one worker.
type Server struct {
	name    registry.Name
	address string
	http    *http.Server
	done    chan struct{}
}

// NewServer returns a worker whose upstream will listen at address, an IP and port.
func NewServer(name registry.Name, address string) *Server {
	s := &Server{name: name, address: address, done: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Name implements registry.Service.
func (s *Server) Name() registry.Name { return s.name }

// Start implements registry.Service.
func (s *Server) Start(context.Context, *registry.Kernel) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Errorf("listen for requests: %w", err)
	}
	s.address = l.Addr().String()
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // ends with ErrServerClosed at Stop
	}()
	return nil
}

// Stop implements registry.Service.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down worker: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *Server) Done() <-chan struct{} { return s.done }

// Address returns the IP and port of the upstream.
func (s *Server) Address() string { return s.address }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Monsoonfold-Request", r.Header.Get("Monsoonfold-Request"))
	fmt.Fprintf(w, "%s %s\n", s.name, r.URL.Path)
}
