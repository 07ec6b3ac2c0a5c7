// Package gateway is the HTTP front end for callers.
//
// It finds the class of a request by its route, waits for a slot, claims the id
// of a non-idempotent request, forwards the request to a worker and reports the
// outcome in the header Monsoonfold-Outcome: done, not-run or unknown.
//
// Counters (GET /.monsoonfold/counters):
//
//	requests        requests received
//	done            complete responses forwarded
//	not-run         requests reported as not run
//	unknown         requests reported as unknown
//	aborted         responses aborted after their header was sent
//	abandoned       requests whose caller disconnected before the response began
//	retries         attempts after the first
//	retries-denied  retries that the retry budget did not allow
//	claims          ids of non-idempotent requests that were granted
//	claims-taken    ids that were claimed before
//	claims-voided   claims deleted because the request did not run
//	claims-kept     claims that could not be deleted although the request did not run
//	hung            exchanges without a byte within the idle timeout
//	mismatched      responses to another request
//	truncated       responses that ended early
//	oversized       responses over the size limit
//	inflight        requests in progress (a gauge)
//	waiting         requests that wait for a slot (a gauge)
package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ServiceName is the name under which a kernel holds the gateway.
const ServiceName registry.Name = "gateway"

// Interfaces of the services that the gateway uses.
type (
	fleet interface {
		Snapshot() inventory.Snapshot
		Changed() <-chan struct{}
	}
	configuration interface {
		Current() spec.Revision
		ServeUntil() time.Time
		Changed() <-chan struct{}
	}
	membership interface {
		Self() unit.EntryID
		Viewed() (roster.View, time.Time)
		ValidUntil() time.Time
		Changed() <-chan struct{}
	}
	// peers carries the acknowledged views in heartbeats.
	peers interface {
		SetSettled(settled func() roster.SettledView)
		OnSettled(observe func(peer unit.EntryID, settled roster.SettledView))
	}
	claims interface {
		Claim(ctx context.Context, id unit.RequestID) (claim.Result, error)
		Void(ctx context.Context, id unit.RequestID, r claim.Result) error
	}
	eventRecorder interface{ Record(journal.Event) }
	errorBudget   interface{ Observe(burn.Sample) }
	signalSender  interface {
		// Send sends the signals to the entries that schedule tasks on the workers.
		Send(ctx context.Context, signals []message.Signal)
	}
)

// Settings configures a gateway.
type Settings struct {
	Address    string        // IP and port that callers connect to
	DrainDelay time.Duration // time for the load balancer to notice that the entry is not ready
	SlotTiming slot.Timing
	// MaxConnections limits the open connections of callers, beside the limiter of the
	// process, with which further ones displace others; 0: no such limit. Further
	// connections wait in the listen backlog until one is closed.
	MaxConnections int
}

// Gateway forwards requests of callers to workers.
type Gateway struct {
	log      logr.Logger
	settings Settings
	address  string
	http     *http.Server
	counters *expvar.Map

	fleet        fleet
	config       configuration
	membership   membership
	peers        peers
	claims       claims
	journal      eventRecorder
	errorBudget  errorBudget
	signalSender signalSender
	windows      *signalWindows
	limiter      *limiter.Limiter

	routes          atomic.Pointer[routes]
	dispatcher      *dispatcher
	requestSequence atomic.Uint64 // source of request ids
	inflight        atomic.Int64
	draining        atomic.Bool
	drainOnce       sync.Once
	drainErr        error
	cancel          context.CancelFunc
	done            chan struct{}
}

// New returns a gateway that is not yet started.
func New(log logr.Logger, settings Settings) *Gateway {
	g := &Gateway{log: log, settings: settings, counters: new(expvar.Map).Init(), done: make(chan struct{}), windows: newSignalWindows(time.Now())}
	g.counters.Set("inflight", expvar.Func(func() any { return g.inflight.Load() }))
	g.counters.Set("waiting", expvar.Func(func() any { return g.dispatcher.waitingRequests() }))
	g.http = &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		// Both exceed the longest request, which is bounded by its own deadlines.
		ReadTimeout:    settings.SlotTiming.MaxRequestTime + 5*time.Second,
		WriteTimeout:   settings.SlotTiming.MaxRequestTime + 10*time.Second,
		IdleTimeout:    time.Minute,
		MaxHeaderBytes: 32 << 10,
	}
	return g
}

// Name implements registry.Service.
func (g *Gateway) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (g *Gateway) Start(ctx context.Context, k *registry.Kernel) error {
	if err := g.findServices(k); err != nil {
		return err
	}
	g.dispatcher = newDispatcher(slot.New(g.membership.Self(), g.settings.SlotTiming), g.recordHealthChange)
	g.peers.SetSettled(g.dispatcher.acknowledged)
	g.peers.OnSettled(g.dispatcher.recordAcknowledgement)
	g.refresh()
	l, err := net.Listen("tcp", g.settings.Address)
	if err != nil {
		return errors.Errorf("listen for callers: %w", err)
	}
	g.address = l.Addr().String()
	if g.settings.MaxConnections > 0 {
		l = netutil.LimitListener(l, g.settings.MaxConnections)
	}
	l = g.limiter.Limit(g.http, l)
	ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	parts.Go(func() { g.runRefresh(ctx) })
	parts.Go(func() { g.sendSignals(ctx) })
	parts.Go(func() { _ = g.http.Serve(l) }) // returns ErrServerClosed after Drain
	go func() {
		defer close(g.done)
		parts.Wait()
		g.dispatcher.close()
	}()
	return nil
}

// Stop implements registry.Service. It drains the gateway first.
func (g *Gateway) Stop(ctx context.Context) error {
	g.Drain(ctx)
	g.cancel()
	return g.drainErr
}

// Done implements registry.Service.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Address returns the IP and port that callers use.
func (g *Gateway) Address() string { return g.address }

// Counters returns the counters that the package comment describes.
func (g *Gateway) Counters() *expvar.Map { return g.counters }

// Ready reports whether the entry may serve requests, holds its slots and is not
// draining. An entry that has just started holds no slots yet and would reject the
// requests that a load balancer sends to it.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.dispatcher.hasSlots() && time.Now().Before(g.config.ServeUntil())
}

// Drain fails the readiness check, keeps serving for the drain delay, and returns
// once the requests in flight are complete or the context ends.
func (g *Gateway) Drain(ctx context.Context) {
	g.drainOnce.Do(func() {
		g.draining.Store(true)
		g.log.Info("gateway state changed", "draining", true)
		select {
		case <-time.After(g.settings.DrainDelay):
		case <-ctx.Done():
		}
		if err := g.http.Shutdown(ctx); err != nil {
			g.drainErr = errors.Errorf("shut down gateway: %w", err)
		}
	})
}

func (g *Gateway) findServices(k *registry.Kernel) error {
	var faults [9]error
	g.fleet, faults[0] = registry.Find[fleet](k, "fleet")
	g.config, faults[1] = registry.Find[configuration](k, "config")
	g.membership, faults[2] = registry.Find[membership](k, "membership")
	g.claims, faults[3] = registry.Find[claims](k, claim.ServiceName)
	g.journal, faults[4] = registry.Find[eventRecorder](k, journal.ServiceName)
	g.errorBudget, faults[5] = registry.Find[errorBudget](k, "burn")
	g.signalSender, faults[7] = registry.Find[signalSender](k, "policy")
	g.limiter, faults[8] = limiter.Find(k)
	g.peers, faults[6] = registry.Find[peers](k, "peers")
	if err := errors.Join(faults[:]...); err != nil {
		return errors.Errorf("find partners: %w", err)
	}
	return nil
}

func (g *Gateway) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/.monsoonfold/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	r.Get("/.monsoonfold/counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(g.counters.String())) // the caller may have disconnected
	})
	// Paths under the reserved prefix are never forwarded.
	r.Handle("/.monsoonfold/*", http.NotFoundHandler())
	reserved := http.Handler(r)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isReserved(r.URL.Path) {
			reserved.ServeHTTP(w, r)
			return
		}
		g.serve(w, r)
	})
}

// refreshInterval is short compared with the waits after which slots take effect.
// Shares of slots change only with the view or when such a wait has passed.
const refreshInterval = time.Second

// runRefresh keeps routes, workers and slots up to date and ticks the router, until
// the context ends.
func (g *Gateway) runRefresh(ctx context.Context) {
	timer := time.NewTimer(refreshInterval)
	defer timer.Stop()
	for {
		// The channels are read before the state, so that no change is missed.
		fleet, config, membership := g.fleet.Changed(), g.config.Changed(), g.membership.Changed()
		g.refresh()
		next := time.Now().Add(refreshInterval)
		for waiting := true; waiting; {
			due := next
			if tick := g.dispatcher.nextTick(time.Now()); !tick.IsZero() && tick.Before(due) {
				due = tick
			}
			timer.Reset(time.Until(due))
			waiting = false
			select {
			case <-fleet:
			case <-config:
			case <-membership:
			case <-g.dispatcher.waitStarted:
				waiting = true
			case <-timer.C:
				g.dispatcher.tick(time.Now())
				waiting = time.Now().Before(next)
			case <-ctx.Done():
				return
			}
		}
	}
}

// refresh applies the configuration, the instance list and the view.
func (g *Gateway) refresh() {
	revision := g.config.Current()
	if old := g.routes.Load(); old == nil || old.revision != revision.Number {
		g.routes.Store(newRoutes(&revision))
	}
	members, viewed := g.membership.Viewed()
	view := slot.View{Revision: members.Revision, NoLostEntries: len(members.Lost) == 0}
	for _, e := range members.Entries {
		view.Entries = append(view.Entries, e.ID)
	}
	now := time.Now()
	// While the store accepts this entry's lease renewals, only a read of the view
	// confirms the view. During a store outage no entry can join, so confirmations by
	// peers that have this entry in their view suffice.
	asOf := g.config.ServeUntil().Add(-g.settings.SlotTiming.ViewTTL)
	if now.Before(g.membership.ValidUntil()) && viewed.Before(asOf) {
		asOf = viewed
	}
	g.dispatcher.update(g.fleet.Snapshot().Workers(), &revision.Document, view, asOf, now)
}

func (g *Gateway) recordHealthChange(worker unit.InstanceID, from, to string) {
	g.log.Info("worker state changed", "worker", worker, "from", from, "to", to)
	g.journal.Record(journal.Event{
		Time:     time.Now(),
		Subjects: []journal.Subject{{Kind: journal.KindWorker, ID: string(worker)}},
		What:     "requests: " + to,
		Why:      "was " + from,
	})
}

// newID returns a request id that is unique in the deployment.
func (g *Gateway) newID() unit.RequestID {
	return unit.RequestID(string(g.membership.Self()) + "-" + strconv.FormatUint(g.requestSequence.Add(1), 36))
}
