// Package api serves the HTTP API for operators. It authenticates them, limits
// the size and the rate of their requests, and passes the requests to the services
// that make the decisions.
package api

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "api"

// Timeouts and limits of the server.
const (
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 15 * time.Second
	writeTimeout       = 30 * time.Second
	idleTimeout        = time.Minute
	callTimeout        = 10 * time.Second // bounds the calls to other services that a request causes
	reloadInterval     = 30 * time.Second
	maxHeaderBytes     = 16 << 10
	maxBodyBytes       = 64 << 10 // limit for every request but a new target document
	maxConcurrentCalls = 64
)

// config reads and changes the target document.
type config interface {
	Current() spec.Revision
	StartUntil() time.Time
	ServeUntil() time.Time
	Apply(ctx context.Context, c change.Change) (change.Result, error)
	SetZone(ctx context.Context, zone unit.ZoneID, out bool, author unit.Operator, operation unit.OperationID) (change.Result, error)
	Status(ctx context.Context, q change.Query) (change.Result, error)
	History(ctx context.Context, limit int) ([]spec.Revision, error)
}

// jobs accepts, cancels and lists jobs.
type jobs interface {
	Submit(ctx context.Context, j queue.Job) error
	Cancel(ctx context.Context, ids ...unit.JobID) error
	Job(ctx context.Context, id unit.JobID) (ledger.Record, error)
	Jobs(ctx context.Context) ([]ledger.Record, error)
}

// budgets reports the burn rates of the error budgets.
type budgets interface {
	Report(now time.Time, others ...[]burn.Tally) burn.Report
	Tallies(now time.Time) []burn.Tally
}

// recorder records events of this entry with their reasons, and returns those
// about a subject.
type recorder interface {
	Record(e journal.Event)
	Explain(s journal.Subject) []journal.Event
	Since() time.Time
}

// members reports the registered and the lost entries, and deletes the records of
// lost ones.
type members interface {
	Self() unit.EntryID
	View() roster.View
	ValidUntil() time.Time
	Lost() []roster.LostEntry
	Forget(ctx context.Context, id unit.EntryID) error
}

// peers exchanges messages with the other entries.
type peers interface {
	Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error)
	Handle(k message.Kind, handler message.Handler)
}

// Options are the settings of a Service.
type Options struct {
	Address       string // IP and TCP port to listen on
	Credentials   *credential.Source
	OperatorsFile string     // JSON file with the operators, reloaded when it changes
	Operators     []Operator // used if OperatorsFile is empty
	// MaxConnections limits the open connections, beside the limiter of the process, with
	// which further ones displace others; 0: no such limit. Further connections wait in the
	// backlog of the socket.
	MaxConnections int
}

// Service serves the API.
type Service struct {
	log           logr.Logger
	options       Options
	authenticator *authenticator
	http          *http.Server
	address       string
	cancel        context.CancelFunc
	done          chan struct{}

	config   config
	jobs     jobs
	budgets  budgets
	recorder recorder
	members  members
	peers    peers
	limiter  *limiter.Limiter
}

// New returns a service that is not yet started.
func New(log logr.Logger, options Options) *Service {
	return &Service{log: log, options: options, authenticator: newAuthenticator(options.OperatorsFile), done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	if err := s.findServices(k); err != nil {
		return err
	}
	if s.options.OperatorsFile == "" {
		s.authenticator.set(s.options.Operators)
	} else if _, err := s.authenticator.reload(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return errors.Errorf("listen for operators: %w", err)
	}
	s.address = l.Addr().String()
	if s.options.MaxConnections > 0 {
		l = netutil.LimitListener(l, s.options.MaxConnections)
	}
	s.peers.Handle(message.KindExplainRequest, s.handleExplainRequest)
	s.peers.Handle(message.KindBurnRequest, s.handleBurnRequest)
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	l = s.limiter.Limit(s.http, l)
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() {
		// Returns ErrServerClosed after Stop.
		_ = s.http.Serve(tls.NewListener(l, s.options.Credentials.OperatorServer("http/1.1")))
	})
	wg.Go(func() { s.reloadOperators(ctx) })
	go func() {
		defer close(s.done)
		wg.Wait()
	}()
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down operator server: %w", err)
	}
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Address returns the IP and port that operators use.
func (s *Service) Address() string { return s.address }

// SetOperators replaces the operators with immediate effect.
func (s *Service) SetOperators(operators []Operator) { s.authenticator.set(operators) }

// findServices looks up the services that the API calls.
func (s *Service) findServices(k *registry.Kernel) error {
	var errs [7]error
	s.config, errs[0] = registry.Find[config](k, "config")
	s.jobs, errs[1] = registry.Find[jobs](k, "dispatch")
	s.budgets, errs[2] = registry.Find[budgets](k, "burn")
	s.recorder, errs[3] = registry.Find[recorder](k, journal.ServiceName)
	s.members, errs[4] = registry.Find[members](k, "membership")
	s.peers, errs[5] = registry.Find[peers](k, "peers")
	s.limiter, errs[6] = limiter.Find(k)
	return errors.Join(errs[:]...)
}

// reloadOperators reloads the operators' file periodically until the context ends.
func (s *Service) reloadOperators(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if changed, err := s.authenticator.reload(); changed || err != nil {
			s.log.Info("operators file reloaded", "changed", changed, "error", err)
		}
	}
}

func (s *Service) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(middleware.Throttle(maxConcurrentCalls))
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { respondFault(w, faultPath) })
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) { respondFault(w, faultMethod) })
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.authenticate)
		r.Group(func(r chi.Router) {
			r.Get("/target", s.handleTarget)
			r.Get("/target/history", s.handleHistory)
			r.Get("/target/status", s.handleChangeStatus)
			r.Get("/zones", s.handleZones)
			r.Get("/jobs", s.handleJobs)
			r.Get("/jobs/{id}", s.handleJob)
			r.Get("/burn", s.handleBurn)
			r.Get("/explain/{kind}/*", s.handleExplain)
			r.Get("/status", s.handleStatus)
		})
		r.Group(func(r chi.Router) {
			r.Use(requireOperator)
			r.Put("/target", s.handlePutTarget)
			r.Post("/zones/{zone}/out", s.handleZone(true))
			r.Post("/zones/{zone}/in", s.handleZone(false))
			r.Post("/jobs", s.handleSubmit)
			r.Delete("/jobs/{id}", s.handleCancel)
			r.Delete("/entries/{id}", s.handleForget)
		})
	})
	return r
}
