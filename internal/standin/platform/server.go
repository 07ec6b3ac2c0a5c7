package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
)

// ServiceName is the name of the server in a kernel.
const ServiceName registry.Name = "platform"

// Server serves the key-value service and the instance list over HTTP.
type Server struct {
	address string
	http    *http.Server
	done    chan struct{}

	mu      sync.Mutex
	records *records
	listing store.Listing
	changed chan struct{} // closed at the next change of records
	stop    chan struct{}
}

// NewServer returns a server that will listen at address, an IP and port, and
// list the instances.
func NewServer(address string, instances []store.Instance) *Server {
	s := &Server{
		address: address,
		done:    make(chan struct{}),
		records: newRecords(),
		listing: store.Listing{Instances: instances, Revision: 1},
		changed: make(chan struct{}),
		stop:    make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Name implements registry.Service.
func (s *Server) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Server) Start(context.Context, *registry.Kernel) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Errorf("listen for store calls: %w", err)
	}
	s.address = l.Addr().String()
	go s.expireLeases()
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // ends with ErrServerClosed at Stop
	}()
	return nil
}

// Stop implements registry.Service.
func (s *Server) Stop(ctx context.Context) error {
	close(s.stop)
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down store server: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *Server) Done() <-chan struct{} { return s.done }

// Address returns the IP and port that the server listens at.
func (s *Server) Address() string { return s.address }

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/records", s.handleList)
	r.Get("/v1/records/*", s.handleGet)
	r.Put("/v1/records/*", s.handlePut)
	r.Delete("/v1/records/*", s.handleDelete)
	r.Get("/v1/watch", s.handleWatch)
	r.Post("/v1/leases", s.handleGrant)
	r.Post("/v1/leases/{id}/renew", s.handleRenew)
	r.Delete("/v1/leases/{id}", s.handleRevoke)
	r.Get("/v1/instances", s.handleInstances)
	return r
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rec, err := s.records.get(recordKey(r))
	s.mu.Unlock()
	respond(w, rec, err)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	snapshot := s.records.list(store.Key(r.URL.Query().Get("prefix")))
	s.mu.Unlock()
	respond(w, snapshot, nil)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	g, err := parseGuard(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var answer struct {
		Revision unit.Revision `json:"revision"`
	}
	lease := store.LeaseID(r.URL.Query().Get("lease"))
	err = s.change(func() error {
		answer.Revision, err = s.records.put(recordKey(r), value, g, lease)
		return err
	})
	respond(w, answer, err)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	g, err := parseGuard(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.change(func() error { return s.records.remove(recordKey(r), g) })
	respond(w, struct{}{}, err)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		found, ok := s.records.changes(store.Key(q.Get("prefix")), unit.Revision(after))
		changed := s.changed
		s.mu.Unlock()
		if !ok {
			http.Error(w, "history is gone; list again", http.StatusGone)
			return
		}
		if len(found.Events) > 0 || ctx.Err() != nil {
			respond(w, found, nil)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-s.stop:
			http.Error(w, "stopping", http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl: want a positive duration", http.StatusBadRequest)
		return
	}
	var l store.Lease
	err = s.change(func() error {
		s.records.nextID++
		id := store.LeaseID("l" + strconv.FormatUint(s.records.nextID, 10))
		l = s.records.grant(time.Now(), ttl, id)
		return nil
	})
	respond(w, l, err)
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	id := store.LeaseID(chi.URLParam(r, "id"))
	err := s.change(func() error {
		s.records.expire(time.Now())
		return s.records.renew(time.Now(), id)
	})
	respond(w, struct{}{}, err)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id := store.LeaseID(chi.URLParam(r, "id"))
	err := s.change(func() error { return s.records.revoke(id) })
	respond(w, struct{}{}, err)
}

func (s *Server) handleInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	listing := s.listing
	s.mu.Unlock()
	respond(w, listing, nil)
}

// change runs f under the lock and wakes the watches and the lease timer.
func (s *Server) change(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := f(); err != nil {
		return err
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// expireLeases ends leases at their deadlines until the server stops.
func (s *Server) expireLeases() {
	for {
		s.mu.Lock()
		before := s.records.revision
		next := s.records.expire(time.Now())
		if s.records.revision != before {
			close(s.changed)
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-due:
		case <-changed:
		case <-s.stop:
			return
		}
	}
}

func recordKey(r *http.Request) store.Key { return store.Key(chi.URLParam(r, "*")) }

func parseGuard(r *http.Request) (guard, error) {
	text := r.URL.Query().Get("if")
	switch text {
	case "":
		return guard{}, nil
	case "absent":
		return guard{absent: true}, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return guard{}, errors.Errorf("if: %w", err)
	}
	return guard{revision: unit.Revision(revision)}, nil
}

func respond(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // the caller may have gone
	}
}
