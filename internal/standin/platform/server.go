// Package platform is the stand-in for the platform's key-value service and
// instance list. It keeps everything in memory and can be told to fail in the
// ways that the real one does.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/standin/memory"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// ServiceName is the name of the server in a kernel.
const ServiceName registry.Name = "platform"

// maxList bounds the body of POST /instances; 4,400 instances are about 1.5 MB.
const maxList = 16 << 20

// Settings describe the service.
type Settings struct {
	Address   string           // IP and port to listen at
	Instances []store.Instance // the list at the start
	Lag       time.Duration    // after which a change of the list shows
	// Reads and Writes limit the calls per second; a call beyond the limit gets
	// status 429. 0 is no limit.
	Reads, Writes float64
	Seed          uint64
}

// maxValue is the largest value that the service takes.
const maxValue = 1 << 20

// Server serves the key-value service and the instance list over HTTP.
type Server struct {
	address string
	http    *http.Server
	reads   *rate.Limiter // nil: no limit
	writes  *rate.Limiter
	done    chan struct{}

	mu           sync.Mutex
	records      *memory.State
	instanceList *instanceList
	fault        Fault
	calls        Calls
	random       *rand.Rand
	changed      chan struct{} // closed at the next change of records or faults
	stop         chan struct{}
}

// NewServer returns a server that will listen at address, an IP and port, and
// list the instances without a lag.
func NewServer(address string, instances []store.Instance) *Server {
	return New(Settings{Address: address, Instances: instances})
}

// New returns a server.
func New(settings Settings) *Server {
	s := &Server{
		address:      settings.Address,
		reads:        newLimiter(settings.Reads),
		writes:       newLimiter(settings.Writes),
		done:         make(chan struct{}),
		records:      memory.NewState(),
		instanceList: newInstanceList(settings.Lag, settings.Instances),
		calls:        Calls{Methods: map[string]int{}, Parts: map[string]int{}},
		random:       rand.New(rand.NewPCG(settings.Seed, 0)),
		changed:      make(chan struct{}),
		stop:         make(chan struct{}),
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

// SetInstances makes the instances the truth; readers see it after the lag.
func (s *Server) SetInstances(instances []store.Instance) error {
	if err := checkInstances(instances); err != nil {
		return errors.Errorf("check instance list: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceList.set(time.Now(), instances)
	return nil
}

// Address returns the IP and port that the server listens at.
func (s *Server) Address() string { return s.address }

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/records", s.meet(method{name: "list"}, s.handleList))
	r.Get("/v1/records/*", s.meet(method{name: "get"}, s.handleGet))
	r.Put("/v1/records/*", s.meet(method{name: "put", write: true}, s.handlePut))
	r.Delete("/v1/records/*", s.meet(method{name: "delete", write: true}, s.handleDelete))
	r.Get("/v1/watch", s.meet(method{name: "watch"}, s.handleWatch))
	r.Post("/v1/leases", s.meet(method{name: "grant", write: true}, s.handleGrant))
	r.Post("/v1/leases/{id}/renew", s.meet(method{name: "renew", write: true}, s.handleRenew))
	r.Delete("/v1/leases/{id}", s.meet(method{name: "revoke", write: true}, s.handleRevoke))
	r.Get("/v1/instances", s.meet(method{name: "instances"}, s.handleInstances))
	r.Post("/fault", s.handleFault)
	r.Get("/calls", s.handleCalls)
	r.Post("/instances", s.handleSetInstances)
	return r
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rec, err := s.records.Get(recordKey(r))
	s.mu.Unlock()
	respond(w, rec, err)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	snapshot := s.records.List(store.Key(r.URL.Query().Get("prefix")))
	s.mu.Unlock()
	respond(w, snapshot, nil)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
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
		answer.Revision, err = s.records.Put(recordKey(r), value, cond, lease)
		return err
	})
	respond(w, answer, err)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.change(func() error { return s.records.Delete(recordKey(r), cond) })
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
		found, ok := s.records.Changes(store.Key(q.Get("prefix")), unit.Revision(after))
		changed, fault := s.changed, s.fault
		s.mu.Unlock()
		switch {
		case fault.Silent:
			s.hold(r)
		case fault.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
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
		l = s.records.Grant(time.Now(), ttl)
		return nil
	})
	respond(w, l, err)
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	id := store.LeaseID(chi.URLParam(r, "id"))
	err := s.change(func() error {
		s.records.Expire(time.Now())
		return s.records.Renew(time.Now(), id)
	})
	respond(w, struct{}{}, err)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id := store.LeaseID(chi.URLParam(r, "id"))
	err := s.change(func() error { return s.records.Revoke(id) })
	respond(w, struct{}{}, err)
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	listing := s.instanceList.difference(time.Now(), unit.Revision(after))
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
	s.wake()
	return nil
}

// wake wakes the watches and the lease timer. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends leases at their deadlines until the server stops.
func (s *Server) expireLeases() {
	for {
		s.mu.Lock()
		before := s.records.Revision()
		next := s.records.Expire(time.Now())
		if s.records.Revision() != before {
			s.wake()
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

// recordKey returns the key of the path, in which any character but the slash
// may be escaped.
func recordKey(r *http.Request) store.Key {
	key, _ := strings.CutPrefix(r.URL.Path, "/v1/records/")
	return store.Key(key)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(max(1, perSecond)))
}

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxList)).Decode(body); err != nil {
		http.Error(w, errors.Errorf("decode body: %w", err).Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func parseCondition(r *http.Request) (store.Condition, error) {
	text := r.URL.Query().Get("if")
	switch text {
	case "":
		return store.Always(), nil
	case "absent":
		return store.IfAbsent(), nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return store.Condition{}, errors.Errorf("if: %w", err)
	}
	return store.IfRevision(unit.Revision(revision)), nil
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
