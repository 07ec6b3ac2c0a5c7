// Package gateway is the HTTP front end for callers.
package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// ServiceName is the name of the gateway in a kernel.
const ServiceName registry.Name = "gateway"

// fleet tells which workers there are.
type fleet interface {
	Snapshot() inventory.Snapshot
}

// Gateway forwards each request to one upstream of the service.
type Gateway struct {
	address string
	service unit.ServiceID
	fleet   fleet
	http    *http.Server
	client  *http.Client
	done    chan struct{}
}

// New returns a gateway that will listen at address, an IP and port.
func New(address string, service unit.ServiceID) *Gateway {
	g := &Gateway{
		address: address,
		service: service,
		client:  &http.Client{Transport: &http.Transport{}},
		done:    make(chan struct{}),
	}
	g.http = &http.Server{Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: 5 * time.Second}
	return g
}

// Name implements registry.Service.
func (g *Gateway) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (g *Gateway) Start(_ context.Context, k *registry.Kernel) error {
	var err error
	if g.fleet, err = registry.Find[fleet](k, "fleet"); err != nil {
		return errors.Errorf("find inventory: %w", err)
	}
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return errors.Errorf("listen for callers: %w", err)
	}
	g.address = l.Addr().String()
	go func() {
		defer close(g.done)
		_ = g.http.Serve(l) // ends with ErrServerClosed at Stop
	}()
	return nil
}

// Stop implements registry.Service.
func (g *Gateway) Stop(ctx context.Context) error {
	if err := g.http.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down gateway: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Address returns the IP and port that callers use.
func (g *Gateway) Address() string { return g.address }

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	upstreams := g.fleet.Snapshot().Upstreams(g.service)
	if len(upstreams) == 0 {
		w.Header().Set("Monsoonfold-Outcome", "not-run")
		http.Error(w, "no upstream is live", http.StatusServiceUnavailable)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+upstreams[0].Upstream+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		w.Header().Set("Monsoonfold-Outcome", "unknown")
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Monsoonfold-Outcome", "done")
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // a cut response must not look whole
	}
}
